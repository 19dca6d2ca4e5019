"""Interfaces of the platform that the fleet scheduler runs on."""

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
    """Version that a row must have; 0 if it must be absent."""

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
    """Rows and the store's version that they reflect."""

    rows: list[StoredRow]
    version: int
    more: bool = False


class RowStore(Protocol):
    """The platform's transactional store.

    Each call has a deadline of its own.
    """

    async def transact(
        self,
        conditions: Sequence[Condition],
        puts: Sequence[Put],
        removals: Sequence[Removal] = (),
        part: str = '',
    ) -> int:
        """Apply everything or nothing and return the new version.

        :param part: part of the tables in which all the rows are.

        :raises errors.TransactionConflict: a condition does not hold.
        :raises errors.StoreUnavailable: certainly nothing was written.
        :raises errors.OutcomeUnknown: it may be written now or later.
        """

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> Page:
        """Return the rows from ``first`` up to, but without, ``end``.

        :param part: the part of the table that is read.

        :raises errors.StoreUnavailable: no answer within the deadline.
        """

    async def feed(self, table: str, after: int, wait_s: float) -> Page | None:
        """Wait for changes after a version; ``None`` if history is gone.

        It covers all parts of the table.

        :raises errors.StoreUnavailable: no answer within the deadline.
        """


class TaskOrder(msgspec.Struct, frozen=True):
    """An order to start one run of a task."""

    task_id: model.TaskId
    run: specs.RunNumber
    payload: str
    checkpoint: specs.Checkpoint
    ticket: str


class WorkerPort(Protocol):
    """Calls to workers; ``deadline_ms`` is on the worker's clock."""

    async def start(
        self,
        worker: specs.WorkerEntry,
        order: TaskOrder,
        term: int,
        deadline_ms: int,
    ) -> specs.StartOutcome:
        """Order a run."""

    async def stop(
        self,
        worker: specs.WorkerEntry,
        task_id: model.TaskId,
        run: specs.RunNumber,
        term: int,
    ) -> bool:
        """Order a stop; return whether the worker took the order."""

    async def throttle(
        self,
        worker: specs.WorkerEntry,
        task_id: model.TaskId,
        run: specs.RunNumber,
        percent: int,
        term: int,
    ) -> bool:
        """Set the share of a run; return whether the order was taken."""

    async def hold(
        self,
        worker: specs.WorkerEntry,
        term: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> specs.WorkerReport:
        """Extend the lease, wait for an end and return the lists.

        :raises errors.FencedOff: a newer term has spoken to the worker.
        :raises errors.WorkerRefused: it is another life, or unhealthy.
        :raises errors.PlatformError: no answer.
        """


class Machines(Protocol):
    """The platform's machines under the workers."""

    async def list_machines(self) -> dict[str, upkeep.MachineState]:
        """Return the state of each machine.

        :raises errors.PlatformError: no answer.
        """

    async def begin_upkeep(
        self, machine: str, wave: int, holder: model.VmId, term: int
    ) -> bool:
        """Take a machine down; return whether its upkeep has begun.

        :raises errors.PlatformError: no answer; it may have begun.
        """


class Advice(msgspec.Struct, frozen=True):
    """Workers that may run a step."""

    tickets_by_worker_id: dict[model.WorkerId, str]


class Advisor(Protocol):
    """The service that knows which workers may run a step."""

    async def advise(
        self, step_id: str, worker_ids: Sequence[model.WorkerId]
    ) -> Advice:
        """Ask about a step; the call lasts as long as the policy says.

        :raises errors.PlatformError: no answer, or too many calls.
        """
