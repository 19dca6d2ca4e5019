"""What is kept in the platform's store, and its codec."""

import zlib

import msgspec

from samphirestack.fleet import specs
from samphirestack import model

JOBS_TABLE = 'jobs'
PROGRESS_TABLE = 'progress'
TERM_TABLE = 'term'
TERM_KEY = 'fleet'
UPKEEP_TABLE = 'upkeep'
CANCEL_SUFFIX = '!'
"""Marks the row of a cancellation beside the row of its job."""


JOB_PARTS = 64
"""Parts of the table of jobs.  A part does 300 transactions a second, and 5
while the store is 60 times slower; 70 jobs a second, and twice that in a
burst, then leave each part half idle."""

HOLDER_PART = ''
"""Part of all rows that the holder of the term writes: a transaction has
one part, and each of its transactions is conditional on the term's row."""


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row of a job.

    It is written once when the job is accepted, and replaced by a short one
    some time after the job's end.
    """

    job_id: model.JobId
    queue: specs.Queue
    """As it was when the job was accepted; it may be removed later."""
    customer_id: model.TeamId
    accepted_unix_s: float
    spec: specs.JobSpec | None = None
    """Absent once the job has ended."""
    ended_as: specs.JobState | None = None
    ended_unix_s: float = 0.0


class JobProgress(msgspec.Struct, omit_defaults=True):
    """What the holder of the term stores of a job."""

    done_by_step: dict[str, list[int]] = {}
    """Indexes of the tasks that succeeded, by ``OCCURRENCE.STEP``."""
    failed_runs_by_task: dict[str, list[int]] = {}
    """Numbers of failed runs, by ``OCCURRENCE.STEP.INDEX``."""
    placed_by_task: dict[str, tuple[int, str]] = {}
    """Run and worker of each task that may be on a worker, by
    ``OCCURRENCE.STEP.INDEX``.  It is stored before the order is sent, so
    that a run that is not named here was never ordered."""
    ended: JobRecord | None = None
    """How the job ended, until the row of the job itself says so."""


class TermRecord(msgspec.Struct, frozen=True):
    """The row that says who decides for the fleet."""

    term: int
    holder: model.VmId
    life: str
    """One start of the holder's process."""
    address: str
    """Where entries reach the holder."""
    writes: int = 0
    """Count of the holder's writes, to find out about a lost answer."""
    released: bool = False
    """The holder gave the term up and orders nothing more."""
    best_strength: float = 0.0
    """Of the strongest entry that the holder has heard of, for entries that
    have never heard of the holder."""


_encoder = msgspec.msgpack.Encoder()
_job_decoder = msgspec.msgpack.Decoder(JobRecord)
_progress_decoder = msgspec.msgpack.Decoder(JobProgress)
_term_decoder = msgspec.msgpack.Decoder(TermRecord)


def encode(record: JobRecord | JobProgress | TermRecord) -> bytes:
    """Return the bytes of a record."""
    return _encoder.encode(record)


def job_part(job_id: str) -> str:
    """Return the part of the table of jobs that holds a job's rows."""
    return f'{zlib.crc32(job_id.encode()) % JOB_PARTS:02x}'


def all_job_parts() -> list[str]:
    """Return all parts of the table of jobs."""
    return [f'{number:02x}' for number in range(JOB_PARTS)]


def decode_job(data: bytes) -> JobRecord:
    """Read the row of a job.

    :raises msgspec.DecodeError: the bytes are no such record.
    """
    return _job_decoder.decode(data)


def decode_progress(data: bytes) -> JobProgress:
    """Read the progress of a job.

    :raises msgspec.DecodeError: the bytes are no such record.
    """
    return _progress_decoder.decode(data)


def decode_term(data: bytes) -> TermRecord:
    """Read the term.

    :raises msgspec.DecodeError: the bytes are no such record.
    """
    return _term_decoder.decode(data)
