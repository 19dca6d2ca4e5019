"""The holder of the term: runs the scheduler and calls the workers."""

import asyncio
from collections.abc import Callable
import contextlib

import msgspec

from samphirestack import errors
from samphirestack.fleet import actions
from samphirestack.fleet import memory
from samphirestack.fleet import messages
from samphirestack.fleet import pacing
from samphirestack.fleet import ports
from samphirestack.fleet import progress_rows
from samphirestack.fleet import records
from samphirestack.fleet import run_times
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack.fleet import tracking
from samphirestack import model
from samphirestackd.fleet import advice_callers
from samphirestackd.fleet import archiver
from samphirestackd.fleet import clock
from samphirestackd.fleet import decision_reporter
from samphirestackd.fleet import evacuation_reporter
from samphirestackd.fleet import node_context
from samphirestackd.fleet import table_reader
from samphirestackd.fleet import waves
from samphirestackd.fleet import writer as writers
from samphirestackd import logs

MIN_PLAN_INTERVAL_S = 0.004
"""Shortest interval between plans, which batches concurrent events."""

PLAN_PAUSE_FACTOR = 2.0
"""Pause after a plan in multiples of its duration, so that planning takes at
most a third of the processor time."""

MAX_PLAN_INTERVAL_S = 0.05
"""Longest interval between plans, for decisions that depend only on time."""

SLOW_PLAN_S = 0.2
"""Duration of a plan from which it is logged: it delays all orders."""

JOB_FEED_INTERVAL_S = 0.5
"""Interval of reads of the feed of jobs, which finds jobs whose announcement
by an entry was lost."""

WORKER_FEED_WAIT_S = 1.0
WORKER_FEED_PAUSE_S = 0.1
"""Pause between reads of the feed of workers.  Hundreds of workers renew their
entries each second, and without it each renewal costs a call."""

RUN_TIMES_INTERVAL_S = 5.0
"""Interval between writes of the learned run times; a holder that takes over
lacks those of the last interval."""

RETRY_AFTER_S = 0.15
FAILURES_UNTIL_SILENT = 2
"""Consecutive failed calls after which a worker counts as silent; one lost
answer is not enough."""

ADVICE_TIMEOUT_MARGIN_S = 0.6
"""Time beyond the expected duration after which an advice call fails."""

OWN_IDENTITY = b''
"""Identity of this process in the pool of advice callers."""


