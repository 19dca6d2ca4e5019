"""Tests of jobs at the entry that accepts and cancels them."""

import msgspec
import pytest

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import entry_world
from samphirestackd.dispatch import jobs

JOB_ID = model.JobId(f'{entry_world.ZONE}{jobs.ID_SEPARATOR}1')
KEY = f'{entry_world.ZONE}/{JOB_ID}'


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> entry_world.World:
    monkeypatch.setattr(jobs, 'CANCEL_PAUSE_S', 0.001)
    world = entry_world.World()
    job = model.Job(
        JOB_ID, 'work', 'a', model.JobKind.BATCH, 1, model.Resources(1000),
        1.0, True, entry_world.ZONE, 0.0,
    )  # fmt: skip
    _store(world, model.JobRecord(job, model.JobState.RUNNING))
    return world


def _store(world: entry_world.World, record: model.JobRecord) -> None:
    old = world.table.rows.get(('jobs', KEY))
    version = 1 if old is None else old.version + 1
    row = platform.Row(KEY, model.job_to_row(record), version)
    world.table.rows['jobs', KEY] = row


def _stored(world: entry_world.World) -> model.JobRecord:
    return model.job_from_row(world.table.rows['jobs', KEY].value)


class TestCancellation:
    """An acknowledged cancellation survives the leader that was told."""

    async def test_cancellation_is_stored_if_the_leader_does_not_act(
        self, world: entry_world.World
    ) -> None:
        """Guards against a job that runs on after its cancellation."""
        record = await jobs.JobManager(world.context).cancel(JOB_ID, 'a')
        assert record.state is model.JobState.CANCELLED
        assert _stored(world) == record

    async def test_the_leader_is_told_first_and_writes_in_batches(
        self, world: entry_world.World
    ) -> None:
        """Guards against a write of the entry for each job of a wave."""
        final = msgspec.structs.replace(
            _stored(world), state=model.JobState.CANCELLED, reason='by leader'
        )

        def cancel(to: model.VmId, message: messages.AnyMessage) -> None:
            assert message == messages.JobWork(JOB_ID, cancel=True)
            _store(world, final)

        world.links.on_send = cancel
        record = await jobs.JobManager(world.context).cancel(JOB_ID, 'a')
        assert record == final
        assert world.table.rows['jobs', KEY].version == 2

    async def test_result_that_is_written_meanwhile_is_kept(
        self, world: entry_world.World
    ) -> None:
        """Guards against a cancellation that overwrites a final row."""
        final = msgspec.structs.replace(
            _stored(world), state=model.JobState.SUCCEEDED
        )
        transact = world.table.transact

        async def transact_late(writes: list[platform.Write]) -> list[int]:
            _store(world, final)
            return await transact(writes)

        world.table.transact = transact_late
        record = await jobs.JobManager(world.context).cancel(JOB_ID, 'a')
        assert record == final
        assert _stored(world) == final

    async def test_cancellation_that_is_not_stored_is_not_acknowledged(
        self, world: entry_world.World
    ) -> None:
        """Guards against an answer that the store does not confirm."""
        world.table.faults = [errors.OutcomeUnknown('no answer')] * 100
        with pytest.raises(errors.OutcomeUnknown):
            await jobs.JobManager(world.context).cancel(JOB_ID, 'a')
