"""Intervals of the dispatcher."""

import msgspec


class Timings(msgspec.Struct, frozen=True):
    """Intervals in seconds that are not settings; tests shorten them."""

    resend_s: float = 1.0
    """Time without any answer after which a slot is asked for again.  The
    leader answers only when it decides, so an unanswered question is
    normal; it doubles from attempt to attempt up to ``resend_max_s``."""
    resend_max_s: float = 4.0
    """Longest time between two questions for the same slot."""
    spill_after_s: float = 0.5
    """How long the own zone may be without a leader, or an urgent request
    may wait, before other zones are asked."""
    cancel_batch_s: float = 0.005
    """Time over which cancellations are collected into one message."""
    release_retry_s: float = 0.25
    """Time between attempts to hand a release to a leader that lives."""
    silent_after_s: float = 1.0
    """Silence of a call after which the upstream's status is asked."""
    retry_pause_s: float = 0.02
    """Pause before the first repetition; it grows with each attempt."""
