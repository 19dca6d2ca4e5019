"""Reservations for gangs, whose tasks start together or not at all."""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from samphirestack import model

REFRESH_S = 1.0
"""Age at which a reservation is computed again from newer estimates."""


class Ending(msgspec.Struct, frozen=True, order=True):
    """When a running task is expected to give back its resources."""

    at: float
    resources: model.Resources


class WorkerLoad(msgspec.Struct, frozen=True):
    """What is free on a worker and what will be."""

    worker_id: model.WorkerId
    free: model.Resources
    endings: tuple[Ending, ...]


class Reservation(msgspec.Struct, frozen=True):
    """Room that is kept for a gang or for an urgent task."""

    holder: str
    """Id of the job or task that the room is kept for."""
    made_at: float
    start_at: float
    """When the last task of the gang is expected to have room."""
    needs_by_worker: Mapping[model.WorkerId, model.Resources]

    def allows(
        self,
        worker_id: model.WorkerId,
        free: model.Resources,
        need: model.Resources,
        ends_at: float,
    ) -> bool:
        """Return whether other work may start on a worker.

        :param free: free resources of the worker now.
        :param ends_at: when the work ends by its learned run time.
        """
        kept = self.needs_by_worker.get(worker_id)
        if kept is None or ends_at <= self.start_at:
            return True
        return (need + kept).fits_in(free)


def reserve(
    now: float,
    holder: str,
    need: model.Resources,
    count: int,
    workers: Iterable[WorkerLoad],
) -> Reservation | None:
    """Return the earliest reservation for ``count`` tasks of a gang.

    ``None`` means that no expected end of running tasks makes enough room.
    """
    openings: list[tuple[float, model.WorkerId]] = []
    for load in workers:
        times = _openings(now, need, count, load)
        openings += [(time, load.worker_id) for time in times]
    openings.sort()
    chosen = openings[:count]
    if len(chosen) < count:
        return None
    needs: dict[model.WorkerId, model.Resources] = {}
    for _, worker_id in chosen:
        kept = needs.get(worker_id, model.Resources())
        needs[worker_id] = kept + need
    return Reservation(holder, now, chosen[-1][0], needs)


def _openings(
    now: float, need: model.Resources, count: int, load: WorkerLoad
) -> list[float]:
    free = load.free
    times: list[float] = []
    at = now
    endings = iter(sorted(load.endings, key=lambda ending: ending.at))
    while len(times) < count:
        if need.fits_in(free):
            free = free - need
            times.append(at)
            continue
        ending = next(endings, None)
        if ending is None or ending.at == float('inf'):
            break
        at = max(now, ending.at)
        free = free + ending.resources
    return times
