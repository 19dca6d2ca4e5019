"""Workers that are started again under their ids while calls are under way."""

import itertools

import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import crashes
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack.fleet import tracking
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

UNKNOWN = specs.StartOutcome.UNKNOWN
STARTED = specs.StartOutcome.STARTED
NEW_PROCESS_MS = int((worlds.UNIX_AT_ZERO_S + 0.2) * 1000)
"""When the new process starts, in Unix milliseconds."""

BEGUN_AT = 0.25
"""When the new process carries out the start order."""

EVENTS = ('answer', 'row', 'report before start', 'report after start')


class RestartedWorker:
    """A worker whose new process carries out an order for the former one."""

    def __init__(self) -> None:
        self.world = worlds.World(
            [worlds.make_worker('a'), worlds.make_worker('b')]
        )
        self.job_id = self.world.accept(0.0, worlds.make_job(1))
        (self.start,) = self.world.plan_starts(0.1)
        order = self.start.order
        self.worker_id = self.start.worker.worker_id
        self.run = (order.task_id, order.run)
        self.world.scheduler.mark_start_sent(self.worker_id, *self.run)

    def observe(
        self, now: float, event: str, outcome: specs.StartOutcome = STARTED
    ) -> None:
        if event == 'answer':
            self.world.answer_start(now, self.start, outcome)
        elif event == 'row':
            self.world.scheduler.update_worker(
                now,
                worlds.make_worker(self.worker_id, started=NEW_PROCESS_MS),
            )
        elif event == 'report before start':
            self.report(now, BEGUN_AT - 0.1)
        else:
            self.report(now, BEGUN_AT + 0.01, [self.run])

    def report(
        self,
        now: float,
        sent_at: float,
        running: list[tuple[model.TaskId, specs.RunNumber]] | None = None,
    ) -> None:
        self.world.report(
            now,
            self.worker_id,
            running or [],
            sent_at=sent_at,
            started=NEW_PROCESS_MS,
        )

    def silence(self, now: float) -> None:
        self.world.scheduler.mark_worker_silent(now, self.worker_id)

    def stops(self, now: float) -> list[tuple[model.TaskId, specs.RunNumber]]:
        return [
            (action.task_id, action.run)
            for action in self.world.plan(now)
            if isinstance(action, actions.Stop)
            and action.worker.worker_id == self.worker_id
        ]

    def starts_again(self, now: float) -> list[actions.Start]:
        return [
            start
            for start in self.world.plan_starts(now)
            if start.order.task_id == self.run[0]
        ]


class TestOrdersForAnEarlierProcess:
    """Guards against a second run of a task that the new process runs."""

    @pytest.mark.parametrize('outcome', [STARTED, UNKNOWN])
    def test_a_task_at_work_starts_nowhere_else(
        self, outcome: specs.StartOutcome
    ) -> None:
        for order in itertools.permutations(EVENTS):
            restarted = RestartedWorker()
            for number, event in enumerate(order):
                now = 0.3 + 0.02 * number
                restarted.observe(now, event, outcome)
                assert restarted.starts_again(now + 0.01) == [], order
            for number in range(10):
                now = 0.5 + number
                restarted.report(now, now, [restarted.run])
                assert restarted.starts_again(now) == [], order

    def test_a_run_of_the_earlier_process_starts_again_at_once(self) -> None:
        restarted = RestartedWorker()
        restarted.observe(0.2, 'answer')
        restarted.world.report(0.3, restarted.worker_id, [restarted.run])
        restarted.observe(0.4, 'row')
        assert restarted.starts_again(0.5)

    def test_an_answered_start_that_no_list_shows_starts_again(self) -> None:
        restarted = RestartedWorker()
        restarted.observe(0.2, 'answer')
        restarted.observe(0.3, 'row')
        restarted.report(0.4, 0.35)
        assert restarted.starts_again(0.5)

    def test_a_start_that_is_answered_after_the_restart_goes_on(self) -> None:
        restarted = RestartedWorker()
        restarted.observe(0.3, 'row')
        restarted.report(0.36, 0.34)
        restarted.observe(0.38, 'answer')
        assert restarted.stops(0.4) == []

    def test_the_new_process_is_asked_at_once(self) -> None:
        restarted = RestartedWorker()
        restarted.observe(0.2, 'answer')
        restarted.observe(0.3, 'row')
        polls = [
            action.worker_id
            for action in restarted.world.plan(0.3)
            if isinstance(action, actions.PollWorker)
        ]
        assert polls == [restarted.worker_id]


