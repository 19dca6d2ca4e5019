"""One connection to one other daemon."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import zmq
import zmq.asyncio

from samphirestack import model
from samphirestackd.peers import security

SEND_QUEUE_MESSAGES = 10_000
"""Bound on messages that wait for a slow peer; more are dropped."""

RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000
MAX_UNANSWERED_PINGS = 64

T = TypeVar('T')


def completed_future(call: Awaitable[T]) -> asyncio.Future[T]:
    """Return the result of a non-blocking call, which pyzmq has at once."""
    assert isinstance(call, asyncio.Future)
    return call


class Link:
    """A DEALER socket to a peer and what its heartbeats said.

    :param vm_id: empty while only the address is known.
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
        """Return whether a heartbeat was answered lately."""
        return self.replied_at is not None and (
            now - self.replied_at < timeout_s
        )

    def is_silent(self, now: float, timeout_s: float) -> bool:
        """Return whether the connection has said nothing for too long."""
        return now - max(self.replied_at or 0.0, self.opened_at) >= timeout_s

    def reopen(self, now: float) -> None:
        """Close the connection with all that waits in it; open a new one."""
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
        """Send without waiting; return false if there is no room."""
        sent = completed_future(self.socket.send(data, flags=zmq.DONTWAIT))
        return sent.exception() is None

    def record_ping(self, number: int, now: float) -> None:
        """Remember when a heartbeat was sent."""
        if len(self._sent_at_by_number) >= MAX_UNANSWERED_PINGS:
            del self._sent_at_by_number[next(iter(self._sent_at_by_number))]
        self._sent_at_by_number[number] = now

    def pop_ping_sent_at(self, number: int) -> float | None:
        """Return when a heartbeat was sent; an answer counts once."""
        return self._sent_at_by_number.pop(number, None)

    def _open(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        socket.linger = 0
        socket.sndhwm = SEND_QUEUE_MESSAGES
        # Nothing is queued for a peer that is not connected: it would be
        # delivered long after it was meant.
        socket.immediate = 1
        socket.reconnect_ivl = RECONNECT_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        if self._keys is not None:
            security.protect_client(socket, self._keys)
        socket.connect(f'tcp://{self.address}')
        return socket
