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


class _ObjectKind(msgspec.Struct, frozen=True):
    """Struct and changes of the objects in a table."""

    collection: str
    content: Any
    put: Any
    retire: Any = None


KINDS_BY_TABLE = {
    'queues': _ObjectKind(
        'queues_by_id',
        configuration.Queue,
        configuration.PutQueue,
        configuration.RetireQueue,
    ),
    'services': _ObjectKind(
        'services_by_id',
        configuration.Service,
        configuration.PutService,
        configuration.RetireService,
    ),
    'profiles': _ObjectKind(
        'profiles_by_id',
        configuration.Profile,
        configuration.PutProfile,
        configuration.RetireProfile,
    ),
    'teams': _ObjectKind(
        'teams_by_id',
        configuration.Team,
        configuration.PutTeam,
        configuration.RetireTeam,
    ),
    'zones': _ObjectKind(
        'zones_by_id', configuration.Zone, configuration.PutZone
    ),
}


def read_changes(
    path: pathlib.Path, current: configuration.Configuration, prune: bool
) -> list[configuration.Change]:
    """Return the changes that bring ``current`` to the state in a file.

    :param prune: whether to retire objects that the file does not name; only
        tables that are in the file are pruned.
    :raises failures.WrongUsage: the file can't be read or is not valid.
    """
    data = _read(path)
    changes: list[configuration.Change] = []
    for table, entries in data.items():
        if table not in KINDS_BY_TABLE or not isinstance(entries, dict):
            raise failures.WrongUsage(
                f'{path}: {table} is not a known table',
                'Allowed tables are '
                + ', '.join(sorted(KINDS_BY_TABLE))
                + '.',
            )
    for table, kind in KINDS_BY_TABLE.items():
        present = getattr(current, kind.collection)
        wanted = data.get(table, {})
        changes += _put_changes(path, table, kind, wanted, present)
        if prune and kind.retire is not None and table in data:
            changes += [
                kind.retire(name) for name in present if name not in wanted
            ]
    return changes


def _put_changes(
    path: pathlib.Path,
    table: str,
    kind: _ObjectKind,
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
    path: pathlib.Path, key: str, kind: _ObjectKind, name: str, fields: Any
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
            f'{path}: {key}: {error}', f'Allowed fields are {names}.'
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
            f'{path} is not valid TOML: {error}', 'Correct the syntax.'
        ) from None
