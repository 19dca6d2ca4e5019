"""Replicas of services: spread over racks and replaced on failure."""

import collections
from collections.abc import Iterable

from samphirestack import model

FIRST_DELAY_S = 0.5
LONGEST_DELAY_S = 60.0

STABLE_AFTER_S = 60.0
"""Run time after which an earlier failure no longer delays a restart."""


def replicas_by_rack(
    racks: Iterable[model.RackId],
) -> dict[model.RackId, int]:
    """Return how many replicas of a service each rack holds."""
    return dict(collections.Counter(racks))


def restart_delay_s(failures: int) -> float:
    """Return how long to wait before a replica is replaced.

    :param failures: consecutive failures of the replica, this one counted;
        0 after a loss that was not its fault, which costs no delay.
    """
    if failures == 0:
        return 0.0
    doublings = min(failures - 1, 16)
    return min(FIRST_DELAY_S * float(2**doublings), LONGEST_DELAY_S)


def next_failure_count(failures: int, ran_s: float) -> int:
    """Return the consecutive failures after one more.

    :param ran_s: how long the replica ran before it failed.
    """
    return 1 if ran_s >= STABLE_AFTER_S else failures + 1
