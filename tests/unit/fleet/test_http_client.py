"""Connections of the client for many small calls, and the store behind it."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import msgspec
import pytest

from samphirestack import errors
from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_platform import store as stores
from samphirestack_platform import workers
from samphirestack_testing import fleet_world as worlds
from samphirestackd import http_client

TIMEOUT_S = 10.0
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'


class Server:
    """Server that answers every call with ``RESPONSE``, if not changed."""

    def __init__(self) -> None:
        self.calls = 0
        self.response = RESPONSE
        self._connections: set[asyncio.Task[None]] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        await reader.readexactly(int(line.split(b':')[1]))
                self.calls += 1
                writer.write(self.response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def close(self) -> None:
        """Close all connections before the event loop ends."""
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[tuple[Server, str]]:
    server = Server()
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        yield server, f'127.0.0.1:{port}'
    finally:
        listener.close()
        await server.close()


class TestIdleConnections:
    """Guards against idle connections that use up the file descriptors.

    A holder with thousands of workers keeps a call to each in progress; with
    several idle connections to each as well it can accept no client.
    """

    async def test_all_servers_together_keep_a_bounded_number(self) -> None:
        client = http_client.HttpClient(max_idle=3)
        async with contextlib.AsyncExitStack() as stack:
            addresses = [
                (await stack.enter_async_context(serving()))[1]
                for _ in range(5)
            ]
            for address in addresses:
                await client.call(address, 'GET', '/', timeout_s=TIMEOUT_S)
            kept = [
                address
                for address, idle in client._idle_by_address.items()
                if idle
            ]
            assert kept == addresses[-3:]
            assert len(client._addresses_by_idle) == 3
            client.close()
            assert not client._addresses_by_idle

    async def test_a_connection_in_use_is_not_counted_as_idle(self) -> None:
        client = http_client.HttpClient(max_idle=1)
        async with serving() as (_, address):
            for _ in range(3):
                await client.call(address, 'GET', '/', timeout_s=TIMEOUT_S)
                assert len(client._addresses_by_idle) == 1
            client.forget(address)
            assert not client._addresses_by_idle


class TestPermission:
    """Guards against an order on a permission that has run out meanwhile.

    Connecting takes a while, and the process may be paused in between.
    """

    async def test_nothing_is_sent_after_the_permission_has_expired(
        self,
    ) -> None:
        client = http_client.HttpClient()
        async with serving() as (server, address):
            with pytest.raises(http_client.PermissionExpired):
                await client.call(
                    address,
                    'POST',
                    '/',
                    timeout_s=TIMEOUT_S,
                    may_send=lambda: False,
                )
            await client.call(address, 'GET', '/', timeout_s=TIMEOUT_S)
            assert server.calls == 1
            client.close()

    async def test_an_outdated_hold_call_is_not_sent(self) -> None:
        client = http_client.HttpClient()
        async with serving() as (server, address):
            entry = msgspec.structs.replace(
                worlds.make_worker('w0'), address=address
            )
            with pytest.raises(errors.CallOutdated):
                await workers.Workers(client).hold(
                    entry, 1, 0, None, 0.0, lambda: False
                )
            assert not server.calls
            client.close()

    async def test_the_order_counts_as_not_sent(self) -> None:
        client = http_client.HttpClient()
        async with serving() as (server, address):
            port = workers.Workers(client)
            order = ports.TaskOrder(
                model.TaskId('5c0e7a21d94b36f8.0.0.0'),
                specs.RunNumber(1),
                'payload',
                specs.NO_CHECKPOINT,
                '',
            )
            entry = msgspec.structs.replace(
                worlds.make_worker('w'), address=address
            )
            outcome = await port.start(entry, order, 1, 1000, lambda: False)
            assert outcome is specs.StartOutcome.NOT_SENT
            assert not server.calls
            outcome = await port.start(entry, order, 1, 1000, lambda: True)
            assert outcome is specs.StartOutcome.STARTED
            client.close()


class TestStoreAnswers:
    """Guards against a malformed answer that ends the process."""

    async def test_a_write_with_a_malformed_answer_may_have_happened(
        self,
    ) -> None:
        client = http_client.HttpClient()
        async with serving() as (_, address):
            store = stores.Store(client, address)
            with pytest.raises(errors.OutcomeUnknown):
                await store.transact([], [ports.Put('t', 'k', b'v')])
            client.close()


class TestMalformedServers:
    """Guards against a server whose address or answer ends its caller."""

    @pytest.mark.parametrize(
        'address',
        ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1', 'x' * 99 + ':80'],
    )
    async def test_a_malformed_address_cannot_be_reached(
        self, address: str
    ) -> None:
        client = http_client.HttpClient()
        with pytest.raises(http_client.NotSent):
            await client.call(address, 'GET', '/', timeout_s=TIMEOUT_S)
        assert not await http_client.refuses_connections(address)

    @pytest.mark.parametrize(
        'response',
        [
            b'no HTTP\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 20000000\r\n\r\n'
            + b'x' * 17_000_000,
        ],
        ids=['no-http', 'length', 'large'],
    )
    async def test_a_malformed_answer_is_none(self, response: bytes) -> None:
        client = http_client.HttpClient()
        async with serving() as (server, address):
            server.response = response
            with pytest.raises(http_client.NoAnswer):
                await client.call(address, 'GET', '/', timeout_s=TIMEOUT_S)
            server.response = RESPONSE
            answer = await client.call(
                address, 'GET', '/', timeout_s=TIMEOUT_S
            )
            assert answer.status == 200
        client.close()

    async def test_an_upgrade_is_no_success(self) -> None:
        client = http_client.HttpClient()
        async with serving() as (server, address):
            server.response = (
                b'HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: y\r\n\r\n'
            )
            for _ in range(2):
                answer = await client.call(
                    address, 'GET', '/', timeout_s=TIMEOUT_S
                )
                assert answer.status == 101
        client.close()
