"""Crashes of workers that came before the order of a run."""

from samphirestack.fleet import crashes
from samphirestack.fleet import specs
from samphirestack_testing import fleet_world as worlds

FIRST_MS = int((worlds.UNIX_AT_ZERO_S - 100.0) * 1000)


class TestCrashesBeforeTheOrder:
    """Guards against jobs given up for a crash that a run can't have caused.

    The worker's row shows that its new process is older than the order.
    """

    def test_a_run_that_never_began_is_no_suspect(self) -> None:
        workers = [worlds.make_worker(name, started=FIRST_MS) for name in 'ab']
        world = worlds.World(workers, reported=False)
        for name in 'ab':
            world.report(0.0, name, started=FIRST_MS)
        step = worlds.make_step(long_running=True)
        job_id = world.accept(0.0, worlds.make_job(1, [step]))
        (start,) = world.start_all(0.1)
        crashed = start.worker.worker_id
        _restart(world, crashed, began_at=0.8, now=0.9)
        world.report(0.95, crashed, started=_started_ms(0.8))
        (start,) = world.plan_starts(1.0)
        other = start.worker.worker_id
        assert other != crashed
        world.scheduler.mark_start_sent(
            other, start.order.task_id, start.order.run
        )
        _restart(world, other, began_at=0.4, now=1.4)
        world.answer_start(1.5, start, specs.StartOutcome.UNKNOWN)
        world.report(1.7, other, started=_started_ms(0.4), sent_at=1.6)
        assert job_id in world.scheduler.jobs.active_by_id
        task = world.scheduler.jobs.find_task(start.order.task_id)
        assert task is not None
        assert crashes.crashed_worker_ids(task) == [crashed]


def _restart(
    world: worlds.World, name: str, began_at: float, now: float
) -> None:
    world.scheduler.update_worker(
        now, worlds.make_worker(name, started=_started_ms(began_at))
    )


def _started_ms(began_at: float) -> int:
    return int((worlds.UNIX_AT_ZERO_S + began_at) * 1000)
