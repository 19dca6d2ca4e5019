"""Workers whose capacity shrinks and grows while they run."""

from samphirestack.fleet import registry_freshness
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
STOPPED = specs.EndReason.STOPPED


def resize(
    world: worlds.World,
    now: float,
    name: str,
    cpu: int,
    memory: int = 32_000,
    started: int = 1,
) -> None:
    """Apply a renewed entry of a worker with another capacity."""
    world.scheduler.update_worker(
        now, worlds.make_worker(name, cpu, memory, started=started)
    )


class TestUnsentStarts:
    """Guards against starts that were planned before the capacity shrank.

    A placement is stored before its start is sent, which takes as long as an
    outage of the store.
    """

    def test_a_start_is_not_sent_once_its_worker_is_too_small(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(2)]))
        starts = world.plan_starts(0.1)
        resize(world, 0.2, 'a', 1000)
        assert [world.send_start(0.3, start) for start in starts] == [
            False,
            True,
        ]

    def test_a_lack_of_memory_or_accelerators_counts_as_well(self) -> None:
        size = model.Resources(0, 1000, 1)
        for capacity in (
            model.Resources(1000, 999, 1),
            model.Resources(1000, 1000, 0),
        ):
            entry = worlds.make_worker('a')
            world = worlds.World(
                [worlds.with_capacity(entry, model.Resources(1000, 1000, 1))]
            )
            step = worlds.make_step(1, size=size)
            world.accept(0.0, worlds.make_job(1, [step]))
            (start,) = world.plan_starts(0.1)
            world.scheduler.update_worker(
                0.2, worlds.with_capacity(entry, capacity)
            )
            assert not world.send_start(0.3, start)

    def test_its_task_starts_on_another_worker(self) -> None:
        world = worlds.World([worlds.make_worker('a', 1000)])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        resize(world, 0.2, 'a', 500)
        assert not world.send_start(0.3, start)
        world.scheduler.update_worker(0.4, worlds.make_worker('b', 1000))
        world.report(0.4, 'b')
        assert [
            start.worker.worker_id for start in world.plan_starts(1.0)
        ] == ['b']

    def test_no_member_of_a_gang_starts_alone(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        gang = worlds.make_step(2, gang=True)
        world.accept(0.0, worlds.make_job(1, [gang]))
        starts = world.plan_starts(0.1)
        resize(world, 0.2, 'a', 1000)
        assert [world.send_start(0.3, start) for start in starts] == [
            False,
            False,
        ]


class TestRestarts:
    """Guards against starts on a capacity of an earlier process.

    A worker may restart with its id and another capacity.  Its lists of runs
    show the restart before its entry does.
    """

    def test_a_restarted_worker_is_not_used_before_its_new_entry(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        world.report(0.1, 'a', started=2)
        world.accept(0.2, worlds.make_job(1, [worlds.make_step(2)]))
        assert world.plan_starts(0.3) == []
        resize(world, 0.4, 'a', 2000, started=1)
        assert world.plan_starts(0.5) == []
        resize(world, 0.6, 'a', 1000, started=2)
        assert len(world.plan_starts(0.7)) == 1

    def test_a_planned_start_is_not_sent_to_a_restarted_worker(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        world.report(0.2, 'a', started=2)
        assert not world.send_start(0.3, start)

    def test_a_smaller_capacity_counts_from_the_new_entry(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(2)]))
        assert len(world.start_all(0.1)) == 2
        resize(world, 1.0, 'a', 1000, started=2)
        world.report(1.1, 'a', started=2)
        assert len(world.start_all(1.2)) == 1

    def test_an_order_to_the_earlier_process_counts_as_well(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        world.answer_start(0.9, start, specs.StartOutcome.UNKNOWN)
        resize(world, 1.0, 'a', 1000, started=2)
        world.accept(1.0, worlds.make_job(2))
        assert world.plan_starts(1.1) == []

    def test_a_new_id_on_the_machine_has_its_own_capacity(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000, machine='m')])
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(2)]))
        assert len(world.start_all(0.1)) == 2
        replaced = worlds.make_worker('b', 1000, machine='m')
        world.scheduler.set_workers(1.0, [replaced])
        world.report(1.1, 'b')
        world.accept(1.1, worlds.make_job(2, [worlds.make_step(2)]))
        starts = world.start_all(1.2)
        assert [start.worker.worker_id for start in starts] == ['b']


