"""Rows of the progress of very wide jobs."""

import hypothesis
from hypothesis import strategies

from samphirestack.fleet import job_limits
from samphirestack.fleet import job_tracker
from samphirestack.fleet import progress_rows
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

STEPS = strategies.sampled_from(['0.0', '0.1', '17.2'])
INDEXES = strategies.integers(0, 9999)
KEYS = strategies.builds('{}.{}'.format, STEPS, INDEXES)
RUNS = strategies.integers(1, 5000)
BASE64_FACTOR = 4 / 3
NARROW_LINK_BYTES = 5_000_000 / 8 * 0.45
"""What a link of 5 Mbit/s carries in half of the time for a write."""


def as_sets(progress: records.JobProgress) -> tuple[object, ...]:
    """Return the progress without the order of its lists."""
    return (
        {
            step: sorted(indexes)
            for step, indexes in progress.done_by_step.items()
        },
        {
            key: sorted(runs)
            for key, runs in progress.failed_runs_by_task.items()
        },
        progress.placed_by_task,
        progress.copies_by_task,
        progress.completed_before,
    )


class TestGroupedRows:
    """Guards against progress that a takeover reads differently."""

    @hypothesis.settings(
        derandomize=True,
        max_examples=60,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    @hypothesis.given(
        strategies.dictionaries(
            STEPS, strategies.lists(INDEXES, unique=True, min_size=1)
        ),
        strategies.dictionaries(
            KEYS, strategies.lists(RUNS, unique=True, min_size=1)
        ),
        strategies.dictionaries(
            KEYS,
            strategies.tuples(RUNS, strategies.sampled_from(['w1', 'w2'])),
        ),
        strategies.dictionaries(
            KEYS,
            strategies.tuples(RUNS, strategies.sampled_from(['w3', 'w4'])),
        ),
    )
    def test_the_progress_is_read_back(
        self,
        done: dict[str, list[int]],
        failed: dict[str, list[int]],
        placed: dict[str, tuple[int, str]],
        copies: dict[str, tuple[int, str]],
    ) -> None:
        # The indexes in a row of its own make the row large enough.
        progress = records.JobProgress(
            done_by_step={**done, '99.0': list(range(0, 40_000, 3))},
            failed_runs_by_task=failed,
            placed_by_task=placed,
            copies_by_task=copies,
            completed_before=7,
        )
        row = progress_rows.encode(progress)
        assert records.decode_progress(row).grouped is not None
        assert as_sets(progress_rows.decode(row)) == as_sets(progress)

    def test_small_progress_stays_readable_for_older_entries(self) -> None:
        progress = records.JobProgress(
            {'0.0': [1, 2]}, {}, {}, {'0.0.3': (5, 'w')}
        )
        row = progress_rows.encode(progress)
        assert records.decode_progress(row) == progress


class TestWideJobs:
    """Guards against a row that the store refuses over and over."""

    def test_a_job_of_six_thousand_tasks_fits(self) -> None:
        world = worlds.World(
            [
                worlds.make_worker(f'worker-of-the-fleet-{number}', 64_000)
                for number in range(200)
            ]
        )
        step = worlds.make_step(6000, size=model.Resources(1000, 1))
        world.accept(0.0, worlds.make_job(1, [step]))
        assert len(world.plan_starts(0.1)) == 6000
        for put in world.scheduler.collect_changes().puts:
            assert len(put.value) <= records.MAX_ROW_BYTES

    def test_the_widest_scattered_progress_fits(self) -> None:
        placed = progress_rows.MAX_PLACED_TASKS
        progress = records.JobProgress(
            {'0.1': list(range(0, job_limits.MAX_TASKS - placed, 2))},
            {},
            {},
            {
                f'0.0.{index}': (4001, f'worker-of-the-fleet-{index % 300}')
                for index in range(placed)
            },
        )
        row = progress_rows.encode(progress)
        assert len(row) <= records.MAX_ROW_BYTES

    def test_no_more_tasks_are_placed_than_a_row_can_name(self) -> None:
        world = worlds.World([worlds.make_worker('w', 10**8, 10**8)])
        steps = [worlds.make_step(9000), worlds.make_step(9000)]
        world.accept(0.0, worlds.make_job(1, steps))
        starts = world.plan_starts(0.1)
        assert 9000 < len(starts) <= progress_rows.MAX_PLACED_TASKS
        (put,) = world.scheduler.collect_changes().puts
        assert len(put.value) <= records.MAX_ROW_BYTES

    def test_scattered_tasks_of_many_occurrences_fit(self) -> None:
        world = worlds.World(
            [worlds.make_worker(f'worker-{number}') for number in range(600)]
        )
        step = worlds.make_step(
            20, size=model.Resources(100, 1), max_per_worker=1
        )
        record = worlds.make_job(
            1,
            [step],
            repetitions=5000,
            interval_s=1.0,
            first_due_unix_s=worlds.UNIX_AT_ZERO_S - 900_000,
        )
        world.accept(0.0, record)
        for now in (0.1, 0.2, 0.3):
            assert world.start_all(now) or now > 0.1
        (put,) = world.scheduler.collect_changes().puts
        assert len(put.value) <= records.MAX_ROW_BYTES

    def test_the_crashes_of_a_wide_job_exceed_no_limit(self) -> None:
        crash = records.TaskCrash(model.WorkerId('worker-of-the-fleet'), True)
        progress = records.JobProgress(
            crashes_by_task={
                f'0.0.{index}': {4001: crash} for index in range(4000)
            }
        )
        row = progress_rows.encode(progress)
        assert len(row) <= records.MAX_ROW_BYTES

    def test_a_job_above_the_limit_harms_no_others(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        large = world.accept(0.0, worlds.make_job(1))
        other = world.accept(0.0, worlds.make_job(2))
        assert len(world.plan_starts(0.1)) == 2
        job = world.scheduler.jobs.active_by_id[large]
        job.progress.done_by_step = {
            f'{number}.0': [0] for number in range(9000)
        }
        changes = world.scheduler.collect_changes()
        assert [put.key for put in changes.puts] == [other]
        assert world.scheduler.jobs.oversized_ids == [large]
        assert large not in world.scheduler.jobs.active_by_id

    def test_large_rows_are_spread_over_transactions(self) -> None:
        world = worlds.World(
            [
                worlds.make_worker(f'worker-{number}', 300_000, 300_000)
                for number in range(120)
            ]
        )
        for number in range(60):
            step = worlds.make_step(600, size=model.Resources(1000, 1))
            world.accept(0.0, worlds.make_job(number + 1, [step]))
        world.plan_starts(0.1)
        stored: set[model.JobId] = set()
        while world.scheduler.jobs.has_changes:
            changes = world.scheduler.collect_changes()
            size = sum(len(put.value) for put in changes.puts)
            assert size <= job_tracker.MAX_BYTES + records.MAX_ROW_BYTES
            stored.update(changes.job_ids)
        assert len(stored) == 60

    def test_a_renewal_with_large_rows_passes_a_narrow_link(self) -> None:
        workers = [
            worlds.make_worker(f'worker-{number}', 300_000, 300_000)
            for number in range(120)
        ]
        world = worlds.World(workers)
        for number in range(60):
            step = worlds.make_step(600, size=model.Resources(1000, 1))
            world.accept(0.0, worlds.make_job(number + 1, [step]))
        world.plan_starts(0.1)
        while world.scheduler.jobs.has_changes:
            changes = world.scheduler.collect_changes()
            size = sum(len(put.value) for put in changes.puts)
            assert size * BASE64_FACTOR <= NARROW_LINK_BYTES

    def test_a_takeover_knows_the_placements(self) -> None:
        workers = [
            worlds.make_worker(f'worker-of-the-fleet-{number}', 64_000)
            for number in range(100)
        ]
        world = worlds.World(workers)
        step = worlds.make_step(6000, size=model.Resources(1000, 1))
        record = worlds.make_job(1, [step])
        world.accept(0.0, record)
        world.plan_starts(0.1)
        (put,) = world.scheduler.collect_changes().puts
        successor = worlds.World(workers)
        successor.scheduler.load_job(
            1.0,
            worlds.UNIX_AT_ZERO_S,
            record,
            progress_rows.decode(put.value),
        )
        assert successor.plan_starts(1.1) == []
        job = successor.scheduler.jobs.active_by_id[record.job_id]
        assert job.state is specs.JobState.RUNNING
