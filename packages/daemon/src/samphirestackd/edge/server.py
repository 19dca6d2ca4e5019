"""The server under the callers' interface, with its bounds."""

import asyncio
import http
from typing import Any

from starlette import types
import uvicorn
from uvicorn.protocols.http import h11_impl

from samphirestack import errors
from samphirestack import settings as settings_types
from samphirestackd.edge import exchange as exchanges

MAX_HEADER_BYTES = 16 * 1024
KEEP_ALIVE_S = 30
"""Idle callers' connections are kept longer than common balancers keep
theirs unused, so that the balancer closes first."""

HEADER_TIMEOUT_S = 10.0
"""A connection that has not sent complete headers by then is closed."""


class BoundedProtocol(h11_impl.H11Protocol):
    """HTTP connection that refuses to be one too many or too slow."""

    max_connections = 0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Accept the connection, or answer 503 and close it."""
        super().connection_made(transport)
        self._last_cycle: Any = None
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._check_headers
        )
        if len(self.connections) > self.max_connections:
            error = errors.QueueFull(
                f'this entry has {self.max_connections} connections already',
                hint='Use another entry VM or reuse connections.',
            )
            transport.write(_closing_response(error))
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._header_timer.cancel()
        super().connection_lost(exc)

    def send_400_response(self, msg: str) -> None:
        """Refuse what is not HTTP or has too large headers."""
        cycle: Any = self.cycle
        if cycle is None or cycle.response_complete:
            self.transport.write(_closing_response(errors.BadRequest(msg)))
        self.transport.close()

    def _check_headers(self) -> None:
        """Close a connection on which no call has begun for a while."""
        cycle: Any = self.cycle
        ended = cycle is None or cycle.response_complete
        if ended and cycle is self._last_cycle and self._awaits_request():
            self.transport.close()
            return
        self._last_cycle = cycle
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._check_headers
        )

    def _awaits_request(self) -> bool:
        """Return whether nothing or an unfinished header was received.

        Connections that are idle between calls have a timer of their own.
        """
        return self.cycle is None or bool(self.conn.trailing_data[0])


def _closing_response(error: errors.SamphireError) -> bytes:
    """Return a whole answer after which the connection is closed."""
    content = exchanges.error_body(error)
    status = http.HTTPStatus(error.http_status)
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'content-type: application/json\r\n'
        f'content-length: {len(content)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + content


def server_config(
    app: types.ASGIApp, address: str, edge: settings_types.EdgeSettings
) -> uvicorn.Config:
    """Return the configuration of the server.

    :param address: ``ip:port`` to listen on.
    """
    host, _, port = address.rpartition(':')
    protocol = type(
        'CallersProtocol',
        (BoundedProtocol,),
        {'max_connections': edge.max_connections},
    )
    return uvicorn.Config(
        app,
        host=host,
        port=int(port),
        http=protocol,
        ws='none',
        lifespan='off',
        loop='asyncio',
        log_config=None,
        # The access log would cost time and could hold what callers send.
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
    )
