"""Speeds of workers are learned from progress, and decide placement."""

import collections
from collections.abc import Iterable
import random

import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack.fleet import worker_speeds

from samphirestack import model
from samphirestack_testing import fleet_world as worlds


class Fleet:
    """Workers with speeds on which steps of wrong estimates run."""

    def __init__(self, speeds: dict[str, float]) -> None:
        self.speeds = speeds
        self.learned = worker_speeds.WorkerSpeeds()
        self.now = 0.0
        self.workers = {
            name: tracking.TrackedWorker(worlds.make_worker(name))
            for name in speeds
        }
        self._random = random.Random(3)
        self._job_count = 0
        self._rates: list[tuple[tracking.Run, float]] = []

    def start_step(
        self,
        names: Iterable[str] = (),
        off: float | None = None,
        **fields: object,
    ) -> None:
        """Start one step.

        :param names: workers of its tasks; all by default.
        :param off: factor by which its estimate is wrong.
        """
        duration_s = self._random.uniform(3.0, 6.0)
        names = list(names) or list(self.workers)
        if off is None:
            off = self._random.uniform(0.5, 1.9)
        spec = worlds.make_step(
            len(names), estimate_s=duration_s * off, **fields
        )
        self._job_count += 1
        job = work.Job(worlds.make_job(self._job_count, [spec]), 0.0, 0.0)
        step = work.StepRun(job, 0, 0, spec)
        for name, task in zip(names, step.tasks, strict=True):
            run = tracking.Run(
                task,
                1,
                model.WorkerId(name),
                tracking.RunState.CONFIRMED,
                self.now,
            )
            self.workers[name].add_run(run)
            uneven = self._random.uniform(0.7, 1.3)
            self._rates.append((run, 100 / duration_s / uneven))

    def run_started(self) -> None:
        """Let what was started run for three seconds."""
        for _ in range(6):
            for worker in self.workers.values():
                self.learned.observe(self.now, worker)
            self.now += 0.5
            for run, rate in self._rates:
                run.percent += 0.5 * rate * self.speeds[run.worker_id]
        for run, _ in self._rates:
            self.workers[run.worker_id].remove_run(run)
        self._rates.clear()

    def play(self, steps: int, **fields: object) -> None:
        """Run steps of a task on each worker one after the other."""
        for _ in range(steps):
            self.start_step(**fields)  # type: ignore[arg-type]
            self.run_started()

    def speed(self, name: str) -> float:
        return self.learned.speed(self.now, model.WorkerId(name))


def make_fleet(slow: float = 0.4) -> Fleet:
    speeds = {f'w{number}': 1.0 for number in range(7)}
    return Fleet({'slow': slow, **speeds})


class TestSpeeds:
    """Guards against blame of a worker for a wrong estimate."""

    def test_the_slow_worker_is_found_under_wrong_estimates(self) -> None:
        fleet = make_fleet()
        fleet.play(5)
        assert fleet.speed('slow') < 0.6
        assert fleet.learned.slow_count == 1
        for number in range(7):
            assert fleet.speed(f'w{number}') > worker_speeds.SLOW_SPEED

    def test_steps_of_one_task_are_compared_within_their_queue(self) -> None:
        fleet = Fleet({'slow': 0.15, 'w0': 1.0, 'w1': 1.0})
        for _ in range(3):
            for name in 3 * list(fleet.workers):
                fleet.start_step([name])
            fleet.run_started()
        assert fleet.speed('slow') < 0.6
        assert fleet.speed('w0') > worker_speeds.SLOW_SPEED
        assert fleet.speed('w1') > worker_speeds.SLOW_SPEED

    def test_a_step_with_a_wrong_estimate_is_its_own_reference(self) -> None:
        fleet = Fleet(dict.fromkeys(('a', 'b', 'c', 'd', 'e', 'f'), 1.0))
        for _ in range(5):
            fleet.start_step(('a', 'b', 'c'), off=0.5)
            fleet.start_step(('d', 'e', 'f'), off=1.9)
            fleet.run_started()
        for name in fleet.workers:
            assert fleet.speed(name) > worker_speeds.SLOW_SPEED

    def test_one_long_task_does_not_mark_its_worker(self) -> None:
        fleet = make_fleet(1.0)
        fleet.play(3)
        fleet.speeds['slow'] = 1 / 7
        fleet.play(1)
        fleet.speeds['slow'] = 1.0
        fleet.play(1)
        assert fleet.speed('slow') > worker_speeds.SLOW_SPEED

    @pytest.mark.parametrize('field', ['filler', 'long_running'])
    def test_tasks_without_a_pace_of_their_own_tell_nothing(
        self, field: str
    ) -> None:
        fleet = make_fleet()
        fleet.play(5, **{field: True})
        assert fleet.speed('slow') == 1.0

    def test_a_worker_that_recovers_is_used_again(self) -> None:
        fleet = make_fleet()
        fleet.play(5)
        fleet.speeds['slow'] = 1.0
        fleet.play(6)
        assert fleet.speed('slow') > worker_speeds.SLOW_SPEED

    def test_old_comparisons_do_not_count(self) -> None:
        fleet = make_fleet()
        fleet.play(5)
        fleet.now += worker_speeds.MAX_AGE_S + 0.1
        assert fleet.speed('slow') == 1.0

    def test_thin_evidence_is_ignored(self) -> None:
        fleet = make_fleet(0.1)
        fleet.play(2)
        assert fleet.speed('slow') == 1.0

    def test_the_speed_is_bounded(self) -> None:
        fleet = make_fleet(0.0)
        fleet.play(5)
        assert fleet.speed('slow') == worker_speeds.MIN_SPEED

    def test_a_distant_data_rack_is_not_blamed_on_the_worker(self) -> None:
        fleet = make_fleet()
        fleet.play(5, data_rack='r9')
        assert fleet.speed('slow') == 1.0

    def test_a_worker_that_left_is_forgotten(self) -> None:
        fleet = make_fleet()
        fleet.play(5)
        fleet.learned.forget(model.WorkerId('slow'))
        assert fleet.speed('slow') == 1.0
        assert fleet.learned.slow_count == 0


