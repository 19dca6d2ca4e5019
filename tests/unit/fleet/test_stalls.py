"""Runs that stand still, as opposed to those that are long or that wait."""

from collections.abc import Iterable

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack.fleet import stalls
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

NO_PROGRESS = 'no progress'


class StallWorld:
    """One step, each of whose tasks runs on a worker of its own."""

    def __init__(self, count: int = 1, gang: bool = False) -> None:
        self.world = worlds.World(
            [worlds.make_worker(f'w{number}', 1000) for number in range(count)]
        )
        step = worlds.make_step(count, gang=gang)
        self.world.accept(0.0, worlds.make_job(1, [step]))
        self.starts = self.world.plan_starts(0.0)
        assert len(self.starts) == count
        self.stopped_ids: list[str] = []
        self.stalled: list[actions.ReportStalled] = []

    def start(self, now: float, indexes: Iterable[int]) -> None:
        for index in indexes:
            self.world.answer_start(
                now, self.starts[index], specs.StartOutcome.STARTED
            )

    def report(self, now: float, percents: Iterable[float]) -> None:
        """Report the progress of the first members."""
        for start, percent in zip(self.starts, percents, strict=False):
            self.world.report(
                now,
                start.worker.worker_id,
                [(start.order.task_id, start.order.run)],
                percent=percent,
            )
        for action in self.world.plan(now):
            if isinstance(action, actions.ReportStalled):
                self.stalled.append(action)
            elif isinstance(action, actions.ReportStopDecided):
                assert action.reason == NO_PROGRESS
                self.stopped_ids.append(action.worker_id)

    def worker_id(self, index: int) -> model.WorkerId:
        return self.starts[index].worker.worker_id


