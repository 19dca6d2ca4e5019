"""Cases of the election that the state machine test rarely reaches."""

import pytest

from samphirestack.internal import leadership
from samphirestack import model

ARBITERS = tuple(map(model.WorkerId, ('w1', 'w2', 'w3')))
OLD = model.VmId('b')


def grant(state, now, epoch, sent_at):
    for worker in ARBITERS[:2]:
        state.record_granted_lease(now, worker, model.Epoch(epoch), sent_at)


@pytest.fixture
def standby():
    """Return a node to which all arbiters reported that they hold no epoch."""
    state = leadership.Leadership(model.VmId('a'), 0.0)
    state.set_arbiters(ARBITERS)
    assert state.tick(0.1).epoch == leadership.PROBE_EPOCH
    for worker in ARBITERS:
        state.record_rejected_lease(
            0.2, worker, model.Epoch(0), model.Epoch(0)
        )
    return state


@pytest.fixture
def leader(standby):
    """Return a node that won epoch 1 at 2.9 with calls sent at 2.0."""
    assert standby.tick(2.0).epoch == 1
    grant(standby, 2.9, 1, 2.0)
    return standby


class TestValidity:
    """Guards against a term that stays valid after its leases expired."""

    def test_claim_counts_from_when_it_was_sent(self, leader):
        assert leader.holds_majority(3.4)
        assert not leader.holds_majority(3.5)

    def test_renewal_counts_from_when_it_was_sent(self, leader):
        grant(leader, 9.0, 1, 3.0)
        assert not leader.holds_majority(9.0)

    def test_leader_waits_until_leases_of_an_unknown_older_one_expire(
        self, leader
    ):
        grant(leader, 4.3, 1, 4.2)
        assert not leader.may_act(4.39)
        assert leader.may_act(4.4)

    def test_higher_epoch_of_a_peer_ends_the_term(self, leader):
        leader.record_heartbeat(3.0, OLD, OLD, model.Epoch(2), False)
        assert leader.term is None
        assert leader.leader(3.0) == (OLD, 2)

    def test_expired_lease_of_one_worker_causes_a_claim_of_a_new_epoch(
        self, leader
    ):
        grant(leader, 3.0, 1, 3.0)
        leader.record_agent_epoch(3.0, model.Epoch(1))
        assert leader.tick(4.1).epoch == 2
        grant(leader, 4.2, 2, 4.1)
        assert leader.term.epoch == 2
        assert leader.term.grant_from == 4.4

    def test_resigned_leader_claims_nothing(self, leader):
        leader.resign(3.0)
        assert leader.term is None
        assert leader.tick(60.0) is None


class TestTakeover:
    """Guards against a takeover that is too early or never happens."""

    def take_over(self, state):
        state.record_heartbeat(1.0, OLD, OLD, model.Epoch(4), False)
        state.tick(1.9)
        assert state.silent_leader(2.05) == OLD
        state.record_refused_connection(OLD)
        assert state.tick(2.1).epoch == 5
        grant(state, 2.2, 5, 2.1)

    def test_dead_leader_is_replaced_without_waiting(self, standby):
        self.take_over(standby)
        assert standby.term.grant_from == 2.5

    def test_leader_before_the_dead_one_must_have_expired(self, standby):
        # The first heartbeat with epoch 4 came at 1.0, so a leader with
        # epoch 3 can act until 2.5.
        self.take_over(standby)
        assert not standby.may_act(2.4)
        assert standby.may_act(2.5)

    def test_held_report_of_the_old_leader_ends_the_wait(self, standby):
        standby.record_heartbeat(1.0, OLD, OLD, model.Epoch(4), False)
        standby.record_heartbeat(
            1.2, OLD, model.VmId(''), model.Epoch(4), True
        )
        assert standby.tick(1.3).epoch == 5
        grant(standby, 1.4, 5, 1.3)
        standby.record_held_report(2.0, model.VmId('c'), model.Epoch(5))
        assert standby.term.grant_from == pytest.approx(2.9)
        standby.record_held_report(2.0, OLD, model.Epoch(5))
        assert standby.term.grant_from == 2.5

    def test_next_entry_claims_after_a_delay_if_the_first_does_not(
        self, standby
    ):
        standby.record_heartbeat(
            1.0, model.VmId('0'), model.VmId(''), 0, False
        )
        assert standby.tick(1.1) is None
        standby.record_heartbeat(
            1.8, model.VmId('0'), model.VmId(''), 0, False
        )
        assert standby.tick(1.7) is None
        assert standby.tick(1.8).epoch == 1

    def test_no_claim_while_others_get_heartbeats_of_a_leader(self, standby):
        for tenth in range(11, 60):
            standby.record_heartbeat(
                tenth / 10, OLD, model.VmId('c'), 3, False
            )
            assert standby.tick(tenth / 10) is None

    def test_restarted_node_queries_the_highest_epoch_first(self):
        state = leadership.Leadership(model.VmId('a'), 0.0)
        state.set_arbiters(ARBITERS)
        assert state.tick(5.0).epoch == leadership.PROBE_EPOCH
        for worker in ARBITERS[:2]:
            state.record_rejected_lease(
                5.1, worker, model.Epoch(7), model.Epoch(0)
            )
        assert state.tick(5.6).epoch == 8
