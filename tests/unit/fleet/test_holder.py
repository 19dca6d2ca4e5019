"""The holder of the term beside rows and reports that raise errors."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

import pytest

from samphirestack import errors
from samphirestack.fleet import actions
from samphirestack.fleet import evacuation
from samphirestack.fleet import interference
from samphirestack.fleet import memory
from samphirestack.fleet import messages
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import registry_freshness
from samphirestack.fleet import run_times
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestack_testing import waiting
from samphirestackd.fleet import clock
from samphirestackd.fleet import holder as holders
from samphirestackd.fleet import writer as writers

WORKERS = ('w0', 'w1')
TIMEOUT_S = 10.0


class Registry:
    """Registry whose rows of workers hold nothing but their key."""

    operator_table = 'operator'
    workers_table = 'workers'

    def worker(self, row: ports.StoredRow) -> specs.WorkerEntry | None:
        if row.value == b'bad':
            raise OverflowError('absurd capacity')
        return worlds.make_worker(row.key)


class Workers:
    """Workers that answer hold calls, some of them with an error.

    :param error: raised by the first answers of ``w0``.
    :param error_count: number of such answers.
    """

    def __init__(self, error: Exception, error_count: int) -> None:
        self.error = error
        self.errors_left = error_count
        self.reports_by_id: dict[str, int] = {}

    async def hold(
        self,
        worker: specs.WorkerEntry,
        term: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_s: float,
        may_send: Callable[[], bool],
    ) -> specs.WorkerReport:
        del term, last_seen, deadline_ms, wait_s, may_send
        await asyncio.sleep(0)
        if worker.worker_id == 'w0' and self.errors_left:
            self.errors_left -= 1
            raise self.error
        count = self.reports_by_id.get(worker.worker_id, 0) + 1
        self.reports_by_id[worker.worker_id] = count
        await asyncio.sleep(0.01)
        return worlds.make_report(1000.0)


def make_holder(
    store: row_store.MemoryRowStore,
    workers: Workers | None = None,
    evacuations: Callable[[], evacuation.Evacuations] = evacuation.Evacuations,
) -> holders.Holder:
    context = worlds.make_context(store)
    context.evacuations = evacuations
    context.registry = Registry()  # type: ignore[assignment]
    context.workers = workers  # type: ignore[assignment]
    term = terms.Term(model.VmId('vm'), 'life', 'address')
    record = records.TermRecord(1, model.VmId('vm'), 'life', 'address')
    term.record_write(clock.now(), record, 0)
    return holders.Holder(
        context, term, worlds.make_configuration(), lambda identity, one: None
    )


def plan_start(holder: holders.Holder) -> actions.Start:
    """Return the start of a job on the only worker."""
    now = clock.now()
    scheduler = holder.scheduler
    scheduler.set_workers(now, [worlds.make_worker('w0')])
    scheduler.apply_report(
        now, now, model.WorkerId('w0'), worlds.make_report(1000.0)
    )
    scheduler.accept_job(now, clock.unix_now(), worlds.make_job(1))
    (start,) = scheduler.plan(now, worlds.UnlimitedAdviceCallers())
    assert isinstance(start, actions.Start)
    return start


async def put_rows(
    store: row_store.MemoryRowStore,
    table: str,
    values_by_key: dict[str, bytes],
    parts: Sequence[str] = ('',),
) -> None:
    for part in parts:
        puts = [
            ports.Put(table, key, value)
            for key, value in values_by_key.items()
        ]
        await store.transact([], puts, (), part)


class TestMemory:
    """Guards against a store that holds more jobs than fit into memory."""

    async def test_jobs_wait_in_the_store_until_others_have_ended(
        self,
    ) -> None:
        store = row_store.MemoryRowStore()
        for number in range(1, 61):
            job = worlds.make_job(number)
            await put_rows(
                store,
                records.JOBS_TABLE,
                {job.job_id: records.encode(job)},
                [records.job_part(job.job_id)],
            )
        holder = make_holder(store)
        holder.scheduler.jobs.budget = memory.Budget(40 * memory.JOB_BYTES)
        jobs = holder.scheduler.jobs
        await holder._load()
        assert 0 < len(jobs.active_by_id) < 60
        (last,) = list(jobs._deferred_by_id)[-1:]
        holder.cancel_job(last, store.version + 1)
        await holder._load_deferred_jobs()
        assert jobs.record_of(last) is not None
        assert last not in jobs.active_by_id
        while jobs.deferred_count():
            for job_id in list(jobs.active_by_id):
                holder.scheduler.cancel(clock.now(), job_id)
            await holder._load_deferred_jobs()
        assert len(jobs.active_by_id) + len(jobs._ending_by_id) == 60


class TestReports:
    """Guards against a worker that is given up after an unexpected error.

    Its lease would expire, and with it all that runs there.
    """

    async def test_leases_are_renewed_after_an_unexpected_error(self) -> None:
        store = row_store.QuietRowStore()
        await put_rows(store, 'workers', dict.fromkeys(WORKERS, b''))
        workers = Workers(ZeroDivisionError('report'), 1)
        holder = make_holder(store, workers)
        running = asyncio.create_task(holder.run())
        try:
            await waiting.until(
                lambda: all(
                    workers.reports_by_id.get(worker_id, 0) > 1
                    for worker_id in WORKERS
                ),
                TIMEOUT_S,
                'reports of all workers',
            )
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    async def test_a_refused_report_does_not_end_the_term(self) -> None:
        store = row_store.QuietRowStore()
        await put_rows(store, 'workers', dict.fromkeys(WORKERS, b''))
        workers = Workers(errors.PlatformError('malformed report'), 3)
        holder = make_holder(store, workers)
        running = asyncio.create_task(holder.run())
        try:
            await waiting.until(
                lambda: 'w0' in workers.reports_by_id, TIMEOUT_S, 'a report'
            )
            assert not running.done()
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class EndReportingWorkers(Workers):
    """Workers that report the end of a run until it is acknowledged."""

    async def hold(
        self,
        worker: specs.WorkerEntry,
        term: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_s: float,
        may_send: Callable[[], bool],
    ) -> specs.WorkerReport:
        await super().hold(
            worker, term, last_seen, deadline_ms, wait_s, may_send
        )
        end = (1, f'{1:016x}.0.0.0', 1, specs.EndReason.DONE)
        return worlds.make_report(1000.0, ended=[end])


class TestRemovedWorkers:
    """Guards against a worker that is not called again once it is back.

    Entries of workers expire in an outage of the store.
    """

    async def test_a_worker_that_left_with_an_unstored_end_is_called_again(
        self,
    ) -> None:
        store = row_store.QuietRowStore()
        await put_rows(store, 'workers', dict.fromkeys(WORKERS, b''))
        workers = EndReportingWorkers(ZeroDivisionError(), 0)
        holder = make_holder(store, workers)
        scheduler = holder.scheduler
        tracked_by_id = scheduler.workers_by_id
        # Nothing renews the term here, and it must not end before the test.
        record = holder._term.record
        assert record is not None
        holder._term.record_write(clock.now() + 3 * TIMEOUT_S, record, 0)
        await holder._load()
        holder._apply_worker_entries()
        try:
            await waiting.until(
                lambda: tracked_by_id[model.WorkerId('w0')].unstored_ends,
                TIMEOUT_S,
                'the end of a run',
            )
            holder._apply_worker_row(ports.StoredRow('w0', b'', 5, True))
            scheduler.plan(clock.now(), worlds.UnlimitedAdviceCallers())
            assert 'w0' not in tracked_by_id
            await waiting.until(
                lambda: 'w0' not in holder._lease_tasks,
                TIMEOUT_S,
                'no calls to the removed worker',
            )
            calls = workers.reports_by_id['w0']
            holder._apply_worker_row(ports.StoredRow('w0', b'', 6, False))
            await waiting.until(
                lambda: workers.reports_by_id['w0'] > calls,
                TIMEOUT_S,
                'a call to the worker that is back',
            )
            metrics = holder._context.metrics.render()[0].decode()
            assert 'set_aside_total{' not in metrics
        finally:
            for task in holder._lease_tasks.values():
                task.cancel()
            await asyncio.gather(
                *holder._lease_tasks.values(), return_exceptions=True
            )


class TestBadRows:
    """Guards against one bad row that no holder can load."""

    async def test_a_bad_worker_is_set_aside(self) -> None:
        store = row_store.QuietRowStore()
        await put_rows(store, 'workers', {'w0': b'bad', 'w1': b''})
        holder = make_holder(store)
        await holder._load()
        assert holder.scheduler.workers_by_id.keys() == {'w1'}

    async def test_progress_with_malformed_keys_is_set_aside(self) -> None:
        store = row_store.QuietRowStore()
        for number in (1, 2):
            job = worlds.make_job(number)
            part = records.job_part(job.job_id)
            row = records.encode(job)
            await put_rows(
                store, records.JOBS_TABLE, {job.job_id: row}, [part]
            )
        bad = records.JobProgress(failed_runs_by_task={'x': [1]})
        key = worlds.make_job(1).job_id
        await put_rows(
            store, records.PROGRESS_TABLE, {key: records.encode(bad)}
        )
        holder = make_holder(store)
        await holder._load()
        active = holder.scheduler.jobs.active_by_id
        assert active.keys() == {worlds.make_job(2).job_id}

    async def test_a_job_with_unreadable_progress_does_not_run_again(
        self,
    ) -> None:
        store = row_store.QuietRowStore()
        job = worlds.make_job(1)
        part = records.job_part(job.job_id)
        row = records.encode(job)
        await put_rows(store, records.JOBS_TABLE, {job.job_id: row}, [part])
        await put_rows(store, records.PROGRESS_TABLE, {job.job_id: b'\xff'})
        holder = make_holder(store)
        await holder._load()
        assert not holder.scheduler.jobs.active_by_id

    async def test_a_bad_job_of_an_entry_is_set_aside(self) -> None:
        holder = make_holder(row_store.QuietRowStore())
        await holder._load()
        holder.add_job(b'\xff', 1)
        holder.add_job(records.encode(worlds.make_job(2)), 2)
        assert len(holder.scheduler.jobs.active_by_id) == 1


class CompactedStore(row_store.QuietRowStore):
    """Store that drops its history and then reads out an old list once."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        page = await super().read(table, first, end, part)
        if table != 'workers':
            return page
        self.reads += 1
        if self.reads == 2:
            left = ports.StoredRow('left', b'', 1, False)
            return ports.Page([*page.rows, left], 1, False)
        return page

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        if table == 'workers' and self.reads < 3:
            return None
        return await super().feed(table, after, wait_s)


