"""Crashes of workers and the tasks that may have caused them."""

from collections.abc import Iterable

import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import crashes
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

STARTED = specs.StartOutcome.STARTED
MOMENT_S = 0.01
"""Time after its start at which a task crashes its worker."""

SETTLED_S = crashes.START_WINDOW_S + 0.1
"""Time after its start at which a run has not crashed its worker."""


class Fleet:
    """Workers that crash and come back under other ids."""

    def __init__(self, count: int = 4, **fields: object) -> None:
        self.entries_by_id = {
            f'w{number}': worlds.make_worker(
                f'w{number}', machine=f'm{number}', **fields
            )
            for number in range(count)
        }
        self.world = worlds.World(self.entries_by_id.values())
        self.scheduler = self.world.scheduler
        self.crash_count = 0

    def silence(self, now: float, *worker_ids: str) -> None:
        for worker_id in worker_ids:
            self.scheduler.mark_worker_silent(now, model.WorkerId(worker_id))

    def bring_back(self, now: float, *worker_ids: str) -> None:
        """Register a new process on each worker's machine."""
        for worker_id in worker_ids:
            self.crash_count += 1
            old = self.entries_by_id.pop(worker_id)
            entry = worlds.make_worker(
                f'{old.machine}-{self.crash_count}',
                machine=old.machine,
                rack=old.rack,
                started=int((worlds.UNIX_AT_ZERO_S + now - 10) * 1000),
            )
            self.entries_by_id[entry.worker_id] = entry
            self.scheduler.update_worker(now, entry)
            self.scheduler.mark_worker_unregistered(old.worker_id)
            self.report(now, entry.worker_id)

    def crash(self, now: float, *worker_ids: str) -> None:
        """Crash workers and bring them back at once."""
        self.silence(now, *worker_ids)
        self.bring_back(now, *worker_ids)

    def report(
        self, now: float, worker_id: str, running: Iterable[str] = ()
    ) -> None:
        entry = self.entries_by_id[worker_id]
        worker = self.scheduler.workers_by_id[entry.worker_id]
        self.world.report(
            now,
            worker_id,
            [
                (task_id, run)
                for task_id, run in worker.runs_by_key
                if task_id in running
            ],
            started=entry.started_unix_ms,
        )

    def step(self, now: float) -> list[actions.Action]:
        """Plan, let the workers confirm all starts and return the actions."""
        planned = self.world.plan(now)
        for action in planned:
            if isinstance(action, actions.Start):
                self.world.answer_start(now, action, STARTED)
        return planned

    def run_ids(self, worker_id: str) -> set[str]:
        worker = self.scheduler.workers_by_id[model.WorkerId(worker_id)]
        return {task_id for task_id, _ in worker.runs_by_key}

    def state(self, job_id: model.JobId) -> specs.JobState | None:
        self.world.store_changes()
        return self.scheduler.jobs.state_of(job_id)


def run_until_given_up(
    fleet: Fleet, task_id: str, now: float = 1.0, rounds: int = 8
) -> int:
    """Crash each worker that starts a task; return how often it started."""
    count = 0
    for _ in range(rounds):
        starts = fleet.world.start_all(now)
        for start in starts:
            if start.order.task_id == task_id:
                count += 1
                fleet.crash(now + MOMENT_S, start.worker.worker_id)
        now += 2.0
        for worker_id in fleet.entries_by_id:
            fleet.report(now, worker_id, fleet.run_ids(worker_id))
    return count


