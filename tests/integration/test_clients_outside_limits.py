"""Entry processes beside crowds of clients that ignore the limits."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import itertools
import pathlib

import msgspec
import pytest
import pytest_asyncio

from samphirestack_platform_standin import deployment as deployments
from samphirestack_testing import waiting

LONGEST_WAIT_S = 40.0
MEMORY_MB = 120
FILE_DESCRIPTORS = 512
LIMITS = f'memory_mb = {MEMORY_MB}\nfile_descriptors = {FILE_DESCRIPTORS}\n'
MAX_BODY_BYTES = 262_144

SENDERS = 20
SENDER_BYTES = 16 * 1024 * 1024
"""Sent by each client, unless the entry closes the connection before."""

PIPELINED_BYTES = 1024 * 1024
"""Sent by each client with small requests, which occupy far more memory."""

PIECE_BYTES = 64 * 1024
HOLDERS = 400
"""Clients whose bodies stop short of their end."""

HELD_BODY_BYTES = 260_000
SENT_BODY_BYTES = HELD_BODY_BYTES - 100
BODY_PIECES = 4
STEPS = 4000
"""Steps of a job whose body is about as large as the limit."""

IDLERS = 600
"""Clients that open a connection and complete no request."""

SAMPLE_INTERVAL_S = 0.02
OBSERVED_SAMPLES = 100

HEAD = (
    b'POST /batch/%016x HTTP/1.1\r\nHost: jobs.example\r\nApi-Key: '
    + deployments.KEY.encode()
    + b'\r\n'
)
HEADER = b'x-name: ' + b'value' * 20 + b'\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n'
STEP = {
    'count': 1,
    'cpu': 1000,
    'memory_request_mb': 64,
    'estimated_ms': 100,
}
JOB = {'specification': 'run_ms=100', 'steps': [STEP]}
LARGE_JOB = {'specification': 'run_ms=100', 'steps': [STEP] * STEPS}

Address = str


def repeated(line: bytes) -> bytes:
    return line * (PIECE_BYTES // len(line))


def endless(
    first: bytes, line: bytes, size: int = SENDER_BYTES
) -> Iterator[bytes]:
    """Return pieces of about ``size`` bytes in all."""
    piece = repeated(line)
    yield first
    yield from itertools.repeat(piece, size // len(piece))


def body_pieces(number: int, pieces: int) -> Iterator[bytes]:
    """Return a request whose body stops just short of its end."""
    yield HEAD % number + b'Content-Length: %d\r\n\r\n' % HELD_BODY_BYTES
    yield from itertools.repeat(b' ' * (SENT_BODY_BYTES // pieces), pieces)


class Crowd:
    """Connections of clients, which stay open until the crowd leaves."""

    def __init__(self, address: Address) -> None:
        self._host, _, self._port = address.rpartition(':')
        self._writers: list[asyncio.StreamWriter] = []

    async def connect(self) -> asyncio.StreamWriter | None:
        """Open a connection; return ``None`` if it is refused."""
        try:
            _, writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            return None
        self._writers.append(writer)
        return writer

    async def send(self, pieces: Iterator[bytes]) -> None:
        """Send until the pieces end or the entry closes the connection."""
        writer = await self.connect()
        if writer is None:
            return
        with contextlib.suppress(OSError):
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)

    async def send_all(self, clients: list[Iterator[bytes]]) -> None:
        """Let each client send; then those that the entry lets wait give up.

        Their connections stay open.
        """
        tasks = [asyncio.create_task(self.send(one)) for one in clients]
        _, waiting_tasks = await asyncio.wait(tasks, timeout=LONGEST_WAIT_S)
        for task in waiting_tasks:
            task.cancel()

    async def leave(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


class Watch:
    """Memory and descriptors of a process."""

    def __init__(self, process_id: int) -> None:
        self._folder = pathlib.Path(f'/proc/{process_id}')
        self.most_descriptors = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            self.count()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def observe(self) -> None:
        """Go on for a while, since connections are accepted late."""
        for _ in range(OBSERVED_SAMPLES):
            self.count()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def count(self) -> None:
        """Count the open descriptors."""
        with contextlib.suppress(OSError):
            number = sum(1 for _ in (self._folder / 'fd').iterdir())
            self.most_descriptors = max(self.most_descriptors, number)

    def peak_mb(self) -> float:
        """Return the largest resident size of the process so far."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / 1024
        raise AssertionError('the process has ended')

    def stop(self) -> None:
        """Stop counting."""
        self._task.cancel()


