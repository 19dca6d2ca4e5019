"""Messages between a holder and entries, and giving up the term."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Any

import pytest

from samphirestack import errors
from samphirestack.fleet import messages
from samphirestack.fleet import pacing
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import term as terms
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestackd.fleet import advice_callers
from samphirestackd.fleet import clock
from samphirestackd.fleet import holder as holders
from samphirestackd.fleet import node
from samphirestackd.fleet import writer as writers

TIMEOUT_S = 10.0


class StubHolder:
    """Holder without I/O.

    :param loaded: whether it has read all jobs.
    """

    def __init__(self, loaded: bool) -> None:
        self.world = worlds.World([])
        self.scheduler = self.world.scheduler
        self.advice_callers = advice_callers.AdviceCallerPool(term=1)
        self.loaded = loaded


class MessageRecorder:
    """Records the messages of a node in place of its listener."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send(self, identity: bytes, message: messages.Message) -> None:
        del identity
        self.sent.append(message)


@contextlib.asynccontextmanager
async def running_node(
    store: ports.RowStore | None = None,
) -> AsyncIterator[tuple[node.Node, MessageRecorder]]:
    """Make a node whose replies to entries are recorded."""
    context = worlds.make_context(store or row_store.MemoryRowStore())
    context.registry = Registry()  # type: ignore[assignment]
    fleet_node = node.Node(context, '127.0.0.1:*')
    recorder = MessageRecorder()
    listener, fleet_node._listener = fleet_node._listener, recorder  # type: ignore[assignment]
    try:
        yield fleet_node, recorder
    finally:
        listener.close()
        fleet_node._zmq.destroy(0)


class Registry:
    """Registry that only names the tables."""

    operator_table = 'operator'
    workers_table = 'workers'


def make_ping(life: str, store_age_s: float = 0.0) -> messages.Ping:
    return messages.Ping(model.VmId('other'), 3, life, store_age_s, 1.0)


class TestStateQueries:
    """Guards against entries that wait in vain before they read the store."""

    @pytest.mark.parametrize('holder', [None, StubHolder(loaded=False)])
    async def test_a_process_that_knows_no_jobs_says_so_at_once(
        self, holder: StubHolder | None
    ) -> None:
        async with running_node() as (fleet_node, recorder):
            fleet_node._holder = holder  # type: ignore[assignment]
            query = messages.StateQuery(7, model.JobId('5c0e7a21d94b36f8'))
            fleet_node._handle_entry_message(b'e', query)
            assert recorder.sent == [messages.StateReply(7, None, None)]


class TestCounts:
    """Guards against counts of waiting jobs that are too low or too old."""

    async def _counts(self, holder: StubHolder) -> dict[str, int] | None:
        async with running_node() as (fleet_node, recorder):
            fleet_node._holder = holder  # type: ignore[assignment]
            fleet_node._handle_entry_message(
                b'e', make_ping(fleet_node._incarnation)
            )
            (pong,) = recorder.sent
            assert isinstance(pong, messages.Pong)
            return pong.waiting_by_queue  # type: ignore[return-value]

    async def test_a_holder_that_is_loading_gives_no_counts(self) -> None:
        assert await self._counts(StubHolder(loaded=False)) is None

    async def test_a_holder_that_has_loaded_counts_what_has_not_begun(
        self,
    ) -> None:
        holder = StubHolder(loaded=True)
        holder.world.accept(0.0, worlds.make_job(1))
        assert await self._counts(holder) == {'q': 1}

    async def test_counts_are_computed_again_after_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = clock.now()
        monkeypatch.setattr(clock, 'now', lambda: now)
        holder = StubHolder(loaded=True)
        async with running_node() as (fleet_node, recorder):
            fleet_node._holder = holder  # type: ignore[assignment]
            ping = make_ping(fleet_node._incarnation)
            fleet_node._handle_entry_message(b'e', ping)
            holder.world.accept(0.0, worlds.make_job(1))
            now += 2 * node.CHECK_INTERVAL_S
            fleet_node._handle_entry_message(b'e', ping)
            last = recorder.sent[-1]
            assert isinstance(last, messages.Pong)
            assert last.waiting_by_queue == {'q': 1}


