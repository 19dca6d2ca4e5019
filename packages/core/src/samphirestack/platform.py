"""Interfaces of the platform that samphirestack runs on.

The daemon reaches each of them over HTTP; tests use stand-ins that implement
the same HTTP interface.  All methods are coroutines with their own deadline
and raise :class:`samphirestack.errors.PlatformError` when it passes.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from samphirestack import model


class Row(msgspec.Struct, frozen=True):
    """A row of the table; ``value`` is plain JSON data."""

    key: str
    value: object
    version: int


class Write(msgspec.Struct, frozen=True):
    """One conditional write of a transaction.

    ``expect`` is the version that the row must have, 0 if the row must not
    exist, or ``None`` for any version.  A ``value`` of ``None`` deletes the
    row.
    """

    table: str
    key: str
    expect: int | None
    value: object


class Table(Protocol):
    """The platform's transactional table service."""

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if there is none.

        :raises errors.StoreUnavailable: no answer within the deadline.
        """

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return the rows whose key starts with ``prefix``, sorted by key.

        :raises errors.StoreUnavailable: no answer within the deadline.
        """

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        """Apply all writes or none and return the new versions.

        :raises errors.TransactionConflict: a condition does not hold.
        :raises errors.StoreUnavailable: the write certainly did not happen.
        :raises errors.OutcomeUnknown: the write may have taken effect.
        """


class ObjectStore(Protocol):
    """The platform's object store, for larger values."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none."""


class VmList(Protocol):
    """The platform's list of VMs, which lags behind the real state."""

    async def list_vms(self) -> list[model.Vm]:
        """Return all VMs that the platform lists at present."""


class TaskStart(msgspec.Struct, frozen=True):
    """Arguments of a call that starts one attempt of a task."""

    task_id: model.TaskId
    attempt: int
    job_id: model.JobId
    team: model.TeamId
    resources: model.Resources
    run_time_s: float
    """Declared run time; 0 for a task of a service."""
    payload: object = None


class RunningTask(msgspec.Struct, frozen=True):
    """A task as its agent reports it."""

    task_id: model.TaskId
    attempt: int
    job_id: model.JobId
    team: model.TeamId
    resources: model.Resources
    state: model.TaskState


class WorkerStatus(msgspec.Struct, frozen=True):
    """Answer to a successful lease call."""

    worker_id: model.WorkerId
    epoch: model.Epoch
    owner: model.VmId
    expires_in_s: float
    capacity: model.Resources
    tasks: tuple[RunningTask, ...] | None = None
    """Present if the call asked for the list of tasks."""
    last_event: int = 0


class TaskEvent(msgspec.Struct, frozen=True):
    """A state change of a task; ``number`` counts the events of the agent."""

    number: int
    task_id: model.TaskId
    attempt: int
    state: model.TaskState
    reason: str = ''


class Usage(msgspec.Struct, frozen=True):
    """Measured usage of a task; reports lag by several seconds."""

    task_id: model.TaskId
    peak: model.Resources
    run_time_s: float


class WorkerAgent(Protocol):
    """The platform's agent on a worker.

    A call with a lower epoch than the agent's raises
    :class:`samphirestack.errors.FencedOff`.  When the lease lapses, the
    agent stops all tasks; a lapsed lease can't be renewed, only acquired
    again with a higher epoch.
    """

    async def lease(
        self,
        owner: model.VmId,
        epoch: model.Epoch,
        ttl_s: float,
        with_tasks: bool,
    ) -> WorkerStatus:
        """Acquire the lease on the worker or renew it."""

    async def start(self, epoch: model.Epoch, task: TaskStart) -> None:
        """Start a task.

        :raises errors.WorkerRefused: no capacity, or it runs already.
        :raises errors.OutcomeUnknown: the task may have started.
        """

    async def checkpoint(
        self, epoch: model.Epoch, task_id: model.TaskId
    ) -> None:
        """Save the progress of a task and stop it."""

    async def throttle(
        self, epoch: model.Epoch, task_id: model.TaskId, percent: int
    ) -> None:
        """Limit a task to a percentage of its processors."""

    async def stop(self, epoch: model.Epoch, task_id: model.TaskId) -> None:
        """Stop a task at once."""

    async def events(self, since: int, timeout_s: float) -> list[TaskEvent]:
        """Wait for events numbered above ``since``."""

    async def usage(self) -> list[Usage]:
        """Return the lagging usage reports."""


class ActiveRequest(msgspec.Struct, frozen=True):
    """A request that an upstream is processing."""

    request_id: model.RequestId
    team: model.TeamId


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Status as an upstream reports it."""

    slots: int
    active: tuple[ActiveRequest, ...]
    leaving: bool


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """Complete answer of an upstream."""

    status: int
    body: bytes


class UpstreamClient(Protocol):
    """Client for the HTTP interface of upstreams."""

    async def work(
        self,
        address: str,
        request_id: model.RequestId,
        team: model.TeamId,
        epoch: model.Epoch,
        body: bytes,
        deadline_s: float,
    ) -> UpstreamAnswer:
        """Send a request and return the complete answer.

        :raises errors.UpstreamRefused: it certainly has not run.
        :raises errors.UpstreamFailed: it may have run.
        """

    async def status(self, address: str) -> UpstreamStatus:
        """Ask for the status on a new connection.

        :raises errors.UpstreamFailed: no answer in time.
        """
