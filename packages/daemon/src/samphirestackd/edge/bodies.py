"""Reading of request bodies within bounds."""

import asyncio
from typing import Any
from typing import TypeVar

import msgspec

from samphirestack import errors
from samphirestackd.edge import exchange as exchanges

BODY_TIMEOUT_S = 10.0
"""A caller that sends its body more slowly is refused."""

MAX_HELD_BODIES = 32
"""Bodies of the largest size that may be held at the same time; smaller
ones count by their size."""

MAX_REASON_CHARACTERS = 200
"""A reason can repeat names from the body, which may be long."""

_T = TypeVar('_T')


class CallerDisconnected(Exception):
    """The caller closed the connection while it was sending its body."""


class BodyReader:
    """Reads bodies and bounds the memory that they take together."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_held_bytes = max_bytes * MAX_HELD_BODIES
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Size of all bodies that are held now."""
        return self._held_bytes

    async def read(self, exchange: exchanges.Exchange) -> None:
        """Read the body of a call; :meth:`release` must follow.

        :raises errors.BodyTooLarge: more bytes than allowed, announced or
            not.
        :raises errors.QueueFull: too many bodies are held already.
        :raises errors.BadRequest: it comes too slowly.
        :raises CallerGone: the connection broke.
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
        """Forget the body of a call."""
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
    """Return the typed content of a body.

    :raises errors.BadRequest: it is not JSON of the expected shape.
    """
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise errors.BadRequest(f'the body is not valid: {reason}') from None
    except RecursionError:
        raise errors.BadRequest('the body is nested too deeply') from None
