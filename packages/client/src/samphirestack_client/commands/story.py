"""The command that tells what happened to one job."""

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
HIDDEN = frozenset(
    {'timestamp', 'message_type', 'node', 'level', 'job_id', 'task_id'}
)
"""Fields that have a column of their own or name the job again."""

CONTEXT_KINDS = (
    'term.',
    'worker.',
    'store.',
    'configuration.',
    'entry.',
    'upkeep.',
)
"""Changes of belief that explain what happened to a job meanwhile."""


class Line(msgspec.Struct, frozen=True):
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
        _read(files) if files else _parse(sys.stdin.buffer),
        key=lambda line: line.at_s,
    )
    about = [line for line in found if line.concerns(job)]
    if not about:
        raise failures.WrongUsage(
            f'no line of the logs is about job {job}',
            'Give the logs of all entries; lines beyond the limit of the '
            'volume are counted as "suppressed_before".',
        )
    shown = about
    if context:
        first, last = about[0].at_s, about[-1].at_s
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
        (_time(line.at_s), line.node, line.kind, _visible(line.fields))
        for line in shown
    ]
    common.output.rows(COLUMNS, rows, shown)


def _visible(fields: dict[str, object]) -> dict[str, object]:
    visible = {
        name: value for name, value in fields.items() if name not in HIDDEN
    }
    if 'task_id' in fields:
        visible['task'] = str(fields['task_id']).partition('.')[2]
    return visible


def _time(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.strftime('%H:%M:%S.%f')[:-3]


def _read(files: Iterable[pathlib.Path]) -> Iterator[Line]:
    for path in files:
        try:
            with path.open('rb') as lines:
                yield from _parse(lines)
        except OSError as error:
            raise failures.WrongUsage(
                f'{path} can not be read: {error}', 'Check the path.'
            ) from None


def _parse(lines: Iterable[bytes]) -> Iterator[Line]:
    """Read log lines; what stands before the JSON object is left out."""
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
            yield Line(float(at_s), str(fields.get('node', '')), kind, fields)
