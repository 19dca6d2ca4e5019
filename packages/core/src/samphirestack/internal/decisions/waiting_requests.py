"""Requests that wait for a slot, and heaps of them with lazy deletion.

A removed request stays in the heap until it reaches the top, so that removal
takes constant time.  A heap that consists mostly of removed requests is
rebuilt.
"""

from collections.abc import Callable
import heapq

from samphirestack import model

LOOKAHEAD = 8
"""Requests of one team that are tried in order when the first ones avoid
every upstream with a free slot."""

_COMPACT_ABOVE = 64
"""Removed requests in excess of the members above which a heap is rebuilt;
smaller heaps are not worth it."""


class WaitingRequest:
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


class RequestHeap:
    """A priority queue of requests with lazy deletion.

    :param key: the request with the lowest key comes first.
    :param is_member: whether a request still belongs to the heap; entries
        for which it is false are discarded.
    """

    def __init__(
        self,
        key: Callable[[WaitingRequest], float],
        is_member: Callable[[WaitingRequest], bool],
    ) -> None:
        self._key = key
        self._is_member = is_member
        self._items: list[tuple[float, int, WaitingRequest]] = []
        self._pushed = 0
        self.member_count = 0
        """Number of requests that still belong to the heap."""

    def push(self, request: WaitingRequest) -> None:
        """Add a request with its present key."""
        self._pushed += 1
        item = (self._key(request), self._pushed, request)
        heapq.heappush(self._items, item)
        self.member_count += 1

    def record_removal(self) -> None:
        """Count one request for which ``is_member`` became false.

        Rebuilds the heap if most of its entries are removed requests.
        """
        self.member_count -= 1
        if len(self._items) > 2 * self.member_count + _COMPACT_ABOVE:
            self._items = [
                item for item in self._items if self._is_member(item[2])
            ]
            heapq.heapify(self._items)

    def peek(self) -> WaitingRequest | None:
        """Return the first request without removing it."""
        while self._items:
            request = self._items[0][2]
            if self._is_member(request):
                return request
            heapq.heappop(self._items)
        return None

    def first_match(
        self, accepts: Callable[[WaitingRequest], bool]
    ) -> WaitingRequest | None:
        """Return the first accepted request without removing it.

        Only the next :data:`LOOKAHEAD` requests are tried.
        """
        skipped: list[tuple[float, int, WaitingRequest]] = []
        found = None
        while len(skipped) < LOOKAHEAD and found is None:
            request = self.peek()
            if request is None:
                break
            if accepts(request):
                found = request
            else:
                skipped.append(heapq.heappop(self._items))
        for item in skipped:
            heapq.heappush(self._items, item)
        return found

    def peek_tail(self) -> WaitingRequest | None:
        """Return a request from late in the order without removing it.

        This is the last element of the underlying list.  It has no children
        in the heap, so that it is never among the first ones, and a removed
        request there can be dropped without reordering.
        """
        while self._items:
            request = self._items[-1][2]
            if self._is_member(request):
                return request
            self._items.pop()
        return None


def by_deadline(request: WaitingRequest) -> float:
    """Return the sort key of urgent requests: earliest deadline first."""
    return request.deadline


def by_age(request: WaitingRequest) -> float:
    """Return the sort key of patient requests: oldest first."""
    return request.enqueued_at


def by_promotion(request: WaitingRequest) -> float:
    """Return the time at which a patient request becomes urgent."""
    return request.promote_at


def still_waiting(request: WaitingRequest) -> bool:
    """Return whether a request is still queued in either class."""
    return request.is_waiting


def still_urgent(request: WaitingRequest) -> bool:
    """Return whether a request is still queued as urgent work."""
    return request.is_waiting and request.is_urgent


def still_patient(request: WaitingRequest) -> bool:
    """Return whether a request is still queued as patient work."""
    return request.is_waiting and not request.is_urgent
