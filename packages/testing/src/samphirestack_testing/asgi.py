"""Calls an ASGI application without a server."""

import asyncio
import json
from typing import Any

import msgspec
from starlette import types


class Reply(msgspec.Struct):
    """What the application sent."""

    status: int
    headers: dict[bytes, bytes]
    content: bytes

    @property
    def data(self) -> Any:
        """The content, decoded."""
        return json.loads(self.content)


async def call(
    app: types.ASGIApp,
    method: str,
    path: str,
    pieces: list[bytes] | object = b'',
    headers: dict[str, str] | None = None,
    query: str = '',
    gone: asyncio.Event | None = None,
) -> Reply:
    """Send a call whose body comes in pieces and return the reply.

    :param gone: when set, the caller's connection is broken.
    """
    if not isinstance(pieces, list):
        body = pieces if isinstance(pieces, bytes) else json.dumps(pieces)
        pieces = [body if isinstance(body, bytes) else body.encode()]
    left = list(pieces)
    sent: list[types.Message] = []

    async def receive() -> types.Message:
        if left:
            piece = left.pop(0)
            return {
                'type': 'http.request',
                'body': piece,
                'more_body': bool(left),
            }
        await (gone or asyncio.Event()).wait()
        return {'type': 'http.disconnect'}

    async def send(message: types.Message) -> None:
        sent.append(message)

    pairs = [
        (key.lower().encode('latin-1'), value.encode('latin-1'))
        for key, value in (headers or {}).items()
    ]
    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'headers': pairs,
        'query_string': query.encode('latin-1'),
        'root_path': '',
    }
    async with asyncio.timeout(10):
        await app(scope, receive, send)
    assert [part['type'] for part in sent] == [
        'http.response.start',
        'http.response.body',
    ]
    return Reply(sent[0]['status'], dict(sent[0]['headers']), sent[1]['body'])
