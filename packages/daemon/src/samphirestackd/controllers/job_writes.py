"""Writes job rows despite outages and lost answers.

Updates are kept in memory until they are written.  Each write is conditional
on the last known version, and after a write without an answer the row is read
before a retry, so that a final state is written once.
"""

import asyncio
from collections.abc import Callable

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts

TABLE = 'jobs'
WRITES_PER_TRANSACTION = 100
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0


class WriteCallbacks(msgspec.Struct, frozen=True):
    """Callbacks for the outcomes of writes."""

    saved: Callable[[model.JobRecord], None]
    """Called when an update of the current term is in the table."""
    superseded: Callable[[model.JobRecord], None]
    """Called with a final row that another writer has stored."""


class _Update:
    """A row that has to be written, and the number of its term."""

    __slots__ = ('record', 'term')

    def __init__(self, record: model.JobRecord, term: int) -> None:
        self.record = record
        self.term = term


class JobWriter:
    """Writes the newest update of each job."""

    def __init__(
        self, context: contexts.Context, callbacks: WriteCallbacks
    ) -> None:
        self._context = context
        self._callbacks = callbacks
        self._term = 0
        self._versions_by_id: dict[model.JobId, int] = {}
        self._updates_by_id: dict[model.JobId, _Update] = {}
        self._enqueued = asyncio.Event()
        self._all_written = asyncio.Event()
        self._all_written.set()

    @property
    def pending_count(self) -> int:
        """Number of rows that are not yet written."""
        return len(self._updates_by_id)

    def record_version(self, record: model.JobRecord, version: int) -> None:
        """Store the version of a row that was read.

        A final row supersedes an update that is not written yet.
        """
        job_id = record.job.job_id
        if record.state.is_final:
            update = self._updates_by_id.get(job_id)
            if update is not None:
                self._compare(job_id, update, record, version)
            self._versions_by_id.pop(job_id, None)
            return
        known = self._versions_by_id.get(job_id, 0)
        self._versions_by_id[job_id] = max(known, version)

    def enqueue(self, record: model.JobRecord) -> None:
        """Queue a row for writing, replacing an older update of the job."""
        update = _Update(record, self._term)
        self._updates_by_id[record.job.job_id] = update
        self._all_written.clear()
        self._enqueued.set()

    def end_term(self) -> None:
        """Discard updates that the next leader derives itself.

        Final states do not change any more and are still written.
        """
        self._term += 1
        for job_id, update in list(self._updates_by_id.items()):
            if not update.record.state.is_final:
                self._remove_pending(job_id)

    async def flush(self) -> None:
        """Wait until all updates are written."""
        await self._all_written.wait()

    async def run(self) -> None:
        """Write until cancelled."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            await self._enqueued.wait()
            self._enqueued.clear()
            while self._updates_by_id:
                try:
                    await self._write_batch()
                    backoff_s = INITIAL_BACKOFF_S
                except errors.SamphireError as error:
                    self._context.events.record(
                        'jobs.unwritten',
                        code=error.code,
                        rows=self.pending_count,
                    )
                    await asyncio.sleep(backoff_s)
                    backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _write_batch(self) -> None:
        batch = list(self._updates_by_id.items())[:WRITES_PER_TRANSACTION]
        for job_id, update in batch:
            if job_id not in self._versions_by_id:
                await self._read_back(job_id, update)
        known = [
            (job_id, update)
            for job_id, update in batch
            if job_id in self._versions_by_id
            and self._updates_by_id.get(job_id) is update
        ]
        if not known:
            return
        try:
            versions = await self._context.table.transact(
                [
                    self._conditional_write(job_id, update)
                    for job_id, update in known
                ]
            )
        except errors.TransactionConflict as conflict:
            keys = {key for _, key in conflict.conflicts}
            for job_id, update in known:
                if not keys or self._key(job_id) in keys:
                    await self._read_back(job_id, update)
            return
        except errors.OutcomeUnknown:
            for job_id, update in known:
                await self._read_back(job_id, update)
            return
        for (job_id, update), version in zip(known, versions, strict=True):
            self._on_saved(job_id, update, version)

    async def _read_back(self, job_id: model.JobId, update: _Update) -> None:
        """Read a row and decide whether its update must be written again."""
        row = await self._context.table.get(TABLE, self._key(job_id))
        if row is None:
            # Only rows of a zone that was declared lost are removed.
            self._discard(job_id, update)
            return
        try:
            record = model.job_from_row(row.value)
        except msgspec.ValidationError:
            self._context.events.record('jobs.malformed', key=row.key)
            self._discard(job_id, update)
            return
        self._compare(job_id, update, record, row.version)

    def _compare(
        self,
        job_id: model.JobId,
        update: _Update,
        record: model.JobRecord,
        version: int,
    ) -> None:
        """Decide from a row that was read what becomes of its update."""
        if record == update.record:
            self._on_saved(job_id, update, version)
        elif record.state.is_final:
            self._discard(job_id, update)
            if update.term == self._term:
                self._callbacks.superseded(record)
        else:
            self._versions_by_id[job_id] = version

    def _on_saved(
        self, job_id: model.JobId, update: _Update, version: int
    ) -> None:
        self._versions_by_id[job_id] = version
        self._discard(job_id, update)
        if update.term == self._term:
            self._callbacks.saved(update.record)

    def _discard(self, job_id: model.JobId, update: _Update) -> None:
        if self._updates_by_id.get(job_id) is update:
            self._remove_pending(job_id)
        if update.record.state.is_final:
            self._versions_by_id.pop(job_id, None)

    def _remove_pending(self, job_id: model.JobId) -> None:
        del self._updates_by_id[job_id]
        if not self._updates_by_id:
            self._all_written.set()

    def _conditional_write(
        self, job_id: model.JobId, update: _Update
    ) -> platform.Write:
        return platform.Write(
            TABLE,
            self._key(job_id),
            self._versions_by_id[job_id],
            model.job_to_row(update.record),
        )

    def _key(self, job_id: model.JobId) -> str:
        return f'{self._context.settings.zone}/{job_id}'
