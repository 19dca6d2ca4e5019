"""Tests of the writes that change slices of a limit."""

import msgspec

from samphirestack import configuration as configurations
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd.controllers import slice_changes
from samphirestackd.controllers import slice_rows

X, Y, Z = (model.ZoneId(name) for name in 'xyz')


def _view(**changes: object) -> slice_changes.LeaderView:
    zones = frozenset((X, Y, Z))
    view = slice_changes.LeaderView(
        X, model.Epoch(2), model.Revision(5), zones, zones, frozenset()
    )
    return msgspec.structs.replace(view, **changes)


def _team(limit: int) -> configurations.Team:
    return configurations.Team(
        model.TeamId('a'), limit=configurations.Limit(limit)
    )


def _rows(revision: int = 5, **sizes: int) -> slice_rows.RowsByZone:
    return {
        model.ZoneId(zone): slice_rows.SliceRow(
            model.TeamId('a'),
            model.ZoneId(zone),
            slice_rows.SliceValue(
                configurations.Limit(size),
                model.Revision(revision),
                model.Epoch(2),
            ),
            7,
        )
        for zone, size in sizes.items()
    }


def _sizes(writes: list[platform.Write]) -> dict[str, int]:
    return {
        write.key: write.value['limit']['running']  # type: ignore[index]
        for write in writes
    }


class TestSliceChanges:
    """Guards against writes that let the slices exceed the limit."""

    def test_first_leader_splits_the_limit(self) -> None:
        """Fails if two leaders can both create the rows."""
        writes = slice_changes.claim(_view(), _team(7), {})
        assert _sizes(writes) == {'a/x': 3, 'a/y': 2, 'a/z': 2}
        assert {write.expect for write in writes} == {0}

    def test_new_zone_starts_with_nothing(self) -> None:
        """Fails if a zone that is added gets units that others hold."""
        writes = slice_changes.claim(_view(), _team(7), _rows(y=4, z=3))
        assert _sizes(writes) == {'a/x': 0}

    def test_raise_depends_on_the_rows_of_all_zones(self) -> None:
        """Fails if two concurrent raises exceed the limit together."""
        writes = slice_changes.grow(_view(), _team(9), _rows(x=2, y=2, z=2))
        assert _sizes(writes) == {'a/x': 3, 'a/y': 3, 'a/z': 3}
        assert {write.expect for write in writes} == {7}

    def test_node_with_an_old_configuration_raises_nothing(self) -> None:
        """Fails if a limit that was lowered since is used up again."""
        rows = _rows(revision=6, x=2, y=2, z=2)
        assert slice_changes.grow(_view(), _team(9), rows) == []

    def test_slice_of_a_lost_zone_is_redistributed_after_its_leases(
        self,
    ) -> None:
        """Fails if it is reused while the zone may hold leases, or never."""
        rows = _rows(x=3, y=3, z=3)
        live = frozenset((X, Y))
        view = _view(zones=live, reachable=live)
        assert slice_changes.grow(view, _team(9), rows) == []
        later_view = msgspec.structs.replace(view, reclaimable=frozenset((Z,)))
        writes = slice_changes.grow(later_view, _team(9), rows)
        assert _sizes(writes) == {'a/x': 5, 'a/y': 4, 'a/z': 0}

    def test_zone_without_a_leader_keeps_its_slice(self) -> None:
        """Fails if a zone that can't be reached loses or gains units."""
        view = _view(reachable=frozenset((X, Y)))
        rows = _rows(x=3, y=3, z=3)
        used = messages.TeamUsage(model.TeamId('a'), 2, model.Resources(), 0)
        writes = slice_changes.shrink(view, _team(5), rows, used)
        assert _sizes(writes) == {'a/x': 2}
        writes = slice_changes.grow(view, _team(11), rows)
        assert _sizes(writes) == {'a/x': 4, 'a/y': 4, 'a/z': 3}