class TestTasksThatCrashWorkers:
    """Guards against a task that crashes one worker after another."""

    def test_a_task_that_crashes_each_worker_is_given_up(self) -> None:
        fleet = Fleet()
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        assert run_until_given_up(fleet, f'{job_id}.0.0.0') == 2
        assert fleet.state(job_id) is specs.JobState.FAILED

    @pytest.mark.parametrize('long_running', [False, True])
    def test_unanswered_starts_are_bounded(self, long_running: bool) -> None:
        fleet = Fleet()
        step = worlds.make_step(long_running=long_running)
        job_id = fleet.world.accept(0.0, worlds.make_job(1, [step]))
        now = 1.0
        count = 0
        while starts := fleet.world.plan_starts(now):
            (start,) = starts
            count += 1
            fleet.scheduler.mark_start_sent(
                start.worker.worker_id, start.order.task_id, start.order.run
            )
            fleet.world.answer_start(now, start, specs.StartOutcome.UNKNOWN)
            fleet.crash(now + MOMENT_S, start.worker.worker_id)
            now += 2.0
            assert count <= crashes.MAX_UNPROVED_CRASHES
        assert fleet.state(job_id) is specs.JobState.FAILED

    def test_a_worker_that_restarts_under_its_id_counts_as_well(self) -> None:
        fleet = Fleet(2)
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        for now in (1.0, 3.0):
            (start,) = fleet.world.start_all(now)
            fleet.world.report(
                now + 1.0, start.worker.worker_id, started=int(now * 1000)
            )
        assert fleet.state(job_id) is specs.JobState.FAILED

    def test_jobs_beside_it_are_not_given_up(self) -> None:
        fleet = Fleet()
        jobs = [
            fleet.world.accept(0.0, worlds.make_job(number))
            for number in range(1, 9)
        ]
        run_until_given_up(fleet, f'{jobs[0]}.0.0.0')
        assert fleet.state(jobs[0]) is specs.JobState.FAILED
        for job_id in jobs[1:]:
            assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_a_member_of_a_gang_fails_the_gang(self) -> None:
        fleet = Fleet()
        gang = worlds.make_step(
            3, gang=True, size=model.Resources(9000, 1000), estimate_s=5.0
        )
        job_id = fleet.world.accept(0.0, worlds.make_job(1, [gang]))
        world = fleet.world
        for now in (1.0, 4.0):
            starts = world.start_all(now)
            assert len(starts) == 3
            worker_id = starts[0].worker.worker_id
            fleet.crash(now + MOMENT_S, worker_id)
            for start in starts[1:]:
                if start.worker.worker_id != worker_id:
                    fleet.report(now + 1.0, start.worker.worker_id)
        world.plan(7.0)
        assert fleet.state(job_id) is specs.JobState.FAILED

    def test_a_later_crash_is_bounded_too(self) -> None:
        fleet = Fleet()
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        count = 0
        now = 1.0
        while starts := fleet.world.start_all(now):
            (start,) = starts
            count += 1
            worker_id = start.worker.worker_id
            task_id = start.order.task_id
            fleet.report(now + SETTLED_S, worker_id, [task_id])
            fleet.crash(now + 2.0, worker_id)
            now += 3.0
        assert fleet.state(job_id) is specs.JobState.FAILED
        assert count <= crashes.MAX_CRASHES

    def test_the_count_survives_a_takeover(self) -> None:
        fleet = Fleet()
        job = worlds.make_job(1)
        fleet.world.accept(0.0, job)
        (start,) = fleet.world.start_all(1.0)
        fleet.crash(1.0 + MOMENT_S, start.worker.worker_id)
        fleet.world.plan(1.1)
        changes = fleet.world.store_changes()
        progress = records.decode_progress(changes.puts[0].value)

        second = Fleet()
        second.scheduler = second.world.scheduler = worlds.World(
            second.entries_by_id.values(), term=2
        ).scheduler
        second.scheduler.jobs.unix_offset_s = worlds.UNIX_AT_ZERO_S
        second.scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, job, progress)
        for worker_id in second.entries_by_id:
            second.report(0.5, worker_id)
        assert run_until_given_up(second, f'{job.job_id}.0.0.0') == 1
        assert second.state(job.job_id) is specs.JobState.FAILED

    def test_operators_see_the_job_and_its_workers(self) -> None:
        fleet = Fleet()
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        workers = []
        for now in (1.0, 3.0):
            (start,) = fleet.world.start_all(now)
            workers.append(start.worker.worker_id)
            fleet.crash(now + MOMENT_S, start.worker.worker_id)
        reports = fleet.world.plan(5.0)
        given_up = [
            report
            for report in reports
            if isinstance(report, actions.ReportGivenUp)
        ]
        assert [(one.job_id, one.worker_ids) for one in given_up] == [
            (job_id, tuple(workers))
        ]