class TestLeasesAcrossRestarts:
    """Guards against runs that outlive the lease that is assumed for them."""

    def test_a_worker_cut_off_after_its_restart_keeps_its_task(self) -> None:
        # A call for the former process may still extend the lease.
        until = 0.3 + tracking.LATE_ORDER_S + worlds.LEASE_S
        for order in itertools.permutations(EVENTS):
            restarted = RestartedWorker()
            for number, event in enumerate(order):
                restarted.observe(0.3 + 0.02 * number, event)
            restarted.silence(0.5)
            for tenth in range(5, int(until * 10)):
                assert restarted.starts_again(tenth / 10) == [], order
            assert restarted.starts_again(until + 2.0), order

    def test_a_deadline_of_the_former_clock_holds_no_task(self) -> None:
        restarted = RestartedWorker()
        scheduler = restarted.world.scheduler
        scheduler.record_lease_deadline(restarted.worker_id, 10**9)
        restarted.observe(0.3, 'report after start')
        restarted.silence(0.5)
        until = 0.3 + tracking.LATE_ORDER_S + worlds.LEASE_S
        assert restarted.starts_again(until + 2.0)

    def test_no_deadline_is_sent_on_the_former_clock(self) -> None:
        restarted = RestartedWorker()
        scheduler = restarted.world.scheduler
        assert scheduler.lease_deadline(0.2, restarted.worker_id)
        restarted.observe(0.3, 'row')
        assert scheduler.lease_deadline(0.4, restarted.worker_id) is None

    def test_a_new_holder_waits_for_calls_of_the_last_one(self) -> None:
        restarted = RestartedWorker()
        world = restarted.world
        changes = world.scheduler.collect_changes()
        progress = records.decode_progress(changes.puts[0].value)
        world.workers = [
            worlds.make_worker(name, started=NEW_PROCESS_MS) for name in 'ab'
        ]
        world.take_over(1.0, worlds.make_job(1), progress)
        other_id = 'b' if restarted.worker_id == 'a' else 'a'
        world.report(1.1, other_id, started=NEW_PROCESS_MS)
        restarted.silence(1.1)
        until = 1.0 + tracking.LATE_ORDER_S + worlds.LEASE_S
        for tenth in range(12, int(until * 10)):
            assert restarted.starts_again(tenth / 10) == []
        assert restarted.starts_again(until + terms.HOLD_LEASE_S + 1.0)


class TestLateOrders:
    """Guards against a run that begins after it was taken for over.

    The process that had accepted its stop is gone.
    """

    def test_an_order_that_may_come_late_is_stopped_again(self) -> None:
        restarted = RestartedWorker()
        world = restarted.world
        restarted.observe(0.3, 'answer', UNKNOWN)
        world.report(0.4, restarted.worker_id)
        assert restarted.stops(0.5) == [restarted.run]
        world.scheduler.handle_stop_result(
            0.6, restarted.worker_id, *restarted.run, True
        )
        world.report(0.8, restarted.worker_id, sent_at=0.7)
        assert restarted.starts_again(0.9)
        restarted.observe(1.0, 'row')
        assert restarted.run in restarted.stops(1.1)

    def test_its_stop_is_repeated_until_the_new_process_accepts_it(
        self,
    ) -> None:
        restarted = RestartedWorker()
        world = restarted.world
        restarted.observe(0.3, 'answer', UNKNOWN)
        world.report(0.4, restarted.worker_id)
        assert restarted.stops(0.5) == [restarted.run]
        world.scheduler.handle_stop_result(
            0.6, restarted.worker_id, *restarted.run, True
        )
        world.report(0.8, restarted.worker_id, sent_at=0.7)
        restarted.observe(1.0, 'row')
        assert restarted.run in restarted.stops(1.1)
        world.scheduler.handle_stop_result(
            1.8, restarted.worker_id, *restarted.run, False
        )
        assert restarted.run in restarted.stops(2.5)
        world.scheduler.handle_stop_result(
            2.6, restarted.worker_id, *restarted.run, True
        )
        assert restarted.stops(4.0) == []

    def test_an_order_of_an_earlier_holder_is_stopped_as_well(self) -> None:
        restarted = RestartedWorker()
        world = restarted.world
        changes = world.scheduler.collect_changes()
        progress = records.decode_progress(changes.puts[0].value)
        world.take_over(1.0, worlds.make_job(1), progress)
        world.report(1.1, restarted.worker_id)
        assert restarted.starts_again(1.2)
        restarted.observe(1.3, 'row')
        assert restarted.run in restarted.stops(1.4)


