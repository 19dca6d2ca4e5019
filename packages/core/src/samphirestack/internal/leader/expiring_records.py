"""Records of recent events, used to recognize late messages about them."""

import math
from typing import Generic
from typing import TypeVar

_K = TypeVar('_K')


class ExpiringRecords(Generic[_K]):
    """Numbers by key that expire ``ttl_s`` seconds after they were added."""

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        self._records_by_key: dict[_K, tuple[int, float]] = {}

    def add(self, now: float, key: _K, number: int = 0) -> None:
        """Record ``key`` and the highest number added for it so far."""
        known, _ = self._records_by_key.pop(key, (number, now))
        self._records_by_key[key] = (max(known, number), now)
        self._expire(now)

    def number(self, key: _K) -> int | None:
        """Return the number recorded for ``key``, or ``None``."""
        recorded = self._records_by_key.get(key)
        return recorded[0] if recorded else None

    def recorded_at(self, key: _K) -> float:
        """Return when ``key`` was last added, or minus infinity."""
        recorded = self._records_by_key.get(key)
        return recorded[1] if recorded else -math.inf

    def clear(self) -> None:
        """Remove all records."""
        self._records_by_key.clear()

    def _expire(self, now: float) -> None:
        """Remove expired records; the dictionary is in order of addition."""
        while self._records_by_key:
            key = next(iter(self._records_by_key))
            if now - self._records_by_key[key][1] <= self._ttl_s:
                return
            del self._records_by_key[key]
