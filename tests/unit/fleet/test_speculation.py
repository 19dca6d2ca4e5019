"""Copies of slow tasks of speculative steps."""

from collections.abc import Iterable

import msgspec
from samphirestack.fleet import actions
from samphirestack.fleet import packing
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import speculation

from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
FAILED = specs.EndReason.FAILED
QUEUE = worlds.make_queue('copied', priority=2, max_attempts=4)
STEP = worlds.make_step(4, speculative=True, estimate_s=1.0)


class EarlierProgress(msgspec.Struct):
    """The part of the progress that versions without copies know."""

    placed_by_task: dict[str, tuple[int, str]] = {}


class SlowRun:
    """A job with four tasks, of which the first is slow.

    Its three siblings end after a second.  The objective is 3 s after the
    start.

    :param step: the step of the job.
    :param percent: progress of the slow run at 2 s.
    :param workers: each has room for two tasks.
    """

    def __init__(
        self,
        step: specs.StepSpec = STEP,
        percent: float = 20.0,
        workers: int = 3,
        customers: Iterable[specs.Customer] = (),
    ) -> None:
        entries = [
            worlds.make_worker(f'w{number}', 2000) for number in range(workers)
        ]
        self.world = worlds.World(
            entries, worlds.make_configuration([QUEUE], customers)
        )
        self.record = worlds.make_job(1, [step], QUEUE)
        self.job_id = self.world.accept(0.0, self.record)
        self.ended_by_worker: dict[str, int] = {}
        self.starts = self.world.start_all(0.0)
        slow, *others = self.starts
        self.slow = slow
        for start in others:
            self.end(1.0, start, DONE)
        self.report(2.0, [slow], percent)

    @property
    def scheduler_state(self) -> specs.JobState | None:
        return self.world.scheduler.jobs.state_of(self.job_id)

    def report(
        self,
        now: float,
        running: Iterable[actions.Start],
        percent: float = 20.0,
    ) -> None:
        by_worker: dict[str, list[tuple[str, int]]] = {}
        for start in running:
            by_worker.setdefault(start.worker.worker_id, []).append(
                (start.order.task_id, start.order.run)
            )
        for worker_id, keys in by_worker.items():
            self.world.report(now, worker_id, keys, percent=percent)

    def end(
        self, now: float, start: actions.Start, reason: specs.EndReason
    ) -> None:
        worker_id = start.worker.worker_id
        number = self.ended_by_worker.get(worker_id, 0) + 1
        self.ended_by_worker[worker_id] = number
        still = [
            key
            for key in self.world.scheduler.workers_by_id[
                worker_id
            ].runs_by_key
            if key != (start.order.task_id, start.order.run)
        ]
        row = (number, start.order.task_id, start.order.run, reason)
        self.world.report(now, worker_id, still, [row])

    def copy(self, now: float = 2.1) -> actions.Start:
        (start,) = self.world.start_all(now)
        assert start.order.task_id == self.slow.order.task_id
        assert start.order.run > self.slow.order.run
        return start


