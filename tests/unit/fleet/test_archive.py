"""Replacement and removal of the rows of ended jobs."""

from samphirestack import errors
from samphirestack.fleet import archive as archives
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestackd.fleet import archiver
from samphirestackd.fleet import writer as writers


def ended_record(
    number: int, at: float = worlds.UNIX_AT_ZERO_S
) -> records.JobRecord:
    job = worlds.make_job(number)
    return records.JobRecord(
        job.job_id,
        job.queue,
        job.customer_id,
        job.accepted_unix_s,
        None,
        specs.JobState.COMPLETED,
        at,
    )


def numbers_in_part(part: str, count: int) -> list[int]:
    """Return numbers of jobs whose rows are in one part."""
    result = []
    number = 1
    while len(result) < count:
        if records.job_part(worlds.make_job(number).job_id) == part:
            result.append(number)
        number += 1
    return result


def finish(world: worlds.World, job_id: model.JobId, at: float) -> None:
    """Run the only task of a job."""
    (start,) = world.start_all(at)
    assert start.order.task_id.startswith(job_id)
    worker = world.scheduler.workers_by_id[start.worker.worker_id]
    world.report(
        at + 1,
        start.worker.worker_id,
        ended=[
            (
                worker.last_handled_end + 1,
                start.order.task_id,
                start.order.run,
                specs.EndReason.DONE,
            )
        ],
    )


class TestParts:
    """Guards against overloading parts of a slow store.

    A part then handles five writes per second.
    """

    def test_jobs_are_spread_over_all_parts(self) -> None:
        ids = [worlds.make_job(number).job_id for number in range(2000)]
        counts = dict.fromkeys(records.all_job_parts(), 0)
        for job_id in ids:
            counts[records.job_part(job_id)] += 1
        assert len(counts) == records.JOB_PARTS
        assert min(counts.values()) > 0
        assert max(counts.values()) < 3 * len(ids) / records.JOB_PARTS


class TestBatches:
    """Guards against a transaction for each job that ends."""

    def test_a_small_batch_is_delayed(self) -> None:
        archive = archives.Archive()
        archive.add_ended(0.0, ended_record(1))
        assert archive.next_batch(archives.MAX_WAIT_S / 2) is None
        batch = archive.next_batch(archives.MAX_WAIT_S)
        assert batch is not None
        assert [record.job_id for record in batch.ended] == [
            worlds.make_job(1).job_id
        ]
        assert archive.next_batch(2 * archives.MAX_WAIT_S) is None

    def test_a_full_batch_is_not_delayed(self) -> None:
        archive = archives.Archive()
        for number in numbers_in_part('00', archives.FULL_BATCH):
            archive.add_ended(0.0, ended_record(number))
        batch = archive.next_batch(0.0)
        assert batch is not None
        assert len(batch.ended) == archives.FULL_BATCH

    def test_a_batch_fits_into_a_transaction(self) -> None:
        archive = archives.Archive()
        for number in numbers_in_part('00', 100):
            archive.add_ended(0.0, ended_record(number))
        batch = archive.next_batch(0.0)
        assert batch is not None
        assert 2 * len(batch.ended) <= 100

    def test_a_batch_is_retried_after_a_failed_write(self) -> None:
        archive = archives.Archive()
        archive.add_expired(0.0, model.JobId('a'))
        batch = archive.next_batch(archives.MAX_WAIT_S)
        assert batch is not None
        archive.requeue_batch(20.0, batch)
        assert archive.next_batch(20.0 + archives.MAX_WAIT_S) == batch


class TestTakeover:
    """Guards against running an ended job again after a takeover."""

    def test_an_end_stored_only_in_the_progress_is_loaded(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        job = worlds.make_job(1)
        world.scheduler.load_job(
            0.0,
            worlds.UNIX_AT_ZERO_S,
            job,
            records.JobProgress(ended=ended_record(1)),
        )
        assert world.plan_starts(0.1) == []
        state = world.scheduler.jobs.state_of(job.job_id)
        assert state is specs.JobState.COMPLETED
        assert world.scheduler.jobs.archive.next_batch(60.0) is not None

    def test_progress_of_an_archived_job_is_removed(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        record = ended_record(1)
        world.scheduler.load_job(
            0.0,
            worlds.UNIX_AT_ZERO_S,
            record,
            records.JobProgress(ended=record),
        )
        changes = world.store_changes()
        assert [
            (removal.table, removal.key) for removal in changes.removals
        ] == [(records.PROGRESS_TABLE, record.job_id)]


class TestEndOfAJob:
    """Guards against a moment at which no row contains the end of a job."""

    def test_progress_is_removed_after_the_short_row_is_stored(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        job = worlds.make_job(1)
        world.accept(0.0, job)
        finish(world, job.job_id, 0.1)
        changes = world.store_changes(1.2)
        (put,) = changes.puts
        assert put.table == records.PROGRESS_TABLE
        progress = records.decode_progress(put.value)
        assert progress.ended is not None
        assert progress.ended.ended_as is specs.JobState.COMPLETED
        assert changes.removals == ()
        assert world.store_changes(1.3).removals == ()
        jobs = world.scheduler.jobs
        assert jobs.archive.next_batch(20.0) is not None
        jobs.mark_archived([job.job_id])
        (removal,) = world.store_changes(20.1).removals
        assert removal.table == records.PROGRESS_TABLE

    def test_rows_are_removed_after_the_progress(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        job = worlds.make_job(1)
        world.accept(0.0, job)
        finish(world, job.job_id, 0.1)
        world.store_changes(1.2)
        jobs = world.scheduler.jobs
        late = worlds.UNIX_AT_ZERO_S + 1000
        jobs.expire_ended(500.0, late)
        assert jobs.is_known(job.job_id)
        batch = jobs.archive.next_batch(500.0)
        assert batch is not None
        jobs.mark_archived([job.job_id])
        jobs.expire_ended(500.0, late)
        assert jobs.is_known(job.job_id)
        world.store_changes(500.1)
        jobs.expire_ended(500.2, late)
        assert not jobs.is_known(job.job_id)
        batch = jobs.archive.next_batch(600.0)
        assert batch is not None
        assert batch.expired == (job.job_id,)


class TestArchiver:
    """Guards against lost or duplicate changes when a write fails."""

    async def test_the_row_of_an_ended_job_is_replaced(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        store = row_store.MemoryRowStore()
        context = worlds.make_context(store)
        writer = writers.TermWriter(
            context,
            None,  # type: ignore[arg-type]
            world.scheduler,
            lambda changes: None,
        )
        archiving = archiver.Archiver(context, world.scheduler, writer)
        record = ended_record(1)
        jobs = world.scheduler.jobs
        jobs.add_unarchived(0.0, record)
        batch = jobs.archive.next_batch(archives.MAX_WAIT_S)
        assert batch is not None
        store.failure = errors.StoreUnavailable('broken')
        assert not await archiving.write(batch)
        assert not jobs.has_changes
        store.failure = None
        assert await archiving.write(batch)
        key = (
            records.JOBS_TABLE,
            records.job_part(record.job_id),
            record.job_id,
        )
        assert records.decode_job(store.rows_by_key[key][0]) == record
        assert jobs.has_changes
        assert writer.write_requested.is_set()
