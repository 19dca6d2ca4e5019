"""Messages between daemons, encoded as MessagePack.

Every message is sent in an :class:`Envelope`.  A receiver discards and counts
envelopes with an unknown schema version, so that nodes of different versions
can run side by side.
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
    """Heartbeat to a peer, which answers with a :class:`Pong`.

    ``number`` lets the sender match the answer to the time at which it sent
    the ping, so that it does not depend on clocks of other nodes.
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
    """Answers a :class:`Ping` and confirms a configuration revision.

    ``promised`` is the highest revision that the node has promised to the
    author of a change (see :class:`Prepare`) or has in force.  The answer
    confirms no lower revision as the newest.
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
    ``waited_s`` is how long the request has waited when the message is sent,
    and ``deadline_in_s`` the time left until its deadline.
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
    """Whether the request comes from another availability zone."""


class Grant(Message, frozen=True):
    """Gives a slot of an upstream to a waiting request."""

    request_id: model.RequestId
    grant_id: model.GrantId
    upstream_id: model.UpstreamId
    address: str
    epoch: model.Epoch
    attempt: int = 0
    """Attempt of the answered :class:`RequestSlot`, 0 if unknown."""


class Refuse(Message, frozen=True):
    """Tells an entry that a request gets no slot.

    ``code`` is the code of an error class in :mod:`samphirestack.errors`.
    """

    request_id: model.RequestId
    code: str
    reason: str


class Release(Message, frozen=True):
    """Releases a slot and reports the result of the attempt."""

    grant_id: model.GrantId
    request_id: model.RequestId
    verdict: verdicts.Verdict
    failed: bool
    duration_s: float
    upstream_leaving: bool = False


class CancelSlots(Message, frozen=True):
    """Withdraws several waiting requests."""

    request_ids: tuple[model.RequestId, ...]


class HeldGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant that an entry still holds."""

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
    """Answers :class:`LeaderChanged` with all grants that an entry holds.

    Waiting requests follow as :class:`RequestSlot` messages.
    """

    epoch: model.Epoch
    grants: tuple[HeldGrant, ...]


class TeamUsage(msgspec.Struct, frozen=True, array_like=True):
    """Current use of one team in one availability zone."""

    team: model.TeamId
    running: int
    resources: model.Resources
    waiting: int
    slots: int = 0
    """Slots of upstreams, which are included in ``running``."""
    mean_slots: float | None = None
    """Mean of ``slots`` since the last message; ``None`` from older nodes."""


class ZoneState(Message, frozen=True):
    """Capacity and use of a zone, sent between zone leaders every second."""

    zone: model.ZoneId
    epoch: model.Epoch
    slots: int
    slots_free: int
    capacity: model.Resources
    teams: tuple[TeamUsage, ...]


class SliceRequest(Message, frozen=True):
    """Asks the leader of another zone to donate part of a limit slice."""

    team: model.TeamId
    dimension: str
    amount: int


class Prepare(Message, frozen=True):
    """Asks a node to confirm no revision lower than ``revision`` any more."""

    revision: model.Revision


class Promise(Message, frozen=True):
    """Answers :class:`Prepare`.

    ``granted`` is false if the node knows that ``revision`` or a higher
    one is committed.
    """

    revision: model.Revision
    granted: bool


class Announce(Message, frozen=True):
    """Announces that a revision was committed."""

    revision: model.Revision


class FetchConfiguration(Message, frozen=True):
    """Asks a peer for its configuration if it is newer than ``above``."""

    above: model.Revision


class ConfigurationReply(Message, frozen=True):
    """Sends a configuration after a change or a request to fetch it."""

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

    ``clock`` is the sender's Lamport clock, which gives the events of all
    processes a causal order.
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
    """Return the envelope in ``data``, or ``None`` if it can't be used.

    Oversized, malformed and unknown messages are not errors, since nodes of
    other versions can send them.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return None
    try:
        envelope = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    if envelope.schema != SCHEMA_VERSION:
        return None
    return envelope
