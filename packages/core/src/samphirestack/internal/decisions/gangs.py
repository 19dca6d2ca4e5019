"""Reservations of resources for gangs and urgent tasks.

The tasks of a gang start together or not at all.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from samphirestack import model

REFRESH_S = 1.0
"""Age at which a reservation is recomputed from newer estimates."""


class ExpectedEnd(msgspec.Struct, frozen=True, order=True):
    """When a running task is expected to end, in monotonic seconds."""

    at: float
    resources: model.Resources


class WorkerLoad(msgspec.Struct, frozen=True):
    """Free resources of a worker and the expected ends of its tasks."""

    worker_id: model.WorkerId
    free: model.Resources
    expected_ends: tuple[ExpectedEnd, ...]


class Reservation(msgspec.Struct, frozen=True):
    """Resources that are reserved for a gang or for an urgent task."""

    holder: str
    """Id of the job or task that the resources are reserved for."""
    created_at: float
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
        """Return whether other work may be backfilled on a worker.

        It may if it is expected to end before the reservation starts, or if
        there is room for both.

        :param free: free resources of the worker now.
        :param ends_at: expected end of the other work.
        """
        reserved = self.needs_by_worker.get(worker_id)
        if reserved is None or ends_at <= self.start_at:
            return True
        return (need + reserved).fits_in(free)


def reserve(
    now: float,
    holder: str,
    need: model.Resources,
    count: int,
    workers: Iterable[WorkerLoad],
) -> Reservation | None:
    """Return the earliest reservation for ``count`` tasks of a gang.

    Returns ``None`` if the expected ends of running tasks do not make
    enough room.

    :param need: resources of each task.
    """
    starts: list[tuple[float, model.WorkerId]] = []
    for load in workers:
        times = _start_times(now, need, count, load)
        starts += [(time, load.worker_id) for time in times]
    starts.sort()
    chosen = starts[:count]
    if len(chosen) < count:
        return None
    needs: dict[model.WorkerId, model.Resources] = {}
    for _, worker_id in chosen:
        reserved = needs.get(worker_id, model.Resources())
        needs[worker_id] = reserved + need
    return Reservation(holder, now, chosen[-1][0], needs)


def _start_times(
    now: float, need: model.Resources, count: int, load: WorkerLoad
) -> list[float]:
    free = load.free
    times: list[float] = []
    at = now
    expected_ends = iter(sorted(load.expected_ends, key=lambda end: end.at))
    while len(times) < count:
        if need.fits_in(free):
            free = free - need
            times.append(at)
            continue
        end = next(expected_ends, None)
        if end is None or end.at == float('inf'):
            break
        at = max(now, end.at)
        free = free + end.resources
    return times
