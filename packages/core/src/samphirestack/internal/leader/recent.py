"""Memory of what ended a short time ago, for messages that come late."""

import math
from typing import Generic
from typing import TypeVar

_K = TypeVar('_K')


class Recent(Generic[_K]):
    """Numbers by key that are forgotten after ``keep_s`` seconds."""

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._noted_by_key: dict[_K, tuple[int, float]] = {}

    def note(self, now: float, key: _K, number: int = 0) -> None:
        """Remember ``key``; a higher number replaces a lower one."""
        known, _ = self._noted_by_key.pop(key, (number, now))
        self._noted_by_key[key] = (max(known, number), now)
        self._forget(now)

    def number(self, key: _K) -> int | None:
        """Return the number noted for ``key``."""
        noted = self._noted_by_key.get(key)
        return noted[0] if noted else None

    def noted_at(self, key: _K) -> float:
        """Return when ``key`` was noted, long ago if it is not known."""
        noted = self._noted_by_key.get(key)
        return noted[1] if noted else -math.inf

    def clear(self) -> None:
        """Forget everything."""
        self._noted_by_key.clear()

    def _forget(self, now: float) -> None:
        """Drop old keys; dictionaries keep the order of insertion."""
        while self._noted_by_key:
            key = next(iter(self._noted_by_key))
            if now - self._noted_by_key[key][1] <= self._keep_s:
                return
            del self._noted_by_key[key]
