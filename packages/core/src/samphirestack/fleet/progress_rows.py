"""Rows of progress within the store's limit for rows.

Each row holds the progress of a fixed range of a job's tasks, so narrow that
it fits whatever happens to them: this answers jobs of thousands of tasks, and
scheduled ones with many open occurrences.  Progress is written out task by
task, or grouped by step, run and worker, as ranges of indexes.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model

MAX_PLAIN_BYTES = records.MAX_ROW_BYTES // 2
"""Size from which progress is grouped."""

MAX_PLACED_TASKS = 10_000
"""Tasks of a job that may be on workers at once."""

TASK_BYTES = 530
"""Largest size of a task in a row without its failed runs: its number, and
twice its name, a run and a worker, whose id is a key of the store."""

RUN_BYTES = 6
"""Largest size of a failed run."""

KEY_SEPARATOR = '/'

MAIN_ROW = 0
"""The row whose key is the job's id.  It exists if any row does, and says what
concerns the whole job."""


class RowKey(NamedTuple):
    """A row of a job's progress."""

    job_id: model.JobId
    number: int

    @property
    def text(self) -> str:
        """Return the key of the row in the store."""
        if self.number == MAIN_ROW:
            return self.job_id
        return f'{self.job_id}{KEY_SEPARATOR}{self.number}'


def parse_key(text: str) -> RowKey:
    """Return which row has a key.

    :raises ValueError: the key is not that of a row of progress.
    """
    job_id, separator, number = text.partition(KEY_SEPARATOR)
    return RowKey(model.JobId(job_id), int(number) if separator else MAIN_ROW)


class Rows:
    """Progress of a job, by rows.

    The tasks are numbered over steps and occurrences, and each row has as
    many of them as fit in the worst case.
    """

    def __init__(self, spec: specs.JobSpec, max_attempts: int) -> None:
        self.by_number: dict[int, records.JobProgress] = {}
        self.has_main_row = False
        """Whether the main row is stored or about to be."""
        self.stored_numbers: set[int] = set()
        """Rows that were stored and may have to be removed."""
        self._first_tasks: list[int] = []
        self._tasks_per_occurrence = 0
        for step in spec.steps:
            self._first_tasks.append(self._tasks_per_occurrence)
            self._tasks_per_occurrence += step.count
        self._tasks_per_row = max(
            1,
            records.MAX_ROW_BYTES // (TASK_BYTES + RUN_BYTES * max_attempts),
        )

    @property
    def main(self) -> records.JobProgress:
        """Return the row on the whole job."""
        return self.row(MAIN_ROW)

    def row(self, number: int) -> records.JobProgress:
        """Return a row, which is made if it doesn't exist."""
        found = self.by_number.get(number)
        if found is None:
            found = self.by_number[number] = records.JobProgress()
        return found

    def number_of(self, occurrence: int, step: int, index: int) -> int:
        """Return the row of a task."""
        task = (
            occurrence * self._tasks_per_occurrence
            + self._first_tasks[step]
            + index
        )
        return task // self._tasks_per_row

    def placed_count(self) -> int:
        """Return how many runs are, or may be, on workers."""
        return sum(
            len(row.placed_by_task) + len(row.copies_by_task)
            for row in self.by_number.values()
        )

    def named_occurrences(self) -> Iterator[int]:
        """Yield the occurrences of the tasks about which anything is said."""
        for row in self.by_number.values():
            for by_key in (
                row.done_by_step,
                row.placed_by_task,
                row.failed_runs_by_task,
                row.crashes_by_task,
            ):
                for key in by_key:
                    yield int(key.split('.')[0])

    def restore(
        self,
        main: records.JobProgress,
        others: Mapping[int, records.JobProgress],
    ) -> set[int]:
        """Apply stored rows.

        Earlier versions stored all tasks in the main row.  What it says about
        a task of another row counts only while that row doesn't exist.

        :return: rows that have to be stored anew.
        """
        self.has_main_row = True
        self.stored_numbers = {MAIN_ROW, *others}
        self.by_number = dict(others)
        self.by_number[MAIN_ROW] = records.JobProgress(
            completed_before=main.completed_before
        )
        moved: set[int] = set()
        for name in (
            'done_by_step',
            'failed_runs_by_task',
            'crashes_by_task',
            'placed_by_task',
            'copies_by_task',
        ):
            for key, value in getattr(main, name).items():
                if name == 'done_by_step':
                    self._restore_done(key, value, others, moved)
                    continue
                number = self._number_of_key(key)
                if number != MAIN_ROW:
                    moved.update((MAIN_ROW, number))
                    if number in others:
                        continue
                getattr(self.row(number), name)[key] = value
        return moved

    def _restore_done(
        self,
        key: str,
        indexes: list[int],
        others: Mapping[int, records.JobProgress],
        moved: set[int],
    ) -> None:
        for index in indexes:
            number = self._number_of_key(f'{key}.{index}')
            if number != MAIN_ROW:
                moved.update((MAIN_ROW, number))
                if number in others:
                    continue
            self.row(number).done_by_step.setdefault(key, []).append(index)

    def _number_of_key(self, key: str) -> int:
        occurrence, step, index = map(int, key.split('.'))
        if step >= len(self._first_tasks):
            return MAIN_ROW
        return self.number_of(occurrence, step, index)


def encode(progress: records.JobProgress) -> bytes:
    """Return the bytes of a row of progress.

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


def placeable(rows: Rows) -> int:
    """Return how many more tasks of a job may be placed."""
    return MAX_PLACED_TASKS - rows.placed_count()


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
