"""Which runs stand still.

This answers workers on which tasks hang while the worker itself goes on
answering.  A run that stands still is stopped and started elsewhere, which
throws away its work and that of its gang, so a run that is merely long, or
that waits for the other members of its gang, must not count as one.

Progress is whole per cents.  What is judged is the time since the last change
that was reported, by a report that shows no further one.
"""

from collections.abc import Sequence

from samphirestack.fleet import tracking

MIN_STILL_S = 2.0
"""No run counts as standing still earlier.  Reports come up to twice a second,
and a start from a checkpoint takes part of a second."""

STILL_SHARE = 0.1
"""Share of a run's whole time, at its own rate so far, in which it must
progress by one per cent; it covers workers that become several times
slower."""

MAX_DOUBLINGS = 5
"""How often the patience with tasks that show no progress may double."""

END_PERCENT = 100.0


def is_still(
    now: float,
    run: tracking.Run,
    members: Sequence[tracking.Run],
    expected_s: float,
) -> bool:
    """Return whether a run stands still.

    :param members: tracked runs of its gang, itself included; empty if it is
        in none.
    :param expected_s: expected run time, for runs that have shown no progress.
    """
    if now - run.last_progress_at <= MIN_STILL_S:
        return False
    still_since = run.last_progress_at
    if members:
        if _lacks_members(run, members):
            # Its work begins once all members are there, and its worker ends
            # it if they don't come.
            return False
        still_since = max(
            still_since, max(member.started_at for member in members)
        )
        if run.percent >= END_PERCENT and _waits_at_end(run, members):
            return False
    return now - still_since > patience_s(run, members, expected_s)


def patience_s(
    run: tracking.Run, members: Sequence[tracking.Run], expected_s: float
) -> float:
    """Return for how long a run may show no progress."""
    progress = run.percent - run.first_percent
    if progress <= 0 or run.started_at == float('inf'):
        # A kind of task may show none at all, and take much longer than was
        # declared: it must not be stopped again and again.
        stalls = max(
            [run.task.stalls, *(member.task.stalls for member in members)]
        )
        return max(MIN_STILL_S, expected_s) * 2.0 ** min(MAX_DOUBLINGS, stalls)
    # The first and the last per cent may have been nearly over.
    whole_s = (
        (run.last_progress_at - _work_began_at(run, members))
        * 100.0
        / max(1.0, progress - 1.0)
    )
    return max(MIN_STILL_S, STILL_SHARE * whole_s)


def _lacks_members(run: tracking.Run, members: Sequence[tracking.Run]) -> bool:
    return len(members) < run.task.step.spec.count or any(
        member.state is not tracking.RunState.CONFIRMED
        or member.started_at == float('inf')
        for member in members
    )


def _waits_at_end(run: tracking.Run, members: Sequence[tracking.Run]) -> bool:
    """Return whether a member that is at its end waits for others.

    If all are at their end, only the last one that came there is judged.
    """
    return any(
        member.percent < END_PERCENT
        or member.last_progress_at > run.last_progress_at
        or (member is not run and member.stop is not None)
        for member in members
    )


def _work_began_at(
    run: tracking.Run, members: Sequence[tracking.Run]
) -> float:
    return max([run.started_at, *(member.started_at for member in members)])
