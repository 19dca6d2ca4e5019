"""Ledgers of stand-ins and records of callers, as files of JSON lines.

All times are seconds of the machine's monotonic clock, which every process
on the machine shares, so that lines of several files can be ordered.
"""

import enum
import hashlib
import os
import pathlib
from typing import TypeVar

import msgspec

from samphirestack import model

T = TypeVar('T')


class Event(enum.Enum):
    """What a line of a ledger says."""

    OFFERED = 'offered'
    """A worker or upstream exists with the given size."""
    START = 'start'
    END = 'end'
    REFUSED = 'refused'
    LEAVING = 'leaving'
    """The platform or the upstream itself says that it leaves."""


class Subject(enum.Enum):
    """What a line of a ledger is about."""

    TASK = 'task'
    REQUEST = 'request'
    VM = 'vm'


class Line(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a stand-in's ledger."""

    at_s: float
    event: Event
    subject: Subject
    place: str
    """Id of the worker or upstream."""
    id: str = ''
    """Task id or request id."""
    attempt: int = 0
    team: str = ''
    job: str = ''
    resources: model.Resources = model.Resources()
    """Declared need, or the capacity of a VM."""
    slots: int = 0
    call: str = ''
    """Name that the caller gave the request in its payload."""
    outcome: str = ''
    digest: str = ''
    """Digest of the whole answer; see :func:`digest_of`."""


class Outcome(enum.Enum):
    """How a call ended from its caller's point of view."""

    ANSWERED = 'answered'
    REFUSED_NOT_RUN = 'refused_not_run'
    MAY_HAVE_RUN = 'may_have_run'
    NO_ANSWER = 'no_answer'
    """Nothing came before the deadline, although resending is allowed."""


class CallRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller knows of one request after its last attempt."""

    call: str
    team: str
    queue: str
    urgent: bool
    idempotent: bool
    sent_at_s: float
    """Start of the first attempt."""
    ended_at_s: float
    outcome: Outcome
    attempts: int
    code: str = ''
    """Code of the last error, or ``broken`` for a broken connection."""
    digest: str = ''
    key: str = ''
    """The Idempotency-Key, if one was sent."""
    entry: str = ''


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller knows of one job."""

    job: str
    """Empty if the job was not accepted."""
    team: str
    queue: str
    kind: str
    tasks: int
    idempotent: bool
    sent_at_s: float
    ended_at_s: float
    state: str
    """Last state that an entry reported."""
    code: str = ''


class Writer:
    """Appends structs to a file, one line each.

    Lines are not buffered, so that a killed process loses none.
    """

    def __init__(self, path: str) -> None:
        self._descriptor: int | None = None
        if path:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
            self._descriptor = os.open(path, flags, 0o600)
        self.lines: list[msgspec.Struct] = []
        """Lines kept in memory, only if there is no file."""

    def write(self, line: msgspec.Struct) -> None:
        """Append one line."""
        if self._descriptor is None:
            self.lines.append(line)
            return
        os.write(self._descriptor, msgspec.json.encode(line) + b'\n')

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)


def read(path: pathlib.Path, kind: type[T]) -> list[T]:
    """Return the lines of a file; a last line cut by a kill is left out."""
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(kind)
    *complete, _ = path.read_bytes().split(b'\n')
    return [decoder.decode(line) for line in complete]


def digest_of(answer: object) -> str:
    """Return a digest of a JSON value that ignores the order of keys."""
    text = msgspec.json.encode(answer, order='sorted')
    return hashlib.sha256(text).hexdigest()[:32]
