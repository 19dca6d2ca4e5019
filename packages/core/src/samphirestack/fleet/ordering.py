"""Order in which waiting steps are considered.

This answers loads above the capacity of the fleet.  Urgent steps come first,
then steps by the latest moment at which they can start and still meet their
objective.  Steps that can't meet it any more, and jobs beyond a customer's
share, wait behind those that can: started first, they would only make
others late as well.
"""

import enum

from samphirestack.fleet import work

URGENT_PRIORITY = 0

LATE_FACTOR = 3.0
"""A job that ends within this many times its objective still has a value."""


class StepClass(enum.IntEnum):
    """Priority class of a waiting step; lower ones come first."""

    IN_TIME = 0
    LATE = 1
    OVER_SHARE = 2
    WORTHLESS = 3
    """Would end too late to be of any value."""


def classify(now: float, step: work.StepRun) -> StepClass:
    """Return the class of a step if it starts now."""
    job = step.job
    ends_at = now + job.remaining_s_by_step[step.number]
    due_at = job.due_at(step.occurrence)
    if ends_at > due_at + LATE_FACTOR * job.objective_s:
        return StepClass.WORTHLESS
    if job.over_share:
        return StepClass.OVER_SHARE
    if ends_at > due_at + job.objective_s:
        return StepClass.LATE
    return StepClass.IN_TIME


def latest_start(step: work.StepRun) -> float:
    """Return the latest start with which a step meets its objective."""
    job = step.job
    return (
        job.objective_at(step.occurrence)
        - job.remaining_s_by_step[step.number]
    )


def sort_key(now: float, step: work.StepRun) -> tuple[int, int, float]:
    """Return the sort key of a waiting step."""
    job = step.job
    urgent = job.queue.priority == URGENT_PRIORITY
    step_class = classify(now, step)
    if job.is_long_running or (
        job.spec.repetitions and step_class is not StepClass.WORTHLESS
    ):
        step_class = StepClass.IN_TIME
    return (step_class, 0 if urgent else 1, latest_start(step))
