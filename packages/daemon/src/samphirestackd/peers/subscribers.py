"""Which parts of the daemon take which messages."""

from collections.abc import Callable
import functools

import eliot

from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import interfaces

PongHandler = Callable[[model.VmId, messages.Pong, float], None]
"""Called with the sender, its answer and when it was asked."""


class Subscribers:
    """Handlers by type of message, called in the order of subscription."""

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
        """Hand a message to its subscribers."""
        for handler in self._handlers.get(type(message), ()):
            _call_handler(functools.partial(handler, sender, message))

    def dispatch_pong(
        self, sender: model.VmId, pong: messages.Pong, sent_at: float
    ) -> None:
        """Hand an answered heartbeat to its subscribers."""
        for handler in self._pong_handlers:
            _call_handler(functools.partial(handler, sender, pong, sent_at))


def _call_handler(call: Callable[[], None]) -> None:
    # A fault in one part must not end the links of all others.
    try:
        call()
    except Exception:
        eliot.write_traceback()
