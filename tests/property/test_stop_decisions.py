"""Decided stops against random orders of calls, answers and reports."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from samphirestack.fleet import specs
from samphirestack_testing import fake_fleet
from samphirestack_testing import fleet_world as worlds

names = st.sampled_from(fake_fleet.NAMES)
kinds = st.sampled_from(['plain', 'plain', 'gang', 'long-running'])
counts = st.integers(1, 4)
estimates = st.sampled_from([0.3, 2.0, 20.0])
pauses = st.sampled_from([0.0, 0.1, 0.3, 1.0])


def make_step(kind: str, count: int, estimate_s: float) -> specs.StepSpec:
    return worlds.make_step(
        count,
        estimate_s=estimate_s,
        gang=kind == 'gang',
        long_running=kind == 'long-running',
        max_unavailable=int(kind == 'long-running'),
    )


class StopsAmongFaults(stateful.RuleBasedStateMachine):
    """Jobs that end early while calls to their workers fail."""

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.fleet = fake_fleet.Fleet(seed)

    @stateful.rule(
        kind=kinds,
        count=counts,
        estimate_s=estimates,
        max_attempts=st.integers(1, 3),
        failing_runs=st.sampled_from([0, 0, 1, 3]),
        seconds=pauses,
    )
    def submit(
        self,
        kind: str,
        count: int,
        estimate_s: float,
        max_attempts: int,
        failing_runs: int,
        seconds: float,
    ) -> None:
        self.fleet.submit(
            make_step(kind, count, estimate_s), max_attempts, failing_runs
        )
        self.fleet.run(seconds)

    @stateful.rule(
        kind=kinds,
        count=counts,
        after_s=st.floats(0.0, 0.8),
        takes_over=st.booleans(),
    )
    def submit_and_cancel(
        self, kind: str, count: int, after_s: float, takes_over: bool
    ) -> None:
        job_id = self.fleet.submit(make_step(kind, count, 20.0))
        self.fleet.run(after_s)
        self.fleet.cancel(job_id)
        if takes_over:
            self.fleet.take_over()

    @stateful.precondition(lambda self: self.fleet.unfinished_jobs())
    @stateful.rule(data=st.data(), seconds=pauses)
    def cancel(self, data: st.DataObject, seconds: float) -> None:
        jobs = self.fleet.unfinished_jobs()
        self.fleet.cancel(data.draw(st.sampled_from(jobs)))
        self.fleet.run(seconds)

    @stateful.rule(
        order_fates=st.sampled_from(fake_fleet.ORDER_FATES),
        stop_fates=st.sampled_from(fake_fleet.ORDER_FATES),
        hold_fates=st.sampled_from(fake_fleet.HOLD_FATES),
    )
    def change_fates(
        self,
        order_fates: tuple[fake_fleet.Fate, ...],
        stop_fates: tuple[fake_fleet.Fate, ...],
        hold_fates: tuple[fake_fleet.Fate, ...],
    ) -> None:
        self.fleet.order_fates = order_fates
        self.fleet.stop_fates = stop_fates
        self.fleet.hold_fates = hold_fates

    @stateful.rule(name=names, seconds=st.sampled_from([0.5, 2.0, 9.0]))
    def silence(self, name: str, seconds: float) -> None:
        self.fleet.silence(name, seconds)

    @stateful.rule(
        name=names,
        down_s=st.sampled_from([0.0, 1.0]),
        entry_delay_s=st.sampled_from([0.0, 0.5, 2.0]),
    )
    def restart(self, name: str, down_s: float, entry_delay_s: float) -> None:
        self.fleet.restart(name, down_s, entry_delay_s)

    @stateful.rule(name=names, seconds=st.sampled_from([0.5, 2.0]))
    def drain(self, name: str, seconds: float) -> None:
        self.fleet.drain(name, seconds)

    @stateful.rule(name=names)
    def stick(self, name: str) -> None:
        self.fleet.workers_by_id[name].sticks = True

    @stateful.rule()
    def take_over(self) -> None:
        self.fleet.take_over()

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def pass_time(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @stateful.rule()
    def calm_down(self) -> None:
        self.fleet.calm_down()

    def teardown(self) -> None:
        """Check that no stopped run goes on and that every job ends."""
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.calm_down()
        fleet.run_until(lambda: not fleet.missing_tasks())
        for job_id, job in fleet.jobs_by_id.items():
            if job.step.long_running and not job.cancelled:
                fleet.cancel(job_id)
        fleet.run(fake_fleet.CALM_S)
        fleet.run_until(lambda: not fleet.unfinished_jobs())


TestStopsAmongFaults = StopsAmongFaults.TestCase
TestStopsAmongFaults.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=15,
    # Shrinking would replay the whole run many times.
    phases=[hypothesis.Phase.generate],
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
