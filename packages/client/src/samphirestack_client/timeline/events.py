"""Events of all processes in causal order.

Each process keeps a Lamport clock, which it raises above the clock of every
message that it receives.  An event that could have caused another one thus
has a lower clock.  Wall clocks of different machines disagree, so they are
shown but do not order events.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

_EVENT_FIELDS = frozenset(
    {'clock', 'at_s', 'node', 'kind', 'number', 'fields'}
)
_LOG_FIELDS = frozenset({'timestamp', 'message_type', 'level', 'monotonic_s'})
"""Fields that the log adds to an event; ``timestamp`` is its wall clock."""

_REQUEST_FIELD = 'request_id'
_JOB_FIELD = 'job_id'
_TEAM_FIELD = 'team'
_WORKER_FIELD = 'worker_id'


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
    """Filter of events; an empty field matches all."""

    request: str = ''
    job: str = ''
    team: str = ''
    worker: str = ''
    kind: str = ''
    since_s: float = float('-inf')
    until_s: float = float('inf')

    def matches(self, event: Event) -> bool:
        """Return whether all filters match an event."""
        fields = event.fields
        job_of_task = str(fields.get('task_id', '')).partition('/')[0]
        return (
            self.since_s <= event.at_s <= self.until_s
            and event.kind.startswith(self.kind)
            and self.request in ('', fields.get(_REQUEST_FIELD))
            and self.job in ('', fields.get(_JOB_FIELD), job_of_task)
            and self.team in ('', fields.get(_TEAM_FIELD))
            and self.worker in ('', fields.get(_WORKER_FIELD))
        )


def parse(data: object) -> Event | None:
    """Return the event in decoded JSON, or ``None`` if it is no event.

    Log files hold other lines as well.  Specific fields of an event are
    either beside the common ones or in ``fields``.
    """
    if not isinstance(data, dict):
        return None
    nested = data.get('fields')
    fields = dict(nested) if isinstance(nested, dict) else {}
    known = _EVENT_FIELDS | _LOG_FIELDS
    fields |= {key: val for key, val in data.items() if key not in known}
    if 'at_s' not in data and 'timestamp' in data:
        data = data | {'at_s': data['timestamp']}
    common = {
        key: data[key] for key in _EVENT_FIELDS - {'fields'} if key in data
    }
    try:
        return msgspec.convert(common | {'fields': fields}, Event)
    except msgspec.ValidationError:
        return None


def parse_lines(lines: Iterable[bytes]) -> Iterator[Event]:
    """Yield the events among lines of JSON; skip other lines."""
    for line in lines:
        try:
            event = parse(msgspec.json.decode(line))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            continue
        if event is not None:
            yield event


def merge(found: Iterable[Event], selection: Selection) -> list[Event]:
    """Return the matching events in causal order without duplicates.

    The same event can come from a node and from its log file.
    """
    unique = {
        (event.node, event.clock, event.number, event.kind): event
        for event in found
        if selection.matches(event)
    }
    return sorted(unique.values(), key=lambda event: event.order)
