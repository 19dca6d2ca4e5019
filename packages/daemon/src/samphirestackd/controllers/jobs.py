"""Reads the rows of the zone's jobs for the scheduler."""

import asyncio
from collections.abc import Callable

import msgspec

from samphirestack import errors
from samphirestack.internal.leader import tasks as schedulers
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd.controllers import job_writes
from samphirestackd import interfaces

SCAN_INTERVAL_S = 5.0
IDLE_POLL_S = 0.1
"""Time between checks for a term in which tasks may start."""

RETRY_S = 1.0


class JobRows:
    """Synchronizes the scheduler with the job rows of the zone.

    :param wake: called when the scheduler has something new to plan.
    """

    def __init__(
        self,
        context: contexts.Context,
        scheduler: schedulers.TaskScheduler,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._scheduler = scheduler
        self._wake = wake
        self._writer = job_writes.JobWriter(
            context,
            job_writes.WriteCallbacks(self._on_saved, self._on_superseded),
        )
        self._term: interfaces.Term | None = None
        self._initial_job_ids: set[model.JobId] | None = None
        self._requested_job_ids: set[model.JobId] = set()
        self._wakeup = asyncio.Event()
        context.links.subscribe(messages.JobWork, self._on_job_work)

    def start_term(self, term: interfaces.Term) -> None:
        """Start reading the job rows of the zone."""
        self._term = term
        self._initial_job_ids = None
        self._requested_job_ids.clear()
        self._wakeup.set()

    def change_term(self, term: interfaces.Term) -> None:
        """Use new times of the same term."""
        self._term = term
        self._wakeup.set()

    def end_term(self) -> None:
        """Stop reading and discard updates that the next leader makes."""
        self._term = None
        self._writer.end_term()

    def queue_updates(self, now: float) -> None:
        """Queue the job updates of the scheduler for writing."""
        for record in self._scheduler.pop_updates(now):
            self._writer.enqueue(record)

    async def flush(self) -> None:
        """Wait until all queued updates are written."""
        await self._writer.flush()

    async def run(self) -> None:
        """Read and write rows until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._writer.run())
            group.create_task(self._read_forever())

    def _on_job_work(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.JobWork) or self._term is None:
            return
        if message.cancel:
            self._scheduler.cancel(self._context.clock(), message.job_id)
            self._wake()
        self._requested_job_ids.add(message.job_id)
        self._wakeup.set()

    def _on_saved(self, record: model.JobRecord) -> None:
        self._scheduler.update_saved(self._context.clock(), record)
        self._wake()

    def _on_superseded(self, record: model.JobRecord) -> None:
        self._scheduler.job_changed(self._context.clock(), record)
        self._wake()

    async def _read_forever(self) -> None:
        scan_at = 0.0
        while True:
            term = self._term
            now = self._context.clock()
            if term is None or now < term.grant_from:
                await asyncio.sleep(IDLE_POLL_S)
                continue
            try:
                if now >= scan_at or self._initial_job_ids is None:
                    await self._scan(term)
                    scan_at = now + SCAN_INTERVAL_S
                await self._read_requested(term)
            except errors.SamphireError as error:
                self._context.events.record('jobs.unread', code=error.code)
                await asyncio.sleep(RETRY_S)
                continue
            await self._wait_for_work(scan_at - self._context.clock())

    async def _wait_for_work(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._wakeup.wait()
        except TimeoutError:
            return
        self._wakeup.clear()

    async def _scan(self, term: interfaces.Term) -> None:
        """Read all rows of the zone.

        Rows that are missing from the first scan after ``grant_from`` were
        inserted when no earlier leader could start tasks any more.
        """
        prefix = f'{self._context.settings.zone}/'
        rows = await self._context.table.scan(job_writes.TABLE, prefix)
        if self._term is not term:
            return
        if self._initial_job_ids is None:
            keys = [row.key.removeprefix(prefix) for row in rows]
            self._initial_job_ids = {model.JobId(key) for key in keys}
        for row in rows:
            self._process_row(row)
        self._wake()

    async def _read_requested(self, term: interfaces.Term) -> None:
        while self._requested_job_ids and self._term is term:
            job_id = self._requested_job_ids.pop()
            key = f'{self._context.settings.zone}/{job_id}'
            try:
                row = await self._context.table.get(job_writes.TABLE, key)
            except errors.SamphireError:
                self._requested_job_ids.add(job_id)
                raise
            if row is not None and self._term is term:
                self._process_row(row)
        self._wake()

    def _process_row(self, row: platform.Row) -> None:
        try:
            record = model.job_from_row(row.value)
        except msgspec.ValidationError as error:
            self._context.events.record(
                'jobs.malformed', key=row.key, reason=str(error)
            )
            return
        self._writer.record_version(record, row.version)
        job_id = record.job.job_id
        is_new = (
            self._initial_job_ids is not None
            and job_id not in self._initial_job_ids
        )
        self._scheduler.job_changed(self._context.clock(), record, is_new)
