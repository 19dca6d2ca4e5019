"""Waiting requests of a zone: which one is next, which one is shed.

Requests of one service compete for the slots of its upstreams.  Urgent
requests go first, by deadline; patient ones by age.  Which team goes first
within a class is decided by the caller of :meth:`RequestQueue.candidates`.

No decision touches more than a constant number of waiting requests.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from samphirestack.internal.decisions import waitings
from samphirestack import model

URGENT_STARTS_PER_PATIENT = 9
"""Patient work gets one start after this many urgent ones, a tenth."""

MAX_WAITING = 20_000
"""Bound on all waiting requests of a zone; each takes about 1 KB, and a
node may use 64 MB."""

_K = TypeVar('_K')


class Candidates(msgspec.Struct, frozen=True):
    """Teams with waiting work of one class of a service."""

    urgent: bool
    teams: tuple[model.TeamId, ...]


class _Service:
    """Waiting requests of one service by class and team."""

    def __init__(self) -> None:
        self.heaps: dict[bool, dict[model.TeamId, waitings.WaitingHeap]] = {
            True: {},
            False: {},
        }
        self.urgent_starts = 0

    def heap(self, urgent: bool, team: model.TeamId) -> waitings.WaitingHeap:
        by_team = self.heaps[urgent]
        if team not in by_team:
            by_team[team] = waitings.WaitingHeap(
                waitings.by_deadline if urgent else waitings.by_age,
                waitings.still_urgent if urgent else waitings.still_patient,
            )
        return by_team[team]

    def left(self, urgent: bool, team: model.TeamId) -> None:
        heap = self.heaps[urgent][team]
        heap.left()
        if not heap.live:
            del self.heaps[urgent][team]


class RequestQueue:
    """All requests that wait in a zone.

    :param max_waiting: bound on their number.
    """

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._by_id: dict[model.RequestId, waitings.Waiting] = {}
        self._ids_by_entry: dict[model.VmId, dict[model.RequestId, None]] = {}
        self._services: dict[model.ServiceId, _Service] = {}
        self._count_by_bound: dict[
            tuple[model.ProfileId, model.TeamId], int
        ] = {}
        self._count_by_team: dict[model.TeamId, int] = {}
        self._deadlines = waitings.WaitingHeap(
            waitings.by_deadline, waitings.still_waiting
        )
        self._promotions = waitings.WaitingHeap(
            waitings.by_promotion, waitings.still_patient
        )

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, request_id: model.RequestId) -> waitings.Waiting | None:
        """Return a waiting request."""
        return self._by_id.get(request_id)

    def add(
        self, waiting: waitings.Waiting, max_queued: int
    ) -> waitings.Waiting | None:
        """Add a request and return the one that is shed for it, if any.

        :param max_queued: bound on the requests of its team and profile;
            beyond it the new request itself is shed.  Beyond the bound of
            the zone, patient work of the team with most of it is shed.
        """
        bound = (waiting.profile, waiting.team)
        if self._count_by_bound.get(bound, 0) >= max_queued:
            return waiting
        self._insert(waiting)
        if len(self._by_id) <= self._max_waiting:
            return None
        victim = self._patient_victim() or waiting
        self._remove(victim)
        return victim

    def remove(self, request_id: model.RequestId) -> waitings.Waiting | None:
        """Remove and return a request, in constant time."""
        waiting = self._by_id.get(request_id)
        if waiting is not None:
            self._remove(waiting)
        return waiting

    def remove_entry(self, entry: model.VmId) -> list[waitings.Waiting]:
        """Remove and return everything that one entry VM waits for."""
        ids = list(self._ids_by_entry.get(entry, ()))
        removed = [self.remove(request_id) for request_id in ids]
        return [waiting for waiting in removed if waiting is not None]

    def remove_where(
        self, drops: Callable[[waitings.Waiting], bool]
    ) -> list[waitings.Waiting]:
        """Remove and return all requests that ``drops`` selects.

        This looks at every request; it is meant for retired queues and
        services without upstreams.
        """
        removed = [item for item in self._by_id.values() if drops(item)]
        for waiting in removed:
            self._remove(waiting)
        return removed

    def move_to_entry(
        self, waiting: waitings.Waiting, entry: model.VmId
    ) -> None:
        """Change which entry VM a request belongs to."""
        if waiting.entry == entry:
            return
        self._forget_entry(waiting)
        waiting.entry = entry
        ids = self._ids_by_entry.setdefault(entry, {})
        ids[waiting.request_id] = None

    def take_expired(self, now: float) -> list[waitings.Waiting]:
        """Remove and return requests whose deadline has passed."""
        expired = []
        waiting = self._deadlines.first()
        while waiting is not None and waiting.deadline <= now:
            self._remove(waiting)
            expired.append(waiting)
            waiting = self._deadlines.first()
        return expired

    def promote(self, now: float) -> None:
        """Order patient work that waited for too long like urgent work."""
        waiting = self._promotions.first()
        while waiting is not None and waiting.promote_at <= now:
            service = self._services[waiting.service]
            waiting.is_urgent = True
            service.left(False, waiting.team)
            service.heap(True, waiting.team).push(waiting)
            self._promotions.left()
            waiting = self._promotions.first()

    def services(self) -> list[model.ServiceId]:
        """Return the services that have waiting requests."""
        return [
            name
            for name, service in self._services.items()
            if service.heaps[True] or service.heaps[False]
        ]

    def candidates(self, service: model.ServiceId) -> Iterator[Candidates]:
        """Yield the classes with waiting work, the next to be served first.

        Urgent work goes first, except for every tenth start.
        """
        state = self._services.get(service)
        if state is None:
            return
        patient_turn = state.urgent_starts >= URGENT_STARTS_PER_PATIENT
        for urgent in (False, True) if patient_turn else (True, False):
            if state.heaps[urgent]:
                yield Candidates(urgent, tuple(state.heaps[urgent]))

    def first_match(
        self,
        service: model.ServiceId,
        urgent: bool,
        team: model.TeamId,
        accepts: Callable[[waitings.Waiting], bool],
    ) -> waitings.Waiting | None:
        """Return the first accepted request of a team without removing it.

        Only the next :data:`waitings.LOOKAHEAD` requests are looked at.
        """
        heap = self._services[service].heaps[urgent].get(team)
        return heap.first_match(accepts) if heap is not None else None

    def start(self, waiting: waitings.Waiting) -> None:
        """Remove a request that gets a slot and count the start."""
        state = self._services[waiting.service]
        if not waiting.is_urgent:
            state.urgent_starts = 0
        elif state.heaps[False]:
            state.urgent_starts += 1
        self._remove(waiting)

    def waiting_by_team(self) -> dict[model.TeamId, int]:
        """Return the number of waiting requests of each team."""
        return dict(self._count_by_team)

    def _insert(self, waiting: waitings.Waiting) -> None:
        self._by_id[waiting.request_id] = waiting
        ids = self._ids_by_entry.setdefault(waiting.entry, {})
        ids[waiting.request_id] = None
        service = self._services.setdefault(waiting.service, _Service())
        service.heap(waiting.is_urgent, waiting.team).push(waiting)
        self._deadlines.push(waiting)
        if not waiting.is_urgent:
            self._promotions.push(waiting)
        self._count(waiting, 1)

    def _remove(self, waiting: waitings.Waiting) -> None:
        del self._by_id[waiting.request_id]
        self._forget_entry(waiting)
        waiting.is_waiting = False
        self._services[waiting.service].left(waiting.is_urgent, waiting.team)
        self._deadlines.left()
        if not waiting.is_urgent:
            self._promotions.left()
        self._count(waiting, -1)

    def _forget_entry(self, waiting: waitings.Waiting) -> None:
        ids = self._ids_by_entry[waiting.entry]
        del ids[waiting.request_id]
        if not ids:
            del self._ids_by_entry[waiting.entry]

    def _count(self, waiting: waitings.Waiting, change: int) -> None:
        _adjust(self._count_by_bound, (waiting.profile, waiting.team), change)
        _adjust(self._count_by_team, waiting.team, change)

    def _patient_victim(self) -> waitings.Waiting | None:
        """Return patient work of the team that has most of it waiting."""
        heaps = [
            heap
            for service in self._services.values()
            for heap in service.heaps[False].values()
        ]
        largest = max(heaps, key=_live, default=None)
        return largest.some_late() if largest is not None else None


def _live(heap: waitings.WaitingHeap) -> int:
    return heap.live


def _adjust(counts: dict[_K, int], key: _K, change: int) -> None:
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        del counts[key]
