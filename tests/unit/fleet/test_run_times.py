"""Run times learned from runs that ended well."""

import math
import random

import msgspec
import pytest

from samphirestack.fleet import forecast
from samphirestack.fleet import ordering
from samphirestack.fleet import records
from samphirestack.fleet import run_times
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

QUEUE = model.QueueId('q')
OTHER_QUEUE = model.QueueId('other')
TEAM = model.TeamId('team')
OTHER_TEAM = model.TeamId('other')
STEP = run_times.step_key(0, False)
OTHER_STEP = run_times.step_key(1, False)

DONE = specs.EndReason.DONE


def learn(
    times: run_times.RunTimes,
    count: int,
    declared_s: float,
    real_s: float,
    customer: model.TeamId = TEAM,
    step: str = STEP,
    queue: model.QueueId = QUEUE,
) -> None:
    for _ in range(count):
        times.record(queue, step, customer, declared_s, real_s)


class TestExpectations:
    """Guards against decisions by declared times that are known to be off."""

    def test_without_samples_the_declared_time_counts(self) -> None:
        times = run_times.RunTimes()
        assert times.expected_s(QUEUE, STEP, TEAM, 3.0) == pytest.approx(3.0)
        assert times.quantile_s(QUEUE, STEP, TEAM, 3.0, 0.95) == (
            pytest.approx(3.0)
        )

    def test_a_steady_factor_is_learned(self) -> None:
        times = run_times.RunTimes()
        for index in range(200):
            declared_s = 1.0 + index % 10
            times.record(QUEUE, STEP, TEAM, declared_s, 3.0 * declared_s)
        for declared_s in (1.0, 4.0, 20.0):
            assert times.expected_s(QUEUE, STEP, TEAM, declared_s) == (
                pytest.approx(3.0 * declared_s, rel=0.1)
            )

    def test_declarations_that_say_nothing_lose_their_weight(self) -> None:
        times = run_times.RunTimes()
        source = random.Random(1)
        for _ in range(300):
            times.record(QUEUE, STEP, TEAM, source.uniform(0.3, 30.0), 4.0)
        for declared_s in (0.5, 5.0, 25.0):
            expected_s = times.expected_s(QUEUE, STEP, TEAM, declared_s)
            assert 3.0 < expected_s < 5.5

    def test_noisy_declarations_are_beaten(self) -> None:
        times = run_times.RunTimes()
        source = random.Random(2)
        learned_error = declared_error = 0.0
        for index in range(500):
            real_s = source.lognormvariate(math.log(3.0), 0.5)
            declared_s = real_s * source.uniform(0.1, 1.9)
            if index > 50:
                expected_s = times.expected_s(QUEUE, STEP, TEAM, declared_s)
                learned_error += abs(math.log(expected_s / real_s))
                declared_error += abs(math.log(declared_s / real_s))
            times.record(QUEUE, STEP, TEAM, declared_s, real_s)
        assert learned_error < 0.8 * declared_error

    def test_a_declaration_of_nothing_is_no_obstacle(self) -> None:
        times = run_times.RunTimes()
        learn(times, 50, 0.0, 2.0)
        assert times.expected_s(QUEUE, STEP, TEAM, 0.0) == (
            pytest.approx(2.0, rel=0.3)
        )

    def test_absurd_samples_have_a_bounded_effect(self) -> None:
        times = run_times.RunTimes()
        learn(times, 50, 1e-9, 1e9)
        learn(times, 50, 1e9, 0.0)
        for declared_s in (0.0, 1.0, 1e9):
            expected_s = times.expected_s(QUEUE, STEP, TEAM, declared_s)
            assert 0 < expected_s <= 64.0**2 * max(1.0, declared_s)


