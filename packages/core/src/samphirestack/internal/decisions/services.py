"""Spreading of service replicas over racks, and restart backoff."""

import collections
from collections.abc import Iterable

from samphirestack import model

FIRST_DELAY_S = 0.5
LONGEST_DELAY_S = 60.0

STABLE_AFTER_S = 60.0
"""Run time after which earlier failures of a replica are disregarded."""


def replicas_by_rack(
    racks: Iterable[model.RackId],
) -> dict[model.RackId, int]:
    """Return the number of replicas of a service in each rack.

    :param racks: rack of each replica.
    """
    return dict(collections.Counter(racks))


def restart_delay_s(failures: int) -> float:
    """Return the backoff before a replica is replaced, in seconds.

    :param failures: consecutive failures of the replica, including this
        one; 0 if the replica was lost without failing, which causes no
        delay.
    """
    if failures == 0:
        return 0.0
    doublings = min(failures - 1, 16)
    return min(FIRST_DELAY_S * float(2**doublings), LONGEST_DELAY_S)


def next_failure_count(failures: int, ran_s: float) -> int:
    """Return the number of consecutive failures after another one.

    :param failures: consecutive failures before this one.
    :param ran_s: how long the replica ran before it failed.
    """
    return 1 if ran_s >= STABLE_AFTER_S else failures + 1