@pytest_asyncio.fixture
async def deployment(
    tmp_path: pathlib.Path,
) -> AsyncIterator[deployments.Deployment]:
    async with deployments.Deployment(
        tmp_path, entries=1, worker_count=1, limits=LIMITS
    ) as one:
        one.store.put(
            'op',
            'config',
            deployments.configuration(2, max_body_bytes=MAX_BODY_BYTES),
        )
        await waiting.until(
            lambda: one.ready(one.entries[0]), LONGEST_WAIT_S, 'entry'
        )
        await waiting.until(one.holder_name, LONGEST_WAIT_S, 'a holder')
        yield one


def address_of(entry: deployments.Entry, listener: str) -> Address:
    return {
        'front': entry.front,
        'ready': entry.ready,
        'metrics': f'127.0.0.1:{entry.metrics_port}',
        'peers': f'127.0.0.1:{entry.peer_port}',
    }[listener]


async def assert_serves(deployment: deployments.Deployment) -> None:
    """Check that a submission is accepted, and its job known afterwards."""
    entry = deployment.entries[0]
    path = f'/batch/{0xABCDEF:016x}'

    async def accepted() -> bool:
        status, _ = await deployment.call(entry, 'POST', path, JOB)
        # Without an answer in time, clients retry as well.
        assert status in (0, 200, 503)
        return status == 200

    await waiting.until(accepted, LONGEST_WAIT_S, 'an accepted job')
    status, _ = await deployment.call(entry, 'GET', path)
    assert status == 200


async def assert_withstands(
    deployment: deployments.Deployment,
    clients: list[Iterator[bytes]],
    listener: str = 'front',
) -> None:
    """Check the process while a crowd sends and holds its connections."""
    entry = deployment.entries[0]
    assert entry.process is not None
    watch = Watch(entry.process.pid)
    crowd = Crowd(address_of(entry, listener))
    try:
        await crowd.send_all(clients)
        await watch.observe()
        assert entry.process.returncode is None
        await assert_serves(deployment)
        await crowd.leave()
        await assert_serves(deployment)
        peak_mb = watch.peak_mb()
    finally:
        watch.stop()
        await crowd.leave()
    print(f'peak {peak_mb:.0f} MB, {watch.most_descriptors} descriptors')
    assert peak_mb <= MEMORY_MB
    assert watch.most_descriptors <= FILE_DESCRIPTORS


@pytest.mark.parametrize('listener', ['front', 'ready', 'metrics'])
class TestHeads:
    """Guards against heads whose size nothing bounds."""

    async def test_many_headers_without_end(
        self, deployment: deployments.Deployment, listener: str
    ) -> None:
        clients = [
            endless(b'GET / HTTP/1.1\r\n', HEADER) for _ in range(SENDERS)
        ]
        await assert_withstands(deployment, clients, listener)

    async def test_one_header_without_end(
        self, deployment: deployments.Deployment, listener: str
    ) -> None:
        clients = [
            endless(b'GET / HTTP/1.1\r\nx-name: ', b'value')
            for _ in range(SENDERS)
        ]
        await assert_withstands(deployment, clients, listener)

    async def test_a_path_without_end(
        self, deployment: deployments.Deployment, listener: str
    ) -> None:
        clients = [endless(b'GET /', b'path') for _ in range(SENDERS)]
        await assert_withstands(deployment, clients, listener)

    async def test_empty_lines_without_end(
        self, deployment: deployments.Deployment, listener: str
    ) -> None:
        clients = [endless(b'\r\n', b'\r\n') for _ in range(SENDERS)]
        await assert_withstands(deployment, clients, listener)


