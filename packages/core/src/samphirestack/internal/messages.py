"""Messages between daemons, encoded as MessagePack.

Every message travels in an :class:`Envelope`.  A receiver drops envelopes
with a schema version that it does not know and counts them, so that nodes
of different versions can run side by side.
"""

import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack import verdict as verdicts

SCHEMA_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages."""


class Ping(Message, frozen=True):
    """Asks a peer for a sign of life.

    ``number`` lets the sender match the answer with its own sending time,
    so that no clock of another node matters.
    """

    number: int
    zone: model.ZoneId
    revision: model.Revision
    leader: model.VmId
    epoch: model.Epoch
    draining: bool = False
    address: str = ''
    """Peer address of the sender, for receivers that don't know it yet."""


class Pong(Message, frozen=True):
    """Answers a :class:`Ping` and vouches for a revision.

    ``promised`` is the highest revision that the node has promised or
    applied; no lower revision is vouched for.
    """

    number: int
    zone: model.ZoneId
    revision: model.Revision
    promised: model.Revision
    leader: model.VmId
    epoch: model.Epoch
    draining: bool
    fresh: bool


class RequestSlot(Message, frozen=True):
    """Asks the zone leader for a slot of an upstream.

    Times are durations, since clocks of nodes are not comparable:
    ``waited_s`` is how long the request has waited when this is sent, and
    ``deadline_in_s`` what is left.
    """

    request_id: model.RequestId
    queue: model.QueueId
    team: model.TeamId
    waited_s: float
    deadline_in_s: float
    attempt: int
    idempotent: bool
    avoid: tuple[model.UpstreamId, ...] = ()
    spilled: bool = False
    """Whether it comes from another availability zone."""


class Grant(Message, frozen=True):
    """Gives a slot of an upstream to a waiting request."""

    request_id: model.RequestId
    grant_id: model.GrantId
    upstream_id: model.UpstreamId
    address: str
    epoch: model.Epoch
    attempt: int = 0
    """Attempt of the :class:`RequestSlot` that it answers, 0 if unknown."""


class Refuse(Message, frozen=True):
    """Tells an entry that a request gets no slot.

    ``code`` is that of a class in :mod:`samphirestack.errors`.
    """

    request_id: model.RequestId
    code: str
    reason: str


class Release(Message, frozen=True):
    """Gives a slot back and says how the attempt ended."""

    grant_id: model.GrantId
    request_id: model.RequestId
    verdict: verdicts.Verdict
    failed: bool
    duration_s: float
    upstream_leaving: bool = False


class CancelSlots(Message, frozen=True):
    """Withdraws waiting requests, many in one message."""

    request_ids: tuple[model.RequestId, ...]


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant that an entry still uses."""

    grant_id: model.GrantId
    request_id: model.RequestId
    upstream_id: model.UpstreamId
    queue: model.QueueId
    team: model.TeamId
    epoch: model.Epoch
    attempt: int = 0
    """Attempt that the grant was given for, 0 if unknown."""


class LeaderChanged(Message, frozen=True):
    """Announces a new zone leader to the entries of its zone."""

    leader: model.VmId
    epoch: model.Epoch


class HeldReport(Message, frozen=True):
    """Answers :class:`LeaderChanged` with all grants in use.

    Waiting requests follow as :class:`RequestSlot` messages.
    """

    epoch: model.Epoch
    grants: tuple[HeldGrant, ...]


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """Present use of one team in one availability zone."""

    team: model.TeamId
    running: int
    resources: model.Resources
    waiting: int
    slots: int = 0
    """Slots of upstreams, which are part of ``running``."""
    mean_slots: float | None = None
    """Mean since the last message; ``None`` from older nodes."""


class ZoneState(Message, frozen=True):
    """Usage of a zone, sent between zone leaders once a second."""

    zone: model.ZoneId
    epoch: model.Epoch
    slots: int
    slots_free: int
    capacity: model.Resources
    teams: tuple[TeamUsage, ...]


class SliceRequest(Message, frozen=True):
    """Asks the leader of another zone to give up part of a limit slice."""

    team: model.TeamId
    dimension: str
    amount: int


class Prepare(Message, frozen=True):
    """Asks a node to vouch for no revision lower than ``revision``."""

    revision: model.Revision


class Promise(Message, frozen=True):
    """Answers :class:`Prepare`; ``granted`` is false if it knows more."""

    revision: model.Revision
    granted: bool


class Announce(Message, frozen=True):
    """Says that a revision was accepted."""

    revision: model.Revision


class FetchConfiguration(Message, frozen=True):
    """Asks a peer for its configuration if newer than ``above``."""

    above: model.Revision


class ConfigurationReply(Message, frozen=True):
    """Carries a configuration to a peer."""

    configuration: configuration.Configuration


class JobWork(Message, frozen=True):
    """Tells a zone leader that a job row was written or changed."""

    job_id: model.JobId
    cancel: bool = False


AnyMessage = (
    Ping
    | Pong
    | RequestSlot
    | Grant
    | Refuse
    | Release
    | CancelSlots
    | LeaderChanged
    | HeldReport
    | ZoneState
    | SliceRequest
    | Prepare
    | Promise
    | Announce
    | FetchConfiguration
    | ConfigurationReply
    | JobWork
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its schema version and sender.

    ``clock`` is the sender's Lamport clock, which orders the events of the
    time line causally over all processes.
    """

    schema: int
    sender: model.VmId
    clock: int
    message: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(sender: model.VmId, clock: int, message: AnyMessage) -> bytes:
    """Return the bytes of an envelope around ``message``."""
    return _encoder.encode(Envelope(SCHEMA_VERSION, sender, clock, message))


def decode(data: bytes) -> Envelope | None:
    """Return the envelope in ``data``, or ``None`` if it is not usable.

    Oversized, malformed and unknown messages are not errors: any of them
    can come from a node of another version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return None
    try:
        envelope = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    if envelope.schema != SCHEMA_VERSION:
        return None
    return envelope
