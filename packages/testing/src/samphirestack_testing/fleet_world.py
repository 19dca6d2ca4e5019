"""Builders for tests of the fleet scheduler."""

from collections.abc import Iterable

import msgspec

from samphirestack.fleet import actions
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack import model
from samphirestackd.fleet import decision_log
from samphirestackd.fleet import metrics
from samphirestackd.fleet import node_context

SERVICE = model.ServiceId('notices')
LEASE_S = 6.0
UNIX_AT_ZERO_S = 1_000_000.0
"""Unix time when the scheduler's clock shows 0."""


class UnlimitedAdviceCallers:
    """Callers of which one is always available."""

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        """Return that a caller is available."""
        return True


def make_queue(name: str = 'q', **fields: object) -> specs.Queue:
    values: dict[str, object] = {
        'max_attempts': 3,
        'stretch': 2.0,
        'latency_target_s': 1.0,
        'priority': 1,
    }
    values.update(fields)
    return specs.Queue(
        model.QueueId(name),
        SERVICE,
        'host',
        f'/{name}/',
        **values,  # type: ignore[arg-type]
    )


def make_step(count: int = 1, **fields: object) -> specs.StepSpec:
    values: dict[str, object] = {
        'size': model.Resources(1000, 1000),
        'estimate_s': 1.0,
    }
    values.update(fields)
    return specs.StepSpec(count, **values)  # type: ignore[arg-type]


def make_job(
    number: int,
    steps: Iterable[specs.StepSpec] = (),
    queue: specs.Queue | None = None,
    customer: str = 'team',
    **fields: object,
) -> records.JobRecord:
    steps = tuple(steps) or (make_step(),)
    return records.JobRecord(
        model.JobId(f'{number:016x}'),
        queue or make_queue(),
        model.TeamId(customer),
        UNIX_AT_ZERO_S,
        specs.JobSpec('payload', steps, **fields),  # type: ignore[arg-type]
    )


def make_worker(
    name: str,
    cpu: int = 16_000,
    memory: int = 32_000,
    state: specs.WorkerState = specs.WorkerState.READY,
    started: int = 1,
    **fields: object,
) -> specs.WorkerEntry:
    values: dict[str, object] = {'labels': ('a', 'r1'), 'rack': 'r1'}
    values.update(fields)
    return specs.WorkerEntry(
        model.WorkerId(name),
        f'{name}:1',
        SERVICE,
        model.ZoneId('z'),
        state,
        model.Resources(cpu, memory),
        started_unix_ms=started,
        **values,  # type: ignore[arg-type]
    )


def with_capacity(
    entry: specs.WorkerEntry, capacity: model.Resources
) -> specs.WorkerEntry:
    return msgspec.structs.replace(entry, capacity=capacity)


def make_configuration(
    queues: Iterable[specs.Queue] = (),
    customers: Iterable[specs.Customer] = (),
    services: Iterable[specs.Service] = (),
) -> specs.FleetConfiguration:
    return specs.FleetConfiguration(
        1,
        list(queues) or [make_queue()],
        list(customers),
        list(services),
        {},
        10_000,
    )


def make_report(
    clock_ms: float,
    running: Iterable[tuple[str, int]] = (),
    ended: Iterable[tuple[int, str, int, specs.EndReason]] = (),
    started: int = 1,
    percent: float = 10.0,
) -> specs.WorkerReport:
    return specs.WorkerReport(
        clock_ms,
        started,
        tuple(
            specs.RunningRow(
                model.TaskId(task),
                specs.RunNumber(run),
                specs.NO_CHECKPOINT,
                percent,
            )
            for task, run in running
        ),
        tuple(
            specs.EndRow(
                number,
                model.TaskId(task),
                specs.RunNumber(run),
                reason,
                specs.NO_CHECKPOINT,
            )
            for number, task, run, reason in ended
        ),
    )


