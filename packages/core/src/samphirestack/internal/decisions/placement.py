"""Selection of workers for tasks.

:class:`BestFitPolicy` is the default policy.  Other policies implement
:class:`PlacementPolicy`.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

from samphirestack.internal.decisions import worker_index
from samphirestack import model

Allowed = Callable[[model.WorkerId], bool]
"""Predicate that returns whether a worker may be selected."""


def any_worker(worker_id: model.WorkerId) -> bool:
    """Allow every worker."""
    return True


class PlacementPolicy(Protocol):
    """How workers are selected for tasks."""

    def choose(
        self,
        index: worker_index.WorkerIndex,
        need: model.Resources,
        allowed: Allowed = any_worker,
    ) -> model.WorkerId | None:
        """Return a worker with room for one task, if there is one."""

    def choose_spread(
        self,
        index: worker_index.WorkerIndex,
        need: model.Resources,
        replicas_by_rack: Mapping[model.RackId, int],
        allowed: Allowed = any_worker,
    ) -> model.WorkerId | None:
        """Return a worker in a rack with few replicas of the service."""

    def choose_gang(
        self,
        index: worker_index.WorkerIndex,
        need: model.Resources,
        count: int,
        allowed: Allowed = any_worker,
    ) -> Sequence[model.WorkerId] | None:
        """Return a worker for each of ``count`` tasks, or ``None``."""


class BestFitPolicy:
    """Best fit; spreads services over racks and keeps gangs in one rack."""

    def choose(
        self,
        index: worker_index.WorkerIndex,
        need: model.Resources,
        allowed: Allowed = any_worker,
    ) -> model.WorkerId | None:
        """Return the tightest fit in the first batch that has one.

        The search stops at the first batch of the index with an allowed
        worker, so that the result need not be the best fit of all workers.
        """
        for batch in index.batches(need):
            best = _tightest(batch, need, allowed)
            if best is not None:
                return best
        return None

    def choose_spread(
        self,
        index: worker_index.WorkerIndex,
        need: model.Resources,
        replicas_by_rack: Mapping[model.RackId, int],
        allowed: Allowed = any_worker,
    ) -> model.WorkerId | None:
        """Return a worker in a rack with few replicas, then the best fit.

        The first group of the index with an allowed worker decides.
        """
        for group in index.groups(need):
            best = _least_used_rack(group, need, replicas_by_rack, allowed)
            if best is not None:
                return best
        return None

    def choose_gang(
        self,
        index: worker_index.WorkerIndex,
        need: model.Resources,
        count: int,
        allowed: Allowed = any_worker,
    ) -> Sequence[model.WorkerId] | None:
        """Return workers in one rack if possible.

        The tightest rack with room is used; if there is none, the gang is
        spread over the racks with the most room.
        """
        racks_by_room = sorted(
            (_tasks_that_fit(free, need), rack)
            for rack, free in index.rack_free().items()
        )
        chosen: list[model.WorkerId] = []
        for fitting, rack in racks_by_room:
            if fitting >= count:
                chosen = _fill(index.in_rack(rack), need, count, allowed)
                if len(chosen) == count:
                    return chosen
        chosen = []
        for fitting, rack in reversed(racks_by_room):
            if fitting == 0 or len(chosen) == count:
                break
            missing = count - len(chosen)
            chosen += _fill(index.in_rack(rack), need, missing, allowed)
        return chosen if len(chosen) == count else None


def _tightest(
    states: Sequence[worker_index.WorkerState],
    need: model.Resources,
    allowed: Allowed,
) -> model.WorkerId | None:
    best: model.WorkerId | None = None
    best_remaining = 0.0
    for state in states:
        if allowed is not any_worker and not allowed(state.worker_id):
            continue
        remaining = _remaining_share(state, need)
        if best is None or remaining < best_remaining:
            best, best_remaining = state.worker_id, remaining
    return best


def _least_used_rack(
    states: Iterable[worker_index.WorkerState],
    need: model.Resources,
    replicas_by_rack: Mapping[model.RackId, int],
    allowed: Allowed,
) -> model.WorkerId | None:
    """Return the worker with the fewest replicas in its rack.

    The search continues beyond ``SCAN_LIMIT`` until it has found a rack
    without replicas.
    """
    best: model.WorkerId | None = None
    best_rank = (0, 0.0)
    examined = 0
    for state in states:
        if not allowed(state.worker_id):
            continue
        replicas = replicas_by_rack.get(state.rack, 0)
        rank = (replicas, _remaining_share(state, need))
        if best is None or rank < best_rank:
            best, best_rank = state.worker_id, rank
        examined += 1
        if examined >= worker_index.SCAN_LIMIT and best_rank[0] == 0:
            break
    return best


def _remaining_share(
    state: worker_index.WorkerState, need: model.Resources
) -> float:
    capacity = state.capacity
    cpus = (state.free.millicores - need.millicores) / max(
        1, capacity.millicores
    )
    memory = (state.free.memory_mb - need.memory_mb) / max(
        1, capacity.memory_mb
    )
    return cpus + memory


def _spares_accelerators(
    state: worker_index.WorkerState, need: model.Resources
) -> bool:
    return need.accelerators > 0 or state.capacity.accelerators == 0


def _tasks_that_fit(free: model.Resources, need: model.Resources) -> int:
    counts = [
        have // wanted
        for have, wanted in (
            (free.millicores, need.millicores),
            (free.memory_mb, need.memory_mb),
            (free.accelerators, need.accelerators),
        )
        if wanted > 0
    ]
    return max(0, min(counts)) if counts else 0


def _fill(
    states: Iterable[worker_index.WorkerState],
    need: model.Resources,
    count: int,
    allowed: Allowed,
) -> list[model.WorkerId]:
    chosen: list[model.WorkerId] = []
    ordered = sorted(
        states,
        key=lambda s: (
            not _spares_accelerators(s, need),
            -_tasks_that_fit(s.free, need),
            s.worker_id,
        ),
    )
    for state in ordered:
        if len(chosen) == count:
            break
        if not allowed(state.worker_id):
            continue
        fitting = min(count - len(chosen), _tasks_that_fit(state.free, need))
        chosen += [state.worker_id] * fitting
    return chosen


def impossible_reason(
    job: model.Job, capacities: Collection[model.Resources]
) -> str | None:
    """Return why a job could never run, or ``None`` if it could.

    :param capacities: capacities of all workers.  If none are known, no job
        is impossible, since the list of VMs lags behind.
    """
    if not capacities:
        return None
    fitting = [c for c in capacities if job.resources.fits_in(c)]
    if not fitting:
        return (
            f'a task needs {describe(job.resources)}, but the largest workers '
            f'have {_largest(capacities)}'
        )
    if job.kind is not model.JobKind.GANG:
        return None
    room = sum(_tasks_that_fit(c, job.resources) for c in fitting)
    if job.resources != worker_index.NO_RESOURCES and room < job.tasks:
        return (
            f'the gang has {job.tasks} tasks, but an empty fleet has room '
            f'for {room} of them'
        )
    return None


def describe(resources: model.Resources) -> str:
    """Return an amount of resources as text for error messages."""
    return (
        f'{resources.millicores / 1000:g} cores, {resources.memory_mb} MB '
        f'and {resources.accelerators} accelerators'
    )


def _largest(capacities: Collection[model.Resources]) -> str:
    largest = {
        max(capacities, key=lambda c: c.millicores),
        max(capacities, key=lambda c: c.memory_mb),
        max(capacities, key=lambda c: c.accelerators),
    }
    return ' or '.join(sorted(describe(c) for c in largest))
