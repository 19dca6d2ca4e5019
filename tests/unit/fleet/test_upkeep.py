"""Waves of upkeep, throttling of fillers and leaving workers."""

import asyncio
from collections.abc import Sequence
import itertools

import msgspec

from samphirestack import errors
from samphirestack.fleet import actions
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import term as terms
from samphirestack.fleet import tracking
from samphirestack.fleet import upkeep
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestack_testing import waiting
from samphirestackd.fleet import clock
from samphirestackd.fleet import node_context
from samphirestackd.fleet import waves
from samphirestackd.fleet import writer as writers

UP = upkeep.MachineState.UP
DOWN = upkeep.MachineState.DOWN


def make_wave(max_down: int = 1, deadline_s: float = 30.0) -> upkeep.Wave:
    return upkeep.Wave(1, ('m1', 'm2', 'm3'), deadline_s, max_down)


def receive(wave: upkeep.Wave, age_s: float = 0.0) -> upkeep.ReceivedWave:
    return upkeep.ReceivedWave(wave, clock.now() - age_s)


def make_run(
    wave: upkeep.Wave, progress: upkeep.WaveProgress | None = None
) -> upkeep.WaveRun:
    return upkeep.WaveRun(wave, 0.0, 2.0, progress)


def workers_with_a_run(machine: str) -> dict[str, tracking.TrackedWorker]:
    world = worlds.World([worlds.make_worker('a', machine=machine)])
    world.accept(0.0, worlds.make_job(1))
    world.start_all(0.1)
    return upkeep.index_by_machine(world.scheduler.workers_by_id)


