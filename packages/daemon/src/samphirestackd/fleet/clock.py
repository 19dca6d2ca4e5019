"""Clocks of the fleet daemon."""

import time


def now() -> float:
    """Return seconds on a monotonic clock that includes suspension of the VM.

    Leases are measured on this clock, so that a holder of the term that was
    suspended detects that its lease has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_now() -> float:
    """Return the Unix time in seconds."""
    return time.time()
