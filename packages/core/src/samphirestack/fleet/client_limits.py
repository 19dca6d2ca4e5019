"""Limits of what clients occupy: connections, memory for input, and time.

The load is a crowd of clients that open connections, send input without end,
or stop short of the end of a request.  While the limits are reached, the
unfinished request that began first gives way, since ordinary requests arrive
at once.  A request that was received completely never gives way, as it may
already have taken effect.
"""

import enum

import msgspec

MB = 1024 * 1024

HEAD_BYTES = 32 * 1024
"""Limit of a head, including empty lines before it, and of the trailers."""

PIPELINED_REQUESTS = 32
"""Limit of the requests that wait for the answer to an earlier one."""

DISCARDED_BYTES = MB
"""Limit of the rest of a request that was answered before its end."""

COST_PER_BYTE = 4
"""Memory that a byte of input occupies while its request is handled: it is
copied between the buffers, and decoded."""

MEMORY_PARTS = 4
"""The input of all clients may occupy one part of this many."""

CONNECTION_BYTES = 16 * 1024
CONNECTION_MEMORY_PARTS = 8
"""The connections without their input may occupy one part of this many."""

DESCRIPTOR_PARTS = 3
"""Connections of clients may use one part of this many; the others serve the
store, the workers and the other nodes."""

AUXILIARY_CONNECTIONS = 32
"""Connections to a listener that only infrastructure calls."""

FIRST_REQUEST_S = 75.0
"""Time until the first byte on a new connection."""

REQUEST_S = 10.0
"""Time to receive a request, in addition to the time for its size."""

BYTES_PER_S = 4096
LONGEST_REQUEST_S = 120.0
UNREAD_S = 10.0
"""Time for which a client may leave an answer unread."""

PROGRESS_BYTES = 64 * 1024
"""Input after which a request no longer counts as the oldest."""


class Bounds(msgspec.Struct, frozen=True):
    """What all connections to a listener may occupy."""

    connections: int
    input_bytes: int
    """Received bytes of requests that are not answered yet."""


def bounds(memory_mb: float, file_descriptors: int) -> Bounds:
    """Return the bounds for clients of a process with these limits."""
    memory = memory_mb * MB
    return Bounds(
        max(
            1,
            min(
                file_descriptors // DESCRIPTOR_PARTS,
                int(memory / CONNECTION_MEMORY_PARTS) // CONNECTION_BYTES,
            ),
        ),
        int(memory / MEMORY_PARTS) // COST_PER_BYTE,
    )


def auxiliary_bounds() -> Bounds:
    """Return the bounds of a listener that only infrastructure calls."""
    return Bounds(
        AUXILIARY_CONNECTIONS, AUXILIARY_CONNECTIONS * HEAD_BYTES // 2
    )


class Reason(enum.Enum):
    """Why a client is refused or its connection closed."""

    HEAD_TOO_LARGE = 'head_too_large'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    INPUT_MEMORY = 'input_memory'
    PIPELINE = 'pipeline'
    REST_TOO_LARGE = 'rest_too_large'
    """The rest of a request that was already answered."""
    TIMEOUT = 'timeout'


class Client:
    """What one connection occupies.

    :param owner: executes the decisions about this connection.
    """

    __slots__ = (
        'held_bytes',
        'next_mark',
        'owner',
        'received_bytes',
        'since',
        'unread_since',
    )

    def __init__(self, owner: object, now: float) -> None:
        self.owner = owner
        self.since = now
        """Start of the unfinished request, or of the connection."""
        self.received_bytes = 0
        """Size of the unfinished request so far."""
        self.held_bytes = 0
        self.next_mark = PROGRESS_BYTES
        self.unread_since: float | None = None

    def is_overdue(self, now: float) -> bool:
        """Return whether the client makes too little progress."""
        if self.unread_since is not None:
            return now - self.unread_since > UNREAD_S
        if not self.received_bytes:
            return now - self.since > FIRST_REQUEST_S
        allowed_s = REQUEST_S + self.received_bytes / BYTES_PER_S
        return now - self.since > min(allowed_s, LONGEST_REQUEST_S)


