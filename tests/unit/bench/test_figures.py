"""Tests of the arithmetic of the benchmarks on small inputs."""

import math

import pytest

from samphirestack_bench.benchmarks import limits
from samphirestack_bench.benchmarks import overhead
from samphirestack_bench.benchmarks import recovery
from samphirestack_bench import clusters
from samphirestack_bench import records
from samphirestack_bench import shares
from samphirestack_testing import ledger
from samphirestack_testing import oracle

ANSWERED = ledger.Outcome.ANSWERED


def _call(
    name: str,
    sent: float,
    ended: float,
    outcome: ledger.Outcome = ANSWERED,
) -> ledger.CallRecord:
    return ledger.CallRecord(
        name, 'coast', 'q', True, True, sent, ended, outcome, 1
    )


def _line(
    event: ledger.Event, at: float, name: str, place: str = 'u'
) -> ledger.Line:
    return ledger.Line(
        at,
        event,
        ledger.Subject.REQUEST,
        place,
        id=f'id-{name}',
        team='coast',
        call=name,
    )


class TestWaits:
    """Waiting times from records and ledgers."""

    def test_a_wait_ends_at_the_first_start(self) -> None:
        """Guards against counting from a retry or an unstarted call."""
        run = oracle.Run(
            [
                _line(ledger.Event.START, 1.5, 'x'),
                _line(ledger.Event.START, 4.0, 'x', 'v'),
            ],
            [_call('x', 1.0, 5.0), _call('never', 1.0, 5.0)],
        )
        assert clusters.waits(run, True) == [0.5]
        assert clusters.waits(run, False) == []


class TestWindows:
    """Entitled and received slot time."""

    def test_time_is_cut_at_the_borders_of_a_window(self) -> None:
        """Guards against charging time outside the window."""
        slots = [
            clusters.Slot('a', -5.0, 8.0),
            clusters.Slot('b', 9.0, 30.0),
        ]
        first, second = shares.windows(slots, {'a': 3, 'b': 1}, 2, 0, 20.0)
        assert first.received == {'a': 8.0, 'b': 1.0}
        assert first.entitled == {'a': 6.75, 'b': 2.25}
        assert first.utilization == pytest.approx(0.45)
        assert first.error == pytest.approx(1.25 / 2.25)
        assert second.received == {'a': 0.0, 'b': 10.0}

    def test_slot_times_pair_starts_with_ends(self) -> None:
        """Guards against pairing the same request at two upstreams."""
        lines = [
            _line(ledger.Event.START, 1.0, 'x'),
            _line(ledger.Event.START, 2.0, 'x', 'v'),
            _line(ledger.Event.END, 3.0, 'x', 'v'),
            _line(ledger.Event.END, 5.0, 'x'),
        ]
        assert clusters.slot_times(lines) == [
            clusters.Slot('coast', 2.0, 3.0),
            clusters.Slot('coast', 1.0, 5.0),
        ]


class TestOutcome:
    """Recovery after a fault."""

    def test_recovery_ends_with_the_last_late_urgent_call(self) -> None:
        """Guards against missing calls that never start."""
        run = oracle.Run(
            [
                _line(ledger.Event.START, 12.9, 'slow'),
                _line(ledger.Event.START, 20.0, 'good'),
            ],
            [
                _call('slow', 10.0, 13.0),
                _call('good', 19.9, 20.1),
                _call('gone', 11.5, 11.6, ledger.Outcome.MAY_HAVE_RUN),
            ],
        )
        found = recovery.outcome(run, 10.0)
        assert found == recovery.Outcome(1.5, 2, 2.9, {'': 2})

    def test_redone_counts_second_starts(self) -> None:
        """Guards against counting every start."""
        lines = [
            _line(ledger.Event.START, at, name)
            for at, name in enumerate(('x', 'y', 'x', 'x'))
        ]
        assert recovery.redone(lines, ledger.Subject.REQUEST) == 2
        assert recovery.redone(lines, ledger.Subject.TASK) == 0


class TestRatios:
    """Ratios and lost parts."""

    def test_ratios_compare_through_with_direct(self) -> None:
        """Guards against inverted ratios."""
        record = overhead.compared(
            1, overhead.Sample(100, 2, 4), overhead.Sample(25, 6, 20)
        )
        assert record['throughput_ratio'] == 0.25
        assert record['p50_ratio'] == 3
        assert record['p99_ratio'] == 5

    @pytest.mark.parametrize(
        ('zones', 'cut', 'used', 'lost'),
        [(3, 1, 0.0, 1 / 3), (9, 1, 0.5, 1 / 18), (9, 3, 1.0, 0.0)],
    )
    def test_unused_slices_are_lost(
        self, zones: int, cut: int, used: float, lost: float
    ) -> None:
        """Guards against counting used slices as lost."""
        found = limits.lost_part(900, zones, cut, used)
        assert math.isclose(found, lost, abs_tol=1e-4)


class TestBounds:
    """A figure is judged against its bound in the right direction."""

    def test_upper_and_lower_bounds(self) -> None:
        """Guards against a missed bound that is reported as met."""
        record: records.Record = {'low': 1.0, 'high': 3.0}
        records.require_at_most(record, 'low', 2.0)
        records.require_at_least(record, 'high', 2.0)
        assert record['low_met'] is True
        assert record['high_met'] is True
        records.require_at_most(record, 'high', 2.0)
        records.require_at_least(record, 'low', 2.0)
        assert record['high_met'] is False
        assert record['low_met'] is False
