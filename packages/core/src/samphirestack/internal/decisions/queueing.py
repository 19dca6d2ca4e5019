"""Queues of the requests that wait in a zone, and load shedding.

Requests of one service compete for the slots of its upstreams.  Urgent
requests go first, by deadline; patient ones follow by age.  The caller of
:meth:`RequestQueue.candidates` decides which team goes first in a class.

Unless a method says otherwise, it looks at a constant number of requests.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from samphirestack.internal.decisions import waiting_requests
from samphirestack import model

URGENT_STARTS_PER_PATIENT = 9
"""Urgent starts after which patient work gets one, i.e. a tenth of the
starts, so that it is not starved."""

MAX_WAITING = 20_000
"""Bound on all waiting requests of a zone; each takes about 1 KB, and a
node may use 64 MB of memory."""

_K = TypeVar('_K')


class Candidates(msgspec.Struct, frozen=True):
    """Teams that have requests of one class waiting for a service."""

    urgent: bool
    teams: tuple[model.TeamId, ...]


class _Service:
    """Waiting requests of one service by class and team."""

    def __init__(self) -> None:
        self.heaps: dict[
            bool, dict[model.TeamId, waiting_requests.RequestHeap]
        ] = {
            True: {},
            False: {},
        }
        self.urgent_starts = 0

    def heap(
        self, urgent: bool, team: model.TeamId
    ) -> waiting_requests.RequestHeap:
        by_team = self.heaps[urgent]
        if team not in by_team:
            by_team[team] = waiting_requests.RequestHeap(
                waiting_requests.by_deadline
                if urgent
                else waiting_requests.by_age,
                waiting_requests.still_urgent
                if urgent
                else waiting_requests.still_patient,
            )
        return by_team[team]

    def record_removal(self, urgent: bool, team: model.TeamId) -> None:
        heap = self.heaps[urgent][team]
        heap.record_removal()
        if not heap.member_count:
            del self.heaps[urgent][team]


class RequestQueue:
    """All requests that wait in a zone.

    :param max_waiting: bound on their number.
    """

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._requests_by_id: dict[
            model.RequestId, waiting_requests.WaitingRequest
        ] = {}
        self._ids_by_entry: dict[model.VmId, dict[model.RequestId, None]] = {}
        self._services: dict[model.ServiceId, _Service] = {}
        self._count_by_profile_and_team: dict[
            tuple[model.ProfileId, model.TeamId], int
        ] = {}
        self._count_by_team: dict[model.TeamId, int] = {}
        self._deadlines = waiting_requests.RequestHeap(
            waiting_requests.by_deadline, waiting_requests.still_waiting
        )
        self._promotions = waiting_requests.RequestHeap(
            waiting_requests.by_promotion, waiting_requests.still_patient
        )

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def get(
        self, request_id: model.RequestId
    ) -> waiting_requests.WaitingRequest | None:
        """Return a waiting request, or ``None`` if it does not wait."""
        return self._requests_by_id.get(request_id)

    def add(
        self, request: waiting_requests.WaitingRequest, max_queued: int
    ) -> waiting_requests.WaitingRequest | None:
        """Add a request and return the one that is shed for it, if any.

        A request beyond ``max_queued`` is shed itself.  Beyond the bound of
        the zone, a patient request of the team with the most patient work
        is shed, or the new request if no patient work waits.

        :param max_queued: bound on the waiting requests of the same team
            and profile.
        """
        key = (request.profile, request.team)
        if self._count_by_profile_and_team.get(key, 0) >= max_queued:
            return request
        self._insert(request)
        if len(self._requests_by_id) <= self._max_waiting:
            return None
        victim = self._choose_shed_request() or request
        self._remove(victim)
        return victim

    def remove(
        self, request_id: model.RequestId
    ) -> waiting_requests.WaitingRequest | None:
        """Remove and return a request, in constant time."""
        request = self._requests_by_id.get(request_id)
        if request is not None:
            self._remove(request)
        return request

    def remove_entry(
        self, entry: model.VmId
    ) -> list[waiting_requests.WaitingRequest]:
        """Remove and return all requests of one entry VM."""
        ids = list(self._ids_by_entry.get(entry, ()))
        removed = [self.remove(request_id) for request_id in ids]
        return [request for request in removed if request is not None]

    def remove_where(
        self, predicate: Callable[[waiting_requests.WaitingRequest], bool]
    ) -> list[waiting_requests.WaitingRequest]:
        """Remove and return all requests that ``predicate`` selects.

        Looks at every request; meant for rare events such as a retired
        queue or a service without upstreams.
        """
        removed = [
            item for item in self._requests_by_id.values() if predicate(item)
        ]
        for request in removed:
            self._remove(request)
        return removed

    def move_to_entry(
        self, request: waiting_requests.WaitingRequest, entry: model.VmId
    ) -> None:
        """Assign a waiting request to another entry VM."""
        if request.entry == entry:
            return
        self._remove_from_entry(request)
        request.entry = entry
        ids = self._ids_by_entry.setdefault(entry, {})
        ids[request.request_id] = None

    def pop_expired(self, now: float) -> list[waiting_requests.WaitingRequest]:
        """Remove and return requests whose deadline has passed."""
        expired = []
        request = self._deadlines.peek()
        while request is not None and request.deadline <= now:
            self._remove(request)
            expired.append(request)
            request = self._deadlines.peek()
        return expired

    def promote(self, now: float) -> None:
        """Move patient requests to the urgent class after ``promote_at``."""
        request = self._promotions.peek()
        while request is not None and request.promote_at <= now:
            service = self._services[request.service]
            request.is_urgent = True
            service.record_removal(False, request.team)
            service.heap(True, request.team).push(request)
            self._promotions.record_removal()
            request = self._promotions.peek()

    def services(self) -> list[model.ServiceId]:
        """Return the services that have waiting requests."""
        return [
            name
            for name, service in self._services.items()
            if service.heaps[True] or service.heaps[False]
        ]

    def candidates(self, service: model.ServiceId) -> Iterator[Candidates]:
        """Yield the classes with waiting work in the order of service.

        Urgent work comes first, except for every tenth start.
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
        accepts: Callable[[waiting_requests.WaitingRequest], bool],
    ) -> waiting_requests.WaitingRequest | None:
        """Return the first accepted request of a team without removing it.

        Looks at the next :data:`waiting_requests.LOOKAHEAD` requests only.
        """
        heap = self._services[service].heaps[urgent].get(team)
        return heap.first_match(accepts) if heap is not None else None

    def start(self, request: waiting_requests.WaitingRequest) -> None:
        """Remove a request that gets a slot.

        Urgent starts are counted while patient work waits, so that
        :meth:`candidates` can give patient work its share.
        """
        state = self._services[request.service]
        if not request.is_urgent:
            state.urgent_starts = 0
        elif state.heaps[False]:
            state.urgent_starts += 1
        self._remove(request)

    def waiting_by_team(self) -> dict[model.TeamId, int]:
        """Return the number of waiting requests of each team."""
        return dict(self._count_by_team)

    def _insert(self, request: waiting_requests.WaitingRequest) -> None:
        self._requests_by_id[request.request_id] = request
        ids = self._ids_by_entry.setdefault(request.entry, {})
        ids[request.request_id] = None
        service = self._services.setdefault(request.service, _Service())
        service.heap(request.is_urgent, request.team).push(request)
        self._deadlines.push(request)
        if not request.is_urgent:
            self._promotions.push(request)
        self._adjust_counts(request, 1)

    def _remove(self, request: waiting_requests.WaitingRequest) -> None:
        del self._requests_by_id[request.request_id]
        self._remove_from_entry(request)
        request.is_waiting = False
        self._services[request.service].record_removal(
            request.is_urgent, request.team
        )
        self._deadlines.record_removal()
        if not request.is_urgent:
            self._promotions.record_removal()
        self._adjust_counts(request, -1)

    def _remove_from_entry(
        self, request: waiting_requests.WaitingRequest
    ) -> None:
        ids = self._ids_by_entry[request.entry]
        del ids[request.request_id]
        if not ids:
            del self._ids_by_entry[request.entry]

    def _adjust_counts(
        self, request: waiting_requests.WaitingRequest, change: int
    ) -> None:
        _adjust(
            self._count_by_profile_and_team,
            (request.profile, request.team),
            change,
        )
        _adjust(self._count_by_team, request.team, change)

    def _choose_shed_request(self) -> waiting_requests.WaitingRequest | None:
        """Return a patient request of the team with the most of them."""
        heaps = [
            heap
            for service in self._services.values()
            for heap in service.heaps[False].values()
        ]
        largest = max(heaps, key=_member_count, default=None)
        return largest.peek_tail() if largest is not None else None


def _member_count(heap: waiting_requests.RequestHeap) -> int:
    return heap.member_count


def _adjust(counts: dict[_K, int], key: _K, change: int) -> None:
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        del counts[key]