class Clients:
    """The connections to one listener."""

    def __init__(self, limits: Bounds) -> None:
        self._limits = limits
        self._all: dict[Client, None] = {}
        self._unfinished: dict[Client, None] = {}
        """Clients with an unfinished first or further request, and those that
        do not read, by the start of the request."""
        self._idle: dict[Client, None] = {}
        """Clients between two requests, longest idle first."""
        self.held_bytes = 0

    def __len__(self) -> int:
        return len(self._all)

    def open(self, owner: object, now: float) -> Client:
        """Add a connection."""
        client = Client(owner, now)
        self._all[client] = None
        self._unfinished[client] = None
        return client

    def close(self, client: Client) -> None:
        """Remove a connection; a second call has no effect."""
        if client not in self._all:
            return
        del self._all[client]
        self._unfinished.pop(client, None)
        self._idle.pop(client, None)
        self.release(client)

    def connection_to_close(self, newest: Client) -> Client | None:
        """Return the connection that gives way to the newest one, if any.

        It is the newest one itself if all others wait for answers.
        """
        if len(self._all) <= self._limits.connections:
            return None
        for client in self._unfinished:
            if client is not newest:
                return client
        return next(iter(self._idle), newest)

    def receive(self, client: Client, size: int, now: float) -> None:
        """Count input before it is parsed."""
        if client in self._idle:
            del self._idle[client]
            self._begin(client, now)
        elif not client.received_bytes:
            client.since = now
        client.received_bytes += size
        client.held_bytes += size
        self.held_bytes += size
        if client.received_bytes >= client.next_mark:
            client.next_mark = client.received_bytes + PROGRESS_BYTES
            if self._unfinished.pop(client, self) is None:
                self._unfinished[client] = None

    def input_to_drop(self, receiver: Client) -> Client | None:
        """Return the connection to close if the input does not fit.

        It is the receiver itself if no other client has an unfinished
        request that holds memory.
        """
        if self.held_bytes <= self._limits.input_bytes:
            return None
        for client in self._unfinished:
            if client.held_bytes:
                return client
        return receiver

    def finish(self, client: Client) -> None:
        """Note that a request was received completely."""
        if client.unread_since is None:
            self._unfinished.pop(client, None)
        client.received_bytes = 0

    def answer(self, client: Client, is_received: bool, now: float) -> None:
        """Note that all requests that were received completely are answered.

        :param is_received: whether there is no unfinished request.
        """
        if client not in self._all:
            return
        if not is_received:
            self._unfinished.setdefault(client)
            return
        self.release(client)
        if client.unread_since is None:
            self._unfinished.pop(client, None)
            client.since = now
            self._idle[client] = None

    def release(self, client: Client) -> None:
        """Note that no input of the client is kept any longer."""
        self.held_bytes -= client.held_bytes
        client.held_bytes = 0

    def block(self, client: Client, now: float) -> None:
        """Note that the client does not read its answers."""
        if client in self._all:
            client.unread_since = now
            self._idle.pop(client, None)
            self._unfinished[client] = None

    def unblock(
        self, client: Client, *, is_received: bool, is_answered: bool
    ) -> None:
        """Note that the client reads again.

        :param is_received: whether there is no unfinished request.
        :param is_answered: whether no request waits for its answer.
        """
        client.unread_since = None
        if client in self._all and is_received:
            self._unfinished.pop(client, None)
            if is_answered:
                self._idle[client] = None

    def overdue(self, now: float) -> list[Client]:
        """Return the clients that make too little progress."""
        return [one for one in self._unfinished if one.is_overdue(now)]

    def _begin(self, client: Client, now: float) -> None:
        client.since = now
        client.received_bytes = 0
        client.next_mark = PROGRESS_BYTES
        self._unfinished[client] = None