class TestOrdersThatNobodyAnswered:
    """Guards against jobs given up with a single crash under them."""

    def test_an_unanswered_order_and_one_crash_end_no_job(self) -> None:
        restarted = RestartedWorker()
        restarted.observe(0.3, 'answer', UNKNOWN)
        restarted.observe(0.4, 'row')
        restarted.report(0.5, 0.45)
        world = restarted.world
        assert restarted.stops(0.6) == [restarted.run]
        world.scheduler.handle_stop_result(
            0.7, restarted.worker_id, *restarted.run, True
        )
        restarted.report(0.9, 0.8)
        (start,) = world.start_all(1.0)
        worker_id = start.worker.worker_id
        world.report(1.1, worker_id, started=NEW_PROCESS_MS + 900)
        assert world.plan_starts(2.0)
        assert restarted.job_id in world.scheduler.jobs.active_by_id


class TestRestartsOfARack:
    """Guards against blame for the tasks of a rack that lost power."""

    def test_restarts_at_once_make_no_suspects(self) -> None:
        entries = [
            worlds.make_worker(name, machine=f'm-{name}') for name in 'abcd'
        ]
        world = worlds.World(entries)
        size = model.Resources(9000, 1000)
        for number in range(len(entries)):
            step = worlds.make_step(size=size)
            world.accept(0.0, worlds.make_job(number, [step]))
        assert len(world.start_all(0.1)) == len(entries)
        restarted = [
            worlds.make_worker(
                entry.worker_id, machine=entry.machine, started=NEW_PROCESS_MS
            )
            for entry in entries
        ]
        world.scheduler.set_workers(0.3, restarted)
        for entry in restarted:
            world.report(0.4, entry.worker_id, started=NEW_PROCESS_MS)
        suspects = [
            action.suspect_ids
            for action in world.plan(0.5)
            if isinstance(action, actions.ReportCrash)
        ]
        assert suspects == [()] * len(entries)


class CrashBesideAnOpenRun:
    """A crash under a listed run, and maybe under one that was answered."""

    def __init__(self, state: specs.WorkerState) -> None:
        self.world = worlds.World([worlds.make_worker('a')])
        self.lost, self.open = (self._start(number) for number in (1, 2))
        self.world.report(0.3, 'a', [self.lost], sent_at=0.15)
        self.world.scheduler.update_worker(
            0.4, worlds.make_worker('a', state=state)
        )
        self.restart(0.6, state)

    def _start(self, number: int) -> tuple[model.TaskId, specs.RunNumber]:
        now = 0.1 * number
        self.world.accept(now, worlds.make_job(number))
        (start,) = self.world.start_all(now)
        return start.order.task_id, start.order.run

    def restart(
        self, now: float, state: specs.WorkerState = specs.WorkerState.READY
    ) -> None:
        self.started_ms = int((worlds.UNIX_AT_ZERO_S + now) * 1000)
        self.world.scheduler.update_worker(
            now,
            worlds.make_worker('a', started=self.started_ms, state=state),
        )

    def blamed_ids(self, now: float) -> list[tuple[model.TaskId, ...]]:
        return [
            action.lost_task_ids
            for action in self.world.plan(now)
            if isinstance(action, actions.ReportCrash)
        ]