class TestOutdatedEntries:
    """Guards against starts on capacities that are no longer known."""

    def _world(self, enforces_capacity: bool = False) -> worlds.World:
        service = specs.Service(worlds.SERVICE, enforces_capacity)
        world = worlds.World(
            [worlds.make_worker('a')],
            worlds.make_configuration(services=[service]),
        )
        world.scheduler.registry_freshness.record_read(0.0, 0.0)
        world.accept(0.0, worlds.make_job(1))
        return world

    def test_nothing_starts_once_the_feed_of_entries_fails(self) -> None:
        world = self._world()
        world.scheduler.registry_freshness.record_failure()
        assert world.plan_starts(registry_freshness.MAX_AGE_S + 0.1) == []

    def test_a_planned_start_is_not_sent_either(self) -> None:
        world = self._world()
        (start,) = world.plan_starts(0.1)
        assert not world.send_start(registry_freshness.MAX_AGE_S + 0.1, start)

    def test_workers_that_refuse_what_does_not_fit_are_used(self) -> None:
        world = self._world(enforces_capacity=True)
        now = registry_freshness.MAX_AGE_S + 0.1
        (start,) = world.plan_starts(now)
        assert world.send_start(now, start)

    def test_a_short_failure_delays_no_start(self) -> None:
        world = self._world()
        freshness = world.scheduler.registry_freshness
        freshness.record_failure()
        freshness.record_read(2.0, 2.0)
        assert len(world.plan_starts(2.1)) == 1

    def test_workers_get_a_heartbeat_after_an_outage(self) -> None:
        world = self._world()
        freshness = world.scheduler.registry_freshness
        freshness.record_failure()
        freshness.record_read(10.0, 10.0)
        assert world.plan_starts(10.1) == []
        settled_at = 10.0 + registry_freshness.HEARTBEAT_S
        freshness.record_read(settled_at, settled_at)
        assert len(world.plan_starts(settled_at)) == 1

    def test_a_slow_read_without_a_failure_needs_no_heartbeat(self) -> None:
        world = self._world()
        world.scheduler.registry_freshness.record_read(10.0, 10.0)
        assert len(world.plan_starts(10.1)) == 1


