"""Tests of the selection of upstreams and of retry budgets."""

from samphirestack.internal.decisions import retries
from samphirestack.internal.decisions import routing
from samphirestack import model
from samphirestack import platform

SERVICE = model.ServiceId('s')
U1, U2 = model.UpstreamId('u1'), model.UpstreamId('u2')
IDLE = platform.UpstreamStatus(2, (), False)


def _vm(
    upstream: model.UpstreamId, state: model.VmState = model.VmState.LIVE
) -> model.Vm:
    return model.Vm(
        model.VmId(upstream),
        f'{upstream}:1',
        model.VmRole.UPSTREAM,
        model.ZoneId('z'),
        state=state,
        service=SERVICE,
        slots=2,
    )


def _pool() -> routing.UpstreamPool:
    pool = routing.UpstreamPool()
    pool.set_upstreams(0.0, [_vm(U1), _vm(U2)])
    pool.record_status(U1, IDLE, True)
    pool.record_status(U2, IDLE, True)
    return pool


class TestUpstreamPool:
    """Only slots that are known to be free are available."""

    def test_least_loaded_upstream_is_chosen_until_all_are_full(self) -> None:
        """Fails if slots are counted wrongly or spread unevenly."""
        pool = _pool()
        chosen = []
        while (upstream := pool.choose(SERVICE)) is not None:
            pool.occupy_slot(upstream)
            chosen.append(upstream)
        assert sorted(chosen) == [U1, U1, U2, U2]
        assert chosen[0] != chosen[1]
        pool.release_slot(U2)
        assert pool.choose(SERVICE) == U2

    def test_avoided_upstream_is_used_only_if_no_other_is_healthy(
        self,
    ) -> None:
        """Fails if a retry goes back to the upstream that failed."""
        pool = _pool()
        assert pool.choose(SERVICE, avoid=[U1]) == U2
        pool.occupy_slot(U2)
        pool.occupy_slot(U2)
        assert pool.choose(SERVICE, avoid=[U1]) is None
        pool.mark_leaving(U2)
        assert pool.choose(SERVICE, avoid=[U1]) == U1
        assert pool.choose(SERVICE, excluded=[U1]) is None

    def test_leaving_or_silent_upstream_gets_nothing(self) -> None:
        """Fails if requests go to an upstream that is leaving or silent."""
        pool = _pool()
        leaving = platform.UpstreamStatus(2, (), True)
        pool.record_status(U1, leaving, True)
        pool.set_upstreams(1.0, [_vm(U1), _vm(U2, model.VmState.LEAVING)])
        assert not pool.has_free(SERVICE)
        pool.record_status(U1, IDLE, True)
        assert pool.choose(SERVICE) == U1
        for _ in range(routing.MISSED_POLLS):
            pool.record_status(U1, None, True)
        assert not pool.has_free(SERVICE)
        assert pool.capacity() == routing.Capacity(0, 0)

    def test_no_slot_is_available_before_a_current_status(self) -> None:
        """Fails if a new leader ignores the grants of its predecessor."""
        pool = _pool()
        pool.require_status()
        pool.record_status(U1, IDLE, False)
        assert not pool.has_free(SERVICE)
        pool.record_status(U1, IDLE, True)
        assert pool.choose(SERVICE) == U1

    def test_breaker_opens_probes_and_closes(self) -> None:
        """Fails if the breaker of a failing upstream never opens or closes."""
        pool = _pool()
        for _ in range(routing.FAILURES_TO_OPEN):
            pool.record_result(0.0, U1, True)
        pool.mark_leaving(U2)
        assert not pool.has_free(SERVICE)
        pool.update_breakers(routing.FIRST_OPEN_S)
        assert pool.choose(SERVICE) == U1
        pool.occupy_slot(U1)
        assert pool.choose(SERVICE) is None
        pool.record_result(2.0, U1, False)
        assert pool.choose(SERVICE) == U1


class TestRetryBudget:
    """Retries are limited to a fraction of the load of a service."""

    def test_budget_is_a_tenth_of_recent_requests(self) -> None:
        """Fails if retries can multiply the load of a failing service."""
        budget = retries.RetryBudget()
        for _ in range(50):
            budget.record_request(0.0, SERVICE)
        allowed = [budget.try_retry(0.0, SERVICE) for _ in range(50)]
        assert sum(allowed) == 5
        other = model.ServiceId('other')
        assert budget.try_retry(0.0, other)
        assert not budget.try_retry(0.0, other)
        later = 3 * retries.WINDOW_S
        assert budget.try_retry(later, SERVICE)
