"""Random changes of capacity against the limit of each worker.

The oracle checks the fake workers when an order is sent, never the state of
the scheduler.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from samphirestack.fleet import actions
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

TICK_S = 0.1
HEARTBEAT_S = 1.5
ALLOWANCE_S = 4.5
"""Time for which an earlier, larger capacity still permits starts."""

MAX_LATE_S = 8.0
"""Longest delay of an order whose answer is lost."""

STOP_S = 0.3
COMPLETION_S = 150.0
"""Time after the last fault within which all jobs end."""

NAMES = ('a', 'b', 'c')
DONE = specs.EndReason.DONE
STOPPED = specs.EndReason.STOPPED
SIZES = [
    model.Resources(cpu, memory)
    for cpu in (500, 1000, 2000)
    for memory in (0, 500, 1000)
]
CAPACITIES = [
    model.Resources(cpu, memory)
    for cpu in (0, 1000, 2500, 4000)
    for memory in (1000, 2500, 4000)
]


class FakeWorker:
    """A worker that starts whatever it is told to start."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.started_unix_ms = 0
        self.changes: list[tuple[float, model.Resources]] = []
        """Capacities and since when they have been valid."""
        self.restart(0.0, CAPACITIES[-1])
        self.entry = self.current_entry()

    def restart(self, now: float, capacity: model.Resources) -> None:
        self.started_unix_ms += 1
        self.born_at = now
        self.term = 0
        self.capacity = capacity
        self.changes.append((now, capacity))
        self.running: dict[tuple[str, int], tuple[specs.StepSpec, float]] = {}
        """Step and end of each run."""
        self.ended: list[tuple[int, str, int, specs.EndReason]] = []
        self.last_end = 0
        self.last_runs: dict[str, int] = {}
        """Highest run of each task that was stopped or ended."""
        self.heartbeat_at = now + HEARTBEAT_S / 2

    def resize(self, now: float, capacity: model.Resources) -> None:
        self.capacity = capacity
        self.changes.append((now, capacity))

    def current_entry(self) -> specs.WorkerEntry:
        return worlds.with_capacity(
            worlds.make_worker(self.name, started=self.started_unix_ms),
            self.capacity,
        )

    def mark_restart_known(self) -> None:
        """Permit no capacity of an earlier process any more."""
        self.changes = [
            change for change in self.changes if change[0] >= self.born_at
        ]

    def permitted(self, now: float) -> model.Resources:
        """Return the most that an order sent now may bring it to."""
        recent = [
            capacity
            for number, (_, capacity) in enumerate(self.changes)
            if number + 1 == len(self.changes)
            or self.changes[number + 1][0] >= now - ALLOWANCE_S
        ]
        return model.Resources(
            max(capacity.millicores for capacity in recent),
            max(capacity.memory_mb for capacity in recent),
        )

    def used(self) -> model.Resources:
        total = model.Resources()
        for step, _ in self.running.values():
            total += counted(step)
        return total

    def start(
        self, now: float, term: int, task: str, run: int, step: specs.StepSpec
    ) -> specs.StartOutcome:
        if term < self.term:
            return specs.StartOutcome.FENCED
        self.term = term
        if (task, run) in self.running:
            return specs.StartOutcome.STARTED
        if run <= self.last_runs.get(task, 0):
            return specs.StartOutcome.OLD_RUN
        self.running[task, run] = step, now + step.estimate_s
        return specs.StartOutcome.STARTED

    def stop(self, now: float, term: int, task: str, run: int) -> bool:
        if term < self.term:
            return False
        self.term = term
        self.last_runs[task] = max(run, self.last_runs.get(task, 0))
        if (task, run) in self.running:
            step, ends_at = self.running[task, run]
            self.running[task, run] = step, min(ends_at, now + STOP_S)
        return True

    def end_runs(self, now: float) -> None:
        for (task, run), (_, ends_at) in list(self.running.items()):
            if ends_at > now:
                continue
            del self.running[task, run]
            stopped = run <= self.last_runs.get(task, 0)
            self.last_runs[task] = max(run, self.last_runs.get(task, 0))
            self.last_end += 1
            reason = STOPPED if stopped else DONE
            self.ended.append((self.last_end, task, run, reason))


def counted(step: specs.StepSpec) -> model.Resources:
    """Return what a task counts against the capacity of its worker."""
    if step.filler:
        return model.Resources(0, step.size.memory_mb)
    return step.size


