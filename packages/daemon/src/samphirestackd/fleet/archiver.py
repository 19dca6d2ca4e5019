"""Archiving of ended jobs by the holder of the term."""

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
"""Interval between checks for due partitions, which are seconds apart."""

STATUS_MARGIN_S = 60.0
"""Time for which rows are kept beyond the one for which clients may query
ended jobs."""


class Archiver:
    """Replaces the rows of ended jobs by short ones and removes old rows.

    These writes are not conditional on the term.  One that takes effect
    after another process took over the term is harmless, since an ended job
    never becomes active again.
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
        """Archive ended jobs until cancelled."""
        keep_s = self._context.bounds.status_s + STATUS_MARGIN_S
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = clock.now()
            self._jobs.expire_ended(now, clock.unix_now() - keep_s)
            while batch := self._jobs.archive.next_batch(now):
                if not await self.write(batch):
                    break

    async def write(self, batch: archives.Batch) -> bool:
        """Write a batch and return whether it is known to be stored."""
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
            version = await self._context.store.transact(
                [], puts, removals, batch.part
            )
        except errors.PlatformError as error:
            logs.limited_warning(
                'jobs.archive_failed', batch.part, error.message
            )
            self._jobs.archive.requeue_batch(clock.now(), batch)
            return False
        self._jobs.mark_archived(record.job_id for record in batch.ended)
        self._jobs.mark_removed(batch.expired, version)
        if self._jobs.has_changes:
            self._writer.write_requested.set()
        return True


def _cancellation_removal(job_id: str) -> ports.Removal:
    return ports.Removal(records.JOBS_TABLE, job_id + records.CANCEL_SUFFIX)