class TestOtherLosses:
    """Guards against jobs that are given up for a loss they didn't cause."""

    def test_a_run_at_work_is_no_suspect_beside_one_that_started(
        self,
    ) -> None:
        fleet = Fleet(1)
        old = fleet.world.accept(0.0, worlds.make_job(1))
        fleet.world.start_all(1.0)
        new = fleet.world.accept(1.5, worlds.make_job(2))
        fleet.world.start_all(1.0 + SETTLED_S)
        fleet.silence(1.5, 'w0')
        fleet.bring_back(4.5, 'w0')
        (crash,) = [
            action
            for action in fleet.world.plan(4.6)
            if isinstance(action, actions.ReportCrash)
        ]
        assert crash.suspect_ids == (f'{new}.0.0.0',)
        assert set(crash.lost_task_ids) == {f'{old}.0.0.0', f'{new}.0.0.0'}

    def test_a_task_at_work_beside_many_crashes_is_not_given_up(
        self,
    ) -> None:
        fleet = Fleet(1)
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        for number in range(2, 6):
            now = 10.0 * number
            starts = fleet.world.start_all(now)
            assert [start.order.task_id for start in starts] == [
                f'{job_id}.0.0.0'
            ]
            (worker_id,) = fleet.entries_by_id
            fleet.report(now + SETTLED_S, worker_id, [f'{job_id}.0.0.0'])
            crashing = fleet.world.accept(now + 1.0, worlds.make_job(number))
            fleet.world.start_all(now + 1.0)
            fleet.world.start_all(now + 2.0)
            fleet.scheduler.cancel(now + 2.0, crashing)
            fleet.crash(now + 2.0 + MOMENT_S, worker_id)
        fleet.world.plan(100.0)
        assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_a_silent_worker_that_runs_on_has_not_crashed(self) -> None:
        fleet = Fleet(1)
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        for now in (1.0, 10.0, 20.0):
            fleet.world.start_all(now)
            fleet.silence(now + MOMENT_S, 'w0')
            fleet.world.plan(now + 7.5)
            fleet.report(now + 8.0, 'w0')
        (task,) = (
            fleet.scheduler.jobs.active_by_id[job_id].steps_by_key[0, 0].tasks
        )
        assert not task.crashes_by_run
        assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_an_entry_without_a_worker_behind_it_proves_nothing(self) -> None:
        fleet = Fleet(2)
        fleet.world.accept(0.0, worlds.make_job(1))
        (start,) = fleet.world.start_all(1.0)
        cut_off = start.worker
        scheduler = fleet.scheduler
        scheduler.record_lease_deadline(
            cut_off.worker_id,
            scheduler.lease_deadline(1.0, cut_off.worker_id),
        )
        fleet.silence(1.5, cut_off.worker_id)
        scheduler.update_worker(
            2.0,
            worlds.make_worker(
                'foreign',
                machine=cut_off.machine,
                started=int((worlds.UNIX_AT_ZERO_S + 1.0) * 1000),
            ),
        )
        assert fleet.world.plan_starts(3.0) == []
        assert len(fleet.world.plan_starts(8.0)) == 1

    def test_a_crash_that_is_proved_after_the_lease_counts(self) -> None:
        fleet = Fleet(3)
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        (first,) = fleet.world.start_all(1.0)
        fleet.silence(1.0 + MOMENT_S, first.worker.worker_id)
        fleet.scheduler.mark_worker_unregistered(first.worker.worker_id)
        (second,) = fleet.world.start_all(9.0)
        fleet.silence(9.0 + MOMENT_S, second.worker.worker_id)
        fleet.bring_back(10.0, first.worker.worker_id)
        fleet.bring_back(12.0, second.worker.worker_id)
        assert fleet.world.plan_starts(12.1) == []
        assert fleet.state(job_id) is specs.JobState.FAILED

    def test_a_worker_that_leaves_has_not_crashed(self) -> None:
        fleet = Fleet(2)
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        for now in (1.0, 20.0):
            (start,) = fleet.world.start_all(now)
            worker_id = start.worker.worker_id
            fleet.scheduler.update_worker(
                now,
                worlds.make_worker(
                    worker_id,
                    state=specs.WorkerState.DRAINING,
                    machine=start.worker.machine,
                    started=start.worker.started_unix_ms,
                ),
            )
            fleet.crash(now + MOMENT_S, worker_id)
        fleet.world.plan(40.0)
        assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_a_rack_without_power_blames_no_task(self) -> None:
        fleet = Fleet(4)
        jobs = [
            fleet.world.accept(
                0.0,
                worlds.make_job(
                    number, [worlds.make_step(size=model.Resources(9000, 10))]
                ),
            )
            for number in range(1, 5)
        ]
        fleet.world.start_all(1.0)
        for now in (1.0, 20.0):
            workers = list(fleet.entries_by_id)
            fleet.silence(now + MOMENT_S, *workers)
            fleet.bring_back(now + 3.0, *workers)
            reports = [
                action
                for action in fleet.step(now + 3.1)
                if isinstance(action, actions.ReportCrash)
            ]
            assert [report.suspect_ids for report in reports] == [()] * 4
        for job_id in jobs:
            assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_a_long_running_task_outlives_many_crashes(self) -> None:
        fleet = Fleet(2)
        step = worlds.make_step(long_running=True)
        job_id = fleet.world.accept(0.0, worlds.make_job(1, [step]))
        for round_number in range(10):
            now = 1.0 + 10 * round_number
            (start,) = fleet.world.start_all(now)
            worker_id = start.worker.worker_id
            for later in (now + SETTLED_S, now + 2.0):
                fleet.report(later, worker_id, [start.order.task_id])
            fleet.crash(now + 3.0, worker_id)
        fleet.world.plan(200.0)
        assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_a_crash_that_is_reported_again_counts_once(self) -> None:
        fleet = Fleet(1)
        job_id = fleet.world.accept(0.0, worlds.make_job(1))
        (start,) = fleet.world.start_all(1.0)
        fleet.crash(1.0 + MOMENT_S, 'w0')
        fleet.world.plan(1.1)
        job = fleet.scheduler.jobs.active_by_id[job_id]
        (task,) = job.steps_by_key[0, 0].tasks
        fleet.scheduler.jobs.record_crash(
            task,
            start.order.run,
            records.TaskCrash(start.worker.worker_id, True),
        )
        assert task.suspected_crashes == 1

    def test_a_start_that_was_not_sent_is_no_suspect(self) -> None:
        fleet = Fleet(1)
        fleet.world.accept(0.0, worlds.make_job(1))
        fleet.world.start_all(1.0)
        fleet.world.accept(1.0, worlds.make_job(2))
        assert len(fleet.world.plan_starts(1.0)) == 1
        fleet.crash(1.0 + MOMENT_S, 'w0')
        (crash,) = [
            action
            for action in fleet.world.plan(1.1)
            if isinstance(action, actions.ReportCrash)
        ]
        assert len(crash.lost_task_ids) == 1