class Holder:
    """Runs the scheduler of the fleet while this process holds the term.

    :param send: sends a message to the entry with a connection identity.
    :param earlier_renewal_before: when the earlier holder had sent its last
        renewal; now by default.
    """

    def __init__(
        self,
        context: node_context.Context,
        term: terms.Term,
        configuration: specs.FleetConfiguration,
        send: Callable[[bytes, messages.Message], None],
        earlier_renewal_before: float | None = None,
    ) -> None:
        now = clock.now()
        self._context = context
        self._term = term
        self._send = send
        self.scheduler = schedulers.FleetScheduler(
            now,
            term.number,
            configuration,
            context.bounds.max_lease_s,
            earlier_renewal_before,
            memory.MEMORY_SHARE * context.memory_bytes,
        )
        self.scheduler.jobs.unix_offset_s = clock.unix_now() - now
        self.scheduler.evacuations = context.evacuations()
        self._reporter = decision_reporter.DecisionReporter(context)
        self._evacuation_reporter = evacuation_reporter.EvacuationReporter(
            self.scheduler, context.metrics
        )
        self.advice_callers = advice_callers.AdviceCallerPool(term.number)
        self.advice_callers.add(OWN_IDENTITY)
        self.writer = writers.TermWriter(
            context, term, self.scheduler, self._on_changes_stored
        )
        self._upkeep = waves.UpkeepController(
            context, term, self.scheduler, self.writer
        )
        self._archiver = archiver.Archiver(
            context, self.scheduler, self.writer
        )
        self.loaded = False
        self._resign_reason = ''
        self._resigned = asyncio.Event()
        self._jobs_version = 0
        """Version up to which all changes of jobs were applied."""
        self._jobs_read_requested = asyncio.Event()
        self._workers_version = 0
        self._worker_entries_by_id: dict[str, specs.WorkerEntry] = {}
        self._plan_requested = asyncio.Event()
        self._stored_events: dict[model.WorkerId, asyncio.Event] = {}
        """Set when the ends of runs that a worker reported are stored."""
        self._work_events: dict[model.WorkerId, asyncio.Event] = {}
        """Set when a run is ordered on a worker."""
        self._lease_tasks: dict[model.WorkerId, asyncio.Task[None]] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self._advice_waiters: dict[
            int, asyncio.Future[dict[model.WorkerId, str] | None]
        ] = {}
        self._unstored_starts: list[actions.Start] = []
        """Starts that may not be sent yet because their placement is not
        stored."""
        self._early_cancellations: dict[model.JobId, int] = {}
        """Version of the cancellation of each job that was cancelled before
        this process learned of it."""

    def resign(self, reason: str) -> None:
        """Send no more orders and end, without releasing the row of the term.

        This is for a holder that cannot write to the store.
        """
        self._resign_reason = reason
        self._resigned.set()

    async def run(self) -> None:
        """Schedule until the term is lost.

        :raises writers.TermLost: this process no longer holds the term.
        """
        writer = asyncio.create_task(self.writer.run())
        others = [
            asyncio.create_task(self._load_and_run()),
            asyncio.create_task(self._await_resignation()),
        ]
        try:
            done, _ = await asyncio.wait(
                [writer, *others], return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            self._evacuation_reporter.close()
            tasks = [writer, *others, *self._lease_tasks.values()]
            tasks.extend(self._calls)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _await_resignation(self) -> None:
        await self._resigned.wait()
        raise writers.TermLost(self._resign_reason)

    async def _load_and_run(self) -> None:
        await self._load()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_workers())
            group.create_task(self._follow_jobs())
            group.create_task(self._plan())
            group.create_task(self._archiver.run())
            group.create_task(self._upkeep.run())
            group.create_task(self._keep_run_times())

    # Loading

    async def _load(self) -> None:
        """Read all workers and jobs.

        Workers must not be called earlier: a run that a worker reports is
        stopped if its job is unknown.
        """
        self._workers_version = await self._read_workers()
        # Progress stays encoded until its job is loaded.
        progress_by_id: dict[str, dict[int, ports.StoredRow]] = {}

        def keep(row: ports.StoredRow) -> None:
            with self._logging_bad_row(row):
                key = progress_rows.parse_key(row.key)
                progress_by_id.setdefault(key.job_id, {})[key.number] = row

        await self._read_pages(
            records.PROGRESS_TABLE, records.HOLDER_PART, keep
        )
        self.scheduler.set_workers(
            clock.now(), self._worker_entries_by_id.values()
        )
        cancelled = []

        def load(row: ports.StoredRow) -> None:
            if row.key.endswith(records.CANCEL_SUFFIX):
                cancelled.append(
                    model.JobId(row.key.removesuffix(records.CANCEL_SUFFIX))
                )
            else:
                self._load_job(row, progress_by_id.pop(row.key, {}))

        self._jobs_version = await self._read_jobs(load)
        for job_id in cancelled:
            if not self.scheduler.jobs.cancel_deferred(job_id):
                self.scheduler.cancel(clock.now(), job_id)
        for key, rows in progress_by_id.items():
            self.scheduler.jobs.delete_progress(model.JobId(key))
            self.scheduler.jobs.clear_rows(model.JobId(key), rows)
        self.loaded = True
        self._context.log.write(
            'term.loaded',
            term=self._term.number,
            active=len(self.scheduler.jobs.active_by_id),
            ended=len(self.scheduler.jobs.ended_by_id),
            deferred=self.scheduler.jobs.deferred_count(),
            workers=len(self.scheduler.workers_by_id),
        )

    def _load_job(
        self,
        row: ports.StoredRow,
        progress_rows_by_number: dict[int, ports.StoredRow],
    ) -> None:
        progress: dict[int, records.JobProgress] = {}
        for number, progress_row in progress_rows_by_number.items():
            try:
                progress[number] = progress_rows.decode(progress_row.value)
            except Exception as error:
                # Without its progress, its finished tasks would run again.
                self._log_bad_row(progress_row, error)
                self.scheduler.jobs.set_aside(model.JobId(row.key))
                return
        main = progress.pop(progress_rows.MAIN_ROW, None)
        with self._logging_bad_row(row):
            self.scheduler.load_job(
                clock.now(),
                clock.unix_now(),
                records.decode_stored_job(row.key, row.value),
                main,
                progress,
            )

    async def _load_deferred_jobs(self) -> None:
        """Load jobs that waited in the store for memory."""
        jobs = self.scheduler.jobs
        for job_id in jobs.next_deferred():
            try:
                page = await self._context.store.read(
                    records.JOBS_TABLE,
                    job_id,
                    job_id + '\x00',
                    records.job_part(job_id),
                )
            except errors.PlatformError as error:
                logs.limited_warning('jobs.read_failed', '', error.message)
                return
            if not page.rows:
                jobs.take_deferred(job_id)
            for row in page.rows:
                with self._logging_bad_row(row):
                    self.scheduler.load_deferred(
                        clock.now(),
                        clock.unix_now(),
                        records.decode_stored_job(row.key, row.value),
                    )
            self._plan_requested.set()

    async def _keep_run_times(self) -> None:
        """Load the run times that earlier holders learned and store new ones.

        Nothing waits for them: until they are there, declared ones count.
        """
        rows, _ = await self._read_table(run_times.TABLE)
        for row in rows:
            if row.key != run_times.KEY:
                continue
            try:
                self.scheduler.set_run_times(run_times.decode(row.value))
            except msgspec.DecodeError as error:
                logs.warning('run_times.unreadable', reason=str(error))
        while True:
            await asyncio.sleep(RUN_TIMES_INTERVAL_S)
            if self.scheduler.run_times.has_changes:
                self.writer.store(
                    [
                        ports.Put(
                            run_times.TABLE,
                            run_times.KEY,
                            self.scheduler.run_times.encode(),
                        )
                    ]
                )

    @contextlib.contextmanager
    def _logging_bad_row(self, row: ports.StoredRow):  # type: ignore[no-untyped-def]
        try:
            yield
        except Exception as error:
            # One row must not keep every holder from loading the others.
            self._log_bad_row(row, error)

    def _log_bad_row(self, row: ports.StoredRow, error: Exception) -> None:
        self._context.metrics.set_aside.inc({'source': 'row'})
        logs.limited_warning('store.bad_row', row.key, error)

    async def _read_jobs(
        self, apply: Callable[[ports.StoredRow], None]
    ) -> int:
        """Apply the rows of all jobs, each as soon as it is read.

        :return: a version that all rows reflect.
        """
        reading = asyncio.Semaphore(
            pacing.reads_at_once(
                self._context.strength, self._context.memory_bytes
            )
        )

        async def read(part: str) -> int:
            async with reading:
                return await self._read_pages(records.JOBS_TABLE, part, apply)

        return min(
            await asyncio.gather(
                *(read(part) for part in records.all_job_parts())
            )
        )

    async def _read_table(
        self, table: str, part: str = records.HOLDER_PART
    ) -> tuple[list[ports.StoredRow], int]:
        """Return all rows of a part and the version of the first page."""
        rows: list[ports.StoredRow] = []
        version = await self._read_pages(table, part, rows.append)
        return rows, version

    async def _read_pages(
        self,
        table: str,
        part: str,
        apply: Callable[[ports.StoredRow], None],
    ) -> int:
        """Apply all rows of a part; return the version of the first page.

        A page without an answer is read again.
        """
        first = ''
        version: int | None = None
        while True:
            try:
                page = await table_reader.read_page(
                    self._context.store, table, first, part
                )
            except errors.PlatformError as error:
                logs.limited_warning('store.read_failed', table, error.message)
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            if version is None:
                version = page.version
            for row in page.rows:
                apply(row)
            if not page.more:
                return version
            first = table_reader.following_key(page)

    # Workers

    async def _read_workers(self, min_version: int = 0) -> int:
        """Read the list of workers; return its version.

        :param min_version: version that was seen before.  An older list would
            bring back workers that have left since.
        """
        while True:
            sent_at = clock.now()
            rows, version = await self._read_table(
                self._context.registry.workers_table
            )
            if version >= min_version:
                break
            logs.warning(
                'workers.outdated', version=version, known=min_version
            )
            await asyncio.sleep(RETRY_AFTER_S)
        self._worker_entries_by_id = {}
        for row in rows:
            with self._logging_bad_row(row):
                self._update_worker_entry(row)
        self.scheduler.registry_freshness.record_read(clock.now(), sent_at)
        return version

    def _update_worker_entry(
        self, row: ports.StoredRow
    ) -> specs.WorkerEntry | None:
        entry = None if row.removed else self._context.registry.worker(row)
        if entry is not None and not specs.is_plausible_start(
            clock.unix_now(), entry.started_unix_ms
        ):
            logs.limited_warning(
                'worker.bad_start', row.key, 'it is in the future'
            )
            entry = None
        previous = self._worker_entries_by_id.pop(row.key, None)
        if entry is not None:
            self._worker_entries_by_id[row.key] = entry
        if (previous and previous.state) != (entry and entry.state):
            self._context.log.write(
                'worker.changed',
                worker=row.key,
                version=row.version,
                state=entry.state.value if entry else 'gone',
                leaves_in_s=entry.leaves_in_s if entry else 0,
            )
        return entry

    def _apply_worker_entries(self) -> None:
        """Apply the complete list of workers."""
        now = clock.now()
        self.scheduler.set_workers(now, self._worker_entries_by_id.values())
        for worker_id, worker in self.scheduler.workers_by_id.items():
            if worker.entry.address:
                self._call_worker_regularly(worker_id)

    def _apply_worker_row(self, row: ports.StoredRow) -> None:
        entry = self._update_worker_entry(row)
        if entry is None:
            self.scheduler.mark_worker_unregistered(model.WorkerId(row.key))
            return
        self.scheduler.update_worker(clock.now(), entry)
        if entry.address:
            self._call_worker_regularly(entry.worker_id)

    def _call_worker_regularly(self, worker_id: model.WorkerId) -> None:
        if worker_id not in self._lease_tasks:
            self._stored_events[worker_id] = asyncio.Event()
            self._work_events[worker_id] = asyncio.Event()
            self._lease_tasks[worker_id] = asyncio.create_task(
                self._maintain_lease(worker_id)
            )

    async def _follow_workers(self) -> None:
        freshness = self.scheduler.registry_freshness
        version = self._workers_version
        self._apply_worker_entries()
        # While jobs were loaded, the entries may have become outdated.
        wait_s = 0.0
        while True:
            sent_at = clock.now()
            try:
                page = await self._context.store.feed(
                    self._context.registry.workers_table, version, wait_s
                )
            except errors.PlatformError as error:
                logs.limited_warning('workers.feed_failed', '', error.message)
                freshness.record_failure()
                # No work starts until the entries are known to be current.
                wait_s = 0.0
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            if page is None:
                version = await self._read_workers(version)
                self._apply_worker_entries()
                # The store may drop its history again and again.
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            version = table_reader.next_feed_version(page, version)
            for row in page.rows:
                with self._logging_bad_row(row):
                    self._apply_worker_row(row)
            now = clock.now()
            if not page.more:
                waited = not page.rows and now - sent_at >= wait_s
                freshness.record_read(
                    now, sent_at + wait_s if waited else sent_at
                )
            wait_s = WORKER_FEED_WAIT_S
            if page.rows:
                self._plan_requested.set()
                await asyncio.sleep(WORKER_FEED_PAUSE_S)

    async def _maintain_lease(self, worker_id: model.WorkerId) -> None:
        """Renew the lease of one worker and process its reports.

        Return when the worker is removed.
        """
        event = self._stored_events[worker_id]
        while True:
            worker = self.scheduler.workers_by_id.get(worker_id)
            if worker is None:
                del self._lease_tasks[worker_id]
                return
            now = clock.now()
            if not self._term.may_extend_leases(now):
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            event.clear()
            unstored = worker.last_handled_end > worker.last_stored_end
            may_acknowledge = worker.end_to_acknowledge(now) > 0
            needs_report = not worker.has_reported or (
                worker.has_ends_to_acknowledge and not may_acknowledge
            )
            wait_s = (
                0.0 if unstored or needs_report else self._hold_pace().wait_s
            )
            if unstored and not may_acknowledge:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(pacing.MIN_HOLD_WAIT_S):
                        await event.wait()
                if worker.last_handled_end == worker.last_stored_end:
                    continue
            try:
                await self._renew_lease(worker_id, wait_s)
            except Exception as error:
                # The leases of its runs must still be renewed.
                self._context.metrics.set_aside.inc({'source': 'report'})
                logs.unexpected('report.failed', worker_id, error)
                await asyncio.sleep(RETRY_AFTER_S)
            await self._pause_while_idle(worker)

    def _hold_pace(self) -> pacing.HoldPace:
        return pacing.hold_pace(
            len(self.scheduler.workers_by_id), self._context.strength
        )

    async def _pause_while_idle(self, worker: tracking.TrackedWorker) -> None:
        """Pause the hold calls to a worker that has nothing to report."""
        pause_s = self._hold_pace().idle_pause_s
        if not pause_s or not worker.is_idle:
            return
        event = self._work_events[worker.entry.worker_id]
        event.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await event.wait()

    async def _renew_lease(
        self, worker_id: model.WorkerId, wait_s: float
    ) -> None:
        worker = self.scheduler.workers_by_id.get(worker_id)
        if worker is None:
            # It was removed since the call was decided.
            return
        sent_at = clock.now()
        deadline_ms = self.scheduler.lease_deadline(sent_at, worker_id)
        self.scheduler.record_lease_deadline(worker_id, deadline_ms)
        was_silent = worker.silent_since is not None
        acknowledged_end = worker.end_to_acknowledge(sent_at)
        process_ms = worker.started_unix_ms
        token = worker.token
        try:
            report = await self._context.workers.hold(
                worker.entry,
                token,
                acknowledged_end,
                deadline_ms,
                wait_s,
                lambda: worker.started_unix_ms == process_ms,
            )
            if not specs.is_plausible_start(
                clock.unix_now(), report.started_unix_ms
            ):
                raise errors.PlatformError(
                    f'the start {report.started_unix_ms} is in the future'
                )
        except errors.FencedOff:
            self.scheduler.record_refused_token(worker_id, token)
            await asyncio.sleep(RETRY_AFTER_S)
            return
        except errors.CallOutdated:
            return
        except errors.PlatformError as error:
            worker.consecutive_failed_calls += 1
            if worker.consecutive_failed_calls < FAILURES_UNTIL_SILENT:
                return
            if not was_silent:
                self._context.log.write(
                    'worker.silent', worker=worker_id, reason=error.message
                )
            self.scheduler.mark_worker_silent(clock.now(), worker_id)
            await asyncio.sleep(RETRY_AFTER_S)
            return
        now = clock.now()
        worker.consecutive_failed_calls = 0
        if was_silent:
            self._context.log.write('worker.regained', worker=worker_id)
        for row in self.scheduler.apply_report(
            now, sent_at, worker_id, report, acknowledged_end
        ):
            self._context.metrics.run_ends.inc({'reason': row.reason.value})
            self._context.log.write(
                'run.ended',
                worker=worker_id,
                task_id=row.task_id,
                run=row.run,
                reason=row.reason.value,
            )
        if self.scheduler.jobs.has_changes or report.ended:
            self.writer.write_requested.set()
        self._plan_requested.set()

    # Jobs

    def add_job(self, row: bytes, version: int) -> None:
        """Schedule a job that an entry stored.

        :param row: encoded ``records.JobRecord``; a malformed one is logged.
        :param version: version of the row.
        """
        if not self.loaded:
            return
        if version == messages.UNKNOWN_VERSION:
            self._jobs_read_requested.set()
            return
        if version <= self._jobs_version:
            # It was read from the store; the job may have ended since.
            return
        try:
            record = records.decode_job(row)
        except msgspec.DecodeError as error:
            logs.limited_warning('job.bad_row', '', error)
            return
        self._accept_job(record)

    def _accept_job(self, record: records.JobRecord) -> None:
        now = clock.now()
        try:
            accepted = self.scheduler.accept_job(now, clock.unix_now(), record)
        except Exception as error:
            self._context.metrics.set_aside.inc({'source': 'job'})
            logs.limited_warning('job.bad_row', record.job_id, error)
            return
        if accepted:
            version = self._early_cancellations.pop(record.job_id, None)
            if version is not None:
                self.cancel_job(record.job_id, version)
            self._plan_requested.set()

    def cancel_job(self, job_id: model.JobId, version: int) -> None:
        """Cancel a job whose cancellation an entry stored.

        If the job is not known yet, it is cancelled once it is added.

        :param version: version of the cancellation's row.
        """
        if not self.loaded:
            return
        if self.scheduler.jobs.cancel_deferred(job_id):
            self._jobs_read_requested.set()
            return
        if not self.scheduler.jobs.is_known(job_id):
            if version > self._jobs_version:
                self._early_cancellations[job_id] = version
            return
        if self.scheduler.cancel(clock.now(), job_id):
            self._context.log.write('job.cancelled', job_id=job_id)
            self.writer.write_requested.set()
            self._plan_requested.set()

    async def _follow_jobs(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(JOB_FEED_INTERVAL_S):
                    await self._jobs_read_requested.wait()
            self._jobs_read_requested.clear()
            version = self._jobs_version
            try:
                page = await self._context.store.feed(
                    records.JOBS_TABLE, version, 0.0
                )
            except errors.PlatformError as error:
                logs.limited_warning('jobs.feed_failed', '', error.message)
                continue
            if page is None:
                version = await self._read_jobs(self._apply_job_row)
            else:
                version = table_reader.next_feed_version(page, version)
                for row in page.rows:
                    self._apply_job_row(row)
            self._mark_jobs_read(version)
            await self._load_deferred_jobs()

    def _apply_job_row(self, row: ports.StoredRow) -> None:
        if row.removed:
            return
        if row.key.endswith(records.CANCEL_SUFFIX):
            self.cancel_job(
                model.JobId(row.key.removesuffix(records.CANCEL_SUFFIX)),
                row.version,
            )
            return
        with self._logging_bad_row(row):
            self._accept_job(records.decode_stored_job(row.key, row.value))

    def _mark_jobs_read(self, version: int) -> None:
        """Record that all changes of jobs up to a version were applied."""
        self._jobs_version = version
        self.scheduler.jobs.mark_read(version)
        # The row of a job is older than its cancellation.
        self._early_cancellations = {
            job_id: cancelled_at
            for job_id, cancelled_at in self._early_cancellations.items()
            if cancelled_at > version
        }

    def _send_starts(self, changes: actions.Changes) -> None:
        """Send the starts whose placement is stored now."""
        unstored = []
        for start in self._unstored_starts:
            key = self.scheduler.jobs.row_of_task(start.order.task_id)
            stored = (
                key in changes.row_keys
                and start.number <= changes.starts_until
            )
            is_active = key.job_id in self.scheduler.jobs.active_by_id
            if is_active and not stored:
                unstored.append(start)
            elif is_active and self._may_send_start(start):
                self._spawn(self._start(start))
            else:
                self.scheduler.handle_start_result(
                    clock.now(),
                    start.worker.worker_id,
                    start.order.task_id,
                    start.order.run,
                    specs.StartOutcome.NOT_SENT,
                )
        self._unstored_starts = unstored

    def _may_send_start(self, start: actions.Start) -> bool:
        now = clock.now()
        return self._term.may_start_work(
            now
        ) and self.scheduler.should_send_start(
            now, start.worker.worker_id, start.order.task_id, start.order.run
        )

    def _on_changes_stored(self, changes: actions.Changes) -> None:
        self._send_starts(changes)
        self._report_oversized()
        for worker_id in self.scheduler.mark_stored(clock.now(), changes):
            event = self._stored_events.get(worker_id)
            if event is not None:
                event.set()
        for job_id, number in changes.row_keys:
            if number != progress_rows.MAIN_ROW:
                continue
            ended = self.scheduler.jobs.ended_by_id.get(job_id)
            if ended is not None and ended.ended_as is not None:
                self._context.metrics.jobs_ended.inc(
                    {
                        'queue': ended.queue.queue_id,
                        'state': ended.ended_as.value,
                    }
                )
                self._context.log.write(
                    'job.ended',
                    job_id=job_id,
                    state=ended.ended_as.value,
                    age_s=round(ended.ended_unix_s - ended.accepted_unix_s, 3),
                )

    # Planning and orders

    async def _plan(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_PLAN_INTERVAL_S):
                    await self._plan_requested.wait()
            self._plan_requested.clear()
            now = clock.now()
            configuration = self._context.configuration()
            if configuration is not None:
                self.scheduler.configure(configuration)
            if self.scheduler.fenced:
                raise writers.TermLost(
                    'a worker rejected a call because of a newer term'
                )
            if self.scheduler.tokens_are_used_up:
                raise writers.TermLost('no tokens for workers are left')
            self._evacuation_reporter.update(now)
            if self._term.may_start_work(now):
                if not self.scheduler.evacuations.permits_starts(now):
                    self._context.refresh_evacuations()
                for action in self.scheduler.plan(now, self.advice_callers):
                    self._execute(action)
                self.advice_callers.reserved_calls.clear()
            if self.scheduler.jobs.has_changes:
                self.writer.write_requested.set()
            self._sample_learned()
            took_s = clock.now() - now
            self._context.metrics.plan_time.observe({}, took_s)
            if took_s > SLOW_PLAN_S:
                logs.warning(
                    'plan.slow',
                    took_s=round(took_s, 3),
                    waiting_steps=len(self.scheduler.jobs.ready_steps),
                    workers=len(self.scheduler.workers_by_id),
                )
            await asyncio.sleep(
                max(MIN_PLAN_INTERVAL_S, PLAN_PAUSE_FACTOR * took_s)
            )

    def _report_oversized(self) -> None:
        oversized_ids = self.scheduler.jobs.oversized_ids
        while oversized_ids:
            self._context.metrics.set_aside.inc({'source': 'progress'})
            logs.error('job.progress_too_large', job_id=oversized_ids.pop())

    def _sample_learned(self) -> None:
        learned = self.scheduler.interference
        metrics = self._context.metrics
        count = learned.take_kept_apart_count()
        if count:
            metrics.placements_apart.add({}, count)
        apart = learned.disturbing_count
        metrics.image_pairs.set({'apart': 'yes'}, apart)
        metrics.image_pairs.set({'apart': 'no'}, learned.pair_count - apart)
        metrics.slow_workers.set({}, self.scheduler.worker_speeds.slow_count)
        jobs = self.scheduler.jobs
        metrics.deferred_jobs.set({}, jobs.deferred_count())
        metrics.free_job_memory.set({}, jobs.budget.free_bytes)

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.Start):
            self._unstored_starts.append(action)
            self.writer.write_requested.set()
        elif isinstance(action, actions.Stop):
            self._spawn(self._stop(action))
        elif isinstance(action, actions.RequestAdvice):
            number, caller = self.advice_callers.reserved_calls.pop(0)
            self._spawn(self._get_advice(action, number, caller))
        elif isinstance(action, actions.Throttle):
            self._spawn(self._throttle(action))
        elif isinstance(action, actions.PollWorker):
            self._spawn(self._renew_lease(action.worker_id, 0.0))
        else:
            self._reporter.report(action)

    def _spawn(self, call) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._on_call_done)

    def _on_call_done(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        error = None if task.cancelled() else task.exception()
        if isinstance(error, Exception):
            logs.unexpected('call.failed', type(error).__name__, error)

    async def _start(self, action: actions.Start) -> None:
        worker_id = action.worker.worker_id
        sent_at = clock.now()
        deadline_ms = self.scheduler.lease_deadline(sent_at, worker_id)
        if worker_id in self._work_events:
            self._work_events[worker_id].set()
        outcome = specs.StartOutcome.LATE
        token = self.scheduler.token_for(worker_id)
        if deadline_ms is not None:
            self.scheduler.mark_start_sent(
                worker_id, action.order.task_id, action.order.run
            )
            self.scheduler.record_lease_deadline(worker_id, deadline_ms)
            outcome = await self._send_start(action, token, deadline_ms)
        now = clock.now()
        self.scheduler.handle_start_result(
            now,
            worker_id,
            action.order.task_id,
            action.order.run,
            outcome,
            token,
        )
        self._context.metrics.orders.inc(
            {'kind': 'start', 'outcome': outcome.value}
        )
        self._context.metrics.wait_time.observe(
            {'queue': action.queue_id}, action.waited_s
        )
        self._context.log.write(
            'run.ordered',
            task_id=action.order.task_id,
            run=action.order.run,
            worker=worker_id,
            waited_s=round(action.waited_s, 3),
            took_s=round(now - sent_at, 4),
            outcome=outcome.value,
            token=token,
        )
        if outcome is not specs.StartOutcome.STARTED:
            self._plan_requested.set()

    async def _send_start(
        self, action: actions.Start, token: specs.CallToken, deadline_ms: int
    ) -> specs.StartOutcome:
        worker = self.scheduler.workers_by_id[action.worker.worker_id]
        process_ms = worker.started_unix_ms
        try:
            return await self._context.workers.start(
                action.worker,
                action.order,
                token,
                deadline_ms,
                lambda: (
                    worker.started_unix_ms == process_ms
                    and self._may_send_start(action)
                ),
            )
        except Exception as error:
            # Without an outcome, the run would count as ordered for ever.
            self._log_failed_order('start', action.worker, error)
            return specs.StartOutcome.UNKNOWN

    def _log_failed_order(
        self, kind: str, worker: specs.WorkerEntry, error: Exception
    ) -> None:
        self._context.metrics.set_aside.inc({'source': 'order'})
        logs.unexpected(
            'order.failed', f'{kind} {worker.worker_id}', error, order=kind
        )

    async def _stop(self, action: actions.Stop) -> None:
        worker_id = action.worker.worker_id
        sent_at = clock.now()
        try:
            accepted = await self._context.workers.stop(
                action.worker,
                action.task_id,
                action.run,
                self.scheduler.token_for(worker_id),
            )
        except Exception as error:
            self._log_failed_order('stop', action.worker, error)
            accepted = False
        self._context.metrics.orders.inc(
            {'kind': 'stop', 'outcome': str(accepted).lower()}
        )
        self._context.log.write(
            'run.stop_ordered',
            task_id=action.task_id,
            run=action.run,
            worker=worker_id,
            reason=action.reason,
            accepted=accepted,
        )
        self.scheduler.handle_stop_result(
            clock.now(),
            worker_id,
            action.task_id,
            action.run,
            accepted,
            sent_at,
        )

    async def _throttle(self, action: actions.Throttle) -> None:
        try:
            accepted = await self._context.workers.throttle(
                action.worker,
                action.task_id,
                action.run,
                action.percent,
                self.scheduler.token_for(action.worker.worker_id),
            )
        except Exception as error:
            self._log_failed_order('throttle', action.worker, error)
            accepted = False
        self._context.log.write(
            'run.paced',
            task_id=action.task_id,
            run=action.run,
            worker=action.worker.worker_id,
            percent=action.percent,
            accepted=accepted,
        )
        self.scheduler.handle_throttle_result(clock.now(), action, accepted)

    # Advice

    async def _get_advice(
        self,
        action: actions.RequestAdvice,
        number: int,
        caller: advice_callers.AdviceCaller,
    ) -> None:
        asked_at = clock.now()
        timeout_s = (
            action.expected_s + caller.backlog_s + ADVICE_TIMEOUT_MARGIN_S
        )
        tickets: dict[model.WorkerId, str] | None = None
        try:
            async with asyncio.timeout(timeout_s):
                if caller.identity == OWN_IDENTITY:
                    tickets = await call_advisor(
                        self._context, action.step_id, action.worker_ids
                    )
                else:
                    tickets = await self._get_advice_from_entry(
                        action, number, caller, timeout_s
                    )
        except TimeoutError:
            logs.limited_warning(
                'advice.no_answer',
                '',
                f'for {timeout_s:.1f} s, {action.step_id}',
            )
        finally:
            self.advice_callers.release(number)
        now = clock.now()
        self.scheduler.handle_advice_result(
            now,
            asked_at,
            action.step_id,
            action.worker_ids,
            None if tickets is None else ports.Advice(tickets),
        )
        self._context.log.write(
            'step.advised',
            step=action.step_id,
            asked=len(action.worker_ids),
            good=-1 if tickets is None else len(tickets),
            took_s=round(now - asked_at, 3),
            expected_s=round(action.expected_s, 3),
        )
        self._plan_requested.set()

    async def _get_advice_from_entry(
        self,
        action: actions.RequestAdvice,
        number: int,
        caller: advice_callers.AdviceCaller,
        timeout_s: float,
    ) -> dict[model.WorkerId, str] | None:
        waiter: asyncio.Future[dict[model.WorkerId, str] | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._advice_waiters[number] = waiter
        try:
            self._send(
                caller.identity,
                messages.AdviceRequest(
                    number, action.step_id, action.worker_ids, timeout_s
                ),
            )
            return await waiter
        finally:
            del self._advice_waiters[number]

    def handle_advice_reply(self, message: messages.AdviceReply) -> None:
        """Complete an advice request with the reply of an entry."""
        waiter = self._advice_waiters.get(message.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(message.tickets_by_worker_id)


async def call_advisor(
    context: node_context.Context,
    step_id: str,
    worker_ids: tuple[model.WorkerId, ...],
) -> dict[model.WorkerId, str] | None:
    """Call the advice service.

    :returns: tickets by worker, or ``None`` if the call failed.
    """
    try:
        advice = await context.advisor.advise(step_id, worker_ids)
    except errors.PlatformError as error:
        logs.limited_warning(
            'advice.failed', '', f'{error.message}, {step_id}'
        )
        return None
    return advice.tickets_by_worker_id