class TestShrinkage:
    """Guards against conclusions from a few runs."""

    def test_one_run_changes_little(self) -> None:
        times = run_times.RunTimes()
        learn(times, 1, 1.0, 20.0)
        assert times.expected_s(QUEUE, STEP, TEAM, 1.0) < 3.0

    def test_an_unknown_customer_gets_what_its_step_has_learned(self) -> None:
        times = run_times.RunTimes()
        learn(times, 300, 1.0, 4.0)
        assert times.expected_s(QUEUE, STEP, OTHER_TEAM, 1.0) == (
            pytest.approx(4.0, rel=0.15)
        )

    def test_an_unknown_step_gets_what_its_queue_has_learned(self) -> None:
        times = run_times.RunTimes()
        learn(times, 300, 1.0, 4.0)
        assert times.expected_s(QUEUE, OTHER_STEP, TEAM, 1.0) == (
            pytest.approx(4.0, rel=0.15)
        )

    def test_queues_learn_apart(self) -> None:
        times = run_times.RunTimes()
        learn(times, 300, 1.0, 4.0)
        assert times.expected_s(OTHER_QUEUE, STEP, TEAM, 1.0) == (
            pytest.approx(1.0)
        )

    def test_customers_differ_once_they_have_runs_enough(self) -> None:
        times = run_times.RunTimes()
        for _ in range(100):
            learn(times, 1, 1.0, 1.0)
            learn(times, 1, 1.0, 4.0, OTHER_TEAM)
        fast_s = times.expected_s(QUEUE, STEP, TEAM, 1.0)
        slow_s = times.expected_s(QUEUE, STEP, OTHER_TEAM, 1.0)
        assert slow_s > 2.5 * fast_s


class TestTails:
    """Guards against a spread that is unknown to those who need it."""

    def test_the_tail_is_known(self) -> None:
        times = run_times.RunTimes()
        source = random.Random(3)
        for _ in range(400):
            tail = 7.0 if source.random() < 0.1 else 1.0
            times.record(QUEUE, STEP, TEAM, 2.0, 2.0 * tail)
        half_s, most_s, nearly_all_s = (
            times.quantile_s(QUEUE, STEP, TEAM, 2.0, q)
            for q in (0.5, 0.8, 0.97)
        )
        assert half_s == pytest.approx(2.0, rel=0.25)
        assert most_s == pytest.approx(2.0, rel=0.25)
        assert nearly_all_s == pytest.approx(14.0, rel=0.25)
        expected_s = times.expected_s(QUEUE, STEP, TEAM, 2.0)
        assert expected_s == pytest.approx(3.2, rel=0.25)

    def test_quantiles_rise(self) -> None:
        times = run_times.RunTimes()
        source = random.Random(4)
        for _ in range(300):
            times.record(
                QUEUE, STEP, TEAM, 2.0, source.lognormvariate(0.0, 1.0)
            )
        quantiles = [
            times.quantile_s(QUEUE, STEP, TEAM, 2.0, q / 20) for q in range(21)
        ]
        assert quantiles == sorted(quantiles)
        assert quantiles[0] < quantiles[10] < quantiles[19]


class TestChanges:
    """Guards against figures of a release that is long gone."""

    def test_changes_are_followed(self) -> None:
        times = run_times.RunTimes()
        learn(times, 1000, 1.0, 1.0)
        learn(times, 600, 1.0, 5.0)
        assert times.expected_s(QUEUE, STEP, TEAM, 1.0) == (
            pytest.approx(5.0, rel=0.2)
        )
        learn(times, 600, 1.0, 0.5)
        assert times.quantile_s(QUEUE, STEP, TEAM, 1.0, 0.9) < 1.0


