"""Real processes and their failures, behind the fault proxy.

Every test runs the small scenario and lets the oracle judge the ledgers.
"""

import pathlib

import msgspec
import pytest

from samphirestack import model
from samphirestack_testing import cluster
from samphirestack_testing import faultproxy
from samphirestack_testing import ledger
from samphirestack_testing import scenario
from samphirestack_testing.standins import upstreams
from samphirestack_testing import trial
from samphirestack_testing import waiting

Kind = scenario.FaultKind
Outcome = ledger.Outcome
ZONE = 'arree'
WAIT_S = 30.0


@pytest.fixture(name='plan')
def _plan() -> scenario.Scenario:
    return scenario.builtin('small')


def _jobs(
    kind: model.JobKind, tasks: int = 2, run_time_s: float = 1.0
) -> scenario.Jobs:
    return scenario.Jobs(
        'reroute-plans',
        'gritting',
        kind,
        rate_per_s=1.0,
        tasks=tasks,
        run_time_s=run_time_s,
        until_s=4.0,
    )


def _with(plan: scenario.Scenario, **fields: object) -> scenario.Scenario:
    return msgspec.structs.replace(plan, **fields)


class TestWholePath:
    """Work goes from the caller to upstreams and workers and back."""

    async def test_requests_batches_gangs_and_services(
        self, plan: scenario.Scenario, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a kind of work that never ends as it should."""
        kinds = tuple(map(_jobs, model.JobKind))
        result = await trial.run(_with(plan, jobs=kinds), tmp_path)
        assert result.kinds() == []
        assert result.count(Outcome.ANSWERED) == len(result.run.calls) > 0
        states = {(job.kind, job.state) for job in result.run.jobs}
        assert states == {
            ('batch', 'succeeded'),
            ('gang', 'succeeded'),
            ('service', 'cancelled'),
        }


class TestLeader:
    """The loss of a zone leader loses and doubles nothing."""

    async def test_kill_under_load(
        self, plan: scenario.Scenario, tmp_path: pathlib.Path
    ) -> None:
        """Guards against requests and tasks that die with the leader."""
        fault = scenario.Fault(Kind.KILL_LEADER, 2.0, target=ZONE)
        jobs = (_jobs(model.JobKind.BATCH),)
        damaged = _with(plan, jobs=jobs, faults=(fault,))
        result = await trial.run(damaged, tmp_path)
        assert result.kinds() == []
        assert {job.state for job in result.run.jobs} == {'succeeded'}

    async def test_pause_longer_than_its_leases(
        self, plan: scenario.Scenario, tmp_path: pathlib.Path
    ) -> None:
        """Guards against an old leader that acts when it wakes up."""
        ttl_s = plan.timing['worker_ttl_s']
        fault = scenario.Fault(
            Kind.PAUSE_LEADER, 1.0, until_s=2.0 + ttl_s, target=ZONE
        )
        jobs = (_jobs(model.JobKind.BATCH, run_time_s=4.0),)
        damaged = _with(
            plan, jobs=jobs, faults=(fault,), duration_s=4.0 + ttl_s
        )
        result = await trial.run(damaged, tmp_path)
        assert result.kinds() == []
        assert {job.state for job in result.run.jobs} == {'succeeded'}


class TestTableOutage:
    """Requests go on without the table; what needs a row says so."""

    async def test_outage_under_load(
        self, plan: scenario.Scenario, tmp_path: pathlib.Path
    ) -> None:
        """Guards against requests that wait for the table."""
        fault = scenario.Fault(Kind.TABLE_DOWN, 1.0, until_s=8.0)
        damaged = _with(
            plan,
            jobs=(_jobs(model.JobKind.BATCH),),
            faults=(fault,),
            duration_s=10.0,
        )
        result = await trial.run(damaged, tmp_path)
        assert result.kinds() == []
        plain = [call for call in result.run.calls if not call.key]
        assert {call.outcome for call in plain} == {Outcome.ANSWERED}
        codes = {job.code for job in result.run.jobs if not job.job}
        assert codes == {'store_unavailable'}


class TestSilentConnections:
    """Connections that go silent for ever delay work and lose none."""

    async def test_peers_and_upstreams(
        self, plan: scenario.Scenario, tmp_path: pathlib.Path
    ) -> None:
        """Guards against calls that wait on a dead connection."""

        async def silence(started: cluster.Cluster) -> None:
            def answering() -> bool:
                return len(started.run_so_far().calls) > 20

            await waiting.until(answering, WAIT_S, 'answers')
            command = faultproxy.Command(silence_open=True)
            for vm_id in started.entries:
                await started.control(cluster.PEER_PROXIES, vm_id, command)
            await started.control(
                cluster.UPSTREAMS,
                'arree-upstream-0',
                upstreams.Faults(upstreams.Mode.SILENT_AFTER),
            )

        result = await trial.run(
            _with(plan, duration_s=8.0), tmp_path, silence
        )
        assert result.kinds() == []
        resendable = [call for call in result.run.calls if call.idempotent]
        assert {call.outcome for call in resendable} == {Outcome.ANSWERED}


STORM = (
    scenario.Fault(Kind.WORKER_UNREACHABLE, 1.0, 12.0, 'arree-worker-0'),
    scenario.Fault(Kind.WORKER_FAILS, 2.0, target='menez-worker-0'),
    scenario.Fault(Kind.PAUSE_LEADER, 2.0, 8.0, 'arree'),
    scenario.Fault(
        Kind.UPSTREAM_FAULT, 3.0, 6.0, 'mene-upstream-0', 'break_during'
    ),
    scenario.Fault(Kind.TABLE_DOWN, 4.0, 7.0),
    scenario.Fault(Kind.CUT_ZONE, 5.0, 9.0, 'menez'),
    scenario.Fault(
        Kind.UPSTREAM_FAULT, 6.0, 9.0, 'arree-upstream-0', 'silent_before'
    ),
    scenario.Fault(Kind.UPSTREAM_LEAVES, 6.0, target='mene-upstream-1'),
    scenario.Fault(Kind.KILL_LEADER, 8.0, 12.0, 'mene'),
)
UNFINISHED = {'waiting', 'running'}


class TestFaultsTogether:
    """Faults that overlap break no promise and leave nothing stuck."""

    async def test_storm(
        self, plan: scenario.Scenario, tmp_path: pathlib.Path
    ) -> None:
        """Guards against jobs of a controller that an outage has ended."""
        damaged = _with(
            plan,
            jobs=tuple(map(_jobs, model.JobKind)),
            faults=STORM,
            duration_s=15.0,
        )
        result = await trial.run(damaged, tmp_path)
        assert result.kinds() == []
        states = {job.state for job in result.run.jobs}
        assert states.isdisjoint(UNFINISHED)
        assert 'succeeded' in states
