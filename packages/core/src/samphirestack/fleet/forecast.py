"""Forecast of when and where a gang fits, by expected ends of runs."""

from collections.abc import Iterable
import operator

from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import tracking

MIN_PROGRESS_PERCENT = 20.0
"""Progress in per cent from which the measured speed of a run replaces its
declared run time."""

OVERDUE_FACTOR = 1.5
"""Whole run time to expect of a run that goes on beyond its expected one, in
multiples of the time it has run."""


def earliest_fit(
    now: float, spec: specs.StepSpec, candidates: list[packing.Candidate]
) -> tuple[float, list[packing.Candidate]] | None:
    """Return when a gang is expected to fit, and on which workers.

    Only moments at which a run is expected to end are considered.

    :return: the moment and the workers, or ``None`` if it never fits.
    """
    limit = spec.max_per_worker or spec.count
    counts = [candidate.count(spec, limit) for candidate in candidates]
    rooms = [
        [candidate.free_cpu, candidate.free_memory, candidate.free_gpu]
        for candidate in candidates
    ]
    ends = [
        (at, position, ended)
        for position, candidate in enumerate(candidates)
        for at, ended in _ends(now, candidate)
    ]
    ends.sort(key=operator.itemgetter(0, 1))
    total = sum(counts)
    for at, position, ended in ends:
        room = rooms[position]
        room[0] += 0 if ended.filler else ended.size.millicores
        room[1] += ended.size.memory_mb
        room[2] += ended.size.accelerators
        count = _count_fitting(spec, limit, *room)
        total += count - counts[position]
        counts[position] = count
        if total >= spec.count:
            return at, _fewest_candidates(spec.count, counts, candidates)
    return None


def _ends(
    now: float, candidate: packing.Candidate
) -> list[tuple[float, specs.StepSpec]]:
    if candidate.expected_ends is None:
        candidate.expected_ends = sorted(
            (
                (expected_end(now, run), run.task.step.spec)
                for run in candidate.worker.runs_by_key.values()
            ),
            key=lambda pair: pair[0],
        )
    return candidate.expected_ends


def _fewest_candidates(
    wanted: int, counts: list[int], candidates: list[packing.Candidate]
) -> list[packing.Candidate]:
    """Return the fewest workers that hold a number of tasks."""
    chosen = []
    for position in sorted(
        range(len(candidates)), key=lambda index: -counts[index]
    ):
        if wanted <= 0 or counts[position] <= 0:
            break
        wanted -= counts[position]
        chosen.append(candidates[position])
    return chosen


def capacity_when_empty(
    candidate: packing.Candidate, spec: specs.StepSpec
) -> int:
    """Return how many tasks of a step fit on the worker if it is empty."""
    capacity = candidate.worker.entry.capacity
    count = spec.count
    for amount, size in (
        (capacity.millicores, 0 if spec.filler else spec.size.millicores),
        (capacity.memory_mb, spec.size.memory_mb),
        (capacity.accelerators, spec.size.accelerators),
    ):
        if size:
            count = min(count, amount // size)
    return min(count, spec.max_per_worker or count)


def may_ever_fit(
    spec: specs.StepSpec, candidates: Iterable[packing.Candidate]
) -> bool:
    """Return whether a gang fits on workers once they are empty.

    It may not, after their capacities shrank.
    """
    counts_by_rack: dict[str, int] = {}
    for candidate in candidates:
        rack = candidate.worker.entry.rack if spec.single_rack else ''
        count = counts_by_rack.get(rack, 0)
        count += capacity_when_empty(candidate, spec)
        if count >= spec.count:
            return True
        counts_by_rack[rack] = count
    return False


def _count_fitting(
    spec: specs.StepSpec, max_count: int, cpu: int, memory: int, gpu: int
) -> int:
    if spec.size.millicores and not spec.filler:
        max_count = min(max_count, cpu // spec.size.millicores)
    if spec.size.memory_mb:
        max_count = min(max_count, memory // spec.size.memory_mb)
    if spec.size.accelerators:
        max_count = min(max_count, gpu // spec.size.accelerators)
    return max(0, max_count)


def expected_end(now: float, run: tracking.Run) -> float:
    """Return when a run is expected to end; at the earliest now."""
    elapsed = now - run.ordered_at
    estimate = run.task.step.expected_s
    if run.percent >= MIN_PROGRESS_PERCENT and elapsed > 0:
        estimate = elapsed * 100.0 / run.percent
        if run.task.step.spec.gang:
            # It ends with the slowest member of its gang.
            estimate = max(estimate, run.task.step.expected_s)
    elif elapsed > estimate:
        estimate = elapsed * OVERDUE_FACTOR
    return max(now, run.ordered_at + estimate)
