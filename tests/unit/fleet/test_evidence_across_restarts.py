"""What is concluded from observations of another process of a worker."""

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack_testing import fleet_world as worlds

SECOND_MS = int((worlds.UNIX_AT_ZERO_S + 4.0) * 1000)
"""Start of the second process of a worker, in Unix milliseconds."""


def stopped_runs(planned: list[actions.Action]) -> list[tuple[str, int]]:
    return [
        (action.task_id, action.run)
        for action in planned
        if isinstance(action, actions.Stop)
    ]


class TestWorkersThatWereRemoved:
    """Guards against a late order for a worker that was away meanwhile."""

    def test_a_late_order_is_stopped_when_its_worker_is_back(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        worker_id = start.worker.worker_id
        run = (start.order.task_id, start.order.run)
        world.answer_start(0.9, start, specs.StartOutcome.UNKNOWN)
        world.report(1.0, worker_id)
        assert stopped_runs(world.plan(1.1)) == [run]
        world.scheduler.handle_stop_result(1.2, worker_id, *run, True)
        world.report(1.4, worker_id, sent_at=1.3)
        world.scheduler.mark_worker_silent(2.0, worker_id)
        world.scheduler.mark_worker_unregistered(worker_id)
        world.plan(3.0)
        world.scheduler.update_worker(
            4.5, worlds.make_worker('a', started=SECOND_MS)
        )
        assert run in stopped_runs(world.plan(4.6))
