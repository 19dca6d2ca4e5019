"""Which rows of limit slices a zone leader has to write.

The functions are pure: they take the rows of one team as they were read
and return writes that are conditional on exactly these versions.  A raise
is conditional on the rows of all zones, so that two raises at a time can
not exceed the limit together.
"""

from collections.abc import Collection

import msgspec

from samphirestack import configuration
from samphirestack.internal.decisions import limits
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd.controllers import slice_rows


class Place(msgspec.Struct, frozen=True):
    """The zone leader that plans, and what it knows of other zones."""

    zone: model.ZoneId
    epoch: model.Epoch
    revision: model.Revision
    zones: frozenset[model.ZoneId]
    """Zones of the configuration that are not lost."""
    reachable: frozenset[model.ZoneId]
    """Zones whose leader can be reached, the own one included."""
    freed: frozenset[model.ZoneId]
    """Zones that were declared lost long enough ago."""


def claim(
    place: Place, team: configuration.Team, rows: slice_rows.RowsByZone
) -> list[platform.Write]:
    """Return the writes by which a new leader takes over its row.

    Without any row, the first leader splits the limit over all zones.
    """
    own = rows.get(place.zone)
    if own is not None:
        if own.value.epoch == place.epoch:
            return []
        return [_write(place, team, own, own.value.limit)]
    if rows:
        nothing = limits.clamped_slice(configuration.Limit(), team.limit)
        return [_new(place, team, place.zone, nothing)]
    zones = place.zones | {place.zone}
    split = limits.split_evenly(team.limit, zones)
    return [_new(place, team, zone, part) for zone, part in split.items()]


def usable(
    place: Place, team: configuration.Team, rows: slice_rows.RowsByZone
) -> configuration.Limit:
    """Return how much of its slice a leader may use with these rows.

    While the slices are above the limit, that is less than the slice: what
    runs in other zones may already be all that is allowed.
    """
    nothing = messages.TeamUsage(team.name, 0, model.Resources(), 0)
    slices = slice_rows.limits_of(rows)
    return limits.reduced_slice(place.zone, slices, team.limit, nothing)


def shrink(
    place: Place,
    team: configuration.Team,
    rows: slice_rows.RowsByZone,
    usage: messages.TeamUsage,
) -> list[platform.Write]:
    """Return the write that lowers the own slice below a lowered limit."""
    own = rows[place.zone]
    slices = slice_rows.limits_of(rows)
    target = limits.reduced_slice(place.zone, slices, team.limit, usage)
    held = limits.clamped_slice(own.value.limit, team.limit)
    if _covers(target, held):
        return []
    return [_write(place, team, own, target)]


def grow(
    place: Place, team: configuration.Team, rows: slice_rows.RowsByZone
) -> list[platform.Write]:
    """Return the writes that use up a raised limit or a lost zone's slice.

    Empty if a row was written under a newer configuration, which may have
    a lower limit.
    """
    if any(row.value.revision > place.revision for row in rows.values()):
        return []
    slices = slice_rows.limits_of(rows)
    for zone in place.freed & slices.keys():
        slices[zone] = configuration.Limit()
    for zone in place.zones - slices.keys():
        slices[zone] = configuration.Limit()
    if not limits.sum_differs(slices, team.limit, above=False):
        return []
    parts = limits.distribute_unallocated(slices, team.limit, place.reachable)
    if limits.sum_differs(parts, team.limit, above=True):
        return []
    return [
        _write(place, team, rows[zone], part)
        if zone in rows
        else _new(place, team, zone, part)
        for zone, part in parts.items()
    ]


def donate(
    place: Place,
    team: configuration.Team,
    rows: slice_rows.RowsByZone,
    to: model.ZoneId,
    dimension: str,
    amount: int,
) -> list[platform.Write]:
    """Return the writes that move a part of the own slice to a zone."""
    own, other = rows[place.zone], rows[to]
    transfer = limits.transfer(
        limits.clamped_slice(own.value.limit, team.limit),
        other.value.limit,
        dimension,
        amount,
    )
    return [
        _write(place, team, own, transfer.donor),
        _write(place, team, other, transfer.receiver),
    ]


def keep(
    place: Place, team: configuration.Team, own: slice_rows.SliceRow
) -> list[platform.Write]:
    """Return a write that only changes the version of the own row.

    Afterwards a write without an answer can't take effect any more.
    """
    return [_write(place, team, own, own.value.limit)]


def reachable_zones(
    zones: Collection[model.ZoneId], led: Collection[model.ZoneId]
) -> frozenset[model.ZoneId]:
    """Return the zones of the configuration that have a live leader."""
    return frozenset(zones) & frozenset(led)


def _covers(larger: configuration.Limit, smaller: configuration.Limit) -> bool:
    return all(
        getattr(larger, name) is None
        or getattr(larger, name) >= getattr(smaller, name)
        for name in limits.DIMENSIONS
    )


def _write(
    place: Place,
    team: configuration.Team,
    row: slice_rows.SliceRow,
    limit: configuration.Limit,
) -> platform.Write:
    is_own = row.zone == place.zone
    value = slice_rows.SliceValue(
        limit, place.revision, place.epoch if is_own else row.value.epoch
    )
    return slice_rows.write_of(team.name, row.zone, value, row.version)


def _new(
    place: Place,
    team: configuration.Team,
    zone: model.ZoneId,
    limit: configuration.Limit,
) -> platform.Write:
    epoch = place.epoch if zone == place.zone else model.Epoch(0)
    value = slice_rows.SliceValue(limit, place.revision, epoch)
    return slice_rows.write_of(team.name, zone, value, 0)
