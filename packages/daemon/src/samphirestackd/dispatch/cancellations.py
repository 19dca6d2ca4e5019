"""Batches of cancelled slot requests, one message per leader."""

import asyncio

from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import interfaces


class Cancellations:
    """Collects cancelled slot requests and sends one batch per leader."""

    def __init__(self, links: interfaces.PeerLinks, batch_s: float) -> None:
        self._links = links
        self._batch_s = batch_s
        self._ids_by_leader: dict[model.VmId, dict[model.RequestId, None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, leader: model.VmId, request_id: model.RequestId) -> None:
        """Cancel a slot request at a leader with the next batch."""
        self._ids_by_leader.setdefault(leader, {})[request_id] = None
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._batch_s, self.flush
            )

    def flush_if_pending(
        self, leader: model.VmId, request_id: model.RequestId
    ) -> None:
        """Send the batch now if it cancels this request.

        Must be called before the request is sent to the same leader again,
        since a later cancellation would cancel the new slot request.
        """
        if request_id in self._ids_by_leader.get(leader, ()):
            self.flush()

    def flush(self) -> None:
        """Send all collected cancellations."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batches, self._ids_by_leader = self._ids_by_leader, {}
        for leader, ids in batches.items():
            self._links.send(leader, messages.CancelSlots(tuple(ids)))
