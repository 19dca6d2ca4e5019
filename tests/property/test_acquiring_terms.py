"""Entries that claim the term while their calls to the store fail."""

import asyncio
import enum
from typing import Any
from unittest import mock

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec

from samphirestack import errors
from samphirestack.fleet import ports
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestack_testing import virtual_time
from samphirestackd.fleet import clock
from samphirestackd.fleet import node
from samphirestackd import http_client

CALL_TIMEOUT_S = 0.9
RECOVERY_S = 12.0
"""Time after the last fault within which a survivor must hold the term."""

SAMPLE_S = 0.02


class Fault(enum.Enum):
    """What happens to the calls of one entry."""

    NONE = 'none'
    REFUSED = 'refused'
    LOST = 'lost'
    """A write is applied and not answered."""
    DROPPED = 'dropped'
    """A write is neither applied nor answered."""
    LATE = 'late'
    """A write is not answered, and applied later if its condition holds."""


class Phase(msgspec.Struct, frozen=True):
    """A fault and how long it lasts."""

    fault: Fault
    duration_s: float


class FaultyStore:
    """Access of one entry to a store, with faults."""

    def __init__(self, rows: row_store.MemoryRowStore) -> None:
        self._rows = rows
        self.fault = Fault.NONE
        self.late_after_s = 0.0
        self._late_writes: set[asyncio.Task[None]] = set()

    async def _fail(self, is_write: bool) -> None:
        if self.fault is Fault.NONE:
            return
        if self.fault is Fault.REFUSED:
            raise errors.StoreUnavailable('refused')
        await asyncio.sleep(CALL_TIMEOUT_S)
        if is_write:
            raise errors.OutcomeUnknown('no answer')
        raise errors.StoreUnavailable('no answer')

    async def _write_late(self, delay_s: float, arguments: Any) -> None:
        await asyncio.sleep(delay_s)
        try:
            await self._rows.transact(*arguments)
        except errors.TransactionConflict:
            return

    async def transact(self, *arguments: Any) -> int:
        if self.fault in (Fault.NONE, Fault.LOST):
            version = await self._rows.transact(*arguments)
        elif self.fault is Fault.LATE:
            task = asyncio.create_task(
                self._write_late(self.late_after_s, arguments)
            )
            self._late_writes.add(task)
            task.add_done_callback(self._late_writes.discard)
        await self._fail(is_write=True)
        return version

    async def read(self, *arguments: Any, **more: Any) -> ports.Page:
        await self._fail(is_write=False)
        return await self._rows.read(*arguments, **more)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        del table
        await self._fail(is_write=False)
        await asyncio.sleep(wait_s)
        return ports.Page([], after, False)


class Registry:
    """Registry of a deployment without workers."""

    operator_table = 'operator'
    workers_table = 'workers'


class UnreachableHolder:
    """Connection to a holder that never replies."""

    is_late = True
    is_silent = True

    def close(self) -> None:
        pass


class Entry:
    """One entry process without links to the others."""

    def __init__(self, name: str, rows: row_store.MemoryRowStore) -> None:
        self.store = FaultyStore(rows)
        context = worlds.make_context(self.store)
        context.vm_id = model.VmId(name)
        context.registry = Registry()  # type: ignore[assignment]
        self.node = node.Node(context, '127.0.0.1:*')
        self.node._listener.close()
        self.node._zmq.destroy(0)
        self.node._connection = UnreachableHolder()  # type: ignore[assignment]
        self.node.configuration_feed.configuration = (
            worlds.make_configuration()
        )
        self._tasks = [
            asyncio.create_task(self.node._poll_term()),
            asyncio.create_task(self.node._acquire_terms()),
        ]

    async def kill(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def may_start_work(self) -> bool:
        return self.node._holder is not None and (
            self.node.term.may_start_work(clock.now())
        )

    def assert_runs(self) -> None:
        for task in self._tasks:
            assert not task.done(), task


async def _apply(store: FaultyStore, phases: list[Phase]) -> None:
    for phase in phases:
        store.fault = phase.fault
        store.late_after_s = CALL_TIMEOUT_S + phase.duration_s / 2
        await asyncio.sleep(phase.duration_s)
    store.fault = Fault.NONE


def _holders(entries: list[Entry]) -> list[Entry]:
    return [entry for entry in entries if entry.may_start_work()]


async def _play(
    phases_by_entry: list[list[Phase]], kill_times: list[float]
) -> None:
    """Play faults and the loss of entries, of which one survives."""
    loop = asyncio.get_running_loop()
    with (
        mock.patch.object(clock, 'now', loop.time),
        mock.patch.object(
            http_client,
            'refuses_connections',
            mock.AsyncMock(return_value=False),
        ),
    ):
        rows = row_store.MemoryRowStore()
        entries = [
            Entry(f'e{index}', rows) for index in range(len(phases_by_entry))
        ]
        kill_times = sorted(kill_times)[: len(entries) - 1]
        faults = asyncio.gather(
            *(
                _apply(entry.store, phases)
                for entry, phases in zip(entries, phases_by_entry, strict=True)
            )
        )
        calm_since = float('inf')
        try:
            while True:
                await asyncio.sleep(SAMPLE_S)
                now = loop.time()
                holders = _holders(entries)
                assert len(holders) <= 1
                for entry in entries:
                    entry.assert_runs()
                if kill_times and now >= kill_times[0]:
                    del kill_times[0]
                    lost = (holders or entries)[0]
                    entries.remove(lost)
                    await lost.kill()
                if (
                    not kill_times
                    and faults.done()
                    and calm_since == float('inf')
                ):
                    calm_since = now
                if now > calm_since and holders:
                    return
                assert now <= calm_since + RECOVERY_S, 'nobody holds the term'
        finally:
            faults.cancel()
            for entry in entries:
                await entry.kill()


_phases = st.lists(
    st.builds(
        Phase,
        st.sampled_from(list(Fault)),
        st.floats(0.05, 5.0, allow_nan=False),
    ),
    max_size=4,
)
CALM = Phase(Fault.NONE, 2.3)


class TestAcquiringTerms:
    """Guards against a term that is claimed and never begun.

    Then nothing is scheduled, although its entry reaches the store again.
    """

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(_phases, min_size=1, max_size=3),
        st.lists(st.floats(0.0, 8.0), max_size=2),
    )
    @example(
        [[CALM, Phase(Fault.LOST, 4.0)], [CALM, Phase(Fault.LOST, 4.0)]],
        [2.0],
    )
    @example(
        [[CALM, Phase(Fault.LATE, 3.0)], [CALM, Phase(Fault.LATE, 3.0)]],
        [2.0],
    )
    def test_a_survivor_holds_it_and_never_two(
        self, phases_by_entry: list[list[Phase]], kill_times: list[float]
    ) -> None:
        virtual_time.run(_play(phases_by_entry, kill_times))
