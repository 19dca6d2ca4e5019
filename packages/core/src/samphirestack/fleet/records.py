"""Records in the platform's store and their codec."""

import zlib

import msgspec

from samphirestack import errors
from samphirestack.fleet import job_limits
from samphirestack.fleet import specs
from samphirestack.internal import decoding
from samphirestack import model

JOBS_TABLE = 'jobs'
PROGRESS_TABLE = 'progress'
TERM_TABLE = 'term'
TERM_KEY = 'fleet'
UPKEEP_TABLE = 'upkeep'
CANCEL_SUFFIX = '!'
"""Suffix of the key of a cancellation, after the key of its job."""


MAX_ROW_BYTES = 65_536
"""Limit of the platform's store for the value of a row."""

JOB_PARTS = 64
"""Parts of the table of jobs.  A part handles 300 transactions per second, and
5 while the store is 60 times slower.  At 70 jobs per second, and twice that
in a burst, each part is then at most half loaded."""

HOLDER_PART = ''
"""Part of all rows that the holder of the term writes.  A transaction is
limited to one part, and each one of the holder is conditional on the row of
the term."""


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row of a job.

    It is written when the job is accepted, and replaced by a short one some
    time after the job's end.
    """

    job_id: model.JobId
    queue: specs.Queue
    """The queue at the time of acceptance; it may be removed later."""
    customer_id: model.TeamId
    accepted_unix_s: decoding.Amount
    spec: specs.JobSpec | None = None
    """Absent once the job has ended."""
    ended_as: specs.JobState | None = None
    ended_unix_s: decoding.Amount = 0.0
    withdrawn: bool = False
    """Whether the job was cancelled before it was stored.  Its row keeps a
    late write of the job from taking effect, and counts as no job."""


class TaskCrash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of a worker under a run of a task."""

    worker_id: model.WorkerId
    suspected: bool
    """Whether the task may have caused it, as far as is known."""
    had_begun: bool = True
    """Whether the worker had answered the order of the run or listed it.  An
    order without an answer may never have been carried out."""


class GroupedProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job of very many tasks; see ``progress_rows``.

    The indexes of tasks are written as gaps: by turns how many are missing
    and how many follow.
    """

    done_by_step: dict[str, list[decoding.Count]]
    failed_by_step: dict[str, dict[decoding.Count, list[decoding.Count]]]
    """Gaps by ``OCCURRENCE.STEP`` and number of the run."""
    placed_by_worker_id: dict[
        str, dict[str, dict[decoding.Count, list[decoding.Count]]]
    ]
    """Gaps by worker, ``OCCURRENCE.STEP`` and number of the run."""
    copies_by_worker_id: dict[
        str, dict[str, dict[decoding.Count, list[decoding.Count]]]
    ] = {}
    """The same of the copies of tasks."""


class JobProgress(msgspec.Struct, omit_defaults=True):
    """Progress of a job as the holder of the term stores it."""

    done_by_step: dict[str, list[decoding.Count]] = {}
    """Indexes of the tasks that succeeded, by ``OCCURRENCE.STEP``."""
    failed_runs_by_task: dict[str, list[decoding.Count]] = {}
    """Numbers of failed runs, by ``OCCURRENCE.STEP.INDEX``."""
    crashes_by_task: dict[str, dict[decoding.Count, TaskCrash]] = {}
    """Crashes of workers by run number, by ``OCCURRENCE.STEP.INDEX``."""
    placed_by_task: dict[str, tuple[decoding.Count, str]] = {}
    """Run number and worker of each task that may be on a worker, by
    ``OCCURRENCE.STEP.INDEX``.  It is stored before the order is sent, so a
    run that is missing here was never ordered."""
    completed_before: decoding.Count = 0
    """Number of the first occurrences that are complete and about which the
    other fields say nothing any more."""
    grouped: GroupedProgress | None = None
    """Takes the place of the fields on done, failed, placed and copied tasks
    in the row of a job of very many tasks."""
    copies_by_task: dict[str, tuple[decoding.Count, str]] = {}
    """Run number and worker of the copy of each task that has one, as in
    ``placed_by_task``.  Entries of earlier versions ignore it; they take a
    copy that a worker lists for a surplus run, and stop it."""
    ended: JobRecord | None = None
    """Short row of the ended job, until it replaces the job's own row."""


class TermRecord(msgspec.Struct, frozen=True):
    """The row of the term; it names the process that decides."""

    term: decoding.Count
    holder: model.VmId
    life: str
    """Identifies one start of the holder's process."""
    address: str
    """Address at which entries reach the holder."""
    writes: decoding.Count = 0
    """Number of writes of the holder; shows whether a write without an
    answer took effect."""
    released: bool = False
    """Whether the holder gave the term up and issues no more orders."""
    best_strength: decoding.Amount = 0.0
    """Strength of the strongest entry known to the holder, for entries that
    had no contact with the holder."""


_encoder = msgspec.msgpack.Encoder()
_decode_job = decoding.msgpack_decoder(JobRecord)
_decode_progress = decoding.msgpack_decoder(JobProgress)
_decode_term = decoding.msgpack_decoder(TermRecord)


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
    record = _decode_job(data)
    if record.spec is not None:
        try:
            job_limits.check_job(record.spec)
        except errors.BadRequest as error:
            raise msgspec.ValidationError(error.message) from error
    return record


def decode_stored_job(key: str, data: bytes) -> JobRecord:
    """Read the row of a job.

    :raises msgspec.DecodeError: the row is no such record, or that of a job
        with another id than its key.
    """
    record = decode_job(data)
    if record.job_id != key:
        raise msgspec.ValidationError(
            f'the job {record.job_id!r} is in the row of another one'
        )
    return record


def decode_progress(data: bytes) -> JobProgress:
    """Read the progress of a job.

    :raises msgspec.DecodeError: the bytes are no such record.
    """
    return _decode_progress(data)


def decode_stored_term(data: bytes, version: int) -> TermRecord:
    """Read the row of the term.

    :raises msgspec.DecodeError: the row is no such record, or its number is
        above every one that its version allows.
    """
    record = decode_term(data)
    if record.term > version:
        raise msgspec.ValidationError(
            f'the term {record.term} is above the version {version}'
        )
    return record


def decode_term(data: bytes) -> TermRecord:
    """Read the term.

    :raises msgspec.DecodeError: the bytes are no such record.
    """
    return _decode_term(data)
