"""A discrete-event model of workers and advice under the real scheduler.

It runs ``samphirestack.fleet`` in simulated time: jobs arrive, plans are
made, placements are stored, workers run tasks and say when they end.
Network, store and advice are fixed times.  There are no failures, so that it
says nothing about takeovers; its figures are no verdict on the product.
"""

from collections.abc import Callable
import heapq
import itertools
import random

import msgspec

from samphirestack.fleet import actions
from samphirestack.fleet import ports
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_bench import fleet_load

STORE_S = 0.02
"""A batch of the writer and its transaction."""

CALL_S = 0.003
"""A call to a worker, one way and back."""

PLAN_EVERY_S = 0.01
TICK_S = 0.05
"""Between plans at least, and at most."""

LEASE_S = 6.0
MAX_URGENT_BACKLOG_S = 0.4
CALLERS = 32
"""Entries that call the advice service, one call at a time each."""

SPEEDS = (0.8, 1.0, 1.25)
WORKER_SIZE = model.Resources(fleet_load.WORKER_MILLICORES, 32_768)
RACK_WORKERS = 8
DRAIN_S = 40.0
"""Time after the last arrival in which jobs may end."""


class Outcome(msgspec.Struct):
    """What became of a job."""

    arrival: fleet_load.Arrival
    started_at: float | None = None
    ended_at: float | None = None

    @property
    def earned(self) -> float:
        """Return what the job earned."""
        if self.ended_at is None:
            return 0.0
        return self.arrival.earned(self.ended_at - self.arrival.at)


class Callers:
    """Entries that call for advice; implements ``planner.AdviceCallers``."""

    def __init__(self, count: int) -> None:
        self.now = 0.0
        self.busy_until = [0.0] * count
        self.taken: list[float] = []
        """When the calls of this plan will be answered."""

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        """Reserve the least busy caller if it suits the call."""
        position = min(
            range(len(self.busy_until)), key=self.busy_until.__getitem__
        )
        free_at = max(self.now, self.busy_until[position])
        backlog_s = free_at - self.now
        if backlog_s > (MAX_URGENT_BACKLOG_S if urgent else 0.0):
            return False
        self.busy_until[position] = free_at + expected_s
        self.taken.append(free_at + expected_s)
        return True


class Worker:
    """What a worker runs."""

    def __init__(self, entry: specs.WorkerEntry, speed: float) -> None:
        self.entry = entry
        self.speed = speed
        self.ends = 0
        self.begun_at_by_key: dict[
            tuple[model.TaskId, int], tuple[float, float, model.Resources]
        ] = {}
        """When each run began, when it will end and its size."""

    @property
    def used(self) -> model.Resources:
        """Return the room of everything that runs."""
        total = model.Resources()
        for _, _, size in self.begun_at_by_key.values():
            total += size
        return total


