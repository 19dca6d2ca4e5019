"""Replies to clients while the store or the holder is unreachable."""

import asyncio
from collections.abc import Sequence

import pytest

from samphirestack import errors
from samphirestack.fleet import messages
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack import verdict as verdicts
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestack_testing import waiting
from samphirestackd.fleet import clock
from samphirestackd.fleet import configuration_feed
from samphirestackd.fleet import edge

TIMEOUT_S = 10.0
JOB = '5c0e7a21d94b36f8'


class FailingStore:
    """Store whose calls fail with a given error, and that counts them."""

    def __init__(self, error: type[errors.PlatformError]) -> None:
        self.error: type[errors.PlatformError] | None = error
        self.calls = 0

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        del conditions, puts, removals, part
        self.calls += 1
        if self.error is not None:
            raise self.error('broken')
        return 1

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> None:
        del table, first, end, part
        self.calls += 1
        raise errors.StoreUnavailable('broken')


class NoHolder:
    """Holder that does not answer.

    :param has_store: whether the holder counts as writing to the store.
    """

    def __init__(self, has_store: bool = False) -> None:
        self.has_store = has_store
        self.has_memory = True
        self.job_versions: list[int] = []
        self.cancellation_versions: list[int] = []

    def announce_job(self, row: bytes, version: int) -> None:
        del row
        self.job_versions.append(version)

    def announce_cancellation(self, job_id: model.JobId, version: int) -> None:
        del job_id
        self.cancellation_versions.append(version)

    async def state_of(
        self, job_id: model.JobId, timeout_s: float
    ) -> messages.StateReply | None:
        del job_id, timeout_s
        return None

    def waiting_by_queue(self, now: float) -> None:
        del now

    def reaches_store(self, now: float) -> bool:
        del now
        return self.has_store

    def admit_job(self, customer_id: model.TeamId, size: int) -> bool:
        del customer_id, size
        return self.has_memory

    def takes_submissions(self, now: float) -> bool:
        del now
        return False

    async def submit(self, call: edge.Call) -> edge.Reply | None:
        del call
        return None


def make_edge(
    store: FailingStore | row_store.MemoryRowStore,
    age_s: float = 0.0,
    holder_has_store: bool = False,
    holder: NoHolder | None = None,
    spec: specs.JobSpec | None = None,
) -> tuple[edge.Edge, configuration_feed.ConfigurationFeed]:
    context = worlds.make_context(store)  # type: ignore[arg-type]
    feed = configuration_feed.ConfigurationFeed(store, None)  # type: ignore[arg-type]
    feed.configuration = specs.FleetConfiguration(
        1,
        [worlds.make_queue()],
        [],
        [],
        {'key': model.TeamId('team')},
        10_000,
    )
    feed.confirmed_at = clock.now() - age_s
    feed.answered_at = clock.now()
    decoded = spec or specs.JobSpec('payload', (worlds.make_step(),))
    holder = holder or NoHolder(holder_has_store)
    return edge.Edge(context, feed, holder, lambda body: decoded), feed


class BrieflyFailingStore(row_store.MemoryRowStore):
    """Store whose reads fail while ``broken``."""

    broken = False

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        if self.broken:
            raise errors.StoreUnavailable('broken')
        return await super().read(table, first, end, part)


def make_call(method: str = 'POST', key: str = 'key') -> edge.Call:
    return edge.Call(method, 'host', f'/q/{JOB}', key, b'{}', None)