class TestEncoding:
    """Guards against state that is lost, wrong or too large."""

    def test_a_decoded_value_expects_the_same(self) -> None:
        times = run_times.RunTimes()
        source = random.Random(5)
        for index in range(300):
            declared_s = source.uniform(1.0, 5.0)
            times.record(
                QUEUE,
                run_times.step_key(index % 3, index % 2 == 0),
                model.TeamId(f'team-{index % 5}'),
                declared_s,
                declared_s * source.lognormvariate(0.5, 0.7),
            )
        assert times.has_changes
        decoded = run_times.decode(times.encode())
        assert not times.has_changes
        assert not decoded.has_changes
        team = model.TeamId('team-1')
        for step in ('0', '1g', 'unknown'):
            for q in (0.1, 0.5, 0.99):
                assert decoded.quantile_s(QUEUE, step, team, 2.0, q) == (
                    times.quantile_s(QUEUE, step, team, 2.0, q)
                )
            assert decoded.expected_s(QUEUE, step, team, 2.0) == (
                pytest.approx(times.expected_s(QUEUE, step, team, 2.0))
            )

    def test_the_size_is_bounded(self) -> None:
        times = run_times.RunTimes()
        source = random.Random(6)
        for index in range(5000):
            times.record(
                model.QueueId(f'queue-{index % 100:04}'),
                f'{index % 7}',
                model.TeamId(f'team-{index % 1000:04}'),
                1.0,
                source.lognormvariate(0.0, 2.0),
            )
        row = times.encode()
        assert len(row) <= run_times.MAX_ENCODED_BYTES < records.MAX_ROW_BYTES
        assert run_times.decode(row).encode() == row

    def test_what_was_used_last_is_kept(self) -> None:
        times = run_times.RunTimes()
        learn(times, 100, 1.0, 4.0)
        for index in range(3 * run_times.MAX_CUSTOMERS):
            learn(times, 1, 1.0, 4.0, model.TeamId(f'team-{index}'))
            learn(times, 1, 1.0, 0.5, OTHER_TEAM)
        unknown = model.TeamId('unknown')
        assert times.expected_s(QUEUE, STEP, unknown, 1.0) > 1.8
        assert times.expected_s(QUEUE, STEP, OTHER_TEAM, 1.0) < 1.2

    @pytest.mark.parametrize(
        'data',
        [
            b'',
            b'\xc1',
            msgspec.msgpack.encode('text'),
            msgspec.msgpack.encode([[[], [1.0] * 5, {}]]),
            msgspec.msgpack.encode([[['q'], [1.0] * 4, {}]]),
            msgspec.msgpack.encode([[['q'], [-1.0] * 5, {}]]),
            msgspec.msgpack.encode([[['q'], [math.nan] * 5, {}]]),
            msgspec.msgpack.encode([[['q'], [math.inf] * 5, {}]]),
            msgspec.msgpack.encode([[['q'], [1.0] * 5, {1000: 1.0}]]),
            msgspec.msgpack.encode([[['q'], [1.0] * 5, {1: -1.0}]]),
        ],
    )
    def test_an_unreadable_value_is_refused(self, data: bytes) -> None:
        with pytest.raises(msgspec.DecodeError):
            run_times.decode(data)


