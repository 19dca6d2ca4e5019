"""Tests of idempotency rows, job rows and home zones."""

import asyncio

import pytest

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestack_testing import entry_world as fakes
from samphirestackd import dispatch
from samphirestackd.dispatch import attempts
from samphirestackd.dispatch import dispatcher
from samphirestackd.dispatch import jobs
from samphirestackd.dispatch import sizes

ROW = ('idempotency', 'a/k1')
BROKEN = errors.UpstreamFailed('broke off')


def _create_entry(world: fakes.World) -> dispatcher.Dispatcher:
    return dispatch.create(world.context, fakes.FAST)


@pytest.fixture
def world() -> fakes.World:
    created = fakes.World()
    created.grant_always()
    return created


async def _expect_error(entry: dispatcher.Dispatcher, call: object) -> object:
    with pytest.raises(errors.SamphireError) as caught:
        await entry.submit(call)
    return caught.value


class TestIdempotencyKey:
    """A caller may resend under a key at any entry."""

    async def test_resend_at_another_entry_gets_the_stored_answer(
        self, world: fakes.World
    ) -> None:
        # Guards against a second run after a broken caller connection.
        world.upstreams.outcomes = [b'\xff\x00']
        for name in ('r1', 'r2'):
            call = world.call(idempotency_key='k1', request_id=name)
            answer = await _create_entry(world).submit(call)
            assert (answer.request_id, answer.body) == (name, b'\xff\x00')
        assert len(world.upstreams.sent) == 1

    async def test_resend_without_outcome_is_refused(
        self, world: fakes.World
    ) -> None:
        # Guards against a second run when the first may have run.
        world.upstreams.outcomes = [BROKEN]
        for name in ('r1', 'r2'):
            call = world.call(idempotency_key='k1', request_id=name)
            error = await _expect_error(_create_entry(world), call)
            assert error.verdict is verdicts.Verdict.MAY_HAVE_RUN
        assert len(world.upstreams.sent) == 1

    async def test_row_is_written_before_sending(
        self, world: fakes.World
    ) -> None:
        # Guards against a crash between sending and writing.
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate]
        call = world.call(idempotency_key='k1')
        task = asyncio.create_task(_create_entry(world).submit(call))
        await world.upstreams.arrived.wait()
        assert world.table.rows[ROW].value['done'] is False
        gate.set()
        await task
        assert world.table.rows[ROW].value['done'] is True

    async def test_row_of_a_request_that_has_not_run_is_removed(
        self, world: fakes.World
    ) -> None:
        # Guards against a resend that is refused although nothing ran.
        world.upstreams.outcomes = [errors.UpstreamRefused('no')] * 8
        entry = _create_entry(world)
        error = await _expect_error(entry, world.call(idempotency_key='k1'))
        assert error.verdict is verdicts.Verdict.NOT_RUN
        await entry.drain()
        assert ROW not in world.table.rows

    async def test_table_outage_refuses_as_not_run(
        self, world: fakes.World
    ) -> None:
        # Guards against sending without the row that protects it.
        world.table.down = True
        error = await _expect_error(
            _create_entry(world), world.call(idempotency_key='k1')
        )
        assert error.code == 'store_unavailable'
        assert error.verdict is verdicts.Verdict.NOT_RUN
        assert not world.upstreams.sent

    async def test_insert_with_lost_response_is_read_back(
        self, world: fakes.World
    ) -> None:
        # Guards against mistaking the own row for that of another sender.
        world.table.lost_responses = 1
        await _create_entry(world).submit(world.call(idempotency_key='k1'))
        assert world.table.rows[ROW].value['done'] is True

    async def test_slow_insert_releases_the_slot_in_time(
        self, world: fakes.World, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against sending after the leader has revoked the grant.
        monkeypatch.setattr(attempts, 'PREPARE_TIMEOUT_S', 0.01)
        monkeypatch.setattr(
            world.table, 'transact', lambda writes: asyncio.Event().wait()
        )
        error = await _expect_error(
            _create_entry(world), world.call(idempotency_key='k1')
        )
        assert error.code == 'store_unavailable'
        assert error.verdict is verdicts.Verdict.NOT_RUN
        (release,) = world.links.of(messages.Release)
        assert release.verdict is verdicts.Verdict.NOT_RUN

    async def test_insert_that_never_happened_is_repeated(
        self, world: fakes.World
    ) -> None:
        # Guards against sending without a row after a lost write.
        world.table.faults = [errors.OutcomeUnknown('lost')]
        await _create_entry(world).submit(world.call(idempotency_key='k1'))
        assert world.table.rows[ROW].value['done'] is True

    async def test_two_senders_at_once_run_once(
        self, world: fakes.World
    ) -> None:
        # Guards against a race between a resend and the first send.
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate]
        first = asyncio.create_task(
            _create_entry(world).submit(world.call(idempotency_key='k1'))
        )
        await world.upstreams.arrived.wait()
        call = world.call(idempotency_key='k1', request_id='r2')
        error = await _expect_error(_create_entry(world), call)
        assert error.code == 'already_dispatched'
        gate.set()
        await first
        assert len(world.upstreams.sent) == 1

    async def test_key_of_another_request_is_refused(
        self, world: fakes.World
    ) -> None:
        # Guards against answering one request with another's answer.
        entry = _create_entry(world)
        await entry.submit(world.call(idempotency_key='k1'))
        call = world.call(
            idempotency_key='k1', request_id='r2', body=b'{"x":1}'
        )
        assert (await _expect_error(entry, call)).code == 'bad_request'


