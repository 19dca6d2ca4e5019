"""Rows of the progress of very wide jobs."""

from collections.abc import Iterator
import random
from typing import Any

import hypothesis
from hypothesis import strategies

from samphirestack.fleet import job_limits
from samphirestack.fleet import job_tracker
from samphirestack.fleet import ports
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


def collected_puts(world: worlds.World) -> Iterator[ports.Put]:
    """Yield the rows that are written until nothing is left to store."""
    while world.scheduler.jobs.has_changes:
        yield from world.store_changes().puts


def largest_row(world: worlds.World) -> int:
    return max(len(put.value) for put in collected_puts(world))


def stored_rows(world: worlds.World) -> dict[int, records.JobProgress]:
    """Return the rows of the only job, by number."""
    return {
        progress_rows.parse_key(put.key).number: progress_rows.decode(
            put.value
        )
        for put in collected_puts(world)
    }


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
        assert largest_row(world) <= records.MAX_ROW_BYTES

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
        assert largest_row(world) <= records.MAX_ROW_BYTES

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
        job.progress.main.done_by_step = {
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
            stored.update(key.job_id for key in changes.row_keys)
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
        rows = stored_rows(world)
        successor = worlds.World(workers)
        successor.scheduler.load_job(
            1.0, worlds.UNIX_AT_ZERO_S, record, rows.pop(0), rows
        )
        assert successor.plan_starts(1.1) == []
        job = successor.scheduler.jobs.active_by_id[record.job_id]
        assert job.state is specs.JobState.RUNNING


class TestRowsOfAJob:
    """Guards against a row that grows beyond the limit as its job goes on.

    Its job would stand still, and the next holder would start again what the
    workers were told to forget.
    """

    def test_a_late_scheduled_job_with_failures_fits(self) -> None:
        # 950 occurrences are due at once; some tasks fail, and long ones
        # keep all of them open.
        draw = random.Random(1)
        workers = [worlds.make_worker(f'worker-{n}', 600) for n in range(60)]
        world = worlds.World(workers)
        for worker in workers:
            world.report(0.1, worker.worker_id)
        tiny = model.Resources(1, 1)
        job_id = world.accept(
            0.0,
            worlds.make_job(
                1,
                [
                    worlds.make_step(18, size=tiny),
                    worlds.make_step(3, size=tiny, max_per_worker=1),
                ],
                repetitions=950,
                interval_s=1.0,
                first_due_unix_s=worlds.UNIX_AT_ZERO_S - 950.0,
            ),
        )
        last_ends = dict.fromkeys(world.scheduler.workers_by_id, 0)
        for now in map(float, range(1, 16)):
            ends_by_worker: dict[model.WorkerId, list[Any]] = {}
            for start in world.start_all(now):
                _, _, step, _ = start.order.task_id.split('.')
                if step == '1':
                    continue
                fails = start.order.run < 3 and draw.random() < 0.5
                worker_id = start.worker.worker_id
                last_ends[worker_id] += 1
                ends_by_worker.setdefault(worker_id, []).append(
                    (
                        last_ends[worker_id],
                        start.order.task_id,
                        start.order.run,
                        specs.EndReason.FAILED
                        if fails
                        else specs.EndReason.DONE,
                    )
                )
            for worker_id, ends in ends_by_worker.items():
                world.report(now + 0.5, worker_id, ended=ends)
            for put in collected_puts(world):
                assert len(put.value) <= records.MAX_ROW_BYTES
        assert job_id in world.scheduler.jobs.active_by_id

    def test_the_largest_progress_of_a_full_row_fits(self) -> None:
        step = worlds.make_step(10_000)
        max_attempts = 5
        rows = progress_rows.Rows(
            specs.JobSpec('', (step, step)), max_attempts
        )
        worker_ids = ['w' * 199 + str(number) for number in range(10)]
        row = records.JobProgress()
        index = 0
        while rows.number_of(999_999, 1, index) == rows.number_of(
            999_999, 1, 0
        ):
            key = f'999999.1.{9000 + index}'
            row.done_by_step.setdefault('999999.1', []).append(9000 + index)
            row.failed_runs_by_task[key] = [
                10**9 + 2 * run for run in range(max_attempts - 1)
            ]
            row.placed_by_task[key] = (10**9, worker_ids[index % 10])
            row.copies_by_task[key] = (10**9 + 1, worker_ids[-index % 10])
            index += 1
        assert index > 50
        assert len(records.encode(row)) <= records.MAX_ROW_BYTES

    def test_an_end_that_no_row_holds_is_not_acknowledged(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        world.report(0.1, 'w')
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.2)
        world.store_changes(0.3)
        world.report(
            1.0,
            'w',
            ended=[
                (
                    1,
                    start.order.task_id,
                    start.order.run,
                    specs.EndReason.STOPPED,
                )
            ],
        )
        job = world.scheduler.jobs.active_by_id[job_id]
        job.progress.main.done_by_step = {
            f'{number}.0': [0] for number in range(9000)
        }
        world.store_changes(1.1)
        world.store_changes(1.2)
        worker = world.scheduler.workers_by_id[start.worker.worker_id]
        assert worker.last_stored_end == 0

    def test_the_next_holder_starts_no_done_task_of_any_row(self) -> None:
        workers = [worlds.make_worker('w', 10**9, 10**9)]
        world = worlds.World(workers)
        world.report(0.1, 'w')
        record = worlds.make_job(1, [worlds.make_step(1000)])
        world.accept(0.0, record)
        starts = world.start_all(0.2)
        done = starts[::2]
        world.report(
            1.0,
            'w',
            [(start.order.task_id, start.order.run) for start in starts[1::2]],
            [
                (
                    number,
                    start.order.task_id,
                    start.order.run,
                    specs.EndReason.DONE,
                )
                for number, start in enumerate(done, 1)
            ],
        )
        rows = stored_rows(world)
        assert len(rows) > 1
        successor = worlds.World(workers)
        successor.scheduler.load_job(
            2.0, worlds.UNIX_AT_ZERO_S, record, rows.pop(0), rows
        )
        successor.report(2.1, 'w')
        started = {start.order.task_id for start in successor.plan_starts(2.2)}
        assert started == {start.order.task_id for start in starts[1::2]}

    def test_a_row_of_an_earlier_version_is_parted(self) -> None:
        record = worlds.make_job(1, [worlds.make_step(1000)])
        main = records.JobProgress({'0.0': list(range(500))})
        stored = records.JobProgress({'0.0': [998, 999]})
        world = worlds.World([])
        rows = progress_rows.Rows(record.spec, 3)  # type: ignore[arg-type]
        last = rows.number_of(0, 0, 999)
        world.scheduler.load_job(
            0.0, worlds.UNIX_AT_ZERO_S, record, main, {last: stored}
        )
        (job,) = world.scheduler.jobs.active_by_id.values()
        assert len(job.steps_by_key[0, 0].done) == 502
        done = [
            index
            for row in stored_rows(world).values()
            for index in row.done_by_step.get('0.0', ())
        ]
        assert sorted(done) == list(range(500))

    def test_the_main_row_is_written_with_or_before_others(self) -> None:
        # It says what is complete, of which the others say nothing any more.
        world = worlds.World([worlds.make_worker('w', 10**9, 10**9)])
        world.report(0.1, 'w')
        job_id = world.accept(
            0.0, worlds.make_job(1, [worlds.make_step(1000)])
        )
        world.start_all(0.2)
        list(collected_puts(world))
        world.scheduler.cancel(1.0, job_id)
        changes = world.scheduler.collect_changes()
        (put,) = changes.puts
        assert put.key == job_id
        assert changes.removals
        assert all(
            removal.key.startswith(f'{job_id}/')
            for removal in changes.removals
        )