class FixedSpeeds(worker_speeds.WorkerSpeeds):
    """Speeds in which worker ``slow`` has a third of the usual one."""

    def __init__(self) -> None:
        super().__init__()
        self._comparisons = {model.WorkerId('slow'): collections.OrderedDict()}

        self.forgotten: list[model.WorkerId] = []

    def forget(self, worker_id: model.WorkerId) -> None:
        self.forgotten.append(worker_id)

    def speed(self, now: float, worker_id: model.WorkerId) -> float:
        del now
        return 0.33 if worker_id == 'slow' else 1.0


def start(
    entries: list[specs.WorkerEntry], step: specs.StepSpec, priority: int = 1
) -> list[str]:
    """Return the workers on which the tasks of a job start."""
    world = worlds.World(entries)
    world.scheduler.worker_speeds = FixedSpeeds()
    queue = worlds.make_queue(priority=priority)
    world.accept(0.0, worlds.make_job(1, [step], queue))
    return [item.worker.worker_id for item in world.plan_starts(0.1)]


def make_entries(*sizes: int) -> list[specs.WorkerEntry]:
    """Return the slow worker, which fits tightest, and usual ones."""
    return [
        worlds.make_worker('slow', 4000),
        *(
            worlds.make_worker(f'w{number}', size)
            for number, size in enumerate(sizes)
        ),
    ]


class TestPlacement:
    """Guards against slow gangs, and against waiting for fast workers."""

    def test_a_gang_avoids_the_slow_worker(self) -> None:
        step = worlds.make_step(6, gang=True)
        assert 'slow' not in start(make_entries(8000, 8000), step)

    def test_a_gang_that_needs_the_slow_worker_starts(self) -> None:
        step = worlds.make_step(6, gang=True)
        assert sorted(set(start(make_entries(4000), step))) == ['slow', 'w0']

    def test_urgent_tasks_avoid_the_slow_worker(self) -> None:
        step = worlds.make_step(2)
        assert start(make_entries(8000), step, 0) == ['w0', 'w0']

    def test_urgent_tasks_do_not_wait_for_a_fast_worker(self) -> None:
        step = worlds.make_step(2)
        assert start(make_entries(500), step, 0) == ['slow', 'slow']

    def test_patient_tasks_are_packed_as_before(self) -> None:
        step = worlds.make_step(2)
        assert start(make_entries(8000), step) == ['slow', 'slow']

    def test_the_rack_of_the_data_comes_first(self) -> None:
        entries = [
            worlds.make_worker('slow', 4000, rack='r1'),
            worlds.make_worker('w0', 8000, rack='r2'),
        ]
        step = worlds.make_step(1, data_rack='r1')
        assert start(entries, step, 0) == ['slow']

    @pytest.mark.parametrize(
        ('gang', 'is_asked_about'), [(True, False), (False, True)]
    )
    def test_advice_for_a_gang_is_about_slow_workers_last(
        self, gang: bool, is_asked_about: bool
    ) -> None:
        entries = [worlds.make_worker('slow', 16_000)]
        entries += [
            worlds.make_worker(f'w{number}', 8000) for number in range(40)
        ]
        advice = specs.AdvicePolicy(0.1, 0.001, 2.0)
        queue = worlds.make_queue(advice=advice)
        world = worlds.World(entries, worlds.make_configuration([queue]))
        world.scheduler.worker_speeds = FixedSpeeds()
        step = worlds.make_step(4, gang=gang)
        world.accept(0.0, worlds.make_job(1, [step], queue))
        (request,) = world.plan(0.1)
        assert isinstance(request, actions.RequestAdvice)
        assert ('slow' in request.worker_ids) is is_asked_about

    def test_nothing_changes_while_no_speed_is_known(self) -> None:
        learned = worker_speeds.WorkerSpeeds()
        spec = worlds.make_step(2, gang=True)
        job = work.Job(worlds.make_job(1, [spec]), 0.0, 0.0)
        assert learned.penalty(0.0, work.StepRun(job, 0, 0, spec)) is None

    def test_the_scheduler_forgets_workers_that_left(self) -> None:
        world = worlds.World(make_entries(4000))
        learned = FixedSpeeds()
        world.scheduler.worker_speeds = learned
        world.scheduler.mark_worker_unregistered(model.WorkerId('slow'))
        world.plan(0.1)
        assert learned.forgotten == ['slow']

    def test_reports_teach_the_scheduler(self) -> None:
        world = worlds.World(make_entries(4000))
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(8)]))
        starts = world.start_all(0.1)
        assert len(starts) == 8
        for number in range(7):
            for name, speed in (('slow', 0.3), ('w0', 1.0)):
                world.report(
                    0.5 + 0.6 * number,
                    name,
                    [
                        (item.order.task_id, item.order.run)
                        for item in starts
                        if item.worker.worker_id == name
                    ],
                    percent=14.0 * speed * number,
                )
        learned = world.scheduler.worker_speeds
        assert learned.speed(4.5, model.WorkerId('slow')) < learned.speed(
            4.5, model.WorkerId('w0')
        )
