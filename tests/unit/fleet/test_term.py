"""Election of the process that decides for the fleet."""

from samphirestack.fleet import records
from samphirestack.fleet import term as terms
from samphirestack import model


def make_term(vm: str = 'a', incarnation: str = 'process-a') -> terms.Term:
    return terms.Term(model.VmId(vm), incarnation, '127.0.0.1:1')


def row(term: int = 1, incarnation: str = 'process-b') -> records.TermRecord:
    return records.TermRecord(
        term, model.VmId('b'), incarnation, '127.0.0.1:2', 1
    )


class TestTakeover:
    """Guards against two holders of the term at the same time."""

    def test_an_outdated_read_permits_no_takeover(self) -> None:
        term = make_term()
        term.observe(0.0, 0.0, row(), 5)
        assert not term.may_take_over(9.0)

    def test_reads_with_a_gap_permit_no_takeover(self) -> None:
        term = make_term()
        term.observe(0.0, 0.0, row(), 5)
        term.observe(9.0, 9.0, row(), 5)
        assert not term.may_take_over(9.1)

    def test_an_unchanged_row_is_taken_over(self) -> None:
        term = make_term()
        term.observe(0.0, 0.0, row(), 5)
        now = 0.0
        while now < terms.TAKEOVER_AFTER_S - 0.5:
            now += 0.4
            term.observe(now, now, row(), 5)
        assert not term.may_take_over(terms.TAKEOVER_AFTER_S - 0.01)
        assert term.may_take_over(terms.TAKEOVER_AFTER_S)

    def test_a_renewed_row_is_not_taken_over(self) -> None:
        term = make_term()
        for step in range(20):
            term.observe(step * 0.5, step * 0.5, row(), 5 + step // 2)
        assert not term.may_take_over(9.6)

    def test_a_released_row_is_taken_over_at_once(self) -> None:
        term = make_term()
        released = records.TermRecord(
            1, model.VmId('b'), 'process-b', '127.0.0.1:2', 2, True
        )
        term.observe(0.0, 0.0, released, 5)
        assert term.may_take_over(0.1)

    def test_proof_of_death_does_not_apply_to_the_successor(self) -> None:
        term = make_term()
        term.observe(0.0, 0.0, row(), 5)
        term.mark_process_dead('process-b')
        assert term.may_take_over(0.1)
        term.observe(0.2, 0.2, row(2, 'process-c'), 6)
        assert not term.may_take_over(0.3)

    def test_a_restarted_process_replaces_its_predecessor(self) -> None:
        term = make_term('b', 'process-new')
        term.observe(0.0, 0.0, row(), 5)
        assert term.may_take_over(0.1)


class TestLastRenewal:
    """Guards against a bound of inherited leases that is too early or late."""

    def test_it_was_sent_before_the_first_read_of_the_row(self) -> None:
        term = make_term()
        term.observe(0.0, 0.1, row(), 5)
        term.observe(1.0, 1.1, row(), 5)
        term.begin_claim(1.2)
        assert term.begin_term(1.3) == 0.1
        term.observe(2.0, 2.1, row(), 6)
        term.begin_claim(2.2)
        assert term.begin_term(2.3) == 2.1


class TestUnansweredClaim:
    """Guards against a lease that counts from the discovery of a claim."""

    def test_the_lease_counts_from_the_first_sending(self) -> None:
        term = make_term('a')
        term.observe(0.0, 0.0, row(), 5)
        term.begin_claim(1.0)
        claimed = term.begin_claim(3.0)
        term.observe(4.0, 4.0, claimed, 6)
        assert term.is_mine
        term.begin_term(4.0)
        assert not term.may_start_work(1.0 + terms.ORDER_LEASE_S)
        assert term.may_extend_leases(1.0 + terms.HOLD_LEASE_S - 0.1)
        assert not term.may_extend_leases(1.0 + terms.HOLD_LEASE_S)

    def test_a_claim_on_a_newer_row_counts_from_its_own_sending(self) -> None:
        term = make_term('a')
        term.observe(0.0, 0.0, row(), 5)
        term.begin_claim(1.0)
        term.observe(2.0, 2.0, row(), 6)
        claimed = term.begin_claim(3.0)
        term.observe(3.5, 3.5, claimed, 7)
        assert term.begin_term(3.5) == 2.0
        assert term.may_start_work(3.0 + terms.ORDER_LEASE_S - 0.1)


class TestAfterAnOutage:
    """Guards against a late takeover after an outage of the store."""

    def _term_after_gap(self) -> terms.Term:
        term = make_term()
        term.observe(0.0, 0.0, row(), 5)
        term.observe(9.0, 9.0, row(), 5)
        return term

    def test_an_unreachable_holder_is_replaced_at_once(self) -> None:
        term = self._term_after_gap()
        assert term.may_take_over(9.1, holder_answered_at=5.0)

    def test_a_reachable_holder_is_given_time_to_renew(self) -> None:
        term = self._term_after_gap()
        assert not term.may_take_over(9.1, holder_answered_at=8.9)

    def test_a_holder_that_has_renewed_is_not_replaced(self) -> None:
        term = make_term()
        term.observe(0.0, 0.0, row(), 5)
        term.observe(9.0, 9.0, row(), 6)
        assert not term.may_take_over(9.1, holder_answered_at=5.0)


class TestLease:
    """Guards against a holder that acts after others may have replaced it."""

    def test_work_starts_end_before_a_takeover_is_possible(self) -> None:
        term = make_term()
        record = term.begin_claim(10.0)
        term.record_write(10.0, record, 1)
        assert term.may_start_work(10.0 + terms.ORDER_LEASE_S - 0.01)
        assert not term.may_start_work(10.0 + terms.ORDER_LEASE_S)
        assert terms.ORDER_LEASE_S < terms.TAKEOVER_AFTER_S

    def test_lease_extensions_end_after_their_own_bound(self) -> None:
        term = make_term()
        term.record_write(10.0, term.begin_claim(10.0), 1)
        assert term.may_extend_leases(10.0 + terms.HOLD_LEASE_S - 0.01)
        assert not term.may_extend_leases(10.0 + terms.HOLD_LEASE_S)

    def test_an_abandoned_term_can_be_taken_over(self) -> None:
        term = make_term()
        term.record_write(10.0, term.begin_claim(10.0), 1)
        term.abandon('process-next')
        assert not term.is_mine
        assert not term.may_extend_leases(10.1)
        term.observe(10.2, 10.2, term.record, 1)
        assert term.may_take_over(10.3)


class TestStrength:
    """Guards against a holder on a VM that is too weak for the load."""

    def test_a_slow_link_reduces_the_strength(self) -> None:
        assert terms.strength(2.0, 10.0) < terms.strength(1.0, 100.0)

    def test_the_strongest_entry_claims_first(self) -> None:
        assert terms.claim_delay_s(2.0, 2.0) == 0.0
        assert terms.claim_delay_s(0.5, 2.0) > 0.5
        assert terms.claim_delay_s(1.07, 0.0) == 0.0

    def test_only_a_much_stronger_entry_gets_a_handover(self) -> None:
        assert not terms.should_hand_over(1.0, 1.0, 100.0)
        assert not terms.should_hand_over(0.5, 2.0, 1.0)
        assert terms.should_hand_over(0.5, 2.0, 4.0)

    def test_a_weak_entry_waits_without_knowing_others(self) -> None:
        weak = terms.claim_delay_s(0.125, 0.0)
        assert weak > terms.claim_delay_s(1.07, 0.0) == 0.0
        assert weak > 0.5

    def test_the_row_informs_new_entries_of_the_strongest(self) -> None:
        holder = make_term('b', 'process-b')
        holder.best_strength = 2.0
        claimed = holder.begin_claim(0.0)
        holder.record_write(0.0, claimed, 5)
        started = make_term()
        started.observe(0.5, 0.5, holder.renewal_record(), 6)
        assert started.best_strength == 2.0
        assert started.begin_claim(0.0).best_strength == 2.0
