"""Share at which filling tasks may work beside tasks that serve users.

Tasks that serve have a target for the tail of their response times.  Filling
tasks on the same worker are slowed down as soon as a tail comes near its
target, and are given back their share step by step.  This answers loads in
which batch work uses what long-running services leave idle.
"""

from samphirestack.fleet import tracking

SLOW_ABOVE = 0.85
"""Share of the target from which filling tasks are slowed down; the figures
lag by half a second."""

SPEED_BELOW = 0.6
DOWN_FACTOR = 0.5
UP_PERCENT = 10
MIN_PERCENT = 0
FULL_PERCENT = 100

CHANGE_EVERY_S = 0.6
"""A change shows in the reported tails after about this time."""


def target_percent(
    now: float, worker: tracking.TrackedWorker, serving: list[tracking.Run]
) -> int:
    """Return the share for all filling tasks of a worker.

    :param serving: runs with a latency target on the worker.
    """
    if not serving:
        return FULL_PERCENT
    if now - worker.throttle_changed_at < CHANGE_EVERY_S:
        return worker.filler_percent
    pressure = max(
        run.load / 1000 / run.task.step.spec.latency_target_s
        for run in serving
    )
    percent = worker.filler_percent
    if pressure > 1.0:
        return MIN_PERCENT
    if pressure > SLOW_ABOVE:
        return max(MIN_PERCENT, int(percent * DOWN_FACTOR))
    if pressure < SPEED_BELOW:
        return min(FULL_PERCENT, percent + UP_PERCENT)
    return percent