class TestProbation:
    """Guards against suspects that can't be told apart, or that starve."""

    def suspects(self, fleet: Fleet, count: int) -> list[model.JobId]:
        """Return jobs whose tasks were started on a worker that crashed."""
        jobs = [
            fleet.world.accept(0.0, worlds.make_job(number))
            for number in range(1, count + 1)
        ]
        (worker_id,) = {
            start.worker.worker_id for start in fleet.world.start_all(1.0)
        }
        fleet.crash(1.0 + MOMENT_S, worker_id)
        return jobs

    def test_suspects_start_on_different_workers(self) -> None:
        fleet = Fleet(4)
        self.suspects(fleet, 4)
        starts = fleet.world.start_all(2.0)
        assert len({start.worker.worker_id for start in starts}) == 4

    def test_nothing_else_starts_beside_a_suspect(self) -> None:
        fleet = Fleet(1)
        self.suspects(fleet, 2)
        (first,) = fleet.world.start_all(2.0)
        fleet.world.accept(2.1, worlds.make_job(9))
        assert fleet.world.start_all(2.2) == []
        fleet.report(
            2.0 + SETTLED_S, first.worker.worker_id, [first.order.task_id]
        )
        assert fleet.world.start_all(2.1 + SETTLED_S)

    def test_the_worker_is_asked_once_a_suspect_has_settled(self) -> None:
        fleet = Fleet(1)
        self.suspects(fleet, 1)
        (start,) = fleet.world.start_all(2.0)
        polls = [
            action
            for now in (2.1, 2.0 + SETTLED_S, 2.1 + SETTLED_S)
            for action in fleet.world.plan(now)
            if isinstance(action, actions.PollWorker)
        ]
        assert polls == [actions.PollWorker(start.worker.worker_id)]

    def test_a_task_that_survives_its_start_is_no_suspect(self) -> None:
        fleet = Fleet(1)
        (job_id,) = self.suspects(fleet, 1)
        for now in (2.0, 10.0, 20.0):
            (start,) = fleet.world.start_all(now)
            worker_id = start.worker.worker_id
            fleet.report(now + SETTLED_S, worker_id, [start.order.task_id])
            if now < 20.0:
                fleet.crash(now + 5.0, worker_id)
        fleet.world.plan(30.0)
        assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_suspects_of_a_step_start_on_one_worker_at_a_time(self) -> None:
        fleet = Fleet(4)
        step = worlds.make_step(8, size=model.Resources(4000, 1000))
        fleet.world.accept(0.0, worlds.make_job(1, [step]))
        starts = fleet.world.start_all(1.0)
        workers = {start.worker.worker_id for start in starts}
        assert len(workers) == 2
        fleet.crash(1.0 + MOMENT_S, *workers)
        starts = fleet.world.start_all(2.0)
        assert len({start.worker.worker_id for start in starts}) == 1
        assert fleet.world.start_all(2.1) == []

    def test_a_task_with_repeated_crashes_holds_up_no_other_suspect(
        self,
    ) -> None:
        fleet = Fleet(2)
        step = worlds.make_step(2, size=model.Resources(9000, 1000))
        job_id = fleet.world.accept(0.0, worlds.make_job(1, [step]))
        (one, _) = (
            fleet.scheduler.jobs.active_by_id[job_id].steps_by_key[0, 0].tasks
        )
        for run_number in range(1, 4):
            fleet.scheduler.jobs.record_crash(
                one, run_number, records.TaskCrash(model.WorkerId('x'), False)
            )
        starts = fleet.world.start_all(1.0)
        assert len(starts) == 2
        other = next(
            start.worker.worker_id
            for start in starts
            if start.order.task_id != one.id
        )
        fleet.crash(1.0 + MOMENT_S, other)
        assert fleet.world.start_all(1.2) == []
        for worker_id in fleet.entries_by_id:
            fleet.report(2.0, worker_id, fleet.run_ids(worker_id))
        assert len(fleet.world.start_all(2.1)) == 1

    @pytest.mark.parametrize('gang', [False, True])
    def test_a_suspect_takes_any_worker_after_a_while(
        self, gang: bool
    ) -> None:
        fleet = Fleet(1)
        step = worlds.make_step(gang=gang)
        fleet.world.accept(0.0, worlds.make_job(1, [step]))
        fleet.world.start_all(1.0)
        fleet.crash(1.0 + MOMENT_S, 'w0')
        now = 2.0
        started_at = None
        number = 100
        while started_at is None and now < 10.0:
            number += 1
            urgent = worlds.make_queue('u', priority=0)
            fleet.world.accept(
                now,
                worlds.make_job(
                    number,
                    [worlds.make_step(size=model.Resources(100, 10))],
                    urgent,
                ),
            )
            for start in fleet.world.start_all(now):
                if start.order.task_id.startswith(f'{1:016x}'):
                    started_at = now
            now += 0.1
        assert started_at is not None
        assert started_at - 2.0 < crashes.PROBATION_WAIT_S + 0.3