class TestEndedHolder:
    """Guards against pings for an ended holder that stay without a reply.

    Another process can listen at the address of the holder that ended.  It
    must reply, or entries wait until the term expires.
    """

    async def test_another_process_replies_that_the_holder_ended(self) -> None:
        async with running_node() as (fleet_node, recorder):
            fleet_node._handle_entry_message(b'e', make_ping('gone'))
            assert recorder.sent == [messages.TakeOver(3, 'gone')]

    async def test_an_entry_may_take_over_after_the_reply(self) -> None:
        async with running_node() as (fleet_node, _):
            now = clock.now()
            record = records.TermRecord(
                3, model.VmId('other'), 'gone', '127.0.0.1:9', 1
            )
            fleet_node.term.observe(now, now, record, 7)
            assert not fleet_node.term.may_take_over(clock.now())
            fleet_node._handle_holder_message(
                b'', messages.TakeOver(3, 'gone')
            )
            assert fleet_node.term.may_take_over(clock.now())


class TestYielding:
    """Guards against a holder that keeps the term without the store.

    It must give up the term if an entry reaches the store, and must keep it
    if no entry does or if only one answer was lost.
    """

    async def _find_entry(
        self, failing_for_s: float, answer_after_s: float, refused: bool
    ) -> model.VmId | None:
        async with running_node() as (fleet_node, _):
            now = clock.now()
            context = worlds.make_context(row_store.MemoryRowStore())
            writer = writers.TermWriter(
                context,
                fleet_node.term,
                worlds.World([]).scheduler,
                lambda changes: None,
            )
            writer.failing_since = now - failing_for_s
            if refused:
                writer.refused_since = writer.failing_since
            answered_at = writer.failing_since + answer_after_s
            fleet_node._pings_by_identity[b'e'] = (
                now,
                make_ping('life', now - answered_at),
            )
            return fleet_node._find_entry_reaching_store(now, writer)

    async def test_it_yields_to_an_entry_with_a_newer_answer(
        self,
    ) -> None:
        other = model.VmId('other')
        assert await self._find_entry(0.5, 0.2, True) == other
        assert await self._find_entry(1.3, 0.2, False) == other

    async def test_it_keeps_the_term_while_no_entry_reaches_the_store(
        self,
    ) -> None:
        assert await self._find_entry(1.3, -0.5, True) is None

    async def test_it_keeps_the_term_after_one_lost_answer(self) -> None:
        assert await self._find_entry(1.0, 0.5, False) is None


class TestPingPace:
    """Guards against silence that is detected by a pace nobody asked for."""

    async def test_an_entry_follows_the_interval_of_the_holder(self) -> None:
        async with running_node() as (fleet_node, _):
            connection = fleet_node._connection
            connection.received_at = clock.now() - 1.0
            assert connection.is_late
            fleet_node._handle_holder_message(
                b'', messages.Pong(3, None, 1.0, 0.1, 0.9)
            )
            assert connection.ping_interval_s == 0.9
            assert not connection.is_late

    @pytest.mark.parametrize('absurd', [1e9, 0.0, -1.0, float('nan')])
    async def test_an_absurd_interval_is_bounded(self, absurd: float) -> None:
        async with running_node() as (fleet_node, _):
            fleet_node._handle_holder_message(
                b'', messages.Pong(3, None, 1.0, 0.1, absurd)
            )
            interval_s = fleet_node._connection.ping_interval_s
            assert interval_s >= pacing.MIN_PING_INTERVAL_S
            assert interval_s <= pacing.MAX_PING_INTERVAL_S