class TestSingleRuns:
    """Guards against hangs that go unnoticed and long runs that are lost."""

    def test_a_run_that_never_begins_is_stopped_soon(self) -> None:
        world = StallWorld()
        world.start(0.0, [0])
        world.report(1.0, [0.0])
        assert not world.stopped_ids
        world.report(2.5, [0.0])
        assert world.stopped_ids == [world.worker_id(0)]

    def test_a_short_run_that_stands_still_halfway_is_stopped_soon(
        self,
    ) -> None:
        world = StallWorld()
        world.start(0.0, [0])
        for step in range(10):
            world.report(0.5 * step, [5.0 * step])
        world.report(6.0, [45.0])
        assert not world.stopped_ids
        world.report(6.7, [45.0])
        assert world.stopped_ids == [world.worker_id(0)]

    def test_a_run_slower_than_declared_goes_on(self) -> None:
        world = StallWorld()
        world.start(0.0, [0])
        for step in range(200):
            now = 0.5 * step
            world.report(now, [now // 2.5])
        assert not world.stopped_ids

    def test_a_run_on_a_worker_that_becomes_slow_goes_on(self) -> None:
        world = StallWorld()
        world.start(0.0, [0])
        for step in range(20):
            world.report(0.5 * step, [float(step)])
        for step in range(60):
            now = 10.0 + 0.5 * step
            world.report(now, [20.0 + (now - 10.0) // 4.0])
        assert not world.stopped_ids

    def test_progress_before_a_checkpoint_is_not_part_of_the_rate(
        self,
    ) -> None:
        world = StallWorld()
        world.start(0.0, [0])
        world.report(0.1, [70.0])
        for step in range(40):
            now = 0.5 * step
            world.report(now, [70.0 + now // 2.5])
        assert not world.stopped_ids

    def test_a_run_without_visible_progress_gets_more_time_each_time(
        self,
    ) -> None:
        world = worlds.World(
            [worlds.make_worker(f'w{number}', 1000) for number in range(4)]
        )
        world.accept(0.0, worlds.make_job(1))
        now = 0.0
        patience = []
        for number in range(3):
            (start,) = world.start_all(now)
            began_at = now
            key = (start.order.task_id, start.order.run)
            worker_id = start.worker.worker_id
            stopped = False
            while not stopped:
                now += 0.5
                world.report(now, worker_id, [key], percent=0.0)
                stopped = any(
                    isinstance(action, actions.Stop)
                    for action in world.plan(now)
                )
            patience.append(now - began_at)
            world.report(
                now, worker_id, ended=[(1, *key, specs.EndReason.STOPPED)]
            )
            assert number == 2 or now < 30.0
        assert patience == [2.5, 4.5, 8.5]


class TestGangs:
    """Guards against gangs that are lost because a member waits."""

    def test_members_at_their_end_wait_for_a_slow_one(self) -> None:
        world = StallWorld(3, gang=True)
        world.start(0.0, range(3))
        for step in range(41):
            now = 0.5 * step
            world.report(
                now, [min(100.0, 50.0 * now), min(100.0, 40 * now), 5.0 * now]
            )
        assert not world.stopped_ids

    def test_members_wait_for_one_that_starts_late(self) -> None:
        world = StallWorld(3, gang=True)
        world.start(0.0, [0, 1])
        for step in range(8):
            world.report(0.5 * step, [0.0, 0.0])
        world.start(4.0, [2])
        for now in (4.5, 5.0, 5.5, 6.0):
            world.report(now, [0.0, 0.0, 0.0])
        assert not world.stopped_ids

    def test_members_wait_for_one_whose_start_has_no_answer(self) -> None:
        world = StallWorld(3, gang=True)
        world.start(0.0, [0, 1])
        world.world.answer_start(
            0.5, world.starts[2], specs.StartOutcome.UNKNOWN
        )
        for step in range(8):
            world.report(0.5 * step, [0.0, 0.0])
        assert not world.stopped_ids

    def test_a_member_that_stands_still_is_blamed_alone(self) -> None:
        world = StallWorld(3, gang=True)
        world.start(0.0, range(3))
        for step in range(20):
            now = 0.5 * step
            world.report(
                now,
                [min(100.0, 50.0 * now), min(40.0, 40 * now), 9.0 * now],
            )
        assert world.stopped_ids == [world.worker_id(1)]
        workers = world.world.scheduler.workers_by_id
        assert [
            workers[world.worker_id(index)].avoid_until > 0
            for index in range(3)
        ] == [False, True, False]
        assert [
            start.worker.worker_id
            for start in world.starts
            if world.world.scheduler.jobs.find_task(
                start.order.task_id
            ).failed_worker_ids  # type: ignore[union-attr]
        ] == [world.worker_id(1)]

    def test_a_member_that_hangs_is_noticed_while_all_others_are_done(
        self,
    ) -> None:
        world = StallWorld(3, gang=True)
        world.start(0.0, range(3))
        world.report(0.5, [50.0, 50.0, 30.0])
        world.report(1.0, [100.0, 100.0, 60.0])
        world.report(3.0, [100.0, 100.0, 60.0])
        assert not world.stopped_ids
        world.report(3.1, [100.0, 100.0, 60.0])
        assert world.stopped_ids == [world.worker_id(2)]

    def test_a_member_that_hangs_from_the_start_is_noticed(self) -> None:
        world = StallWorld(2, gang=True)
        world.start(0.0, [0])
        world.start(1.0, [1])
        world.report(2.0, [50.0, 0.0])
        world.report(3.0, [100.0, 0.0])
        assert not world.stopped_ids
        world.report(3.5, [100.0, 0.0])
        assert world.stopped_ids == [world.worker_id(1)]

    def test_a_gang_that_does_not_end_blames_the_last_member(self) -> None:
        world = StallWorld(2, gang=True)
        world.start(0.0, range(2))
        world.report(0.5, [50.0, 30.0])
        world.report(1.0, [100.0, 60.0])
        world.report(1.5, [100.0, 100.0])
        world.report(4.0, [100.0, 100.0])
        assert world.stopped_ids == [world.worker_id(1)]

    def test_the_log_tells_what_the_gang_stood_at(self) -> None:
        world = StallWorld(2, gang=True)
        world.start(0.0, range(2))
        world.report(0.5, [50.0, 30.0])
        world.report(1.0, [100.0, 30.0])
        world.report(3.0, [100.0, 30.0])
        (stalled,) = world.stalled
        assert stalled.worker_id == world.worker_id(1)
        assert stalled.percent == 30.0
        assert stalled.still_s == 2.5
        assert sorted(stalled.member_percents) == [30.0, 100.0]
        assert stalled.members_unconfirmed == 0


class TestPatience:
    """Guards against a patience that grows without bound."""

    def test_doubling_is_limited(self) -> None:
        world = StallWorld()
        (run,) = world.world.scheduler.workers_by_id[
            world.worker_id(0)
        ].runs_by_key.values()
        run.task.stalls = 1000
        assert stalls.patience_s(run, [], 3.0) == (
            3.0 * 2.0**stalls.MAX_DOUBLINGS
        )