class TestPlacementOfSuspects:
    """Guards against suspects that start where their step doesn't allow."""

    def test_a_suspect_keeps_to_the_limit_per_worker(self) -> None:
        fleet = Fleet(2)
        step = worlds.make_step(2, max_per_worker=1)
        fleet.world.accept(0.0, worlds.make_job(1, [step]))
        starts = fleet.world.start_all(1.0)
        assert {start.worker.worker_id for start in starts} == {'w0', 'w1'}
        fleet.crash(1.0 + MOMENT_S, 'w0')
        fleet.silence(1.1, 'm0-1')
        for now in (2.0, 4.0, 6.0):
            fleet.report(now, 'w1', fleet.run_ids('w1'))
            assert fleet.world.start_all(now) == []


class TestLateProof:
    """Guards against suspicion that a task can't clear itself of."""

    def test_a_task_placed_before_the_proof_is_cleared(self) -> None:
        fleet = Fleet(2)
        step = worlds.make_step(long_running=True)
        job_id = fleet.world.accept(0.0, worlds.make_job(1, [step]))
        (first,) = fleet.world.start_all(1.0)
        fleet.silence(1.0 + MOMENT_S, first.worker.worker_id)
        fleet.scheduler.mark_worker_unregistered(first.worker.worker_id)
        (second,) = fleet.world.start_all(9.0)
        worker_id = second.worker.worker_id
        fleet.report(9.5, worker_id, fleet.run_ids(worker_id))
        fleet.bring_back(10.0, first.worker.worker_id)
        for now in (10.5, 11.0, 100.0):
            fleet.world.plan(now)
            fleet.report(now, worker_id, fleet.run_ids(worker_id))
        fleet.crash(100.1, worker_id)
        fleet.world.plan(101.0)
        assert fleet.state(job_id) is specs.JobState.RUNNING

    def test_other_suspects_of_its_step_do_not_starve(self) -> None:
        fleet = Fleet(1)
        step = worlds.make_step(
            2, size=model.Resources(8000, 1000), long_running=True
        )
        fleet.world.accept(0.0, worlds.make_job(1, [step]))
        assert len(fleet.world.start_all(1.0)) == 2
        fleet.silence(1.0 + MOMENT_S, 'w0')
        fleet.scheduler.mark_worker_unregistered(model.WorkerId('w0'))
        small = worlds.make_worker('w1', cpu=8000, machine='m1')
        fleet.entries_by_id['w1'] = small
        fleet.scheduler.update_worker(8.9, small)
        fleet.report(8.9, 'w1')
        assert len(fleet.world.start_all(9.0)) == 1
        fleet.report(9.5, 'w1', fleet.run_ids('w1'))
        fleet.bring_back(10.0, 'w0')
        count = 0
        for now in (10.5, 11.0, 12.0, 13.0, 30.0):
            count += len(fleet.world.start_all(now))
            fleet.report(now, 'w1', fleet.run_ids('w1'))
        assert count == 1


