"""Order in which waiting steps are considered.

This answers loads above the fleet's room.  Urgent steps come first, then
steps by the latest moment at which they can start and still meet their
objective.  Steps that can't meet it any more, and jobs beyond a customer's
share, wait behind those that can: started first, they would only make
others late as well.
"""

import enum

from samphirestack.fleet import work

URGENT_PRIORITY = 0

LATE_FACTOR = 3.0
"""A job that ends within this many objectives still has some value."""


class Standing(enum.IntEnum):
    """Class of a waiting step; lower ones come first."""

    IN_TIME = 0
    LATE = 1
    OVER_SHARE = 2
    WORTHLESS = 3
    """It ends after the last moment of any value."""


def standing(now: float, step: work.StepRun) -> Standing:
    """Return the class of a step that would start now."""
    job = step.job
    ends_at = now + job.tail_s[step.number]
    due_at = job.due_at(step.occurrence)
    if ends_at > due_at + LATE_FACTOR * job.objective_s:
        return Standing.WORTHLESS
    if job.over_share:
        return Standing.OVER_SHARE
    if ends_at > due_at + job.objective_s:
        return Standing.LATE
    return Standing.IN_TIME


def rank(now: float, step: work.StepRun) -> tuple[int, int, float]:
    """Return the sort key of a waiting step."""
    job = step.job
    latest_start = job.objective_at(step.occurrence) - job.tail_s[step.number]
    urgent = job.queue.priority == URGENT_PRIORITY
    if job.spec.repetitions or job.is_long_running:
        return (Standing.IN_TIME, 0 if urgent else 1, latest_start)
    place = standing(now, step)
    return (place, 0 if urgent else 1, latest_start)