class Fleet:
    """A holder and its workers, whose calls may be lost or late."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.term = 0
        self.loss = 0.0
        self.feed_up = True
        self.writes_up = True
        self.workers_by_id = {name: FakeWorker(name) for name in NAMES}
        self.jobs_by_id: dict[str, records.JobRecord] = {}
        self.progress_by_id: dict[str, bytes] = {}
        self.late_orders: list[tuple[float, int, actions.Start]] = []
        self.sent_starts = 0
        self.take_over()

    def take_over(self) -> None:
        self.term += 1
        entries = [worker.entry for worker in self.workers_by_id.values()]
        self.world = worlds.World(entries, term=self.term, reported=False)
        self.scheduler = self.world.scheduler
        self.scheduler.registry_freshness.record_read(self.now, self.now)
        self.unsent_starts: list[actions.Start] = []
        for job_id, record in self.jobs_by_id.items():
            row = self.progress_by_id.get(job_id)
            self.scheduler.load_job(
                self.now,
                worlds.UNIX_AT_ZERO_S + self.now,
                record,
                None if row is None else records.decode_progress(row),
            )

    def submit(self, step: specs.StepSpec) -> None:
        record = worlds.make_job(len(self.jobs_by_id) + 1, [step])
        record = msgspec.structs.replace(
            record, accepted_unix_s=worlds.UNIX_AT_ZERO_S + self.now
        )
        self.jobs_by_id[record.job_id] = record
        self.world.accept(self.now, record)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            self._tick()

    def _tick(self) -> None:
        for late in [one for one in self.late_orders if one[0] <= self.now]:
            self.late_orders.remove(late)
            self._execute_start(late[1], late[2])
        for worker in self.workers_by_id.values():
            worker.end_runs(self.now)
            if self._workers_reach_store() and worker.heartbeat_at <= self.now:
                worker.entry = worker.current_entry()
                worker.heartbeat_at = self.now + HEARTBEAT_S
        self._read_feed()
        for worker in self.workers_by_id.values():
            self._hold(worker)
        if self.writes_up:
            # Work starts only while the store renews the term.
            for action in self.world.plan(self.now):
                self._execute(action)
            self._store()

    def unfinished_jobs(self) -> list[str]:
        """Return the jobs that have not ended though they fit."""
        return [
            job_id
            for job_id, job in self.scheduler.jobs.active_by_id.items()
            if not job.spec.steps[0].gang or self._fits(job.spec.steps[0])
        ]

    def _fits(self, gang: specs.StepSpec) -> bool:
        each = next(
            count
            for count in range(gang.count + 1)
            if count == gang.count
            or not (gang.size * (count + 1)).fits_in(CAPACITIES[-1])
        )
        return each * len(NAMES) >= gang.count

    def _workers_reach_store(self) -> bool:
        """Return whether workers reach the store at all."""
        return self.feed_up or self.writes_up

    def _read_feed(self) -> None:
        if not self.feed_up:
            self.scheduler.registry_freshness.record_failure()
            return
        for worker in self.workers_by_id.values():
            self.scheduler.update_worker(self.now, worker.entry)
            if worker.entry.started_unix_ms == worker.started_unix_ms:
                worker.mark_restart_known()
        self.scheduler.registry_freshness.record_read(self.now, self.now)

    def _hold(self, worker: FakeWorker) -> None:
        if self._is_lost():
            return
        worker.term = max(worker.term, self.term)
        worker.mark_restart_known()
        tracked = self.scheduler.workers_by_id.get(model.WorkerId(worker.name))
        if tracked is not None:
            worker.ended = [
                row
                for row in worker.ended
                if row[0] > tracked.last_stored_end
                or tracked.started_unix_ms != worker.started_unix_ms
            ]
        # The progress of runs changes, so that none counts as stalled.
        self.world.report(
            self.now,
            worker.name,
            list(worker.running),
            worker.ended,
            started=worker.started_unix_ms,
            percent=self.now % 90,
        )

    def _is_lost(self) -> bool:
        return self.random.random() < self.loss

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.Start):
            self.unsent_starts.append(action)
        elif isinstance(action, actions.Stop) and not self._is_lost():
            worker = self.workers_by_id[action.worker.worker_id]
            accepted = worker.stop(
                self.now, self.term, action.task_id, action.run
            )
            self.scheduler.handle_stop_result(
                self.now,
                action.worker.worker_id,
                action.task_id,
                action.run,
                accepted,
            )

    def _store(self) -> None:
        if self.random.random() < 0.5:
            return
        changes = self.scheduler.collect_changes()
        for put in changes.puts:
            if put.table == records.PROGRESS_TABLE:
                self.progress_by_id[put.key] = put.value
        for start in self.unsent_starts:
            assert start.number <= changes.starts_until
            self._send(start)
        self.unsent_starts = []
        self.scheduler.mark_stored(self.now, changes)

    def _send(self, start: actions.Start) -> None:
        order = start.order
        if not self.scheduler.should_send_start(
            self.now, start.worker.worker_id, order.task_id, order.run
        ):
            self._answer(start, specs.StartOutcome.NOT_SENT)
            return
        self._check_capacity(start)
        self.sent_starts += 1
        if not self._is_lost():
            self._answer(start, self._execute_start(self.term, start))
            return
        delay_s = self.random.uniform(0.0, MAX_LATE_S)
        if self.random.random() < 0.7:
            self.late_orders.append((self.now + delay_s, self.term, start))
        self._answer(start, specs.StartOutcome.UNKNOWN)

    def _answer(
        self, start: actions.Start, outcome: specs.StartOutcome
    ) -> None:
        self.world.answer_start(self.now, start, outcome)

    def _execute_start(
        self, term: int, start: actions.Start
    ) -> specs.StartOutcome:
        order = start.order
        return self.workers_by_id[start.worker.worker_id].start(
            self.now, term, order.task_id, order.run, self._step(start)
        )

    def _step(self, start: actions.Start) -> specs.StepSpec:
        record = self.jobs_by_id[start.order.task_id.split('.')[0]]
        assert record.spec is not None
        return record.spec.steps[0]

    def _check_capacity(self, start: actions.Start) -> None:
        worker = self.workers_by_id[start.worker.worker_id]
        total = worker.used() + counted(self._step(start))
        permitted = worker.permitted(self.now)
        assert total.fits_in(permitted), (
            f'{start.order.task_id} brings {worker.name} to {total} of '
            f'{permitted} at {self.now:.1f}'
        )


names = st.sampled_from(NAMES)
capacities = st.sampled_from(CAPACITIES)


class WorkersThatShrink(stateful.RuleBasedStateMachine):
    """A fleet whose workers change while calls, store and holder fail."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(seed)

    @stateful.rule(
        count=st.integers(1, 8),
        size=st.sampled_from(SIZES),
        estimate_s=st.sampled_from([0.3, 1.0, 5.0]),
        kind=st.sampled_from(['plain', 'plain', 'gang', 'filler']),
        seconds=st.sampled_from([0.1, 1.0]),
    )
    def submit(
        self,
        count: int,
        size: model.Resources,
        estimate_s: float,
        kind: str,
        seconds: float,
    ) -> None:
        self.fleet.submit(
            worlds.make_step(
                count,
                size=size,
                estimate_s=estimate_s,
                gang=kind == 'gang',
                filler=kind == 'filler',
            )
        )
        self.fleet.run(seconds)

    @stateful.rule(
        name=names,
        capacity=capacities,
        seconds=st.sampled_from([0.1, 1.0, 6.0]),
    )
    def resize(
        self, name: str, capacity: model.Resources, seconds: float
    ) -> None:
        self.fleet.workers_by_id[name].resize(self.fleet.now, capacity)
        self.fleet.run(seconds)

    @stateful.rule(name=names, capacity=capacities)
    def restart(self, name: str, capacity: model.Resources) -> None:
        self.fleet.workers_by_id[name].restart(self.fleet.now, capacity)
        self.fleet.run(0.3)

    @stateful.rule()
    def take_over(self) -> None:
        self.fleet.take_over()
        self.fleet.run(0.3)

    @stateful.rule(loss=st.sampled_from([0.0, 0.2, 0.6]))
    def lose_calls(self, loss: float) -> None:
        self.fleet.loss = loss

    @stateful.rule(
        name=names,
        capacity=capacities,
        size=st.sampled_from(SIZES),
        parts=st.sampled_from(['feed', 'writes', 'feed and writes']),
        seconds=st.sampled_from([0.5, 3.0, 6.0, 9.0]),
    )
    def stop_store_for(
        self,
        name: str,
        capacity: model.Resources,
        size: model.Resources,
        parts: str,
        seconds: float,
    ) -> None:
        """A worker changes while parts of the store fail; a job waits."""
        fleet = self.fleet
        fleet.submit(worlds.make_step(6, size=size, estimate_s=5.0))
        fleet.run(TICK_S)
        fleet.feed_up = 'feed' not in parts
        fleet.writes_up = 'writes' not in parts
        fleet.workers_by_id[name].resize(fleet.now, capacity)
        fleet.run(seconds)
        fleet.feed_up = fleet.writes_up = True
        fleet.run(TICK_S)

    @stateful.rule(seconds=st.sampled_from([0.5, 2.0, 10.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    def teardown(self) -> None:
        """Let all workers grow and check that every job ends."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.loss = 0.0
        for worker in fleet.workers_by_id.values():
            worker.resize(fleet.now, CAPACITIES[-1])
        fleet.run(COMPLETION_S)
        assert fleet.unfinished_jobs() == []


TestWorkersThatShrink = WorkersThatShrink.TestCase
TestWorkersThatShrink.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=30,
    # Shrinking would replay the whole run many times.
    phases=[hypothesis.Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