class TestOutdatedLists:
    """Guards against a worker that has left and is in use again."""

    async def test_an_old_list_brings_no_worker_back(self) -> None:
        store = CompactedStore()
        for _ in range(5):
            await put_rows(store, 'workers', {'w1': b''})
        workers = Workers(ZeroDivisionError(), 0)
        running = asyncio.create_task(make_holder(store, workers).run())
        try:
            await waiting.until(
                lambda: (
                    store.reads >= 3 and workers.reports_by_id.get('w1', 0) > 2
                ),
                TIMEOUT_S,
                'another read and calls to the worker',
            )
            assert workers.reports_by_id.keys() == {'w1'}
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class SlowToConnect(Workers):
    """Workers that can be sent an order only after some time.

    :param on_connected: called before an order may be sent.
    """

    def __init__(self, on_connected: Callable[[], None]) -> None:
        super().__init__(ZeroDivisionError(), 0)
        self.on_connected = on_connected
        self.started: list[str] = []

    async def start(
        self,
        worker: specs.WorkerEntry,
        order: ports.TaskOrder,
        term: int,
        deadline_ms: int,
        may_send: Callable[[], bool],
    ) -> specs.StartOutcome:
        del worker, term, deadline_ms
        await asyncio.sleep(0)
        self.on_connected()
        if not may_send():
            return specs.StartOutcome.NOT_SENT
        self.started.append(order.task_id)
        return specs.StartOutcome.STARTED


