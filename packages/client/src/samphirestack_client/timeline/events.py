"""Events of all processes in causal order.

Each process counts a Lamport clock that is raised above the clock of every
message it receives.  So an event that could have caused another one has a
lower clock; wall clocks of different machines are shown but not trusted.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

_COMMON = frozenset({'clock', 'at_s', 'node', 'kind', 'number', 'fields'})
_LOG_ONLY = frozenset({'timestamp', 'message_type', 'level', 'monotonic_s'})
"""Fields that the log adds to an event; ``timestamp`` is its wall clock."""

_REQUEST = 'request_id'
_JOB = 'job_id'
_TEAM = 'team'
_WORKER = 'worker_id'


class Event(msgspec.Struct, frozen=True):
    """One event of one process."""

    clock: int
    node: str
    number: int
    kind: str
    at_s: float = 0.0
    """Wall-clock time at the process."""
    fields: dict[str, Any] = {}

    @property
    def order(self) -> tuple[int, str, int]:
        """Key that sorts events so that causes come first."""
        return self.clock, self.node, self.number


class Selection(msgspec.Struct, frozen=True):
    """Which events are wanted; an empty field selects all."""

    request: str = ''
    job: str = ''
    team: str = ''
    worker: str = ''
    kind: str = ''
    since_s: float = float('-inf')
    until_s: float = float('inf')

    def takes(self, event: Event) -> bool:
        """Return whether an event is wanted."""
        fields = event.fields
        tasks = str(fields.get('task_id', '')).partition('/')[0]
        return (
            self.since_s <= event.at_s <= self.until_s
            and event.kind.startswith(self.kind)
            and self.request in ('', fields.get(_REQUEST))
            and self.job in ('', fields.get(_JOB), tasks)
            and self.team in ('', fields.get(_TEAM))
            and self.worker in ('', fields.get(_WORKER))
        )


def parse(data: object) -> Event | None:
    """Return the event in decoded JSON, ``None`` if it is something else.

    Log files hold other lines as well.  Fields of the event stand beside
    the common ones or in ``fields``.
    """
    if not isinstance(data, dict):
        return None
    nested = data.get('fields')
    fields = dict(nested) if isinstance(nested, dict) else {}
    known = _COMMON | _LOG_ONLY
    fields |= {key: val for key, val in data.items() if key not in known}
    if 'at_s' not in data and 'timestamp' in data:
        data = data | {'at_s': data['timestamp']}
    common = {key: data[key] for key in _COMMON - {'fields'} if key in data}
    try:
        return msgspec.convert(common | {'fields': fields}, Event)
    except msgspec.ValidationError:
        return None


def parse_lines(lines: Iterable[bytes]) -> Iterator[Event]:
    """Yield the events among lines of JSON."""
    for line in lines:
        try:
            event = parse(msgspec.json.decode(line))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            continue
        if event is not None:
            yield event


def merge(found: Iterable[Event], selection: Selection) -> list[Event]:
    """Return the wanted events in causal order, each one once.

    The same event can come from a node and from its log file.
    """
    unique = {
        (event.node, event.clock, event.number, event.kind): event
        for event in found
        if selection.takes(event)
    }
    return sorted(unique.values(), key=lambda event: event.order)
