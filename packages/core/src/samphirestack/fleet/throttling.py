"""Speed limit of filler tasks that share a worker with serving tasks.

Serving tasks have a target for their tail latency.  Fillers on the same
worker are slowed down as soon as a tail latency comes near its target, and
are sped up again in small steps.  This answers loads in which batch work
uses the processors that long-running services leave idle.
"""

from samphirestack.fleet import tracking

SLOW_ABOVE = 0.85
"""Share of the target above which fillers are slowed down; reported
latencies lag by half a second."""

SPEED_BELOW = 0.6
"""Share of the target below which fillers are sped up."""

DOWN_FACTOR = 0.5
UP_PERCENT = 10
MIN_PERCENT = 0
FULL_PERCENT = 100

REPEAT_S = 1.0
"""Interval of repeated orders while an earlier one may take effect late."""

CHANGE_INTERVAL_S = 0.6
"""Minimum interval between changes; reported latencies show the effect of a
change after about this time."""


def target_percent(
    now: float, worker: tracking.TrackedWorker, serving: list[tracking.Run]
) -> int:
    """Return the speed limit in per cent for all fillers of a worker.

    :param serving: confirmed runs with a latency target on the worker.
    """
    if not serving:
        return FULL_PERCENT
    if now - worker.throttle_changed_at < CHANGE_INTERVAL_S:
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


def is_order_due(now: float, run: tracking.Run, percent: int) -> bool:
    """Return whether to order the speed limit of a filler.

    Orders may overtake each other, so each one waits for the answer to the
    one before.

    :param percent: speed limit that the filler should have.
    """
    if run.throttle_pending:
        return False
    if run.throttle_percent != percent:
        return True
    if run.throttle_ordered_at >= run.throttle_unsettled_until:
        return False
    return now >= min(
        run.throttle_ordered_at + REPEAT_S, run.throttle_unsettled_until
    )
