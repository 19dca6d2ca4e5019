"""Workers and their holder, for tests of decisions among faults.

The oracle checks the fake workers and what is stored, never the state of the
scheduler.
"""

from collections.abc import Callable
import enum
import heapq
import itertools
import random
from typing import Any

import msgspec

from samphirestack.fleet import actions
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

CANCEL_S = 3.0
STOP_S = 0.4
CONTACT_S = 3.0
GANG_TIMEOUT_S = 3.0
CRASHES = 2
"""Bounds of the platform's rules."""

ORDER_TIMEOUT_S = 0.8
MAX_LATE_S = 12.0
"""Longest delay of a call that is carried out."""

TICK_S = 0.1
HOLD_INTERVAL_S = 0.3
FAILURES_UNTIL_SILENT = 2
ENTRY_EXPIRY_S = 4.5
"""Silence of a worker after which its entry is removed."""

CALM_S = CONTACT_S + CANCEL_S + STOP_S + 1.0
COMPLETION_S = 150.0
"""Time after the last fault within which all jobs end."""

FENCED = 'fenced'
"""Answer to a hold call with too low a token."""

NAMES = ('a', 'b', 'c')
Reason = specs.EndReason
Outcome = specs.StartOutcome


class Fate(enum.Enum):
    """What becomes of a call to a worker."""

    NORMAL = 'normal'
    SLOW = 'slow'
    """Carried out, and answered just before the timeout."""
    UNANSWERED = 'unanswered'
    """Carried out at once, and never answered."""
    LATE = 'late'
    """Carried out after newer calls, and never answered."""
    LOST = 'lost'
    REFUSED = 'refused'


N, S, U, LA, LO, R = Fate
CALM: tuple[Fate, ...] = (N,)
ORDER_FATES = [CALM, (S,), (U,), (N, S, U), (N, U, LA), (N, LO), (N, S, R)]
HOLD_FATES = [CALM, CALM, CALM, (N, S), (N, U, LO), (N, N, N, LA)]


class Run(msgspec.Struct):
    """A run on a fake worker."""

    task: str
    number: int
    step: specs.StepSpec
    started_at: float
    ends_at: float
    reason: specs.EndReason
    is_stuck: bool = False

    @property
    def key(self) -> tuple[str, int]:
        return self.task, self.number

    @property
    def gang(self) -> tuple[str, int]:
        return self.task.rpartition('.')[0], self.number

    @property
    def work_s(self) -> float:
        share = 0.1 if self.reason is Reason.FAILED else 1.0
        return share * self.step.estimate_s

    def percent(self, now: float) -> float:
        if self.is_stuck:
            return 1.0
        if self.step.long_running:
            return 100.0
        return 1.0 + (now - self.started_at) % 90


