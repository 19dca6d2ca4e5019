"""Intervals of the dispatcher."""

import msgspec


class Timings(msgspec.Struct, frozen=True):
    """Intervals in seconds; most are not settings, and tests shorten them."""

    resend_s: float = 1.0
    """Time without an answer after which a slot request is sent again.  It
    doubles with each resend up to ``resend_max_s``, since a leader answers
    only when it decides and a long wait is normal."""
    resend_max_s: float = 4.0
    """Maximum time between two sends of a slot request."""
    spill_after_s: float = 0.5
    """Time without a leader of the own zone, or wait of an urgent request,
    after which slots are requested from other zones."""
    cancel_batch_s: float = 0.005
    """Time during which cancellations are collected into one message."""
    release_retry_s: float = 0.25
    """Time between attempts to send a queued release."""
    silent_after_s: float = 1.0
    """Time without an answer to a call after which the upstream's status is
    queried."""
    retry_pause_s: float = 0.02
    """Pause before the first retry; it grows linearly with the attempts."""
