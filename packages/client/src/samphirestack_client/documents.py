"""Configuration files of operators.

A file has a table for each object: ``[profiles.NAME]``, ``[services.NAME]``,
``[queues.NAME]``, ``[teams.NAME]`` and ``[zones.NAME]``.  A field that is
left out has its default.
"""

import pathlib
import tomllib
from typing import Any

import msgspec

from samphirestack import configuration
from samphirestack_client import failures

MAX_BYTES = 4 * 1024 * 1024


class _Kind(msgspec.Struct, frozen=True):
    """How objects of a table are put and retired."""

    collection: str
    content: Any
    put: Any
    retire: Any = None


KINDS = {
    'queues': _Kind(
        'queues_by_id',
        configuration.Queue,
        configuration.PutQueue,
        configuration.RetireQueue,
    ),
    'services': _Kind(
        'services_by_id',
        configuration.Service,
        configuration.PutService,
        configuration.RetireService,
    ),
    'profiles': _Kind(
        'profiles_by_id',
        configuration.Profile,
        configuration.PutProfile,
        configuration.RetireProfile,
    ),
    'teams': _Kind(
        'teams_by_id',
        configuration.Team,
        configuration.PutTeam,
        configuration.RetireTeam,
    ),
    'zones': _Kind('zones_by_id', configuration.Zone, configuration.PutZone),
}


def changes_of(
    path: pathlib.Path, current: configuration.Configuration, prune: bool
) -> list[configuration.Change]:
    """Return the changes that make ``current`` say what a file says.

    :param prune: whether objects of a kind that the file has, but which it
        does not name, are retired.
    :raises failures.WrongUsage: the file can't be used.
    """
    data = _read(path)
    changes: list[configuration.Change] = []
    for table, entries in data.items():
        if table not in KINDS or not isinstance(entries, dict):
            raise failures.WrongUsage(
                f'{path}: {table} is not known',
                'Allowed tables are ' + ', '.join(sorted(KINDS)) + '.',
            )
    for table, kind in KINDS.items():
        present = getattr(current, kind.collection)
        wanted = data.get(table, {})
        changes += _puts(path, table, kind, wanted, present)
        if prune and kind.retire is not None and table in data:
            changes += [
                kind.retire(name) for name in present if name not in wanted
            ]
    return changes


def _puts(
    path: pathlib.Path,
    table: str,
    kind: _Kind,
    wanted: dict[str, Any],
    present: dict[str, Any],
) -> list[configuration.Change]:
    puts = []
    for name, fields in wanted.items():
        value = _convert(path, f'{table}.{name}', kind, name, fields)
        if present.get(name) != value:
            puts.append(kind.put(value))
    return puts


def _convert(
    path: pathlib.Path, key: str, kind: _Kind, name: str, fields: Any
) -> Any:
    if not isinstance(fields, dict):
        raise failures.WrongUsage(
            f'{path}: {key} is {fields!r}, but must be a table',
            f'Write [{key}] on a line of its own.',
        )
    try:
        return msgspec.convert(fields | {'name': name}, kind.content)
    except msgspec.ValidationError as error:
        names = ', '.join(kind.content.__struct_fields__[1:])
        raise failures.WrongUsage(
            f'{path}: {key}: {error}', f'Its fields are {names}.'
        ) from None


def _read(path: pathlib.Path) -> dict[str, Any]:
    try:
        if path.stat().st_size > MAX_BYTES:
            raise failures.WrongUsage(
                f'{path} has more than {MAX_BYTES} bytes', 'Split the file.'
            )
        return tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        raise failures.WrongUsage(
            f'{path} can not be read: {error}', 'Check the path.'
        ) from None
    except tomllib.TOMLDecodeError as error:
        raise failures.WrongUsage(
            f'{path} is not valid TOML: {error}', 'Correct the line.'
        ) from None