class TestShrinkingWorkers:
    """Guards against orders that wait while the capacity shrinks."""

    async def test_an_order_that_waits_is_withdrawn(self) -> None:
        workers = SlowToConnect(
            lambda: holder.scheduler.set_workers(
                clock.now(), [worlds.make_worker('w0', cpu=500)]
            )
        )
        holder = make_holder(row_store.QuietRowStore(), workers)
        await holder._start(plan_start(holder))
        assert not workers.started

    async def test_an_order_that_still_fits_is_sent(self) -> None:
        workers = SlowToConnect(
            lambda: holder.scheduler.set_workers(
                clock.now(), [worlds.make_worker('w0', cpu=1000)]
            )
        )
        holder = make_holder(row_store.QuietRowStore(), workers)
        start = plan_start(holder)
        await holder._start(start)
        assert workers.started == [start.order.task_id]


class TestEvacuations:
    """Guards against a start in a zone that the holder knows as evacuated."""

    def _holder(
        self, workers: Workers, evacuations: evacuation.Evacuations
    ) -> holders.Holder:
        store = row_store.QuietRowStore()
        return make_holder(store, workers, lambda: evacuations)

    async def test_an_order_that_waits_is_withdrawn(self) -> None:
        evacuations = evacuation.Evacuations()
        workers = SlowToConnect(
            lambda: evacuations.begin(clock.now(), model.ZoneId('z'))
        )
        holder = self._holder(workers, evacuations)
        await holder._start(plan_start(holder))
        assert not workers.started

    async def test_an_order_to_another_zone_is_sent(self) -> None:
        evacuations = evacuation.Evacuations()
        workers = SlowToConnect(
            lambda: evacuations.begin(clock.now(), model.ZoneId('y'))
        )
        holder = self._holder(workers, evacuations)
        start = plan_start(holder)
        await holder._start(start)
        assert workers.started == [start.order.task_id]

    async def test_a_placement_that_is_stored_meanwhile_is_not_sent(
        self,
    ) -> None:
        evacuations = evacuation.Evacuations()
        workers = SlowToConnect(lambda: None)
        holder = self._holder(workers, evacuations)
        start = plan_start(holder)
        holder._execute(start)
        evacuations.begin(clock.now(), model.ZoneId('z'))
        changes = holder.scheduler.collect_changes()
        holder._on_changes_stored(changes)
        assert not holder._calls
        (worker,) = holder.scheduler.workers_by_id.values()
        assert not worker.runs_by_key

    async def test_requests_that_are_too_old_are_read(self) -> None:
        evacuations = evacuation.Evacuations(5.0)
        evacuations.confirmed_at = clock.now() - 10.0
        workers = SlowToConnect(lambda: None)
        holder = self._holder(workers, evacuations)

        def refresh() -> None:
            evacuations.confirmed_at = clock.now()

        holder._context.refresh_evacuations = refresh
        running = asyncio.create_task(holder.run())
        try:
            await waiting.until(
                lambda: evacuations.permits_starts(clock.now()),
                TIMEOUT_S,
                'a read of the requests',
            )
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    async def test_a_new_holder_starts_nothing_in_the_zone(self) -> None:
        store = row_store.QuietRowStore()
        await put_rows(store, 'workers', dict.fromkeys(WORKERS, b''))
        job = worlds.make_job(1)
        part = records.job_part(job.job_id)
        row = records.encode(job)
        await put_rows(store, records.JOBS_TABLE, {job.job_id: row}, [part])
        evacuations = evacuation.Evacuations()
        evacuations.begin(clock.now(), model.ZoneId('z'))
        workers = SlowToConnect(lambda: None)
        holder = make_holder(store, workers, lambda: evacuations)
        shown = holder._context.metrics
        running = asyncio.create_task(holder.run())
        try:
            await waiting.until(
                lambda: workers.reports_by_id.get('w0', 0) > 20,
                TIMEOUT_S,
                'reports of a worker',
            )
            assert not workers.started
            assert shown.evacuated_zones.get({}) == 1
            evacuations.end(model.ZoneId('z'))
            await waiting.until(
                lambda: workers.started, TIMEOUT_S, 'a start after the end'
            )
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class FailingFeedStore(row_store.QuietRowStore):
    """Store of which only the feed of workers fails."""

    def __init__(self) -> None:
        super().__init__()
        self.feed_fails = False

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        if table == 'workers' and self.feed_fails:
            raise errors.StoreUnavailable('the feed fails')
        return await super().feed(table, after, wait_s)


