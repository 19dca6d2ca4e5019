"""Upper limits of teams, split into one slice per availability zone.

A :class:`TeamLedger` counts the use of one zone against its slices.  The
functions of this module compute new slices.  None of them returns slices
whose sum exceeds the limit, unless the sum that it was given did so already
and is not increased.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model

DIMENSIONS = ('running', 'millicores', 'memory_mb', 'accelerators')
"""Fields of :class:`configuration.Limit`."""

_Amounts = tuple[int, int, int, int]
_Slice = tuple[int | None, int | None, int | None, int | None]

Slices = Mapping[model.ZoneId, configuration.Limit]


class Shortage(msgspec.Struct, frozen=True):
    """What a team lacked in one dimension when its slice refused work."""

    team: model.TeamId
    dimension: str
    amount: int
    """Missing units of the dimension; at least 1."""


class Transfer(msgspec.Struct, frozen=True):
    """Slices of two zones after units were moved between them."""

    donor: configuration.Limit
    receiver: configuration.Limit


class TeamLedger:
    """Counts the work of each team in this zone against its slice.

    A request counts as one unit of ``running``; a task uses resources as
    well.  A team whose slice is not known may start nothing.
    """

    def __init__(self) -> None:
        self._slices_by_team: dict[model.TeamId, _Slice] = {}
        self._used_by_team: dict[model.TeamId, _Amounts] = {}
        self._shortages: dict[tuple[model.TeamId, str], int] = {}

    def configure(self, teams_by_id: Mapping[str, configuration.Team]) -> None:
        """Apply the configured teams and their limits.

        The slice of a dimension that becomes limited is 0 until
        :meth:`set_slice`.  Slices are capped at the limit of the whole
        fleet.
        """
        slices_by_team: dict[model.TeamId, _Slice] = {}
        for team in teams_by_id.values():
            present = self._slices_by_team.get(team.name, _EMPTY_SLICE)
            slices_by_team[team.name] = _clamped(
                present, _as_tuple(team.limit)
            )
        self._slices_by_team = slices_by_team

    def set_slice(
        self, team: model.TeamId, limit: configuration.Limit
    ) -> None:
        """Replace the slice of ``team``; ``None`` fields are unlimited.

        Use above a lowered slice stays until it is released.
        """
        self._slices_by_team[team] = _as_tuple(limit)

    def slice_of(self, team: model.TeamId) -> configuration.Limit:
        """Return the slice of ``team``, zero if it is not known."""
        return _as_limit(self._slices_by_team.get(team, _EMPTY_SLICE))

    def allows(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> bool:
        """Return whether the slice of ``team`` has room for more work.

        A refusal is recorded for :meth:`pop_shortages`.
        """
        limits = self._slices_by_team.get(team, _EMPTY_SLICE)
        used = self._used_by_team.get(team, _ZERO)
        requested = _amounts(running, resources)
        allowed = True
        for index, limit in enumerate(limits):
            if limit is None or not requested[index]:
                continue
            missing = used[index] + requested[index] - limit
            if missing > 0:
                self._record_shortage(team, DIMENSIONS[index], missing)
                allowed = False
        return allowed

    def try_acquire(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> bool:
        """Charge ``team`` and return true if its slice allows it."""
        allowed = self.allows(team, running, resources)
        if allowed:
            self.adopt(team, running, resources)
        return allowed

    def adopt(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> None:
        """Charge ``team`` for work that is already running.

        The slice is not checked, so that the use can exceed it.
        """
        used = self._used_by_team.get(team, _ZERO)
        self._used_by_team[team] = _sum(used, _amounts(running, resources))

    def release(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> None:
        """Release what was acquired or adopted.

        :raises ValueError: more would be released than is in use.
        """
        used = self._used_by_team.get(team, _ZERO)
        requested = _amounts(running, resources)
        rest = (
            used[0] - requested[0],
            used[1] - requested[1],
            used[2] - requested[2],
            used[3] - requested[3],
        )
        if min(rest) < 0:
            raise ValueError(
                f'team {team!r} uses {used}, but {requested} is released'
            )
        if any(rest):
            self._used_by_team[team] = rest
        else:
            self._used_by_team.pop(team, None)

    def headroom(self, team: model.TeamId) -> configuration.Limit:
        """Return what the slice still allows; ``None`` where not limited."""
        limits = self._slices_by_team.get(team, _EMPTY_SLICE)
        used = self._used_by_team.get(team, _ZERO)
        free = [
            None if limit is None else max(0, limit - amount)
            for limit, amount in zip(limits, used, strict=True)
        ]
        return configuration.Limit(*free)

    def usage(self, team: model.TeamId) -> messages.TeamUsage:
        """Return the present use of ``team`` in this zone."""
        used = self._used_by_team.get(team, _ZERO)
        return messages.TeamUsage(team, used[0], model.Resources(*used[1:]), 0)

    def usages(self) -> list[messages.TeamUsage]:
        """Return the present use of every team that uses anything."""
        return [self.usage(team) for team in self._used_by_team]

    def pop_shortages(self) -> list[Shortage]:
        """Return and clear the shortages recorded since the last call."""
        shortages = [
            Shortage(team, dimension, amount)
            for (team, dimension), amount in self._shortages.items()
        ]
        self._shortages.clear()
        return shortages

    def _record_shortage(
        self, team: model.TeamId, dimension: str, amount: int
    ) -> None:
        key = (team, dimension)
        self._shortages[key] = max(amount, self._shortages.get(key, 0))


_ZERO: _Amounts = (0, 0, 0, 0)
_EMPTY_SLICE: _Slice = (0, 0, 0, 0)


def _amounts(running: int, resources: model.Resources) -> _Amounts:
    return (
        running,
        resources.millicores,
        resources.memory_mb,
        resources.accelerators,
    )


def _sum(left: _Amounts, right: _Amounts) -> _Amounts:
    return (
        left[0] + right[0],
        left[1] + right[1],
        left[2] + right[2],
        left[3] + right[3],
    )


def _as_tuple(limit: configuration.Limit) -> _Slice:
    return (
        limit.running,
        limit.millicores,
        limit.memory_mb,
        limit.accelerators,
    )


def _as_limit(values: Sequence[int | None]) -> configuration.Limit:
    return configuration.Limit(*values)


def _clamped(present: _Slice, limits: _Slice) -> _Slice:
    values = [
        None if limit is None else min(value or 0, limit)
        for value, limit in zip(present, limits, strict=True)
    ]
    return (values[0], values[1], values[2], values[3])


def is_limited(limit: configuration.Limit) -> bool:
    """Return whether any dimension is limited."""
    return any(value is not None for value in _as_tuple(limit))


def total(slices_by_zone: Slices, dimension: str) -> int:
    """Return the sum of the slices in one dimension.

    ``None`` counts as 0.
    """
    return sum(
        getattr(item, dimension) or 0 for item in slices_by_zone.values()
    )


def split_evenly(
    limit: configuration.Limit, zones: Collection[model.ZoneId]
) -> dict[model.ZoneId, configuration.Limit]:
    """Return slices that differ by at most one unit and sum to ``limit``."""
    empty = {zone: configuration.Limit() for zone in zones}
    return distribute_unallocated(empty, limit)


def distribute_unallocated(
    slices_by_zone: Slices,
    limit: configuration.Limit,
    reachable: Collection[model.ZoneId] | None = None,
) -> dict[model.ZoneId, configuration.Limit]:
    """Distribute what the limit allows above the sum of the slices.

    Zones get equal parts; the remainder goes to the first ones by name.
    Dimensions that are not limited become ``None``.

    :param reachable: zones that receive a part; all zones if ``None``.
    """
    result = _normalized(slices_by_zone, limit)
    zones = sorted(
        zone for zone in result if reachable is None or zone in reachable
    )
    for dimension in DIMENSIONS:
        bound = getattr(limit, dimension)
        if bound is None or not zones:
            continue
        spare = max(0, bound - total(result, dimension))
        each, rest = divmod(spare, len(zones))
        for index, zone in enumerate(zones):
            _add(result, zone, dimension, each + (index < rest))
    return result


def reduced_slice(
    zone: model.ZoneId,
    slices_by_zone: Slices,
    limit: configuration.Limit,
    usage: messages.TeamUsage,
) -> configuration.Limit:
    """Return the slice of ``zone`` after a limit was lowered.

    Each reachable zone reduces its own slice by the whole excess, but not
    below its use, so that no zone starts more work while the use of the
    fleet is above the new limit.  What the zones together reduced too much
    is distributed again by :func:`distribute_unallocated`.
    """
    result = _normalized(slices_by_zone, limit)
    for dimension in DIMENSIONS:
        bound = getattr(limit, dimension)
        if bound is None:
            continue
        excess = max(0, total(slices_by_zone, dimension) - bound)
        held = getattr(result[zone], dimension)
        used = min(held, amount_used(usage, dimension))
        _add(result, zone, dimension, max(held - excess, used) - held)
    return result[zone]


def amount_used(usage: messages.TeamUsage, dimension: str) -> int:
    """Return the amount that is used of one dimension."""
    if dimension == 'running':
        return usage.running
    used: int = getattr(usage.resources, dimension)
    return used


def transfer(
    donor: configuration.Limit,
    receiver: configuration.Limit,
    dimension: str,
    amount: int,
) -> Transfer:
    """Return both slices after ``amount`` is moved to the receiver.

    :raises ValueError: the donor's slice is smaller than ``amount``, or
        ``amount`` is negative.
    """
    held = getattr(donor, dimension) or 0
    if not 0 <= amount <= held:
        raise ValueError(
            f'cannot move {amount} of {dimension} from a slice of {held}'
        )
    return Transfer(
        _replaced(donor, dimension, held - amount),
        _replaced(
            receiver, dimension, (getattr(receiver, dimension) or 0) + amount
        ),
    )


def donatable_amount(
    held: configuration.Limit,
    usage: messages.TeamUsage,
    dimension: str,
    requested: int,
) -> int:
    """Return how much of its slice a zone donates on request.

    At most half of the unused part, rounded up, so that two zones with
    waiting work do not send the same units back and forth.

    :param requested: amount that the other zone asks for.
    """
    size: int | None = getattr(held, dimension)
    if size is None:
        return 0
    unused = max(0, size - amount_used(usage, dimension))
    return max(0, min(requested, (unused + 1) // 2))


def clamped_slice(
    held: configuration.Limit, limit: configuration.Limit
) -> configuration.Limit:
    """Return a slice capped at the limit of the whole fleet.

    Dimensions that are not limited become ``None``; in a limited dimension
    ``None`` becomes 0.
    """
    return _as_limit(_clamped(_as_tuple(held), _as_tuple(limit)))


def sum_differs(
    slices_by_zone: Slices, limit: configuration.Limit, above: bool
) -> bool:
    """Return whether the slices sum to more or less than the limit.

    :param above: whether to look for a larger sum; otherwise for a smaller.
    """
    for dimension in DIMENSIONS:
        bound = getattr(limit, dimension)
        if bound is None:
            continue
        excess = total(slices_by_zone, dimension) - bound
        if excess > 0 if above else excess < 0:
            return True
    return False


def _normalized(
    slices_by_zone: Slices, limit: configuration.Limit
) -> dict[model.ZoneId, configuration.Limit]:
    """Replace ``None`` by 0 in limited dimensions, and clear the others."""
    bounds = _as_tuple(limit)
    return {
        zone: _as_limit(
            [
                None if bound is None else value or 0
                for value, bound in zip(_as_tuple(item), bounds, strict=True)
            ]
        )
        for zone, item in slices_by_zone.items()
    }


def _add(
    slices_by_zone: dict[model.ZoneId, configuration.Limit],
    zone: model.ZoneId,
    dimension: str,
    amount: int,
) -> None:
    present = slices_by_zone[zone]
    value = getattr(present, dimension) + amount
    slices_by_zone[zone] = _replaced(present, dimension, value)


def _replaced(
    limit: configuration.Limit, dimension: str, value: int
) -> configuration.Limit:
    return msgspec.structs.replace(limit, **{dimension: value})
