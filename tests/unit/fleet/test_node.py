"""What entries tell each other about the fleet."""

from collections.abc import AsyncIterator
import contextlib

from samphirestack.fleet import messages
from samphirestack.fleet import records
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestackd.fleet import clock
from samphirestackd.fleet import holder as holders
from samphirestackd.fleet import node
from samphirestackd.fleet import writer as writers


class LoadingHolder:
    """Stands for a holder that has not read all jobs yet."""

    def __init__(self) -> None:
        self.world = worlds.World([])
        self.scheduler = self.world.scheduler
        self.loaded = False


class TestCounts:
    """Guards against counts of waiting jobs that are too low."""

    def test_a_holder_that_is_loading_gives_no_counts(self) -> None:
        holder: holders.Holder = LoadingHolder()  # type: ignore[assignment]
        assert node.make_pong(holder, 1.0, 0.1).waiting_by_queue is None

    def test_a_holder_that_has_loaded_counts_what_has_not_begun(self) -> None:
        loading = LoadingHolder()
        loading.loaded = True
        loading.world.accept(0.0, worlds.make_job(1))
        holder: holders.Holder = loading  # type: ignore[assignment]
        counts = node.make_pong(holder, 1.0, 0.1).waiting_by_queue
        assert counts == {model.QueueId('q'): 1}


class Answers:
    """Keeps what a node sends; stands for its listener or connection."""

    def __init__(self) -> None:
        self.sent: list[messages.Message] = []

    def send(self, identity: bytes, message: messages.Message) -> None:
        del identity
        self.sent.append(message)


@contextlib.asynccontextmanager
async def running_node() -> AsyncIterator[tuple[node.Node, Answers]]:
    """Make a node whose answers are kept."""
    context = worlds.make_context(row_store.MemoryRowStore())
    context.registry = Registry()  # type: ignore[assignment]
    made = node.Node(context, '127.0.0.1:*')
    answers = Answers()
    listener, made._listener = made._listener, answers  # type: ignore[assignment]
    try:
        yield made, answers
    finally:
        listener.close()
        made._zmq.destroy(0)


class Registry:
    """Names the tables that others write."""

    operator_table = 'operator'
    workers_table = 'workers'


def make_ping(life: str, store_age_s: float = 0.0) -> messages.Ping:
    return messages.Ping(model.VmId('other'), 3, life, store_age_s, 1.0)


class TestGoneHolder:
    """Guards against pings that a successor of the holder leaves open."""

    async def test_another_process_at_the_address_says_so(self) -> None:
        async with running_node() as (made, answers):
            made._handle_entry_message(b'e', make_ping('gone'))
            assert answers.sent == [messages.TakeOver(3, 'gone')]

    async def test_an_entry_believes_it(self) -> None:
        async with running_node() as (made, _):
            now = clock.now()
            record = records.TermRecord(
                3, model.VmId('other'), 'gone', '127.0.0.1:9', 1
            )
            made.term.observe(now, now, record, 7)
            assert not made.term.may_take_over(clock.now())
            made._handle_holder_message(b'', messages.TakeOver(3, 'gone'))
            assert made.term.may_take_over(clock.now())


class TestYielding:
    """Guards against a holder that keeps the term without the store."""

    async def _who(
        self, failing_for_s: float, answer_after_s: float, refused: bool
    ) -> model.VmId | None:
        async with running_node() as (made, _):
            now = clock.now()
            context = worlds.make_context(row_store.MemoryRowStore())
            writer = writers.TermWriter(
                context,
                made.term,
                worlds.World([]).scheduler,
                lambda changes: None,
            )
            writer.failing_since = now - failing_for_s
            if refused:
                writer.refused_since = writer.failing_since
            answered_at = writer.failing_since + answer_after_s
            made._pings_by_identity[b'e'] = (
                now,
                make_ping('life', now - answered_at),
            )
            return made._find_entry_reaching_store(now, writer)

    async def test_it_yields_to_an_entry_that_had_an_answer_since(
        self,
    ) -> None:
        other = model.VmId('other')
        assert await self._who(0.5, 0.2, True) == other
        assert await self._who(1.3, 0.2, False) == other

    async def test_it_stays_while_nobody_reaches_the_store(self) -> None:
        assert await self._who(1.3, -0.5, True) is None

    async def test_a_single_lost_answer_is_no_reason(self) -> None:
        assert await self._who(1.0, 0.5, False) is None
