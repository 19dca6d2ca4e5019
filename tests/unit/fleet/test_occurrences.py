"""Occurrences of scheduled jobs."""

import msgspec

from samphirestack.fleet import occurrences
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

JOB_ID = model.JobId(f'{1:016x}')


def make_overdue_job(repetitions: int) -> records.JobRecord:
    """Return a job that was due each second since a long time."""
    return worlds.make_job(
        1,
        repetitions=repetitions,
        interval_s=1.0,
        first_due_unix_s=worlds.UNIX_AT_ZERO_S - 900_000,
    )


def complete(world: worlds.World, now: float, first_end: int) -> int:
    """Start what fits and let all of it succeed; return how many did."""
    starts = world.start_all(now)
    world.report(
        now,
        'w',
        ended=[
            (
                first_end + position,
                start.order.task_id,
                start.order.run,
                specs.EndReason.DONE,
            )
            for position, start in enumerate(starts)
        ],
    )
    return len(starts)


class TestOverdueOccurrences:
    """Guards against a job with a start in the past that fills the memory."""

    def test_a_bounded_number_is_open_at_once(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        world.accept(0.0, make_overdue_job(525_600))
        job = world.scheduler.jobs.active_by_id[JOB_ID]
        assert len(job.steps_by_key) == occurrences.MAX_OPEN

    def test_wide_occurrences_are_bounded_by_their_tasks(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        record = make_overdue_job(1000)
        assert record.spec is not None
        spec = msgspec.structs.replace(
            record.spec, steps=(worlds.make_step(5000),)
        )
        world.accept(0.0, msgspec.structs.replace(record, spec=spec))
        job = world.scheduler.jobs.active_by_id[JOB_ID]
        assert len(job.steps_by_key) == 4

    def test_those_that_are_worth_nothing_wait_behind_others(self) -> None:
        world = worlds.World([worlds.make_worker('w', 1000)])
        world.accept(0.0, make_overdue_job(100))
        other_id = world.accept(0.0, worlds.make_job(2))
        (start,) = world.plan_starts(0.1)
        assert start.order.task_id.startswith(other_id)

    def test_all_run_in_the_end(self) -> None:
        world = worlds.World([worlds.make_worker('w', 10**6, 10**6)])
        world.accept(0.0, make_overdue_job(2500))
        done = 0
        for round_number in range(10):
            done += complete(world, 1.0 + round_number, done + 1)
        assert done == 2500
        assert world.scheduler.jobs.state_of(JOB_ID) is specs.JobState.RUNNING
        changes = world.scheduler.collect_changes()
        world.scheduler.mark_stored(12.0, changes)
        assert (
            world.scheduler.jobs.state_of(JOB_ID) is specs.JobState.COMPLETED
        )


class TestProgressOfManyOccurrences:
    """Guards against a row that grows with each occurrence."""

    def test_only_recent_occurrences_are_listed(self) -> None:
        world = worlds.World([worlds.make_worker('w', 10**6, 10**6)])
        world.accept(0.0, make_overdue_job(2500))
        done = complete(world, 1.0, 1)
        rows = world.scheduler.jobs.active_by_id[JOB_ID].progress
        assert rows.main.completed_before == done - occurrences.MAX_KEPT
        listed = [
            step
            for row in rows.by_number.values()
            for step in row.done_by_step
        ]
        assert len(listed) == occurrences.MAX_KEPT

    def test_a_takeover_goes_on_after_the_completed_ones(self) -> None:
        world = worlds.World([worlds.make_worker('w', 10**6, 10**6)])
        record = make_overdue_job(2500)
        world.accept(0.0, record)
        done = complete(world, 1.0, 1)
        job = world.scheduler.jobs.active_by_id[JOB_ID]
        rows = {
            number: records.decode_progress(records.encode(row))
            for number, row in job.progress.by_number.items()
        }
        successor = worlds.World([worlds.make_worker('w', 10**6, 10**6)])
        successor.scheduler.load_job(
            2.0, worlds.UNIX_AT_ZERO_S, record, rows.pop(0), rows
        )
        restored = successor.scheduler.jobs.active_by_id[JOB_ID]
        assert restored.occurrences_done == done
        later_done = 0
        for round_number in range(10):
            later_done += complete(
                successor, 3.0 + round_number, later_done + 1
            )
        assert later_done == 2500 - done