class TestBlameAcrossRestarts:
    """Guards against blame that is lost, late or falls on a run at work."""

    @pytest.mark.parametrize('state', specs.WorkerState)
    @pytest.mark.parametrize('listed_as', ['running', 'ended'])
    def test_a_run_of_the_new_process_is_cleared(
        self, listed_as: str, state: specs.WorkerState
    ) -> None:
        crash = CrashBesideAnOpenRun(state)
        running = [crash.open] if listed_as == 'running' else []
        ended = [(1, *crash.open, specs.EndReason.DONE)]
        crash.world.report(
            0.8, 'a', running, () if running else ended, 0.7, crash.started_ms
        )
        expected = (
            [(crash.lost[0],)] if state is specs.WorkerState.READY else []
        )
        assert crash.blamed_ids(0.9) == expected

    def test_a_second_restart_settles_the_crash(self) -> None:
        crash = CrashBesideAnOpenRun(specs.WorkerState.READY)
        assert crash.blamed_ids(0.7) == []
        crash.restart(0.8)
        assert crash.blamed_ids(0.9) == [(crash.lost[0],)]

    def test_the_end_of_all_leases_settles_the_crash(self) -> None:
        crash = CrashBesideAnOpenRun(specs.WorkerState.READY)
        crash.world.scheduler.mark_worker_silent(0.7, model.WorkerId('a'))
        now = 0.6 + tracking.LATE_ORDER_S + worlds.LEASE_S
        assert crash.blamed_ids(now) == []
        assert crash.blamed_ids(now + 1.0) == [(crash.lost[0],)]


class TestTasksThatStartBeforeTheBlame:
    """Guards against suspects that wait for a run that nothing clears."""

    def test_a_run_that_started_before_its_third_crash_clears_it(
        self,
    ) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        task_id = start.order.task_id
        world.report(0.5, 'a', [(task_id, start.order.run)])
        task = world.scheduler.jobs.find_task(task_id)
        assert task is not None
        for run_number in (-2, -1):
            world.scheduler.jobs.record_crash(
                task, run_number, records.TaskCrash(model.WorkerId('x'), False)
            )
        world.accept(5.0, worlds.make_job(2))
        assert world.start_all(5.1)
        process_ms = int((worlds.UNIX_AT_ZERO_S + 5.15) * 1000)
        world.scheduler.update_worker(
            5.2, worlds.make_worker('a', started=process_ms)
        )
        world.scheduler.update_worker(5.2, worlds.make_worker('b'))
        world.report(5.2, 'b')
        (start,) = world.start_all(5.25)
        world.report(5.3, 'a', started=process_ms, sent_at=5.22)
        world.report(6.0, 'b', [(task_id, start.order.run)])
        assert len(task.crashes_by_run) == crashes.REPEATED_CRASHES
        assert not task.step.suspects_must_wait


class TestLapsedRuns:
    """Guards against blame for runs that their cut-off worker has ended."""

    def test_a_restart_after_the_lease_is_no_proof(self) -> None:
        world = worlds.World([])
        now = 0.0
        job_id = world.accept(now, worlds.make_job(1))
        for name in 'abc':
            entry = worlds.make_worker(name, machine=f'm-{name}')
            world.scheduler.update_worker(now, entry)
            world.report(now, name)
            (start,) = world.start_all(now + 0.1)
            run = (start.order.task_id, start.order.run)
            world.report(now + 1.0, name, [run])
            world.report(now + 2.0, name, [run])
            world.scheduler.mark_worker_silent(now + 2.5, entry.worker_id)
            now += 12.0
            world.plan(now)
            restarted = worlds.make_worker(
                name,
                machine=entry.machine,
                started=int((worlds.UNIX_AT_ZERO_S + now) * 1000),
                state=specs.WorkerState.DRAINING,
            )
            world.scheduler.update_worker(now, restarted)
            assert job_id in world.scheduler.jobs.active_by_id
