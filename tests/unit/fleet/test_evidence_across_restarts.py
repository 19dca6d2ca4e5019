"""What is concluded from observations of another process of a worker."""

import msgspec
import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack.fleet import tracking
from samphirestack_testing import fleet_world as worlds

SECOND_MS = int((worlds.UNIX_AT_ZERO_S + 4.0) * 1000)
"""Start of the second process of a worker, in Unix milliseconds."""


def stopped_runs(planned: list[actions.Action]) -> list[tuple[str, int]]:
    return [
        (action.task_id, action.run)
        for action in planned
        if isinstance(action, actions.Stop)
    ]


def crashed_with(planned: list[actions.Action]) -> list[tuple[str, ...]]:
    return [
        action.lost_task_ids
        for action in planned
        if isinstance(action, actions.ReportCrash)
    ]


class TestWorkersThatWereRemoved:
    """Guards against a late order for a worker that was away meanwhile."""

    def test_a_late_order_is_stopped_when_its_worker_is_back(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        worker_id = start.worker.worker_id
        run = (start.order.task_id, start.order.run)
        world.answer_start(0.9, start, specs.StartOutcome.UNKNOWN)
        world.report(1.0, worker_id)
        assert stopped_runs(world.plan(1.1)) == [run]
        world.scheduler.handle_stop_result(1.2, worker_id, *run, True)
        world.report(1.4, worker_id, sent_at=1.3)
        world.scheduler.mark_worker_silent(2.0, worker_id)
        world.scheduler.mark_worker_unregistered(worker_id)
        world.plan(3.0)
        world.scheduler.update_worker(
            4.5, worlds.make_worker('a', started=SECOND_MS)
        )
        assert run in stopped_runs(world.plan(4.6))


class TestRestartsBeforeATakeover:
    """Guards against a second run while a late call may extend the first.

    The call of the earlier holder was meant for the process before, whose
    clock was ahead.
    """

    def starts_again_by(
        self, now: float, started_unix_ms: int = SECOND_MS
    ) -> bool:
        """Return whether a silent worker's task has started elsewhere."""
        world = worlds.World([worlds.make_worker('a')])
        job = worlds.make_job(1)
        world.accept(0.0, job)
        assert world.plan_starts(3.0)
        changes = world.scheduler.collect_changes()
        progress = records.decode_progress(changes.puts[0].value)
        world.workers = [
            worlds.make_worker('a', started=started_unix_ms),
            worlds.make_worker('b'),
        ]
        world.take_over(5.0, job, progress)
        world.report(5.1, 'b')
        world.scheduler.mark_worker_silent(5.5, world.workers[0].worker_id)
        steps = (5.5, now - 0.1, now)
        return any(world.plan_starts(step) for step in steps)

    def test_the_task_waits_for_all_leases(self) -> None:
        # The earlier holder notices the restart or finds the worker silent
        # after two calls.
        calls_until = 4.0 + 2 * (2.0 + 0.8)
        leases_until = calls_until + tracking.LATE_ORDER_S + worlds.LEASE_S
        assert not self.starts_again_by(leases_until)
        assert self.starts_again_by(leases_until + 6.0)

    def test_it_waits_no_longer_if_the_restart_was_long_ago(self) -> None:
        leases_until = 5.0 + terms.HOLD_LEASE_S + worlds.LEASE_S
        long_ago_ms = SECOND_MS - 30_000
        assert not self.starts_again_by(leases_until, long_ago_ms)
        assert self.starts_again_by(leases_until + 0.5, long_ago_ms)


class TestReportsOfTheNextProcess:
    """Guards against a report that makes its former process look alive."""

    def test_a_crash_is_proved_after_a_report_as_well(self) -> None:
        world = worlds.World([worlds.make_worker('a', machine='m')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        worker_id = start.worker.worker_id
        world.scheduler.mark_worker_silent(0.5, worker_id)
        world.plan(worlds.LEASE_S + 1.0)
        world.report(8.0, worker_id, started=SECOND_MS)
        world.scheduler.update_worker(
            8.1, worlds.make_worker('a', machine='m', started=SECOND_MS)
        )
        assert crashed_with(world.plan(8.2)) == [(start.order.task_id,)]

    @pytest.mark.parametrize('silent_at', [0.5, 4.2])
    def test_idle_workers_of_a_rack_count_as_lost_with_the_others(
        self, silent_at: float
    ) -> None:
        entries = [
            worlds.make_worker(name, machine=f'm-{name}') for name in 'abcd'
        ]
        world = worlds.World(entries)
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        crashed_id = start.worker.worker_id
        world.report(0.2, crashed_id, [(start.order.task_id, 1)])
        if silent_at > 4.1:
            world.scheduler.set_workers(
                4.1,
                [
                    msgspec.structs.replace(entry, started_unix_ms=SECOND_MS)
                    for entry in entries
                    if entry.worker_id != crashed_id
                ],
            )
        for entry in entries:
            world.scheduler.mark_worker_silent(silent_at, entry.worker_id)
        for entry in entries:
            if entry.worker_id != crashed_id:
                world.report(4.3, entry.worker_id, started=SECOND_MS)
        world.report(4.3, crashed_id, started=SECOND_MS)
        suspects = [
            action.suspect_ids
            for action in world.plan(4.4)
            if isinstance(action, actions.ReportCrash)
        ]
        assert suspects == [()]


class TestAcknowledgements:
    """Guards against ends of a new process that it forgets unread.

    It does if it carries out a call that acknowledged the former one's ends.
    """

    def test_none_is_sent_to_a_worker_that_may_have_restarted(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        end = (1, start.order.task_id, start.order.run, specs.EndReason.DONE)
        world.report(0.2, 'a', ended=[end])
        world.store_changes()
        (worker,) = world.scheduler.workers_by_id.values()
        assert worker.end_to_acknowledge(0.3) == 1
        worker.consecutive_failed_calls = 1
        assert worker.end_to_acknowledge(0.3) == 0
        worker.consecutive_failed_calls = 0
        assert worker.end_to_acknowledge(0.3) == 1

    def test_none_is_sent_without_a_recent_report(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        end = (1, start.order.task_id, start.order.run, specs.EndReason.DONE)
        world.report(0.2, 'a', ended=[end])
        world.store_changes()
        (worker,) = world.scheduler.workers_by_id.values()
        late = 0.3 + tracking.ACKNOWLEDGE_WITHIN_S
        assert worker.end_to_acknowledge(late) == 0
        world.report(late, 'a', ended=[end])
        assert worker.end_to_acknowledge(late) == 1


class TestEndsOfTheFormerProcess:
    """Guards against work done twice because its end was read too late."""

    def setup_method(self) -> None:
        self.world = worlds.World([worlds.make_worker('a')])
        self.job_id = self.world.accept(0.0, worlds.make_job(1))
        (start,) = self.world.start_all(0.1)
        self.task_id, self.run = start.order.task_id, start.order.run
        self.world.report(0.2, 'a', [(self.task_id, self.run)])

    def restart(self, now: float) -> None:
        self.world.scheduler.update_worker(
            now, worlds.make_worker('a', started=SECOND_MS)
        )

    def test_a_task_that_was_done_does_not_start_again(self) -> None:
        self.restart(4.1)
        end = (1, self.task_id, self.run, specs.EndReason.DONE)
        self.world.report(4.2, 'a', ended=[end], sent_at=3.9)
        assert self.job_id not in self.world.scheduler.jobs.active_by_id

    def test_each_end_counts_once(self) -> None:
        end = (1, self.task_id, self.run, specs.EndReason.FAILED)
        assert len(self.world.report(3.9, 'a', ended=[end])) == 1
        self.restart(4.1)
        assert self.world.report(4.2, 'a', ended=[end], sent_at=3.9) == []

    def test_a_later_end_of_the_new_process_has_a_low_number(self) -> None:
        end = (1, self.task_id, self.run, specs.EndReason.FAILED)
        self.world.report(3.9, 'a', ended=[end])
        (start,) = self.world.start_all(4.0)
        end = (1, self.task_id, start.order.run, specs.EndReason.DONE)
        assert self.world.report(4.5, 'a', ended=[end], started=SECOND_MS)


class TestProcessesThatHaveNotAnswered:
    """Guards against starts that can't be sent, as no lease can be granted.

    Each delays its task, and costs a write to the store.
    """

    def test_no_start_is_planned_before_the_first_report(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.scheduler.update_worker(
            4.1, worlds.make_worker('a', started=SECOND_MS)
        )
        world.accept(4.1, worlds.make_job(1))
        assert world.plan_starts(4.2) == []
        world.report(4.3, 'a', started=SECOND_MS)
        assert world.plan_starts(4.4)


class TestAnswersBeforeARestartIsKnown:
    """Guards against blame for tasks at work when their worker crashes.

    An answer of the next process doesn't show that the former one survived
    the start of the task that crashed it.
    """

    def test_only_the_task_that_had_just_started_is_a_suspect(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        jobs = [worlds.make_job(number) for number in range(3)]
        started = []
        for job, now in zip(jobs, (0.1, 3.8, 4.5), strict=True):
            world.accept(now, job)
            (start,) = world.start_all(now)
            started.append((start.order.task_id, start.order.run))
            if now < 1.0:
                world.report(0.9, 'a', started)
        _, deadly, in_next_process = started
        world.scheduler.update_worker(
            4.6, worlds.make_worker('a', started=SECOND_MS)
        )
        world.report(4.7, 'a', [in_next_process], started=SECOND_MS)
        suspects = [
            action.suspect_ids
            for action in world.plan(4.8)
            if isinstance(action, actions.ReportCrash)
        ]
        assert suspects == [(deadly[0],)]
