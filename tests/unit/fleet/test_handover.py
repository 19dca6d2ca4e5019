"""Submissions that an entry without the store hands over to the holder."""

import asyncio
from collections.abc import Sequence

from samphirestack import errors
from samphirestack.fleet import messages
from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack import verdict as verdicts
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestackd.fleet import clock
from samphirestackd.fleet import configuration_feed
from samphirestackd.fleet import edge
from samphirestackd.fleet import handover

JOB = '5c0e7a21d94b36f8'
UNKNOWN = edge.Reply(
    edge.Outcome.UNKNOWN, verdicts.Verdict.MAY_HAVE_RUN, 'no answer'
)


class FailingStore(row_store.MemoryRowStore):
    """Store whose writes fail for one entry.

    :param applied_to: store on which the writes take effect all the same.
    """

    def __init__(
        self,
        error: type[errors.PlatformError],
        applied_to: row_store.MemoryRowStore | None = None,
    ) -> None:
        super().__init__()
        self.error = error
        self.applied_to = applied_to
        self.writes = 0

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        self.writes += 1
        if self.applied_to is not None:
            await self.applied_to.transact(conditions, puts, removals, part)
        raise self.error('broken')


class RemoteHolder:
    """Holder in another process, with an entry of its own.

    :param entry: serves what is handed over; ``None`` for no holder.
    """

    def __init__(self, entry: edge.Edge | None = None) -> None:
        self.entry = entry
        self.reply: edge.Reply | None = None
        """Reply to pass on in place of that of the entry."""
        self.announced = 0
        self.has_memory = True

    def announce_job(self, row: bytes, version: int) -> None:
        del row, version
        self.announced += 1

    def announce_cancellation(self, job_id: model.JobId, version: int) -> None:
        del job_id, version

    async def state_of(
        self, job_id: model.JobId, timeout_s: float
    ) -> messages.StateReply | None:
        del job_id, timeout_s
        return None

    def waiting_by_queue(self, now: float) -> None:
        del now

    def reaches_store(self, now: float) -> bool:
        del now
        return self.entry is not None

    def admit_job(self, customer_id: model.TeamId, size: int) -> bool:
        del customer_id, size
        return self.has_memory

    def takes_submissions(self, now: float) -> bool:
        return self.reaches_store(now)

    async def submit(self, call: edge.Call) -> edge.Reply | None:
        assert self.entry is not None
        if self.reply is not None:
            return self.reply
        return await self.entry.handle(
            edge.Call(
                call.method,
                call.host,
                call.path,
                call.key,
                call.body,
                None,
                handed_over=True,
            )
        )


def make_entry(
    store: row_store.MemoryRowStore, holder: RemoteHolder, priority: int = 0
) -> edge.Edge:
    """Return the entry of a process whose configuration is current."""
    context = worlds.make_context(store)
    feed = configuration_feed.ConfigurationFeed(store, None)  # type: ignore[arg-type]
    feed.configuration = specs.FleetConfiguration(
        1,
        [worlds.make_queue(priority=priority)],
        [],
        [],
        {'key': model.TeamId('team')},
        10_000,
    )
    feed.confirmed_at = feed.answered_at = clock.now()
    spec = specs.JobSpec('payload', (worlds.make_step(),))
    return edge.Edge(context, feed, holder, lambda body: spec)


def make_call(method: str = 'POST', key: str = 'key') -> edge.Call:
    return edge.Call(method, 'host', f'/q/{JOB}', key, b'{}', None)


class TestEntryWithoutStore:
    """Guards against urgent jobs that are refused while others serve."""

    def _make(
        self,
        store: FailingStore,
        holder_store: row_store.MemoryRowStore,
        priority: int = 0,
    ) -> tuple[edge.Edge, RemoteHolder, RemoteHolder]:
        local = RemoteHolder()
        remote = RemoteHolder(make_entry(holder_store, local, priority))
        return make_entry(store, remote, priority), remote, local

    async def test_an_urgent_job_is_stored_by_the_holder(self) -> None:
        shared = row_store.MemoryRowStore()
        entry, _, local = self._make(
            FailingStore(errors.StoreUnavailable), shared
        )
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED
        assert local.announced == 1

    async def test_other_jobs_are_refused(self) -> None:
        entry, _, _ = self._make(
            FailingStore(errors.StoreUnavailable),
            row_store.MemoryRowStore(),
            priority=1,
        )
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAVAILABLE
        assert reply.verdict is verdicts.Verdict.NOT_RUN

    async def test_the_holder_checks_the_key_itself(self) -> None:
        entry, remote, _ = self._make(
            FailingStore(errors.StoreUnavailable), row_store.MemoryRowStore()
        )
        assert remote.entry is not None
        configuration = remote.entry._configuration_feed.configuration
        assert configuration is not None
        configuration.customer_ids_by_key.clear()
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAUTHORIZED

    async def test_a_holder_without_the_store_refuses_truly(self) -> None:
        entry, _, _ = self._make(
            FailingStore(errors.StoreUnavailable),
            FailingStore(errors.StoreUnavailable),
        )
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAVAILABLE
        assert reply.verdict is verdicts.Verdict.NOT_RUN

    async def test_without_a_reply_the_outcome_stays_unknown(self) -> None:
        entry, remote, _ = self._make(
            FailingStore(errors.StoreUnavailable), row_store.MemoryRowStore()
        )
        remote.reply = UNKNOWN
        first = await entry.handle(make_call())
        assert first.verdict is verdicts.Verdict.MAY_HAVE_RUN
        remote.entry = None
        later = await entry.handle(make_call())
        assert later.verdict is verdicts.Verdict.MAY_HAVE_RUN

    async def test_a_lost_answer_is_resolved_by_the_holder(self) -> None:
        store = FailingStore(errors.OutcomeUnknown)
        entry, _, _ = self._make(store, row_store.MemoryRowStore())
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED
        assert store.writes == 1

    async def test_a_job_that_was_stored_is_not_stored_again(self) -> None:
        shared = row_store.MemoryRowStore()
        store = FailingStore(errors.OutcomeUnknown, applied_to=shared)
        entry, _, local = self._make(store, shared)
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED
        assert reply.detail == 'the job was accepted by an earlier call'
        assert local.announced == 0


