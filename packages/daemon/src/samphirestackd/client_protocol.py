"""HTTP connections of clients, with limits on what they occupy.

The decisions are those of :mod:`samphirestack.fleet.client_limits`.
"""

import asyncio
from collections.abc import Callable
import http
from typing import Any

import msgspec
from uvicorn.protocols.http import httptools_impl

from samphirestack.fleet import client_limits
from samphirestackd import logs

Reason = client_limits.Reason

SLICE_BYTES = 16 * 1024
"""Input that is parsed before the limits are checked again."""

UNSENT_BYTES = 16 * 1024
"""Output to a client that does not read, after which no further answer is
written."""

CHECK_INTERVAL_S = 1.0
RETRY_AFTER_S = 1

STATUSES = {
    Reason.HEAD_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.TOO_MANY_CONNECTIONS: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.INPUT_MEMORY: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.TIMEOUT: http.HTTPStatus.REQUEST_TIMEOUT,
}
"""Status for a client that is refused; without one it is disconnected."""

_TEXTS = {
    Reason.HEAD_TOO_LARGE: 'the head or the trailers are too large',
    Reason.TOO_MANY_CONNECTIONS: 'this node has too many connections',
    Reason.INPUT_MEMORY: 'this node receives too many requests at once',
    Reason.TIMEOUT: 'the request was not received in time',
}

OnRefused = Callable[[str, str], None]
"""Called with the name of the listener and the reason."""


class Listener:
    """The connections of clients to one listener.

    :param name: of the listener, for logs and metrics.
    """

    def __init__(
        self,
        name: str,
        bounds: client_limits.Bounds,
        on_refused: OnRefused,
    ) -> None:
        self._name = name
        self.clients = client_limits.Clients(bounds)
        self._on_refused = on_refused
        self._timer: asyncio.TimerHandle | None = None

    def protocol_class(self) -> type[asyncio.Protocol]:
        """Return the class of the listener's connections for uvicorn."""
        return type('ClientProtocol', (ClientProtocol,), {'listener': self})

    def check_later(self, loop: asyncio.AbstractEventLoop) -> None:
        """Check the progress of clients as long as there are any."""
        if self._timer is None:
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check, loop)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        for client in self.clients.overdue(loop.time()):
            self.refuse(client, Reason.TIMEOUT)
        if len(self.clients):
            self.check_later(loop)

    def refuse(self, client: client_limits.Client, reason: Reason) -> None:
        """Refuse the unfinished request of a client and disconnect it."""
        self.clients.close(client)
        self._on_refused(self._name, reason.value)
        logs.limited_warning('client.refused', self._name, reason.value)
        protocol: Any = client.owner
        protocol.refuse(reason)


class ClientProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP connection of a client."""

    listener: Listener

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Accept the connection; close another one if there are too many."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        self._is_head_received = False
        self._is_receiving = False
        self._advanced = False
        self._overhead_bytes = 0
        """Input since the last head or part of a body."""
        self._discarded_bytes = 0
        clients = self.listener.clients
        self._client = clients.open(self, self.loop.time())
        self.listener.check_later(self.loop)
        excess = clients.connection_to_close(self._client)
        if excess is not None:
            self.listener.refuse(excess, Reason.TOO_MANY_CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection occupies."""
        self.listener.clients.close(self._client)
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        # The objects of a connection refer to each other, and the garbage
        # collector may find them much later.
        for cycle, _ in self.pipeline:
            cycle.body = bytearray()
        self.pipeline.clear()
        if self.cycle is not None:
            self.cycle.body = bytearray()
        self.headers = []
        self.url = b''

    def data_received(self, data: bytes) -> None:
        """Parse input, unless it exceeds a limit."""
        if len(data) <= SLICE_BYTES:
            self._receive(data)
            return
        for start in range(0, len(data), SLICE_BYTES):
            if self.transport.is_closing():
                return
            self._receive(data[start : start + SLICE_BYTES])

    def _receive(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        size = len(data)
        clients = self.listener.clients
        clients.receive(self._client, size, self.loop.time())
        dropped = clients.input_to_drop(self._client)
        while dropped is not None:
            self.listener.refuse(dropped, Reason.INPUT_MEMORY)
            if dropped is self._client:
                return
            dropped = clients.input_to_drop(self._client)
        self._advanced = False
        super().data_received(data)
        self._overhead_bytes = (
            0 if self._advanced else self._overhead_bytes + size
        )
        if self._overhead_bytes > client_limits.HEAD_BYTES:
            self._refuse(Reason.HEAD_TOO_LARGE)
        elif len(self.pipeline) > client_limits.PIPELINED_REQUESTS:
            self._refuse(Reason.PIPELINE)
        elif self._discards():
            clients.release(self._client)
            self._discarded_bytes += size
            if self._discarded_bytes > client_limits.DISCARDED_BYTES:
                self._refuse(Reason.REST_TOO_LARGE)

    def _refuse(self, reason: Reason) -> None:
        if not self.transport.is_closing():
            self.listener.refuse(self._client, reason)

    def _discards(self) -> bool:
        """Return whether the rest of an answered request is arriving."""
        return (
            self._is_receiving
            and self._is_head_received
            and self.cycle.response_complete
        )

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._is_receiving = True
        self._is_head_received = False
        self._discarded_bytes = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, and drop a trailer."""
        if not self._is_head_received:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request."""
        self._advanced = True
        self._is_head_received = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        self._advanced = True
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        self._advanced = True
        self._is_receiving = False
        self.listener.clients.finish(self._client)
        super().on_message_complete()
        if self.cycle.response_complete:
            self._note_answer()

    # Answers

    def on_response_complete(self) -> None:
        """Start the next request or wait for it."""
        is_last = not self.pipeline
        super().on_response_complete()
        if is_last:
            self._note_answer()

    def _note_answer(self) -> None:
        self.listener.clients.answer(
            self._client, not self._is_receiving, self.loop.time()
        )

    def pause_writing(self) -> None:
        """Note that the client does not read."""
        super().pause_writing()
        self.listener.clients.block(self._client, self.loop.time())

    def resume_writing(self) -> None:
        """Note that the client reads again."""
        super().resume_writing()
        self.listener.clients.unblock(
            self._client,
            is_received=not self._is_receiving,
            is_answered=self.cycle is None or self.cycle.response_complete,
        )

    def send_400_response(self, msg: str) -> None:
        """Answer 400 to malformed input, or disconnect the client."""
        if self._may_answer():
            super().send_400_response(msg)
        else:
            self._disconnect()

    def refuse(self, reason: Reason) -> None:
        """Answer that nothing was done, if this is so, and disconnect."""
        status = STATUSES.get(reason)
        # A client would take an answer on an idle connection for that to its
        # next request.
        is_idle = (
            self.cycle is not None
            and not self._is_receiving
            and not self._overhead_bytes
        )
        if status is not None and not is_idle and self._may_answer():
            self.transport.write(_refusal(status, _TEXTS[reason]))
        self._disconnect()

    def _may_answer(self) -> bool:
        """Return whether an answer can be sent that refuses the request.

        A submission has no effect before it was received completely.
        """
        if self.transport.is_closing() or self.pipeline:
            return False
        cycle = self.cycle
        if cycle is None or not self._is_head_received:
            return cycle is None or cycle.response_complete
        if not self._is_receiving:
            return bool(cycle.response_complete)
        return (
            cycle.scope['method'] == 'POST'
            and cycle.more_body
            and not cycle.response_started
        )

    def _disconnect(self) -> None:
        if self.cycle is not None:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()


def _refusal(status: http.HTTPStatus, text: str) -> bytes:
    """Return a response that closes the connection."""
    content = msgspec.json.encode({'error': text})
    retry = ''
    if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry = f'Retry-After: {RETRY_AFTER_S}\r\n'
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'content-type: application/json\r\n'
        f'content-length: {len(content)}\r\n'
        f'{retry}'
        'connection: close\r\n\r\n'
    )
    return head.encode() + content
