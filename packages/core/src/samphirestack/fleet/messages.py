"""Messages between entries and the holder of the term."""

from collections.abc import Callable

import msgspec

from samphirestack.fleet import memory
from samphirestack.fleet import pacing
from samphirestack.fleet import specs
from samphirestack.internal import decoding
from samphirestack import model


UNKNOWN_VERSION = 0
"""Version of a row whose writer had no answer; also of former entries, which
did not send it."""


class Ping(msgspec.Struct, tag='ping', frozen=True):
    """Periodic message from an entry to the holder."""

    vm_id: model.VmId
    term: int
    holder_life: str
    """Process that the entry expects to be the holder."""
    store_age_s: float
    """Time since the store last answered the entry."""
    strength: decoding.Amount
    """Fitness of the entry to hold the term; see ``term.strength``."""


class Pong(msgspec.Struct, tag='pong', frozen=True):
    """Answer of the holder to a ping."""

    term: int
    waiting_by_queue: dict[model.QueueId, int] | None
    """Absent until the holder has read all jobs."""
    best_strength: decoding.Amount
    """Highest strength among the entries known to the holder."""
    renewal_age_s: float
    """Time since the holder last renewed the term in the store."""
    ping_interval_s: float = pacing.MIN_PING_INTERVAL_S
    """Interval of the entry's pings from now on."""
    write_s: float | None = None
    """How long the holder's last write to the store took.  Absent if it takes
    no ``SubmissionRequest``, as former holders."""
    room: memory.Room | None = None
    """Memory for further jobs; absent until the holder has read all jobs."""


class JobStored(msgspec.Struct, tag='job_stored', frozen=True):
    """Notice that an entry stored a job.

    It may arrive long after the job has ended, if the entry was paused.
    """

    row: bytes
    version: int = UNKNOWN_VERSION
    """Version of the row."""


class CancelStored(msgspec.Struct, tag='cancel_stored', frozen=True):
    """Notice that an entry stored the cancellation of a job."""

    job_id: model.JobId
    version: int = UNKNOWN_VERSION
    """Version of the row, above that of the job's."""


class StateQuery(msgspec.Struct, tag='state_query', frozen=True):
    """Request for the state of a job to report to its caller."""

    number: int
    job_id: model.JobId


class StateReply(msgspec.Struct, tag='state_reply', frozen=True):
    """Answer to a state query.

    ``state`` is absent for an unknown job, and for all jobs if the process
    does not hold the term or still loads the jobs.
    """

    number: int
    state: specs.JobState | None
    customer_id: model.TeamId | None
    host: str | None = None
    """Host of the queue to which the job was submitted; absent in replies of
    former holders."""
    prefix: str | None = None
    """Its prefix of paths."""


class SubmissionRequest(msgspec.Struct, tag='submission', frozen=True):
    """A submission that an entry can't store itself."""

    number: int
    method: str
    host: str
    path: str
    key: str
    body: bytes


class SubmissionReply(msgspec.Struct, tag='submission_reply', frozen=True):
    """Reply to a submission that was handed over."""

    number: int
    outcome: str
    """Value of the outcome of the call."""
    verdict: str
    """Value of the ``verdict.Verdict``."""
    detail: str
    retry_after_s: float | None


class AdviceRequest(msgspec.Struct, tag='advice_request', frozen=True):
    """Request of the holder that an entry calls the advice service."""

    number: int
    step_id: str
    worker_ids: tuple[model.WorkerId, ...]
    timeout_s: float


class AdviceReply(msgspec.Struct, tag='advice_reply', frozen=True):
    """Result of a call to the advice service; absent if it failed."""

    number: int
    tickets_by_worker_id: dict[model.WorkerId, str] | None


class TakeOver(msgspec.Struct, tag='take_over', frozen=True):
    """Notice that a process issues no more orders and can be replaced.

    A holder that resigns sends it, as does a process that is contacted in
    place of an earlier one that held the term.
    """

    term: int
    life: str


Message = (
    Ping
    | Pong
    | JobStored
    | CancelStored
    | StateQuery
    | StateReply
    | SubmissionRequest
    | SubmissionReply
    | AdviceRequest
    | AdviceReply
    | TakeOver
)

_encoder = msgspec.msgpack.Encoder()
_decode: Callable[[bytes], Message] = decoding.msgpack_decoder(
    Message  # type: ignore[arg-type]
)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Read a message.

    :raises msgspec.DecodeError: it is no message of this version.
    """
    return _decode(data)
