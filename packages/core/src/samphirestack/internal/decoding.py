"""Decoders of input that may come from any writer."""

from collections.abc import Callable
from typing import Annotated
from typing import TypeVar

import msgspec

T = TypeVar('T')

MAX_INTEGER = 2**53
"""Larger numbers are not exact in JSON, and too large ones can't be encoded
again."""

MAX_NUMBER = 1e15

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""A whole number that may be stored and sent again."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A finite number; MessagePack has others."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A finite number that isn't negative."""


def json_decoder(kind: type[T]) -> Callable[[bytes], T]:
    """Return a function that decodes JSON.

    It raises ``msgspec.DecodeError`` for everything that is no such value.
    """
    return _guarded(msgspec.json.Decoder(kind).decode)


def msgpack_decoder(kind: type[T]) -> Callable[[bytes], T]:
    """Return a function that decodes MessagePack.

    It raises ``msgspec.DecodeError`` for everything that is no such value.
    """
    return _guarded(msgspec.msgpack.Decoder(kind).decode)


def _guarded(decode: Callable[[bytes], T]) -> Callable[[bytes], T]:
    def decode_or_fail(data: bytes) -> T:
        try:
            return decode(data)
        except RecursionError as error:
            # Also values that are skipped are parsed recursively.
            raise msgspec.DecodeError('it is nested too deeply') from error

    return decode_or_fail
