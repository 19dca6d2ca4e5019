"""Rows of progress within the store's limit for rows.

Progress is written out task by task, which older entries also read.  This
answers jobs of thousands of tasks, whose progress would exceed the limit that
way: they are grouped by step, run and worker, as ranges of indexes.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from samphirestack.fleet import records

MAX_PLAIN_BYTES = records.MAX_ROW_BYTES // 2
"""Size from which progress is grouped."""

MAX_PLACED_TASKS = 10_000
"""Tasks of a job that may be on workers at once."""

FEW_PLACED_TASKS = 3000
"""As many fit into a row whatever their steps and workers are."""

TASK_BYTES = 4
GROUP_BYTES = 12
"""Size of a placed task, and of each group of a step and a worker in a row."""

MAX_PLACED_BYTES = MAX_PLAIN_BYTES * 3 // 2


def encode(progress: records.JobProgress) -> bytes:
    """Return the row of a job's progress.

    Crashes of workers are left out of a row that would exceed the limit: it
    is better to find a task that crashes them anew than to store nothing.
    """
    row = records.encode(progress)
    if len(row) <= MAX_PLAIN_BYTES:
        return row
    grouped = _group(progress)
    row = records.encode(grouped)
    if len(row) > records.MAX_ROW_BYTES:
        grouped = msgspec.structs.replace(grouped, crashes_by_task={})
        row = records.encode(grouped)
    return row


def placeable(progress: records.JobProgress) -> int:
    """Return how many more tasks of a job may be placed."""
    count = len(progress.placed_by_task) + len(progress.copies_by_task)
    if count <= FEW_PLACED_TASKS:
        return MAX_PLACED_TASKS - count
    groups = {
        (key.rpartition('.')[0], worker_id)
        for runs_by_task in (progress.placed_by_task, progress.copies_by_task)
        for key, (_, worker_id) in runs_by_task.items()
    }
    free = MAX_PLACED_BYTES - TASK_BYTES * count - GROUP_BYTES * len(groups)
    return min(MAX_PLACED_TASKS - count, free // (TASK_BYTES + GROUP_BYTES))


def decode(data: bytes) -> records.JobProgress:
    """Read the row of a job's progress.

    :raises msgspec.DecodeError: the bytes are no such row.
    """
    progress = records.decode_progress(data)
    if progress.grouped is None:
        return progress
    return _ungroup(progress, progress.grouped)


def _group(progress: records.JobProgress) -> records.JobProgress:
    done = {
        step: list(_gaps(indexes))
        for step, indexes in progress.done_by_step.items()
    }
    failed: dict[str, dict[int, list[int]]] = {}
    for key, runs in progress.failed_runs_by_task.items():
        step, index = _split(key)
        for run in runs:
            failed.setdefault(step, {}).setdefault(run, []).append(index)
    return msgspec.structs.replace(
        progress,
        done_by_step={},
        failed_runs_by_task={},
        placed_by_task={},
        copies_by_task={},
        grouped=records.GroupedProgress(
            done,
            _with_gaps(failed),
            _group_by_worker(progress.placed_by_task),
            _group_by_worker(progress.copies_by_task),
        ),
    )


def _group_by_worker(
    runs_by_task: dict[str, tuple[int, str]],
) -> dict[str, dict[str, dict[int, list[int]]]]:
    """Return gaps by worker, step and run."""
    result: dict[str, dict[str, dict[int, list[int]]]] = {}
    for key, (run, worker_id) in runs_by_task.items():
        step, index = _split(key)
        runs_by_step = result.setdefault(worker_id, {})
        runs_by_step.setdefault(step, {}).setdefault(run, []).append(index)
    return {
        worker_id: _with_gaps(runs_by_step)
        for worker_id, runs_by_step in result.items()
    }


def _runs_by_task(
    grouped: dict[str, dict[str, dict[int, list[int]]]],
) -> dict[str, tuple[int, str]]:
    """Return run and worker by task from gaps by worker, step and run."""
    return {
        f'{step}.{index}': (run, worker_id)
        for worker_id, runs_by_step in grouped.items()
        for step, run, index in _tasks(runs_by_step)
    }


def _ungroup(
    progress: records.JobProgress, grouped: records.GroupedProgress
) -> records.JobProgress:
    failed: dict[str, list[int]] = {}
    for step, run, index in _tasks(grouped.failed_by_step):
        failed.setdefault(f'{step}.{index}', []).append(run)
    done = {
        step: list(_indexes(gaps))
        for step, gaps in grouped.done_by_step.items()
    }
    return msgspec.structs.replace(
        progress,
        done_by_step=done,
        failed_runs_by_task=failed,
        placed_by_task=_runs_by_task(grouped.placed_by_worker_id),
        copies_by_task=_runs_by_task(grouped.copies_by_worker_id),
        grouped=None,
    )


def _tasks(
    runs_by_step: dict[str, dict[int, list[int]]],
) -> Iterator[tuple[str, int, int]]:
    """Yield step, run and index of each task."""
    for step, gaps_by_run in runs_by_step.items():
        for run, gaps in gaps_by_run.items():
            for index in _indexes(gaps):
                yield step, run, index


def _with_gaps(
    runs_by_step: dict[str, dict[int, list[int]]],
) -> dict[str, dict[int, list[int]]]:
    return {
        step: {
            run: list(_gaps(indexes))
            for run, indexes in indexes_by_run.items()
        }
        for step, indexes_by_run in runs_by_step.items()
    }


def _split(key: str) -> tuple[str, int]:
    """Return ``OCCURRENCE.STEP`` and the index of a task's key."""
    step, _, index = key.rpartition('.')
    return step, int(index)


def _gaps(indexes: Iterable[int]) -> Iterator[int]:
    """Yield by turns how many indexes are missing and how many follow."""
    end = start = 0
    for index in sorted(indexes):
        if index == end and end > start:
            end += 1
            continue
        if end > start:
            yield end - start
        yield index - end
        start, end = index, index + 1
    if end > start:
        yield end - start


def _indexes(gaps: list[int]) -> Iterator[int]:
    """Yield the indexes of which ``_gaps`` made the gaps.

    :raises msgspec.ValidationError: there are more than a step can have.
    """
    position = 0
    if sum(gaps) > records.MAX_ROW_BYTES:
        raise msgspec.ValidationError('an index is out of range')
    for missing, following in zip(gaps[::2], gaps[1::2], strict=False):
        position += missing
        yield from range(position, position + following)
        position += following
