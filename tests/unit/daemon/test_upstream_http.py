"""Tests of the verdicts of the upstream client, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import re
import socket

import pytest

from samphirestack import errors
from samphirestack import platform
from samphirestackd import upstream_http

CONNECTIONS = 4
ABORT = b'abort'
Client = upstream_http.HttpUpstreamClient


class _Server:
    """Server that answers each request with the next of ``answers``.

    :param answers: raw bytes, or ``ABORT`` to reset the connection.
    :param keep: whether the connection stays open after an answer.
    """

    def __init__(self, *answers: bytes, keep: bool = False) -> None:
        self.answers = list(answers)
        self.keep = keep
        self.accepted = self.open = self.most_open = 0
        self.bodies: list[bytes] = []
        self.arrivals: asyncio.Queue[None] = asyncio.Queue()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                length = re.search(rb'content-length: (\d+)', head.lower())
                if length:
                    body = await reader.readexactly(int(length[1]))
                    self.bodies.append(body)
                self.arrivals.put_nowait(None)
                await self._answer(writer)
        self.open -= 1
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        answer = self.answers.pop(0) if self.answers else b''
        if answer == ABORT:
            writer.transport.abort()
            return
        writer.write(answer)
        await writer.drain()
        if not self.keep:
            writer.close()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[str]:
        listener = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = listener.sockets[0].getsockname()
        async with listener:
            yield f'{host}:{port}'


@pytest.fixture
async def client() -> AsyncIterator[Client]:
    made = Client(lambda address: CONNECTIONS)
    yield made
    await made.close()


async def _work(
    client: Client, address: str, deadline_s: float = 5.0
) -> platform.UpstreamAnswer:
    return await client.work(address, 'r1', 't', 3, b'{"a":1}', deadline_s)


async def _verdict(
    client: Client, address: str, deadline_s: float = 5.0
) -> str:
    with pytest.raises(errors.UpstreamFailed) as caught:
        await _work(client, address, deadline_s)
    return caught.value.verdict.value


def _head(
    status: str = '200 OK', request_id: str = 'r1', **more: object
) -> bytes:
    lines = [f'HTTP/1.1 {status}']
    if request_id:
        lines.append(f'Samphirestack-Request-Id: {request_id}')
    lines += [f'{key.replace("_", "-")}: {val}' for key, val in more.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _refusal(request_id: str = 'r1', length: int = 0) -> bytes:
    verdict = {'Samphirestack_Verdict': 'not-run'}
    return _head('503 Busy', request_id, Content_Length=length, **verdict)


WHOLE = _head(Content_Length=2) + b'ok'
BROKEN_ANSWERS = {
    'nothing': b'',
    'reset': ABORT,
    'part of the status line': b'HTTP/1.1 20',
    'headers cut off': b'HTTP/1.1 200 OK\r\nSamphirestack-Requ',
    'headers only': _head(Content_Length=5),
    'part of the body': _head(Content_Length=5) + b'abc',
    'chunks cut off': _head(Transfer_Encoding='chunked') + b'3\r\nabc\r\n',
    'no framing': _head(Connection='close') + b'abc',
    'other request id': _head(request_id='r2', Content_Length=2) + b'ok',
    'no request id': _head(request_id='', Content_Length=2) + b'ok',
    'refusal of another request': _refusal('r2'),
    'refusal cut off': _refusal(length=9),
    'success that claims not-run': _refusal().replace(b'503 Busy', b'200 OK'),
    'garbage': b'\x00\x01\x02\r\n\r\n',
}


class TestVerdict:
    """Guards against wrong verdicts on calls that fail."""

    @pytest.mark.parametrize('point', BROKEN_ANSWERS)
    async def test_failure_after_sending_may_have_run(
        self, client: Client, point: str
    ) -> None:
        # Guards against a sent request that is reported as not run, and
        # against a partial answer that is returned.
        server = _Server(BROKEN_ANSWERS[point])
        async with server.running() as address:
            assert await _verdict(client, address) == 'may_have_run'
        assert server.bodies == [b'{"a":1}']

    async def test_refused_connection_is_not_run(self, client: Client) -> None:
        # Guards against a request that is not retried although it has not run.
        with socket.socket() as bound:
            bound.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{bound.getsockname()[1]}'
            assert await _verdict(client, address) == 'not_run'

    @pytest.mark.parametrize('request_id', ['r1', ''])
    async def test_own_refusal_is_not_run(
        self, client: Client, request_id: str
    ) -> None:
        # Guards against a refusal that is returned as an answer.
        async with _Server(_refusal(request_id)).running() as address:
            assert await _verdict(client, address) == 'not_run'

    async def test_refusal_without_id_on_a_reused_connection_may_have_run(
        self, client: Client
    ) -> None:
        # Guards against a late refusal of the previous request that is applied
        # to this one.
        server = _Server(WHOLE, _refusal(''), keep=True)
        async with server.running() as address:
            await _work(client, address)
            assert await _verdict(client, address) == 'may_have_run'

    async def test_silence_until_the_deadline_may_have_run(
        self, client: Client
    ) -> None:
        # Guards against a sent request that timed out counted as not run.
        async with _Server(keep=True).running() as address:
            assert await _verdict(client, address, 0.05) == 'may_have_run'

    async def test_wait_for_a_free_connection_is_not_run(
        self, client: Client
    ) -> None:
        # Guards against a queued request that is reported as sent, and
        # against more connections than the upstream allows.
        server = _Server(keep=True)
        async with server.running() as address:
            blocking = [
                asyncio.create_task(_work(client, address))
                for _ in range(CONNECTIONS - 1)
            ]
            for _ in blocking:
                await server.arrivals.get()
            assert await _verdict(client, address, 0.05) == 'not_run'
            for task in blocking:
                task.cancel()
            await asyncio.wait(blocking)
        assert server.most_open == CONNECTIONS - 1

    async def test_reused_connection_that_breaks_may_have_run(
        self, client: Client
    ) -> None:
        # Guards against an automatic resend on a stale idle connection.
        server = _Server(WHOLE, ABORT, keep=True)
        async with server.running() as address:
            assert (await _work(client, address)).body == b'ok'
            assert await _verdict(client, address) == 'may_have_run'
        assert (server.accepted, len(server.bodies)) == (1, 2)

    async def test_redirect_is_passed_on_and_not_followed(
        self, client: Client
    ) -> None:
        # Guards against a second send that the upstream requests.
        redirect = _head('307 Moved', Location='/work', Content_Length=0)
        server = _Server(redirect)
        async with server.running() as address:
            assert (await _work(client, address)).status == 307
        assert len(server.bodies) == 1


class TestStatus:
    """Status queries use connections of their own."""

    async def test_status_opens_a_new_connection_each_time(
        self, client: Client
    ) -> None:
        # Guards against queries over a connection that is no longer usable.
        body = b'{"slots":8,"active":[],"leaving":false}'
        answer = _head(Content_Length=len(body)) + body
        server = _Server(answer, answer, keep=True)
        async with server.running() as address:
            for _ in range(2):
                assert (await client.status(address)).slots == 8
        assert server.accepted == 2

    async def test_malformed_status_is_an_upstream_failure(
        self, client: Client
    ) -> None:
        # Guards against a decoding error that stops the caller's task.
        answer = _head(Content_Length=2) + b'[]'
        async with _Server(answer).running() as address:
            with pytest.raises(errors.UpstreamFailed):
                await client.status(address)
