"""Cases of freshness that the state machine test rarely reaches."""

import pytest

from samphirestack.internal import freshness
from samphirestack import model

ROSTER = frozenset(map(model.VmId, 'abc'))


@pytest.fixture
def node():
    """Return node ``a`` of three at revision 5, read from the table."""
    state = freshness.Freshness(model.VmId('a'), 3.0)
    state.set_revision(model.Revision(5))
    state.set_roster(ROSTER)
    state.record_table_read(10.0, model.Revision(4))
    return state


class TestConfirmation:
    """Guards against confirmations that count too long or from anybody."""

    def test_table_read_counts_from_when_it_was_sent(self, node):
        assert node.is_fresh(12.9)
        assert not node.is_fresh(13.0)

    def test_answer_from_outside_the_roster_does_not_count(self, node):
        node.record_answer(model.VmId('x'), 20.0, model.Revision(5))
        assert not node.is_fresh(20.1)
        node.record_answer(model.VmId('b'), 20.0, model.Revision(5))
        assert node.is_fresh(20.1)

    def test_peer_with_a_higher_promise_stops_counting_at_once(self, node):
        node.record_answer(model.VmId('b'), 20.0, model.Revision(5))
        node.record_answer(model.VmId('b'), 20.5, model.Revision(6))
        assert not node.is_fresh(20.6)

    def test_commit_of_a_newer_revision_ends_freshness(self, node):
        node.record_commit(model.Revision(6))
        assert not node.is_fresh(10.1)
        node.set_revision(model.Revision(6))
        assert node.is_fresh(10.1)

    def test_node_without_configuration_is_never_fresh(self):
        state = freshness.Freshness(model.VmId('a'), 3.0)
        state.record_table_read(10.0, model.Revision(0))
        assert not state.is_fresh(10.0)


class TestPromise:
    """Guards against promises that are lost while a write is delayed."""

    def test_restarted_node_confirms_only_after_a_later_commit(self):
        state = freshness.Freshness(model.VmId('a'), 3.0)
        state.set_revision(model.Revision(5))
        assert state.promised == freshness.ABOVE_ALL_REVISIONS
        state.record_table_read(10.0, model.Revision(5))
        assert state.promised == 6
        state.set_revision(model.Revision(6))
        assert state.promised == 6
        assert not state.has_open_promise

    def test_promise_before_the_first_table_read_is_kept(self):
        state = freshness.Freshness(model.VmId('a'), 3.0)
        assert state.promise(10.0, model.Revision(9))
        state.record_table_read(11.0, model.Revision(7))
        assert state.promised == 9

    def test_promise_is_refused_for_a_revision_in_force(self, node):
        assert not node.promise(20.0, model.Revision(5))
        assert node.promise(20.0, model.Revision(6))

    def test_open_promise_ages_until_the_commit(self, node):
        node.promise(20.0, model.Revision(6))
        node.promise(24.0, model.Revision(6))
        assert node.promise_age(26.0) == 6.0
        node.record_commit(model.Revision(6))
        assert node.promise_age(26.0) == 0.0

    def test_majority_is_of_the_whole_roster(self, node):
        assert not node.is_majority({model.VmId('a'), model.VmId('x')})
        assert node.is_majority({model.VmId('a'), model.VmId('c')})
