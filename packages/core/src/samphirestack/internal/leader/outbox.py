"""Buffer of the messages that the request scheduler sends."""

from samphirestack.internal.decisions import waiting_requests
from samphirestack.internal.leader import outgoing
from samphirestack.internal import messages
from samphirestack import model


class Outbox:
    """Collects messages until the caller of the scheduler sends them."""

    def __init__(self) -> None:
        self._items: list[outgoing.Outgoing] = []

    def send(self, to: model.VmId, message: messages.AnyMessage) -> None:
        """Add a message."""
        self._items.append(outgoing.Outgoing(to, message))

    def refuse(
        self,
        entry: model.VmId,
        request_id: model.RequestId,
        code: str,
        reason: str,
    ) -> None:
        """Add the refusal of a request."""
        self.send(entry, messages.Refuse(request_id, code, reason))

    def refuse_waiting(
        self, waiting: waiting_requests.WaitingRequest, code: str, reason: str
    ) -> None:
        """Add the refusal of a request that was queued."""
        self.refuse(waiting.entry, waiting.request_id, code, reason)

    def pop_all(self) -> list[outgoing.Outgoing]:
        """Remove and return all messages in order."""
        items = self._items
        self._items = []
        return items
