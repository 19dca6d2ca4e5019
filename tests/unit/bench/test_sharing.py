"""Tests of the simulated zones."""

from collections.abc import Iterable
import random

import pytest

from samphirestack_bench.benchmarks import share
from samphirestack_bench import clusters
from samphirestack_bench import sharing


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