class TestManySuspectsOfAStep:
    """Guards against a wide step whose suspects start one after another."""

    def test_suspects_start_soon_after_many_crashes(self) -> None:
        fleet = Fleet(24)
        step = worlds.make_step(24, max_per_worker=1, long_running=True)
        fleet.world.accept(0.0, worlds.make_job(1, [step]))
        assert len(fleet.world.start_all(1.0)) == 24
        crashed = [f'w{number}' for number in range(10)]
        fleet.crash(1.0 + MOMENT_S, *crashed)
        now = 4.0
        count = 0
        while count < 10 and now < 60.0:
            count += len(fleet.world.start_all(now))
            for worker_id in fleet.entries_by_id:
                fleet.report(now, worker_id, fleet.run_ids(worker_id))
            now += 0.1
        assert count == 10
        assert now < 7.0


class TestAdviceForSuspects:
    """Guards against advice for suspects that may not start yet."""

    def test_none_is_requested_during_a_probation(self) -> None:
        queue = worlds.make_queue(
            'a', advice=specs.AdvicePolicy(0.02, 0.001, 2.0)
        )
        fleet = Fleet(4)
        fleet.scheduler.configure(worlds.make_configuration([queue]))
        step = worlds.make_step(2, size=model.Resources(9000, 10))
        job_id = fleet.world.accept(0.0, worlds.make_job(1, [step], queue))
        for index in range(2):
            task = fleet.scheduler.jobs.find_task(
                model.TaskId(f'{job_id}.0.0.{index}')
            )
            assert task is not None
            fleet.scheduler.jobs.record_crash(
                task, 1, records.TaskCrash(model.WorkerId('x'), True)
            )
        (request,) = fleet.world.plan(1.0)
        assert isinstance(request, actions.RequestAdvice)
        fleet.scheduler.handle_advice_result(
            1.05,
            1.0,
            request.step_id,
            request.worker_ids,
            ports.Advice(dict.fromkeys(request.worker_ids, 'ticket')),
        )
        (start,) = fleet.step(1.1)
        assert isinstance(start, actions.Start)
        assert fleet.world.plan(1.2) == []


class TestTakeoversBeforeTheProof:
    """Guards against crashes that no holder counts."""

    def test_crashes_of_workers_without_a_row_are_bounded(self) -> None:
        fleet = Fleet()
        job = worlds.make_job(1)
        fleet.world.accept(0.0, job)
        start_count = 0
        for term in range(2, 10):
            now = 1.0
            while not (starts := fleet.world.start_all(now)) and now < 20.0:
                now += 1.0
            if not starts:
                break
            start_count += 1
            progress = records.decode_progress(
                fleet.world.store_changes().puts[0].value
            )
            old = fleet.entries_by_id.pop(starts[0].worker.worker_id)
            entry = worlds.make_worker(
                f'{old.machine}-{term}', machine=old.machine, started=term
            )
            fleet.entries_by_id[entry.worker_id] = entry
            fleet.world = worlds.World(
                fleet.entries_by_id.values(), term=term, reported=False
            )
            fleet.scheduler = fleet.world.scheduler
            fleet.scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, job, progress)
            for worker_id in fleet.entries_by_id:
                fleet.report(0.5, worker_id)
        assert start_count <= crashes.MAX_CRASHES