class TestGangs:
    """Guards against gangs that wait for a capacity that is gone."""

    PATIENT = worlds.make_step(size=model.Resources(1000, 100), estimate_s=5.0)

    def _plan_beside(self, gang: specs.StepSpec, cpu: int) -> list[str]:
        """Return the jobs that start beside a gang that waits.

        Two workers in different racks shrink from 8 cores.
        """
        entries = [
            worlds.make_worker(f'w-{rack}', 8000, rack=rack)
            for rack in ('r1', 'r2')
        ]
        world = worlds.World(entries)
        busy = worlds.make_step(
            2, size=model.Resources(5000, 100), max_per_worker=1
        )
        world.accept(0.0, worlds.make_job(1, [busy]))
        assert len(world.start_all(0.0)) == 2
        world.accept(0.0, worlds.make_job(2, [gang]))
        assert world.plan_starts(0.1) == []
        capacity = model.Resources(cpu, 32_000)
        for entry in entries:
            world.scheduler.update_worker(
                0.2, worlds.with_capacity(entry, capacity)
            )
        queue = worlds.make_queue('patient', latency_target_s=30.0)
        world.accept(0.3, worlds.make_job(3, [self.PATIENT], queue))
        return [
            start.order.task_id.split('.')[0]
            for start in world.plan_starts(0.4)
        ]

    def test_nothing_waits_for_a_gang_that_no_longer_fits(self) -> None:
        gang = worlds.make_step(
            2, gang=True, size=model.Resources(7000, 100), estimate_s=3.0
        )
        assert self._plan_beside(gang, 8000) == []
        assert self._plan_beside(gang, 6500) == [worlds.make_job(3).job_id]

    def test_nothing_waits_for_a_gang_that_fits_into_no_rack(self) -> None:
        gang = worlds.make_step(
            2,
            gang=True,
            single_rack=True,
            size=model.Resources(3500, 100),
            estimate_s=3.0,
        )
        assert self._plan_beside(gang, 8000) == []
        assert self._plan_beside(gang, 6500) == [worlds.make_job(3).job_id]

    def test_it_starts_once_the_capacity_grows_again(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        world.accept(0.0, worlds.make_job(1))
        assert len(world.start_all(0.0)) == 1
        gang = worlds.make_step(2, gang=True)
        world.accept(0.0, worlds.make_job(2, [gang]))
        resize(world, 0.1, 'a', 1000)
        assert world.plan_starts(0.2) == []
        resize(world, 60.0, 'a', 3000)
        assert len(world.plan_starts(60.1)) == 2


class TestFreeResources:
    """Guards against free resources that drift over changes of capacity."""

    def test_they_are_exact_after_several_changes(self) -> None:
        world = worlds.World([worlds.make_worker('a', 8000)])
        job_id = world.accept(0.0, worlds.make_job(1, [worlds.make_step(3)]))
        starts = world.start_all(0.1)
        worker = world.scheduler.workers_by_id[model.WorkerId('a')]
        for number, cpu in enumerate((2000, 0, 8000, 500, 4000)):
            resize(world, 1.0 + number, 'a', cpu, memory=cpu)
            assert worker.free_cpu == worker.free_memory == cpu - 3000
        world.scheduler.cancel(7.0, job_id)
        world.report(
            8.0,
            'a',
            ended=[
                (number, start.order.task_id, start.order.run, STOPPED)
                for number, start in enumerate(starts, 1)
            ],
        )
        assert worker.free_cpu == worker.free_memory == 4000

    def test_nothing_starts_until_enough_has_ended(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000)])
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(4)]))
        starts = world.start_all(0.1)
        resize(world, 1.0, 'a', 2000)
        world.accept(1.0, worlds.make_job(2))
        running = [(start.order.task_id, start.order.run) for start in starts]
        for ended in range(1, 4):
            assert world.plan_starts(1.0 + ended) == []
            rows = [
                (number, *running[number - 1], DONE)
                for number in range(1, ended + 1)
            ]
            world.report(1.5 + ended, 'a', running[ended:], rows)
        assert len(world.plan_starts(5.0)) == 1

    def test_a_run_that_is_being_stopped_still_counts(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        job_id = world.accept(0.0, worlds.make_job(1, [worlds.make_step(2)]))
        world.start_all(0.1)
        resize(world, 1.0, 'a', 1000)
        world.scheduler.cancel(1.0, job_id)
        world.accept(1.0, worlds.make_job(2))
        assert world.plan_starts(1.1) == []

    def test_an_unanswered_start_still_counts(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        resize(world, 0.5, 'a', 1000)
        world.answer_start(0.9, start, specs.StartOutcome.UNKNOWN)
        world.accept(0.9, worlds.make_job(2))
        world.report(1.0, 'a', sent_at=0.95)
        assert world.plan_starts(1.1) == []

    def test_fillers_need_memory_but_no_processors(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000, 4000)])
        filler = worlds.make_step(2, filler=True)
        world.accept(0.0, worlds.make_job(1, [filler]))
        assert len(world.start_all(0.1)) == 2
        resize(world, 1.0, 'a', 1000, memory=3000)
        world.accept(1.0, worlds.make_job(2, [worlds.make_step(2)]))
        assert len(world.start_all(1.1)) == 1
        world.accept(1.2, worlds.make_job(3, [filler]))
        assert world.plan_starts(1.3) == []

    def test_waiting_fillers_are_not_sent_beyond_the_memory(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000, 2000)])
        filler = worlds.make_step(2, filler=True)
        world.accept(0.0, worlds.make_job(1, [filler]))
        starts = world.plan_starts(0.1)
        resize(world, 0.2, 'a', 4000, memory=1000)
        assert [world.send_start(0.3, start) for start in starts] == [
            False,
            True,
        ]

    def test_waiting_fillers_are_sent_beside_a_lack_of_processors(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('a', 4000)])
        filler = worlds.make_step(2, filler=True)
        world.accept(0.0, worlds.make_job(1, [filler]))
        starts = world.plan_starts(0.1)
        resize(world, 0.2, 'a', 1000)
        assert all(world.send_start(0.3, start) for start in starts)

    def test_a_task_waits_for_the_capacity_it_once_fitted(self) -> None:
        world = worlds.World([worlds.make_worker('a', 2000)])
        step = worlds.make_step(1, size=model.Resources(2000, 1000))
        world.accept(0.0, worlds.make_job(1, [step]))
        resize(world, 0.1, 'a', 1000)
        assert world.plan_starts(0.2) == []
        world.accept(0.2, worlds.make_job(2))
        assert len(world.start_all(0.3)) == 1
        resize(world, 60.0, 'a', 3000)
        assert len(world.plan_starts(60.1)) == 1


