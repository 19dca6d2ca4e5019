"""How often the holder of the term does what grows with the fleet.

This answers fleets of which a holder can't call each worker twice a second,
hear each entry three times a second and check all runs twenty times a second.
Small fleets keep the shortest intervals.
"""

import msgspec

MIN_READS_AT_ONCE = 2
MAX_READS_AT_ONCE = 64
READS_AT_ONCE_PER_CORE = 32
"""Reads of parts at once for each unit of strength, which 40 Mbit/s make."""

PAGE_MEMORY_BYTES = 4_000_000
"""Memory for a page of a table of 1 MB, with its encoded form."""

READS_MEMORY_SHARE = 0.2
"""Share of a VM's memory for pages that are read at once."""

MIN_PING_INTERVAL_S = 0.3
MAX_PING_INTERVAL_S = 1.0
"""Range of the interval of an entry's pings.  The longest is below the age of
the counts of waiting jobs that an entry may show."""

MAX_PINGS_PER_S = 330.0
"""Rate of the pings of all entries above which each pings less often."""

MIN_HOLD_WAIT_S = 0.5
MAX_HOLD_WAIT_S = 2.0
"""Range of the time for which a worker delays its answer to a hold call; it
answers at once when a run ends.  Leases are therefore renewed at least this
often, so that they do not expire while another entry takes over the term."""

MAX_IDLE_PAUSE_S = 3.0
"""Longest pause between hold calls to a worker without runs, in which its
end is not detected."""

IDLE_HOLDS_PER_S = 600.0
"""Rate of hold calls to all workers above which they wait longer, for a holder
with one core or more."""

MIN_PACE_STRENGTH = 0.5
"""Strength below which a holder does not call its workers even less often."""

CHECK_INTERVAL_S = 0.045
"""Interval between checks of all runs.  Nothing they detect needs a faster
reaction, and with every plan they took a third of its time at 176 workers."""

WORKERS_PER_CHECK_INTERVAL = 300
"""Number of workers above which the interval grows with them, so that the
checks don't occupy a small holder."""


class HoldPace(msgspec.Struct, frozen=True):
    """Pace of the hold calls to each worker."""

    wait_s: float
    """Time for which a worker may delay its answer."""
    idle_pause_s: float
    """Pause between two calls to a worker without runs."""


def hold_pace(worker_count: int, strength: float) -> HoldPace:
    """Return the pace at which a holder calls its workers.

    Runs keep their leases and report their ends at once; workers without runs
    are called less often.

    :param strength: of the holder; see ``term.strength``.
    """
    rate = IDLE_HOLDS_PER_S * min(1.0, max(MIN_PACE_STRENGTH, strength))
    interval_s = worker_count / rate
    wait_s = min(MAX_HOLD_WAIT_S, max(MIN_HOLD_WAIT_S, interval_s))
    return HoldPace(
        wait_s, min(MAX_IDLE_PAUSE_S, max(0.0, interval_s - wait_s))
    )


def ping_interval_s(entry_count: int) -> float:
    """Return the interval of each entry's pings."""
    return bound_ping_interval_s(entry_count / MAX_PINGS_PER_S)


def bound_ping_interval_s(interval_s: float) -> float:
    """Return the nearest allowed interval of pings."""
    return max(MIN_PING_INTERVAL_S, min(MAX_PING_INTERVAL_S, interval_s))


def check_interval_s(worker_count: int) -> float:
    """Return the interval between checks of all runs."""
    return CHECK_INTERVAL_S * max(
        1.0, worker_count / WORKERS_PER_CHECK_INTERVAL
    )


def reads_at_once(strength: float, memory_bytes: float = float('inf')) -> int:
    """Return how many parts of a table a new holder reads at once.

    This answers a narrow link, on which large answers delay each other and
    the renewals of the term.

    :param strength: of the entry; see ``term.strength``.
    :param memory_bytes: of its VM.
    """
    most = min(
        MAX_READS_AT_ONCE,
        READS_AT_ONCE_PER_CORE * strength,
        READS_MEMORY_SHARE * memory_bytes / PAGE_MEMORY_BYTES,
    )
    return max(MIN_READS_AT_ONCE, int(most))