class TestFailingFeed:
    """Guards against starts on capacities that are no longer known."""

    async def test_work_starts_only_by_recent_entries(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holders, 'WORKER_FEED_WAIT_S', 0.05)
        monkeypatch.setattr(registry_freshness, 'MAX_AGE_S', 0.5)
        monkeypatch.setattr(registry_freshness, 'HEARTBEAT_S', 0.1)
        store = FailingFeedStore()
        await put_rows(store, 'workers', {'w0': b''})
        workers = SlowToConnect(lambda: None)
        holder = make_holder(store, workers)
        freshness = holder.scheduler.registry_freshness
        running = asyncio.create_task(holder.run())
        try:
            await waiting.until(
                lambda: 'w0' in workers.reports_by_id, TIMEOUT_S, 'a report'
            )
            store.feed_fails = True
            await waiting.until(
                lambda: not freshness.permits_starts(clock.now()),
                TIMEOUT_S,
                'outdated entries',
            )
            job = worlds.make_job(1)
            holder.add_job(records.encode(job), store.version + 1)
            reports = workers.reports_by_id['w0']
            await waiting.until(
                lambda: workers.reports_by_id['w0'] > reports + 5,
                TIMEOUT_S,
                'more reports',
            )
            assert not workers.started
            store.feed_fails = False
            await waiting.until(
                lambda: bool(workers.started), TIMEOUT_S, 'a start'
            )
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class FailingOrders(Workers):
    """Workers whose orders raise an error that no caller expects."""

    def __init__(self) -> None:
        super().__init__(ZeroDivisionError(), 0)

    async def start(self, *arguments: object) -> specs.StartOutcome:
        raise OverflowError('port must be 0-65535')

    async def throttle(self, *arguments: object) -> bool:
        raise OverflowError('port must be 0-65535')


