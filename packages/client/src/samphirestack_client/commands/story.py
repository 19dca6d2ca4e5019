"""Command that shows the log lines of one job from all entries."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import pathlib
import sys
from typing import Annotated

import cyclopts
import msgspec

from samphirestack_client import failures
from samphirestack_client import options

EXAMPLE = 'samphirestack story 5c0e7a21d94b36f8 front-*.log'
COLUMNS = ('at', 'node', 'kind', 'fields')
HIDDEN_FIELDS = frozenset(
    {'timestamp', 'message_type', 'node', 'level', 'job_id', 'task_id'}
)
"""Fields that have their own column or repeat the id of the job."""

CONTEXT_KINDS = (
    'term.',
    'worker.',
    'store.',
    'configuration.',
    'entry.',
    'upkeep.',
)
"""Prefixes of kinds that report changes of the state around a job."""


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log."""

    at_s: float
    node: str
    kind: str
    fields: dict[str, object]

    def concerns(self, job_id: str) -> bool:
        """Return whether the line is about a job, its steps or tasks."""
        if self.fields.get('job_id') == job_id:
            return True
        return any(
            str(self.fields.get(name, '')).partition('.')[0] == job_id
            for name in ('task_id', 'step')
        )


def story(
    job: str,
    *files: pathlib.Path,
    context: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    common: options.Common = options.COMMON,
) -> None:
    """Print all decisions on one job from the logs of all entries, in order.

    Parameters
    ----------
    job
        Id of the job.
    files
        Log files of the entries; standard input if none is given.
    context
        Also show what changed about workers, the store and the term while
        the job was there.
    """
    found = sorted(
        _read_files(files) if files else _parse_lines(sys.stdin.buffer),
        key=lambda line: line.at_s,
    )
    job_lines = [line for line in found if line.concerns(job)]
    if not job_lines:
        raise failures.WrongUsage(
            f'no line of the logs is about job {job}',
            'Give the logs of all entries; lines that exceeded the rate limit '
            'of the log are only counted, in "suppressed_before".',
        )
    shown = job_lines
    if context:
        first, last = job_lines[0].at_s, job_lines[-1].at_s
        shown = [
            line
            for line in found
            if line.concerns(job)
            or (
                first <= line.at_s <= last
                and line.kind.startswith(CONTEXT_KINDS)
            )
        ]
    rows = [
        (
            _format_time(line.at_s),
            line.node,
            line.kind,
            _visible_fields(line.fields),
        )
        for line in shown
    ]
    common.output.rows(COLUMNS, rows, shown)


def _visible_fields(fields: dict[str, object]) -> dict[str, object]:
    visible = {
        name: value
        for name, value in fields.items()
        if name not in HIDDEN_FIELDS
    }
    if 'task_id' in fields:
        visible['task'] = str(fields['task_id']).partition('.')[2]
    return visible


def _format_time(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def _read_files(files: Iterable[pathlib.Path]) -> Iterator[LogLine]:
    for path in files:
        try:
            with path.open('rb') as lines:
                yield from _parse_lines(lines)
        except OSError as error:
            raise failures.WrongUsage(
                f'{path} can not be read: {error}', 'Check the path.'
            ) from None


def _parse_lines(lines: Iterable[bytes]) -> Iterator[LogLine]:
    """Yield the lines that hold a JSON object, without any prefix."""
    for raw in lines:
        start = raw.find(b'{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:], type=dict[str, object])
        except msgspec.DecodeError:
            # Other programs may write into the same file.
            continue
        at_s = fields.get('timestamp')
        kind = fields.get('message_type')
        if isinstance(at_s, float | int) and isinstance(kind, str):
            yield LogLine(
                float(at_s), str(fields.get('node', '')), kind, fields
            )