class TestWaves:
    """Guards against too many machines down and false completion."""

    def test_the_limit_of_machines_down_holds(self) -> None:
        run = make_run(make_wave())
        assert run.begin_next(0.0, {}) == ['m1']
        run.mark_acknowledged('m1')
        run.record_states(1.5, {'m1': DOWN, 'm2': UP, 'm3': UP})
        assert run.begin_next(1.6, {}) == []
        run.record_states(4.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(4.1, {}) == ['m2']

    def test_a_list_from_before_the_order_is_not_a_return(self) -> None:
        run = make_run(make_wave())
        run.begin_next(0.0, {})
        run.mark_acknowledged('m1')
        run.record_states(0.1, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(0.2, {}) == []

    def test_an_unanswered_order_counts_as_down(self) -> None:
        run = make_run(make_wave())
        run.begin_next(0.0, {})
        run.record_states(9.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.unconfirmed() == ['m1']
        assert run.begin_next(9.0, {}) == []

    def test_a_busy_machine_goes_down_in_time_for_the_deadline(self) -> None:
        run = make_run(make_wave())
        workers = workers_with_a_run('m1')
        assert run.begin_next(5.0, workers) == []
        assert run.begin_next(20.0, workers) == ['m1']

    def test_a_busy_machine_whose_entry_expired_is_not_empty(self) -> None:
        world = worlds.World([worlds.make_worker('a', machine='m1')])
        world.accept(0.0, worlds.make_job(1))
        world.start_all(0.1)
        world.scheduler.set_workers(1.0, [])
        run = make_run(make_wave())
        workers = upkeep.index_by_machine(world.scheduler.workers_by_id)
        assert run.begin_next(5.0, workers) == []
        assert run.begin_next(20.0, workers) == ['m1']

    def test_a_refused_repeat_does_not_undo_an_unanswered_order(self) -> None:
        run = make_run(make_wave())
        run.begin_next(0.0, {})
        run.mark_unanswered('m1')
        run.mark_refused('m1')
        workers = workers_with_a_run('m1')
        assert run.unconfirmed() == ['m1']
        assert run.begin_next(1.0, workers) == []
        run.mark_acknowledged('m1')
        run.record_states(5.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.closed_machines() == ['m2', 'm3']

    def test_a_refused_repeat_does_not_undo_an_order_of_a_predecessor(
        self,
    ) -> None:
        run = make_run(make_wave(), upkeep.WaveProgress(['m1']))
        run.mark_refused('m1')
        assert run.unconfirmed() == ['m1']

    def test_a_refused_order_is_made_again(self) -> None:
        run = make_run(make_wave())
        for now in range(3):
            assert run.begin_next(float(now), {}) == ['m1']
            run.mark_refused('m1')
        assert run.unconfirmed() == []
        assert run.progress.begun == ['m1']

    def test_a_new_holder_does_not_repeat_acknowledged_orders(self) -> None:
        former = make_run(make_wave())
        former.begin_next(0.0, {})
        former.mark_acknowledged('m1')
        run = make_run(make_wave(), former.progress)
        assert run.unconfirmed() == []
        assert run.begin_next(0.5, {}) == []
        run.record_states(5.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(5.0, {}) == ['m2']

    def test_a_list_from_before_the_takeover_is_not_a_return(self) -> None:
        progress = upkeep.WaveProgress(['m1'], acknowledged=['m1'])
        run = upkeep.WaveRun(make_wave(), 0.0, 2.0, progress, 20.0)
        run.record_states(20.5, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(20.5, {}) == []
        run.record_states(21.5, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(21.5, {}) == ['m2']

    def test_a_list_from_before_a_repeated_order_is_not_a_return(self) -> None:
        run = make_run(make_wave())
        run.begin_next(0.0, {})
        run.mark_unanswered('m1')
        run.record_states(5.0, {'m1': UP, 'm2': UP, 'm3': UP})
        run.mark_sent(5.1, 'm1')
        run.mark_acknowledged('m1')
        run.record_states(5.6, {'m1': UP, 'm2': UP, 'm3': UP})
        assert run.begin_next(5.7, {}) == []
        run.record_states(6.2, {'m1': DOWN, 'm2': UP, 'm3': UP})
        assert run.begin_next(6.3, {}) == []

    def test_completion_requires_all_remaining_machines(self) -> None:
        run = make_run(make_wave(3))
        run.begin_next(0.0, {})
        for machine in ('m1', 'm2'):
            run.mark_acknowledged(machine)
        run.record_states(5.0, {'m1': UP, 'm2': UP, 'm3': UP})
        assert not run.is_complete
        run.record_states(6.0, {'m1': UP, 'm2': UP})
        assert not run.is_complete
        run.record_states(7.0, {'m1': UP, 'm2': UP})
        assert run.is_complete

    def test_a_machine_that_is_missing_once_is_not_removed(self) -> None:
        run = make_run(make_wave(3))
        run.begin_next(0.0, {})
        for machine in ('m1', 'm2', 'm3'):
            run.mark_acknowledged(machine)
        run.record_states(5.0, {})
        run.record_states(6.0, {'m1': UP, 'm2': DOWN, 'm3': UP})
        run.record_states(7.0, {'m1': UP, 'm3': UP})
        assert not run.is_complete

    def test_a_new_holder_repeats_orders_of_its_predecessor(self) -> None:
        run = make_run(make_wave(), upkeep.WaveProgress(['m1']))
        assert run.unconfirmed() == ['m1']
        assert run.begin_next(0.1, {}) == []


class TestThrottling:
    """Guards against fillers that slow down serving tasks."""

    def _world(self) -> worlds.World:
        world = worlds.World([worlds.make_worker('a')])
        serving = worlds.make_step(
            long_running=True, latency_target_s=0.1, image='web'
        )
        filler = worlds.make_step(filler=True, image='batch')
        world.accept(0.0, worlds.make_job(1, [serving]))
        world.accept(0.0, worlds.make_job(2, [filler]))
        assert len(world.start_all(0.1)) == 2
        return world

    def _throttle_percents(self, world: worlds.World, now: float) -> list[int]:
        """Return the limits that are ordered; the worker accepts them."""
        orders = self._throttle_orders(world, now)
        for order in orders:
            world.scheduler.handle_throttle_result(now, order, True)
        return [order.percent for order in orders]

    def _throttle_orders(
        self, world: worlds.World, now: float
    ) -> list[actions.Throttle]:
        return [
            action
            for action in world.plan(now)
            if isinstance(action, actions.Throttle)
        ]

    def _set_tail_latency(self, world: worlds.World, tail_ms: float) -> None:
        for worker in world.scheduler.workers_by_id.values():
            for run in worker.runs_by_key.values():
                if run.task.step.spec.latency_target_s:
                    run.load = tail_ms

    def test_fillers_slow_down_near_the_target_and_recover(self) -> None:
        world = self._world()
        self._set_tail_latency(world, 90.0)
        assert self._throttle_percents(world, 1.0) == [50]
        assert self._throttle_percents(world, 1.1) == []
        self._set_tail_latency(world, 120.0)
        assert self._throttle_percents(world, 2.0) == [0]
        self._set_tail_latency(world, 30.0)
        assert self._throttle_percents(world, 3.0) == [10]

    def test_a_refused_throttle_order_is_repeated(self) -> None:
        world = self._world()
        self._set_tail_latency(world, 90.0)
        order = next(
            action
            for action in world.plan(1.0)
            if isinstance(action, actions.Throttle)
        )
        world.scheduler.handle_throttle_result(1.0, order, False)
        assert self._throttle_percents(world, 1.1) == [50]

    def test_an_order_waits_for_the_answer_to_the_one_before(self) -> None:
        world = self._world()
        self._set_tail_latency(world, 90.0)
        (first,) = self._throttle_orders(world, 1.0)
        self._set_tail_latency(world, 120.0)
        assert self._throttle_orders(world, 1.7) == []
        world.scheduler.handle_throttle_result(1.75, first, True)
        (second,) = self._throttle_orders(world, 1.8)
        assert second.percent == 0

    def test_a_late_order_does_not_last_beyond_the_next_repeat(self) -> None:
        world = self._world()
        self._set_tail_latency(world, 120.0)
        (lost,) = self._throttle_orders(world, 1.0)
        world.scheduler.handle_throttle_result(1.8, lost, False)
        set_at = []
        for step in range(19, 400):
            now = step / 10
            for order in self._throttle_orders(world, now):
                assert order.percent == 0
                world.scheduler.handle_throttle_result(now, order, True)
                set_at.append(now)
        late_until = 1.8 + tracking.LATE_ORDER_S
        assert late_until <= max(set_at) < late_until + 2.0
        gaps = [later - at for at, later in itertools.pairwise(set_at)]
        assert max(gaps) < 2.0
        assert len(set_at) < 20

    def test_a_filler_that_an_earlier_holder_slowed_down_speeds_up(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(
            0.0, worlds.make_job(2, [worlds.make_step(filler=True)])
        )
        world.report(0.1, 'a', [(f'{job_id}.0.0.0', 1)])
        assert self._throttle_percents(world, 1.0) == [100]

    def test_a_stored_filler_of_an_earlier_holder_speeds_up(self) -> None:
        world = worlds.World([worlds.make_worker('a')], term=2)
        job = worlds.make_job(2, [worlds.make_step(filler=True)])
        world.scheduler.load_job(
            0.0,
            worlds.UNIX_AT_ZERO_S,
            job,
            records.JobProgress(placed_by_task={'0.0.0': (1, 'a')}),
        )
        world.report(0.1, 'a', [(f'{job.job_id}.0.0.0', 1)])
        assert self._throttle_percents(world, 1.0) == [100]

    def test_a_filler_that_has_just_started_needs_no_order(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        filler = worlds.make_step(filler=True)
        world.accept(0.0, worlds.make_job(2, [filler]))
        assert len(world.start_all(0.1)) == 1
        assert self._throttle_percents(world, 1.0) == []

    def test_a_filler_that_was_slowed_down_does_not_count_as_stalled(
        self,
    ) -> None:
        world = self._world()
        rows = [
            (run.task.id, run.number)
            for worker in world.scheduler.workers_by_id.values()
            for run in worker.runs_by_key.values()
        ]
        world.report(0.5, 'a', rows)
        self._set_tail_latency(world, 120.0)
        assert self._throttle_percents(world, 1.0) == [0]
        for now in (3.0, 6.0, 9.0):
            world.report(now, 'a', rows)
            self._set_tail_latency(world, 120.0)
            assert not self._stops(world, now)
        self._set_tail_latency(world, 30.0)
        for step in range(10):
            world.report(10.0 + step, 'a', rows, percent=20.0 + step)
            assert not self._stops(world, 10.0 + step)
        # At one per cent a second it may pause for about ten seconds.
        for now in (20.0, 23.0, 26.0, 30.0):
            world.report(now, 'a', rows, percent=29.0)
        assert len(self._stops(world, 30.0)) == 1

    def _stops(self, world: worlds.World, now: float) -> list[actions.Stop]:
        planned = world.plan(now)
        for one in planned:
            if isinstance(one, actions.Throttle):
                world.scheduler.handle_throttle_result(now, one, True)
        return [one for one in planned if isinstance(one, actions.Stop)]

    def test_fillers_do_not_overcommit_processors(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        fillers = worlds.make_step(5, filler=True)
        world.accept(0.0, worlds.make_job(1, [fillers]))
        assert len(world.plan_starts(0.1)) == 2


class TestLeavingWorkers:
    """Guards against interrupting all long-running tasks at once."""

    def test_long_running_tasks_are_moved_one_by_one(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        long_running = worlds.make_step(
            3, long_running=True, max_unavailable=1
        )
        world.accept(0.0, worlds.make_job(1, [long_running]))
        starts = world.start_all(0.1)
        rows = [(start.order.task_id, start.order.run) for start in starts]
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


class Machines:
    """Machines of which ``m1`` never answers an order."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.lists = 0

    async def list_machines(self) -> dict[str, upkeep.MachineState]:
        self.lists += 1
        return dict.fromkeys(('m1', 'm2', 'm3'), UP)

    async def begin_upkeep(
        self, machine: str, wave: int, holder: model.VmId, term: int
    ) -> bool:
        if machine == 'm1':
            raise errors.PlatformError('no answer')
        self.begun.append(machine)
        return True


class Registry:
    """Registry that names no row for the operator."""

    def wave_status(self, number: int, completed: bool) -> ports.Put:
        return ports.Put('status', str(number), b'')


class RunningController:
    """Runs waves and writes to the store in a term that lasts."""

    def __init__(
        self,
        context: node_context.Context,
        scheduler: schedulers.FleetScheduler,
    ) -> None:
        context.registry = Registry()  # type: ignore[assignment]
        term = terms.Term(model.VmId('vm'), 'life', 'address')
        record = records.TermRecord(1, model.VmId('vm'), 'life', 'address')
        term.record_write(clock.now() + 60.0, record, 0)
        writer = writers.TermWriter(context, term, scheduler, lambda one: None)
        controller = waves.UpkeepController(context, term, scheduler, writer)
        self._tasks = [
            asyncio.create_task(writer.run()),
            asyncio.create_task(controller.run()),
        ]

    async def __aenter__(self) -> None:
        return None

    async def __aexit__(self, *error: object) -> None:
        # A task that failed did so before the test ended it.
        assert not any(task.done() for task in self._tasks)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class ClosedCheckingMachines(Machines):
    """Machines that record whether work could start when they go down."""

    def __init__(self, scheduler: schedulers.FleetScheduler) -> None:
        super().__init__()
        self._scheduler = scheduler
        self.open_at_order: list[str] = []

    async def begin_upkeep(
        self, machine: str, wave: int, holder: model.VmId, term: int
    ) -> bool:
        for worker in self._scheduler.workers_by_id.values():
            if worker.entry.machine == machine and (
                not worker.closed_for_upkeep
            ):
                self.open_at_order.append(machine)
        self.begun.append(machine)
        return True


class UnlistedMachines(Machines):
    """Machines whose list is not available."""

    async def list_machines(self) -> dict[str, upkeep.MachineState]:
        self.lists += 1
        raise errors.PlatformError('no answer')


class TestClosedMachines:
    """Guards against work that starts on a machine about to go down."""

    def test_a_worker_that_registers_again_stays_closed(self) -> None:
        entry = worlds.make_worker('a', machine='m1')
        world = worlds.World([entry])
        world.scheduler.close_machines({'m1'})
        world.scheduler.set_workers(1.0, [])
        world.plan(1.0)
        assert not world.scheduler.workers_by_id
        world.scheduler.update_worker(2.0, entry)
        world.report(2.0, 'a')
        world.accept(2.0, worlds.make_job(1))
        assert world.plan_starts(2.1) == []
        world.scheduler.close_machines(set())
        assert len(world.plan_starts(2.2)) == 1

    async def test_a_machine_is_closed_before_its_order(self) -> None:
        world = worlds.World(
            [
                worlds.make_worker(f'w{number}', machine=f'm{number}')
                for number in (1, 2, 3)
            ]
        )
        context = worlds.make_context(row_store.MemoryRowStore())
        machines = ClosedCheckingMachines(world.scheduler)
        context.machines = machines
        context.waves = lambda: {1: receive(make_wave(max_down=3))}
        async with RunningController(context, world.scheduler):
            await waiting.until(
                lambda: len(machines.begun) == 3, 10.0, 'three orders'
            )
            assert not machines.open_at_order

    async def test_a_new_holder_closes_machines_before_they_are_listed(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('a', machine='m1')])
        context = worlds.make_context(row_store.MemoryRowStore())
        machines = UnlistedMachines()
        context.machines = machines
        context.waves = lambda: {1: receive(make_wave())}
        async with RunningController(context, world.scheduler):
            await waiting.until(
                lambda: machines.lists > 1, 10.0, 'calls for a list'
            )
            (worker,) = world.scheduler.workers_by_id.values()
            assert worker.closed_for_upkeep


class TestUnansweredOrders:
    """Guards against a wave that waits for the answer of one machine."""

    async def test_the_other_machines_are_ordered(self) -> None:
        context = worlds.make_context(row_store.MemoryRowStore())
        machines = Machines()
        context.machines = machines
        context.waves = lambda: {1: receive(make_wave(max_down=2))}
        async with RunningController(context, worlds.World([]).scheduler):
            await waiting.until(
                lambda: machines.begun == ['m2'], 10.0, 'the order for m2'
            )


class RefusingStore(row_store.MemoryRowStore):
    """Store that refuses writes for a while."""

    def __init__(self) -> None:
        super().__init__()
        self.refuses_writes = True
        self.refused: list[list[str]] = []
        """Keys of the rows of each refused write."""

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        if self.refuses_writes:
            self.refused.append([f'{put.table}/{put.key}' for put in puts])
            raise errors.StoreUnavailable('refused')
        return await super().transact(conditions, puts, removals, part)


class TestStoredProgress:
    """Guards against an upkeep that the next holder does not know of."""

    async def test_no_order_is_sent_before_its_record_is_stored(self) -> None:
        store = RefusingStore()
        context = worlds.make_context(store)
        machines = ClosedCheckingMachines(worlds.World([]).scheduler)
        context.machines = machines
        context.waves = lambda: {1: receive(make_wave(max_down=2))}
        async with RunningController(context, worlds.World([]).scheduler):
            await waiting.until(
                lambda: len(store.refused) > 5, 10.0, 'refused writes'
            )
            assert machines.begun == []
            store.refuses_writes = False
            await waiting.until(
                lambda: machines.begun == ['m1', 'm2'], 10.0, 'two orders'
            )
            key = (records.UPKEEP_TABLE, records.HOLDER_PART, '1')
            progress = msgspec.msgpack.decode(
                store.rows_by_key[key][0], type=upkeep.WaveProgress
            )
            assert progress.begun == ['m1', 'm2']

    async def test_a_write_holds_each_row_once(self) -> None:
        store = RefusingStore()
        context = worlds.make_context(store)
        term = terms.Term(model.VmId('vm'), 'life', 'address')
        record = records.TermRecord(1, model.VmId('vm'), 'life', 'address')
        term.record_write(clock.now(), record, 0)
        writer = writers.TermWriter(
            context, term, worlds.World([]).scheduler, lambda one: None
        )
        for value in (b'1', b'2'):
            writer.store([ports.Put(records.UPKEEP_TABLE, '1', value)])
        running = asyncio.create_task(writer.run())
        try:
            await waiting.until(lambda: bool(store.refused), 10.0, 'a write')
            assert store.refused[0].count('upkeep/1') == 1
            store.refuses_writes = False
            key = (records.UPKEEP_TABLE, records.HOLDER_PART, '1')
            await waiting.until(
                lambda: key in store.rows_by_key, 10.0, 'the row'
            )
            assert store.rows_by_key[key][0] == b'2'
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class TestDeadline:
    """Guards against a wave that is late because the holder changed."""

    async def test_a_new_holder_counts_from_the_receipt_of_the_wave(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('a', machine='m1')])
        world.accept(0.0, worlds.make_job(1))
        world.start_all(0.1)
        context = worlds.make_context(row_store.MemoryRowStore())
        machines = ClosedCheckingMachines(world.scheduler)
        context.machines = machines
        wave = receive(make_wave(deadline_s=60.0), 55.0)
        context.waves = lambda: {1: wave}
        async with RunningController(context, world.scheduler):
            await waiting.until(
                lambda: machines.lists > 2 or bool(machines.begun),
                10.0,
                'an order or three steps without one',
            )
            assert machines.begun == ['m1']