class TestStoreUnreachable:
    """Guards against wrong or delayed refusals while the store is down."""

    async def test_a_refused_write_is_reported_as_not_run(self) -> None:
        entry, _ = make_edge(FailingStore(errors.StoreUnavailable))
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAVAILABLE
        assert reply.verdict is verdicts.Verdict.NOT_RUN
        assert reply.retry_after_s is not None

    async def test_a_write_without_answer_may_have_run(
        self,
    ) -> None:
        entry, _ = make_edge(FailingStore(errors.OutcomeUnknown))
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNKNOWN
        assert reply.verdict is verdicts.Verdict.MAY_HAVE_RUN

    async def test_later_calls_are_refused_without_waiting(self) -> None:
        store = FailingStore(errors.StoreUnavailable)
        entry, feed = make_edge(store)
        await entry.handle(make_call())
        before = store.calls
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAVAILABLE
        assert store.calls == before
        feed.answered_at = clock.now()
        store.error = None
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED

    async def test_a_refused_call_does_not_refuse_others(self) -> None:
        """Guards against refusals because of one busy part of the store."""
        store = FailingStore(errors.StoreRefused)
        entry, _ = make_edge(store)
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAVAILABLE
        store.error = None
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED

    async def test_a_refusal_after_an_unknown_outcome_may_have_run(
        self,
    ) -> None:
        store = FailingStore(errors.OutcomeUnknown)
        entry, _ = make_edge(store)
        await entry.handle(make_call())
        store.error = errors.StoreUnavailable
        reply = await entry.handle(make_call())
        assert reply.verdict is verdicts.Verdict.MAY_HAVE_RUN

    async def test_clients_retry_at_once_if_another_entry_serves(self) -> None:
        """Guards against a Retry-After that delays clients without need."""
        entry, _ = make_edge(
            FailingStore(errors.StoreUnavailable), holder_has_store=True
        )
        reply = await entry.handle(make_call())
        assert reply.retry_after_s == 0.0
        entry, _ = make_edge(FailingStore(errors.StoreUnavailable))
        reply = await entry.handle(make_call())
        assert reply.retry_after_s is not None
        assert reply.retry_after_s > 0.0

    async def test_keys_are_not_trusted_in_an_old_configuration(self) -> None:
        entry, _ = make_edge(FailingStore(errors.StoreUnavailable), age_s=4.0)
        reply = await entry.handle(make_call('GET'))
        assert reply.outcome is edge.Outcome.UNAVAILABLE

    async def test_an_unknown_key_is_refused(self) -> None:
        entry, _ = make_edge(FailingStore(errors.StoreUnavailable))
        reply = await entry.handle(make_call(key='other'))
        assert reply.outcome is edge.Outcome.UNAUTHORIZED


class TestStoredState:
    """Guards against a wrong state of a job while the holder is silent."""

    async def test_the_stored_progress_shows_that_a_job_ended(self) -> None:
        store = row_store.MemoryRowStore()
        entry, _ = make_edge(store)
        await entry.handle(make_call())
        reply = await entry.handle(make_call('GET'))
        assert reply.state is specs.JobState.QUEUED
        ended = records.JobRecord(
            model.JobId(JOB),
            worlds.make_queue(),
            model.TeamId('team'),
            worlds.UNIX_AT_ZERO_S,
            None,
            specs.JobState.COMPLETED,
            worlds.UNIX_AT_ZERO_S + 1,
        )
        progress = records.JobProgress(ended=ended)
        put = ports.Put(records.PROGRESS_TABLE, JOB, records.encode(progress))
        await store.transact([], [put])
        reply = await entry.handle(make_call('GET'))
        assert reply.state is specs.JobState.COMPLETED

    async def test_a_job_with_unreadable_progress_has_a_state(self) -> None:
        store = row_store.MemoryRowStore()
        entry, _ = make_edge(store)
        await entry.handle(make_call())
        put = ports.Put(records.PROGRESS_TABLE, JOB, b'no record')
        await store.transact([], [put])
        reply = await entry.handle(make_call('GET'))
        assert reply.state is specs.JobState.RUNNING

    async def test_a_second_submission_adds_nothing(self) -> None:
        store = row_store.MemoryRowStore()
        entry, _ = make_edge(store)
        await entry.handle(make_call())
        before = dict(store.rows_by_key)
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED
        assert store.rows_by_key == before

    async def test_a_cancellation_is_stored_beside_its_job(self) -> None:
        store = row_store.MemoryRowStore()
        entry, _ = make_edge(store)
        await entry.handle(make_call())
        reply = await entry.handle(make_call('DELETE'))
        assert reply.outcome is edge.Outcome.OK
        part = records.job_part(JOB)
        assert {(row_part, key) for _, row_part, key in store.rows_by_key} == {
            (part, JOB),
            (part, JOB + records.CANCEL_SUFFIX),
        }


