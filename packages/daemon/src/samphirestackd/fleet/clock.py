"""Clocks of the fleet daemon."""

import time


def now() -> float:
    """Return seconds on a clock that also runs while the VM is suspended.

    Leases are measured on it, so that a holder that was suspended knows that
    its lease is over.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_now() -> float:
    """Return the time of day in seconds since 1970."""
    return time.time()