class FleetModel:
    """A day of a fleet.

    :param suitable_seed: decides which workers suit which step.
    """

    def __init__(
        self,
        jobs: list[fleet_load.Arrival],
        workers: int,
        suitable_seed: int,
    ) -> None:
        self._now = 0.0
        self._suitable_seed = suitable_seed
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._plan_pending = False
        self._tick_pending = False
        self._store_pending = False
        self._left = len(jobs)
        self._planned: list[actions.Start] = []
        self.callers = Callers(CALLERS)
        self.outcomes_by_id = {job.record.job_id: Outcome(job) for job in jobs}
        self.workers_by_id: dict[model.WorkerId, Worker] = {}
        for number in range(workers):
            entry = _entry(number)
            self.workers_by_id[entry.worker_id] = Worker(
                entry, SPEEDS[number % len(SPEEDS)]
            )
        self.scheduler = schedulers.FleetScheduler(
            0.0,
            1,
            specs.FleetConfiguration(
                1,
                [kind.queue for kind in fleet_load.KINDS],
                [],
                [],
                {},
                1_000_000,
            ),
            LEASE_S,
        )
        self.scheduler.set_workers(
            0.0, [worker.entry for worker in self.workers_by_id.values()]
        )
        for worker in self.workers_by_id.values():
            self._report(worker, ())
        self._length_s = max(job.at for job in jobs) + DRAIN_S
        for job in jobs:
            self._at(job.at, self._arrival(job))

    def run(self) -> list[Outcome]:
        """Play the day and return what became of the jobs."""
        self._wake(self._now)
        while self._events and self._left:
            at, _, event = heapq.heappop(self._events)
            if at > self._length_s:
                break
            self._now = at
            event()
        return list(self.outcomes_by_id.values())

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), event))

    def _arrival(self, job: fleet_load.Arrival) -> Callable[[], None]:
        def accept() -> None:
            self.scheduler.accept_job(self._now, self._now, job.record)
            self._wake(self._now + PLAN_EVERY_S)

        return accept

    # Planning

    def _wake(self, at: float) -> None:
        if not self._plan_pending:
            self._plan_pending = True
            self._at(at, self._plan)

    def _plan(self) -> None:
        self._plan_pending = False
        self.callers.now = self._now
        self.callers.taken.clear()
        for action in self.scheduler.plan(self._now, self.callers):
            if isinstance(action, actions.Start):
                self._planned.append(action)
                self._store_soon()
            elif isinstance(action, actions.RequestAdvice):
                answered_at = self.callers.taken.pop(0)
                self._at(answered_at, self._advice(action, self._now))
            elif isinstance(action, actions.Stop):
                self._at(self._now + CALL_S, self._stopping(action))
        if self.scheduler.jobs.ready_steps and not self._tick_pending:
            self._tick_pending = True
            self._at(self._now + TICK_S, self._tick)

    def _tick(self) -> None:
        self._tick_pending = False
        self._wake(self._now)

    def _advice(
        self, ask: actions.RequestAdvice, asked_at: float
    ) -> Callable[[], None]:
        def answer() -> None:
            step = self.scheduler.jobs.find_step(ask.step_id)
            if step is None:
                return
            share = _kind(step.job.queue).suitable
            good = {
                worker_id: 'ticket'
                for worker_id in ask.worker_ids
                if random.Random(
                    f'{self._suitable_seed}{ask.step_id}{worker_id}'
                ).random()
                < share
            }
            self.scheduler.handle_advice_result(
                self._now,
                asked_at,
                ask.step_id,
                ask.worker_ids,
                ports.Advice(good),
            )
            self._wake(self._now)

        return answer

    # Storing

    def _store_soon(self) -> None:
        if not self._store_pending:
            self._store_pending = True
            self._at(self._now + STORE_S, self._store)

    def _store(self) -> None:
        self._store_pending = False
        while self.scheduler.jobs.has_changes:
            changes = self.scheduler.collect_changes()
            self.scheduler.mark_stored(self._now, changes)
            for job_id, _ in changes.row_keys:
                if job_id in self.scheduler.jobs.ended_by_id:
                    outcome = self.outcomes_by_id[job_id]
                    if outcome.ended_at is None:
                        outcome.ended_at = self._now
                        self._left -= 1
        for start in self._planned:
            self._at(self._now + CALL_S, self._starting(start))
        self._planned = []

    # Workers

    def _starting(self, start: actions.Start) -> Callable[[], None]:
        def begin() -> None:
            worker = self.workers_by_id[start.worker.worker_id]
            task_id, run = start.order.task_id, start.order.run
            if not self.scheduler.should_send_start(
                self._now, start.worker.worker_id, task_id, run
            ):
                outcome = specs.StartOutcome.NOT_SENT
            else:
                outcome = specs.StartOutcome.STARTED
                self._begin(worker, task_id, run)
            self.scheduler.handle_start_result(
                self._now, worker.entry.worker_id, task_id, run, outcome
            )

        return begin

    def _begin(
        self,
        worker: Worker,
        task_id: model.TaskId,
        run: specs.RunNumber,
    ) -> None:
        parts = specs.split_task_id(task_id)
        assert parts is not None
        outcome = self.outcomes_by_id[parts[0]]
        spec = outcome.arrival.record.spec
        assert spec is not None
        size = spec.steps[parts[2]].size
        work_s = outcome.arrival.work_s_by_step[parts[2]] / worker.speed
        if outcome.started_at is None:
            outcome.started_at = self._now
        key = (task_id, int(run))
        worker.begun_at_by_key[key] = (self._now, self._now + work_s, size)
        if not worker.used.fits_in(worker.entry.capacity):
            raise AssertionError(
                f'{worker.entry.worker_id} runs more than its room'
            )
        self._at(
            self._now + work_s,
            lambda: self._end(worker, key, specs.EndReason.DONE),
        )

    def _stopping(self, stop: actions.Stop) -> Callable[[], None]:
        def end() -> None:
            worker = self.workers_by_id[stop.worker.worker_id]
            self.scheduler.handle_stop_result(
                self._now, worker.entry.worker_id, stop.task_id, stop.run, True
            )
            key = (stop.task_id, int(stop.run))
            self._end(worker, key, specs.EndReason.STOPPED)

        return end

    def _end(
        self,
        worker: Worker,
        key: tuple[model.TaskId, int],
        reason: specs.EndReason,
    ) -> None:
        if worker.begun_at_by_key.pop(key, None) is None:
            return
        worker.ends += 1
        end = specs.EndRow(
            worker.ends,
            key[0],
            specs.RunNumber(key[1]),
            reason,
            specs.NO_CHECKPOINT,
        )
        self._report(worker, (end,))
        self._store_soon()
        self._wake(self._now)

    def _report(self, worker: Worker, ended: tuple[specs.EndRow, ...]) -> None:
        running = tuple(
            specs.RunningRow(
                key[0],
                specs.RunNumber(key[1]),
                specs.NO_CHECKPOINT,
                100 * (self._now - begun) / max(ends - begun, 0.001),
            )
            for key, (begun, ends, _) in worker.begun_at_by_key.items()
        )
        self.scheduler.apply_report(
            self._now,
            self._now,
            worker.entry.worker_id,
            specs.WorkerReport(self._now * 1000, 1, running, ended),
        )


def _kind(queue: specs.Queue) -> fleet_load.Kind:
    return next(
        kind
        for kind in fleet_load.KINDS
        if kind.queue.queue_id == queue.queue_id
    )


def _entry(number: int) -> specs.WorkerEntry:
    rack = f'r{number // RACK_WORKERS}'
    return specs.WorkerEntry(
        model.WorkerId(f'w{number:04}'),
        f'w{number:04}:1',
        fleet_load.SERVICE,
        model.ZoneId('zone'),
        specs.WorkerState.READY,
        WORKER_SIZE,
        ('a', rack),
        rack,
        started_unix_ms=1,
    )
