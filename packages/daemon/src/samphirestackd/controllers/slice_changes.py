"""Plans the writes of a zone leader to the rows of limit slices.

The functions are pure: they take the rows of one team as they were read
and return writes that are conditional on exactly these versions.  A raise
is conditional on the rows of all zones, so that two concurrent raises can not
exceed the limit together.
"""

from collections.abc import Collection

import msgspec

from samphirestack import configuration
from samphirestack.internal.decisions import limits
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd.controllers import slice_rows


class LeaderView(msgspec.Struct, frozen=True):
    """A zone leader's term and its knowledge of the other zones."""

    zone: model.ZoneId
    epoch: model.Epoch
    revision: model.Revision
    zones: frozenset[model.ZoneId]
    """Zones of the configuration that are not declared lost."""
    reachable: frozenset[model.ZoneId]
    """Zones whose leader can be reached, including the own zone."""
    reclaimable: frozenset[model.ZoneId]
    """Lost zones in which all leases must have expired."""


def claim(
    view: LeaderView, team: configuration.Team, rows: slice_rows.RowsByZone
) -> list[platform.Write]:
    """Return the writes by which a new leader claims its row.

    If the team has no rows yet, the limit is split over all zones.
    """
    own = rows.get(view.zone)
    if own is not None:
        if own.value.epoch == view.epoch:
            return []
        return [_update(view, team, own, own.value.limit)]
    if rows:
        zero = limits.clamped_slice(configuration.Limit(), team.limit)
        return [_insert(view, team, view.zone, zero)]
    zones = view.zones | {view.zone}
    split = limits.split_evenly(team.limit, zones)
    return [_insert(view, team, zone, part) for zone, part in split.items()]


def usable(
    view: LeaderView, team: configuration.Team, rows: slice_rows.RowsByZone
) -> configuration.Limit:
    """Return how much of its slice a leader may use with these rows.

    While the slices sum to more than the limit, that is less than the slice,
    since the usage of other zones may already reach the limit.
    """
    zero = messages.TeamUsage(team.name, 0, model.Resources(), 0)
    slices = slice_rows.limits_by_zone(rows)
    return limits.reduced_slice(view.zone, slices, team.limit, zero)


def shrink(
    view: LeaderView,
    team: configuration.Team,
    rows: slice_rows.RowsByZone,
    usage: messages.TeamUsage,
) -> list[platform.Write]:
    """Return the write that shrinks the own slice to fit a lowered limit."""
    own = rows[view.zone]
    slices = slice_rows.limits_by_zone(rows)
    target = limits.reduced_slice(view.zone, slices, team.limit, usage)
    held = limits.clamped_slice(own.value.limit, team.limit)
    if _covers(target, held):
        return []
    return [_update(view, team, own, target)]


def grow(
    view: LeaderView, team: configuration.Team, rows: slice_rows.RowsByZone
) -> list[platform.Write]:
    """Return the writes that distribute unallocated parts of the limit.

    These come from a raised limit, a new zone or a lost zone.  The result is
    empty if a row was written under a newer configuration, which may have a
    lower limit.
    """
    if any(row.value.revision > view.revision for row in rows.values()):
        return []
    slices = slice_rows.limits_by_zone(rows)
    for zone in view.reclaimable & slices.keys():
        slices[zone] = configuration.Limit()
    for zone in view.zones - slices.keys():
        slices[zone] = configuration.Limit()
    if not limits.sum_differs(slices, team.limit, above=False):
        return []
    parts = limits.distribute_unallocated(slices, team.limit, view.reachable)
    if limits.sum_differs(parts, team.limit, above=True):
        return []
    return [
        _update(view, team, rows[zone], part)
        if zone in rows
        else _insert(view, team, zone, part)
        for zone, part in parts.items()
    ]


def donate(
    view: LeaderView,
    team: configuration.Team,
    rows: slice_rows.RowsByZone,
    to: model.ZoneId,
    dimension: str,
    amount: int,
) -> list[platform.Write]:
    """Return the writes that move a part of the own slice to ``to``."""
    own, other = rows[view.zone], rows[to]
    transfer = limits.transfer(
        limits.clamped_slice(own.value.limit, team.limit),
        other.value.limit,
        dimension,
        amount,
    )
    return [
        _update(view, team, own, transfer.donor),
        _update(view, team, other, transfer.receiver),
    ]


def bump_version(
    view: LeaderView, team: configuration.Team, own: slice_rows.SliceRow
) -> list[platform.Write]:
    """Return a write that only changes the version of the own row.

    Afterwards an earlier write with an unknown outcome can't take effect.
    """
    return [_update(view, team, own, own.value.limit)]


def reachable_zones(
    zones: Collection[model.ZoneId],
    zones_with_leader: Collection[model.ZoneId],
) -> frozenset[model.ZoneId]:
    """Return the zones of the configuration that have a live leader."""
    return frozenset(zones) & frozenset(zones_with_leader)


def _covers(larger: configuration.Limit, smaller: configuration.Limit) -> bool:
    return all(
        getattr(larger, name) is None
        or getattr(larger, name) >= getattr(smaller, name)
        for name in limits.DIMENSIONS
    )


def _update(
    view: LeaderView,
    team: configuration.Team,
    row: slice_rows.SliceRow,
    limit: configuration.Limit,
) -> platform.Write:
    is_own = row.zone == view.zone
    value = slice_rows.SliceValue(
        limit, view.revision, view.epoch if is_own else row.value.epoch
    )
    return slice_rows.conditional_write(
        team.name, row.zone, value, row.version
    )


def _insert(
    view: LeaderView,
    team: configuration.Team,
    zone: model.ZoneId,
    limit: configuration.Limit,
) -> platform.Write:
    epoch = view.epoch if zone == view.zone else model.Epoch(0)
    value = slice_rows.SliceValue(limit, view.revision, epoch)
    return slice_rows.conditional_write(team.name, zone, value, 0)
