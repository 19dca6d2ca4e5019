"""Which occurrences of a scheduled job are kept in memory and in its row.

This answers jobs with so many occurrences, or so many that are overdue, that
all of them at once would occupy the memory of every holder in turn.
"""

from samphirestack.fleet import job_limits
from samphirestack.fleet import progress_rows
from samphirestack.fleet import records
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


def record_completed(job: work.Job, occurrence: int) -> set[int]:
    """Record that all tasks of an occurrence succeeded.

    Of the oldest complete ones only the number is kept.

    :return: the rows of progress that change by that.
    """
    changed: set[int] = set()
    progress = job.progress.main
    job.completed_occurrences.add(occurrence)
    kept = min(MAX_KEPT, MAX_KEPT_STEPS // len(job.spec.steps))
    while (
        len(job.completed_occurrences) > kept
        and progress.completed_before in job.completed_occurrences
    ):
        changed |= _forget(job, progress.completed_before)
        job.completed_occurrences.discard(progress.completed_before)
        progress.completed_before += 1
    if changed:
        changed.add(progress_rows.MAIN_ROW)
    return changed


def skip_completed(job: work.Job) -> list[work.StepRun]:
    """Drop the steps of the occurrences that the progress counts as complete.

    :return: the dropped steps.
    """
    first = job.progress.main.completed_before
    dropped = [
        job.steps_by_key.pop(key)
        for key in list(job.steps_by_key)
        if key[0] < first
    ]
    job.next_occurrence = max(job.next_occurrence, first)
    return dropped


def last_begun(job: work.Job) -> int:
    """Return the last occurrence that the progress names; -1 for none."""
    last = max(job.progress.named_occurrences(), default=-1)
    return min(last, job.occurrence_count - 1)


def _forget(job: work.Job, occurrence: int) -> set[int]:
    """Remove what is said of an occurrence; return the rows that said it."""
    rows = job.progress
    changed = set()
    for number, spec in enumerate(job.spec.steps):
        key = f'{occurrence}.{number}'
        job.steps_by_key.pop((occurrence, number), None)
        first = rows.number_of(occurrence, number, 0)
        last = rows.number_of(occurrence, number, spec.count - 1)
        for row_number in range(first, last + 1):
            row = rows.row(row_number)
            row.done_by_step.pop(key, None)
            changed.add(row_number)
        for index in range(spec.count):
            row = rows.row(rows.number_of(occurrence, number, index))
            row.failed_runs_by_task.pop(f'{key}.{index}', None)
            row.crashes_by_task.pop(f'{key}.{index}', None)
    for row_number in changed:
        if row_number != progress_rows.MAIN_ROW and _is_empty(
            rows.by_number[row_number]
        ):
            del rows.by_number[row_number]
    return changed


def _is_empty(row: records.JobProgress) -> bool:
    return not (
        row.done_by_step
        or row.failed_runs_by_task
        or row.crashes_by_task
        or row.placed_by_task
        or row.copies_by_task
    )
