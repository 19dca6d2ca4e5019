"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
from urllib import parse

NO_ANSWER = object()
"""Result of a handler that leaves its call without an answer.

The connection stays open and delivers nothing further.
"""

REASONS = {200: 'OK', 400: 'Bad Request', 403: 'Forbidden',
           404: 'Not Found', 409: 'Conflict', 410: 'Gone',
           412: 'Precondition Failed', 421: 'Misdirected Request',
           429: 'Too Many Requests', 503: 'Service Unavailable'}


class Request:
    """A request as the server read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition('?')
        self.path = parse.unquote(path)
        self.query = dict(parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


Handler = Callable[[Request], Awaitable[object]]


async def _read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return lines[0], headers, body


class Server:
    """Serves one handler on one address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self, ip: str, port: int) -> None:
        """Listen.

        :raises OSError: the address can't be used.
        """
        self._server = await asyncio.start_server(
            self._serve, ip, port, backlog=2048, limit=1 << 24
        )

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(' ')
                result = await self._handler(
                    Request(method, target, headers, body)
                )
                if result is NO_ANSWER:
                    await reader.read()
                    return
                status, fields = result
                data = json.dumps(fields).encode()
                writer.write(
                    f'HTTP/1.1 {status} {REASONS.get(status, "-")}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout_s=4.0):
    """Return status and decoded body; the status is 0 without an answer."""
    ip, _, port = address.rpartition(':')
    data = json.dumps(body).encode() if body is not None else b''
    lines = [f'{method} {path} HTTP/1.1', 'Connection: close']
    if 'Host' not in (headers or {}):
        lines.append(f'Host: {address}')
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    if data:
        lines.append('Content-Type: application/json')
    if data or method != 'GET':
        lines.append(f'Content-Length: {len(data)}')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
            first, _, answer = await _read_message(reader)
            text = json.loads(answer) if answer else None
            return int(first.split(' ')[1]), text
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(Exception):
                await writer.wait_closed()