class LateInsert:
    """A submission whose write gets no answer and may be applied later."""

    def __init__(self) -> None:
        self.store = row_store.MemoryRowStore()

    def entry(self, customer: str = 'team') -> edge.Edge:
        entry, feed = make_edge(self.store)
        assert feed.configuration is not None
        feed.configuration.customer_ids_by_key['key'] = model.TeamId(customer)
        return entry

    async def apply(self) -> None:
        await self.store.transact(
            [ports.Condition(records.JOBS_TABLE, JOB, 0)],
            [ports.Put(records.JOBS_TABLE, JOB, b'the job')],
            (),
            records.job_part(JOB),
        )


class TestCancelledBeforeItIsStored:
    """Guards against a job that begins after its cancelling was acknowledged.

    The write of its submission had no answer and is applied late.
    """

    async def test_a_late_write_has_no_effect(self) -> None:
        late = LateInsert()
        reply = await late.entry().handle(make_call('DELETE'))
        assert reply.outcome is edge.Outcome.NO_JOB
        with pytest.raises(errors.TransactionConflict):
            await late.apply()

    @pytest.mark.parametrize('method', ['GET', 'DELETE', 'POST'])
    async def test_there_is_no_such_job_afterwards(self, method: str) -> None:
        late = LateInsert()
        await late.entry().handle(make_call('DELETE'))
        before = dict(late.store.rows_by_key)
        reply = await late.entry().handle(make_call(method))
        assert reply.outcome is edge.Outcome.NO_JOB
        assert reply.verdict is verdicts.Verdict.NOT_RUN
        assert late.store.rows_by_key == before

    async def test_a_job_that_is_stored_meanwhile_is_cancelled(self) -> None:
        late = LateInsert()
        entry = late.entry()

        class Overtaken(row_store.MemoryRowStore):
            async def read(
                self,
                table: str,
                first: str = '',
                end: str = '',
                part: str = '',
            ) -> ports.Page:
                page = await super().read(table, first, end, part)
                if not self.rows_by_key:
                    await late.entry().handle(make_call())
                return page

        store = Overtaken()
        late.store = store
        entry = late.entry()
        reply = await entry.handle(make_call('DELETE'))
        assert reply.outcome is edge.Outcome.OK
        keys = {key for _, _, key in store.rows_by_key}
        assert keys == {JOB, JOB + records.CANCEL_SUFFIX}

    async def test_without_the_store_nothing_is_acknowledged(self) -> None:
        late = LateInsert()
        late.store.failure = errors.StoreUnavailable('down')
        reply = await late.entry().handle(make_call('DELETE'))
        assert reply.outcome is edge.Outcome.UNAVAILABLE

    async def test_the_holder_removes_the_row_later(self) -> None:
        late = LateInsert()
        await late.entry().handle(make_call('DELETE'))
        ((value, _),) = late.store.rows_by_key.values()
        world = worlds.World([])
        record = records.decode_stored_job(JOB, value)
        jobs = world.scheduler.jobs
        assert not world.scheduler.accept_job(1.0, 1.0, record)
        assert jobs.state_of(record.job_id) is None
        jobs.expire_ended(2.0, record.ended_unix_s + 1.0)
        batch = jobs.archive.next_batch(1000.0)
        assert batch is not None
        assert batch.expired == (record.job_id,)


class TestIdsOfOthers:
    """Guards against a job that is taken for that of another customer."""

    async def test_a_job_under_an_id_in_use_is_refused(self) -> None:
        late = LateInsert()
        await late.entry('first').handle(make_call())
        reply = await late.entry('second').handle(make_call())
        assert reply.outcome is edge.Outcome.ID_TAKEN
        assert reply.verdict is verdicts.Verdict.NOT_RUN


