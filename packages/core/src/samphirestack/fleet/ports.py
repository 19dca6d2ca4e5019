"""Interfaces to the platform on which the fleet scheduler runs."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import msgspec

from samphirestack.fleet import specs
from samphirestack.fleet import upkeep
from samphirestack import model


class StoredRow(msgspec.Struct, frozen=True):
    """A row of the store."""

    key: str
    value: bytes
    version: int
    removed: bool = False


class Condition(msgspec.Struct, frozen=True):
    """Required version of a row; 0 if the row must be absent."""

    table: str
    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    key: str
    value: bytes


class Removal(msgspec.Struct, frozen=True):
    """A row to remove."""

    table: str
    key: str


class Page(msgspec.Struct, frozen=True):
    """Rows and the version of the store that they reflect."""

    rows: list[StoredRow]
    version: int
    more: bool = False


class RowStore(Protocol):
    """Transactional store of the platform.

    Each call has its own deadline.
    """

    async def transact(
        self,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        removals: Sequence[Removal] = (),
        part: str = '',
    ) -> int:
        """Apply everything or nothing and return the new version.

        :param part: part of the tables that contains all the rows.

        :raises errors.TransactionConflict: a condition does not hold.
        :raises errors.StoreUnavailable: nothing was written.
        :raises errors.OutcomeUnknown: it may have been written or may still
            be.
        """

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> Page:
        """Return the rows from ``first`` up to but excluding ``end``.

        :param part: part of the table to read.

        :raises errors.StoreUnavailable: no answer within the deadline.
        """

    async def feed(self, table: str, after: int, wait_s: float) -> Page | None:
        """Wait for changes after a version; ``None`` if they were discarded.

        All parts of the table are covered.

        :raises errors.StoreUnavailable: no answer within the deadline.
        """


class TaskOrder(msgspec.Struct, frozen=True):
    """An order to start a run of a task."""

    task_id: model.TaskId
    run: specs.RunNumber
    payload: str
    checkpoint: specs.Checkpoint
    ticket: str


class WorkerPort(Protocol):
    """Calls to workers; lease deadlines are on the worker's clock.

    Each carries the ``token`` that the scheduler gave to the process of the
    worker that it is meant for.
    """

    async def start(
        self,
        worker: specs.WorkerEntry,
        order: TaskOrder,
        token: specs.CallToken,
        deadline_ms: int,
        may_send: Callable[[], bool],
    ) -> specs.StartOutcome:
        """Order the start of a run and extend the worker's lease.

        :param may_send: whether the term still permits orders; checked
            directly before the order is sent.
        """

    async def stop(
        self,
        worker: specs.WorkerEntry,
        task_id: model.TaskId,
        run: specs.RunNumber,
        token: specs.CallToken,
    ) -> bool:
        """Order the stop of a run; return whether the worker accepted it."""

    async def throttle(
        self,
        worker: specs.WorkerEntry,
        task_id: model.TaskId,
        run: specs.RunNumber,
        percent: int,
        token: specs.CallToken,
    ) -> bool:
        """Set the speed limit of a run; return whether it was accepted."""

    async def hold(
        self,
        worker: specs.WorkerEntry,
        token: specs.CallToken,
        last_seen: int,
        deadline_ms: int | None,
        wait_s: float,
        may_send: Callable[[], bool],
    ) -> specs.WorkerReport:
        """Extend the lease, wait for a run to end and return the lists.

        :param last_seen: number of an end; the worker forgets the ends up to
            it.  0 if it is to forget none.
        :param deadline_ms: new end of the lease; ``None`` to leave it.
        :param wait_s: maximum time to wait for an end.
        :param may_send: whether the call still fits the worker's process;
            checked directly before the call is sent.

        :raises errors.CallOutdated: it did not, and nothing was sent.
        :raises errors.FencedOff: the worker has seen a higher token.
        :raises errors.WorkerRefused: it was restarted or is unhealthy.
        :raises errors.PlatformError: no answer.
        """


class Machines(Protocol):
    """Machines of the platform on which the workers run."""

    async def list_machines(self) -> dict[str, upkeep.MachineState]:
        """Return the state of each machine.

        :raises errors.PlatformError: no answer.
        """

    async def begin_upkeep(
        self, machine: str, wave: int, holder: model.VmId, term: int
    ) -> bool:
        """Take a machine down for upkeep; return whether it has begun.

        :raises errors.PlatformError: no answer; it may have begun.
        """


class Advice(msgspec.Struct, frozen=True):
    """Answer of the advice service: a ticket for each suitable worker."""

    tickets_by_worker_id: dict[model.WorkerId, str]


class Advisor(Protocol):
    """Service that decides which workers may run a step."""

    async def advise(
        self, step_id: str, worker_ids: Sequence[model.WorkerId]
    ) -> Advice:
        """Ask which workers may run a step.

        The duration of the call follows the advice policy of the queue.


        :raises errors.PlatformError: no answer, or too many calls.
        """