class TestTrailers:
    """Guards against trailers whose size nothing bounds."""

    async def test_many_trailers_without_end(
        self, deployment: deployments.Deployment
    ) -> None:
        clients = [
            endless(CHUNKED % number, HEADER) for number in range(SENDERS)
        ]
        await assert_withstands(deployment, clients)

    async def test_one_trailer_without_end(
        self, deployment: deployments.Deployment
    ) -> None:
        clients = [
            endless(CHUNKED % number + b'x-name: ', b'value')
            for number in range(SENDERS)
        ]
        await assert_withstands(deployment, clients)


class TestBodies:
    """Guards against memory for bodies in proportion to the connections."""

    async def test_whole_bodies_that_stop_short_of_their_end(
        self, deployment: deployments.Deployment
    ) -> None:
        clients = [body_pieces(number, 1) for number in range(HOLDERS)]
        await assert_withstands(deployment, clients)

    async def test_bodies_in_pieces_that_stop_short_of_their_end(
        self, deployment: deployments.Deployment
    ) -> None:
        clients = [
            body_pieces(number, BODY_PIECES) for number in range(HOLDERS)
        ]
        await assert_withstands(deployment, clients)

    async def test_complete_bodies_at_once(
        self, deployment: deployments.Deployment
    ) -> None:
        body = msgspec.json.encode(LARGE_JOB)
        assert HELD_BODY_BYTES <= len(body) <= MAX_BODY_BYTES
        head = HEAD + b'Content-Length: %d\r\n\r\n' % len(body)
        clients = [iter([head % number + body]) for number in range(HOLDERS)]
        await assert_withstands(deployment, clients)


class TestPipelines:
    """Guards against requests that are read ahead of their answers."""

    async def test_pipelined_requests_without_end(
        self, deployment: deployments.Deployment
    ) -> None:
        line = b'GET /batch/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n'
        clients = [
            endless(line, line, PIPELINED_BYTES) for _ in range(SENDERS)
        ]
        await assert_withstands(deployment, clients)


@pytest.mark.parametrize('listener', ['front', 'ready', 'metrics', 'peers'])
class TestConnections:
    """Guards against connections whose number nothing bounds."""

    async def test_connections_without_a_request(
        self, deployment: deployments.Deployment, listener: str
    ) -> None:
        clients: list[Iterator[bytes]] = [iter(()) for _ in range(IDLERS)]
        await assert_withstands(deployment, clients, listener)

    async def test_heads_that_stop_short_of_their_end(
        self, deployment: deployments.Deployment, listener: str
    ) -> None:
        clients: list[Iterator[bytes]] = [
            iter([b'GET / HTTP/1.1\r\nHost: jobs.example\r\n'])
            for _ in range(IDLERS)
        ]
        await assert_withstands(deployment, clients, listener)


class TestPeers:
    """Guards against messages of strangers on the links between entries."""

    # Signature and version of ZMTP 3.0 with the NULL mechanism, and READY.
    GREETING = b'\xff' + b'\x00' * 8 + b'\x7f\x03\x00NULL' + b'\x00' * 48
    READY = b'\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER'

    async def test_a_frame_without_end(
        self, deployment: deployments.Deployment
    ) -> None:
        first = self.GREETING + self.READY
        frame = b'\x02' + (2**40).to_bytes(8, 'big')
        clients = [endless(first + frame, b'x') for _ in range(SENDERS)]
        await assert_withstands(deployment, clients, 'peers')

    async def test_frames_without_end(
        self, deployment: deployments.Deployment
    ) -> None:
        first = self.GREETING + self.READY
        frame = b'\x03' + (1000).to_bytes(8, 'big') + b'x' * 1000
        clients = [endless(first, frame) for _ in range(SENDERS)]
        await assert_withstands(deployment, clients, 'peers')
