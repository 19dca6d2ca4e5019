"""Requests that a zone leader can't queue yet."""

from collections.abc import Callable

import msgspec

from samphirestack.internal import messages
from samphirestack import model

MAX_DEFERRED = 20_000
"""Same bound as for the requests that wait in the queue of a zone."""

UNKNOWN_QUEUE_TIMEOUT_S = 4.0
"""Every node gets an accepted configuration within this time, so a queue
that is unknown for longer does not exist."""


class DeferredRequest(msgspec.Struct, frozen=True):
    """A request with its sender and arrival time."""

    arrived_at: float
    sender: model.VmId
    slot: messages.RequestSlot

    def adjusted_slot(self, now: float) -> messages.RequestSlot:
        """Return the request with its times adjusted for the deferral."""
        deferred_s = now - self.arrived_at
        return msgspec.structs.replace(
            self.slot,
            waited_s=self.slot.waited_s + deferred_s,
            deadline_in_s=self.slot.deadline_in_s - deferred_s,
        )

    def is_overdue(self, now: float) -> bool:
        """Return whether the deadline has passed."""
        return now - self.arrived_at >= self.slot.deadline_in_s

    def is_unknown(self, now: float) -> bool:
        """Return whether its queue would be known by now if it existed."""
        return now - self.arrived_at >= UNKNOWN_QUEUE_TIMEOUT_S


class DeferredRequests:
    """Requests of entries that have not reported and for unknown queues."""

    def __init__(self) -> None:
        self._by_id: dict[model.RequestId, DeferredRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, item: DeferredRequest) -> bool:
        """Add a request; return false if there are too many.

        A duplicate keeps the time of the first arrival.
        """
        known = self._by_id.get(item.slot.request_id)
        if known is not None and known.slot.attempt >= item.slot.attempt:
            return True
        if len(self._by_id) >= MAX_DEFERRED:
            return False
        self._by_id[item.slot.request_id] = item
        return True

    def remove(self, request_id: model.RequestId) -> None:
        """Remove a request, if it is here."""
        self._by_id.pop(request_id, None)

    def pop_where(
        self, predicate: Callable[[DeferredRequest], bool]
    ) -> list[DeferredRequest]:
        """Remove and return matching requests in order of arrival."""
        selected = [item for item in self._by_id.values() if predicate(item)]
        for item in selected:
            del self._by_id[item.slot.request_id]
        return selected

    def clear(self) -> None:
        """Remove all requests."""
        self._by_id.clear()
