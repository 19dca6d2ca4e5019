"""A ZeroMQ connection to one other daemon."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import zmq
import zmq.asyncio

from samphirestack import model
from samphirestackd.peers import security

SEND_QUEUE_MESSAGES = 10_000
"""Bound on messages queued for a slow peer; further ones are dropped."""

RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
MAX_UNANSWERED_PINGS = 64

T = TypeVar('T')


def completed_future(call: Awaitable[T]) -> asyncio.Future[T]:
    """Return the future of a non-blocking call.

    pyzmq completes it before the call returns.
    """
    assert isinstance(call, asyncio.Future)
    return call


class Link:
    """A DEALER socket to a peer and the state from its last heartbeat.

    :param vm_id: empty for a seed, of which only the address is known.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        keys: security.Keys | None,
        vm_id: model.VmId,
        zone: model.ZoneId,
        address: str,
        now: float,
    ) -> None:
        self._context = context
        self._keys = keys
        self.vm_id = vm_id
        self.zone = zone
        self.address = address
        self.socket = self._open()
        self.opened_at = now
        self.replied_at: float | None = None
        self.next_ping_at = now
        self.draining = False
        self.fresh = False
        self.revision = model.Revision(0)
        self.reopened_count = 0
        self._sent_at_by_number: dict[int, float] = {}

    def is_alive(self, now: float, timeout_s: float) -> bool:
        """Return whether a heartbeat was answered within the timeout."""
        return self.replied_at is not None and (
            now - self.replied_at < timeout_s
        )

    def is_silent(self, now: float, timeout_s: float) -> bool:
        """Return whether no heartbeat was answered within the timeout.

        The timeout of a new connection starts when it is opened.
        """
        return now - max(self.replied_at or 0.0, self.opened_at) >= timeout_s

    def reopen(self, now: float) -> None:
        """Discard the connection with its queue and open a new one."""
        self.close()
        self.socket = self._open()
        self.opened_at = now
        self.next_ping_at = now
        self.reopened_count += 1

    def close(self) -> None:
        """Close the connection."""
        self._sent_at_by_number.clear()
        self.socket.close(linger=0)

    def send(self, data: bytes) -> bool:
        """Send without blocking; return false if the queue is full."""
        sent = completed_future(self.socket.send(data, flags=zmq.DONTWAIT))
        return sent.exception() is None

    def record_ping(self, number: int, now: float) -> None:
        """Record when a heartbeat was sent, to match its answer."""
        if len(self._sent_at_by_number) >= MAX_UNANSWERED_PINGS:
            del self._sent_at_by_number[next(iter(self._sent_at_by_number))]
        self._sent_at_by_number[number] = now

    def pop_ping_sent_at(self, number: int) -> float | None:
        """Return when a heartbeat was sent, or ``None`` if unknown.

        The entry is removed, so that a repeated answer is ignored.
        """
        return self._sent_at_by_number.pop(number, None)

    def _open(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        # Queue nothing while the peer is not connected: the messages would
        # be outdated when they are delivered.
        socket.immediate = 1
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        if self._keys is not None:
            security.protect_client(socket, self._keys)
        socket.connect(f'tcp://{self.address}')
        return socket
