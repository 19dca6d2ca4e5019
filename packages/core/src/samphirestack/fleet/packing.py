"""Choice of workers for tasks.

Best fit: a task goes where the least room is left over, so that wide tasks
and gangs still find whole workers.  This answers loads in which a few heavy
gangs, which only some workers may run, share the fleet with many small
tasks.
"""

from collections.abc import Iterable

from samphirestack.fleet import beliefs
from samphirestack.fleet import specs


class Room:
    """Free room of a worker while a plan is made."""

    __slots__ = (
        'belief',
        'cpu',
        'ends',
        'filler_cpu',
        'gpu',
        'held_until',
        'memory',
    )

    def __init__(self, belief: beliefs.Belief) -> None:
        self.belief = belief
        self.cpu = belief.free_cpu
        self.memory = belief.free_memory
        self.gpu = belief.free_gpu
        self.filler_cpu = belief.free_cpu - belief.filler_cpu
        """Left for filling tasks; other tasks take it from them."""
        self.ends: list[tuple[float, specs.StepSpec]] | None = None
        """Expected ends of its runs, in order, once they were needed."""
        self.held_until = 0.0
        """Kept for a waiting gang: only tasks that end before may start."""

    def fits(self, spec: specs.StepSpec) -> bool:
        """Return whether one task of a step has room."""
        size = spec.size
        cpu = self.filler_cpu if spec.filler else self.cpu
        return (
            size.millicores <= cpu
            and size.memory_mb <= self.memory
            and size.accelerators <= self.gpu
        )

    def count(self, spec: specs.StepSpec, most: int) -> int:
        """Return how many tasks of a step have room, up to ``most``."""
        size = spec.size
        cpu = self.filler_cpu if spec.filler else self.cpu
        if size.millicores:
            most = min(most, cpu // size.millicores)
        if size.memory_mb:
            most = min(most, self.memory // size.memory_mb)
        if size.accelerators:
            most = min(most, self.gpu // size.accelerators)
        return max(0, most)

    def take(self, spec: specs.StepSpec, count: int = 1) -> None:
        """Use room for tasks of a step."""
        if not spec.filler:
            self.cpu -= spec.size.millicores * count
        self.filler_cpu -= spec.size.millicores * count
        self.memory -= spec.size.memory_mb * count
        self.gpu -= spec.size.accelerators * count

    def left_over(self, spec: specs.StepSpec) -> float:
        """Return the share of the worker left free after one task."""
        capacity = self.belief.entry.capacity
        cpu = (self.cpu - spec.size.millicores) / max(1, capacity.millicores)
        memory = (self.memory - spec.size.memory_mb) / max(
            1, capacity.memory_mb
        )
        return cpu + 0.5 * memory


def choose_one(spec: specs.StepSpec, rooms: Iterable[Room]) -> Room | None:
    """Return the worker with the tightest fit for one task."""
    best = None
    best_score = float('inf')
    for room in rooms:
        if not room.fits(spec):
            continue
        score = room.left_over(spec)
        if spec.data_rack and room.belief.entry.rack != spec.data_rack:
            score += 10.0
        if score < best_score:
            best = room
            best_score = score
    return best


def choose_gang(
    spec: specs.StepSpec, rooms: list[Room], count: int
) -> list[Room] | None:
    """Return a worker for each member, or ``None`` if not all have room.

    :param rooms: workers that may run the step.
    """
    by_rack: dict[str, list[Room]] = {}
    for room in rooms:
        by_rack.setdefault(room.belief.entry.rack, []).append(room)
    groups = list(by_rack.values())
    if spec.data_rack in by_rack:
        groups.sort(key=lambda group: group is not by_rack[spec.data_rack])
    if spec.single_rack:
        for group in groups:
            chosen = _spread(spec, group, count)
            if chosen is not None:
                return chosen
        return None
    return _spread(spec, rooms, count)


def _spread(
    spec: specs.StepSpec, rooms: list[Room], count: int
) -> list[Room] | None:
    limit = spec.max_per_worker or count
    chosen: list[Room] = []
    for room in sorted(rooms, key=lambda room: room.left_over(spec)):
        fitting = room.count(spec, min(limit, count - len(chosen)))
        chosen.extend([room] * fitting)
        if len(chosen) == count:
            return chosen
    return None