class FakeWorker:
    """A worker that guards its lease, its fence and its run numbers."""

    def __init__(self, name: str, clock_rate: float) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.started_unix_ms = 0
        self.silent_until = 0.0
        """Until when it is cut off."""
        self.state = specs.WorkerState.READY
        self.sticks = False
        """Whether its next run makes no progress."""
        self.failed_tasks: list[str] = []
        """Task of each run that failed."""
        self.stopped_runs: set[tuple[str, int]] = set()
        """Runs whose stop any of its processes accepted."""
        self.highest_token = 0
        """Highest token that any of its processes accepted."""
        self.last_read_at = 0.0
        """When a holder last read a report of any of its processes."""
        self.regained_at = float('-inf')
        """When that last took so long that its lease counted as expired."""
        self.restart(0.0)

    def restart(self, born_at: float) -> None:
        """Replace its process by one that starts now or later."""
        self.started_unix_ms = max(
            self.started_unix_ms + 1,
            int((worlds.UNIX_AT_ZERO_S + born_at) * 1000),
        )
        self.born_at = born_at
        self.deadline_ms = 0.0
        self.token = 0
        self.state = specs.WorkerState.READY
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[tuple[int, str, int, specs.EndReason]] = []
        self.end_times_by_number: dict[int, float] = {}
        self.last_lapsed_end = 0
        self.last_read_end = 0
        self.first_read_at = float('inf')
        """When a holder first read a report of this process."""
        self.is_fenced = False
        """Whether this process has accepted a call that was sent afterwards,
        from when on it refuses calls for its predecessor."""
        self.last_end = 0
        self.last_runs_by_task: dict[str, int] = {}
        """Highest run of each task that was stopped or ended."""

    def clock_ms(self, now: float) -> float:
        return 1.0 + (now - self.born_at) * 1000 * self.clock_rate

    @property
    def reachable_from(self) -> float:
        return max(self.silent_until, self.born_at)

    def entry(self) -> specs.WorkerEntry:
        return worlds.make_worker(
            self.name,
            state=self.state,
            started=self.started_unix_ms,
            leaves_in_s=2.0,
        )

    def accepts(self, sent_at: float, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        self.highest_token = max(self.highest_token, token)
        self.is_fenced |= sent_at > self.first_read_at
        return True

    def extend_lease(self, now: float, deadline_ms: float | None) -> None:
        self.end_runs(now)
        if self.clock_ms(now) > self.deadline_ms:
            self.last_lapsed_end = self.last_end
        longest_ms = self.clock_ms(now) + worlds.LEASE_S * 1000
        self.deadline_ms = max(
            self.deadline_ms, min(deadline_ms or 0.0, longest_ms)
        )

    def stop(self, task: str, number: int, ends_at: float) -> None:
        self.stopped_runs.add((task, number))
        self.last_runs_by_task[task] = max(
            number, self.last_runs_by_task.get(task, 0)
        )
        run = self.running.get((task, number))
        if run is not None and ends_at < run.ends_at:
            run.ends_at = ends_at
            run.reason = Reason.STOPPED

    def end_runs(self, now: float) -> None:
        if self.clock_ms(now) > self.deadline_ms:
            for run in list(self.running.values()):
                self.end(now, run, Reason.LAPSED)
        for run in list(self.running.values()):
            if run.ends_at <= now:
                self.end(now, run, run.reason)

    def end(self, now: float, run: Run, reason: specs.EndReason) -> None:
        del self.running[run.key]
        if reason is Reason.FAILED:
            self.failed_tasks.append(run.task)
        self.last_runs_by_task[run.task] = max(
            run.number, self.last_runs_by_task.get(run.task, 0)
        )
        self.last_end += 1
        self.ended.append((self.last_end, *run.key, reason))
        self.end_times_by_number[self.last_end] = now

    def tasks_without_known_end(self) -> list[str]:
        """Return the tasks whose runs may be taken for lost in a crash.

        An end that no report showed can't be told from a crash.
        """
        unread = [
            task
            for number, task, _, _ in self.ended
            if number > self.last_read_end
        ]
        return [run.task for run in self.running.values()] + unread

    def record_read(self, now: float, report: specs.WorkerReport) -> None:
        """Record that a holder has read a report."""
        if now - self.last_read_at > worlds.LEASE_S:
            self.regained_at = now
        self.last_read_at = now
        if report.started_unix_ms != self.started_unix_ms:
            return
        self.first_read_at = min(self.first_read_at, now)
        for row in report.ended:
            self.last_read_end = max(self.last_read_end, row.number)

    def report(self, now: float) -> specs.WorkerReport:
        report = worlds.make_report(
            self.clock_ms(now), (), self.ended, self.started_unix_ms
        )
        rows = tuple(
            specs.RunningRow(
                model.TaskId(run.task),
                specs.RunNumber(run.number),
                specs.NO_CHECKPOINT,
                run.percent(now),
            )
            for run in self.running.values()
        )
        return msgspec.structs.replace(report, running=rows)


class Job(msgspec.Struct):
    """A job as its client knows it."""

    record: records.JobRecord
    failing_runs: int
    """Runs of its first task that fail, early, before one succeeds."""
    cancelled: bool = False
    over_at: float = float('inf')
    """When it was cancelled or its end was stored."""

    @property
    def task_ids(self) -> list[str]:
        return [
            specs.task_id_of(self.record.job_id, 0, 0, index)
            for index in range(self.step.count)
        ]

    @property
    def step(self) -> specs.StepSpec:
        assert self.record.spec is not None
        return self.record.spec.steps[0]


class Fleet:
    """Workers and their holder, whose calls overtake each other or fail."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.term = 0
        self.order_fates = CALM
        self.stop_fates = CALM
        self.hold_fates = CALM
        self.disturbed_until = 0.0
        self.workers_by_id = {
            name: FakeWorker(name, rate)
            for name, rate in zip(NAMES, (1.0, 0.98, 1.0), strict=True)
        }
        self.entries_by_id = {
            name: worker.entry() for name, worker in self.workers_by_id.items()
        }
        """Registered entries."""
        self.lost_names: set[str] = set()
        """Workers that are cut off for good."""
        self.jobs_by_id: dict[str, Job] = {}
        self.progress_by_id: dict[str, bytes] = {}
        self.begun_gangs: set[tuple[str, int]] = set()
        self.starts_by_task: dict[str, list[float]] = {}
        self.crashes_by_task: dict[str, int] = {}
        """Number of crashes of workers that ran each task."""
        self.done_tasks: set[str] = set()
        """Tasks whose success was acknowledged to the worker."""
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.take_over()
        self._tick()

    # Events

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def calm_down(self) -> None:
        """Let all faults end, and wait until the rules hold again."""
        self.order_fates = self.stop_fates = self.hold_fates = CALM
        self.run(max(0.0, self.disturbed_until - self.now) + CALM_S)

    def run_until(self, is_done: Callable[[], bool]) -> None:
        until = self.now + COMPLETION_S
        while not is_done():
            assert self.now < until, (
                f'unfinished: {self.unfinished_jobs()}, missing: '
                f'{self.missing_tasks()}'
            )
            self.run(1.0)

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (self.now + delay_s, next(self._numbers), call)
        )

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call unless another holder has taken over by then."""
        term = self.term
        self._after(delay_s, lambda: call() if self.term == term else None)

    def _disturb(self, seconds: float) -> None:
        self.disturbed_until = max(self.disturbed_until, self.now + seconds)

    def submit(
        self,
        step: specs.StepSpec,
        max_attempts: int = 3,
        failing_runs: int = 0,
    ) -> str:
        record = worlds.make_job(
            len(self.jobs_by_id) + 1,
            [step],
            worlds.make_queue(max_attempts=max_attempts),
        )
        record = msgspec.structs.replace(
            record, accepted_unix_s=worlds.UNIX_AT_ZERO_S + self.now
        )
        self.jobs_by_id[record.job_id] = Job(record, failing_runs)
        assert self.scheduler.accept_job(
            self.now, worlds.UNIX_AT_ZERO_S + self.now, record
        )
        return record.job_id

    def cancel(self, job_id: str) -> None:
        job = self.jobs_by_id[job_id]
        job.cancelled = True
        job.over_at = min(job.over_at, self.now)
        self.scheduler.cancel(self.now, model.JobId(job_id))

    def take_over(self) -> None:
        self._disturb(0.0)
        self.term += 1
        scheduler = schedulers.FleetScheduler(
            self.now,
            self.term,
            worlds.make_configuration(),
            worlds.LEASE_S,
        )
        self.scheduler = scheduler
        scheduler.jobs.unix_offset_s = worlds.UNIX_AT_ZERO_S
        scheduler.set_workers(self.now, self.entries_by_id.values())
        for job_id, job in self.jobs_by_id.items():
            row = self.progress_by_id.get(job_id)
            scheduler.load_job(
                self.now,
                worlds.UNIX_AT_ZERO_S + self.now,
                job.record,
                None if row is None else records.decode_progress(row),
            )
        for job_id, job in self.jobs_by_id.items():
            if job.cancelled:
                scheduler.cancel(self.now, model.JobId(job_id))
        self._unsent_starts: list[actions.Start] = []
        self._is_writing = False
        self._held_names: set[str] = set()
        for name in self.entries_by_id:
            self._begin_holding(name)

    def restart(self, name: str, down_s: float, entry_delay_s: float) -> None:
        """Restart a worker; its entry may follow later than its reports.

        Calls for the former process may be carried out by the new one.
        """
        worker = self.workers_by_id[name]
        worker.end_runs(self.now)
        for task in worker.tasks_without_known_end():
            self.crashes_by_task[task] = self.crashes_by_task.get(task, 0) + 1
        worker.restart(self.now + down_s)
        process_ms = worker.started_unix_ms
        if down_s + entry_delay_s > ENTRY_EXPIRY_S:
            self._after(
                ENTRY_EXPIRY_S,
                lambda: (
                    self._unregister(name)
                    if worker.started_unix_ms == process_ms
                    else None
                ),
            )
        self._disturb(down_s + entry_delay_s)
        self._after(
            down_s + entry_delay_s,
            lambda: (
                self._register(worker)
                if worker.started_unix_ms == process_ms
                else None
            ),
        )

    def silence(self, name: str, seconds: float) -> None:
        worker = self.workers_by_id[name]
        worker.silent_until = max(worker.silent_until, self.now + seconds)
        self._disturb(seconds)

    def cut_off_for_good(self, name: str) -> None:
        self.lost_names.add(name)
        self._disturb(0.0)
        self.workers_by_id[name].silent_until = float('inf')

    def drain(self, name: str, seconds: float) -> None:
        """Let a worker announce that it leaves, and leave."""
        worker = self.workers_by_id[name]
        worker.state = specs.WorkerState.DRAINING
        self._register(worker)
        self._disturb(seconds)
        process_ms = worker.started_unix_ms
        self._after(
            seconds,
            lambda: (
                self.restart(name, 0.0, 0.0)
                if worker.started_unix_ms == process_ms
                else None
            ),
        )

    def _register(self, worker: FakeWorker) -> None:
        self.entries_by_id[worker.name] = worker.entry()
        self.scheduler.update_worker(self.now, worker.entry())
        self._begin_holding(worker.name)

    def _unregister(self, name: str) -> None:
        self.entries_by_id.pop(name, None)
        self.scheduler.mark_worker_unregistered(model.WorkerId(name))

    # Holder

    def _tick(self) -> None:
        self._after(TICK_S, self._tick)
        for worker in self.workers_by_id.values():
            worker.end_runs(self.now)
        self._run_gangs()
        assert not self.scheduler.fenced, 'no newer term has called a worker'
        self.scheduler.registry_freshness.record_read(self.now, self.now)
        for action in self.scheduler.plan(
            self.now, worlds.UnlimitedAdviceCallers()
        ):
            self._execute(action)
        if not self._is_writing:
            self._is_writing = True
            changes = self.scheduler.collect_changes()
            self._later(
                self.random.uniform(0.01, 0.2), lambda: self._store(changes)
            )
        self._check_jobs_that_are_over()

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.Start):
            self._unsent_starts.append(action)
        elif isinstance(action, actions.Stop):
            self._send_stop(action)
        elif isinstance(action, actions.PollWorker):
            self._hold(action.worker_id, lambda: None)

    def _store(self, changes: actions.Changes) -> None:
        self._is_writing = False
        for put in changes.puts:
            if put.table == records.PROGRESS_TABLE:
                self.progress_by_id[put.key] = put.value
                ended = records.decode_progress(put.value).ended
                if ended is not None:
                    job = self.jobs_by_id[put.key]
                    job.over_at = min(job.over_at, self.now)
                    self._check_end(job, ended)
        starts, self._unsent_starts = self._unsent_starts, []
        for start in starts:
            if (
                self.scheduler.jobs.row_of_task(start.order.task_id)
                in changes.row_keys
                and start.number <= changes.starts_until
            ):
                self._order_start(start)
            else:
                self._unsent_starts.append(start)
        self.scheduler.mark_stored(self.now, changes)

    def _may_send(self, start: actions.Start) -> bool:
        return self.scheduler.should_send_start(
            self.now,
            start.worker.worker_id,
            start.order.task_id,
            start.order.run,
        )

    def _answer(
        self,
        start: actions.Start,
        outcome: Outcome,
        token: specs.CallToken | None = None,
    ) -> None:
        self.scheduler.handle_start_result(
            self.now,
            start.worker.worker_id,
            start.order.task_id,
            start.order.run,
            outcome,
            token,
        )

    def _order_start(self, start: actions.Start) -> None:
        if not self._may_send(start):
            self._answer(start, Outcome.NOT_SENT)
            return
        worker_id = start.worker.worker_id
        deadline_ms = self.scheduler.lease_deadline(self.now, worker_id)
        if deadline_ms is None:
            self._answer(start, Outcome.LATE)
            return
        self.scheduler.mark_start_sent(
            worker_id, start.order.task_id, start.order.run
        )
        self.scheduler.record_lease_deadline(worker_id, deadline_ms)
        process_ms = self.scheduler.workers_by_id[worker_id].started_unix_ms
        # The order waits for a connection.
        self._later(
            self.random.choice([0.0, 0.0, 0.2]),
            lambda: self._send_start(start, deadline_ms, process_ms),
        )

    def _send_start(
        self, start: actions.Start, deadline_ms: int, process_ms: int
    ) -> None:
        tracked = self.scheduler.workers_by_id.get(start.worker.worker_id)
        if (
            tracked is None
            or tracked.started_unix_ms != process_ms
            or not self._may_send(start)
        ):
            self._answer(start, Outcome.NOT_SENT)
            return
        job = self.jobs_by_id[start.order.task_id.split('.')[0]]
        assert self.now <= job.over_at, (
            f'{start.order.task_id} is sent at {self.now:.2f}, after its job '
            f'was over'
        )
        token = tracked.token
        worker = self.workers_by_id[start.worker.worker_id]
        sent_at = self.now
        self._call(
            worker,
            self.order_fates,
            lambda: (
                None
                if self._is_excluded(worker, token, start, sent_at)
                else self._carry_out_start(sent_at, token, start, deadline_ms)
            ),
            lambda outcome: self._answer(
                start, outcome or Outcome.UNKNOWN, token
            ),
            Outcome.UNHEALTHY,
        )

    def _is_excluded(
        self,
        worker: FakeWorker,
        token: specs.CallToken,
        start: actions.Start,
        sent_at: float,
    ) -> bool:
        """Return whether this model keeps a late order from a new process.

        A run that is over for its holder may begin until the first call that
        is meant for the new process, which no holder can prevent.
        """
        key = (start.order.task_id, start.order.run)
        is_over = (
            key in worker.stopped_runs
            or token < worker.highest_token
            or sent_at < worker.regained_at
            or self.now - worker.last_read_at > worlds.LEASE_S
        )
        return sent_at < worker.born_at and is_over and not worker.is_fenced

    def _send_stop(self, action: actions.Stop) -> None:
        worker = self.workers_by_id[action.worker.worker_id]
        token = self.scheduler.token_for(action.worker.worker_id)
        sent_at = self.now

        def carry_out() -> bool:
            if not worker.accepts(sent_at, token):
                return False
            ends_at = self.now + self.random.uniform(0.0, STOP_S)
            worker.stop(action.task_id, action.run, ends_at)
            return True

        self._call(
            worker,
            self.stop_fates,
            carry_out,
            lambda accepted: self.scheduler.handle_stop_result(
                self.now,
                action.worker.worker_id,
                action.task_id,
                action.run,
                bool(accepted),
            ),
            False,
        )

    def _begin_holding(self, name: str) -> None:
        if name not in self._held_names:
            self._held_names.add(name)
            self._hold_regularly(name)

    def _hold_regularly(self, name: str) -> None:
        if name not in self.scheduler.workers_by_id:
            self._held_names.discard(name)
            return
        tracked = self.scheduler.workers_by_id[model.WorkerId(name)]

        def hold_again() -> None:
            interval_s = (
                0.0 if tracked.has_ends_to_acknowledge else HOLD_INTERVAL_S
            )
            self._later(interval_s, lambda: self._hold_regularly(name))

        self._hold(name, hold_again)

    def _hold(self, name: str, then: Callable[[], None]) -> None:
        """Renew the lease of a worker and read its report."""
        worker_id = model.WorkerId(name)
        worker = self.workers_by_id[name]
        tracked = self.scheduler.workers_by_id.get(worker_id)
        if tracked is None:
            return
        token, sent_at = tracked.token, self.now
        deadline_ms = self.scheduler.lease_deadline(self.now, name)
        self.scheduler.record_lease_deadline(worker_id, deadline_ms)
        last_seen = tracked.end_to_acknowledge(self.now)
        process_ms = tracked.started_unix_ms

        def carry_out() -> specs.WorkerReport | str:
            if not worker.accepts(sent_at, token):
                return FENCED
            worker.extend_lease(self.now, deadline_ms)
            # Until the first call that is meant for the new process, a number
            # for the former one may make it forget an end that nobody has
            # read, which no holder can prevent.
            if worker.started_unix_ms == process_ms or worker.is_fenced:
                self._acknowledge(worker, last_seen)
            return worker.report(self.now)

        def answer(report: specs.WorkerReport | str | None) -> None:
            if report == FENCED:
                self.scheduler.record_refused_token(worker_id, token)
            elif isinstance(report, specs.WorkerReport):
                tracked.consecutive_failed_calls = 0
                worker.record_read(self.now, report)
                self.scheduler.apply_report(
                    self.now, sent_at, worker_id, report, last_seen
                )
            else:
                tracked.consecutive_failed_calls += 1
                if tracked.consecutive_failed_calls >= FAILURES_UNTIL_SILENT:
                    self.scheduler.mark_worker_silent(self.now, worker_id)
            then()

        self._call(worker, self.hold_fates, carry_out, answer, None)

    # Network and workers

    def _call(
        self,
        worker: FakeWorker,
        fates: tuple[Fate, ...],
        carry_out: Callable[[], Any],
        answer: Callable[[Any], None],
        refusal: Any,
    ) -> None:
        """Send a call; ``answer`` gets its result once, ``None`` for none."""
        fate = self.random.choice(fates)
        term, sent_at = self.term, self.now
        is_open = True
        uniform = self.random.uniform
        reached_s = uniform(0.0, 0.03)
        answered_s = uniform(0.0, 0.03)
        if fate is Fate.SLOW:
            reached_s = uniform(0.0, 0.4)
            answered_s = ORDER_TIMEOUT_S - 0.02 - reached_s
        elif fate is Fate.LATE:
            reached_s = uniform(ORDER_TIMEOUT_S, MAX_LATE_S)
        if fate is not Fate.NORMAL:
            self._disturb(max(reached_s, ORDER_TIMEOUT_S))

        def deliver(result: Any) -> None:
            nonlocal is_open
            if is_open and self.term == term:
                is_open = False
                answer(result)

        def reach() -> None:
            if self.now < worker.reachable_from:
                retry_at = worker.reachable_from + uniform(0.0, 0.05)
                if uniform(0.0, 1.0) < 0.5 and (
                    retry_at - sent_at <= MAX_LATE_S
                ):
                    self._disturb(retry_at - self.now)
                    self._after(retry_at - self.now, reach)
                return
            worker.end_runs(self.now)
            result = refusal if fate is Fate.REFUSED else carry_out()
            if fate in (Fate.NORMAL, Fate.SLOW, Fate.REFUSED):
                self._after(answered_s, lambda: return_result(result))

        def return_result(result: Any) -> None:
            if self.now >= worker.silent_until:
                deliver(result)

        if fate is not Fate.LOST:
            self._after(reached_s, reach)
        self._after(ORDER_TIMEOUT_S, lambda: deliver(None))

    def _acknowledge(self, worker: FakeWorker, last_seen: int) -> None:
        for number, task, _, reason in worker.ended:
            if worker.last_lapsed_end < number <= last_seen:
                if reason is not Reason.DONE:
                    continue
                self.done_tasks.add(task)
                ended_at = worker.end_times_by_number[number]
                assert self.starts_by_task[task][-1] <= ended_at, (
                    f'{task} started again after it had ended done'
                )
        worker.ended = [row for row in worker.ended if row[0] > last_seen]

    def _carry_out_start(
        self,
        sent_at: float,
        token: specs.CallToken,
        start: actions.Start,
        deadline_ms: int,
    ) -> Outcome:
        order = start.order
        worker = self.workers_by_id[start.worker.worker_id]
        if not worker.accepts(sent_at, token):
            return Outcome.FENCED
        if deadline_ms < worker.clock_ms(self.now):
            return Outcome.LATE
        worker.extend_lease(self.now, deadline_ms)
        if (order.task_id, order.run) in worker.running:
            return Outcome.STARTED
        if order.run <= worker.last_runs_by_task.get(order.task_id, 0):
            return Outcome.OLD_RUN
        self._begin_run(worker, order.task_id, order.run)
        return Outcome.STARTED

    def _begin_run(self, worker: FakeWorker, task: str, number: int) -> None:
        for other in self.workers_by_id.values():
            other.end_runs(self.now)
            for run in other.running.values():
                assert run.task != task, (
                    f'{task} runs twice at {self.now:.2f}: run {run.number} '
                    f'on {other.name} and run {number} on {worker.name}'
                )
        assert task not in self.done_tasks, (
            f'{task} started after it had ended done'
        )
        job = self.jobs_by_id[task.split('.')[0]]
        step = job.step
        starts = self.starts_by_task.setdefault(task, [])
        fails = len(starts) < job.failing_runs and task.endswith('.0')
        starts.append(self.now)
        run = Run(task, number, step, self.now, float('inf'), Reason.DONE)
        if fails:
            run.reason = Reason.FAILED
        if not step.gang and not step.long_running:
            run.is_stuck, worker.sticks = worker.sticks, False
        if not (step.gang or step.long_running or run.is_stuck):
            run.ends_at = self.now + run.work_s
        worker.running[run.key] = run

    def _run_gangs(self) -> None:
        members_by_gang: dict[
            tuple[str, int], list[tuple[FakeWorker, Run]]
        ] = {}
        for worker in self.workers_by_id.values():
            for run in worker.running.values():
                if run.step.gang:
                    members_by_gang.setdefault(run.gang, []).append(
                        (worker, run)
                    )
        for gang, members in members_by_gang.items():
            size = members[0][1].step.count
            if gang in self.begun_gangs:
                if len(members) < size:
                    for worker, run in members:
                        worker.end(self.now, run, Reason.BROKEN)
            elif len(members) == size:
                self.begun_gangs.add(gang)
                for _, run in members:
                    run.ends_at = min(run.ends_at, self.now + run.work_s)
            else:
                for worker, run in members:
                    if self.now - run.started_at > GANG_TIMEOUT_S:
                        self._check_lone_member(run)
                        worker.end(self.now, run, Reason.ALONE)

    # Oracle

    def _check_end(self, job: Job, ended: records.JobRecord) -> None:
        if ended.ended_as is not specs.JobState.FAILED:
            return
        assert any(
            self.crashes_by_task.get(task, 0) >= CRASHES
            or self._failures(task) >= ended.queue.max_attempts
            for task in job.task_ids
        ), (
            f'{ended.job_id} was given up; crashes of its workers: '
            f'{[self.crashes_by_task.get(task, 0) for task in job.task_ids]}'
        )

    def _failures(self, task: str) -> int:
        return sum(
            worker.failed_tasks.count(task)
            for worker in self.workers_by_id.values()
        )

    def _check_lone_member(self, run: Run) -> None:
        job = self.jobs_by_id[run.task.split('.')[0]]
        assert (
            job.over_at < self.now
            or run.started_at <= self.disturbed_until + CONTACT_S
        ), f'{run.task} waited in vain for its gang until {self.now:.2f}'

    def _check_jobs_that_are_over(self) -> None:
        for worker in self.workers_by_id.values():
            for run in worker.running.values():
                job = self.jobs_by_id[run.task.split('.')[0]]
                calm_since = self.disturbed_until + CONTACT_S
                bound = max(job.over_at, calm_since) + CANCEL_S + STOP_S
                assert self.now <= bound, (
                    f'{run.task} run {run.number} is on {worker.name} at '
                    f'{self.now:.2f}; its job was over at {job.over_at:.2f} '
                    f'and the faults at {self.disturbed_until:.2f}'
                )

    def unfinished_jobs(self) -> list[str]:
        """Return the jobs whose end is not stored."""
        return [
            job_id
            for job_id in self.jobs_by_id
            if job_id not in self.progress_by_id
            or records.decode_progress(self.progress_by_id[job_id]).ended
            is None
        ]

    def missing_tasks(self) -> list[str]:
        """Return the long-running tasks of active jobs without a run."""
        present = {
            run.task
            for worker in self.workers_by_id.values()
            for run in worker.running.values()
        }
        return [
            task
            for job in self.jobs_by_id.values()
            if job.step.long_running and job.over_at == float('inf')
            for task in job.task_ids
            if task not in present
        ]