class TestMemory:
    """Guards against jobs that end every process that schedules."""

    async def test_a_job_without_room_is_refused_and_not_stored(self) -> None:
        store = row_store.MemoryRowStore()
        holder = NoHolder()
        holder.has_memory = False
        entry, _ = make_edge(store, holder=holder)
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.UNAVAILABLE
        assert reply.verdict is verdicts.Verdict.NOT_RUN
        assert reply.retry_after_s
        assert store.rows_by_key == {}

    async def test_a_job_that_was_accepted_before_is_not_refused(self) -> None:
        # The refusal would say that the job never runs.
        store = row_store.MemoryRowStore()
        holder = NoHolder()
        entry, _ = make_edge(store, holder=holder)
        await entry.handle(make_call())
        holder.has_memory = False
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED


class LateHolder(NoHolder):
    """Holder that answers once the store was tried."""

    def __init__(self, store: FailingStore) -> None:
        super().__init__()
        self.store = store

    async def state_of(
        self, job_id: model.JobId, timeout_s: float
    ) -> messages.StateReply | None:
        del job_id
        await waiting.until(
            lambda: self.store.calls > 0, timeout_s, 'a call to the store'
        )
        return messages.StateReply(
            1, specs.JobState.RUNNING, model.TeamId('team'), 'host', '/q/'
        )


class StuckReads(FailingStore):
    """Store whose reads never end."""

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> None:
        del table, first, end, part
        self.calls += 1
        await asyncio.Event().wait()


