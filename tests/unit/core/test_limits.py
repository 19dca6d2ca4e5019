"""Tests of the ledger of team limits and the computation of slices."""

import pytest

from samphirestack import configuration
from samphirestack.internal.decisions import limits
from samphirestack.internal import messages
from samphirestack import model

TEAM = model.TeamId('a')
NONE = model.Resources()
ZONES = [model.ZoneId(name) for name in ('x', 'y', 'z')]


def _running(*sizes: int) -> dict[model.ZoneId, configuration.Limit]:
    return {
        zone: configuration.Limit(running=size)
        for zone, size in zip(ZONES, sizes, strict=True)
    }


class TestTeamLedger:
    """A team never gets more than its slice."""

    def test_unknown_slice_allows_nothing(self) -> None:
        """Fails if a leader starts work before it has read the slices."""
        assert not limits.TeamLedger().try_acquire(TEAM, 1, NONE)

    def test_team_without_a_limit_needs_no_slice(self) -> None:
        """Fails if a table outage stops teams that have no limit."""
        ledger = limits.TeamLedger()
        ledger.configure({TEAM: configuration.Team(TEAM)})
        assert ledger.try_acquire(TEAM, 1, model.Resources(1000, 1, 0))

    def test_requests_and_tasks_share_one_slice(self) -> None:
        """Fails if a dimension is not checked or charged on a refusal."""
        ledger = limits.TeamLedger()
        ledger.set_slice(TEAM, configuration.Limit(2, millicores=1500))
        task = model.Resources(1000, 64, 0)
        assert ledger.try_acquire(TEAM, 1, task)
        assert not ledger.try_acquire(TEAM, 1, task)
        assert ledger.try_acquire(TEAM, 1, NONE)
        assert not ledger.try_acquire(TEAM, 1, NONE)
        assert ledger.headroom(TEAM) == configuration.Limit(0, 500)
        assert set(ledger.pop_shortages()) == {
            limits.Shortage(TEAM, 'millicores', 500),
            limits.Shortage(TEAM, 'running', 1),
        }

    def test_lowered_slice_blocks_until_use_is_below_it(self) -> None:
        """Fails if a team may start work while its use is above its slice."""
        ledger = limits.TeamLedger()
        ledger.set_slice(TEAM, configuration.Limit(3))
        for _ in range(3):
            assert ledger.try_acquire(TEAM, 1, NONE)
        ledger.set_slice(TEAM, configuration.Limit(2))
        ledger.release(TEAM, 1, NONE)
        assert not ledger.try_acquire(TEAM, 1, NONE)
        ledger.release(TEAM, 1, NONE)
        assert ledger.try_acquire(TEAM, 1, NONE)

    def test_new_limit_starts_at_zero_and_never_exceeds_the_limit(
        self,
    ) -> None:
        """Fails if a new limit has no effect until its slices are read."""
        ledger = limits.TeamLedger()
        ledger.configure({TEAM: configuration.Team(TEAM)})
        limited = configuration.Team(TEAM, limit=configuration.Limit(4))
        ledger.configure({TEAM: limited})
        assert not ledger.try_acquire(TEAM, 1, NONE)
        ledger.set_slice(TEAM, configuration.Limit(9))
        ledger.configure({TEAM: limited})
        assert ledger.slice_of(TEAM).running == 4

    def test_releasing_more_than_held_is_an_error(self) -> None:
        """Fails if a double release silently raises the headroom."""
        with pytest.raises(ValueError, match='released'):
            limits.TeamLedger().release(TEAM, 1, NONE)


class TestSlices:
    """The sum of the slices never exceeds the limit."""

    def test_even_split_uses_the_whole_limit(self) -> None:
        """Fails if remainders are lost or handed out twice."""
        split = limits.split_evenly(configuration.Limit(running=8), ZONES)
        assert split == _running(3, 3, 2)

    def test_lowering_removes_the_whole_excess_from_the_unused_part(
        self,
    ) -> None:
        """Fails if a zone starts work while others use up the new limit."""
        slices = _running(4, 10, 10)
        limit = configuration.Limit(15)
        for used, left in ((0, 1), (2, 2), (5, 5)):
            usage = messages.TeamUsage(TEAM, used, NONE, 0)
            lowered = limits.reduced_slice(ZONES[1], slices, limit, usage)
            assert lowered.running == left
        usage = messages.TeamUsage(TEAM, 0, NONE, 0)
        assert (
            limits.reduced_slice(ZONES[0], slices, limit, usage).running == 0
        )

    def test_transfer_keeps_the_sum(self) -> None:
        """Fails if a transfer creates or loses units."""
        donor, receiver = configuration.Limit(5), configuration.Limit(1)
        transfer = limits.transfer(donor, receiver, 'running', 3)
        assert transfer.donor.running == 2
        assert transfer.receiver.running == 4
        with pytest.raises(ValueError, match='slice of 5'):
            limits.transfer(donor, receiver, 'running', 6)

    def test_donor_keeps_what_it_uses(self) -> None:
        """Fails if a donor gives away units that are in use."""
        ledger = limits.TeamLedger()
        ledger.set_slice(TEAM, configuration.Limit(10))
        ledger.adopt(TEAM, 7, NONE)
        held, usage = ledger.slice_of(TEAM), ledger.usage(TEAM)
        assert limits.donatable_amount(held, usage, 'running', 9) == 2
        assert limits.donatable_amount(held, usage, 'memory_mb', 9) == 0
