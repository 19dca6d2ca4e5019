"""Stops whose worker restarts under the same id."""

import msgspec

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack_testing import fleet_world as worlds

UNKNOWN = specs.StartOutcome.UNKNOWN


class TestAnswersOfAnEarlierProcess:
    """Guards against runs over by a stop that the new process did not get."""

    def test_a_late_answer_proves_nothing_of_the_new_process(self) -> None:
        world, start = _stop_unanswered_start()
        worker_id = start.worker.worker_id
        world.scheduler.update_worker(
            0.5, worlds.make_worker(worker_id, started=2)
        )
        _accept_stop(world, 0.6, start)
        world.report(0.7, worker_id, started=2)
        assert not world.plan_starts(0.8)

    def test_a_late_answer_is_none_to_the_order_that_was_repeated(
        self,
    ) -> None:
        world, start = _stop_unanswered_start()
        worker_id = start.worker.worker_id
        world.scheduler.update_worker(
            0.5, worlds.make_worker(worker_id, started=2)
        )
        assert _stops(world.plan(0.6))
        _accept_stop(world, 0.7, start, sent_at=0.4)
        world.report(0.8, worker_id, started=2)
        assert not world.plan_starts(0.9)

    def test_an_incomplete_first_report_keeps_no_answer(self) -> None:
        world, start = _stop_unanswered_start()
        worker_id = start.worker.worker_id
        _accept_stop(world, 0.45, start)
        report = msgspec.structs.replace(
            worlds.make_report(500, started=2), ends_complete=False
        )
        world.scheduler.apply_report(0.5, 0.5, worker_id, report)
        world.report(0.7, worker_id, started=2)
        assert not world.plan_starts(0.8)

    def test_a_run_that_the_new_process_lists_is_stopped_at_once(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        world.scheduler.cancel(0.2, job_id)
        assert _stops(world.plan(0.2))
        _accept_stop(world, 0.3, start)
        order = start.order
        world.report(0.4, 'a', [(order.task_id, order.run)], started=2)
        assert _stops(world.plan(0.5))


def _stop_unanswered_start() -> tuple[worlds.World, actions.Start]:
    world = worlds.World([worlds.make_worker('a'), worlds.make_worker('b')])
    world.accept(0.0, worlds.make_job(1))
    (start,) = world.plan_starts(0.1)
    world.answer_start(0.2, start, UNKNOWN)
    world.report(0.3, start.worker.worker_id)
    assert _stops(world.plan(0.4))
    return world, start


def _accept_stop(
    world: worlds.World,
    now: float,
    start: actions.Start,
    sent_at: float | None = None,
) -> None:
    order, worker_id = start.order, start.worker.worker_id
    world.scheduler.handle_stop_result(
        now,
        worker_id,
        order.task_id,
        order.run,
        True,
        now if sent_at is None else sent_at,
    )


def _stops(planned: list[actions.Action]) -> list[actions.Stop]:
    return [action for action in planned if isinstance(action, actions.Stop)]