class TestLateAnswers:
    """Guards against states that are refused although the holder knows them.

    It may be slow at the moment at which the store fails.
    """

    async def test_a_late_answer_counts_if_the_store_fails(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(edge, 'QUERY_TIMEOUT_S', 0.0)
        store = FailingStore(errors.StoreUnavailable)
        entry, _ = make_edge(store, holder=LateHolder(store))
        reply = await entry.handle(make_call('GET'))
        assert reply.state is specs.JobState.RUNNING

    async def test_a_late_answer_does_not_wait_for_the_store(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(edge, 'QUERY_TIMEOUT_S', 0.0)
        store = StuckReads(errors.StoreUnavailable)
        entry, _ = make_edge(store, holder=LateHolder(store))
        async with asyncio.timeout(TIMEOUT_S):
            reply = await entry.handle(make_call('GET'))
        assert reply.state is specs.JobState.RUNNING


class TestCauses:
    """Guards against refusals that metrics and logs don't tell apart."""

    async def test_each_cause_of_an_unknown_state_is_counted(self) -> None:
        store = BrieflyFailingStore()
        entry, feed = make_edge(store)
        await entry.handle(make_call())
        counted = entry._context.metrics.calls_refused

        def count(cause: edge.Cause) -> object:
            return counted.get({'operation': 'state', 'cause': cause.value})

        store.broken = True
        reply = await entry.handle(make_call('GET'))
        assert reply.cause is edge.Cause.STORE_FAILED
        reply = await entry.handle(make_call('GET'))
        assert reply.cause is edge.Cause.STORE_UNREACHABLE
        store.broken = False
        feed.answered_at = clock.now()
        put = ports.Put(records.JOBS_TABLE, JOB, b'no record')
        await store.transact([], [put], (), records.job_part(JOB))
        reply = await entry.handle(make_call('GET'))
        assert reply.cause is edge.Cause.UNREADABLE_ROW
        feed.confirmed_at = clock.now() - 4.0
        reply = await entry.handle(make_call('GET'))
        assert reply.cause is edge.Cause.OUTDATED_CONFIGURATION
        for cause in (
            edge.Cause.STORE_FAILED,
            edge.Cause.STORE_UNREACHABLE,
            edge.Cause.UNREADABLE_ROW,
            edge.Cause.OUTDATED_CONFIGURATION,
        ):
            assert count(cause) == 1

    async def test_what_the_holder_answered_is_counted(self) -> None:
        entry, _ = make_edge(row_store.MemoryRowStore())
        await entry.handle(make_call())
        await entry.handle(make_call('GET'))
        answers = entry._context.metrics.state_queries
        assert answers.get({'answer': edge.HolderAnswer.NONE.value}) == 1


class AppliedWithoutAnswer(row_store.MemoryRowStore):
    """Store whose first write is applied without an answer."""

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        version = await super().transact(conditions, puts, removals, part)
        if self.transactions == 1:
            raise errors.OutcomeUnknown('no answer')
        return version


class TestAnnouncements:
    """Guards against notices that the holder takes for outdated ones."""

    async def test_they_carry_the_version_of_their_row(self) -> None:
        store = row_store.MemoryRowStore()
        await store.transact([], [ports.Put('other', 'key', b'')])
        holder = NoHolder()
        entry, _ = make_edge(store, holder=holder)
        await entry.handle(make_call())
        await entry.handle(make_call('DELETE'))
        part = records.job_part(JOB)
        row = store.rows_by_key[records.JOBS_TABLE, part, JOB]
        cancel_key = JOB + records.CANCEL_SUFFIX
        cancellation = store.rows_by_key[records.JOBS_TABLE, part, cancel_key]
        assert holder.job_versions == [row[1]]
        assert holder.cancellation_versions == [cancellation[1]]

    async def test_a_job_found_by_a_retry_is_announced(self) -> None:
        holder = NoHolder()
        entry, _ = make_edge(AppliedWithoutAnswer(), holder=holder)
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.ACCEPTED
        assert holder.job_versions == [messages.UNKNOWN_VERSION]


class TestWideJobs:
    """Guards against a job that is stored over and over in vain."""

    async def test_a_job_above_the_limit_of_rows_is_refused(self) -> None:
        steps = tuple(
            worlds.make_step(after=tuple(range(number)))
            for number in range(400)
        )
        store = FailingStore(errors.OutcomeUnknown)
        entry, _ = make_edge(store, spec=specs.JobSpec('payload', steps))
        reply = await entry.handle(make_call())
        assert reply.outcome is edge.Outcome.TOO_LARGE
        assert reply.verdict is verdicts.Verdict.NOT_RUN
        assert store.calls == 0


class TestOpenQueues:
    """Guards against callers without a key who reach the jobs of others."""

    def _make(
        self, submitted_to: str
    ) -> tuple[edge.Edge, row_store.MemoryRowStore]:
        """Return an entry with an open queue and a stored job.

        :param submitted_to: queue of the job.
        """
        store = row_store.MemoryRowStore()
        entry, feed = make_edge(store)
        queues = [worlds.make_queue(open_to_all=True), worlds.make_queue('r')]
        feed.configuration = specs.FleetConfiguration(
            1, queues, [], [], {'key': model.TeamId('team')}, 10_000
        )
        record = records.JobRecord(
            model.JobId(JOB),
            worlds.make_queue(submitted_to),
            model.TeamId('team'),
            clock.unix_now(),
            specs.JobSpec('payload', (worlds.make_step(),)),
        )
        store.rows_by_key[records.JOBS_TABLE, records.job_part(JOB), JOB] = (
            records.encode(record),
            1,
        )
        return entry, store

    async def test_a_job_of_another_queue_is_unknown(self) -> None:
        entry, store = self._make('r')
        for method in ('GET', 'DELETE'):
            reply = await entry.handle(make_call(method, key=''))
            assert reply.outcome is edge.Outcome.NO_JOB
        assert store.transactions == 0

    async def test_a_job_of_the_open_queue_is_shown(self) -> None:
        entry, _ = self._make('q')
        reply = await entry.handle(make_call('GET', key=''))
        assert reply.state is specs.JobState.QUEUED

    async def test_the_key_of_the_job_still_works(self) -> None:
        entry, _ = self._make('r')
        reply = await entry.handle(make_call('GET'))
        assert reply.state is specs.JobState.QUEUED
