"""Index of workers by their free resources, for best-fit placement."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

from samphirestack import model

MEMORY_STEPS_PER_DOUBLING = 4
"""Memory classes per power of two.  Only in the lowest class that is
searched can workers have too little memory; finer classes make it smaller."""

SCAN_LIMIT = 32
"""Workers of a class that are examined before the next class is tried."""

BATCH_LIMIT = 8
"""Workers of a class that are compared for the tightest fit.  A class is
sorted by free processors, so that later workers fit less tightly."""

NO_RESOURCES = model.Resources()


class WorkerState:
    """Capacity and free resources of one worker.

    ``free`` is the capacity less what is committed; it can be negative.
    ``position`` is where the worker is in the index, ``None`` if unusable.
    """

    __slots__ = ('capacity', 'free', 'position', 'rack', 'usable', 'worker_id')

    def __init__(
        self,
        worker_id: model.WorkerId,
        rack: model.RackId,
        capacity: model.Resources,
    ) -> None:
        self.worker_id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.usable = False
        self.position: tuple[_ClassKey, _Entry] | None = None


_ClassKey = tuple[bool, int, int]
_Entry = tuple[int, int, model.WorkerId]


class WorkerIndex:
    """Workers indexed by free resources.

    Usable workers are grouped by whether they have accelerators, by free
    accelerators and by class of free memory; each group is sorted by free
    processors.  Commitments are counted for unusable workers too.
    """

    def __init__(self) -> None:
        self._states_by_id: dict[model.WorkerId, WorkerState] = {}
        self._groups: dict[tuple[bool, int], dict[int, list[_Entry]]] = {}
        self._class_order: dict[tuple[bool, int], list[int]] = {}
        """The memory classes of each group that have workers, sorted."""
        self._rack_members: dict[
            model.RackId, dict[model.WorkerId, WorkerState]
        ] = {}
        self._rack_free: dict[model.RackId, list[int]] = {}

    def __contains__(self, worker_id: model.WorkerId) -> bool:
        return worker_id in self._states_by_id

    def __len__(self) -> int:
        return len(self._states_by_id)

    def add_or_update(
        self,
        worker_id: model.WorkerId,
        rack: model.RackId,
        capacity: model.Resources,
    ) -> None:
        """Add a worker, or change its rack and capacity.

        A new worker is unusable until :meth:`set_usable`.
        """
        old = self._states_by_id.get(worker_id)
        if old is None:
            self._states_by_id[worker_id] = WorkerState(
                worker_id, rack, capacity
            )
            return
        if old.capacity == capacity and old.rack == rack:
            return
        usable = old.usable
        self.set_usable(worker_id, False)
        old.free = old.free + (capacity - old.capacity)
        old.capacity = capacity
        old.rack = rack
        self.set_usable(worker_id, usable)

    def remove(self, worker_id: model.WorkerId) -> None:
        """Remove a worker; an unknown one is ignored."""
        self.set_usable(worker_id, False)
        self._states_by_id.pop(worker_id, None)

    def set_usable(self, worker_id: model.WorkerId, usable: bool) -> None:
        """Set whether new tasks may be placed on a worker."""
        state = self._states_by_id.get(worker_id)
        if state is None or state.usable == usable:
            return
        state.usable = usable
        if usable:
            self._insert(state)
            members = self._rack_members.setdefault(state.rack, {})
            members[worker_id] = state
            self._add_rack_free(state.rack, state.free, 1)
        else:
            self._discard(state)
            del self._rack_members[state.rack][worker_id]
            self._add_rack_free(state.rack, state.free, -1)

    def commit(self, worker_id: model.WorkerId, need: model.Resources) -> None:
        """Subtract ``need`` from what is free, even beyond the capacity.

        Tasks that an agent reports as running are always counted.  Callers
        that place new tasks select a worker with room.
        """
        self._change_free(worker_id, need, -1)

    def release(
        self, worker_id: model.WorkerId, need: model.Resources
    ) -> None:
        """Add ``need`` to what is free."""
        self._change_free(worker_id, need, 1)

    def state(self, worker_id: model.WorkerId) -> WorkerState:
        """Return the state of a worker.

        :raises KeyError: the worker is not known.
        """
        return self._states_by_id[worker_id]

    def has_room(
        self, worker_id: model.WorkerId, need: model.Resources
    ) -> bool:
        """Return whether a worker is usable and has ``need`` free."""
        state = self._states_by_id.get(worker_id)
        return state is not None and state.usable and need.fits_in(state.free)

    def rack_free(self) -> Mapping[model.RackId, model.Resources]:
        """Return the sum of free resources of the usable workers by rack."""
        return {
            rack: model.Resources(*free)
            for rack, free in self._rack_free.items()
        }

    def in_rack(self, rack: model.RackId) -> Iterable[WorkerState]:
        """Return the usable workers of a rack."""
        return self._rack_members.get(rack, {}).values()

    def batches(self, need: model.Resources) -> Iterator[list[WorkerState]]:
        """Yield lists of workers with room, the tightest fits first.

        Each list is a bounded part of one memory class.  Lists are cheaper
        than iterators over single workers.  At the end of each group its
        lowest class is searched again without the bound, since the workers
        examined before may all have had too little memory.
        """
        for key in self._group_keys(need):
            classes = self._groups[key]
            lowest = _memory_class(need.memory_mb)
            order = self._class_order[key]
            for memory_class in order[bisect.bisect_left(order, lowest) :]:
                entries = classes[memory_class]
                if entries[-1][0] >= need.millicores:
                    yield self._batch(entries, need, BATCH_LIMIT)
            if len(classes.get(lowest, ())) > BATCH_LIMIT:
                whole = len(classes[lowest])
                yield self._batch(classes[lowest], need, whole)

    def groups(self, need: model.Resources) -> Iterator[Iterator[WorkerState]]:
        """Yield groups of workers with room, the preferred group first.

        Groups come in ascending order of free accelerators; for work that
        needs none, workers without accelerators come first.  Within a
        memory class, workers with the fewest free processors come first.
        """
        for key in self._group_keys(need):
            yield self._in_group(key, need)

    def _group_keys(self, need: model.Resources) -> list[tuple[bool, int]]:
        keys = [
            key
            for key, classes in self._groups.items()
            if classes and key[1] >= need.accelerators
        ]
        if need.accelerators:
            keys = [key for key in keys if key[0]]
        keys.sort()
        return keys

    def _batch(
        self, entries: list[_Entry], need: model.Resources, limit: int
    ) -> list[WorkerState]:
        start = bisect.bisect_left(entries, (need.millicores,))
        memory_mb = need.memory_mb
        states = self._states_by_id
        return [
            states[entry[2]]
            for entry in entries[start : start + limit]
            if entry[1] >= memory_mb
        ]

    def _in_group(
        self, key: tuple[bool, int], need: model.Resources
    ) -> Iterator[WorkerState]:
        classes = self._groups[key]
        lowest = _memory_class(need.memory_mb)
        for memory_class in sorted(c for c in classes if c >= lowest):
            yield from self._in_class(classes[memory_class], need, SCAN_LIMIT)
        if len(classes.get(lowest, ())) > SCAN_LIMIT:
            yield from self._in_class(
                classes[lowest], need, len(classes[lowest])
            )

    def _in_class(
        self, entries: list[_Entry], need: model.Resources, limit: int
    ) -> Iterator[WorkerState]:
        start = bisect.bisect_left(entries, (need.millicores,))
        for entry in entries[start : start + limit]:
            if entry[1] >= need.memory_mb:
                yield self._states_by_id[entry[2]]

    def _change_free(
        self, worker_id: model.WorkerId, need: model.Resources, sign: int
    ) -> None:
        state = self._states_by_id[worker_id]
        free = state.free + need if sign > 0 else state.free - need
        if not state.usable:
            state.free = free
            return
        self._discard(state)
        self._add_rack_free(state.rack, need, sign)
        state.free = free
        self._insert(state)

    def _add_rack_free(
        self, rack: model.RackId, change: model.Resources, sign: int
    ) -> None:
        free = self._rack_free.get(rack)
        if free is None:
            free = self._rack_free[rack] = [0, 0, 0]
        free[0] += sign * change.millicores
        free[1] += sign * change.memory_mb
        free[2] += sign * change.accelerators

    def _insert(self, state: WorkerState) -> None:
        free = state.free
        has_accelerators = state.capacity.accelerators > 0
        class_key = (
            has_accelerators,
            free.accelerators,
            _memory_class(free.memory_mb),
        )
        entry = (free.millicores, free.memory_mb, state.worker_id)
        classes = self._groups.setdefault(class_key[:2], {})
        if class_key[2] not in classes:
            classes[class_key[2]] = []
            order = self._class_order.setdefault(class_key[:2], [])
            bisect.insort(order, class_key[2])
        bisect.insort(classes[class_key[2]], entry)
        state.position = (class_key, entry)

    def _discard(self, state: WorkerState) -> None:
        if state.position is None:
            return
        class_key, entry = state.position
        classes = self._groups[class_key[:2]]
        entries = classes[class_key[2]]
        del entries[bisect.bisect_left(entries, entry)]
        if not entries:
            del classes[class_key[2]]
            self._class_order[class_key[:2]].remove(class_key[2])
        state.position = None


def _memory_class(memory_mb: int) -> int:
    if memory_mb <= 0:
        return 0
    exponent = memory_mb.bit_length() - 1
    rest = (memory_mb - (1 << exponent)) * MEMORY_STEPS_PER_DOUBLING
    return exponent * MEMORY_STEPS_PER_DOUBLING + (rest >> exponent)