class TestSlowStore:
    """Guards against a holder that is loaded while the store is slow."""

    def test_a_holder_with_slow_writes_gets_no_submissions(self) -> None:
        assert handover.is_holder_fast(0.01)
        assert not handover.is_holder_fast(0.2)

    def test_a_holder_of_a_former_version_gets_none(self) -> None:
        assert not handover.is_holder_fast(None)


class TestSender:
    """Guards against submissions without a true reply."""

    async def test_a_reply_is_passed_on(self) -> None:
        sent: asyncio.Queue[messages.Message] = asyncio.Queue()
        sender = handover.Sender(lambda message: not sent.put_nowait(message))
        pending = asyncio.create_task(sender.submit(make_call()))
        request = await sent.get()
        assert isinstance(request, messages.SubmissionRequest)
        sender.handle_reply(
            messages.SubmissionReply(
                request.number, 'accepted', 'ran', 'detail', None
            )
        )
        reply = await pending
        assert reply is not None
        assert reply.outcome is edge.Outcome.ACCEPTED

    async def test_nothing_is_sent_without_a_connection(self) -> None:
        sender = handover.Sender(lambda message: False)
        assert await sender.submit(make_call()) is None

    async def test_an_unknown_outcome_of_a_newer_version_is_unknown(
        self,
    ) -> None:
        sent: asyncio.Queue[messages.Message] = asyncio.Queue()
        sender = handover.Sender(lambda message: not sent.put_nowait(message))
        pending = asyncio.create_task(sender.submit(make_call()))
        await sent.get()
        sender.handle_reply(
            messages.SubmissionReply(1, 'postponed', 'not_run', '', None)
        )
        reply = await pending
        assert reply is not None
        assert reply.verdict is verdicts.Verdict.MAY_HAVE_RUN

    async def test_the_number_of_pending_ones_is_bounded(self) -> None:
        sender = handover.Sender(lambda message: True)
        pending = [
            asyncio.create_task(sender.submit(make_call()))
            for _ in range(handover.MAX_PENDING)
        ]
        await asyncio.sleep(0)
        assert await sender.submit(make_call()) is None
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)


class TestServer:
    """Guards against a holder that entries overload."""

    async def test_submissions_above_the_limit_are_refused(self) -> None:
        sent: asyncio.Queue[messages.Message] = asyncio.Queue()
        release = asyncio.Event()

        async def serve(call: edge.Call) -> edge.Reply:
            del call
            await release.wait()
            return UNKNOWN

        server = handover.Server(
            worlds.make_context(row_store.MemoryRowStore()),
            serve,
            lambda identity, message: sent.put_nowait(message),
        )
        request = messages.SubmissionRequest(
            1, 'POST', 'host', '/', 'key', b''
        )
        for _ in range(handover.MAX_SERVED + 1):
            server.handle_request(b'e', request, True)
        refusal = sent.get_nowait()
        assert isinstance(refusal, messages.SubmissionReply)
        assert refusal.verdict == verdicts.Verdict.NOT_RUN.value
        release.set()
        for _ in range(handover.MAX_SERVED):
            await sent.get()

    async def test_a_process_without_the_term_refuses_at_once(self) -> None:
        sent: list[messages.Message] = []

        async def serve(call: edge.Call) -> edge.Reply:
            raise AssertionError(call)

        server = handover.Server(
            worlds.make_context(row_store.MemoryRowStore()),
            serve,
            lambda identity, message: sent.append(message),
        )
        server.handle_request(
            b'e',
            messages.SubmissionRequest(1, 'POST', 'host', '/', 'key', b''),
            False,
        )
        (refusal,) = sent
        assert isinstance(refusal, messages.SubmissionReply)
        assert refusal.verdict == verdicts.Verdict.NOT_RUN.value
