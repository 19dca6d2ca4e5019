"""A TCP proxy with faults that can be set while connections are open.

It runs in the loop of a test or as a process of its own; the process has a
control interface: ``POST /control/{route}`` takes a :class:`Command`.

A connection belongs to a *source*.  Where one address is given to several
clients, such as the peer address of a daemon, ``sources`` holds the names
that clients may send; the first name found in what a client sends, as a
MessagePack string or as a property of the ZMTP handshake, is its source.
Nothing that contains the name is forwarded before the faults of this source
are applied.
"""

import asyncio
from collections.abc import Iterable
import contextlib

import msgspec

from samphirestack_testing.standins import serving

CHUNK_BYTES = 65_536
UNKNOWN_SOURCE = ''
ZMTP_LENGTH_BYTES = 4
_OVERLAP_BYTES = 64


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What happens to the connections of a source."""

    cut: bool = False
    """Open connections are broken off and new ones are refused."""
    drop_to_server: bool = False
    """Bytes to the server vanish while the connection stays open."""
    drop_to_client: bool = False
    """Bytes to the client vanish while the connection stays open."""
    delay_s: float = 0.0
    """Time that every chunk waits before it is forwarded, in order."""
    delay_every: int = 1
    """The delay hits each ``delay_every``-th connection, so that single
    connections are overtaken by others."""
    truncate_after: int | None = None
    """Bytes to the client after which a new connection is broken off."""


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A change of the faults of one route."""

    faults: Faults = Faults()
    sources: tuple[str, ...] = ()
    """Sources that the faults hit; all if empty."""
    silence_open: bool = False
    """Whether open connections go silent for ever; new ones work."""


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A listening port and the address that it leads to."""

    name: str
    target: str
    sources: tuple[str, ...] = ()


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process."""

    ready: str
    routes: tuple[Route, ...]


class _Connection:
    """Two streams and the source that they belong to."""

    def __init__(
        self,
        number: int,
        client: asyncio.StreamWriter,
        server: asyncio.StreamWriter,
    ) -> None:
        self.number = number
        self.client = client
        self.server = server
        self.source = UNKNOWN_SOURCE
        self.silent = False
        self.sent_to_client = 0

    def abort(self) -> None:
        for writer in (self.client, self.server):
            writer.transport.abort()


class Proxy:
    """Forwards one port to a target and applies faults."""

    def __init__(self, target: str, sources: Iterable[str] = ()) -> None:
        self.target = target
        self.address = ''
        self._needles = [
            (source, needle)
            for source in sorted(sources)
            for needle in _needles(source)
        ]
        self._faults_by_source: dict[str, Faults] = {}
        self._default = Faults()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._handlers: set[asyncio.Task[None]] = set()
        self._accepted = 0

    async def start(self) -> str:
        """Listen on a loopback port and return its address."""
        self._server = await asyncio.start_server(
            self._accept, serving.LOOPBACK, 0
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        return self.address

    async def close(self) -> None:
        """Stop listening and break all connections off."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
        handlers = list(self._handlers)
        for task in handlers:
            task.cancel()
        await asyncio.gather(*handlers, return_exceptions=True)

    @property
    def open_connections(self) -> int:
        """Number of connections that are open now."""
        return len(self._connections)

    def apply(self, command: Command) -> None:
        """Change the faults, also of open connections."""
        if command.sources:
            for source in command.sources:
                self._faults_by_source[source] = command.faults
        else:
            self._default = command.faults
            self._faults_by_source.clear()
        for connection in list(self._connections):
            if command.sources and connection.source not in command.sources:
                continue
            connection.silent = connection.silent or command.silence_open
            if command.faults.cut:
                connection.abort()

    def _faults_of(self, connection: _Connection) -> Faults:
        return self._faults_by_source.get(connection.source, self._default)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._handlers.add(task)
        try:
            await self._serve(reader, writer)
        finally:
            writer.transport.abort()
            self._handlers.discard(task)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._default.cut:
            return
        host, _, port = self.target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        self._accepted += 1
        connection = _Connection(self._accepted, writer, upstream[1])
        self._connections.add(connection)
        try:
            await self._forward_both(connection, reader, upstream[0])
        finally:
            connection.abort()
            self._connections.discard(connection)

    async def _forward_both(
        self,
        connection: _Connection,
        from_client: asyncio.StreamReader,
        from_server: asyncio.StreamReader,
    ) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._to_server(connection, from_client))
                    group.create_task(self._to_client(connection, from_server))
            except* OSError:
                # A side broke its connection off.
                pass

    async def _to_server(
        self, connection: _Connection, reader: asyncio.StreamReader
    ) -> None:
        tail = b''
        while data := await _read(reader):
            if connection.source == UNKNOWN_SOURCE and self._needles:
                connection.source = self._identify(tail + data)
                tail = (tail + data)[-_OVERLAP_BYTES:]
            faults = self._faults_of(connection)
            if faults.cut:
                connection.abort()
                return
            await self._pause(connection, faults)
            if connection.silent or faults.drop_to_server:
                continue
            connection.server.write(data)
            await connection.server.drain()
        await _half_close(connection.server)

    async def _to_client(
        self, connection: _Connection, reader: asyncio.StreamReader
    ) -> None:
        while data := await _read(reader):
            faults = self._faults_of(connection)
            await self._pause(connection, faults)
            if connection.silent or faults.drop_to_client:
                continue
            if faults.truncate_after is not None:
                left = faults.truncate_after - connection.sent_to_client
                data = data[: max(0, left)]
            connection.sent_to_client += len(data)
            connection.client.write(data)
            await connection.client.drain()
            if connection.sent_to_client == faults.truncate_after:
                connection.client.close()
                connection.server.transport.abort()
                return
        await _half_close(connection.client)

    async def _pause(self, connection: _Connection, faults: Faults) -> None:
        if faults.delay_s and connection.number % faults.delay_every == 0:
            await asyncio.sleep(faults.delay_s)

    def _identify(self, data: bytes) -> str:
        found = [
            (data.find(needle), source)
            for source, needle in self._needles
            if needle in data
        ]
        return min(found)[1] if found else UNKNOWN_SOURCE


def _needles(source: str) -> list[bytes]:
    """Return the source as MessagePack string and as ZMTP property."""
    name = source.encode()
    length = len(name).to_bytes(ZMTP_LENGTH_BYTES, 'big')
    return [msgspec.msgpack.encode(source), length + name]


async def _read(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        return b''


async def _half_close(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        if writer.can_write_eof():
            writer.write_eof()


class Proxies:
    """The proxies of a process by the name of their route."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self.by_name = {
            route.name: Proxy(route.target, route.sources) for route in routes
        }

    async def start(self) -> dict[str, str]:
        """Start all and return their addresses by name."""
        return {
            name: await proxy.start() for name, proxy in self.by_name.items()
        }

    def control(self, name: str, body: bytes) -> None:
        """Apply a command to one route.

        :raises KeyError: there is no such route.
        """
        command = msgspec.json.decode(body, type=Command)
        self.by_name[name].apply(command)

    def state(self) -> dict[str, int]:
        """Return the number of open connections of each route."""
        return {
            name: proxy.open_connections
            for name, proxy in self.by_name.items()
        }


async def run(settings: Settings) -> None:
    """Serve until cancelled."""
    proxies = Proxies(settings.routes)
    addresses = await proxies.start()
    control = await serving.listen(
        serving.control_app(proxies.control, proxies.state)
    )
    serving.write_ready(
        settings.ready, serving.Ready(control.address, addresses)
    )
    await asyncio.Event().wait()


if __name__ == '__main__':
    serving.main(Settings, run)
