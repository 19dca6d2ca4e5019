"""Writes short rows for ended jobs while this process holds the term."""

import asyncio

from samphirestack import errors
from samphirestack.fleet import archive as archives
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestackd.fleet import clock
from samphirestackd.fleet import node_context
from samphirestackd.fleet import writer as writers
from samphirestackd import logs

CHECK_INTERVAL_S = 0.25
"""Between looks for a part that is due; they are due seconds apart."""

STATUS_MARGIN_S = 60.0
"""Rows of ended jobs are kept longer than callers may ask for them."""


class Archiver:
    """Replaces rows of ended jobs, and removes those of old ones.

    A write that takes effect late, after another process took the term
    over, does no harm: an ended job stays ended.
    """

    def __init__(
        self,
        context: node_context.Context,
        scheduler: schedulers.FleetScheduler,
        writer: writers.TermWriter,
    ) -> None:
        self._context = context
        self._jobs = scheduler.jobs
        self._writer = writer

    async def run(self) -> None:
        """Archive for ever."""
        keep_s = self._context.bounds.status_s + STATUS_MARGIN_S
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = clock.now()
            self._jobs.expire_ended(now, clock.unix_now() - keep_s)
            while batch := self._jobs.archive.next_batch(now):
                if not await self.write(batch):
                    break

    async def write(self, batch: archives.Batch) -> bool:
        """Write a batch; return whether that is certain."""
        puts = []
        removals = []
        for record in batch.ended:
            puts.append(
                ports.Put(
                    records.JOBS_TABLE, record.job_id, records.encode(record)
                )
            )
            if record.ended_as is specs.JobState.CANCELLED:
                removals.append(_cancellation_removal(record.job_id))
        for job_id in batch.expired:
            removals.append(ports.Removal(records.JOBS_TABLE, job_id))
            removals.append(_cancellation_removal(job_id))
        try:
            await self._context.store.transact([], puts, removals, batch.part)
        except errors.PlatformError as error:
            logs.warning(
                'jobs.archive_failed', part=batch.part, reason=error.message
            )
            self._jobs.archive.requeue_batch(clock.now(), batch)
            return False
        self._jobs.mark_archived(record.job_id for record in batch.ended)
        if self._jobs.has_changes:
            self._writer.wake.set()
        return True


def _cancellation_removal(job_id: str) -> ports.Removal:
    return ports.Removal(records.JOBS_TABLE, job_id + records.CANCEL_SUFFIX)
