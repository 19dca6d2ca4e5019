"""Command that shows the timeline."""

from collections.abc import Iterator
import datetime
import pathlib
import sys
from typing import Annotated

import cyclopts
import msgspec

from samphirestack_client import api as apis
from samphirestack_client import failures
from samphirestack_client import options
from samphirestack_client.timeline import events as event_types
from samphirestack_client.timeline import page

EXAMPLE = 'samphirestack timeline --request r-17 --html timeline.html'
COLUMNS = ('recorded_at_s', 'node', 'kind', 'fields')
EVENTS_PER_PAGE = 5000
"""Largest number of events in one answer of a node."""


async def timeline(
    *files: pathlib.Path,
    request: str = '',
    job: str = '',
    team: str = '',
    worker: str = '',
    kind: str = '',
    since: datetime.datetime | None = None,
    until: datetime.datetime | None = None,
    table: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    html: pathlib.Path | None = None,
    common: options.Common = options.COMMON,
) -> None:
    """Merge the events of all given nodes or log files in causal order.

    Without --table and --html it prints a JSON object for each event.

    Parameters
    ----------
    files
        Log files of JSON lines to read in place of asking the nodes.
    request
        Show only events of this request.
    job
        Show only events of this job and its tasks.
    team
        Show only events of this team.
    worker
        Show only events of this worker.
    kind
        Show only events whose kind has this prefix, such as request.
    since
        Show only events from this time on, in UTC if it names no zone.
    until
        Show only events up to this time, in UTC if it names no zone.
    table
        Print a line for each event, for people to read.
    html
        Write an HTML page with a column for each process to this file.
    """
    selection = event_types.Selection(
        request=request,
        job=job,
        team=team,
        worker=worker,
        kind=kind,
        since_s=float('-inf') if since is None else _to_timestamp(since),
        until_s=float('inf') if until is None else _to_timestamp(until),
    )
    found = list(_read_files(files)) if files else await _fetch_all(common)
    merged = event_types.merge(found, selection)
    if html is None and table:
        rows = [
            (event.at_s, event.node, event.kind, event.fields)
            for event in merged
        ]
        common.output.rows(COLUMNS, rows, merged)
        return
    if html is None:
        for event in merged:
            sys.stdout.write(msgspec.json.encode(event).decode() + '\n')
        return
    _write(html, page.render(merged))
    common.output.text(
        f'{len(merged)} events were written to {html}.',
        {'events': len(merged), 'file': str(html)},
    )


def _write(path: pathlib.Path, content: str) -> None:
    try:
        path.write_text(content)
    except OSError as error:
        raise failures.WrongUsage(
            f'{path} can not be written: {error}', 'Choose another file.'
        ) from None


def _to_timestamp(moment: datetime.datetime) -> float:
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def _read_files(
    files: tuple[pathlib.Path, ...],
) -> Iterator[event_types.Event]:
    for path in files:
        try:
            with path.open('rb') as lines:
                yield from event_types.parse_lines(lines)
        except OSError as error:
            raise failures.WrongUsage(
                f'{path} can not be read: {error}', 'Check the path.'
            ) from None


async def _fetch_all(common: options.Common) -> list[event_types.Event]:
    """Return the events that the given nodes still have in memory."""
    found: list[event_types.Event] = []
    last: failures.Unreachable | None = None
    async with common.connect() as api:
        for address in api.addresses:
            try:
                found += await _fetch_from_node(api, address)
            except failures.Unreachable as error:
                # The events of the other nodes are still shown.
                sys.stderr.write(f'skipped a node: {error.message}\n')
                last = error
    if not found and last is not None:
        raise last
    return found


async def _fetch_from_node(
    api: apis.Api, address: str
) -> list[event_types.Event]:
    found: list[event_types.Event] = []
    since = 0
    while True:
        data = await api.get_from(
            address,
            '/events',
            list[object],
            since=since,
            limit=EVENTS_PER_PAGE,
        )
        events = [
            event
            for event in map(event_types.parse, data)
            if event is not None
        ]
        found += events
        newest = max((event.number for event in events), default=since)
        if len(data) < EVENTS_PER_PAGE or newest <= since:
            return found
        since = newest
