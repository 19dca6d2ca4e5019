"""HTTP server of the callers' interface, with limits on connections."""

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
"""Longer than the idle timeout of common load balancers, so that the load
balancer closes idle connections first."""

HEADER_TIMEOUT_S = 10.0
"""Interval of the check that closes connections with incomplete headers."""


class BoundedProtocol(h11_impl.H11Protocol):
    """HTTP connection with limits on connections and header time."""

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
        """Cancel the header timer."""
        self._header_timer.cancel()
        super().connection_lost(exc)

    def send_400_response(self, msg: str) -> None:
        """Answer 400 to malformed HTTP or headers over the size limit."""
        cycle: Any = self.cycle
        if cycle is None or cycle.response_complete:
            self.transport.write(_closing_response(errors.BadRequest(msg)))
        self.transport.close()

    def _check_headers(self) -> None:
        """Close a connection whose headers are incomplete for too long."""
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
        """Return whether no call or only part of a header was received.

        Connections that are idle between calls have the keep-alive timer.
        """
        return self.cycle is None or bool(self.conn.trailing_data[0])


def _closing_response(error: errors.SamphireError) -> bytes:
    """Return an HTTP error response with ``Connection: close``."""
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
    """Return the uvicorn configuration of the server.

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
        # The access log is slow and could record callers' data.
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_S,
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
    )
