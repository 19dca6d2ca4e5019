"""Links between the entries and the holder of the term, over ZeroMQ.

Each process listens for entries; each entry has one connection to the
holder.  A connection without replies is replaced, since the network can drop
the state of an open connection while new connections work.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import zmq
import zmq.asyncio

from samphirestack.fleet import messages
from samphirestack.fleet import pacing
from samphirestack.internal import addresses
from samphirestackd.fleet import clock
from samphirestackd import logs

LATE_TRANSIT_S = 0.15
"""Transit of a ping and its reply, after which one counts as missed."""

SILENT_TRANSIT_S = 0.2
"""The same after two missed replies."""

MAX_QUEUED_MESSAGES = 5000
"""Outgoing messages that are queued for a peer that does not read."""

MAX_MESSAGE_BYTES = 1024 * 1024
"""Limit of a message; a peer that sends a larger one is disconnected.  The
largest is a stored job, which is bounded by the size of a row."""

MONITORED_EVENTS = zmq.EVENT_DISCONNECTED
"""The operating system closes the connections of a process that dies, which is
detected long before missing replies are."""

Handler = Callable[[bytes, messages.Message], None]
"""Called with the identity of the sending connection, which is empty on the
side of the entry, and the message."""


class Listener:
    """Receives messages of entries and sends replies.

    :param address: ``IP:PORT`` to listen on.
    """

    def __init__(self, context: zmq.asyncio.Context, address: str) -> None:
        self._socket = context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.bind(f'tcp://{address}')

    async def run(self, handler: Handler) -> None:
        """Pass each message to the handler until cancelled."""
        while True:
            identity, *frames = await self._socket.recv_multipart()
            message = _decode(frames)
            if message is not None:
                logs.guard(lambda: handler(identity, message))  # noqa: B023

    def send(self, identity: bytes, message: messages.Message) -> None:
        """Send to a connected entry; drop the message if the queue is full."""
        future = asyncio.ensure_future(
            self._socket.send_multipart(
                [identity, messages.encode(message)], zmq.NOBLOCK
            )
        )
        future.add_done_callback(_log_failure)

    def close(self) -> None:
        """Stop listening."""
        self._socket.close(0)


class Connection:
    """The connection of an entry to the holder of the term.

    :param name: distinguishes this process from other ones.
    :param handler: called with each message of the holder.
    :param on_disconnect: called when an open connection is lost.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        name: str,
        handler: Handler,
        on_disconnect: Callable[[], None],
    ) -> None:
        self._context = context
        self._on_disconnect = on_disconnect
        self._name = name
        self._handler = handler
        self._socket: zmq.asyncio.Socket | None = None
        self._monitor: zmq.asyncio.Socket | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._generation = 0
        self.address = ''
        self.received_at = float('-inf')
        """Time of the last message of the holder."""
        self._opened_at = 0.0
        self.ping_interval_s = pacing.MIN_PING_INTERVAL_S
        """Interval of pings that the holder asked for."""

    @property
    def _late_after_s(self) -> float:
        return self.ping_interval_s + LATE_TRANSIT_S

    @property
    def _silent_after_s(self) -> float:
        return 2 * self.ping_interval_s + SILENT_TRANSIT_S

    @property
    def is_alive(self) -> bool:
        """Return whether the holder sent a message recently."""
        return clock.now() - self.received_at < self._silent_after_s

    @property
    def is_late(self) -> bool:
        """Return whether a reply of the holder is overdue."""
        return clock.now() - self.received_at > self._late_after_s

    @property
    def is_silent(self) -> bool:
        """Return whether the connection should be replaced."""
        now = clock.now()
        return (
            now - self.received_at > self._silent_after_s
            and now - self._opened_at > self._silent_after_s
        )

    def open(self, address: str) -> None:
        """Close the present connection and connect to a holder."""
        self.close()
        self._generation += 1
        self.address = address
        self._opened_at = clock.now()
        self.ping_interval_s = pacing.MIN_PING_INTERVAL_S
        if not addresses.is_address(address):
            logs.limited_warning(
                'link.bad_address', address, 'it is no address'
            )
            return
        sock = self._context.socket(zmq.DEALER)
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
        sock.setsockopt(
            zmq.IDENTITY, f'{self._name}/{self._generation}'.encode()
        )
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        sock.connect(f'tcp://{address}')
        self._socket = sock
        self._monitor = sock.get_monitor_socket(MONITORED_EVENTS)
        self._tasks = [
            asyncio.create_task(self._receive(sock)),
            asyncio.create_task(self._watch_disconnects(self._monitor)),
        ]

    async def _watch_disconnects(self, monitor: zmq.asyncio.Socket) -> None:
        while True:
            await monitor.recv_multipart()
            self._on_disconnect()

    async def _receive(self, sock: zmq.asyncio.Socket) -> None:
        while True:
            frames = await sock.recv_multipart()
            self.received_at = clock.now()
            message = _decode(frames)
            if message is not None:
                logs.guard(lambda: self._handler(b'', message))  # noqa: B023

    def send(self, message: messages.Message) -> bool:
        """Send to the holder; return whether a connection is open."""
        if self._socket is None:
            return False
        future = asyncio.ensure_future(
            self._socket.send(messages.encode(message), zmq.NOBLOCK)
        )
        future.add_done_callback(_log_failure)
        return True

    def close(self) -> None:
        """Disconnect."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        if self._monitor is not None:
            self._monitor.close(0)
            self._monitor = None
        if self._socket is not None:
            self._socket.disable_monitor()
            self._socket.close(0)
            self._socket = None
        self.received_at = float('-inf')


def _log_failure(future: asyncio.Future[Any]) -> None:
    if not future.cancelled() and future.exception() is not None:
        logs.limited_warning('link.not_sent', '', str(future.exception()))


def _decode(frames: list[bytes]) -> messages.Message | None:
    try:
        if len(frames) != 1:
            raise msgspec.DecodeError(f'it has {len(frames)} frames')
        return messages.decode(frames[0])
    except msgspec.DecodeError as error:
        logs.limited_warning('link.bad_message', type(error).__name__, error)
        return None