def _job(world: fakes.World, **changes: object) -> jobs.JobRequest:
    values = {
        'queue': world.current.queues_by_id['work'],
        'team': 'a',
        'kind': model.JobKind.BATCH,
        'tasks': 2,
        'resources': model.Resources(1000, 100),
        'run_time_s': 1.0,
        'idempotent': True,
    }
    return jobs.JobRequest(**(values | changes))


class TestJobs:
    """A job is accepted once its row is in the table."""

    async def test_row_exists_before_the_leader_is_notified(
        self, world: fakes.World
    ) -> None:
        # Guards against an accepted job without a row.
        job_id = await _create_entry(world).jobs.submit(_job(world))
        row = world.table.rows['jobs', f'arree/{job_id}']
        assert row.value['job']['job_id'] == job_id
        (work,) = world.links.of(messages.JobWork, fakes.LEADER)
        assert work.job_id == job_id

    @pytest.mark.parametrize('written', [True, False])
    async def test_lost_response_leads_to_one_row(
        self, world: fakes.World, written: bool
    ) -> None:
        # Guards against a job that is inserted twice or not at all.
        if written:
            world.table.lost_responses = 1
        else:
            world.table.faults = [errors.OutcomeUnknown('lost')]
        await _create_entry(world).jobs.submit(_job(world))
        assert len(world.table.rows) == 1

    async def test_outage_accepts_nothing(self, world: fakes.World) -> None:
        # Guards against a job id without a job.
        world.table.down = True
        with pytest.raises(errors.StoreUnavailable):
            await _create_entry(world).jobs.submit(_job(world))

    async def test_job_of_another_team_is_not_found(
        self, world: fakes.World
    ) -> None:
        # Guards against a team that reads the jobs of another.
        manager = _create_entry(world).jobs
        job_id = await manager.submit(_job(world))
        with pytest.raises(errors.NotFound):
            await manager.find(job_id, 'b')
        assert (await manager.find(job_id, 'a')).job.team == 'a'

    async def test_wait_ends_with_the_job(self, world: fakes.World) -> None:
        # Guards against a wait that misses the end of a job.
        manager = _create_entry(world).jobs
        job_id = await manager.submit(_job(world))
        task = asyncio.create_task(manager.wait(job_id, 'a', 5.0))
        await asyncio.sleep(0)
        row = world.table.rows['jobs', f'arree/{job_id}']
        row.value['state'] = 'succeeded'
        row.value['ended'] = {'0': 'succeeded'}
        record = await task
        assert record.state is model.JobState.SUCCEEDED
        assert record.ended == {0: model.TaskState.SUCCEEDED}

    async def test_malformed_row_does_not_hide_other_jobs(
        self, world: fakes.World
    ) -> None:
        # Guards against a scan that fails because of one malformed row.
        manager = _create_entry(world).jobs
        job_id = await manager.submit(_job(world))
        bad = platform.Row('arree/arree--bad', {'job': 1}, 1)
        world.table.rows['jobs', bad.key] = bad
        found = await manager.scan(fakes.ZONE)
        assert [record.job.job_id for record in found] == [job_id]
        with pytest.raises(errors.SamphireError):
            await manager.find('arree--bad', None)

    async def test_cancel_without_leader_fails(
        self, world: fakes.World
    ) -> None:
        # Guards against reporting a cancellation that no leader received.
        manager = _create_entry(world).jobs
        job_id = await manager.submit(_job(world))
        world.leaders.set(fakes.ZONE, None)
        with pytest.raises(errors.NoLeader):
            await manager.cancel(job_id, 'a')


