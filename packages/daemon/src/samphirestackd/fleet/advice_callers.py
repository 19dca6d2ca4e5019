"""Distribution of advice calls over the entries.

The advice service handles one call at a time for each calling VM, so the
holder of the term spreads its calls over all entries.  If there are several,
one of them gets no long calls: an urgent step would wait too long behind
one.
"""

from samphirestack.fleet import planner

CALLS_PER_TERM = 10**9
"""Numbers of calls reserved for each term: an entry's reply may be meant for
an earlier holder, and names its call by the number alone."""

MAX_URGENT_BACKLOG_S = 0.4
"""Longest backlog of an entry that gets an urgent call."""

MAX_SHORT_BACKLOG_S = 0.12
"""Longest backlog of an entry that gets a short call that is not urgent."""


class AdviceCaller:
    """An entry and its advice calls in progress.

    :param identity: identity of the entry's connection.
    """

    __slots__ = ('backlog_s', 'expected_s_by_call', 'identity')

    def __init__(self, identity: bytes) -> None:
        self.identity = identity
        self.expected_s_by_call: dict[int, float] = {}
        self.backlog_s = 0.0
        """Expected duration of all calls in progress."""

    def begin(self, number: int, expected_s: float) -> None:
        """Count a call that is about to be made."""
        self.expected_s_by_call[number] = expected_s
        self.backlog_s += expected_s

    def end(self, number: int) -> None:
        """Count the end of a call."""
        self.backlog_s -= self.expected_s_by_call.pop(number)
        if not self.expected_s_by_call:
            self.backlog_s = 0.0


class AdviceCallerPool:
    """Chooses entries for calls; implements ``planner.AdviceCallers``.

    :param term: number of the holder's term.
    """

    def __init__(self, term: int) -> None:
        self.callers_by_identity: dict[bytes, AdviceCaller] = {}
        self._callers_by_call: dict[int, AdviceCaller] = {}
        self._last_call_number = CALLS_PER_TERM * term
        self.reserved_calls: list[tuple[int, AdviceCaller]] = []
        """Numbers and callers of reserved calls, in order of reservation."""

    def add(self, identity: bytes) -> None:
        """Add an entry; do nothing if it is in the pool."""
        if identity not in self.callers_by_identity:
            self.callers_by_identity[identity] = AdviceCaller(identity)

    def remove(self, identity: bytes) -> None:
        """Remove an entry; do nothing if it is not in the pool."""
        self.callers_by_identity.pop(identity, None)

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        """Reserve the entry with the smallest backlog for a call.

        :returns: whether the backlog is small enough for the call.
        """
        callers = list(self.callers_by_identity.values())
        if not callers:
            return False
        caller = min(callers, key=lambda other: other.backlog_s)
        if not _can_accept(caller, callers, urgent, expected_s):
            return False
        self._last_call_number += 1
        caller.begin(self._last_call_number, expected_s)
        self._callers_by_call[self._last_call_number] = caller
        self.reserved_calls.append((self._last_call_number, caller))
        return True

    def release(self, number: int) -> None:
        """End the reservation of a call."""
        caller = self._callers_by_call.pop(number, None)
        if caller is not None:
            caller.end(number)


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
