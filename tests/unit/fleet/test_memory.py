"""Memory that jobs occupy in the holder, and what is refused or deferred."""

import tracemalloc

import pytest

from samphirestack.fleet import memory
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

LARGE = model.TeamId('large')
SMALL = model.TeamId('small')
LARGEST_JOB = [worlds.make_step(10_000)] * 2
LIMIT = 1_000_000


def measured_bytes(
    steps: list[specs.StepSpec], count: int, **fields: object
) -> float:
    """Return the memory of each of some jobs that have not begun."""
    # Entries read rows: equal strings of different jobs are not shared.
    rows = [
        records.encode(worlds.make_job(number + 1, steps, **fields))
        for number in range(count)
    ]
    world = worlds.World([])
    tracemalloc.start()
    try:
        for row in rows:
            world.accept(1.0, records.decode_job(row))
        return tracemalloc.get_traced_memory()[0] / count
    finally:
        tracemalloc.stop()


class TestLargeJobs:
    """Guards against large jobs that end every process that schedules."""

    def test_a_task_that_waits_occupies_some_bytes(self) -> None:
        assert measured_bytes(LARGEST_JOB, 2) < 20 * 20_000

    def test_a_task_that_is_done_occupies_some_bytes(self) -> None:
        world = worlds.World([worlds.make_worker('a', 10**9, 10**9)])
        job_id = world.accept(
            0.0, worlds.make_job(1, [worlds.make_step(2000)])
        )
        world.report(0.5, 'a')
        starts = world.start_all(1.0)
        world.report(
            2.0,
            'a',
            ended=[
                (
                    number,
                    start.order.task_id,
                    start.order.run,
                    specs.EndReason.DONE,
                )
                for number, start in enumerate(starts[:-1], 1)
            ],
        )
        job = world.scheduler.jobs.active_by_id[job_id]
        (step,) = job.steps_by_key.values()
        assert len(step.done) == 1999
        assert len(list(step.tasks.known())) == 1

    @pytest.mark.parametrize(
        ('steps', 'fields'),
        [
            ([worlds.make_step(1)], {}),
            ([worlds.make_step(150)] * 2, {}),
            ([worlds.make_step(1)] * 100, {}),
            (LARGEST_JOB, {}),
            (
                [worlds.make_step(18), worlds.make_step(3)],
                {'repetitions': 950, 'first_due_unix_s': 1.0},
            ),
        ],
    )
    def test_the_estimate_covers_what_a_job_occupies(
        self, steps: list[specs.StepSpec], fields: dict[str, object]
    ) -> None:
        spec = worlds.make_job(1, steps, **fields).spec
        assert spec is not None
        assert measured_bytes(steps, 5, **fields) <= memory.job_bytes(spec)


class TestBudget:
    """Guards against one customer whose jobs leave no room for others."""

    def test_one_customer_occupies_half_at_most(self) -> None:
        budget = memory.Budget(LIMIT)
        while budget.may_add(LARGE, 1000):
            budget.change(LARGE, 1000)
        assert budget.free_bytes >= LIMIT / 2
        assert budget.may_add(SMALL, 1000)

    def test_runs_count_as_well(self) -> None:
        budget = memory.Budget(LIMIT)
        left = budget.runs_left(LARGE)
        budget.change(LARGE, left * memory.RUN_BYTES)
        assert budget.runs_left(LARGE) == 0
        assert budget.runs_left(SMALL) > 0

    def test_without_a_limit_all_fits(self) -> None:
        assert memory.Budget(float('inf')).may_add(LARGE, 10**12)


class TestAdmission:
    """Guards against entries that together accept more than there is room."""

    def test_an_entry_accepts_its_part_until_it_hears_again(self) -> None:
        entry = memory.Admission()
        entry.update(memory.Room(LIMIT, LIMIT // 10, {}))
        accepted = 0
        while entry.admit(SMALL, 1000):
            accepted += 1000
        assert accepted <= LIMIT // 10
        entry.update(memory.Room(LIMIT, LIMIT // 10, {}))
        assert entry.admit(SMALL, 1000)

    def test_it_refuses_the_customer_who_takes_the_most(self) -> None:
        entry = memory.Admission()
        entry.update(memory.Room(LIMIT, LIMIT, {LARGE: LIMIT}))
        assert not entry.admit(LARGE, 1000)
        assert entry.admit(SMALL, 1000)

    def test_it_accepts_a_large_job_where_all_is_free(self) -> None:
        entry = memory.Admission()
        entry.update(memory.Room(LIMIT, LIMIT // 50, {}))
        assert entry.admit(SMALL, LIMIT // 10)
        assert not entry.admit(SMALL, 1000)


class TestDeferredJobs:
    """Guards against a store that holds more than the next holder's memory."""

    def loaded(self) -> tuple[schedulers.FleetScheduler, list[model.JobId]]:
        """Return a holder with half of the jobs of a customer in memory."""
        scheduler = schedulers.FleetScheduler(
            0.0,
            1,
            worlds.make_configuration(),
            worlds.LEASE_S,
            memory_bytes=40 * memory.JOB_BYTES,
        )
        for number in range(1, 61):
            record = worlds.make_job(number, customer=LARGE)
            scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, record, None)
        return scheduler, list(scheduler.jobs.active_by_id)

    def test_the_jobs_of_others_are_loaded(self) -> None:
        scheduler, _ = self.loaded()
        assert scheduler.jobs.deferred_count() > 0
        record = worlds.make_job(99, customer=SMALL)
        scheduler.load_job(0.0, worlds.UNIX_AT_ZERO_S, record, None)
        assert record.job_id in scheduler.jobs.active_by_id

    def test_they_count_as_waiting(self) -> None:
        scheduler, _ = self.loaded()
        assert sum(scheduler.jobs.waiting_by_queue().values()) == 60

    def test_they_are_loaded_when_others_have_ended(self) -> None:
        scheduler, active = self.loaded()
        assert scheduler.jobs.next_deferred() == []
        for job_id in active:
            scheduler.cancel(1.0, job_id)
        (following, *_) = scheduler.jobs.next_deferred()
        record = worlds.make_job(int(following, 16), customer=LARGE)
        scheduler.load_deferred(1.0, worlds.UNIX_AT_ZERO_S, record)
        assert following in scheduler.jobs.active_by_id

    def test_a_cancelled_one_is_loaded_and_ends(self) -> None:
        scheduler, _ = self.loaded()
        last = model.JobId(f'{60:016x}')
        assert scheduler.jobs.cancel_deferred(last)
        assert scheduler.jobs.next_deferred() == [last]
        scheduler.load_deferred(
            1.0, worlds.UNIX_AT_ZERO_S, worlds.make_job(60, customer=LARGE)
        )
        assert last not in scheduler.jobs.active_by_id
        assert not scheduler.jobs.may_accept(last)

    def test_a_notice_adds_none_of_them_twice(self) -> None:
        scheduler, _ = self.loaded()
        record = worlds.make_job(60, customer=LARGE)
        assert not scheduler.accept_job(1.0, worlds.UNIX_AT_ZERO_S, record)
        assert sum(scheduler.jobs.waiting_by_queue().values()) == 60

    def test_entries_accept_no_others_of_their_customer(self) -> None:
        scheduler, _ = self.loaded()
        jobs = scheduler.jobs
        room = jobs.budget.room(3, jobs.deferring_customers())
        assert room is not None
        entry = memory.Admission()
        entry.update(room)
        assert not entry.admit(LARGE, 1)
        assert entry.admit(SMALL, memory.JOB_BYTES)
