"""Rows of limit slices: ``slices/<team>/<zone>`` in the platform's table.

A row belongs to the leader of its zone.  The leader of a new term rewrites its
rows before it uses them, so that a delayed write of the former leader finds
another version and has no effect.
"""

from collections.abc import Mapping

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestack import platform

TABLE = 'slices'


class SliceValue(msgspec.Struct, frozen=True):
    """Content of a row."""

    limit: configuration.Limit
    revision: model.Revision
    """Revision known to the writer; leaders with an older one raise
    nothing."""
    epoch: model.Epoch = model.Epoch(0)
    """Epoch of the zone leader that claimed the row; 0 if none has."""
    schema: int = 1


class SliceRow(msgspec.Struct, frozen=True):
    """A row and its version."""

    team: model.TeamId
    zone: model.ZoneId
    value: SliceValue
    version: int


RowsByZone = dict[model.ZoneId, SliceRow]


def row_key(team: model.TeamId, zone: model.ZoneId) -> str:
    """Return the key of a row."""
    return f'{team}/{zone}'


def conditional_write(
    team: model.TeamId,
    zone: model.ZoneId,
    value: SliceValue,
    expect: int,
) -> platform.Write:
    """Return a write that has no effect if the row has another version."""
    return platform.Write(
        TABLE, row_key(team, zone), expect, msgspec.to_builtins(value)
    )


async def read_team(table: platform.Table, team: model.TeamId) -> RowsByZone:
    """Return the rows of one team.

    :raises errors.StoreUnavailable: the table did not answer.
    """
    rows = await table.scan(TABLE, f'{team}/')
    return {row.zone: row for row in map(_decode, rows)}


async def read_all(
    table: platform.Table,
) -> dict[model.TeamId, RowsByZone]:
    """Return the rows of all teams.

    :raises errors.StoreUnavailable: the table did not answer.
    """
    rows_by_team: dict[model.TeamId, RowsByZone] = {}
    for row in map(_decode, await table.scan(TABLE, '')):
        rows_by_team.setdefault(row.team, {})[row.zone] = row
    return rows_by_team


def limits_by_zone(
    rows: Mapping[model.ZoneId, SliceRow],
) -> dict[model.ZoneId, configuration.Limit]:
    """Return the slices in the rows of one team."""
    return {zone: row.value.limit for zone, row in rows.items()}


def _decode(row: platform.Row) -> SliceRow:
    team, _, zone = row.key.rpartition('/')
    try:
        value = msgspec.convert(row.value, SliceValue)
    except msgspec.ValidationError as error:
        raise errors.StoreUnavailable(
            f'row {TABLE}/{row.key} is not readable: {error}',
            hint='A newer version may have written it; upgrade this node.',
        ) from None
    return SliceRow(model.TeamId(team), model.ZoneId(zone), value, row.version)
