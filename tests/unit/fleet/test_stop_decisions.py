"""Stops that are decided while the scheduler waits for a worker."""

import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
FAILED = specs.EndReason.FAILED


@pytest.mark.parametrize(
    'outcome', [specs.StartOutcome.STARTED, specs.StartOutcome.UNKNOWN]
)
class TestStopsDecidedBeforeTheStartIsAnswered:
    """Guards against runs that go on since they were listed too early."""

    def test_the_job_was_cancelled(self, outcome: specs.StartOutcome) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        assert world.scheduler.cancel(0.3, job_id)
        _assert_is_stopped(world, start, outcome)

    def test_the_job_failed(self, outcome: specs.StartOutcome) -> None:
        queue = worlds.make_queue(max_attempts=1)
        world = _world_of_two(queue)
        world.accept(
            0.0,
            worlds.make_job(1, [worlds.make_step(2, max_per_worker=1)], queue),
        )
        failing, waiting = world.plan_starts(0.1)
        _end(world, failing, FAILED)
        _assert_is_stopped(world, waiting, outcome)

    def test_a_member_of_the_gang_was_refused(
        self, outcome: specs.StartOutcome
    ) -> None:
        refused, waiting, world = _begin_gang()
        world.answer_start(0.2, refused, specs.StartOutcome.NO_ROOM)
        _assert_is_stopped(world, waiting, outcome)

    def test_a_member_of_the_gang_failed(
        self, outcome: specs.StartOutcome
    ) -> None:
        failing, waiting, world = _begin_gang()
        _end(world, failing, FAILED)
        _assert_is_stopped(world, waiting, outcome)

    def test_another_run_succeeded(self, outcome: specs.StartOutcome) -> None:
        world = _world_of_two(worlds.make_queue())
        world.accept(0.0, worlds.make_job(1))
        (first,) = world.start_all(0.1)
        silent = first.worker.worker_id
        world.scheduler.mark_worker_silent(0.2, silent)
        (second,) = world.plan_starts(10.0)
        world.report(
            10.1,
            silent,
            ended=[(1, first.order.task_id, first.order.run, DONE)],
        )
        _assert_is_stopped(world, second, outcome, after=10.2)

    def test_the_worker_restarts_after_the_job_was_cancelled(
        self, outcome: specs.StartOutcome
    ) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        assert world.scheduler.cancel(0.2, job_id)
        world.scheduler.update_worker(0.3, worlds.make_worker('a', started=2))
        _assert_is_stopped(world, start, outcome, started=2)

    def test_a_wanted_run_goes_on(self, outcome: specs.StartOutcome) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        assert _stopped_when_listed_early(world, start, outcome) == set()


class TestRunsOfAGangThatIsDone:
    """Guards against a second run of a gang that goes on for nothing."""

    def test_it_is_stopped_when_the_silent_first_run_had_succeeded(
        self,
    ) -> None:
        world = _world_of_two(worlds.make_queue())
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(gang=True)]))
        (first,) = world.start_all(0.1)
        silent = first.worker.worker_id
        world.scheduler.mark_worker_silent(0.2, silent)
        (second,) = world.start_all(10.0)
        world.report(
            10.1,
            silent,
            ended=[(1, first.order.task_id, first.order.run, DONE)],
        )
        order = second.order
        running = [(order.task_id, order.run)]
        world.report(10.2, second.worker.worker_id, running)
        assert (second.worker.worker_id, *running[0]) in _stopped_runs(
            world.plan(10.3)
        )


def _world_of_two(queue: specs.Queue) -> worlds.World:
    return worlds.World(
        [worlds.make_worker('a'), worlds.make_worker('b')],
        worlds.make_configuration([queue]),
    )


def _begin_gang() -> tuple[actions.Start, actions.Start, worlds.World]:
    world = _world_of_two(worlds.make_queue())
    gang = worlds.make_step(2, gang=True, max_per_worker=1)
    world.accept(0.0, worlds.make_job(1, [gang]))
    first, second = world.plan_starts(0.1)
    return first, second, world


def _end(
    world: worlds.World, start: actions.Start, reason: specs.EndReason
) -> None:
    order, worker_id = start.order, start.worker.worker_id
    world.answer_start(0.2, start, specs.StartOutcome.STARTED)
    world.report(0.3, worker_id, ended=[(1, order.task_id, order.run, reason)])


def _assert_is_stopped(
    world: worlds.World,
    start: actions.Start,
    outcome: specs.StartOutcome,
    after: float = 0.4,
    started: int = 1,
) -> None:
    order, worker_id = start.order, start.worker.worker_id
    assert (
        worker_id,
        order.task_id,
        order.run,
    ) in _stopped_when_listed_early(world, start, outcome, after, started)


def _stopped_when_listed_early(
    world: worlds.World,
    start: actions.Start,
    outcome: specs.StartOutcome,
    after: float = 0.4,
    started: int = 1,
) -> set[tuple[model.WorkerId, model.TaskId, specs.RunNumber]]:
    """Return the runs that are stopped if one is listed before its answer."""
    order, worker_id = start.order, start.worker.worker_id
    world.scheduler.mark_start_sent(worker_id, order.task_id, order.run)
    running = [(order.task_id, order.run)]
    world.report(after, worker_id, running, started=started)
    planned = world.plan(after + 0.1)
    world.answer_start(after + 0.2, start, outcome)
    world.report(after + 0.3, worker_id, running, started=started)
    planned += world.plan(after + 0.4)
    return _stopped_runs(planned)


def _stopped_runs(
    planned: list[actions.Action],
) -> set[tuple[model.WorkerId, model.TaskId, specs.RunNumber]]:
    return {
        (action.worker.worker_id, action.task_id, action.run)
        for action in planned
        if isinstance(action, actions.Stop)
    }
