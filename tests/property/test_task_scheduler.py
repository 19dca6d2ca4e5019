"""Random faults against the guarantees for tasks.

The oracle checks the events of the fake agents and the rows of the table,
never the state of the scheduler.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_testing import fakes
from samphirestack_testing import task_oracle
from samphirestack_testing import task_world

WORKERS = 6
LIMITS = {'small': 5}
RECOVERY_S = 100.0
"""Time after the last fault within which services get all replicas."""

COMPLETION_S = 700.0
"""Time within which all other jobs end; quarantine pauses can double."""


def _configuration() -> configuration.Configuration:
    profiles = [
        configuration.Profile('urgent', urgency=model.Urgency.URGENT),
        configuration.Profile('patient'),
        configuration.Profile('saved', checkpoint=True),
    ]
    return configuration.Configuration(
        profiles_by_id={profile.name: profile for profile in profiles},
        services_by_id={'s': configuration.Service('s', 'patient')},
        queues_by_id={
            profile.name: configuration.Queue(profile.name, 's', profile.name)
            for profile in profiles
        },
    )


def _workers() -> list[model.Vm]:
    return [
        task_world.worker(
            f'w{number}',
            f'r{number // 2}',
            model.Resources(4000, 8000, int(number == 0)),
        )
        for number in range(WORKERS)
    ]


worker_ids = st.sampled_from([f'w{number}' for number in range(WORKERS)])


class JobPlan(msgspec.Struct):
    """A job to submit; the sizes make jobs compete for workers."""

    kind: model.JobKind
    count: int
    size: tuple[int, int]
    accelerated: bool
    run_s: float
    declared_s: float
    failures: int
    queue: str
    team: str
    idempotent: bool

    def submit_to(self, world: task_world.World) -> None:
        batch = self.kind is model.JobKind.BATCH
        service = self.kind is model.JobKind.SERVICE
        world.submit(
            self.kind,
            self.count,
            model.Resources(*self.size, int(self.accelerated and batch)),
            fakes.Plan(self.run_s, self.failures),
            queue=self.queue,
            team=self.team,
            idempotent=self.idempotent or service,
            declared_s=self.declared_s,
        )


job_plans = st.builds(
    JobPlan,
    kind=st.sampled_from(model.JobKind),
    count=st.integers(1, 5),
    size=st.tuples(
        st.sampled_from([500, 1000, 2000, 4000]),
        st.sampled_from([500, 4000, 8000]),
    ),
    accelerated=st.booleans(),
    run_s=st.sampled_from([0.1, 1.0, 4.0, 20.0]),
    declared_s=st.sampled_from([0.1, 1.0, 10.0, 100.0]),
    failures=st.sampled_from([0, 0, 0, 1]),
    queue=st.sampled_from(['urgent', 'patient', 'saved']),
    team=st.sampled_from(['gritting', 'small']),
    idempotent=st.booleans(),
)


class ZoneUnderFaults(stateful.RuleBasedStateMachine):
    """Jobs in a zone whose network, workers and leaders fail."""

    @stateful.initialize(seed=st.integers(0, 2**16), limited=st.booleans())
    def begin(self, seed: int, limited: bool) -> None:
        self.limits = LIMITS if limited else {}
        self.world = task_world.World(
            seed, _workers(), _configuration(), self.limits
        )

    @stateful.rule(jobs=st.lists(job_plans, min_size=1, max_size=4))
    def submit(self, jobs: list[JobPlan]) -> None:
        for job in jobs:
            job.submit_to(self.world)

    @stateful.rule(
        jobs=st.lists(job_plans, min_size=1, max_size=4),
        seconds=st.sampled_from([0.25, 1.0, 5.0]),
    )
    def submit_and_run(self, jobs: list[JobPlan], seconds: float) -> None:
        self.submit(jobs)
        self.world.run(seconds)

    @stateful.rule(seconds=st.sampled_from([0.25, 1.0, 5.0, 15.0, 30.0]))
    def pass_time(self, seconds: float) -> None:
        self.world.run(seconds)

    @stateful.rule(
        worker_id=worker_ids, seconds=st.sampled_from([1.0, 5.0, 15.0])
    )
    def cut_off_for(self, worker_id: str, seconds: float) -> None:
        self.world.cut_off.add(worker_id)
        self.world.run(seconds)
        self.world.cut_off.discard(worker_id)

    @stateful.rule(worker_id=worker_ids)
    def change_leader_without(self, worker_id: str) -> None:
        self.world.cut_off.add(worker_id)
        self.world.run(1.0)
        self.world.change_leader()
        self.world.run(5.0)

    @stateful.rule(worker_id=worker_ids)
    def toggle_partition(self, worker_id: str) -> None:
        self.world.cut_off ^= {worker_id}

    @stateful.rule(worker_id=worker_ids)
    def restart_worker(self, worker_id: str) -> None:
        self.world.agents_by_id[worker_id].restart(self.world.now)

    @stateful.rule(worker_id=worker_ids)
    def toggle_failing(self, worker_id: str) -> None:
        self.world.agents_by_id[worker_id].fails_all ^= True

    @stateful.rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose_calls(self, loss: float) -> None:
        self.world.loss = loss

    @stateful.rule()
    def toggle_table(self) -> None:
        self.world.table_up ^= True

    @stateful.rule()
    def change_leader(self) -> None:
        self.world.change_leader()

    @stateful.rule(pick=st.integers(0, 100))
    def cancel(self, pick: int) -> None:
        job_ids = list(self.world.rows_by_id)
        if job_ids:
            self.world.cancelled.add(job_ids[pick % len(job_ids)])

    @stateful.invariant()
    def guarantees_hold(self) -> None:
        world = self.world
        non_idempotent = {
            job_id
            for job_id, row in world.rows_by_id.items()
            if not row.job.idempotent
        }
        capacities = {
            worker_id: agent.capacity
            for worker_id, agent in world.agents_by_id.items()
        }
        entries = world.entries
        assert not task_oracle.overcommitted(entries, capacities)
        assert not task_oracle.in_two_places(entries)
        assert not task_oracle.started_again(entries, non_idempotent)
        assert not task_oracle.over_limit(entries, self.limits)
        assert not task_oracle.partial_gangs(world)
        assert not task_oracle.wrong_rows(world)

    def teardown(self) -> None:
        """End all faults and check that every job that can run ends."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.end_faults()
        world.run(RECOVERY_S)
        for job_id, row in world.rows_by_id.items():
            if row.job.kind is model.JobKind.SERVICE:
                # Running services occupy room that other jobs need.
                world.cancelled.add(job_id)
        world.run(COMPLETION_S)
        self.guarantees_hold()
        assert not task_oracle.unfinished(world)


TestZoneUnderFaults = ZoneUnderFaults.TestCase
TestZoneUnderFaults.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    # Shrinking would take minutes, since it replays hours of simulated time.
    phases=[hypothesis.Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
