"""Reports to operators about runs that are to be stopped."""

from samphirestack.fleet import actions
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import stops
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

OVERDUE_S = stops.STOP_OVERDUE_S


class TestDecidedStops:
    """Guards against stops that leave no trace until they are answered."""

    def test_a_stop_is_reported_when_it_is_decided(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        world.scheduler.cancel(0.2, job_id)
        assert _decided(world.plan(0.2)) == [
            (start.order.task_id, 'cancelled', True)
        ]

    def test_a_stop_before_the_answer_of_the_start_says_so(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        world.scheduler.cancel(0.2, job_id)
        assert _decided(world.plan(0.2)) == [
            (start.order.task_id, 'cancelled', False)
        ]


class TestOverdueStops:
    """Guards against runs that go on after their stop without notice."""

    def _stop_one(self) -> tuple[worlds.World, actions.Start]:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        world.scheduler.cancel(0.2, job_id)
        return world, start

    def test_a_run_that_goes_on_is_reported_once(self) -> None:
        world, start = self._stop_one()
        order = start.order
        early = 0.2 + OVERDUE_S
        assert not _overdue(world.plan(early))
        world.report(early, 'a', [(order.task_id, order.run)])
        (report,) = _overdue(world.plan(early + 0.5))
        assert report.task_id == order.task_id
        assert (report.orders, report.accepted) == (2, False)
        assert not _overdue(world.plan(early + 1.0))

    def test_the_report_says_that_the_worker_accepted_the_stop(self) -> None:
        world, start = self._stop_one()
        order = start.order
        world.scheduler.handle_stop_result(
            0.3, start.worker.worker_id, order.task_id, order.run, True
        )
        world.report(1.0, 'a', [(order.task_id, order.run)])
        (report,) = _overdue(world.plan(0.7 + OVERDUE_S))
        assert report.accepted

    def test_a_silent_worker_is_not_reported(self) -> None:
        world, _ = self._stop_one()
        world.scheduler.mark_worker_silent(0.3, model.WorkerId('a'))
        assert not _overdue(world.plan(0.7 + OVERDUE_S))


class TestWorkersWithoutAnAddress:
    """Guards against stop orders that can't be sent, repeated each second."""

    def test_a_stop_waits_until_the_worker_registers(self) -> None:
        world = worlds.World([], term=2)
        job = worlds.make_job(1)
        progress = records.JobProgress(placed_by_task={'0.0.0': (1, 'a')})
        world.scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, job, progress)
        world.scheduler.cancel(0.0, job.job_id)
        assert not _stops(world.plan(0.0) + world.plan(2.0))
        world.scheduler.set_workers(3.0, [worlds.make_worker('a')])
        assert len(_stops(world.plan(3.0))) == 1


class TestEarlyReports:
    """Guards against starts that a report confirms without a trace."""

    def test_a_report_before_the_answer_of_the_start_is_reported(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        order = start.order
        for now in (0.2, 0.3):
            world.report(now, 'a', [(order.task_id, order.run)])
        early = [
            action
            for action in world.plan(0.3)
            if isinstance(action, actions.ReportListedEarly)
        ]
        assert early == [
            actions.ReportListedEarly(
                model.WorkerId('a'),
                order.task_id,
                specs.RunNumber(order.run),
            )
        ]


def _stops(planned: list[actions.Action]) -> list[actions.Stop]:
    return [action for action in planned if isinstance(action, actions.Stop)]


def _decided(
    planned: list[actions.Action],
) -> list[tuple[model.TaskId, str, bool]]:
    return [
        (action.task_id, action.reason, action.start_answered)
        for action in planned
        if isinstance(action, actions.ReportStopDecided)
    ]


def _overdue(
    planned: list[actions.Action],
) -> list[actions.ReportStopOverdue]:
    return [
        action
        for action in planned
        if isinstance(action, actions.ReportStopOverdue)
    ]
