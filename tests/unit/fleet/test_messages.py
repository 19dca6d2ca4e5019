"""Messages between entries and the holder, also of the former version."""

import msgspec

from samphirestack.fleet import messages
from samphirestack.fleet import pacing
from samphirestack import model


class FormerPong(msgspec.Struct, tag='pong', frozen=True):
    """The holder's reply as the former version knows it."""

    term: int
    waiting_by_queue: dict[model.QueueId, int] | None
    best_strength: float
    renewal_age_s: float


class FormerJobStored(msgspec.Struct, tag='job_stored', frozen=True):
    """The notice of a stored job as the former version sends it."""

    row: bytes


class TestUpgrade:
    """Guards against entries of two versions that don't understand each other.

    Entries are replaced one by one during an upgrade.
    """

    def test_a_pong_of_the_former_version_is_understood(self) -> None:
        data = msgspec.msgpack.encode(FormerPong(3, None, 2.0, 0.1))
        pong = messages.decode(data)
        assert isinstance(pong, messages.Pong)
        assert pong.ping_interval_s == pacing.MIN_PING_INTERVAL_S

    def test_the_former_version_understands_a_pong(self) -> None:
        data = messages.encode(messages.Pong(3, {}, 2.0, 0.1, 0.9))
        former = msgspec.msgpack.decode(data, type=FormerPong)
        assert former.term == 3

    def test_a_job_of_the_former_version_is_read_from_the_store(self) -> None:
        data = msgspec.msgpack.encode(FormerJobStored(b'row'))
        message = messages.decode(data)
        assert isinstance(message, messages.JobStored)
        assert message.version == messages.UNKNOWN_VERSION
