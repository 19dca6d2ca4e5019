"""Decisions to stop runs, and when their orders are due."""

STOP_RETRY_S = 1.0
"""Interval between stop orders while the worker does not answer."""

STOP_OVERDUE_S = 3.0
"""Time after which a run that was to be stopped should have ended.  Operators
are told that it goes on, and an accepted stop order is repeated.  Workers stop
a run within about a second."""


class StopDecision:
    """Decision to stop a run, which is in force until the run is over.

    It is kept apart from what is heard of the run, so that no report, answer
    or restart of the worker can revoke it.  The run holds its resources until
    its end.

    :param now: when it was decided.
    :param reason: for operators.
    """

    __slots__ = (
        'decided_at',
        'is_accepted',
        'is_reported',
        'orders',
        'reason',
        'sent_at',
    )

    def __init__(self, now: float, reason: str) -> None:
        self.decided_at = now
        self.reason = reason
        self.sent_at = float('-inf')
        """When the last stop order to this process of the worker was sent."""
        self.orders = 0
        """Number of stop orders sent."""
        self.is_accepted = False
        """Whether this process of the worker accepted a stop order."""
        self.is_reported = False
        """Whether operators were told that the stop is overdue."""

    @property
    def is_ordered(self) -> bool:
        """Return whether this process of the worker was sent an order."""
        return self.sent_at > float('-inf')

    def is_order_due(self, now: float) -> bool:
        """Return whether to send a stop order, for the first time or again."""
        interval_s = STOP_OVERDUE_S if self.is_accepted else STOP_RETRY_S
        return now - self.sent_at > interval_s

    def record_order(self, now: float) -> None:
        """Record that a stop order is sent."""
        self.sent_at = now
        self.orders += 1

    def forget_orders(self) -> None:
        """Send the order anew, to the next process of the worker."""
        self.sent_at = float('-inf')
        self.is_accepted = False

    def is_overdue(self, now: float) -> bool:
        """Return whether the run should have ended long ago."""
        return now - self.decided_at > STOP_OVERDUE_S
