"""Replacement of the rows of ended jobs by short ones, and their removal.

The end of a job is first stored among the other writes of the holder.  The
job's own row is in another part of the store and is replaced later, together
with others: this answers loads of many short jobs, for which a transaction
each would double the number of writes.
"""

import msgspec

from samphirestack.fleet import records
from samphirestack import model

MAX_BATCH = 40
"""Maximum number of jobs in one transaction.  Each may need two entries, its
row and its cancellation; a transaction holds 100."""

FULL_BATCH = 16
"""Number of jobs from which a part is written without delay."""

MAX_WAIT_S = 10.0
"""Maximum delay of a smaller batch.  It keeps the number of rows that a new
holder reads low, while most transactions still cover several jobs."""


class Batch(msgspec.Struct, frozen=True):
    """Rows of one part of the store to replace or remove."""

    part: str
    ended: tuple[records.JobRecord, ...]
    expired: tuple[model.JobId, ...]


class Archive:
    """Queue of ended jobs whose rows are to be replaced or removed."""

    def __init__(self) -> None:
        self._pending_by_part: dict[
            str, dict[model.JobId, records.JobRecord | None]
        ] = {}
        """New record of each job by part; ``None`` to remove its row."""
        self._since_by_part: dict[str, float] = {}

    def add_ended(self, now: float, record: records.JobRecord) -> None:
        """Queue the replacement of a job's row."""
        self._add(now, record.job_id, record)

    def add_expired(self, now: float, job_id: model.JobId) -> None:
        """Queue the removal of a job's row."""
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
        """Remove and return the next batch that is due, if any."""
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
        """Queue a batch again after its write failed."""
        for record in batch.ended:
            self.add_ended(now, record)
        for job_id in batch.expired:
            self.add_expired(now, job_id)
