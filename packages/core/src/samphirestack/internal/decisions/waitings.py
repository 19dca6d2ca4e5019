"""A request that waits for a slot, and heaps of such requests.

Requests that were removed stay in a heap until they reach its top, so that
removal takes constant time; a heap is rebuilt when most of it is such
leftovers.
"""

from collections.abc import Callable
import heapq

from samphirestack import model

LOOKAHEAD = 8
"""Requests of one team that are tried if the first ones avoid every
upstream with a free slot."""

_COMPACT_ABOVE = 64
"""Smaller heaps are not worth rebuilding."""


class Waiting:
    """A request that waits for a slot; times are monotonic seconds."""

    __slots__ = (
        'attempt',
        'avoid',
        'deadline',
        'enqueued_at',
        'entry',
        'is_urgent',
        'is_waiting',
        'profile',
        'promote_at',
        'queue',
        'request_id',
        'service',
        'team',
    )

    def __init__(
        self,
        *,
        request_id: model.RequestId,
        entry: model.VmId,
        queue: model.QueueId,
        service: model.ServiceId,
        profile: model.ProfileId,
        team: model.TeamId,
        urgency: model.Urgency,
        enqueued_at: float,
        deadline: float,
        promote_at: float,
        attempt: int = 1,
        avoid: tuple[model.UpstreamId, ...] = (),
    ) -> None:
        self.request_id = request_id
        self.entry = entry
        self.queue = queue
        self.service = service
        self.profile = profile
        self.team = team
        self.enqueued_at = enqueued_at
        self.deadline = deadline
        self.promote_at = promote_at
        self.attempt = attempt
        self.avoid = avoid
        self.is_urgent = urgency is model.Urgency.URGENT
        self.is_waiting = True


class WaitingHeap:
    """A heap of requests from which any request can be left out.

    ``holds`` says whether a request still belongs here.
    """

    def __init__(
        self,
        key: Callable[[Waiting], float],
        holds: Callable[[Waiting], bool],
    ) -> None:
        self._key = key
        self._holds = holds
        self._items: list[tuple[float, int, Waiting]] = []
        self._pushed = 0
        self.live = 0
        """Requests that belong here."""

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        self._pushed += 1
        item = (self._key(waiting), self._pushed, waiting)
        heapq.heappush(self._items, item)
        self.live += 1

    def left(self) -> None:
        """Count one request that does not belong here any more."""
        self.live -= 1
        if len(self._items) > 2 * self.live + _COMPACT_ABOVE:
            self._items = [
                item for item in self._items if self._holds(item[2])
            ]
            heapq.heapify(self._items)

    def first(self) -> Waiting | None:
        """Return the first request without removing it."""
        while self._items:
            waiting = self._items[0][2]
            if self._holds(waiting):
                return waiting
            heapq.heappop(self._items)
        return None

    def first_match(
        self, accepts: Callable[[Waiting], bool]
    ) -> Waiting | None:
        """Return the first accepted request among the next few."""
        aside: list[tuple[float, int, Waiting]] = []
        found = None
        while len(aside) < LOOKAHEAD and found is None:
            waiting = self.first()
            if waiting is None:
                break
            if accepts(waiting):
                found = waiting
            else:
                aside.append(heapq.heappop(self._items))
        for item in aside:
            heapq.heappush(self._items, item)
        return found

    def some_late(self) -> Waiting | None:
        """Return a request from the last half of the order.

        The last element of a heap has no children, so that it is never
        among the first ones and can be dropped without reordering.
        """
        while self._items:
            waiting = self._items[-1][2]
            if self._holds(waiting):
                return waiting
            self._items.pop()
        return None


def by_deadline(waiting: Waiting) -> float:
    """Order by deadline."""
    return waiting.deadline


def by_age(waiting: Waiting) -> float:
    """Order by age, the oldest first."""
    return waiting.enqueued_at


def by_promotion(waiting: Waiting) -> float:
    """Order by the time of promotion."""
    return waiting.promote_at


def still_waiting(waiting: Waiting) -> bool:
    """Return whether a request waits at all."""
    return waiting.is_waiting


def still_urgent(waiting: Waiting) -> bool:
    """Return whether a request waits as urgent work."""
    return waiting.is_waiting and waiting.is_urgent


def still_patient(waiting: Waiting) -> bool:
    """Return whether a request waits as patient work."""
    return waiting.is_waiting and not waiting.is_urgent
