"""Disturbance between tasks is learned, and keeps them apart."""

from collections.abc import Iterable
import random

import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import interference
from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work

from samphirestack import model
from samphirestack_testing import fleet_world as worlds

TARGET_S = 0.1
CPU = 16_000


def make_serving(image: str, **fields: object) -> specs.StepSpec:
    values: dict[str, object] = {
        'image': image,
        'latency_target_s': TARGET_S,
        'long_running': True,
    }
    values.update(fields)
    return worlds.make_step(1, **values)


def make_batch(image: str, **fields: object) -> specs.StepSpec:
    return worlds.make_step(1, image=image, **fields)


class Fleet:
    """Tracked workers whose runs are set by hand."""

    def __init__(self, names: Iterable[str] = ('a', 'b')) -> None:
        self.learned = interference.Interference()
        self.workers = {
            name: tracking.TrackedWorker(worlds.make_worker(name, CPU))
            for name in names
        }
        self._job_count = 0

    def run(self, worker: str, spec: specs.StepSpec) -> tracking.Run:
        """Start a run on a worker; it is confirmed at once."""
        self._job_count += 1
        job = work.Job(worlds.make_job(self._job_count, [spec]), 0.0, 0.0)
        task = work.StepRun(job, 0, 0, spec).tasks[0]
        run = tracking.Run(
            task,
            1,
            model.WorkerId(worker),
            tracking.RunState.CONFIRMED,
            0.0,
        )
        run.percent = 100.0 if spec.latency_target_s else 0.0
        self.workers[worker].add_run(run)
        return run

    def observe(self, now: float) -> None:
        for worker in self.workers.values():
            self.learned.observe(now, worker)

    def penalty(self, now: float, spec: specs.StepSpec, worker: str) -> float:
        penalty = self.learned.penalty(now, spec)
        if penalty is None:
            return 0.0
        return penalty(packing.Candidate(self.workers[worker]))


class Serving:
    """A serving task and three batch tasks on each of two workers.

    :param effects: rise of the tail by image, in multiples of its target.
    :param noise: deviation of the tail as a share of its value.
    """

    def __init__(self, effects: dict[str, float], noise: float = 0.1) -> None:
        self.effects = effects
        self.busy_share = 0.5
        self._noise = noise
        self.fleet = Fleet()
        self.serving = {
            name: self.fleet.run(name, make_serving('web'))
            for name in self.fleet.workers
        }
        self.neighbours = {
            (name, image): self.fleet.run(name, make_batch(image, filler=True))
            for name in self.fleet.workers
            for image in ('x', 'y', 'z')
        }
        self._random = random.Random(5)
        self.now = 0.0

    def play(self, rounds: int) -> None:
        """Let each neighbour be busy in a share of the rounds."""
        for _ in range(rounds):
            self.now += 0.5
            for name, serving in self.serving.items():
                tail_s = 0.4 * TARGET_S
                for image, effect in self.effects.items():
                    busy = self._random.random() < self.busy_share
                    self.neighbours[name, image].load = 1000.0 if busy else 0.1
                    tail_s += effect * TARGET_S * busy
                serving.load = round(
                    1000 * tail_s * self._random.lognormvariate(0, self._noise)
                )
            self.fleet.observe(self.now)

    def penalties(self) -> dict[str, bool]:
        """Return which images are kept apart from the serving tasks."""
        return {
            image: self.fleet.penalty(self.now, make_batch(image), 'a') > 0
            for image in ('x', 'y', 'z')
        }


