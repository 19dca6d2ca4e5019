"""What is lost with a worker, as far as is known."""

import msgspec

from samphirestack.fleet import specs
from samphirestack.fleet import work
from samphirestack import model


class LostRun(msgspec.Struct, frozen=True):
    """A run that was lost with its worker."""

    task: work.Task
    number: int
    may_have_just_started: bool
    had_begun: bool
    """Whether its worker had answered its order or listed it."""

    @property
    def key(self) -> tuple[model.TaskId, int]:
        """Return the key of the run on its worker."""
        return self.task.id, self.number


class LostWorker(msgspec.Struct, frozen=True):
    """A worker that was lost with its runs."""

    entry: specs.WorkerEntry
    lost_at: float
    """When it stopped answering."""
    runs: tuple[LostRun, ...]


class UnsettledCrash:
    """A crash of a worker's process that may have taken further runs along.

    Their orders may have been carried out by that process or by the next one,
    which lists those that it has.
    """

    def __init__(self, entry: specs.WorkerEntry, lost_at: float) -> None:
        self.entry = entry
        self.lost_at = lost_at
        self._lost: list[LostRun] = []
        self._open_by_key: dict[tuple[model.TaskId, int], LostRun] = {}

    @property
    def is_settled(self) -> bool:
        """Return whether it is known which runs were lost."""
        return not self._open_by_key

    def add_lost(self, run: LostRun) -> None:
        """Add a run that the process took along."""
        self._lost.append(run)

    def add_open(self, run: LostRun) -> None:
        """Add a run that either process may have."""
        self._open_by_key[run.key] = run

    def open_keys(self) -> list[tuple[model.TaskId, int]]:
        """Return the keys of the runs that may have been lost."""
        return list(self._open_by_key)

    def mark_lost(self, key: tuple[model.TaskId, int]) -> None:
        """Record that the next process does not have a run."""
        lost = self._open_by_key.pop(key, None)
        if lost is not None:
            self._lost.append(lost)

    def clear(self, key: tuple[model.TaskId, int]) -> None:
        """Record that a run was not lost with the process."""
        self._open_by_key.pop(key, None)

    def lost_worker(self) -> LostWorker:
        """Return what is known to be lost."""
        return LostWorker(self.entry, self.lost_at, tuple(self._lost))
