"""HTTP connections of clients, with limits on what they occupy."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import functools
from typing import Any

import uvicorn
from uvicorn import server as uvicorn_server

from samphirestack.fleet import client_limits
from samphirestack_testing import waiting
from samphirestackd import client_protocol

LONGEST_WAIT_S = 40.0
GET = b'GET / HTTP/1.1\r\nHost: x\r\n'
POST = b'POST / HTTP/1.1\r\nHost: x\r\n'
OK = b'HTTP/1.1 200 OK\r\n'
BOUNDS = client_limits.Bounds(connections=3, input_bytes=100_000)


class App:
    """Answers a request after its body, and when it is released."""

    def __init__(self) -> None:
        self.scopes: list[dict[str, Any]] = []
        self.bodies: list[bytes] = []
        self.released = asyncio.Event()
        self.released.set()
        self.answer = b'{}'
        self.reads_body = True

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.scopes.append(scope)
        body, more = b'', self.reads_body
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message['body']
            more = message['more_body']
        self.bodies.append(body)
        await self.released.wait()
        length = str(len(self.answer)).encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', length)],
            }
        )
        await send({'type': 'http.response.body', 'body': self.answer})


class Served:
    """A listener with its application and the refusals that it counted."""

    def __init__(self, bounds: client_limits.Bounds) -> None:
        self.app = App()
        self.reasons: list[str] = []
        self.listener = client_protocol.Listener(
            'front', bounds, lambda _, reason: self.reasons.append(reason)
        )
        self.port = 0
        self._writers: list[asyncio.StreamWriter] = []

    @property
    def clients(self) -> client_limits.Clients:
        return self.listener.clients

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        count = len(self.clients)
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self._writers.append(writer)
        await self.until(
            lambda: len(self.clients) > count or bool(self.reasons)
        )
        return reader, writer

    async def until(self, condition: Any) -> None:
        await waiting.until(condition, LONGEST_WAIT_S, 'the state')

    def leave(self) -> None:
        self.app.released.set()
        for writer in self._writers:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def serving(
    bounds: client_limits.Bounds = BOUNDS,
) -> AsyncIterator[Served]:
    served = Served(bounds)
    protocol: Any = served.listener.protocol_class()
    config = uvicorn.Config(
        served.app,
        http=protocol,
        ws='none',
        lifespan='off',
        log_config=None,
        access_log=False,
    )
    config.load()
    loop = asyncio.get_running_loop()
    state = uvicorn_server.ServerState()
    server = await loop.create_server(
        functools.partial(protocol, config, state, {}, loop), '127.0.0.1', 0
    )
    served.port = server.sockets[0].getsockname()[1]
    try:
        yield served
    finally:
        served.leave()
        await served.until(lambda: not len(served.clients))
        server.close()
        assert served.clients.held_bytes == 0


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(LONGEST_WAIT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        return head + await reader.readexactly(2)


async def read_all(reader: asyncio.StreamReader) -> bytes:
    received = b''
    async with asyncio.timeout(LONGEST_WAIT_S):
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(1000):
                received += part
    return received


class TestOrdinaryClients:
    """Guards against limits that a client inside them meets."""

    async def test_requests_on_one_connection(self) -> None:
        async with serving() as served:
            reader, writer = await served.connect()
            for _ in range(3):
                writer.write(POST + b'Content-Length: 4\r\n\r\nbody')
                assert (await read_answer(reader)).startswith(OK)
                assert served.clients.held_bytes == 0
            assert served.app.bodies == [b'body'] * 3

    async def test_a_head_of_24_kb_byte_by_byte_and_at_once(self) -> None:
        request = GET + b'x-name: ' + b'v' * 24_000 + b'\r\n\r\n'
        async with serving() as served:
            reader, writer = await served.connect()
            writer.write(request)
            assert (await read_answer(reader)).startswith(OK)
            for start in range(0, len(request), 1000):
                writer.write(request[start : start + 1000])
                await writer.drain()
                await asyncio.sleep(0)
            assert (await read_answer(reader)).startswith(OK)

    async def test_a_body_as_large_as_the_budget_allows(self) -> None:
        body = b'v' * 90_000
        async with serving() as served:
            reader, writer = await served.connect()
            writer.write(POST + b'Content-Length: 90000\r\n\r\n' + body)
            assert (await read_answer(reader)).startswith(OK)
            assert served.app.bodies == [body]

    async def test_chunks_and_trailers(self) -> None:
        async with serving() as served:
            reader, writer = await served.connect()
            request = POST + b'Transfer-Encoding: chunked\r\n\r\n'
            request += b'1\r\nv\r\n' * 2000 + b'0\r\nx-name: value\r\n\r\n'
            writer.write(request)
            assert (await read_answer(reader)).startswith(OK)
            assert served.app.bodies == [b'v' * 2000]
            names = [name for name, _ in served.app.scopes[0]['headers']]
            assert b'x-name' not in names

    async def test_pipelined_requests_are_answered(self) -> None:
        count = client_limits.PIPELINED_REQUESTS
        async with serving() as served:
            reader, writer = await served.connect()
            writer.write((GET + b'\r\n') * count)
            for _ in range(count):
                assert (await read_answer(reader)).startswith(OK)


class TestRefusals:
    """Guards against refusals that are untrue or keep resources."""

    async def test_a_head_without_end_is_refused(self) -> None:
        async with serving() as served:
            reader, writer = await served.connect()
            writer.write(GET + b'x-name: ' + b'v' * 60_000)
            assert (await read_all(reader)).startswith(b'HTTP/1.1 431 ')
            assert served.reasons == ['head_too_large']

    async def test_trailers_without_end_are_refused(self) -> None:
        async with serving() as served:
            reader, writer = await served.connect()
            request = POST + b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
            writer.write(request + b'x-name: value\r\n' * 4000)
            assert (await read_all(reader)).startswith(b'HTTP/1.1 431 ')
            assert served.app.bodies == []

    async def test_the_oldest_unfinished_body_gives_way(self) -> None:
        request = POST + b'Content-Length: 70000\r\n\r\n' + b'v' * 60_000
        async with serving() as served:
            first_reader, first_writer = await served.connect()
            first_writer.write(request)
            await served.until(lambda: served.clients.held_bytes > 60_000)
            second_reader, second_writer = await served.connect()
            second_writer.write(request)
            refusal = await read_all(first_reader)
            assert refusal.startswith(b'HTTP/1.1 503 ')
            assert b'Retry-After: 1\r\n' in refusal
            second_writer.write(b'v' * 10_000)
            assert (await read_answer(second_reader)).startswith(OK)
            assert len(served.app.bodies) == 1

    async def test_a_newcomer_replaces_a_client_without_a_request(
        self,
    ) -> None:
        async with serving() as served:
            readers = [(await served.connect())[0] for _ in range(3)]
            reader, writer = await served.connect()
            writer.write(GET + b'\r\n')
            assert (await read_answer(reader)).startswith(OK)
            assert (await read_all(readers[0])).startswith(b'HTTP/1.1 503 ')
            assert served.reasons == ['too_many_connections']

    async def test_an_idle_connection_gives_way_in_silence(self) -> None:
        async with serving() as served:
            connections = [await served.connect() for _ in range(3)]
            for reader, writer in connections:
                writer.write(GET + b'\r\n')
                assert (await read_answer(reader)).startswith(OK)
            reader, writer = await served.connect()
            writer.write(GET + b'\r\n')
            assert (await read_answer(reader)).startswith(OK)
            assert await read_all(connections[0][0]) == b''

    async def test_a_newcomer_is_refused_if_all_wait_for_answers(
        self,
    ) -> None:
        async with serving() as served:
            served.app.released.clear()
            connections = [await served.connect() for _ in range(3)]
            for _, writer in connections:
                writer.write(GET + b'\r\n')
            await served.until(lambda: len(served.app.bodies) == 3)
            reader, _ = await served.connect()
            assert (await read_all(reader)).startswith(b'HTTP/1.1 503 ')
            served.app.released.set()
            for reader, _ in connections:
                assert (await read_answer(reader)).startswith(OK)

    async def test_nothing_is_said_of_a_request_in_progress(self) -> None:
        async with serving() as served:
            served.app.released.clear()
            reader, writer = await served.connect()
            writer.write(POST + b'Content-Length: 4\r\n\r\nbody')
            await served.until(lambda: len(served.app.bodies) == 1)
            writer.write(b'malformed\r\n\r\n')
            assert await read_all(reader) == b''

    async def test_nothing_is_said_of_a_request_that_may_have_run(
        self,
    ) -> None:
        async with serving() as served:
            served.app.released.clear()
            served.app.reads_body = False
            reader, writer = await served.connect()
            request = b'DELETE / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
            writer.write(request + b'\r\n0\r\n' + b'x-name: value\r\n' * 4000)
            assert await read_all(reader) == b''
            assert served.reasons == ['head_too_large']

    async def test_the_rest_of_an_answered_request_is_bounded(self) -> None:
        async with serving() as served:
            served.app.reads_body = False
            reader, writer = await served.connect()
            writer.write(POST + b'Content-Length: 9000000\r\n\r\n')
            assert (await read_answer(reader)).startswith(OK)
            writer.write(b'v' * 2 * client_limits.DISCARDED_BYTES)
            assert await read_all(reader) == b''
            assert served.reasons == ['rest_too_large']

    async def test_requests_ahead_of_an_answer_are_bounded(self) -> None:
        async with serving() as served:
            served.app.released.clear()
            reader, writer = await served.connect()
            count = client_limits.PIPELINED_REQUESTS + 2
            writer.write((GET + b'\r\n') * count)
            assert await read_all(reader) == b''
            assert served.reasons == ['pipeline']

    async def test_a_request_that_stands_still_is_refused(self) -> None:
        async with serving() as served:
            reader, writer = await served.connect()
            writer.write(POST)
            await served.until(lambda: served.clients.held_bytes > 0)
            loop = asyncio.get_running_loop()
            late = loop.time() + client_limits.REQUEST_S + 1
            (client,) = served.clients.overdue(late)
            served.listener.refuse(client, client_protocol.Reason.TIMEOUT)
            assert (await read_all(reader)).startswith(b'HTTP/1.1 408 ')
            assert served.reasons == ['timeout']

    async def test_a_client_that_reads_nothing_is_disconnected(self) -> None:
        async with serving() as served:
            served.app.answer = b'v' * 20_000_000
            _, writer = await served.connect()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(GET + b'\r\n')
            loop = asyncio.get_running_loop()
            late = loop.time() + client_limits.UNREAD_S + 1
            await served.until(lambda: bool(served.clients.overdue(late)))
            (client,) = served.clients.overdue(late)
            served.listener.refuse(client, client_protocol.Reason.TIMEOUT)
            await served.until(lambda: not len(served.clients))