def make_context(store: ports.RowStore) -> node_context.Context:
    """Return the context of a process that only uses the store."""
    return node_context.Context(
        vm_id=model.VmId('vm'),
        zone=model.ZoneId('z'),
        strength=1.0,
        bounds=node_context.Bounds(LEASE_S, 5.0, 6.0, 2.0, 120.0),
        store=store,
        workers=None,  # type: ignore[arg-type]
        advisor=None,  # type: ignore[arg-type]
        machines=None,  # type: ignore[arg-type]
        registry=None,  # type: ignore[arg-type]
        log=decision_log.DecisionLog(),
        metrics=metrics.Metrics(),
        configuration=lambda: None,
        waves=dict,
    )


class World:
    """A scheduler and its workers.

    :param reported: whether the workers have sent a first report.
    :param earlier_renewal_before: see ``FleetScheduler``.
    """

    def __init__(
        self,
        workers: Iterable[specs.WorkerEntry],
        configuration: specs.FleetConfiguration | None = None,
        term: int = 1,
        reported: bool = True,
        earlier_renewal_before: float = 0.0,
    ) -> None:
        self.scheduler = schedulers.FleetScheduler(
            0.0,
            term,
            configuration or make_configuration(),
            LEASE_S,
            earlier_renewal_before,
        )
        self.scheduler.jobs.unix_offset_s = UNIX_AT_ZERO_S
        self.workers = list(workers)
        self.scheduler.set_workers(0.0, self.workers)
        if reported:
            for worker in self.workers:
                self.report(0.0, worker.worker_id)

    def report(
        self,
        now: float,
        worker_id: str,
        running: Iterable[tuple[str, int]] = (),
        ended: Iterable[tuple[int, str, int, specs.EndReason]] = (),
        sent_at: float | None = None,
        started: int = 1,
        percent: float = 10.0,
        acknowledged_end: int = 0,
    ) -> list[specs.EndRow]:
        return self.scheduler.apply_report(
            now,
            now if sent_at is None else sent_at,
            model.WorkerId(worker_id),
            make_report(now * 1000, running, ended, started, percent),
            acknowledged_end,
        )

    def accept(self, now: float, job: records.JobRecord) -> model.JobId:
        assert self.scheduler.accept_job(now, UNIX_AT_ZERO_S + now, job)
        return job.job_id

    def take_over(
        self,
        now: float,
        job: records.JobRecord,
        progress: records.JobProgress,
    ) -> None:
        """Let the holder of the next term load a job."""
        self.scheduler = schedulers.FleetScheduler(
            now, self.scheduler.term + 1, make_configuration(), LEASE_S
        )
        self.scheduler.jobs.unix_offset_s = UNIX_AT_ZERO_S
        self.scheduler.set_workers(now, self.workers)
        self.scheduler.load_job(now, UNIX_AT_ZERO_S + now, job, progress)

    def plan(self, now: float) -> list[actions.Action]:
        return self.scheduler.plan(now, UnlimitedAdviceCallers())

    def plan_starts(self, now: float) -> list[actions.Start]:
        return [
            action
            for action in self.plan(now)
            if isinstance(action, actions.Start)
        ]

    def start_all(self, now: float) -> list[actions.Start]:
        """Plan and let the workers confirm all starts."""
        starts = self.plan_starts(now)
        for start in starts:
            self.answer_start(now, start, specs.StartOutcome.STARTED)
        return starts

    def answer_start(
        self, now: float, start: actions.Start, outcome: specs.StartOutcome
    ) -> None:
        self.scheduler.handle_start_result(
            now,
            start.worker.worker_id,
            start.order.task_id,
            start.order.run,
            outcome,
        )

    def send_start(self, now: float, start: actions.Start) -> bool:
        """Send a planned start, if it still may be, and accept it."""
        sent = self.scheduler.should_send_start(
            now, start.worker.worker_id, start.order.task_id, start.order.run
        )
        outcome = (
            specs.StartOutcome.STARTED if sent else specs.StartOutcome.NOT_SENT
        )
        self.answer_start(now, start, outcome)
        return sent

    def store_changes(self, now: float = 0.0) -> actions.Changes:
        changes = self.scheduler.collect_changes()
        self.scheduler.mark_stored(now, changes)
        return changes
