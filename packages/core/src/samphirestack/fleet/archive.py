"""Replaces the rows of ended jobs by short ones and removes them later.

The end of a job is stored with everything else that the holder writes.  The
job's own row is in another part, so that it is replaced afterwards: this
answers loads of many short jobs, for which a transaction each would double
the writes.
"""

import msgspec

from samphirestack.fleet import records
from samphirestack import model

MAX_BATCH = 40
"""Jobs in one transaction, with a row and a mark of a cancellation each; it
holds 100 entries."""

FULL_BATCH = 16
"""A part with this many jobs is written at once."""

MAX_WAIT_S = 10.0
"""The others wait for this long at most: the rows that a new holder reads
are then few, and most transactions cover several jobs."""


class Batch(msgspec.Struct, frozen=True):
    """Rows of one part to be replaced or removed."""

    part: str
    ended: tuple[records.JobRecord, ...]
    expired: tuple[model.JobId, ...]


class Archive:
    """Ended jobs whose rows have to be replaced or removed."""

    def __init__(self) -> None:
        self._pending_by_part: dict[
            str, dict[model.JobId, records.JobRecord | None]
        ] = {}
        """The new record of each job; ``None`` if its row goes."""
        self._since_by_part: dict[str, float] = {}

    def add_ended(self, now: float, record: records.JobRecord) -> None:
        """Replace the row of a job some time from now."""
        self._add(now, record.job_id, record)

    def add_expired(self, now: float, job_id: model.JobId) -> None:
        """Remove the row of a job some time from now."""
        self._add(now, job_id, None)

    def _add(
        self,
        now: float,
        job_id: model.JobId,
        record: records.JobRecord | None,
    ) -> None:
        part = records.job_part(job_id)
        self._pending_by_part.setdefault(part, {})[job_id] = record
        self._since_by_part.setdefault(part, now)

    def next_batch(self, now: float) -> Batch | None:
        """Return the next rows to write, if a part is due."""
        for part, pending in self._pending_by_part.items():
            if (
                len(pending) >= FULL_BATCH
                or now - self._since_by_part[part] >= MAX_WAIT_S
            ):
                return self._pop_batch(now, part)
        return None

    def _pop_batch(self, now: float, part: str) -> Batch:
        pending = self._pending_by_part[part]
        ended = []
        expired = []
        for job_id in list(pending)[:MAX_BATCH]:
            record = pending.pop(job_id)
            if record is None:
                expired.append(job_id)
            else:
                ended.append(record)
        if pending:
            self._since_by_part[part] = now
        else:
            del self._pending_by_part[part]
            del self._since_by_part[part]
        return Batch(part, tuple(ended), tuple(expired))

    def requeue_batch(self, now: float, batch: Batch) -> None:
        """Try a batch again some time from now."""
        for record in batch.ended:
            self.add_ended(now, record)
        for job_id in batch.expired:
            self.add_expired(now, job_id)
