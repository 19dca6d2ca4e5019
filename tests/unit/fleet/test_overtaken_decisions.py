"""Decisions that later observations, or a new holder, leave without effect."""

import msgspec
import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
FAILED = specs.EndReason.FAILED
STARTED = specs.StartOutcome.STARTED
UNKNOWN = specs.StartOutcome.UNKNOWN


class TestSupersededGangs:
    """Guards against members that go on after an earlier run succeeded."""

    def test_members_that_run_are_stopped(self) -> None:
        world, earlier, later = _gang_started_anew()
        for start in later:
            world.answer_start(10.1, start, STARTED)
        _end(world, 10.2, earlier[0], DONE)
        planned = world.plan(10.3)
        for start in later:
            order = start.order
            world.report(
                11.5, start.worker.worker_id, [(order.task_id, order.run)]
            )
        planned += world.plan(11.6)
        stopped = {
            (action.task_id, action.run)
            for action in planned
            if isinstance(action, actions.Stop)
        }
        assert stopped >= {
            (start.order.task_id, start.order.run) for start in later
        }

    def test_members_that_were_not_sent_do_not_start(self) -> None:
        world, earlier, later = _gang_started_anew()
        _end(world, 10.2, earlier[0], DONE)
        world.store_changes(10.3)
        assert not [start for start in later if world.send_start(12.0, start)]


class TestTasksThatAreDone:
    """Guards against jobs that fail after their task succeeded."""

    def test_the_failure_of_a_superseded_run_does_not_count(self) -> None:
        queue = worlds.make_queue(max_attempts=1)
        world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')],
            worlds.make_configuration([queue]),
        )
        steps = [worlds.make_step(), worlds.make_step(after=(0,))]
        job_id = world.accept(0.0, worlds.make_job(1, steps, queue))
        (earlier,) = world.start_all(0.1)
        world.scheduler.mark_worker_silent(0.2, earlier.worker.worker_id)
        (later,) = world.start_all(10.0)
        _end(world, 10.1, earlier, DONE)
        _end(world, 10.2, later, FAILED)
        world.store_changes(10.3)
        state = world.scheduler.jobs.state_of(job_id)
        assert state is specs.JobState.RUNNING


@pytest.mark.parametrize('outcome', [STARTED, UNKNOWN])
class TestRunsListedBeforeTheirAnswer:
    """Guards against running jobs that are shown as waiting."""

    def test_the_job_is_running(self, outcome: specs.StartOutcome) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        order = start.order
        world.report(0.2, 'a', [(order.task_id, order.run)])
        world.answer_start(0.3, start, outcome)
        world.report(0.4, 'a', [(order.task_id, order.run)])
        state = world.scheduler.jobs.state_of(job_id)
        assert state is specs.JobState.RUNNING


class TestReportsThatAreOvertaken:
    """Guards against runs that a late report takes up after their end."""

    def test_a_run_that_has_ended_is_not_adopted(self) -> None:
        world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        order, worker_id = start.order, start.worker.worker_id
        _end(world, 1.0, start, FAILED)
        world.report(1.1, worker_id, [(order.task_id, order.run)], sent_at=0.8)
        assert world.plan_starts(1.2)


class TestThrottledFillersAfterATakeover:
    """Guards against fillers that keep the limit of an earlier holder."""

    def test_the_limit_is_lifted(self) -> None:
        assert _throttled(2, tail_ms=150.0)[-1:] == [0]
        assert _throttled(3, tail_ms=10.0)[-1:] == [100]


def _gang_started_anew() -> tuple[
    worlds.World, list[actions.Start], list[actions.Start]
]:
    world = worlds.World([worlds.make_worker(name) for name in 'abcd'])
    gang = worlds.make_step(2, gang=True, max_per_worker=1)
    world.accept(0.0, worlds.make_job(1, [gang]))
    earlier = world.start_all(0.1)
    for start in earlier:
        world.scheduler.mark_worker_silent(0.2, start.worker.worker_id)
    later = world.plan_starts(10.0)
    assert (len(earlier), len(later)) == (2, 2)
    return world, earlier, later


def _end(
    world: worlds.World,
    now: float,
    start: actions.Start,
    reason: specs.EndReason,
) -> None:
    order, worker_id = start.order, start.worker.worker_id
    world.report(now, worker_id, ended=[(1, order.task_id, order.run, reason)])


def _throttled(term: int, tail_ms: float) -> list[int]:
    """Return the limits that a new holder orders for an inherited filler."""
    job = worlds.make_job(
        1,
        [
            worlds.make_step(long_running=True, latency_target_s=0.1),
            worlds.make_step(filler=True, estimate_s=30.0),
        ],
    )
    world = worlds.World([worlds.make_worker('a')], term=term, reported=False)
    world.scheduler.load_job(
        0.0,
        worlds.UNIX_AT_ZERO_S,
        job,
        records.JobProgress(
            placed_by_task={'0.0.0': (1, 'a'), '0.1.0': (1, 'a')}
        ),
    )
    percents = []
    for tick in range(1, 20):
        rows = tuple(
            specs.RunningRow(
                model.TaskId(f'{job.job_id}.0.{step}.0'),
                specs.RunNumber(1),
                specs.NO_CHECKPOINT,
                100.0,
                load,
            )
            for step, load in ((0, tail_ms), (1, 1.0))
        )
        report = worlds.make_report(tick * 1000)
        world.scheduler.apply_report(
            tick,
            tick,
            model.WorkerId('a'),
            msgspec.structs.replace(report, running=rows),
        )
        percents += [
            action.percent
            for action in world.plan(tick + 0.1)
            if isinstance(action, actions.Throttle)
        ]
    return percents
