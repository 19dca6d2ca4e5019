"""Reading of request bodies with limits on size, time and memory."""

import asyncio
from typing import Any
from typing import TypeVar

import msgspec

from samphirestack import errors
from samphirestackd.edge import exchange as exchanges

BODY_TIMEOUT_S = 10.0
"""Time limit for the arrival of a body."""

MAX_HELD_BODIES = 32
"""Memory limit for all held bodies, in bodies of the maximum size."""

MAX_REASON_CHARACTERS = 200
"""Limit on the length of a reason, which may quote names from the body."""

_T = TypeVar('_T')


class CallerDisconnected(Exception):
    """The caller closed the connection before its body was complete."""


class BodyReader:
    """Reads bodies and limits the memory that they use in total."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_held_bytes = max_bytes * MAX_HELD_BODIES
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Total size in bytes of the bodies held now."""
        return self._held_bytes

    async def read(self, exchange: exchanges.Exchange) -> None:
        """Read the body of a call; :meth:`release` must be called after use.

        :raises errors.BodyTooLarge: the body exceeds the size limit.
        :raises errors.QueueFull: too many bytes are held already.
        :raises errors.BadRequest: the body did not arrive in time.
        :raises CallerDisconnected: the connection was closed.
        """
        message = await exchange.receive()
        if not message.get('more_body') and message['type'] == 'http.request':
            self._store_body(exchange, message.get('body', b''))
            return
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await self._read_rest(exchange, message)
        except TimeoutError:
            raise errors.BadRequest(
                f'the body did not arrive within {BODY_TIMEOUT_S:g} s'
            ) from None

    def release(self, exchange: exchanges.Exchange) -> None:
        """Discard the body of a call."""
        self._held_bytes -= len(exchange.body)
        exchange.body = b''

    async def _read_rest(
        self, exchange: exchanges.Exchange, message: Any
    ) -> None:
        content = bytearray()
        reserved = 0
        try:
            while True:
                if message['type'] == 'http.disconnect':
                    raise CallerDisconnected
                chunk = message.get('body', b'')
                self._reserve(len(content) + len(chunk), len(chunk))
                reserved += len(chunk)
                content += chunk
                if not message.get('more_body'):
                    break
                message = await exchange.receive()
        finally:
            self._held_bytes -= reserved
        self._store_body(exchange, bytes(content))

    def _store_body(
        self, exchange: exchanges.Exchange, content: bytes
    ) -> None:
        self._reserve(len(content), len(content))
        exchange.body = content

    def _reserve(self, total: int, added: int) -> None:
        if total > self._max_bytes:
            raise errors.BodyTooLarge(
                f'the body must have at most {self._max_bytes} bytes'
            )
        if self._held_bytes + added > self._max_held_bytes:
            raise errors.QueueFull(
                f'this entry holds {self._held_bytes} bytes of requests '
                'already'
            )
        self._held_bytes += added


def decode(decoder: 'msgspec.json.Decoder[_T]', content: bytes) -> _T:
    """Decode and validate the JSON of a body.

    :raises errors.BadRequest: the body is not JSON of the expected type.
    """
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise errors.BadRequest(f'the body is not valid: {reason}') from None
    except RecursionError:
        raise errors.BadRequest('the body is nested too deeply') from None