class TestScheduling:
    """Guards against decisions that don't use what was learned."""

    def _teach(self, world: worlds.World, real_s: float, count: int) -> float:
        """Let jobs of one task each run for a time; return when they end."""
        now = 0.0
        for number in range(count):
            world.accept(now, worlds.make_job(1000 + number))
            (start,) = world.start_all(now)
            now += real_s
            world.report(
                now,
                start.worker.worker_id,
                ended=[
                    (number + 1, start.order.task_id, start.order.run, DONE)
                ],
            )
        return now

    def test_forecasts_use_the_learned_time(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        now = self._teach(world, 6.0, 100)
        world.accept(now, worlds.make_job(1))
        world.start_all(now)
        (run,) = world.scheduler.workers_by_id[
            model.WorkerId('a')
        ].runs_by_key.values()
        assert forecast.expected_end(now, run) == pytest.approx(
            now + 6.0, rel=0.01
        )

    def test_a_run_beyond_its_time_is_expected_to_go_on(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        world.start_all(0.0)
        (run,) = world.scheduler.workers_by_id[
            model.WorkerId('a')
        ].runs_by_key.values()
        assert forecast.expected_end(0.5, run) == 1.0
        assert forecast.expected_end(4.0, run) == 6.0

    def test_a_member_of_a_gang_ends_with_the_slowest(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        gang = worlds.make_step(2, gang=True, estimate_s=8.0)
        world.accept(0.0, worlds.make_job(1, [gang]))
        world.start_all(0.0)
        runs = list(
            world.scheduler.workers_by_id[
                model.WorkerId('a')
            ].runs_by_key.values()
        )
        runs[0].percent = 100.0
        assert forecast.expected_end(2.0, runs[0]) == 8.0

    def test_the_order_rests_on_declared_times(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        times = run_times.RunTimes()
        learn(times, 300, 1.0, 6.0)
        world.scheduler.set_run_times(times)
        queue = worlds.make_queue('q', stretch=2.0, latency_target_s=0.0)
        world.accept(0.0, worlds.make_job(1, queue=queue))
        (step,) = world.scheduler.jobs.ready_steps.values()
        assert step.expected_s == pytest.approx(6.0, rel=0.15)
        assert ordering.latest_start(step) == pytest.approx(1.0)

    def test_runs_that_failed_teach_nothing(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.0)
        world.report(
            9.0,
            'a',
            ended=[
                (
                    1,
                    start.order.task_id,
                    start.order.run,
                    specs.EndReason.FAILED,
                )
            ],
        )
        assert not world.scheduler.run_times.has_changes

    def test_a_run_with_an_unknown_start_teaches_nothing(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.0)
        world.answer_start(0.5, start, specs.StartOutcome.UNKNOWN)
        key = (start.order.task_id, start.order.run)
        world.report(3.0, 'a', [key])
        world.report(4.0, 'a', ended=[(1, *key, DONE)])
        assert not world.scheduler.run_times.has_changes

    def test_a_run_on_a_worker_that_was_silent_teaches_nothing(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.0)
        key = (start.order.task_id, start.order.run)
        world.scheduler.mark_worker_silent(1.0, model.WorkerId('a'))
        world.report(4.0, 'a', [key])
        world.report(4.5, 'a', ended=[(1, *key, DONE)])
        assert not world.scheduler.run_times.has_changes

    def test_a_gang_counts_from_its_last_start_and_once(self) -> None:
        world = worlds.World(
            [worlds.make_worker('a', 1000), worlds.make_worker('b', 1000)]
        )
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(2, gang=True)]))
        first, second = world.plan_starts(0.0)
        world.answer_start(0.0, first, specs.StartOutcome.STARTED)
        world.answer_start(3.0, second, specs.StartOutcome.STARTED)
        recorded = []
        world.scheduler.run_times.record = (  # type: ignore[method-assign]
            lambda *values: recorded.append(values)  # type: ignore[assignment]
        )
        for start in (first, second):
            world.report(
                5.0,
                start.worker.worker_id,
                ended=[(1, start.order.task_id, start.order.run, DONE)],
            )
        assert recorded == [('q', '0g', 'team', 1.0, 2.0, 1.0)]

    def test_the_part_before_a_checkpoint_is_added(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        task = (
            world.scheduler.jobs.active_by_id[job_id]
            .steps_by_key[0, 0]
            .tasks[0]
        )
        task.checkpoint = specs.Checkpoint('saved')
        (start,) = world.start_all(0.0)
        recorded = []
        world.scheduler.run_times.record = (  # type: ignore[method-assign]
            lambda *values: recorded.append(values)  # type: ignore[assignment]
        )
        key = (start.order.task_id, start.order.run)
        world.report(1.0, 'a', [key], percent=50.0)
        world.report(3.0, 'a', ended=[(1, *key, DONE)])
        assert recorded == [('q', '0', 'team', 1.0, 4.0, 1.0)]

    def test_jobs_that_wait_at_a_takeover_use_what_was_learned(self) -> None:
        times = run_times.RunTimes()
        learn(times, 300, 1.0, 6.0)
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        job = world.scheduler.jobs.active_by_id[job_id]
        assert job.expected_s_by_step == [1.0]
        world.scheduler.set_run_times(run_times.decode(times.encode()))
        assert job.expected_s_by_step == [pytest.approx(6.0, rel=0.15)]