class TestFailingOrders:
    """Guards against a state that only the answer to an order can leave."""

    async def test_the_task_of_a_start_that_raised_starts_again(self) -> None:
        holder = make_holder(row_store.QuietRowStore(), FailingOrders())
        scheduler = holder.scheduler
        start = plan_start(holder)
        await holder._start(start)
        worker_id = model.WorkerId('w0')
        for _ in range(2):
            now = clock.now()
            scheduler.apply_report(
                now, now, worker_id, worlds.make_report(1000.0)
            )
            scheduler.handle_stop_result(
                now, worker_id, start.order.task_id, start.order.run, True
            )
        starts = scheduler.plan(
            clock.now() + 1.0, worlds.UnlimitedAdviceCallers()
        )
        assert start.order.task_id in [
            one.order.task_id
            for one in starts
            if isinstance(one, actions.Start)
        ]

    async def test_a_throttle_that_raised_does_not_count_as_set(self) -> None:
        holder = make_holder(row_store.QuietRowStore(), FailingOrders())
        start = plan_start(holder)
        worker = holder.scheduler.workers_by_id[model.WorkerId('w0')]
        key = (start.order.task_id, start.order.run)
        worker.runs_by_key[key].throttle_percent = 30
        await holder._throttle(actions.Throttle(worker.entry, *key, 30))
        assert worker.runs_by_key[key].throttle_percent not in range(101)


