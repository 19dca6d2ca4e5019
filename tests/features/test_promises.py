"""Steps of the features: each works on one cluster of real processes."""

import asyncio
import pathlib
import signal
import time

import msgspec
import pytest
import pytest_bdd
from pytest_bdd import parsers

from samphirestack import configuration
from samphirestack import model
from samphirestack_testing import cluster
from samphirestack_testing import ledger
from samphirestack_testing import scenario
from samphirestack_testing import trial
from samphirestack_testing import waiting

pytest_bdd.scenarios('promises.feature')

Kind = scenario.FaultKind
Outcome = ledger.Outcome
IN_FORCE_S = 4.0
WAIT_S = 30.0
ZONE = 'arree'
CUT_OFF = 'mene'
OPERATOR_AT = model.VmId('arree-entry-1')
OPEN_QUEUE = 'public-reports'


class World:
    """The scenario that the steps build up and the result of its run."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.directory = directory
        self.plan = scenario.builtin('small')
        self.result: trial.Result | None = None
        self.accepted_at = 0.0
        self.exit_seen = False

    def change(self, **fields: object) -> None:
        """Replace fields of the scenario."""
        self.plan = msgspec.structs.replace(self.plan, **fields)

    def add_faults(self, *added: scenario.Fault) -> None:
        """Add faults to the scenario."""
        self.change(faults=(*self.plan.faults, *added))

    def run(self, disturb: trial.Disturbance | None = None) -> None:
        """Run the scenario."""
        work = trial.run(self.plan, self.directory, disturb)
        self.result = asyncio.run(work)

    @property
    def outcome(self) -> trial.Result:
        """The result of the run."""
        assert self.result is not None
        return self.result

    def starts_after_acceptance(self) -> list[ledger.Line]:
        """Return what started later than a change must be in force."""
        bound = self.accepted_at + IN_FORCE_S
        return [line for line in self.outcome.starts() if line.at_s > bound]


@pytest.fixture(name='world')
def _world(tmp_path: pathlib.Path) -> World:
    return World(tmp_path)


async def _answers_come(started: cluster.Cluster) -> None:
    def answering() -> bool:
        return len(started.run_so_far().calls) > 20

    await waiting.until(answering, WAIT_S, 'answers')


@pytest_bdd.given('the teams submit more tasks than the workers can hold')
def _many_tasks(world: World) -> None:
    stream = scenario.Jobs(
        'reroute-plans',
        'coast',
        model.JobKind.BATCH,
        rate_per_s=3.0,
        tasks=8,
        memory_mb=900,
        until_s=4.0,
    )
    world.change(jobs=(stream,))


@pytest_bdd.given('the teams submit batches')
def _batches(world: World) -> None:
    stream = scenario.Jobs(
        'reroute-plans',
        'coast',
        model.JobKind.BATCH,
        rate_per_s=1.0,
        tasks=3,
        run_time_s=4.0,
        until_s=4.0,
    )
    world.change(jobs=(stream,), duration_s=7.0)


@pytest_bdd.given('a zone leader is paused for longer than its leases')
def _pause(world: World) -> None:
    until_s = 2.0 + world.plan.timing['worker_ttl_s']
    fault = scenario.Fault(Kind.PAUSE_LEADER, 1.0, until_s, ZONE)
    world.add_faults(fault)


@pytest_bdd.given('a zone is cut off from the platform and the other zones')
def _cut_off(world: World) -> None:
    world.add_faults(
        scenario.Fault(Kind.CUT_ZONE, 1.0, target=CUT_OFF),
        scenario.Fault(Kind.CUT_PLATFORM, 1.0, target=CUT_OFF),
    )
    public = scenario.Arrivals(OPEN_QUEUE, 'public', 20.0)
    arrivals = (*world.plan.arrivals, public)
    world.change(arrivals=arrivals, duration_s=14.0)


@pytest_bdd.given('"ferries" asks for more than its limit in every zone')
def _ferries(world: World) -> None:
    stream = scenario.Arrivals('reroute-plans', 'ferries', 40.0, work_s=0.5)
    world.change(arrivals=(*world.plan.arrivals, stream))


@pytest_bdd.given(
    'some upstreams are cut short in the middle of their answers'
)
def _truncated(world: World) -> None:
    world.add_faults(
        scenario.Fault(
            Kind.UPSTREAM_FAULT, 1.0, 4.0, 'arree-upstream-0', 'truncate'
        )
    )


@pytest_bdd.given('the teams send more requests than the upstreams can take')
def _overload(world: World) -> None:
    stream = scenario.Arrivals(
        'reroute-plans', 'gritting', 80.0, work_s=1.0, deadline_s=3.0
    )
    world.change(arrivals=(*world.plan.arrivals, stream))


@pytest_bdd.given('all upstreams of a zone break off during their work')
def _break_off(world: World) -> None:
    targets = [f'{ZONE}-upstream-{index}' for index in range(2)]
    world.add_faults(
        *(
            scenario.Fault(
                Kind.UPSTREAM_FAULT, 1.0, 4.0, target, 'break_during'
            )
            for target in targets
        )
    )


@pytest_bdd.given('an upstream leaves')
def _leaves(world: World) -> None:
    fault = scenario.Fault(
        Kind.UPSTREAM_LEAVES, 1.0, target='arree-upstream-0'
    )
    world.add_faults(fault)
    world.change(duration_s=9.0)


@pytest_bdd.when('the load has run')
def _run(world: World) -> None:
    world.run()


@pytest_bdd.when(
    parsers.parse('an operator revokes the key of "{team}" while load runs')
)
def _revoke(world: World, team: str) -> None:
    async def revoke(started: cluster.Cluster) -> None:
        await _answers_come(started)
        key_id = started.keys_by_team[team].partition('.')[0]
        change = configuration.WithdrawKey(model.KeyId(key_id))
        await started.change([change], OPERATOR_AT)
        world.accepted_at = time.monotonic()

    world.run(revoke)


@pytest_bdd.when('an operator retires a queue while load runs')
def _retire(world: World) -> None:
    world.change(duration_s=9.0)

    async def retire(started: cluster.Cluster) -> None:
        await _answers_come(started)
        change = configuration.RetireQueue(model.QueueId('reroute-plans'))
        await started.change([change], OPERATOR_AT)
        world.accepted_at = time.monotonic()

    world.run(retire)


@pytest_bdd.when('an entry is asked to stop while load runs')
def _stop(world: World) -> None:
    async def stop(started: cluster.Cluster) -> None:
        await _answers_come(started)
        leader = await started.wait_for_leader(ZONE)
        process = started.processes.by_name[leader]
        process.signal(signal.SIGTERM)
        await waiting.until(
            lambda: not process.running, WAIT_S, 'the entry has ended'
        )
        world.exit_seen = process.exit_status == 0

    world.run(stop)


@pytest_bdd.then('every promise was kept')
def _kept(world: World) -> None:
    assert world.outcome.kinds() == []


@pytest_bdd.then('tasks were running on every worker')
def _every_worker(world: World) -> None:
    starts = world.outcome.starts(ledger.Subject.TASK)
    assert len({line.place for line in starts}) == 9


@pytest_bdd.then(
    parsers.parse('nothing "{team}" sent more than 4 seconds later was run')
)
def _no_work(world: World, team: str) -> None:
    # What was accepted before may still wait in the zone that is cut off.
    bound = world.accepted_at + IN_FORCE_S
    sent = world.outcome.calls_of(team)
    late = [call for call in sent if call.sent_at_s > bound]
    assert late
    assert {call.outcome for call in late} == {Outcome.REFUSED_NOT_RUN}
    started = {line.call for line in world.outcome.starts()}
    assert started.isdisjoint(call.call for call in late)


@pytest_bdd.then(parsers.parse('work for "{team}" went on'))
def _went_on(world: World, team: str) -> None:
    late = world.starts_after_acceptance()
    zones = {line.place.split('-')[0] for line in late if line.team == team}
    assert CUT_OFF in zones


@pytest_bdd.then(parsers.parse('"{team}" was served'))
def _served(world: World, team: str) -> None:
    outcomes = {call.outcome for call in world.outcome.calls_of(team)}
    assert Outcome.ANSWERED in outcomes


@pytest_bdd.then('every idempotent request was answered')
def _idempotent_answered(world: World) -> None:
    calls = [call for call in world.outcome.run.calls if call.idempotent]
    assert {call.outcome for call in calls} == {Outcome.ANSWERED}


@pytest_bdd.then('every request was answered')
def _all_answered(world: World) -> None:
    outcomes = {call.outcome for call in world.outcome.run.calls}
    assert outcomes == {Outcome.ANSWERED}


@pytest_bdd.then('some requests were refused as not run')
def _refused(world: World) -> None:
    assert world.outcome.count(Outcome.REFUSED_NOT_RUN) > 0


@pytest_bdd.then('some requests are reported as possibly run')
def _possibly_run(world: World) -> None:
    assert world.outcome.count(Outcome.MAY_HAVE_RUN) > 0


@pytest_bdd.then('the other upstreams went on working')
def _others(world: World) -> None:
    last = max(line.at_s for line in world.outcome.starts())
    leaving = [
        line.at_s
        for line in world.outcome.run.lines
        if line.event is ledger.Event.LEAVING
    ]
    assert leaving
    assert last > leaving[0] + IN_FORCE_S


@pytest_bdd.then('the entry ended by itself')
def _ended(world: World) -> None:
    assert world.exit_seen


@pytest_bdd.then(
    'no request on the retired queue started more than 4 seconds later'
)
def _retired(world: World) -> None:
    queues = {call.call: call.queue for call in world.outcome.run.calls}
    late = world.starts_after_acceptance()
    assert late
    assert 'reroute-plans' not in {queues[line.call] for line in late}
