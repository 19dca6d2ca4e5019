"""When and where a gang will have room, by the expected ends of runs."""

from samphirestack.fleet import beliefs
from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import work

MIN_PERCENT = 20.0
"""Progress from which a run's own pace replaces its declared run time."""


def first_fit(
    now: float, spec: specs.StepSpec, rooms: list[packing.Room]
) -> tuple[float, list[packing.Room]] | None:
    """Return when a gang will fit, by estimates, and on which workers."""
    limit = spec.max_per_worker or spec.count
    counts = [room.count(spec, limit) for room in rooms]
    events: list[tuple[float, int, int]] = []
    for position, room in enumerate(rooms):
        cpu, memory = room.cpu, room.memory
        for at, ended in _ends(now, room):
            cpu += 0 if ended.filler else ended.size.millicores
            memory += ended.size.memory_mb
            events.append((at, position, _fitting(spec, limit, cpu, memory)))
    events.sort()
    total = sum(counts)
    for at, position, count in events:
        total += count - counts[position]
        counts[position] = count
        if total >= spec.count:
            return at, _widest(spec.count, counts, rooms)
    return None


def _ends(
    now: float, room: packing.Room
) -> list[tuple[float, specs.StepSpec]]:
    if room.ends is None:
        room.ends = sorted(
            (
                (expected_end(now, run), run.task.step.spec)
                for run in room.belief.runs_by_key.values()
            ),
            key=lambda pair: pair[0],
        )
    return room.ends


def _widest(
    wanted: int, counts: list[int], rooms: list[packing.Room]
) -> list[packing.Room]:
    """Return the fewest rooms that take a number of tasks."""
    chosen = []
    for position in sorted(range(len(rooms)), key=lambda one: -counts[one]):
        if wanted <= 0 or counts[position] <= 0:
            break
        wanted -= counts[position]
        chosen.append(rooms[position])
    return chosen


def capacity_for(room: packing.Room, spec: specs.StepSpec) -> int:
    """Return how many tasks of a step an empty worker takes."""
    capacity = room.belief.entry.capacity
    count = spec.count
    for amount, size in (
        (capacity.millicores, 0 if spec.filler else spec.size.millicores),
        (capacity.memory_mb, spec.size.memory_mb),
        (capacity.accelerators, spec.size.accelerators),
    ):
        if size:
            count = min(count, amount // size)
    return min(count, spec.max_per_worker or count)


def _fitting(spec: specs.StepSpec, most: int, cpu: int, memory: int) -> int:
    if spec.size.millicores and not spec.filler:
        most = min(most, cpu // spec.size.millicores)
    if spec.size.memory_mb:
        most = min(most, memory // spec.size.memory_mb)
    return max(0, most)


def expected_end(now: float, run: beliefs.Run) -> float:
    """Return when a run is expected to end."""
    elapsed = now - run.ordered_at
    estimate = max(run.task.step.spec.estimate_s, work.MIN_ESTIMATE_S)
    if run.percent >= MIN_PERCENT and elapsed > 0:
        estimate = elapsed * 100.0 / run.percent
    return max(now, run.ordered_at + estimate)