class HistoryStore(row_store.QuietRowStore):
    """Store whose feed shows every change of the jobs, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.changes: list[ports.StoredRow] = []
        self.feed_fails = False
        self.jobs_feeds = 0

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        version = await super().transact(conditions, puts, removals, part)
        self.changes.extend(
            ports.StoredRow(put.key, put.value, version)
            for put in puts
            if put.table == records.JOBS_TABLE
        )
        self.changes.extend(
            ports.StoredRow(removal.key, b'', version, True)
            for removal in removals
            if removal.table == records.JOBS_TABLE
        )
        return version

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        if self.feed_fails:
            raise errors.StoreUnavailable('the feed fails')
        if table != records.JOBS_TABLE:
            return await super().feed(table, after, wait_s)
        self.jobs_feeds += 1
        rows = [row for row in self.changes if row.version > after]
        return ports.Page(rows, self.version)


async def store_job(
    store: row_store.MemoryRowStore, job: records.JobRecord
) -> int:
    """Store a job as an entry does; return the version of its row."""
    put = ports.Put(records.JOBS_TABLE, job.job_id, records.encode(job))
    return await store.transact([], [put], (), records.job_part(job.job_id))


async def store_cancellation(
    store: row_store.MemoryRowStore, job_id: model.JobId
) -> int:
    """Store a cancellation as an entry does; return its version."""
    key = job_id + records.CANCEL_SUFFIX
    put = ports.Put(records.JOBS_TABLE, key, b'1')
    return await store.transact([], [put], (), records.job_part(job_id))


async def forget_job(holder: holders.Holder, job_id: model.JobId) -> None:
    """End a job and remove its rows, as after the time for queries."""
    now = clock.now()
    scheduler = holder.scheduler
    assert scheduler.cancel(now, job_id)
    scheduler.mark_stored(now, scheduler.collect_changes())
    ended = scheduler.jobs.archive.next_batch(now + 60.0)
    assert ended is not None
    assert await holder._archiver.write(ended)
    scheduler.mark_stored(now, scheduler.collect_changes())
    scheduler.jobs.expire_ended(now, clock.unix_now() + 1.0)
    expired = scheduler.jobs.archive.next_batch(now + 60.0)
    assert expired is not None
    assert await holder._archiver.write(expired)


class TestForgottenJobs:
    """Guards against a job that begins anew after its end was forgotten."""

    async def test_a_late_announcement_is_ignored(self) -> None:
        store = HistoryStore()
        job = worlds.make_job(1)
        version = await store_job(store, job)
        holder = make_holder(store)
        await holder._load()
        await forget_job(holder, job.job_id)
        holder.add_job(records.encode(job), version)
        assert not holder.scheduler.jobs.active_by_id

    async def test_an_announcement_from_before_the_term_is_ignored(
        self,
    ) -> None:
        store = HistoryStore()
        job = worlds.make_job(1)
        version = await store_job(store, job)
        earlier = make_holder(store)
        await earlier._load()
        await forget_job(earlier, job.job_id)
        holder = make_holder(store)
        await holder._load()
        holder.add_job(records.encode(job), version)
        assert not holder.scheduler.jobs.active_by_id

    async def test_a_feed_that_lagged_begins_no_job_anew(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holders, 'JOB_FEED_INTERVAL_S', 0.01)
        store = HistoryStore()
        holder = make_holder(store)
        await holder._load()
        job = worlds.make_job(1)
        version = await store_job(store, job)
        store.feed_fails = True
        holder.add_job(records.encode(job), version)
        await forget_job(holder, job.job_id)
        store.feed_fails = False
        following = asyncio.create_task(holder._follow_jobs())
        try:
            await waiting.until(
                lambda: store.jobs_feeds >= 2, TIMEOUT_S, 'reads of the feed'
            )
            assert not holder.scheduler.jobs.active_by_id
            # The feed has passed the removal: nothing is kept of the job.
            assert holder.scheduler.jobs.may_accept(job.job_id)
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)

    async def test_an_announcement_of_unknown_version_reads_the_feed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holders, 'JOB_FEED_INTERVAL_S', 3600.0)
        store = HistoryStore()
        holder = make_holder(store)
        await holder._load()
        job = worlds.make_job(1)
        await store_job(store, job)
        following = asyncio.create_task(holder._follow_jobs())
        try:
            holder.add_job(records.encode(job), messages.UNKNOWN_VERSION)
            await waiting.until(
                lambda: job.job_id in holder.scheduler.jobs.active_by_id,
                TIMEOUT_S,
                'the job',
            )
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)


class TestEarlyCancellations:
    """Guards against cancellations that are lost or kept for ever."""

    async def test_a_cancellation_before_its_job_cancels_it(self) -> None:
        store = HistoryStore()
        holder = make_holder(store)
        await holder._load()
        job = worlds.make_job(1)
        version = await store_job(store, job)
        cancelled = await store_cancellation(store, job.job_id)
        holder.cancel_job(job.job_id, cancelled)
        holder.add_job(records.encode(job), version)
        assert holder.scheduler.jobs.is_known(job.job_id)
        assert not holder.scheduler.jobs.active_by_id

    async def test_a_cancellation_of_a_forgotten_job_is_not_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holders, 'JOB_FEED_INTERVAL_S', 0.01)
        store = HistoryStore()
        job = worlds.make_job(1)
        await store_job(store, job)
        cancelled = await store_cancellation(store, job.job_id)
        holder = make_holder(store)
        await holder._load()
        holder.cancel_job(model.JobId('unknown'), cancelled)
        assert not holder._early_cancellations
        later = await store_cancellation(store, model.JobId('other'))
        holder.cancel_job(model.JobId('other'), later)
        assert holder._early_cancellations
        following = asyncio.create_task(holder._follow_jobs())
        try:
            await waiting.until(
                lambda: store.jobs_feeds >= 2, TIMEOUT_S, 'reads of the feed'
            )
            assert not holder._early_cancellations
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)


class TestJobsSetAside:
    """Guards against finished tasks that run again without their progress."""

    @pytest.mark.parametrize(
        'progress',
        [
            b'\xff',
            records.encode(records.JobProgress(done_by_step={'x': [0]})),
        ],
        ids=['unreadable', 'malformed keys'],
    )
    async def test_a_job_set_aside_stays_so_when_the_history_is_dropped(
        self, progress: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holders, 'JOB_FEED_INTERVAL_S', 0.01)
        store = row_store.MemoryRowStore()
        job = worlds.make_job(1)
        await store_job(store, job)
        await put_rows(store, records.PROGRESS_TABLE, {job.job_id: progress})
        holder = make_holder(store)
        await holder._load()
        assert not holder.scheduler.jobs.active_by_id
        other = worlds.make_job(2)
        await store_job(store, other)
        following = asyncio.create_task(holder._follow_jobs())
        try:
            await waiting.until(
                lambda: other.job_id in holder.scheduler.jobs.active_by_id,
                TIMEOUT_S,
                'the jobs read again',
            )
            assert job.job_id not in holder.scheduler.jobs.active_by_id
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)


class TestRunTimes:
    """Guards against learned run times that a takeover loses."""

    QUEUE = model.QueueId('q')
    TEAM = model.TeamId('team')

    def _learn(self, times: run_times.RunTimes) -> None:
        for _ in range(200):
            times.record(self.QUEUE, '0', self.TEAM, 1.0, 5.0)

    def _expected_s(self, holder: holders.Holder) -> float:
        return holder.scheduler.run_times.expected_s(
            self.QUEUE, '0', self.TEAM, 1.0
        )

    async def test_the_next_holder_uses_them(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(holders, 'RUN_TIMES_INTERVAL_S', 0.01)
        store = row_store.QuietRowStore()
        first = make_holder(store)
        running = asyncio.create_task(first.run())
        try:
            await waiting.until(lambda: first.loaded, TIMEOUT_S, 'the rows')
            self._learn(first.scheduler.run_times)
            row = (run_times.TABLE, '', run_times.KEY)
            await waiting.until(
                lambda: row in store.rows_by_key, TIMEOUT_S, 'the row'
            )
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        store.rows_by_key.pop((records.TERM_TABLE, '', records.TERM_KEY))
        second = make_holder(store)
        running = asyncio.create_task(second.run())
        try:
            await waiting.until(
                lambda: self._expected_s(second) > 4.0,
                TIMEOUT_S,
                'the learned run times',
            )
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    async def test_an_unreadable_row_is_replaced_and_reported_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        warnings: list[str] = []
        monkeypatch.setattr(holders, 'RUN_TIMES_INTERVAL_S', 0.01)
        monkeypatch.setattr(
            holders.logs,
            'warning',
            lambda kind, /, **fields: warnings.append(kind),
        )
        store = row_store.QuietRowStore()
        await put_rows(store, run_times.TABLE, {run_times.KEY: b'\xff'})
        holder = make_holder(store)
        running = asyncio.create_task(holder.run())
        try:
            await waiting.until(lambda: warnings, TIMEOUT_S, 'a warning')
            assert self._expected_s(holder) == pytest.approx(1.0)
            self._learn(holder.scheduler.run_times)
            row = (run_times.TABLE, '', run_times.KEY)
            await waiting.until(
                lambda: store.rows_by_key[row][0] != b'\xff',
                TIMEOUT_S,
                'another row',
            )
            assert warnings == ['run_times.unreadable']
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class UnreadableStore(row_store.QuietRowStore):
    """Store that takes writes and answers no reads."""

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        del table, first, end, part
        raise errors.StoreUnavailable('no answer')


class TestResigning:
    """Guards against a holder that gives up its term and keeps it."""

    async def test_a_holder_that_is_still_loading_resigns(self) -> None:
        holder = make_holder(UnreadableStore())
        running = asyncio.create_task(holder.run())
        try:
            await asyncio.sleep(0)
            holder.resign('only other entries reach the store')
            with pytest.raises(writers.TermLost, match='other entries'):
                async with asyncio.timeout(TIMEOUT_S):
                    await running
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class TestInterference:
    """Guards what operators see of tasks that disturb each other."""

    async def test_a_learned_pair_is_logged_and_counted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        holder = make_holder(row_store.MemoryRowStore())
        context = holder._context
        lines: list[tuple[str, dict[str, object]]] = []
        monkeypatch.setattr(
            context.log,
            'write',
            lambda kind, **fields: lines.append((kind, fields)),
        )
        holder._execute(
            actions.ReportInterference(
                interference.Change('web', 'train', True, 0.4567, 12.0)
            )
        )
        holder.scheduler.interference.record_kept_apart()
        holder._sample_learned()
        assert lines == [
            (
                'interference.learned',
                {
                    'victim': 'web',
                    'neighbour': 'train',
                    'disturbs': True,
                    'effect': 0.457,
                    'evidence': 12.0,
                },
            )
        ]
        text = context.metrics.render()[0].decode()
        assert 'samphirestack_fleet_placements_apart_total 1' in text
        assert 'samphirestack_fleet_image_pairs{apart="yes"} 0' in text
        assert 'samphirestack_fleet_slow_workers 0' in text


class ConnectingWorkers(Workers):
    """Workers that restart while a connection to them is opened."""

    def __init__(self) -> None:
        super().__init__(ZeroDivisionError(), 0)
        self.sent_calls = 0
        self.restart: Callable[[], None] = lambda: None

    async def hold(
        self,
        worker: specs.WorkerEntry,
        term: int,
        last_seen: int,
        deadline_ms: int | None,
        wait_s: float,
        may_send: Callable[[], bool],
    ) -> specs.WorkerReport:
        self.restart()
        if not may_send():
            raise errors.CallOutdated('the worker restarted')
        self.sent_calls += 1
        return worlds.make_report(1000.0)

    async def start(
        self,
        worker: specs.WorkerEntry,
        order: ports.TaskOrder,
        term: int,
        deadline_ms: int,
        may_send: Callable[[], bool],
    ) -> specs.StartOutcome:
        self.restart()
        if not may_send():
            return specs.StartOutcome.NOT_SENT
        self.sent_calls += 1
        return specs.StartOutcome.STARTED


class TestCallsForAnEarlierProcess:
    """Guards against leases and acknowledgements that the next process takes.

    Its clock and the numbers of its ends begin anew.
    """

    @pytest.mark.parametrize('kind', ['hold', 'start'])
    async def test_a_call_is_not_sent_to_the_next_process(
        self, kind: str
    ) -> None:
        workers = ConnectingWorkers()
        holder = make_holder(row_store.MemoryRowStore(), workers)
        start = plan_start(holder)
        worker = holder.scheduler.workers_by_id[start.worker.worker_id]
        workers.restart = lambda: (
            holder.scheduler.update_worker(
                clock.now(), worlds.make_worker('w0', started=2)
            )
            and None
        )
        if kind == 'hold':
            await holder._renew_lease(start.worker.worker_id, 0.0)
        else:
            await holder._start(start)
        assert not workers.sent_calls
        assert not worker.consecutive_failed_calls


class TestOversizedProgress:
    """Guards against jobs that are set aside without a trace."""

    async def test_a_job_that_is_set_aside_is_counted(self) -> None:
        workers = Workers(ZeroDivisionError(), 0)
        holder = make_holder(row_store.MemoryRowStore(), workers)
        plan_start(holder)
        (job,) = holder.scheduler.jobs.active_by_id.values()
        job.progress.main.done_by_step = {
            f'{number}.0': [0] for number in range(9000)
        }
        holder._on_changes_stored(holder.scheduler.collect_changes())
        counted = holder._context.metrics.set_aside
        assert counted.get({'source': 'progress'}) == 1
