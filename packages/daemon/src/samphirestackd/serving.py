"""HTTP servers inside the daemon's own event loop."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket

import uvicorn

CLOSE_TIMEOUT_S = 2.0
"""Maximum wait for responses in progress when a server stops."""

ACCEPTED_AT_ONCE = 32
"""Connections that are accepted before the first of them is handled, which may
close others."""


class _Server(uvicorn.Server):
    """Server without signal handlers; the daemon handles signals."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        # asyncio accepts as many connections at once as the queue is long.
        self._backlog = config.backlog
        config.backlog = min(config.backlog, ACCEPTED_AT_ONCE)

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start to accept connections from a queue of the full length."""
        await super().startup(sockets)
        for sock in sockets or []:
            sock.listen(self._backlog)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handlers."""
        yield


class HttpServer:
    """A uvicorn server on a socket that is bound at once.

    :raises OSError: the address can't be used.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        self._socket = socket.create_server(
            (config.host, config.port), backlog=config.backlog
        )
        self._server = _Server(config)
        # Accepted connections inherit this.  asyncio sets it only on sockets
        # with an explicit protocol number; without it responses wait about
        # 40 ms for a delayed acknowledgement.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to accept connections."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )

    async def stop(self) -> None:
        """Close idle connections, finish responses in progress and stop."""
        if self._task is None:
            self._socket.close()
            return
        self._server.should_exit = True
        await asyncio.wait([self._task], timeout=CLOSE_TIMEOUT_S)
        self._server.force_exit = True
        self._task.cancel()
        await asyncio.wait([self._task])
