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


class AdviceCaller:
    """One entry and the calls that it has been given."""

    __slots__ = ('expected_s_by_call', 'identity')

    def __init__(self, identity: bytes) -> None:
        self.identity = identity
        self.expected_s_by_call: dict[int, float] = {}

    @property
    def backlog_s(self) -> float:
        """Return how long the calls in progress take altogether."""
        return sum(self.expected_s_by_call.values())


class AdviceCallerPool:
    """Choose the entry for each call, as ``planner.AdviceCallers``."""

    def __init__(self) -> None:
        self.callers_by_identity: dict[bytes, AdviceCaller] = {}
        self._last_call_number = 0
        self.reserved_calls: list[tuple[int, AdviceCaller]] = []
        """Numbers and lanes of calls to be made, in the order taken."""

    def add(self, identity: bytes) -> None:
        """Use an entry from now on."""
        if identity not in self.callers_by_identity:
            self.callers_by_identity[identity] = AdviceCaller(identity)

    def remove(self, identity: bytes) -> None:
        """Use an entry no longer."""
        self.callers_by_identity.pop(identity, None)

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        """Reserve the least busy lane if it suits the call."""
        callers = list(self.callers_by_identity.values())
        if not callers:
            return False
        caller = min(callers, key=lambda other: other.backlog_s)
        if not _can_accept(caller, callers, urgent, expected_s):
            return False
        self._last_call_number += 1
        caller.expected_s_by_call[self._last_call_number] = expected_s
        self.reserved_calls.append((self._last_call_number, caller))
        return True

    def release(self, number: int) -> None:
        """Take note that a call is over."""
        for caller in self.callers_by_identity.values():
            caller.expected_s_by_call.pop(number, None)


def _can_accept(
    caller: AdviceCaller,
    callers: list[AdviceCaller],
    urgent: bool,
    expected_s: float,
) -> bool:
    if urgent:
        return caller.backlog_s <= MAX_URGENT_BACKLOG_S
    if expected_s <= planner.LONG_CALL_S:
        return caller.backlog_s <= MAX_SHORT_BACKLOG_S
    without_long = sum(
        1 for other in callers if other.backlog_s <= planner.LONG_CALL_S
    )
    return not caller.expected_s_by_call and (
        without_long > 1 or len(callers) == 1
    )