class UnansweringStore(row_store.MemoryRowStore):
    """Store that applies writes and answers nothing while it is cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.is_cut_off = False

    async def transact(self, *arguments: Any) -> int:
        await super().transact(*arguments)
        if self.is_cut_off:
            raise errors.OutcomeUnknown('no answer')
        return self.version

    async def read(self, *arguments: Any) -> ports.Page:
        if self.is_cut_off:
            raise errors.StoreUnavailable('no answer')
        return await super().read(*arguments)


async def put_term(store: ports.RowStore) -> None:
    """Store the row of a holder that has ended."""
    record = records.TermRecord(1, model.VmId('b'), 'life', 'address')
    row = records.encode(record)
    put = ports.Put(records.TERM_TABLE, records.TERM_KEY, row)
    await store.transact([], [put])


class TestClaim:
    """Guards against work of dead workers that waits for takeovers again."""

    async def test_inherited_leases_count_from_the_last_renewal(self) -> None:
        async with running_node() as (fleet_node, _):
            await put_term(fleet_node._context.store)
            await fleet_node._read_term()
            first_read_at = fleet_node.term._first_read_at
            await fleet_node._read_term()
            await fleet_node._claim()
            assert fleet_node.term.is_mine
            assert fleet_node.term.begin_term(clock.now()) == first_read_at


class TestUnansweredClaim:
    """Guards against an entry that never begins the term that it claimed.

    Its claim is applied, and neither the answer nor a read arrives.
    """

    async def test_the_term_begins_once_the_store_answers(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        begun = asyncio.Event()

        class Holder(StubHolder):
            async def run(self) -> None:
                begun.set()
                await asyncio.Event().wait()

        monkeypatch.setattr(
            holders, 'Holder', lambda *arguments: Holder(loaded=True)
        )
        store = UnansweringStore()
        async with running_node(store) as (fleet_node, _):
            fleet_node.configuration_feed.configuration = (
                worlds.make_configuration()
            )
            await put_term(store)
            await fleet_node._read_term()
            store.is_cut_off = True
            await fleet_node._claim()
            assert not fleet_node.term.is_mine
            store.is_cut_off = False
            tasks = [
                asyncio.create_task(fleet_node._poll_term()),
                asyncio.create_task(fleet_node._acquire_terms()),
            ]
            try:
                async with asyncio.timeout(TIMEOUT_S):
                    await begun.wait()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)


class TestStopDuringClaim:
    """Guards against a term that a process takes with it when it stops."""

    async def test_the_term_is_released(self) -> None:
        async with running_node(row_store.QuietRowStore()) as (fleet_node, _):
            fleet_node.configuration_feed.configuration = (
                worlds.make_configuration()
            )
            store = fleet_node._context.store
            await put_term(store)
            await fleet_node._read_term()
            await fleet_node._claim()
            await fleet_node.stop()
            async with asyncio.timeout(TIMEOUT_S):
                await fleet_node._hold_term()
            page = await store.read(records.TERM_TABLE)
            assert records.decode_term(page.rows[0].value).released


class FailingHolder(StubHolder):
    """Holder that ends with an unexpected error."""

    def __init__(self) -> None:
        super().__init__(loaded=True)
        self.writer = None

    async def run(self) -> None:
        raise ZeroDivisionError('plan')


class TestUnexpectedErrors:
    """Guards against one error that ends the process or repeats for ever."""

    async def test_the_term_goes_to_another_entry(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(
            holders, 'Holder', lambda *arguments: FailingHolder()
        )
        async with running_node() as (fleet_node, recorder):
            fleet_node.configuration_feed.configuration = (
                worlds.make_configuration()
            )
            fleet_node._pings_by_identity[b'e'] = (
                clock.now(),
                make_ping('life'),
            )
            await fleet_node._hold_term()
            assert [type(one) for one in recorder.sent] == [messages.TakeOver]
            assert fleet_node._claim_after > clock.now()
            assert fleet_node._holder is None


class TestMalformedTermRow:
    """Guards against a row of the term that no process can read.

    Nothing would be scheduled any more.
    """

    @pytest.mark.parametrize(
        'row',
        [
            b'',
            b'\xff',
            b'\x91' * 100_000,
            records.encode(
                records.TermRecord(10**6, model.VmId('b'), 'life', 'a:99999')
            ),
        ],
        ids=['empty', 'no-record', 'deep', 'impossible-number'],
    )
    async def test_it_is_replaced_by_a_higher_number_once_it_is_not_renewed(
        self, row: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        now = clock.now()
        monkeypatch.setattr(clock, 'now', lambda: now)
        async with running_node() as (fleet_node, _):
            store = fleet_node._context.store
            put = ports.Put(records.TERM_TABLE, records.TERM_KEY, row)
            for _ in range(7):
                await store.transact([], [put])
            await fleet_node._read_term()
            assert not fleet_node._may_take_over()
            now += terms.TAKEOVER_AFTER_S - 0.4
            await fleet_node._read_term()
            assert not fleet_node._may_take_over()
            now += 0.5
            assert fleet_node._may_take_over()
            await fleet_node._claim()
            assert fleet_node.term.is_mine
            assert fleet_node.term.number == 8

    async def test_an_entry_sends_no_pings_to_a_malformed_address(
        self,
    ) -> None:
        async with running_node() as (fleet_node, _):
            fleet_node._connection.open('10.0.0.1:99999')
            assert not fleet_node._connection.send(make_ping('life'))
