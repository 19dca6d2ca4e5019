"""Which occurrences of a scheduled job are kept in memory and in its row.

This answers jobs with so many occurrences, or so many that are overdue, that
all of them at once would occupy the memory of every holder in turn.
"""

from samphirestack.fleet import job_limits
from samphirestack.fleet import work

MAX_OPEN = 1000
"""Occurrences of a job that are open at once.  The next one begins when one
of them completes."""

MAX_OPEN_STEPS = 2000
"""Steps of all open occurrences of a job, each of which has its own entries
in the row of progress."""

MAX_KEPT = 100
MAX_KEPT_STEPS = 1000
"""Complete occurrences of a job, and steps of them, that are remembered one
by one.  A worker may still list a run of them."""


def may_begin(now: float, job: work.Job) -> bool:
    """Return whether the next occurrence is due and may begin."""
    number = job.next_occurrence
    if number >= job.occurrence_count or job.due_at(number) > now:
        return False
    open_count = number - job.occurrences_done
    tasks = sum(step.count for step in job.spec.steps)
    return open_count == 0 or (
        open_count < MAX_OPEN
        and (open_count + 1) * tasks <= job_limits.MAX_TASKS
        and (open_count + 1) * len(job.spec.steps) <= MAX_OPEN_STEPS
    )


def record_completed(job: work.Job, occurrence: int) -> None:
    """Record that all tasks of an occurrence succeeded.

    Of the oldest complete ones only the number is kept.
    """
    progress = job.progress
    job.completed_occurrences.add(occurrence)
    kept = min(MAX_KEPT, MAX_KEPT_STEPS // len(job.spec.steps))
    while (
        len(job.completed_occurrences) > kept
        and progress.completed_before in job.completed_occurrences
    ):
        _forget(job, progress.completed_before)
        job.completed_occurrences.discard(progress.completed_before)
        progress.completed_before += 1


def skip_completed(job: work.Job) -> list[work.StepRun]:
    """Drop the steps of the occurrences that the progress counts as complete.

    :return: the dropped steps.
    """
    first = job.progress.completed_before
    dropped = [
        job.steps_by_key.pop(key)
        for key in list(job.steps_by_key)
        if key[0] < first
    ]
    job.next_occurrence = max(job.next_occurrence, first)
    return dropped


def last_begun(job: work.Job) -> int:
    """Return the last occurrence that the progress names; -1 for none."""
    progress = job.progress
    named = [
        *progress.done_by_step,
        *progress.placed_by_task,
        *progress.failed_runs_by_task,
        *progress.crashes_by_task,
    ]
    last = max((int(key.split('.')[0]) for key in named), default=-1)
    return min(last, job.occurrence_count - 1)


def _forget(job: work.Job, occurrence: int) -> None:
    progress = job.progress
    for number, spec in enumerate(job.spec.steps):
        key = f'{occurrence}.{number}'
        job.steps_by_key.pop((occurrence, number), None)
        progress.done_by_step.pop(key, None)
        for index in range(spec.count):
            progress.failed_runs_by_task.pop(f'{key}.{index}', None)
            progress.crashes_by_task.pop(f'{key}.{index}', None)
