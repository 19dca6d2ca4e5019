"""Waiting tasks and gangs in the order of urgency, share and arrival."""

from collections.abc import Iterator
import heapq
import itertools

import msgspec

from samphirestack.internal.leader import task_state
from samphirestack import model

URGENT_STARTS_PER_PATIENT = 9
"""Urgent starts after which one patient start is due.  Patient work gets a
tenth of all starts while urgent work waits."""


class GroupKey(msgspec.Struct, frozen=True):
    """Waiting work that is interchangeable for placement."""

    team: model.TeamId
    queue: model.QueueId
    kind: model.JobKind
    resources: model.Resources
    tasks: int
    """Number of tasks of a gang; 0 for other kinds."""


class Item(msgspec.Struct, frozen=True, order=True):
    """A waiting task, or a waiting gang if ``task`` is ``None``."""

    arrived_at: float
    number: int
    job: task_state.JobEntry
    task: task_state.Task | None

    @property
    def is_waiting(self) -> bool:
        """Whether it still waits; cancelled items are removed lazily."""
        if self.task is None:
            return self.job.gang_queued
        return self.task.phase is task_state.Phase.QUEUED


class Group:
    """Waiting items with the same key, in order of arrival."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.blocked_by = ''
        """Why the head could not be placed the last time."""
        self._heap: list[Item] = []

    def push(self, item: Item) -> None:
        """Add an item."""
        heapq.heappush(self._heap, item)

    def head(self) -> Item | None:
        """Return the oldest waiting item."""
        while self._heap and not self._heap[0].is_waiting:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None

    def pop(self) -> None:
        """Remove the item that :meth:`head` returned."""
        heapq.heappop(self._heap)

    def oldest(self, count: int) -> list[Item]:
        """Return up to ``count`` of the oldest waiting items."""
        candidates = heapq.nsmallest(count * 2, self._heap)
        return [item for item in candidates if item.is_waiting][:count]


def is_urgent(now: float, entry: task_state.JobEntry) -> bool:
    """Return whether a job counts as urgent now."""
    profile = entry.profile
    if profile.urgency is model.Urgency.URGENT:
        return True
    return now >= entry.arrived_at + profile.max_wait_s


def deadline(entry: task_state.JobEntry) -> float:
    """Return the time by which a job should start."""
    profile = entry.profile
    if profile.urgency is model.Urgency.URGENT:
        return entry.arrived_at + profile.deadline_s
    return entry.arrived_at + profile.max_wait_s


class WaitingWork:
    """All waiting items, grouped by :class:`GroupKey`."""

    def __init__(self) -> None:
        self._groups_by_key: dict[GroupKey, Group] = {}
        self._delayed: list[tuple[float, int, task_state.Task]] = []
        self._numbers = itertools.count()

    def add_task(self, task: task_state.Task) -> None:
        """Queue a task of a batch job or a service."""
        entry = task.job
        assert entry is not None
        task.phase = task_state.Phase.QUEUED
        self._group(entry).push(
            Item(entry.arrived_at, next(self._numbers), entry, task)
        )

    def add_gang(self, entry: task_state.JobEntry) -> None:
        """Queue a gang with all its waiting tasks, unless it is queued."""
        if entry.gang_queued:
            return
        entry.gang_queued = True
        self._group(entry).push(
            Item(entry.arrived_at, next(self._numbers), entry, None)
        )

    def add_delayed(self, task: task_state.Task, not_before: float) -> None:
        """Delay a task until ``not_before``; see :meth:`pop_due`."""
        task.phase = task_state.Phase.DELAYED
        task.not_before = not_before
        heapq.heappush(self._delayed, (not_before, next(self._numbers), task))

    def pop_due(self, now: float) -> Iterator[task_state.Task]:
        """Remove and yield the tasks whose delay has passed."""
        while self._delayed and self._delayed[0][0] <= now:
            task = heapq.heappop(self._delayed)[2]
            if task.phase is task_state.Phase.DELAYED:
                yield task

    def groups(self) -> list[Group]:
        """Return the groups with waiting items and remove the others."""
        for key, group in list(self._groups_by_key.items()):
            if group.head() is None:
                del self._groups_by_key[key]
        return list(self._groups_by_key.values())

    def group_of(self, entry: task_state.JobEntry) -> Group | None:
        """Return the group of a job, if it has had waiting items."""
        return self._groups_by_key.get(_key(entry))

    def _group(self, entry: task_state.JobEntry) -> Group:
        key = _key(entry)
        return self._groups_by_key.setdefault(key, Group(key))


def _key(entry: task_state.JobEntry) -> GroupKey:
    job = entry.job
    return GroupKey(
        job.team,
        job.queue,
        job.kind,
        job.resources,
        job.tasks if entry.is_gang else 0,
    )