class TestWhenCopiesStart:
    """Guards against slow tasks without a copy, and needless copies."""

    def test_a_slow_task_gets_a_copy_on_another_worker(self) -> None:
        slow = SlowRun()
        assert slow.copy().worker.worker_id != slow.slow.worker.worker_id

    def test_a_task_has_one_copy(self) -> None:
        wide = msgspec.structs.replace(STEP, count=24)
        slow = SlowRun(wide, workers=13)
        slow.copy()
        slow.report(2.5, [slow.slow], 21.0)
        assert not slow.world.start_all(2.6)

    def test_a_run_that_ended_since_the_check_has_no_copy(self) -> None:
        slow = SlowRun(workers=2)
        # A customer at its limit puts the copy off.
        limit = specs.Customer(
            model.TeamId('team'), 1.0, model.Resources(1000)
        )
        slow.world.scheduler.configure(
            worlds.make_configuration([QUEUE], [limit])
        )
        assert not slow.world.start_all(2.1)
        slow.world.scheduler.configure(worlds.make_configuration([QUEUE]))
        slow.end(2.11, slow.slow, DONE)
        assert not slow.world.start_all(2.12)

    def test_steps_that_do_not_permit_copies_have_none(self) -> None:
        step = msgspec.structs.replace(STEP, speculative=False)
        assert not SlowRun(step).world.start_all(2.1)

    def test_gangs_have_no_copies(self) -> None:
        gang = msgspec.structs.replace(STEP, gang=True)
        world = worlds.World(
            [worlds.make_worker(f'w{number}') for number in range(3)]
        )
        world.accept(0.0, worlds.make_job(1, [gang], QUEUE))
        starts = world.start_all(0.0)
        keys = [(start.order.task_id, start.order.run) for start in starts]
        world.report(2.0, starts[0].worker.worker_id, keys, percent=10.0)
        assert not world.start_all(2.1)

    def test_a_run_that_ends_as_soon_has_no_copy(self) -> None:
        assert not SlowRun(percent=55.0).world.start_all(2.1)

    def test_a_task_that_can_be_in_time_has_no_copy(self) -> None:
        calm = msgspec.structs.replace(STEP, estimate_s=10.0)
        assert not SlowRun(calm).world.start_all(2.1)

    def test_no_copy_takes_room_that_a_waiting_step_needs(self) -> None:
        slow = SlowRun(percent=90.0, workers=2)
        small = worlds.make_job(2, [worlds.make_step(2)], QUEUE)
        slow.world.accept(2.0, small)
        others = slow.world.start_all(2.0)
        assert len(others) == 2
        slow.report(2.05, [slow.slow, *others], 20.0)
        large = worlds.make_step(size=model.Resources(2000, 1000))
        waiting = worlds.make_job(3, [large], QUEUE)
        waiting = msgspec.structs.replace(
            waiting, accepted_unix_s=worlds.UNIX_AT_ZERO_S + 2.0
        )
        slow.world.accept(2.0, waiting)
        assert not slow.world.start_all(2.1)
        slow.world.scheduler.cancel(2.2, waiting.job_id)
        slow.copy(2.4)

    def test_copies_are_within_the_budget_of_their_step(self) -> None:
        step = msgspec.structs.replace(STEP, count=6)
        world = worlds.World(
            [worlds.make_worker(f'w{number}') for number in range(8)],
            worlds.make_configuration([QUEUE]),
        )
        world.accept(0.0, worlds.make_job(1, [step], QUEUE))
        starts = world.start_all(0.0)
        worker_id = starts[0].worker.worker_id
        keys = [(start.order.task_id, start.order.run) for start in starts]
        world.report(2.5, worker_id, keys, percent=10.0)
        assert len(world.start_all(2.6)) == 1

    def test_the_limit_of_the_customer_holds_for_copies(self) -> None:
        limit = specs.Customer(
            model.TeamId('team'), 1.0, model.Resources(4000)
        )
        slow = SlowRun(customers=[limit])
        waiting = worlds.make_job(2, [worlds.make_step(3)], QUEUE)
        waiting = msgspec.structs.replace(
            waiting, accepted_unix_s=worlds.UNIX_AT_ZERO_S + 2.0
        )
        slow.world.accept(2.0, waiting)
        assert {
            start.order.task_id[:16] for start in slow.world.start_all(2.1)
        } == {waiting.job_id}


class TestBudget:
    """Guards against copies that take up much of a fleet."""

    def test_copies_take_a_small_part_of_the_fleet(self) -> None:
        world = worlds.World(
            [worlds.make_worker(f'w{number}', 4000) for number in range(40)]
        )
        workers = world.scheduler.workers_by_id.values()
        candidates = [packing.Candidate(worker) for worker in workers]
        budget = speculation.Budget(0.0, workers, candidates, [])
        assert budget.millicores == 8000
        assert budget.take(5000)
        assert not budget.take(5000)
        assert budget.take(3000)


class TestAdvice:
    """Guards against copies on workers that may not run them."""

    def test_a_copy_needs_a_ticket(self) -> None:
        queue = worlds.make_queue(
            'advised',
            priority=2,
            max_attempts=4,
            advice=specs.AdvicePolicy(0.05, 0.0001, 2.0),
        )
        world = worlds.World(
            [worlds.make_worker(f'w{number}', 2000) for number in range(4)],
            worlds.make_configuration([queue]),
        )
        step = msgspec.structs.replace(STEP, count=1)
        world.accept(0.0, worlds.make_job(1, [step], queue))

        def advise(now: float, suitable: list[str]) -> None:
            (ask,) = [
                action
                for action in world.plan(now)
                if isinstance(action, actions.RequestAdvice)
            ]
            tickets = {
                worker_id: f'at-{now}'
                for worker_id in ask.worker_ids
                if worker_id in suitable
            }
            world.scheduler.handle_advice_result(
                now, now, ask.step_id, ask.worker_ids, ports.Advice(tickets)
            )

        advise(0.1, ['w0', 'w2'])
        (start,) = world.start_all(0.2)
        key = (start.order.task_id, start.order.run)
        world.report(2.5, start.worker.worker_id, [key], percent=10.0)
        advise(2.6, ['w0', 'w2'])
        (copy,) = world.start_all(2.7)
        assert {start.worker.worker_id, copy.worker.worker_id} == {'w0', 'w2'}
        assert copy.order.ticket == 'at-2.6'


