"""Tests of the verdicts of the upstream client, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import re
import socket

import pytest

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd import upstream_http

Script = Callable[
    [int, bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
CONNECTIONS = 4
DEADLINE_S = 5.0


class _Server:
    """Runs a script for each connection and notes what it received."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.address = ''
        self.accepted = 0
        self.open = 0
        self.most_open = 0
        self.bodies: list[bytes] = []
        self.arrivals: asyncio.Queue[None] = asyncio.Queue()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        number = self.accepted
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                length = re.search(rb'content-length: (\d+)', head.lower())
                if length:
                    self.bodies.append(
                        await reader.readexactly(int(length[1]))
                    )
                self.arrivals.put_nowait(None)
                await self.script(number, head, reader, writer)
        self.open -= 1
        writer.close()


@contextlib.asynccontextmanager
async def _running(script: Script) -> AsyncIterator[_Server]:
    server = _Server(script)
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    host, port = listener.sockets[0].getsockname()
    server.address = f'{host}:{port}'
    async with listener:
        yield server


@pytest.fixture
async def client() -> AsyncIterator[upstream_http.HttpUpstreamClient]:
    made = upstream_http.HttpUpstreamClient(lambda address: CONNECTIONS)
    yield made
    await made.close()


async def _work(
    client: upstream_http.HttpUpstreamClient,
    address: str,
    deadline_s: float = DEADLINE_S,
    request_id: str = 'r1',
) -> platform.UpstreamAnswer:
    return await client.work(
        address,
        model.RequestId(request_id),
        model.TeamId('t'),
        model.Epoch(3),
        b'{"a":1}',
        deadline_s,
    )


def _answering(*chunks: bytes, close: bool = True) -> Script:
    async def script(
        number: int,
        head: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for chunk in chunks:
            writer.write(chunk)
        with contextlib.suppress(OSError):
            await writer.drain()
        if close:
            writer.close()

    return script


def _head(
    status: str = '200 OK', request_id: str = 'r1', **more: str
) -> bytes:
    lines = [f'HTTP/1.1 {status}', f'Samphirestack-Request-Id: {request_id}']
    lines += [f'{key.replace("_", "-")}: {val}' for key, val in more.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


BROKEN_ANSWERS = {
    'nothing': (),
    'part of the status line': (b'HTTP/1.1 20',),
    'headers cut off': (b'HTTP/1.1 200 OK\r\nSamphirestack-Requ',),
    'headers only': (_head(Content_Length='5'),),
    'part of the body': (_head(Content_Length='5'), b'abc'),
    'chunks without the last': (
        _head(Transfer_Encoding='chunked'),
        b'3\r\nabc\r\n',
    ),
    'no framing': (_head(Connection='close'), b'abc'),
    'other request id': (_head(request_id='r2', Content_Length='2'), b'ok'),
    'no request id': (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',),
    'refusal of another request': (
        _head(
            '503 Busy',
            'r2',
            Samphirestack_Verdict='not-run',
            Content_Length='0',
        ),
    ),
    'refusal cut off': (
        _head('503 Busy', Samphirestack_Verdict='not-run', Content_Length='9'),
    ),
    'success that claims not-run, cut off': (
        _head(Samphirestack_Verdict='not-run', Content_Length='9'),
    ),
    'garbage': (b'\x00\x01\x02\r\n\r\n',),
}


class TestVerdict:
    """Each way in which a call can fail has the right verdict."""

    @pytest.mark.parametrize('point', BROKEN_ANSWERS)
    async def test_break_after_sending_may_have_run(
        self, client: upstream_http.HttpUpstreamClient, point: str
    ) -> None:
        # Guards against a sent request that is reported as not run, and
        # against a partial answer that is passed on.
        async with _running(_answering(*BROKEN_ANSWERS[point])) as server:
            with pytest.raises(errors.UpstreamFailed) as caught:
                await _work(client, server.address)
        assert caught.value.verdict.value == 'may_have_run'
        assert server.bodies == [b'{"a":1}']

    async def test_refused_connection_is_not_run(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against a request that is given up although nothing ran.
        with socket.socket() as bound:
            bound.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{bound.getsockname()[1]}'
            with pytest.raises(errors.UpstreamRefused) as caught:
                await _work(client, address)
        assert caught.value.verdict.value == 'not_run'

    async def test_own_refusal_is_not_run(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against an upstream's refusal that is taken as an answer.
        refusal = _head(
            '503 Busy', Samphirestack_Verdict='not-run', Content_Length='0'
        )
        async with _running(_answering(refusal)) as server:
            with pytest.raises(errors.UpstreamRefused) as caught:
                await _work(client, server.address)
        assert caught.value.verdict.value == 'not_run'

    async def test_silence_until_the_deadline_may_have_run(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against a time-out of a sent request counted as not run.
        async with _running(_answering(close=False)) as server:
            with pytest.raises(errors.UpstreamFailed) as caught:
                await _work(client, server.address, 0.05)
        assert caught.value.verdict.value == 'may_have_run'

    async def test_wait_for_a_free_connection_is_not_run(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against a queued request that is reported as sent.
        async with _running(_answering(close=False)) as server:
            blocking = [
                asyncio.create_task(_work(client, server.address))
                for _ in range(CONNECTIONS - 1)
            ]
            for _ in blocking:
                await server.arrivals.get()
            with pytest.raises(errors.UpstreamRefused) as caught:
                await _work(client, server.address, 0.05)
            for task in blocking:
                task.cancel()
            await asyncio.gather(*blocking, return_exceptions=True)
        assert caught.value.verdict.value == 'not_run'
        assert server.most_open == CONNECTIONS - 1

    async def test_reused_connection_that_breaks_may_have_run(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against a silent second send on a stale idle connection.
        count = 0

        async def script(
            number: int,
            head: bytes,
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            nonlocal count
            count += 1
            if count == 1:
                writer.write(_head(Content_Length='2') + b'ok')
            else:
                writer.transport.abort()

        async with _running(script) as server:
            assert (await _work(client, server.address)).body == b'ok'
            with pytest.raises(errors.UpstreamFailed) as caught:
                await _work(client, server.address)
        assert caught.value.verdict.value == 'may_have_run'
        assert (server.accepted, len(server.bodies)) == (1, 2)

    async def test_redirect_is_passed_on_and_not_followed(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against a second send that the upstream asks for.
        redirect = _head('307 Moved', Location='/work', Content_Length='0')
        async with _running(_answering(redirect)) as server:
            assert (await _work(client, server.address)).status == 307
        assert len(server.bodies) == 1


class TestStatus:
    """The status is asked on a connection of its own."""

    async def test_status_opens_a_new_connection_each_time(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against asking over a connection that went silent.
        body = b'{"slots":8,"active":[],"leaving":false}'
        answer = _head(Content_Length=str(len(body))) + body
        async with _running(_answering(answer, close=False)) as server:
            for _ in range(2):
                assert (await client.status(server.address)).slots == 8
        assert server.accepted == 2

    async def test_malformed_status_is_an_upstream_failure(
        self, client: upstream_http.HttpUpstreamClient
    ) -> None:
        # Guards against a decoding error that ends the caller's task.
        answer = _head(Content_Length='2') + b'[]'
        async with _running(_answering(answer)) as server:
            with pytest.raises(errors.UpstreamFailed):
                await client.status(server.address)
