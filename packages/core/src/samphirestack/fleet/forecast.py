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
    events: list[tuple[float, packing.Room]] = []
    frees: dict[int, list[list[float]]] = {}
    for room in rooms:
        ends = [
            (expected_end(now, run), run)
            for run in room.belief.runs_by_key.values()
        ]
        ends.sort(key=lambda pair: pair[0])
        cpu, memory = room.cpu, room.memory
        points = [[now, room.count(spec, spec.count)]]
        for at, run in ends:
            size = run.task.step.spec.size
            cpu += 0 if run.task.step.spec.filler else size.millicores
            memory += size.memory_mb
            points.append([at, _fitting(spec, cpu, memory)])
            events.append((at, room))
        frees[id(room)] = points
    events.sort(key=lambda event: event[0])
    for at, _ in events:
        counts = [(_count_at(frees[id(room)], at), room) for room in rooms]
        counts.sort(key=lambda pair: -pair[0])
        total = 0
        chosen = []
        for count, room in counts:
            if count <= 0 or total >= spec.count:
                break
            total += int(count)
            chosen.append(room)
        if total >= spec.count:
            return at, chosen
    return None


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


def _fitting(spec: specs.StepSpec, cpu: float, memory: float) -> float:
    most = float(spec.count)
    if spec.size.millicores and not spec.filler:
        most = min(most, cpu // spec.size.millicores)
    if spec.size.memory_mb:
        most = min(most, memory // spec.size.memory_mb)
    return most


def _count_at(points: list[list[float]], at: float) -> float:
    result = 0.0
    for moment, count in points:
        if moment <= at:
            result = count
    return result


def expected_end(now: float, run: beliefs.Run) -> float:
    """Return when a run is expected to end."""
    elapsed = now - run.ordered_at
    estimate = max(run.task.step.spec.estimate_s, work.MIN_ESTIMATE_S)
    if run.percent >= MIN_PERCENT and elapsed > 0:
        estimate = elapsed * 100.0 / run.percent
    return max(now, run.ordered_at + estimate)
