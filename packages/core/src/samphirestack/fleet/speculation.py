"""Copies of slow tasks of speculative steps.

This answers fleets in which a few runs take several times as long as the
others, for example on slow workers.  A copy of such a run is started on
another worker; the first of the two that ends counts, and the other one is
stopped.  Copies cost work that is thrown away: they are only started where
the job would be late without them, in room that no waiting step needs, and
within a budget.
"""

from collections.abc import Iterable
from typing import Protocol

from samphirestack.fleet import ordering
from samphirestack.fleet import packing
from samphirestack.fleet import tracking
from samphirestack.fleet import work

MIN_GAIN = 1.5
"""A run must be expected to take this many times longer than a copy would
from now on."""

START_DELAY_S = 0.3
"""Assumed time until a copy works, beside the request for advice."""

MIN_PERCENT = 2.0
"""Progress in per cent from which the speed of a run is known."""

MIN_OBSERVED = 3
"""Ended runs of a step from which their mean run time replaces the declared
one."""

MAX_STEP_SHARE = 0.1
"""Maximum part of the tasks of a step that have copies; at least one may."""

MAX_FLEET_SHARE = 0.05
"""Maximum part of the processors of the fleet that copies occupy, or all of
one worker."""

MAX_ASKED = 8
"""Workers in a request for advice for a copy."""

CHECK_INTERVAL_S = 0.25
"""Minimum interval between requests for advice for the copies of a step."""


class RunTimes(Protocol):
    """Run times of the tasks of steps, as far as they are known."""

    def typical_s(self, step: work.StepRun) -> float:
        """Return the expected run time of a task of a step."""


class StepRunTimes:
    """Run times by the runs of the same step that have ended."""

    def typical_s(self, step: work.StepRun) -> float:
        """Return the mean run time; the declared one while few ended."""
        if step.observed_count >= MIN_OBSERVED:
            return step.observed_s / step.observed_count
        return max(step.spec.estimate_s, work.MIN_ESTIMATE_S)


def observe(now: float, run: tracking.Run) -> None:
    """Record the run time of a run that succeeded.

    Of a run that resumed, or that an earlier holder started, it isn't known.
    """
    if (
        run.task.step.spec.speculative
        and run.began_at is not None
        and not run.is_resumed
    ):
        run.task.step.observed_count += 1
        run.task.step.observed_s += now - run.began_at


def _progress_began_at(run: tracking.Run) -> float:
    """Return since when the progress of a run counts.

    A run that resumed, or that an earlier holder started, had made some when
    it was listed first.
    """
    if run.first_percent > 0:
        return run.first_listed_at
    return run.started_at


def remaining_s(now: float, run: tracking.Run, typical_s: float) -> float:
    """Return how long a run is expected to take from now on, in seconds.

    :param typical_s: expected run time of the tasks of its step.
    """
    elapsed_s = now - run.started_at
    progress = run.percent - max(0.0, run.first_percent)
    since_s = run.last_progress_at - _progress_began_at(run)
    if progress >= MIN_PERCENT and since_s > 0:
        end_at = run.last_progress_at + since_s * (
            (100.0 - run.percent) / progress
        )
        return max(0.0, end_at - now, now - run.last_progress_at)
    return max(typical_s - elapsed_s, elapsed_s)


def is_due(now: float, run: tracking.Run, run_times: RunTimes) -> bool:
    """Return whether a copy of a run would let its job end in time.

    It doesn't look at room and budget.
    """
    task = run.task
    step = task.step
    spec = step.spec
    job = step.job
    if (
        not spec.speculative
        or spec.gang
        or spec.filler
        or job.is_long_running
        or not run.is_primary
        or run.state is not tracking.RunState.CONFIRMED
        or run.stop is not None
        or run.on_probation
        or task.copy_run_number
        or len(task.failed_runs) >= job.queue.max_attempts - 1
    ):
        return False
    typical_s = run_times.typical_s(step)
    if now - run.started_at < typical_s / 2:
        return False
    rest_s = remaining_s(now, run, typical_s)
    left = 1 - run.percent / 100 if task.checkpoint else 1.0
    copy_s = (
        typical_s * left
        + START_DELAY_S
        + work.advice_s(job.queue.advice, MAX_ASKED)
    )
    after_s = max(0.0, job.remaining_s_by_step[step.number] - spec.estimate_s)
    ends_at = now + rest_s + after_s
    return rest_s >= MIN_GAIN * copy_s and ends_at > job.objective_at(
        step.occurrence
    )


def step_has_budget(step: work.StepRun) -> bool:
    """Return whether one more task of a step may have a copy."""
    copies = sum(1 for task in step.tasks.known() if task.copy_run_number)
    return copies < max(1, int(MAX_STEP_SHARE * step.spec.count))


class Budget:
    """Room for copies in one planning round, in processors.

    :param workers: all workers.
    :param candidates: workers that may start runs, with what is free now.
    :param waiting: steps with tasks that wait for a worker.
    """

    def __init__(
        self,
        now: float,
        workers: Iterable[tracking.TrackedWorker],
        candidates: Iterable[packing.Candidate],
        waiting: Iterable[work.StepRun],
    ) -> None:
        capacity = largest = copies = 0
        for worker in workers:
            millicores = worker.entry.capacity.millicores
            capacity += millicores
            largest = max(largest, millicores)
            for run in worker.runs_by_key.values():
                if run.is_copy:
                    copies += run.task.step.spec.size.millicores
        free = sum(max(0, candidate.free_cpu) for candidate in candidates)
        needed = sum(
            step.spec.size.millicores * len(step.waiting)
            for step in waiting
            if not step.spec.filler
            and ordering.classify(now, step) is ordering.StepClass.IN_TIME
        )
        bound = max(int(MAX_FLEET_SHARE * capacity), largest)
        self.millicores = min(bound - copies, free - needed)

    def take(self, millicores: int) -> bool:
        """Take room for a copy; return whether there was enough."""
        if millicores > self.millicores:
            return False
        self.millicores -= millicores
        return True