class TestSizes:
    """A job that can never run is refused at once."""

    @pytest.mark.parametrize(
        ('kind', 'tasks', 'cores', 'zone'),
        [
            (model.JobKind.BATCH, 100, 4, 'arree'),
            (model.JobKind.GANG, 2, 4, 'arree'),
            (model.JobKind.GANG, 3, 4, 'menez'),
            (model.JobKind.BATCH, 1, 8, 'menez'),
            (model.JobKind.GANG, 5, 4, None),
            (model.JobKind.BATCH, 1, 9, None),
        ],
    )
    def test_home_zone(
        self, kind: model.JobKind, tasks: int, cores: int, zone: str | None
    ) -> None:
        # Guards against jobs that wait forever, and against refusing work
        # that another zone could run.
        vms = {
            name: model.Vm(
                name,
                '',
                model.VmRole.WORKER,
                name[:5],
                capacity=model.Resources(size, 1000),
            )
            for name, size in (
                ('arree-w1', 4000),
                ('arree-w2', 4000),
                ('menez-w1', 8000),
                ('menez-w2', 8000),
            )
        }

        def home(limit: configuration.Limit) -> str:
            resources = model.Resources(cores * 1000, 10)
            return sizes.choose_home_zone(
                kind, tasks, resources, 'arree', vms, limit
            )

        if zone is None:
            with pytest.raises(errors.ImpossibleSize):
                home(configuration.Limit())
            return
        assert home(configuration.Limit()) == zone
        with pytest.raises(errors.ImpossibleSize):
            home(configuration.Limit(millicores=cores * 1000 - 1))

    @pytest.mark.parametrize(
        ('size', 'evacuated', 'zone'),
        [
            (1000, [], 'arree'),
            (1000, ['arree'], 'menez'),
            (1000, ['arree', 'menez'], 'arree'),
            (8000, ['menez'], 'menez'),
        ],
    )
    def test_an_evacuated_zone_is_the_last_choice(
        self, size: int, evacuated: list[str], zone: str
    ) -> None:
        # Guards against new jobs that wait until a zone is readmitted.
        vms = {
            name: model.Vm(
                name,
                '',
                model.VmRole.WORKER,
                name[:5],
                capacity=model.Resources(capacity, 1000),
            )
            for name, capacity in (('arree-w1', 4000), ('menez-w1', 8000))
        }
        home = sizes.choose_home_zone(
            model.JobKind.BATCH,
            1,
            model.Resources(size, 10),
            'arree',
            vms,
            configuration.Limit(),
            evacuated,
        )
        assert home == zone
