"""Tests of the proxy that injects faults."""

import asyncio
import gc
import socket
import struct

from samphirestack_testing import faultproxy

LINGER_RESET = struct.pack('ii', 1, 0)


class TestBrokenConnections:
    """Guards against errors that hide the findings of a soak."""

    async def test_a_reset_during_a_blocked_write_is_no_error(self) -> None:
        errors: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: errors.append(context)
        )
        blocked = asyncio.Event()

        async def send_until_broken(
            _: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    writer.write(b'x' * faultproxy.CHUNK_BYTES)
                    try:
                        async with asyncio.timeout(0.2):
                            await writer.drain()
                    except TimeoutError:
                        blocked.set()
            except OSError:
                pass

        server = await asyncio.start_server(send_until_broken, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        proxy = faultproxy.Proxy(f'{host}:{port}')
        proxy_host, _, proxy_port = (await proxy.start()).rpartition(':')
        client = socket.create_connection((proxy_host, int(proxy_port)))
        async with asyncio.timeout(30.0):
            await blocked.wait()
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
            client.close()
            while proxy.open_connections:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await proxy.close()
        server.close()
        gc.collect()
        assert errors == []
