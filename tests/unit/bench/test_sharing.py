"""Tests of the simulated zones."""

from collections.abc import Iterable
import random

import pytest

from samphirestack_bench.benchmarks import share
from samphirestack_bench import clusters
from samphirestack_bench import sharing
from samphirestack_testing import ledger
from samphirestack_testing import oracle


def _most_at_once(slots: Iterable[clusters.Slot]) -> int:
    changes = [(slot.start, 1) for slot in slots]
    changes += [(slot.end, -1) for slot in slots]
    running = most = 0
    for _, change in sorted(changes):
        running += change
        most = max(most, running)
    return most


class TestSimulation:
    """All policies share the same slots."""

    @pytest.mark.parametrize('name', sorted(share.POLICIES))
    def test_a_policy_uses_no_more_slots_than_exist(self, name: str) -> None:
        """Guards against comparing policies on different capacities."""
        slots = share.POLICIES[name](0.5, random.Random(1))
        assert {slot.team for slot in slots} == set(sharing.SHARES)
        most = _most_at_once(slots)
        assert most <= sharing.CAPACITY
        if name != 'static':
            assert most == sharing.CAPACITY


class TestBacklog:
    """The condition under which shares are judged."""

    def test_fewest_waiting_counts_within_the_window(self) -> None:
        """Guards against judging a team that had nothing to run."""
        calls = [
            ledger.CallRecord(
                name,
                'coast',
                'q',
                False,
                True,
                sent,
                sent + 30,
                ledger.Outcome.ANSWERED,
                1,
                entry='menez-entry-0',
            )
            for name, sent in (('x', 1.0), ('y', 2.0), ('z', 6.0))
        ]
        starts = [
            ledger.Line(
                at, ledger.Event.START, ledger.Subject.REQUEST, 'u', call=name
            )
            for name, at in (('x', 4.0), ('y', 5.0), ('z', 20.0))
        ]
        run = oracle.Run(starts, calls)
        assert share.waiting_min(run, 3.0) == {'coast@menez': 0}
        assert share.waiting_min(run, 7.0) == {'coast@menez': 1}
