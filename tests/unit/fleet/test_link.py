"""Links between entries and the holder of the term."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import zmq.asyncio

from samphirestack.fleet import messages
from samphirestack import model
from samphirestackd.fleet import link

PORT_RANGE = range(27400, 27420)

PING = messages.Ping(model.VmId('vm'), 1, 'life', 0.0, 1.0)


class Peers:
    """A holder's listener and an entry's connection to it."""

    def __init__(self) -> None:
        self.context = zmq.asyncio.Context()
        self.received = asyncio.Event()
        self.disconnected = asyncio.Event()
        self.listener: link.Listener | None = None
        self.task: asyncio.Task[None] | None = None
        self.connection = link.Connection(
            self.context,
            'entry',
            lambda identity, message: None,
            self.disconnected.set,
        )

    def listen(self) -> str:
        for port in PORT_RANGE:
            address = f'127.0.0.1:{port}'
            try:
                self.listener = link.Listener(self.context, address)
            except zmq.ZMQError:
                continue
            self.task = asyncio.create_task(
                self.listener.run(lambda *_: self.received.set())
            )
            return address
        raise AssertionError('no port is free')

    def stop_listening(self) -> None:
        assert self.task is not None
        assert self.listener is not None
        self.task.cancel()
        self.listener.close()


@contextlib.asynccontextmanager
async def connected() -> AsyncIterator[Peers]:
    peers = Peers()
    address = peers.listen()
    peers.connection.open(address)
    peers.connection.send(PING)
    try:
        async with asyncio.timeout(10.0):
            await peers.received.wait()
            yield peers
    finally:
        peers.connection.close()
        peers.stop_listening()
        peers.context.destroy(0)


class TestConnection:
    """Guards against an entry that misses the end of the holder's process."""

    async def test_a_closed_listener_is_reported_at_once(self) -> None:
        async with connected() as peers:
            assert not peers.disconnected.is_set()
            peers.stop_listening()
            await peers.disconnected.wait()

    async def test_closing_the_connection_reports_no_disconnect(
        self,
    ) -> None:
        async with connected() as peers:
            address = peers.connection.address
            peers.received.clear()
            # The message arrives over the second connection, after the
            # listener has lost the first one.
            peers.connection.open(address)
            peers.connection.send(PING)
            await peers.received.wait()
            assert not peers.disconnected.is_set()


class TestMalformedMessages:
    """Guards against a message that ends the process of its receiver."""

    async def test_messages_after_malformed_ones_are_received(self) -> None:
        async with connected() as peers:
            peers.received.clear()
            assert peers.connection._socket is not None
            for frames in (
                [b''],
                [b'\xff'],
                [b'\x81\xa4type' + b'\x91' * 60_000],
                [b'a', b'b', b'c'],
            ):
                await peers.connection._socket.send_multipart(frames)
            peers.connection.send(PING)
            async with asyncio.timeout(10.0):
                await peers.received.wait()
            assert peers.task is not None
            assert not peers.task.done()