class TestEndsOfCopies:
    """Guards against tasks that are lost, or run on, because of a copy."""

    def _stopped(
        self, planned: Iterable[actions.Action]
    ) -> list[tuple[str, int]]:
        return [
            (action.task_id, action.run)
            for action in planned
            if isinstance(action, actions.Stop)
        ]

    def test_the_first_end_counts_and_the_slow_run_is_stopped(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        slow.end(3.0, copy, DONE)
        slow.world.store_changes()
        assert slow.scheduler_state is specs.JobState.COMPLETED
        order = slow.slow.order
        assert self._stopped(slow.world.plan(3.1)) == [
            (order.task_id, order.run)
        ]

    def test_the_copy_is_stopped_if_the_slow_run_ends_first(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        slow.end(3.0, slow.slow, DONE)
        assert self._stopped(slow.world.plan(3.1)) == [
            (copy.order.task_id, copy.order.run)
        ]

    def test_a_failed_copy_does_not_start_the_task_anew(self) -> None:
        slow = SlowRun()
        slow.end(2.5, slow.copy(), FAILED)
        slow.report(2.6, [slow.slow], 90.0)
        assert not slow.world.start_all(2.7)
        slow.end(3.0, slow.slow, DONE)
        slow.world.store_changes()
        assert slow.scheduler_state is specs.JobState.COMPLETED

    def test_the_copy_goes_on_for_a_run_that_failed(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        slow.end(2.5, slow.slow, FAILED)
        assert not slow.world.start_all(2.6)
        slow.end(3.0, copy, DONE)
        slow.world.store_changes()
        assert slow.scheduler_state is specs.JobState.COMPLETED

    def test_the_task_starts_anew_after_both_failed(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        slow.end(2.5, slow.slow, FAILED)
        slow.end(2.6, copy, FAILED)
        (again,) = slow.world.start_all(2.7)
        assert again.order.run > copy.order.run

    def test_another_copy_may_follow_one_that_failed(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        slow.end(2.5, copy, FAILED)
        slow.report(2.6, [slow.slow], 21.0)
        assert slow.copy(2.7).order.run > copy.order.run

    def test_a_refused_copy_leaves_the_slow_run_alone(self) -> None:
        slow = SlowRun()
        (copy,) = slow.world.plan_starts(2.1)
        slow.world.answer_start(2.2, copy, specs.StartOutcome.NO_ROOM)
        slow.end(3.0, slow.slow, DONE)
        slow.world.store_changes()
        assert slow.scheduler_state is specs.JobState.COMPLETED


class TestTakeovers:
    """Guards against copies that a new holder does not know."""

    def _row(self, slow: SlowRun) -> bytes:
        changes = slow.world.store_changes()
        (data,) = [put.value for put in changes.puts if put.key == slow.job_id]
        return data

    def _progress(self, slow: SlowRun) -> records.JobProgress:
        return records.decode_progress(self._row(slow))

    def test_a_stored_copy_without_the_slow_run_is_a_placement(
        self,
    ) -> None:
        slow = SlowRun()
        copy = slow.copy()
        progress = self._progress(slow)
        progress.placed_by_task = {}
        world = self._next_holder(slow, progress)
        job = world.scheduler.jobs.active_by_id[slow.job_id]
        step = job.steps_by_key[0, 0]
        assert step.tasks[0].placed_run_number == copy.order.run
        assert not job.progress.main.copies_by_task
        assert not world.start_all(3.2)

    def test_a_copy_is_stored_before_its_order(self) -> None:
        slow = SlowRun()
        (copy,) = slow.world.plan_starts(2.1)
        progress = self._progress(slow)
        assert progress.copies_by_task == {
            '0.0.0': (copy.order.run, copy.worker.worker_id)
        }
        slow.end(3.0, slow.slow, DONE)

    def _next_holder(
        self, slow: SlowRun, progress: records.JobProgress
    ) -> worlds.World:
        world = worlds.World(slow.world.workers, term=2, reported=False)
        world.scheduler.load_job(
            3.0, worlds.UNIX_AT_ZERO_S + 3.0, slow.record, progress
        )
        return world

    def test_the_next_holder_goes_on_with_both_runs(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        world = self._next_holder(slow, self._progress(slow))
        for entry in slow.world.workers:
            keys = [
                (start.order.task_id, start.order.run)
                for start in (slow.slow, copy)
                if start.worker.worker_id == entry.worker_id
            ]
            world.report(3.1, entry.worker_id, keys, percent=22.0)
        assert not [
            action
            for action in world.plan(3.2)
            if isinstance(action, actions.Stop | actions.Start)
        ]

    def test_the_next_holder_goes_on_with_the_copy_alone(self) -> None:
        slow = SlowRun()
        copy = slow.copy()
        world = self._next_holder(slow, self._progress(slow))
        for entry in slow.world.workers:
            keys = [(copy.order.task_id, copy.order.run)] * (
                copy.worker.worker_id == entry.worker_id
            )
            world.report(3.1, entry.worker_id, keys, percent=22.0)
        assert not world.start_all(3.2)

    def test_earlier_versions_read_the_progress(self) -> None:
        slow = SlowRun()
        slow.copy()
        row = msgspec.msgpack.decode(self._row(slow), type=EarlierProgress)
        order = slow.slow.order
        assert row.placed_by_task == {
            '0.0.0': (order.run, slow.slow.worker.worker_id)
        }
