"""Withdrawals of waiting requests, one message per batch."""

import asyncio

from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import interfaces


class Cancellations:
    """Collects withdrawals per leader for a short time."""

    def __init__(self, links: interfaces.PeerLinks, batch_s: float) -> None:
        self._links = links
        self._batch_s = batch_s
        self._ids_by_leader: dict[model.VmId, dict[model.RequestId, None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, leader: model.VmId, request_id: model.RequestId) -> None:
        """Withdraw a request at a leader with the next batch."""
        self._ids_by_leader.setdefault(leader, {})[request_id] = None
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._batch_s, self.flush
            )

    def flush_if_pending(
        self, leader: model.VmId, request_id: model.RequestId
    ) -> None:
        """Send the batch now if it withdraws this request.

        Called before the same request asks the same leader again, since
        the withdrawal would otherwise overtake the new question.
        """
        if request_id in self._ids_by_leader.get(leader, ()):
            self.flush()

    def flush(self) -> None:
        """Send everything collected."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        batches, self._ids_by_leader = self._ids_by_leader, {}
        for leader, ids in batches.items():
            self._links.send(leader, messages.CancelSlots(tuple(ids)))
