"""Waves of upkeep and the pace of filling tasks."""

from samphirestack.fleet import actions
from samphirestack.fleet import tracking
from samphirestack.fleet import upkeep
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

UP = upkeep.MachineState.UP
DOWN = upkeep.MachineState.DOWN


def make_wave(max_down: int = 1, deadline_s: float = 30.0) -> upkeep.Wave:
    return upkeep.Wave(1, ('m1', 'm2', 'm3'), deadline_s, max_down)


def make_run(
    wave: upkeep.Wave, progress: upkeep.WaveProgress | None = None
) -> upkeep.WaveRun:
    return upkeep.WaveRun(wave, 0.0, 2.0, progress)


def busy(machine: str) -> dict[str, tracking.TrackedWorker]:
    world = worlds.World([worlds.make_worker('a', machine=machine)])
    world.accept(0.0, worlds.make_job(1))
    world.started(0.1)
    return upkeep.index_by_machine(world.scheduler.workers_by_id)


class TestWaves:
    """Guards against too many machines down and against false reports."""

    def test_only_so_many_machines_are_down(self) -> None:
        run = make_run(make_wave())
        assert run.begin_next(0.0, {}) == ['m1']
        run.mark_acknowledged('m1')
        run.record_states(1.5, {'m1': DOWN, 'm2': UP, 'm3': UP})
        assert run.begin_next(1.6, {}) == []
        run.record_states(4.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(4.1, {}) == ['m2']

    def test_a_list_from_before_the_call_proves_no_return(self) -> None:
        run = make_run(make_wave())
        run.begin_next(0.0, {})
        run.mark_acknowledged('m1')
        run.record_states(0.1, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(0.2, {}) == []

    def test_an_unanswered_call_counts_as_down(self) -> None:
        run = make_run(make_wave())
        run.begin_next(0.0, {})
        run.record_states(9.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.unconfirmed() == ['m1']
        assert run.begin_next(9.0, {}) == []

    def test_a_busy_machine_waits_until_the_deadline_needs_it(self) -> None:
        run = make_run(make_wave())
        workers = busy('m1')
        assert run.begin_next(5.0, workers) == []
        assert run.begin_next(20.0, workers) == ['m1']

    def test_completion_needs_every_machine_that_stays(self) -> None:
        run = make_run(make_wave(3))
        run.begin_next(0.0, {})
        for machine in ('m1', 'm2'):
            run.mark_acknowledged(machine)
        run.record_states(5.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert not run.is_complete
        run.record_states(6.0, {'m1': UP, 'm2': UP})
        assert run.is_complete

    def test_a_new_holder_asks_again_for_what_had_begun(self) -> None:
        run = make_run(make_wave(), upkeep.WaveProgress(['m1']))
        assert run.unconfirmed() == ['m1']
        assert run.begin_next(0.1, {}) == []


class TestPacing:
    """Guards against users who wait because of filling tasks."""

    def _world(self) -> worlds.World:
        world = worlds.World([worlds.make_worker('a')])
        serving = worlds.make_step(
            long_running=True, latency_target_s=0.1, image='web'
        )
        filling = worlds.make_step(filler=True, image='batch')
        world.accept(0.0, worlds.make_job(1, [serving]))
        world.accept(0.0, worlds.make_job(2, [filling]))
        assert len(world.started(0.1)) == 2
        return world

    def _paces(self, world: worlds.World, now: float) -> list[int]:
        return [
            action.percent
            for action in world.plan(now)
            if isinstance(action, actions.Throttle)
        ]

    def _load(self, world: worlds.World, tail_ms: float) -> None:
        for worker in world.scheduler.workers_by_id.values():
            for run in worker.runs_by_key.values():
                if run.task.step.spec.latency_target_s:
                    run.load = tail_ms

    def test_fillers_are_slowed_near_the_target_and_come_back(self) -> None:
        world = self._world()
        self._load(world, 90.0)
        assert self._paces(world, 1.0) == [50]
        assert self._paces(world, 1.1) == []
        self._load(world, 120.0)
        assert self._paces(world, 2.0) == [0]
        self._load(world, 30.0)
        assert self._paces(world, 3.0) == [10]

    def test_a_pace_that_was_not_taken_is_ordered_again(self) -> None:
        world = self._world()
        self._load(world, 90.0)
        order = next(
            action
            for action in world.plan(1.0)
            if isinstance(action, actions.Throttle)
        )
        world.scheduler.handle_throttle_result(order, False)
        assert self._paces(world, 1.1) == [50]

    def test_fillers_do_not_share_processors_among_themselves(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        filling = worlds.make_step(5, filler=True)
        world.accept(0.0, worlds.make_job(1, [filling]))
        assert len(world.starts(0.1)) == 2


class TestLeavingWorkers:
    """Guards against lasting tasks that are all moved at once."""

    def test_lasting_tasks_leave_one_by_one(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        lasting = worlds.make_step(3, long_running=True, max_unavailable=1)
        world.accept(0.0, worlds.make_job(1, [lasting]))
        starts = world.started(0.1)
        rows = [(one.order.task_id, one.order.run) for one in starts]
        world.report(1.0, 'a', rows, percent=100.0)
        worker = world.scheduler.workers_by_id[model.WorkerId('a')]
        worker.closed_for_upkeep = True
        stops = [
            action
            for action in world.plan(1.1)
            if isinstance(action, actions.Stop)
        ]
        assert len(stops) == 1
        assert not [
            action
            for action in world.plan(1.2)
            if isinstance(action, actions.Stop)
        ]
