"""Tests of fair shares between teams."""

import pytest

from samphirestack.internal.decisions import fairshare
from samphirestack.internal import messages
from samphirestack import model

A, B = model.TeamId('a'), model.TeamId('b')
NONE = model.Resources()
ZONE = model.ZoneId('z')


def _tracker() -> fairshare.ShareTracker:
    tracker = fairshare.ShareTracker()
    tracker.set_capacity(model.Resources(10_000, 10_000, 10), 10)
    tracker.set_weight(A, 1.0)
    tracker.set_weight(B, 1.0)
    return tracker


def _starts(tracker: fairshare.ShareTracker, count: int) -> dict[str, int]:
    """Repeatedly start work of the first team in order and count starts."""
    started = {A: 0, B: 0}
    for _ in range(count):
        team = tracker.order(0.0, [A, B])[0]
        tracker.charge(0.0, team, 1, NONE)
        started[team] += 1
    return dict(started)


class TestOrder:
    """The team furthest below its share goes first."""

    def test_equal_teams_take_turns(self) -> None:
        """Fails if ties always go to the same team."""
        assert _starts(_tracker(), 8) == {A: 4, B: 4}

    def test_weights_divide_starts(self) -> None:
        """Fails if the weight is ignored or inverted."""
        tracker = _tracker()
        tracker.set_weight(A, 3.0)
        assert _starts(tracker, 8) == {A: 6, B: 2}

    def test_dominant_resource_decides(self) -> None:
        """Fails if slots and resources are not compared as fractions."""
        tracker = _tracker()
        tracker.charge(0.0, A, 3, NONE)
        tracker.charge(0.0, B, 0, model.Resources(1000, 100, 4))
        assert tracker.order(0.0, [A, B]) == [A, B]
        assert tracker.explain(0.0, B).dominant_resource == 'accelerators'

    def test_remote_use_counts_until_the_zone_is_removed(self) -> None:
        """Fails if a team gains by spreading its work over zones.

        Lost zones must no longer count.
        """
        tracker = _tracker()
        tracker.charge(0.0, A, 1, NONE)
        usage = messages.TeamUsage(B, 5, NONE, 0, slots=5)
        tracker.set_remote(0.0, ZONE, [usage], slots=10)
        tracker.order(0.0, [A, B])
        assert tracker.order(1.0, [A, B]) == [A, B]
        tracker.remove_remote(1.0, ZONE)
        for second in (2.0, 3.0, 4.0):
            tracker.order(second, [A, B])
        assert tracker.order(4.0, [A, B]) == [B, A]

    def test_remote_use_does_not_affect_the_order_at_once(self) -> None:
        """Fails if zones over-correct on reports that are a second old."""
        tracker = _tracker()
        tracker.charge(0.0, A, 1, NONE)
        usage = messages.TeamUsage(B, 5, NONE, 0, slots=5)
        tracker.set_remote(0.0, ZONE, [usage], slots=10)
        assert tracker.order(0.0, [A, B]) == [B, A]

    def test_mean_use_includes_requests_between_two_messages(self) -> None:
        """Fails if requests that end between two reports are not charged."""
        tracker = _tracker()
        tracker.pop_mean_slots(0.0, A)
        tracker.charge(0.2, A, 2, NONE)
        tracker.refund(0.7, A, 2, NONE)
        assert tracker.pop_mean_slots(1.0, A) == pytest.approx(1.0)
        assert tracker.pop_mean_slots(2.0, A) == 0.0


class TestDeficit:
    """Past use counts for a limited time and within a bound."""

    def test_team_that_got_less_goes_first_afterwards(self) -> None:
        """Fails if use no longer counts as soon as the work has ended."""
        tracker = _tracker()
        tracker.order(0.0, [A, B])
        tracker.charge(0.0, A, 10, NONE)
        for second in range(1, 6):
            tracker.order(float(second), [A, B])
        tracker.refund(5.0, A, 10, NONE)
        assert tracker.order(5.0, [A, B]) == [B, A]
        assert tracker.explain(5.0, A).deficit_s < 0

    def test_deficit_is_bounded_by_the_window(self) -> None:
        """Fails if the deficit of a waiting team grows without bound."""
        tracker = _tracker()
        tracker.charge(0.0, A, 10, NONE)
        for second in range(200):
            tracker.order(float(second), [A, B])
        owed = tracker.explain(199.0, B)
        bound = owed.entitled * fairshare.DEFICIT_WINDOW_S
        assert owed.deficit_s == pytest.approx(bound)

    def test_idle_team_is_owed_nothing(self) -> None:
        """Fails if a team without waiting work accumulates a deficit."""
        tracker = _tracker()
        tracker.charge(0.0, A, 10, NONE)
        for second in range(60):
            tracker.order(float(second), [A])
        assert tracker.explain(60.0, B).deficit_s == 0


class TestAudit:
    """Decisions can be explained with a bounded number of records."""

    def test_records_are_bounded_and_list_passed_over_teams(self) -> None:
        """Fails if the log grows or omits teams that were passed over."""
        tracker = _tracker()
        passed = fairshare.PassedOver(B, fairshare.Reason.LIMIT, 0.5)
        for number in range(fairshare.AUDIT_RECORDS + 5):
            tracker.record(
                fairshare.AuditRecord(
                    0.0, A, str(number), True, 'share', 0.0, (passed,)
                )
            )
        assert len(tracker.records()) == fairshare.AUDIT_RECORDS
        assert tracker.explain(0.0, B).records[-1].passed_over == (passed,)
