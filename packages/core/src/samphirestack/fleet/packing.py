"""Choice of workers for tasks.

Best fit: a task is placed where the least free capacity remains, so that
large tasks and gangs still find empty workers.  This answers loads in which
a few heavy gangs, which only some workers may run, share the fleet with many
small tasks.
"""

from collections.abc import Callable
from collections.abc import Iterable

from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work


OTHER_RACK_SCORE = 10.0
"""Score of a worker that is far from the data of a step."""

COLD_SCORE = 100.0
"""Score of a cold worker, which only takes what fits nowhere else."""


class Candidate:
    """A worker with its free capacity during one planning round."""

    __slots__ = (
        'expected_ends',
        'free_cpu',
        'free_filler_cpu',
        'free_gpu',
        'free_memory',
        'held_for',
        'image_shares',
        'is_cold',
        'is_fit_for_probation',
        'reserved_until',
        'speed',
        'worker',
    )

    def __init__(
        self, worker: tracking.TrackedWorker, is_cold: bool = False
    ) -> None:
        self.worker = worker
        self.is_cold = is_cold
        """Whether the worker is still slow after its start."""
        self.free_cpu = worker.free_cpu
        self.free_memory = worker.free_memory
        self.free_gpu = worker.free_gpu
        self.free_filler_cpu = worker.free_cpu - worker.requested_filler_cpu
        """Processors free for fillers; other tasks may displace them."""
        self.expected_ends: list[tuple[float, specs.StepSpec]] | None = None
        """Expected ends of its runs in order; computed on first use."""
        self.image_shares: dict[str, float] | None = None
        """Load by image as a share of the worker; computed on first use."""
        self.is_fit_for_probation: bool | None = None
        """Whether a suspect may start; computed on first use."""
        self.held_for: work.StepRun | None = None
        """The step for which room is made on the worker."""
        self.speed: float | None = None
        """Speed of the worker; computed on first use."""
        self.reserved_until = 0.0
        """End of a reservation for a waiting gang: only tasks that are
        expected to end before may start."""

    def fits(self, spec: specs.StepSpec) -> bool:
        """Return whether one task of a step fits."""
        size = spec.size
        cpu = self.free_filler_cpu if spec.filler else self.free_cpu
        return (
            size.millicores <= cpu
            and size.memory_mb <= self.free_memory
            and size.accelerators <= self.free_gpu
        )

    def count(self, spec: specs.StepSpec, max_count: int) -> int:
        """Return how many tasks of a step fit, up to ``max_count``."""
        size = spec.size
        cpu = self.free_filler_cpu if spec.filler else self.free_cpu
        if size.millicores:
            max_count = min(max_count, cpu // size.millicores)
        if size.memory_mb:
            max_count = min(max_count, self.free_memory // size.memory_mb)
        if size.accelerators:
            max_count = min(max_count, self.free_gpu // size.accelerators)
        return max(0, max_count)

    def allocate(self, spec: specs.StepSpec, count: int = 1) -> None:
        """Deduct the resources of tasks of a step."""
        if not spec.filler:
            self.free_cpu -= spec.size.millicores * count
        self.free_filler_cpu -= spec.size.millicores * count
        self.free_memory -= spec.size.memory_mb * count
        self.free_gpu -= spec.size.accelerators * count
        if spec.image and self.image_shares is not None:
            capacity = self.worker.entry.capacity.millicores
            self.image_shares[spec.image] = self.image_shares.get(
                spec.image, 0.0
            ) + spec.size.millicores * count / max(1, capacity)

    def leftover_score(self, spec: specs.StepSpec) -> float:
        """Return a score of the capacity left after one task.

        The tightest fit has the lowest score; cold workers come last.
        """
        capacity = self.worker.entry.capacity
        cpu = (self.free_cpu - spec.size.millicores) / max(
            1, capacity.millicores
        )
        memory = (self.free_memory - spec.size.memory_mb) / max(
            1, capacity.memory_mb
        )
        return cpu + 0.5 * memory + COLD_SCORE * self.is_cold


Penalty = Callable[[Candidate], float]


def sum_of_penalties(
    first: Penalty | None, second: Penalty | None
) -> Penalty | None:
    """Return the sum of two penalties, of which either may be missing."""
    if first is None or second is None:
        return first or second
    return lambda candidate: first(candidate) + second(candidate)


def choose_one(
    spec: specs.StepSpec,
    candidates: Iterable[Candidate],
    penalty: Penalty | None = None,
) -> Candidate | None:
    """Return the worker with the tightest fit for one task.

    :param penalty: what is added to the score of a worker.
    """
    best = None
    best_score = float('inf')
    for candidate in candidates:
        if not candidate.fits(spec):
            continue
        score = candidate.leftover_score(spec)
        if spec.data_rack and candidate.worker.entry.rack != spec.data_rack:
            score += OTHER_RACK_SCORE
        if penalty is not None:
            score += penalty(candidate)
        if score < best_score:
            best = candidate
            best_score = score
    return best


def choose_gang(
    spec: specs.StepSpec,
    candidates: list[Candidate],
    count: int,
    penalty: Penalty | None = None,
) -> list[Candidate] | None:
    """Return a worker for each member, or ``None`` if not all fit.

    :param candidates: workers that may run the step.
    :param penalty: what is added to the score of a worker.
    """
    by_rack: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        by_rack.setdefault(candidate.worker.entry.rack, []).append(candidate)
    groups = list(by_rack.values())
    groups.sort(key=_has_cold_worker)
    if spec.data_rack in by_rack:
        groups.sort(key=lambda group: group is not by_rack[spec.data_rack])
    if spec.single_rack:
        for group in groups:
            chosen = _fit_gang(spec, group, count, penalty)
            if chosen is not None:
                return chosen
        return None
    return _fit_gang(spec, candidates, count, penalty)


def _has_cold_worker(group: list[Candidate]) -> bool:
    return any(candidate.is_cold for candidate in group)


def _fit_gang(
    spec: specs.StepSpec,
    candidates: list[Candidate],
    count: int,
    penalty: Penalty | None,
) -> list[Candidate] | None:
    limit = spec.max_per_worker or count
    free = 0
    for candidate in candidates:
        free += candidate.count(spec, limit)
        if free >= count:
            break
    else:
        # Most gangs of a backlog don't fit; they need no order of workers.
        return None
    chosen: list[Candidate] = []
    for candidate in sorted(
        candidates,
        key=lambda candidate: (
            candidate.leftover_score(spec)
            + (penalty(candidate) if penalty is not None else 0.0)
        ),
    ):
        fitting = candidate.count(spec, min(limit, count - len(chosen)))
        chosen.extend([candidate] * fitting)
        if len(chosen) == count:
            return chosen
    return None
