"""Events of this process, ordered with those of other nodes."""

import collections
from collections.abc import Callable
import itertools
import time

import msgspec

from samphirestackd import lamport
from samphirestackd import logs
from samphirestackd import redaction

MAX_EVENTS_PER_READ = 5000
"""Maximum number of events that :meth:`EventLog.since` returns."""

RESERVED_FIELDS = frozenset({'at_s', 'clock', 'kind', 'monotonic_s', 'number'})
"""Fields that the log sets itself; a caller's field of the same name is
prefixed with ``field_``."""

Listener = Callable[[str, dict[str, object]], None]


class EventLog:
    """The newest events, numbered, each with its Lamport timestamp.

    Events are held as encoded JSON, which takes a fraction of the memory of
    their fields.

    :param max_events: bound on the number of events in memory.
    """

    def __init__(
        self,
        node: str,
        max_events: int,
        lamport_clock: lamport.LamportClock,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._node = node
        self._lamport = lamport_clock
        self._clock = clock
        self._wall_clock = wall_clock
        self._encoded: collections.deque[bytes] = collections.deque(
            maxlen=max_events
        )
        self._last_number = 0
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with the kind and fields of each event."""
        self._listeners.append(listener)

    def record(self, kind: str, **fields: str | int | float | bool) -> None:
        """Record an event, and log it.

        Fields are redacted before they are stored.
        """
        self._last_number += 1
        redacted = redaction.redact(dict(fields))
        for name in RESERVED_FIELDS & redacted.keys():
            redacted[f'field_{name}'] = redacted.pop(name)
        event = {
            'number': self._last_number,
            'clock': self._lamport.tick(),
            'at_s': self._wall_clock(),
            'monotonic_s': self._clock(),
            'node': self._node,
            'kind': kind,
            **redacted,
        }
        self._encoded.append(msgspec.json.encode(event))
        del event['node'], event['at_s']
        logs.info('event', **event)
        for listener in self._listeners:
            listener(kind, redacted)

    def since(self, number: int, limit: int) -> list[msgspec.Raw]:
        """Return events numbered above ``number``, oldest first, as JSON."""
        first = self._last_number - len(self._encoded) + 1
        skipped = max(0, number + 1 - first)
        count = min(
            limit, MAX_EVENTS_PER_READ, max(0, len(self._encoded) - skipped)
        )
        selected = itertools.islice(self._encoded, skipped, skipped + count)
        return [msgspec.Raw(encoded) for encoded in selected]
