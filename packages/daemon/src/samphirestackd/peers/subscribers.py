"""Dispatch of received messages to the components of the daemon."""

from collections.abc import Callable
import functools

import eliot

from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import interfaces

PongHandler = Callable[[model.VmId, messages.Pong, float], None]
"""Called with the sender, the answer and the time when the heartbeat was sent
(monotonic seconds)."""


class Subscribers:
    """Handlers by message type, called in the order of subscription."""

    def __init__(self) -> None:
        self._handlers: dict[
            type[messages.Message], list[interfaces.Handler]
        ] = {}
        self._pong_handlers: list[PongHandler] = []

    def subscribe(
        self, kind: type[messages.Message], handler: interfaces.Handler
    ) -> None:
        """Call ``handler`` with the sender for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)

    def on_pong(self, handler: PongHandler) -> None:
        """Call ``handler`` for each answered heartbeat."""
        self._pong_handlers.append(handler)

    def dispatch(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        """Call the handlers of the message's type."""
        for handler in self._handlers.get(type(message), ()):
            _call_handler(functools.partial(handler, sender, message))

    def dispatch_pong(
        self, sender: model.VmId, pong: messages.Pong, sent_at: float
    ) -> None:
        """Call the handlers of answered heartbeats."""
        for handler in self._pong_handlers:
            _call_handler(functools.partial(handler, sender, pong, sent_at))


def _call_handler(call: Callable[[], None]) -> None:
    # An exception in one handler must not stop the receiving task.
    try:
        call()
    except Exception:
        eliot.write_traceback()
