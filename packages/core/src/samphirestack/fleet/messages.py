"""Messages between entries and the holder of the term."""

import msgspec

from samphirestack.fleet import specs
from samphirestack import model


class Ping(msgspec.Struct, tag='ping', frozen=True):
    """From an entry to the holder, at intervals."""

    vm_id: model.VmId
    term: int
    holder_life: str
    """The process that the entry believes it speaks to."""
    store_age_s: float
    """Time since the entry last had an answer of the store."""
    strength: float
    """How well the entry could hold the term."""


class Pong(msgspec.Struct, tag='pong', frozen=True):
    """The holder's answer to a ping."""

    term: int
    waiting_by_queue: dict[model.QueueId, int] | None
    """Absent until the holder has read all jobs."""
    best_strength: float
    """Of the entries that the holder has heard of."""
    renewal_age_s: float
    """Time since the holder last renewed the term in the store."""


class JobStored(msgspec.Struct, tag='job_stored', frozen=True):
    """An entry stored a job."""

    row: bytes


class CancelStored(msgspec.Struct, tag='cancel_stored', frozen=True):
    """An entry stored the cancellation of a job."""

    job_id: model.JobId


class StateQuery(msgspec.Struct, tag='state_query', frozen=True):
    """What may the caller of a job be told?"""

    number: int
    job_id: model.JobId


class StateReply(msgspec.Struct, tag='state_reply', frozen=True):
    """State of a job; ``state`` is absent for an unknown job."""

    number: int
    state: specs.JobState | None
    customer_id: model.TeamId | None


class AdviceRequest(msgspec.Struct, tag='advice_request', frozen=True):
    """The holder asks an entry to call the advice service."""

    number: int
    step_id: str
    worker_ids: tuple[model.WorkerId, ...]
    timeout_s: float


class AdviceReply(msgspec.Struct, tag='advice_reply', frozen=True):
    """Tickets by worker; absent if the call failed."""

    number: int
    tickets_by_worker_id: dict[model.WorkerId, str] | None


class TakeOver(msgspec.Struct, tag='take_over', frozen=True):
    """A process orders nothing more; another entry should follow it.

    It is sent by a holder that gives up, and by whoever is asked in place
    of a holder whose process is gone.
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
    | AdviceRequest
    | AdviceReply
    | TakeOver
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Read a message.

    :raises msgspec.DecodeError: it is none of this version.
    """
    return _decoder.decode(data)
