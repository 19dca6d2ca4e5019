"""State of runs and workers in the fleet scheduler."""

import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import stops
from samphirestack.fleet import term as terms
from samphirestack.fleet import tracking
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
FAILED = specs.EndReason.FAILED
BROKEN = specs.EndReason.BROKEN
STOPPED = specs.EndReason.STOPPED


class TestLostWorkers:
    """Guards against tasks that are restarted too early or never."""

    def test_the_lease_of_a_silent_worker_is_not_extended(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        assert len(world.start_all(0.1)) == 1
        scheduler = world.scheduler
        for step in range(20):
            now = 1.0 + step
            scheduler.record_lease_deadline(
                model.WorkerId('a'), scheduler.lease_deadline(now, 'a')
            )
            scheduler.mark_worker_silent(now, model.WorkerId('a'))
        scheduler.set_workers(21.0, [worlds.make_worker('b')])
        world.report(21.0, 'b')
        assert [
            start.worker.worker_id for start in world.plan_starts(21.1)
        ] == ['b']

    def test_a_task_restarts_after_the_lease_of_a_silent_worker(self) -> None:
        world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        world.accept(0.0, worlds.make_job(1))
        start = world.start_all(0.1)[0]
        lost = start.worker.worker_id
        scheduler = world.scheduler
        scheduler.record_lease_deadline(
            lost, scheduler.lease_deadline(0.2, lost)
        )
        scheduler.mark_worker_silent(1.0, lost)
        assert world.plan_starts(5.0) == []
        assert [
            start.worker.worker_id != lost for start in world.plan_starts(7.0)
        ] == [True]

    def test_an_order_to_a_worker_that_restarts_and_is_silent_expires(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('w')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.0)
        world.answer_start(0.1, start, specs.StartOutcome.UNKNOWN)
        world.scheduler.set_workers(1.0, [worlds.make_worker('w', started=2)])
        world.scheduler.mark_worker_silent(1.0, model.WorkerId('w'))
        worker = world.scheduler.workers_by_id[model.WorkerId('w')]
        lease_s = worlds.LEASE_S * (1 + tracking.MAX_CLOCK_DRIFT)
        bound = 1.0 + tracking.LATE_ORDER_S + lease_s
        world.plan(bound - 0.1)
        assert worker.runs_by_key
        world.plan(bound + 0.1)
        assert not worker.runs_by_key

    def test_a_restart_of_a_worker_ends_its_runs(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        world.start_all(0.1)
        world.report(1.0, 'a', started=2)
        world.scheduler.update_worker(1.0, worlds.make_worker('a', started=2))
        assert len(world.plan_starts(1.1)) == 1

    def test_an_unanswered_start_is_stopped_before_a_retry(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        start = world.plan_starts(0.1)[0]
        world.answer_start(0.9, start, specs.StartOutcome.UNKNOWN)
        assert isinstance(world.plan(0.9)[0], actions.PollWorker)
        world.report(1.0, 'a', sent_at=0.95)
        stop = world.plan(1.0)[0]
        assert isinstance(stop, actions.Stop)
        assert world.plan_starts(1.1) == []
        world.scheduler.handle_stop_result(
            1.2, stop.worker.worker_id, stop.task_id, stop.run, True
        )
        world.report(1.3, 'a', sent_at=1.25)
        assert len(world.plan_starts(1.3)) == 1

    def test_an_unanswered_start_that_is_listed_is_not_stopped(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        start = world.plan_starts(0.1)[0]
        world.answer_start(0.9, start, specs.StartOutcome.UNKNOWN)
        world.report(
            1.0,
            'a',
            [(start.order.task_id, start.order.run)],
            sent_at=0.95,
        )
        assert not any(
            isinstance(action, actions.Stop) for action in world.plan(1.1)
        )


class TestSilentWorkers:
    """Guards against work of a worker that was only silent for a while."""

    def test_a_run_goes_on_if_the_worker_answers_before_its_lease_ends(
        self,
    ) -> None:
        world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        order, name = start.order, start.worker.worker_id
        scheduler = world.scheduler
        for round_number in range(3):
            now = 1.0 + 5.0 * round_number
            scheduler.record_lease_deadline(
                name, scheduler.lease_deadline(now, name)
            )
            scheduler.mark_worker_silent(now + 1.0, name)
            assert world.plan(now + 4.0) == []
            world.report(now + 4.5, name, [(order.task_id, order.run)])
            assert world.plan(now + 4.6) == []

    def test_an_end_in_the_silence_counts_when_it_is_heard(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        name = start.worker.worker_id
        world.scheduler.mark_worker_silent(1.0, name)
        world.report(5.0, name, ended=[(1, start.order.task_id, 1, DONE)])
        world.store_changes(5.0)
        state = world.scheduler.jobs.state_of(job_id)
        assert state is specs.JobState.COMPLETED


class TestWorkerEntries:
    """Guards against entries of workers that are applied to other workers."""

    def test_one_entry_leaves_other_workers_registered(self) -> None:
        world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        draining = worlds.make_worker('a', state=specs.WorkerState.DRAINING)
        assert not world.scheduler.update_worker(1.0, draining)
        assert world.scheduler.update_worker(1.0, worlds.make_worker('c'))
        by_id = world.scheduler.workers_by_id
        assert by_id[model.WorkerId('a')].is_draining
        assert by_id[model.WorkerId('b')].registered

    def test_a_removed_worker_gets_no_work_until_it_returns(self) -> None:
        worker = worlds.make_worker('a')
        world = worlds.World([worker])
        world.scheduler.mark_worker_unregistered(worker.worker_id)
        world.accept(0.0, worlds.make_job(1))
        assert not world.plan_starts(1.0)
        world.scheduler.update_worker(2.0, worker)
        world.report(2.0, 'a')
        assert world.plan_starts(2.0)


class TestStoring:
    """Guards against ends that workers forget before they are stored."""

    def test_ends_beyond_a_full_write_are_not_acknowledged(self) -> None:
        world = worlds.World([worlds.make_worker('a', 900_000, 900_000)])
        count = 300
        for number in range(count):
            world.accept(0.0, worlds.make_job(number))
        starts = world.start_all(0.1)
        while world.scheduler.jobs.has_changes:
            world.store_changes()
        ends = [
            (number + 1, start.order.task_id, start.order.run, DONE)
            for number, start in enumerate(starts)
        ]
        world.report(2.0, 'a', ended=ends)
        changes = world.scheduler.collect_changes()
        assert len(changes.puts) < count
        stored = {
            put.key
            for put in changes.puts
            if records.decode_progress(put.value).ended is not None
        }
        acknowledged = changes.ends_by_worker_id.get(
            model.WorkerId('a'), (0, 0)
        )[1]
        for number, task_id, _, _ in ends:
            if number <= acknowledged:
                assert task_id.split('.')[0] in stored

    def test_all_ends_are_acknowledged_after_several_writes(self) -> None:
        world = worlds.World([worlds.make_worker('a', 900_000, 900_000)])
        for number in range(300):
            world.accept(0.0, worlds.make_job(number))
        starts = world.start_all(0.1)
        world.report(
            2.0,
            'a',
            ended=[
                (number + 1, start.order.task_id, start.order.run, DONE)
                for number, start in enumerate(starts)
            ],
        )
        while world.scheduler.jobs.has_changes:
            changes = world.store_changes()
            entries = len(changes.puts) + len(changes.removals)
            assert entries <= 99
        worker = world.scheduler.workers_by_id[model.WorkerId('a')]
        assert worker.last_stored_end == 300

    def test_an_end_is_reported_only_after_it_is_stored(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        start = world.start_all(0.1)[0]
        world.report(
            1.0, 'a', ended=[(1, start.order.task_id, start.order.run, DONE)]
        )
        jobs = world.scheduler.jobs
        assert jobs.state_of(job_id) is specs.JobState.RUNNING
        world.store_changes()
        assert jobs.state_of(job_id) is specs.JobState.COMPLETED


class TestStoredPlacements:
    """Guards against tasks that wait for runs that are already over."""

    def test_the_stored_placement_of_an_ended_run_is_removed(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job = worlds.make_job(1, [worlds.make_step(2, gang=True)])
        world.accept(0.0, job)
        first, second = world.start_all(0.1)
        world.store_changes(0.2)
        # One member of the gang ends; the other one is stopped.
        world.report(
            1.0,
            'a',
            running=[(second.order.task_id, second.order.run)],
            ended=[(1, first.order.task_id, first.order.run, BROKEN)],
        )
        world.plan(1.1)
        world.store_changes(1.2)
        world.report(
            2.0,
            'a',
            ended=[(2, second.order.task_id, second.order.run, STOPPED)],
        )
        puts = world.store_changes(2.1).puts
        progress = records.decode_progress(puts[-1].value)
        assert progress.placed_by_task == {}
        # The worker leaves, and another holder takes the term over.
        successor = worlds.World([worlds.make_worker('b')], term=2)
        successor.scheduler.load_job(
            3.0, worlds.UNIX_AT_ZERO_S + 3, job, progress
        )
        assert len(successor.plan_starts(3.1)) == 2


class TestInheritedWork:
    """Guards against restarting runs of an earlier holder."""

    def _take_over(
        self, workers: list[specs.WorkerEntry], worker: str
    ) -> worlds.World:
        world = worlds.World(workers, term=2, reported=False)
        progress = records.JobProgress(placed_by_task={'0.0.0': (1, worker)})
        world.scheduler.load_job(
            0.0, worlds.UNIX_AT_ZERO_S, worlds.make_job(1), progress
        )
        return world

    def test_a_task_on_an_unregistered_worker_waits_for_leases(self) -> None:
        world = self._take_over([worlds.make_worker('b')], 'a')
        world.report(0.1, 'b')
        assert world.plan_starts(0.2) == []
        longest_s = terms.HOLD_LEASE_S + worlds.LEASE_S * 1.02
        assert world.plan_starts(longest_s) == []
        assert len(world.plan_starts(longest_s + 0.2)) == 1

    def test_the_time_before_the_takeover_counts(self) -> None:
        world = worlds.World(
            [worlds.make_worker('b')],
            term=2,
            reported=False,
            earlier_renewal_before=-3.0,
        )
        progress = records.JobProgress(placed_by_task={'0.0.0': (1, 'a')})
        world.scheduler.load_job(
            0.0, worlds.UNIX_AT_ZERO_S, worlds.make_job(1), progress
        )
        world.report(0.1, 'b')
        longest_s = terms.HOLD_LEASE_S + worlds.LEASE_S * 1.02 - 3.0
        assert world.plan_starts(longest_s) == []
        assert len(world.plan_starts(longest_s + 0.2)) == 1

    def test_the_report_of_a_returning_worker_is_applied(self) -> None:
        world = self._take_over([worlds.make_worker('b')], 'a')
        world.report(0.1, 'b')
        world.scheduler.set_workers(
            1.0, [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        world.report(1.1, 'a', ended=[(1, f'{1:016x}.0.0.0', 1, DONE)])
        assert world.plan_starts(20.0) == []
        world.store_changes()
        assert (
            world.scheduler.jobs.state_of(model.JobId(f'{1:016x}'))
            is specs.JobState.COMPLETED
        )

    def test_a_run_that_its_worker_does_not_list_is_restarted(
        self,
    ) -> None:
        world = self._take_over([worlds.make_worker('a')], 'a')
        assert world.plan_starts(0.05) == []
        world.report(0.1, 'a')
        start = world.plan_starts(0.2)[0]
        assert start.order.run > 1

    def test_a_listed_run_is_not_stopped(self) -> None:
        world = self._take_over([worlds.make_worker('a')], 'a')
        world.report(0.1, 'a', [(f'{1:016x}.0.0.0', 1)])
        assert world.plan(0.2) == []

    def test_resources_of_an_inherited_run_are_not_reused(self) -> None:
        world = self._take_over([worlds.make_worker('a', 1000)], 'a')
        world.accept(0.0, worlds.make_job(2))
        assert world.plan_starts(0.05) == []

    def test_no_work_starts_beside_a_run_of_an_unknown_job(self) -> None:
        world = self._take_over([worlds.make_worker('a')], 'a')
        unknown = f'{9:016x}.0.0.0'
        world.report(0.1, 'a', [(unknown, 1)])
        stops = [
            action.task_id
            for action in world.plan(0.1)
            if isinstance(action, actions.Stop)
        ]
        assert stops == [unknown]
        world.accept(0.2, worlds.make_job(2))
        assert world.plan_starts(0.3) == []
        world.report(0.8, 'a')
        assert len(world.plan_starts(0.9)) == 2


class TestAttempts:
    """Guards against failed runs that are not counted or counted twice."""

    def test_a_job_fails_after_its_last_attempt(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        for attempt in range(3):
            start = world.start_all(100.0 * attempt + 0.1)[0]
            world.report(
                100.0 * attempt + 1,
                'a',
                ended=[
                    (attempt + 1, start.order.task_id, start.order.run, FAILED)
                ],
            )
        world.store_changes()
        assert world.scheduler.jobs.state_of(job_id) is specs.JobState.FAILED
        assert world.plan_starts(400.0) == []

    def test_a_failure_that_is_reported_again_counts_once(self) -> None:
        world = worlds.World([worlds.make_worker('a')], term=2, reported=False)
        job = worlds.make_job(1)
        progress = records.JobProgress(failed_runs_by_task={'0.0.0': [1]})
        world.scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, job, progress)
        world.report(0.1, 'a', ended=[(7, f'{1:016x}.0.0.0', 1, FAILED)])
        task = world.scheduler.jobs.find_task(model.TaskId(f'{1:016x}.0.0.0'))
        assert task is not None
        assert task.failed_runs == {1}


TOO_SMALL = worlds.make_worker('small', 1)
"""Lets another worker be in quarantine, which no whole service may be."""


class TestQuarantine:
    """Guards against workers that get no work long after they recovered."""

    @staticmethod
    def _start_probe(world: worlds.World) -> actions.Start:
        """Fail three jobs on the only large worker and start its probe."""
        for number in range(1, 4):
            job_id = world.accept(0.0, worlds.make_job(number))
            (start,) = world.start_all(0.0)
            order = start.order
            world.report(
                0.0, 'a', ended=[(number, order.task_id, order.run, FAILED)]
            )
            world.scheduler.cancel(0.0, job_id)
        world.accept(1.0, worlds.make_job(4))
        assert world.plan_starts(1.0) == []
        (probe,) = world.plan_starts(20.0)
        return probe

    @pytest.mark.parametrize('reason', [BROKEN, STOPPED])
    def test_a_probe_without_a_result_is_followed_by_another(
        self, reason: specs.EndReason
    ) -> None:
        world = worlds.World([worlds.make_worker('a'), TOO_SMALL])
        probe = self._start_probe(world)
        order = probe.order
        world.answer_start(20.0, probe, specs.StartOutcome.STARTED)
        world.report(21.0, 'a', ended=[(4, order.task_id, order.run, reason)])
        assert len(world.plan_starts(30.0)) == 1

    def test_a_refused_probe_is_followed_by_another(self) -> None:
        world = worlds.World([worlds.make_worker('a'), TOO_SMALL])
        probe = self._start_probe(world)
        world.answer_start(20.0, probe, specs.StartOutcome.UNHEALTHY)
        assert len(world.plan_starts(30.0)) == 1

    def test_a_probe_lost_in_a_restart_is_followed_by_another(self) -> None:
        world = worlds.World([worlds.make_worker('a'), TOO_SMALL])
        probe = self._start_probe(world)
        world.answer_start(20.0, probe, specs.StartOutcome.STARTED)
        world.report(21.0, 'a', started=2)
        world.scheduler.update_worker(21.0, worlds.make_worker('a', started=2))
        assert len(world.plan_starts(30.0)) == 1


class TestQuarantineByServices:
    """Guards against services whose failures over time close all workers."""

    def _fail_in_turn(self, served: bool) -> list[actions.Start]:
        """Let tasks of three services fail and return what starts then."""
        world = worlds.World([worlds.make_worker('w'), TOO_SMALL])
        step = worlds.make_step(long_running=True)
        for number in range(3):
            world.accept(0.0, worlds.make_job(number, [step]))
        starts = world.start_all(0.1)
        keys = [(start.order.task_id, start.order.run) for start in starts]
        for position, (task_id, run) in enumerate(keys):
            now = 20.0 * (position + 1)
            world.report(
                now,
                'w',
                keys[position:],
                percent=100.0 if served else 0.0,
            )
            world.report(
                now + 1.0,
                'w',
                keys[position + 1 :],
                [(position + 1, task_id, run, FAILED)],
                percent=100.0 if served else 0.0,
            )
        return world.plan_starts(61.5)

    def test_failures_of_tasks_at_work_close_no_worker(self) -> None:
        assert len(self._fail_in_turn(served=True)) == 3

    def test_a_worker_on_which_no_task_gets_to_work_is_closed(self) -> None:
        assert self._fail_in_turn(served=False) == []


class TestGangs:
    """Guards against members of a gang that run alone."""

    def test_a_refused_member_stops_the_others(self) -> None:
        world = worlds.World(
            [worlds.make_worker('a', 1000), worlds.make_worker('b', 1000)]
        )
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(2, gang=True)]))
        first, second = world.plan_starts(0.1)
        world.answer_start(0.2, first, specs.StartOutcome.STARTED)
        world.answer_start(0.2, second, specs.StartOutcome.NO_ROOM)
        stops = [
            action
            for action in world.plan(0.2)
            if isinstance(action, actions.Stop)
        ]
        assert [stop.task_id for stop in stops] == [first.order.task_id]

    def test_a_gang_that_does_not_fit_starts_no_member(self) -> None:
        world = worlds.World([worlds.make_worker('a', 3000)])
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(4, gang=True)]))
        assert world.plan_starts(0.1) == []

    def test_the_success_of_a_member_completes_the_gang(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(
            0.0, worlds.make_job(1, [worlds.make_step(3, gang=True)])
        )
        start = world.start_all(0.1)[0]
        world.report(
            1.0, 'a', ended=[(1, start.order.task_id, start.order.run, DONE)]
        )
        world.store_changes()
        assert (
            world.scheduler.jobs.state_of(job_id) is specs.JobState.COMPLETED
        )


class TestSteps:
    """Guards against steps that start before their dependencies end."""

    def test_a_step_waits_for_all_tasks_of_its_dependency(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(
            0.0,
            worlds.make_job(
                1, [worlds.make_step(2), worlds.make_step(1, after=(0,))]
            ),
        )
        starts = world.start_all(0.1)
        assert len(starts) == 2
        world.report(
            1.0,
            'a',
            [(starts[1].order.task_id, starts[1].order.run)],
            [(1, starts[0].order.task_id, starts[0].order.run, DONE)],
        )
        assert world.plan_starts(1.1) == []
        world.report(
            2.0,
            'a',
            ended=[(2, starts[1].order.task_id, starts[1].order.run, DONE)],
        )
        assert len(world.plan_starts(2.1)) == 1


class TestLimits:
    """Guards against exceeding the capacity of a worker or a limit."""

    def test_a_worker_is_not_overcommitted_while_a_run_stops(self) -> None:
        world = worlds.World([worlds.make_worker('a', 1000)])
        first = world.accept(0.0, worlds.make_job(1))
        world.start_all(0.1)
        world.accept(0.2, worlds.make_job(2))
        world.scheduler.cancel(0.3, first)
        assert world.plan_starts(0.4) == []
        world.report(
            0.8,
            'a',
            ended=[(1, f'{first}.0.0.0', 1, specs.EndReason.STOPPED)],
        )
        assert len(world.plan_starts(0.9)) == 1

    def test_a_customer_stays_below_its_limit(self) -> None:
        customer = specs.Customer(
            model.TeamId('team'), 5.0, model.Resources(2500)
        )
        world = worlds.World(
            [worlds.make_worker('a')],
            worlds.make_configuration(customers=[customer]),
        )
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(6)]))
        assert len(world.plan_starts(0.1)) == 2


class TestAcceptedStops:
    """Guards against runs that go on after their worker accepted the stop."""

    def test_a_run_that_stays_listed_is_stopped_again(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        order, worker_id = start.order, start.worker.worker_id
        world.scheduler.cancel(0.2, job_id)
        assert len(_stops(world.plan(0.2))) == 1
        world.scheduler.handle_stop_result(
            0.3, worker_id, order.task_id, order.run, True
        )
        running = [(order.task_id, order.run)]
        world.report(1.0, 'a', running)
        assert not _stops(world.plan(1.0))
        late = 0.3 + stops.STOP_OVERDUE_S
        world.report(late, 'a', running)
        (again,) = _stops(world.plan(late))
        assert (again.task_id, again.run) == running[0]
        world.report(late + 0.1, 'a')
        worker = world.scheduler.workers_by_id[worker_id]
        assert not worker.runs_by_key


class TestIncompleteGangs:
    """Guards against members of a gang that wait for the others in vain."""

    def _begin_gang(
        self,
    ) -> tuple[worlds.World, records.JobRecord, list[actions.Start]]:
        world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        gang = worlds.make_step(2, gang=True, max_per_worker=1)
        job = worlds.make_job(1, [gang])
        world.accept(0.0, job)
        return world, job, world.plan_starts(0.1)

    def test_a_member_whose_start_is_withdrawn_ends_the_others(self) -> None:
        world, _, (lost, going) = self._begin_gang()
        world.answer_start(0.2, going, specs.StartOutcome.STARTED)
        world.answer_start(0.9, lost, specs.StartOutcome.UNKNOWN)
        worker_id = lost.worker.worker_id
        world.report(1.0, worker_id, sent_at=0.95)
        (withdrawn,) = _stops(world.plan(1.0))
        world.scheduler.handle_stop_result(
            1.1, worker_id, withdrawn.task_id, withdrawn.run, True
        )
        world.report(1.2, worker_id, sent_at=1.15)
        (stop,) = _stops(world.plan(1.2))
        assert stop.task_id == going.order.task_id

    def test_a_member_lost_with_its_worker_ends_the_others(self) -> None:
        world, _, (lost, going) = self._begin_gang()
        for start in (lost, going):
            world.answer_start(0.2, start, specs.StartOutcome.STARTED)
        world.report(1.0, lost.worker.worker_id, started=2)
        assert going.order.task_id in [
            stop.task_id for stop in _stops(world.plan(1.0))
        ]

    def test_a_new_holder_stops_the_rest_of_an_incomplete_gang(self) -> None:
        world, job, (ended, going) = self._begin_gang()
        for start in (ended, going):
            world.answer_start(0.2, start, specs.StartOutcome.STARTED)
        order = ended.order
        world.report(
            1.0,
            ended.worker.worker_id,
            ended=[(1, order.task_id, order.run, FAILED)],
        )
        progress = records.decode_progress(
            world.store_changes().puts[-1].value
        )
        successor = worlds.World(world.workers, term=2, reported=False)
        successor.scheduler.load_job(
            2.0, worlds.UNIX_AT_ZERO_S + 2, job, progress
        )
        (stop,) = _stops(successor.plan(2.1))
        assert stop.task_id == going.order.task_id

    def test_a_new_holder_lets_a_complete_gang_go_on(self) -> None:
        world, job, starts = self._begin_gang()
        for start in starts:
            world.answer_start(0.2, start, specs.StartOutcome.STARTED)
        progress = records.decode_progress(
            world.store_changes().puts[-1].value
        )
        successor = worlds.World(world.workers, term=2, reported=False)
        successor.scheduler.load_job(
            2.0, worlds.UNIX_AT_ZERO_S + 2, job, progress
        )
        assert not _stops(successor.plan(2.1))


def _stops(planned: list[actions.Action]) -> list[actions.Stop]:
    return [action for action in planned if isinstance(action, actions.Stop)]