class TestTakeovers:
    """Guards against starts beside inherited runs on a smaller worker."""

    def _inherited(self) -> tuple[worlds.World, list[tuple[str, int]]]:
        """Return a successor that knows two runs but not their worker."""
        first = worlds.World([worlds.make_worker('a', 2000)])
        record = worlds.make_job(1, [worlds.make_step(2)])
        job_id = first.accept(0.0, record)
        starts = first.start_all(0.1)
        progress = first.scheduler.jobs.active_by_id[job_id].progress.main
        first.store_changes()
        second = worlds.World([], term=2)
        second.scheduler.load_job(
            1.0, worlds.UNIX_AT_ZERO_S + 1.0, record, progress
        )
        return second, [
            (start.order.task_id, start.order.run) for start in starts
        ]

    def test_the_first_entry_after_a_placeholder_counts_the_runs(
        self,
    ) -> None:
        world, runs = self._inherited()
        resize(world, 1.1, 'a', 1000)
        worker = world.scheduler.workers_by_id[model.WorkerId('a')]
        assert worker.free_cpu == -1000
        world.accept(1.1, worlds.make_job(2))
        world.report(1.2, 'a', runs)
        assert world.plan_starts(1.3) == []
        ends = [
            (number, task_id, run, DONE)
            for number, (task_id, run) in enumerate(runs, 1)
        ]
        world.report(2.0, 'a', ended=ends)
        assert worker.free_cpu == 1000
        assert len(world.plan_starts(2.1)) == 1

    def test_a_worker_is_not_used_before_its_first_entry(self) -> None:
        world, runs = self._inherited()
        world.report(1.1, 'a', runs[:1])
        assert world.plan_starts(1.2) == []

    def test_adopted_runs_count(self) -> None:
        world = worlds.World(
            [worlds.make_worker('a', 2000)], term=2, reported=False
        )
        record = worlds.make_job(1, [worlds.make_step(2)])
        world.scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, record, None)
        world.accept(0.0, worlds.make_job(2))
        resize(world, 0.1, 'a', 1000)
        assert world.plan_starts(0.2) == []
        runs = [(f'{record.job_id}.0.0.{index}', 1) for index in range(2)]
        world.report(0.3, 'a', runs)
        assert world.plan_starts(0.4) == []
