"""Entries that call the advice service for the holder of the term.

The service handles one call at a time for each calling VM, so the calls are
spread over all entries.  One lane is left free of long calls while there are
several: an urgent step would wait behind them for longer than it may.
"""

from samphirestack.fleet import planner

MAX_URGENT_BACKLOG_S = 0.4
"""An urgent call joins a lane that is busy for at most this long."""

MAX_SHORT_BACKLOG_S = 0.12
"""Likewise for a short call of a patient step."""


class Lane:
    """One entry and the calls that it has been given."""

    __slots__ = ('expected_s_by_call', 'identity')

    def __init__(self, identity: bytes) -> None:
        self.identity = identity
        self.expected_s_by_call: dict[int, float] = {}

    @property
    def backlog_s(self) -> float:
        """Return how long the calls in progress take altogether."""
        return sum(self.expected_s_by_call.values())


class Lanes:
    """Chooses the entry for each call; implements ``planner.AskLanes``."""

    def __init__(self) -> None:
        self.lanes_by_identity: dict[bytes, Lane] = {}
        self._last_call = 0
        self.taken: list[tuple[int, Lane]] = []
        """Numbers and lanes of calls to be made, in the order taken."""

    def add(self, identity: bytes) -> None:
        """Use an entry from now on."""
        if identity not in self.lanes_by_identity:
            self.lanes_by_identity[identity] = Lane(identity)

    def remove(self, identity: bytes) -> None:
        """Use an entry no longer."""
        self.lanes_by_identity.pop(identity, None)

    def take(self, urgent: bool, expected_s: float) -> bool:
        """Reserve the least busy lane if it suits the call."""
        lanes = list(self.lanes_by_identity.values())
        if not lanes:
            return False
        lane = min(lanes, key=lambda one: one.backlog_s)
        if not _suits(lane, lanes, urgent, expected_s):
            return False
        self._last_call += 1
        lane.expected_s_by_call[self._last_call] = expected_s
        self.taken.append((self._last_call, lane))
        return True

    def finished(self, number: int) -> None:
        """Take note that a call is over."""
        for lane in self.lanes_by_identity.values():
            lane.expected_s_by_call.pop(number, None)


def _suits(
    lane: Lane, lanes: list[Lane], urgent: bool, expected_s: float
) -> bool:
    if urgent:
        return lane.backlog_s <= MAX_URGENT_BACKLOG_S
    if expected_s <= planner.LONG_CALL_S:
        return lane.backlog_s <= MAX_SHORT_BACKLOG_S
    without_long = sum(
        1 for one in lanes if one.backlog_s <= planner.LONG_CALL_S
    )
    return not lane.expected_s_by_call and (
        without_long > 1 or len(lanes) == 1
    )
