"""State of jobs, tasks and workers in the task scheduler of a leader."""

import enum
from typing import Protocol

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model

NEVER_S = float('inf')


class Ledger(Protocol):
    """Accounts the usage of teams against their slices of the limits."""

    def try_acquire(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> bool:
        """Count an amount unless the slice would be exceeded."""

    def adopt(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> None:
        """Count running work that an agent reported, even beyond the slice."""

    def release(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> None:
        """Release an amount."""

    def usages(self) -> list[messages.TeamUsage]:
        """Return the usage of every team that uses resources."""

    def slice_of(self, team: model.TeamId) -> configuration.Limit:
        """Return the slice of a team; ``None`` fields are unlimited."""


class Shares(Protocol):
    """Orders teams by how far they are below their shares."""

    def charge(
        self,
        now: float,
        team: model.TeamId,
        slots: int,
        resources: model.Resources,
    ) -> None:
        """Count resources that a team begins to use."""

    def refund(
        self,
        now: float,
        team: model.TeamId,
        slots: int,
        resources: model.Resources,
    ) -> None:
        """Count resources that a team no longer uses."""

    def order(
        self, now: float, teams: list[model.TeamId]
    ) -> list[model.TeamId]:
        """Return the teams in the order in which they are served."""


class Phase(enum.Enum):
    """Phase of a task as far as the scheduler knows."""

    HELD = 'held'
    """An earlier leader may have started it, and workers have not reported."""

    QUEUED = 'queued'
    DELAYED = 'delayed'
    """It waits for the end of the retry delay after a failure."""

    PREPARED = 'prepared'
    """It has a worker; its start may wait for the write of its row."""

    STARTING = 'starting'
    RUNNING = 'running'
    ENDED = 'ended'


COMMITTED = frozenset({Phase.PREPARED, Phase.STARTING, Phase.RUNNING})


class RemovalReason(enum.Enum):
    """Why a task is removed from its worker."""

    CANCEL = 'cancel'
    PREEMPT = 'preempt'
    REGROUP = 'regroup'
    """Another task of its gang was lost, so the whole gang is restarted."""

    STRAY = 'stray'
    """It runs on a worker where the scheduler did not expect it."""


class Task:
    """One task with the state of its current attempt.

    ``job`` is ``None`` for a task that an agent reports and that matches no
    job entry.
    """

    __slots__ = (
        'attempt',
        'avoid',
        'backfill_until',
        'checkpointing',
        'confirmed_at',
        'failures',
        'index',
        'job',
        'losses',
        'may_have_run',
        'missing_at_event',
        'need',
        'not_before',
        'phase',
        'removal_asked_at',
        'removal_reason',
        'sent_at',
        'start_refused',
        'start_unconfirmed',
        'task_id',
        'team',
        'throttle_asked_at',
        'throttled',
        'worker_id',
    )

    def __init__(
        self,
        task_id: model.TaskId,
        index: int,
        team: model.TeamId,
        need: model.Resources,
        job: 'JobEntry | None',
    ) -> None:
        self.task_id = task_id
        self.index = index
        self.team = team
        self.need = need
        self.job = job
        self.phase = Phase.QUEUED
        self.worker_id: model.WorkerId | None = None
        self.attempt = 0
        self.failures = 0
        self.losses = 0
        """Consecutive attempts that were lost without a result."""
        self.avoid: set[model.WorkerId] = set()
        self.may_have_run = False
        self.not_before = 0.0
        self.clear_attempt()

    def clear_attempt(self) -> None:
        """Reset the state of the current attempt."""
        self.sent_at = NEVER_S
        self.confirmed_at = NEVER_S
        self.start_unconfirmed = False
        """Whether it is unknown if the start took effect."""
        self.start_refused = False
        """Whether the agent refused the start."""
        self.missing_at_event: int | None = None
        self.removal_reason: RemovalReason | None = None
        self.checkpointing = False
        self.removal_asked_at = 0.0
        self.backfill_until: float | None = None
        self.throttled = False
        self.throttle_asked_at = -NEVER_S

    @property
    def is_committed(self) -> bool:
        """Whether it holds resources of a worker."""
        return self.phase in COMMITTED


class JobEntry:
    """A job with the tasks that have not ended."""

    __slots__ = (
        'arrived_at',
        'dispatched',
        'ended',
        'gang_queued',
        'inserted_in_term',
        'job',
        'may_backfill',
        'profile',
        'reason',
        'regrouping',
        'started',
        'state',
        'stored_dispatched',
        'tasks_by_index',
    )

    def __init__(
        self,
        now: float,
        record: model.JobRecord,
        profile: configuration.Profile,
        inserted_in_term: bool,
    ) -> None:
        self.job = record.job
        self.profile = profile
        self.arrived_at = now
        self.inserted_in_term = inserted_in_term
        self.may_backfill = True
        """Whether its estimated run times are trusted for backfill."""
        self.state = record.state
        self.reason = record.reason
        self.ended = dict(record.ended)
        self.dispatched = dict(record.dispatched)
        self.stored_dispatched = dict(record.dispatched)
        self.started = record.state is model.JobState.RUNNING
        self.regrouping = False
        self.gang_queued = False
        self.tasks_by_index: dict[int, Task] = {}
        for index in range(record.job.tasks):
            if index not in self.ended:
                self.tasks_by_index[index] = self._new_task(index)

    @property
    def is_gang(self) -> bool:
        """Whether all its tasks must start together."""
        return self.job.kind is model.JobKind.GANG

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return self.job.kind is model.JobKind.SERVICE

    @property
    def is_failed_gang(self) -> bool:
        """Whether a task of the gang has failed, so that no other starts."""
        return self.is_gang and model.TaskState.FAILED in self.ended.values()

    def committed(self) -> list[Task]:
        """Return the tasks that hold resources of workers."""
        return [t for t in self.tasks_by_index.values() if t.is_committed]

    def record(self) -> model.JobRecord:
        """Return the row as it should be in the table."""
        succeeded = sum(
            state is model.TaskState.SUCCEEDED for state in self.ended.values()
        )
        failed = sum(
            state is model.TaskState.FAILED for state in self.ended.values()
        )
        return model.JobRecord(
            self.job,
            self.state,
            succeeded,
            failed,
            self.reason,
            dict(self.ended),
            dict(self.dispatched),
        )

    def _new_task(self, index: int) -> Task:
        job = self.job
        task = Task(
            model.task_id(job.job_id, index),
            index,
            job.team,
            job.resources,
            self,
        )
        task.attempt = self.dispatched.get(index, 0)
        task.may_have_run = task.attempt > 0
        return task


class WorkerEntry:
    """A worker and the state of its agent, as far as known."""

    __slots__ = (
        'evacuated',
        'event_handled_at',
        'last_event_handled',
        'listed',
        'lost',
        'lost_after',
        'lost_at',
        'needs_query',
        'reachable',
        'reported',
        'tasks_by_id',
        'vm',
        'worker_id',
    )

    def __init__(self, vm: model.Vm) -> None:
        self.worker_id = model.WorkerId(vm.vm_id)
        self.vm = vm
        self.listed = True
        self.evacuated = False
        """Whether an operator has evacuated its zone."""
        self.reset()

    def reset(self) -> None:
        """Reset the state for a new term."""
        self.reported = False
        """Whether it has reported its tasks in this term."""
        self.reachable = False
        self.needs_query = False
        """Whether its list of tasks must be read again before it is used."""
        self.lost = False
        """Whether its lease has lapsed, so that its tasks have ended."""
        self.lost_after: float | None = None
        self.lost_at = -NEVER_S
        self.last_event_handled = 0
        self.event_handled_at = -NEVER_S
        """When the last event was handled."""
        self.tasks_by_id: dict[model.TaskId, Task] = {}

    @property
    def accepts_tasks(self) -> bool:
        """Whether new tasks may be sent to it."""
        return (
            self.listed
            and not self.evacuated
            and self.reported
            and self.reachable
            and not self.needs_query
            and self.vm.state is model.VmState.LIVE
        )
