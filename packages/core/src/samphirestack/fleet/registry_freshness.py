"""Whether the known entries of workers are recent enough to start work.

The capacity of a worker may shrink while it runs, and only its entry shows
it.  The feed of entries may fail while all other calls succeed.
"""

MAX_AGE_S = 2.5
"""Longest time since the moment that the entries reflect."""

HEARTBEAT_S = 1.5
"""Interval at which workers renew their entries."""


class RegistryFreshness:
    """Tells how old the known entries are.

    Before the first read they count as current.
    """

    def __init__(self) -> None:
        self._current_at = float('inf')
        """Latest moment that the entries reflect."""
        self._read_failed = False
        self._settled_at = float('-inf')
        """When all workers have renewed their entries after an outage."""

    def record_read(self, now: float, current_at: float) -> None:
        """Record a successful read.

        After an outage, the workers get time to write what they could not.

        :param current_at: moment that the entries reflect at least.
        """
        if self._read_failed and current_at - self._current_at > MAX_AGE_S:
            self._settled_at = now + HEARTBEAT_S
        self._read_failed = False
        self._current_at = current_at

    def record_failure(self) -> None:
        """Record a read without an answer."""
        self._read_failed = True

    def permits_starts(self, now: float) -> bool:
        """Return whether work may start by the known capacities."""
        return now - self._current_at <= MAX_AGE_S and now >= self._settled_at