class TestLearning:
    """Guards against blame of the wrong image, and against stale blame."""

    def test_the_image_that_disturbs_is_found_among_three(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        assert load.penalties() == {'x': False, 'y': True, 'z': False}

    def test_a_serving_task_is_kept_from_its_disturber(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        assert load.fleet.penalty(load.now, make_serving('web'), 'a') > 0
        assert load.fleet.penalty(load.now, make_serving('other'), 'a') == 0

    def test_a_change_is_followed(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        load.effects = {'x': 1.0, 'y': 0.0, 'z': 0.0}
        load.play(60)
        assert load.penalties() == {'x': True, 'y': False, 'z': False}

    def test_what_is_no_longer_seen_is_forgotten(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        load.now += 4 * interference.HALF_LIFE_S
        assert not any(load.penalties().values())
        assert load.fleet.learned.disturbing_count == 0

    def test_thin_evidence_is_ignored(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.busy_share = 0.0
        load.play(20)
        load.effects = {'y': 1.0}
        load.busy_share = 1.0
        load.play(3)
        assert not any(load.penalties().values())
        load.busy_share = 0.5
        load.play(20)
        assert load.penalties() == {'x': False, 'y': True, 'z': False}

    def test_an_old_estimate_needs_new_evidence(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        load.busy_share = 0.0
        load.play(100)
        load.busy_share = 1.0
        load.play(4)
        assert not any(load.penalties().values())

    @pytest.mark.parametrize('noise', [0.1, 0.5, 1.0])
    def test_noise_blames_nobody(self, noise: float) -> None:
        load = Serving({'x': 0.0, 'y': 0.0, 'z': 0.0}, noise)
        for _ in range(40):
            load.play(10)
            assert not any(load.penalties().values())

    def test_without_contrast_nobody_is_blamed(self) -> None:
        fleet = Fleet()
        serving = [
            fleet.run(name, make_serving('web')) for name in fleet.workers
        ]
        for name in fleet.workers:
            fleet.run(name, make_batch('x', filler=True)).load = 1000.0
        for number in range(100):
            for run in serving:
                run.load = 40.0 if number < 5 else 300.0
            fleet.observe(0.5 * number)
        assert fleet.learned.disturbing_count == 0

    def test_one_slow_worker_is_not_blamed_on_its_tasks(self) -> None:
        fleet = Fleet()
        fleet.run('a', make_serving('web')).load = 200.0
        fleet.run('a', make_batch('x', filler=True)).load = 1000.0
        fleet.run('b', make_serving('web')).load = 40.0
        for number in range(100):
            fleet.observe(0.5 * number)
        assert fleet.learned.disturbing_count == 0

    def test_steps_without_an_image_take_no_part(self) -> None:
        load = Serving({'x': 0.0, 'y': 0.0, 'z': 0.0})
        load.fleet.run('a', worlds.make_step(1))
        load.play(20)
        assert load.fleet.learned.pair_count == 3
        assert load.fleet.penalty(load.now, worlds.make_step(1), 'a') == 0

    def test_the_number_of_pairs_is_bounded(self) -> None:
        fleet = Fleet(['a'])
        for number in range(200):
            runs = [
                fleet.run('a', make_serving(f'web{number}')),
                fleet.run('a', make_batch(f'x{number}')),
                fleet.run('a', make_batch(f'y{number}')),
            ]
            runs[0].load = 50.0
            fleet.observe(float(number))
            if number % 20 == 19:
                for run in list(fleet.workers['a'].runs_by_key.values()):
                    fleet.workers['a'].remove_run(run)
        assert fleet.learned.pair_count <= (
            interference.MAX_IMAGES * interference.MAX_NEIGHBOURS
        )

    def test_the_neighbours_of_an_image_are_bounded(self) -> None:
        fleet = Fleet(['a'])
        fleet.run('a', make_serving('web')).load = 50.0
        for number in range(100):
            run = fleet.run('a', make_batch(f'x{number}'))
            run.load = 1000.0
            fleet.observe(float(number))
            fleet.workers['a'].remove_run(run)
        assert fleet.learned.pair_count == interference.MAX_NEIGHBOURS

    def test_changes_are_reported_once(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        changes = load.fleet.learned.take_changes(load.now)
        assert [
            (change.victim, change.neighbour, change.disturbs)
            for change in changes
        ] == [('web', 'y', True)]
        assert load.fleet.learned.take_changes(load.now) == []


class Progress:
    """Batch tasks of one image that work beside another."""

    def __init__(self, slowdown: float, **fields: object) -> None:
        self.fleet = Fleet()
        self._fields = fields
        self._slowdown = slowdown
        self._random = random.Random(7)
        self._now = 0.0

    def play(self, runs: int) -> None:
        for _ in range(runs):
            for name, worker in self.fleet.workers.items():
                for run in list(worker.runs_by_key.values()):
                    worker.remove_run(run)
                victim = self.fleet.run(
                    name, make_batch('v', estimate_s=4.0, **self._fields)
                )
                disturbed = self._random.random() < 0.5
                if disturbed:
                    self.fleet.run(name, make_batch('x')).load = 1000.0
                rate = 25.0 * self._random.uniform(0.8, 1.2)
                if disturbed:
                    rate /= 1 + self._slowdown
                victim.sampled_at = self._now
                victim.percent = 0.5 * rate
            self._now += 0.5
            self.fleet.observe(self._now)

    @property
    def disturbing_count(self) -> int:
        return self.fleet.learned.disturbing_count


class TestProgress:
    """Guards against tasks that work being left beside what slows them."""

    def test_slow_progress_is_attributed(self) -> None:
        load = Progress(1.0)
        load.play(80)
        assert load.disturbing_count == 1
        assert load.fleet.penalty(40.0, make_batch('x'), 'a') > 0

    def test_even_progress_blames_nobody(self) -> None:
        load = Progress(0.0)
        load.play(200)
        assert load.disturbing_count == 0

    def test_tasks_far_from_their_data_blame_nobody(self) -> None:
        load = Progress(1.0, data_rack='r9')
        load.play(80)
        assert load.disturbing_count == 0

    def test_slowed_fillers_blame_nobody(self) -> None:
        load = Progress(1.0, filler=True)
        load.play(80)
        assert load.disturbing_count == 0


class FixedPenalty(interference.Interference):
    """Estimates that keep image ``x`` from workers with image ``v``."""

    def penalty(
        self, now: float, spec: specs.StepSpec
    ) -> packing.Penalty | None:
        del now
        if spec.image != 'x':
            return None
        return lambda candidate: (
            interference.MAX_PENALTY
            if any(
                run.task.step.spec.image == 'v'
                for run in candidate.worker.runs_by_key.values()
            )
            else 0.0
        )


def make_world(*entries: specs.WorkerEntry, **fields: object) -> worlds.World:
    """Return a world with a task of image ``v`` on its first worker."""
    world = worlds.World(
        entries,
        worlds.make_configuration(**fields),  # type: ignore[arg-type]
    )
    world.scheduler.interference = FixedPenalty()
    world.accept(
        0.0,
        worlds.make_job(1, [make_batch('v', label='first', estimate_s=9.0)]),
    )
    world.start_all(0.1)
    return world


def make_first(**fields: object) -> specs.WorkerEntry:
    return worlds.make_worker('a', labels=('first',), **fields)


def start(world: worlds.World, *steps: specs.StepSpec) -> list[str]:
    """Return the workers on which the tasks of a job start."""
    world.accept(0.2, worlds.make_job(2, steps))
    return [item.worker.worker_id for item in world.plan_starts(0.3)]


class TestPlacement:
    """Guards against disturbance where there is room, and against waiting."""

    def test_tasks_are_kept_apart_where_there_is_room(self) -> None:
        world = make_world(make_first(), worlds.make_worker('b'))
        assert start(world, make_batch('x')) == ['b']
        assert world.scheduler.interference.take_kept_apart_count() == 1

    def test_other_tasks_are_packed_as_before(self) -> None:
        world = make_world(make_first(), worlds.make_worker('b'))
        assert start(world, make_batch('y')) == ['a']
        assert world.scheduler.interference.take_kept_apart_count() == 0

    def test_nothing_waits_where_there_is_no_room(self) -> None:
        world = make_world(make_first(), worlds.make_worker('b', 500))
        assert start(world, make_batch('x')) == ['a']

    def test_the_rack_of_the_data_comes_first(self) -> None:
        world = make_world(
            make_first(rack='r1'), worlds.make_worker('b', rack='r2')
        )
        assert start(world, make_batch('x', data_rack='r1')) == ['a']

    def test_a_required_label_holds(self) -> None:
        world = make_world(make_first(), worlds.make_worker('b'))
        assert start(world, make_batch('x', label='first')) == ['a']

    def test_the_limit_of_a_customer_holds(self) -> None:
        customer = specs.Customer(
            model.TeamId('team'), 1.0, model.Resources(2000, 99_000)
        )
        world = make_world(
            make_first(), worlds.make_worker('b'), customers=[customer]
        )
        step = worlds.make_step(3, image='x')
        assert start(world, step) == ['b']

    def test_a_gang_avoids_a_disturbing_neighbour(self) -> None:
        world = make_world(
            make_first(), worlds.make_worker('b'), worlds.make_worker('c')
        )
        step = worlds.make_step(4, image='x', gang=True)
        assert 'a' not in start(world, step)

    def test_a_gang_that_needs_every_worker_starts(self) -> None:
        world = make_world(make_first(), worlds.make_worker('b'))
        step = worlds.make_step(31, image='x', gang=True)
        assert len(start(world, step)) == 31

    def test_tasks_do_not_spread_while_a_gang_waits(self) -> None:
        world = make_world(make_first(), worlds.make_worker('b'))
        gang = worlds.make_step(
            2, gang=True, size=model.Resources(15_500, 1000), estimate_s=20.0
        )
        world.accept(0.15, worlds.make_job(3, [gang]))
        queue = worlds.make_queue(latency_target_s=200.0)
        step = make_batch('x', estimate_s=0.1)
        world.accept(0.2, worlds.make_job(2, [step], queue))
        starts = world.plan_starts(0.3)
        assert [item.worker.worker_id for item in starts] == ['a']

    def test_tasks_of_one_round_see_each_other(self) -> None:
        load = Serving({'x': 0.0, 'y': 1.0, 'z': 0.0})
        load.play(80)
        worker = tracking.TrackedWorker(worlds.make_worker('c', CPU))
        candidate = packing.Candidate(worker)
        penalty = load.fleet.learned.penalty(load.now, make_batch('y'))
        assert penalty is not None
        assert penalty(candidate) == 0
        candidate.allocate(make_serving('web'))
        assert penalty(candidate) > 0


class Blind(interference.Interference):
    """Estimates that are never used."""

    def penalty(
        self, now: float, spec: specs.StepSpec
    ) -> packing.Penalty | None:
        del now, spec
        return None


DISTURBANCES = {
    ('web', 'train'): 6.0,
    ('web', 'count'): 0.0,
    ('mail', 'train'): 0.0,
    ('mail', 'count'): 6.0,
}
"""Rise of the tail in multiples of its target under a full worker's load."""


class PlayedFleet:
    """Serving tasks of two images share workers with fillers of two.

    Fillers of three seconds arrive at a constant rate.  A round takes half a
    second, after which each worker reports.
    """

    def __init__(self, learned: interference.Interference) -> None:
        self.tails_over_target = 0
        self.tail_count = 0
        self.finished_fillers = 0
        names = [f'w{number:02}' for number in range(12)]
        self._world = worlds.World(
            [
                worlds.make_worker(
                    name, CPU, labels=('web' if number % 2 else 'mail',)
                )
                for number, name in enumerate(names)
            ]
        )
        self._world.scheduler.interference = learned
        self._random = random.Random(11)
        self._percent_by_key: dict[tuple[str, int], float] = {}
        self._pace_by_key: dict[tuple[str, int], float] = {}
        self._ends: dict[str, list[tuple[int, str, int, specs.EndReason]]] = {
            name: [] for name in names
        }
        self._job_count = 0
        self._accept(
            0.0,
            [
                worlds.make_step(
                    6,
                    image=image,
                    label=image,
                    latency_target_s=TARGET_S,
                    long_running=True,
                    max_per_worker=1,
                    size=model.Resources(4000, 1),
                )
                for image in ('web', 'mail')
            ],
        )

    def play(self, rounds: int) -> None:
        for number in range(rounds):
            now = 0.5 * number
            for _ in range(2):
                image = self._random.choice(['train', 'count'])
                step = make_batch(
                    image,
                    filler=True,
                    size=model.Resources(4000, 1),
                    estimate_s=3.0,
                )
                self._accept(now, [step])
            self._plan(now + 0.1)
            self._report(now + 0.5)

    def _accept(self, now: float, steps: list[specs.StepSpec]) -> None:
        self._job_count += 1
        self._world.accept(now, worlds.make_job(self._job_count, steps))

    def _plan(self, now: float) -> None:
        for action in self._world.plan(now):
            if isinstance(action, actions.Start):
                key = (action.order.task_id, action.order.run)
                self._percent_by_key[key] = 0.0
                self._pace_by_key[key] = 1.0
                self._world.answer_start(
                    now, action, specs.StartOutcome.STARTED
                )
            elif isinstance(action, actions.Throttle):
                key = (action.task_id, action.run)
                self._pace_by_key[key] = action.percent / 100
                self._world.scheduler.handle_throttle_result(now, action, True)
        self._world.store_changes(now)

    def _report(self, now: float) -> None:
        for worker in list(self._world.scheduler.workers_by_id.values()):
            rows = [
                self._row(worker, run)
                for run in worker.runs_by_key.values()
                if (run.task.id, run.number) in self._percent_by_key
            ]
            ends = self._ends[worker.entry.worker_id]
            for row in rows:
                if row.percent >= 100 and not row.load:
                    key = (row.task_id, row.run)
                    del self._percent_by_key[key]
                    self.finished_fillers += 1
                    ends.append((len(ends) + 1, *key, specs.EndReason.DONE))
            report = worlds.make_report(now * 1000, (), ends)
            self._world.scheduler.apply_report(
                now,
                now,
                worker.entry.worker_id,
                specs.WorkerReport(
                    report.clock_ms,
                    report.started_unix_ms,
                    tuple(
                        row
                        for row in rows
                        if (row.task_id, row.run) in self._percent_by_key
                    ),
                    report.ended,
                ),
            )

    def _row(
        self, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> specs.RunningRow:
        key = (run.task.id, run.number)
        if run.task.step.spec.latency_target_s:
            tail = self._tail(worker, run)
            self.tail_count += 1
            self.tails_over_target += tail > 1
            load = float(round(1000 * TARGET_S * tail))
            percent = 100.0
        else:
            pace = self._pace_by_key[key]
            self._percent_by_key[key] += 100 * 0.5 / 3.0 * pace
            percent = min(100.0, self._percent_by_key[key])
            load = 0.0 if percent >= 100 else 4000 * pace
        return specs.RunningRow(
            run.task.id,
            specs.RunNumber(run.number),
            specs.NO_CHECKPOINT,
            percent,
            load,
        )

    def _tail(
        self, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> float:
        """Return the tail of a serving task in multiples of its target."""
        result = 0.4 * self._random.uniform(0.9, 1.1)
        for other in worker.runs_by_key.values():
            key = (other.task.id, other.number)
            if other.task.step.spec.filler and key in self._percent_by_key:
                pair = (run.task.step.spec.image, other.task.step.spec.image)
                result += (
                    DISTURBANCES[pair] * 4000 / CPU * self._pace_by_key[key]
                )
        return result


class TestLoad:
    """Guards the purpose: callers get more than without the estimates."""

    def test_tails_hold_and_more_fillers_end(self) -> None:
        learned = PlayedFleet(interference.Interference())
        blind = PlayedFleet(Blind())
        learned.play(240)
        blind.play(240)
        assert learned.tail_count == blind.tail_count
        assert learned.tails_over_target < 0.5 * blind.tails_over_target
        assert learned.finished_fillers > 1.5 * blind.finished_fillers
