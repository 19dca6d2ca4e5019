"""Tests of the controllers of tasks, workers and job rows.

Agents and the table are in-memory fakes; time is real and short.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import time

import msgspec
import pytest

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import entry_world
from samphirestack_testing import fakes
from samphirestackd import context as contexts
from samphirestackd.controllers import job_writes
from samphirestackd.controllers import tasks
from samphirestackd.controllers import worker_link
from samphirestackd import interfaces

SMALL = model.Resources(1000, 1000)
TTL_S = 0.6


class Agent:
    """A fake agent behind calls that a test can break."""

    def __init__(self, vm: model.Vm, entries: list[fakes.Entry]) -> None:
        self.fake = fakes.FakeAgent(vm, entries, collections.Counter())
        self.down = False
        self.leases = 0
        self.lost_starts = 0

    async def lease(self, *args: object) -> platform.WorkerStatus:
        self.leases += 1
        self._check()
        return self.fake.lease(time.monotonic(), *args)

    async def start(self, epoch: int, task: platform.TaskStart) -> None:
        self._check()
        plan = fakes.Plan(**task.payload)
        task = msgspec.structs.replace(task, payload=plan)
        self.fake.start(time.monotonic(), epoch, task)
        if self.lost_starts:
            self.lost_starts -= 1
            raise errors.OutcomeUnknown('no answer')

    async def stop(self, epoch: int, task_id: str) -> None:
        self._check()
        self.fake.stop(time.monotonic(), epoch, task_id)

    async def events(
        self, since: int, timeout_s: float
    ) -> list[platform.TaskEvent]:
        deadline = time.monotonic() + min(timeout_s, 0.2)
        while True:
            self._check()
            self.fake.advance(time.monotonic())
            found = self.fake.events[since:]
            if found or time.monotonic() >= deadline:
                return found
            await asyncio.sleep(0.005)

    async def usage(self) -> list[platform.Usage]:
        return []

    def _check(self) -> None:
        if self.down:
            raise errors.OutcomeUnknown('no answer')


class Table(entry_world.Table):
    """A table that takes several writes and counts final states."""

    def __init__(self) -> None:
        super().__init__()
        self.finals: collections.Counter[str] = collections.Counter()

    async def transact(self, writes: list[platform.Write]) -> list[int]:
        lost, self.lost_responses = self.lost_responses, 0
        versions = []
        for write in writes:
            versions += await super().transact([write])
            if write.value['state'] in ('succeeded', 'failed', 'cancelled'):
                self.finals[write.key] += 1
        if lost:
            self.lost_responses = lost - 1
            raise errors.OutcomeUnknown('no answer')
        return versions


class Terms:
    """Terms of this node that a test sets."""

    def __init__(self) -> None:
        self.handlers: list[Callable[[interfaces.Term | None], None]] = []
        self.fenced: list[int] = []

    def on_term(self, handler: Callable) -> None:
        self.handlers.append(handler)

    def fenced_off(self, epoch: int) -> None:
        self.fenced.append(epoch)


class Leaders(entry_world.Leaders):
    valid = True

    def is_valid_leader(self, now: float) -> bool:
        return self.valid


class TeamAccounting:
    def __init__(self) -> None:
        self.ledger = fakes.FakeLedger()
        self.shares = fakes.FakeShares()


class Zone:
    """Two workers, a table and the controller under test."""

    def __init__(self) -> None:
        world = entry_world.World()
        self.events = world.events
        self.links, self.terms, self.leaders = world.links, Terms(), Leaders()
        self.table = Table()
        self.entries: list[fakes.Entry] = []
        self.agents: dict[str, Agent] = {}
        for name in ('w1', 'w2'):
            vm = model.Vm(
                name,
                name,
                model.VmRole.WORKER,
                entry_world.ZONE,
                capacity=SMALL * 4,
            )
            world.vms.vms[name] = vm
            self.agents[name] = Agent(vm, self.entries)
        settings = world.context.settings
        timing = msgspec.structs.replace(
            settings.timing, worker_ttl_s=TTL_S, worker_renew_s=0.1
        )
        context = msgspec.structs.replace(
            world.context,
            settings=msgspec.structs.replace(settings, timing=timing),
            terms=self.terms,
            leaders=self.leaders,
            table=self.table,
            agent_at=self.agents.__getitem__,
        )
        assert isinstance(context, contexts.Context)
        self.controller = tasks.create(context, TeamAccounting())

    def lead(self, epoch: int = 1) -> None:
        now = time.monotonic()
        term = interfaces.Term(epoch, now, now + 3 * TTL_S)
        for handler in self.terms.handlers:
            handler(term)

    def submit(
        self, name: str, run_s: float = 0.01, idempotent: bool = True
    ) -> str:
        job = model.Job(
            name, 'work', 'a', model.JobKind.BATCH, 1, SMALL, 1.0, idempotent,
            entry_world.ZONE, 0.0, {'run_s': run_s},
        )  # fmt: skip
        key = f'{entry_world.ZONE}/{name}'
        value = model.job_to_row(model.JobRecord(job))
        self.table.rows['jobs', key] = platform.Row(key, value, 1)
        self.links.deliver(entry_world.OWN, messages.JobWork(name))
        return key

    def state(self, key: str) -> str:
        return self.table.rows['jobs', key].value['state']

    def starts(self) -> list[fakes.Entry]:
        running = model.TaskState.RUNNING
        return [e for e in self.entries if e.state is running]

    async def until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(10):
            # The conditions are states of fakes that announce no change.
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _running() -> AsyncIterator[Zone]:
    zone = Zone()
    task = asyncio.create_task(zone.controller.run())
    await asyncio.sleep(0)
    try:
        yield zone
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class TestRows:
    """Rows reach their final state once despite table failures."""

    async def test_job_runs_and_its_row_becomes_final(self) -> None:
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1')
            await zone.until(lambda: zone.state(key) == 'succeeded')
            assert len(zone.starts()) == 1

    async def test_lost_answers_lead_to_one_final_write(self) -> None:
        """Guards against a second final write after a lost answer."""
        async with _running() as zone:
            zone.lead()
            zone.table.lost_responses = 10
            key = zone.submit('j1')
            await zone.until(lambda: zone.state(key) == 'succeeded')
            await zone.controller.drain()
            assert zone.table.finals[key] == 1

    async def test_outage_delays_updates(self) -> None:
        """Guards against a result that is dropped with the table down."""
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1', run_s=0.2)
            await zone.until(zone.starts)
            zone.table.down = True
            ended = model.TaskState.SUCCEEDED
            await zone.until(lambda: zone.entries[-1].state is ended)
            assert zone.state(key) in ('waiting', 'running')
            zone.table.down = False
            await zone.until(lambda: zone.state(key) == 'succeeded')

    async def test_cancelled_job_is_stopped_and_written(self) -> None:
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1', run_s=60.0)
            await zone.until(zone.starts)
            cancel = messages.JobWork('j1', cancel=True)
            zone.links.deliver(entry_world.OWN, cancel)
            await zone.until(lambda: zone.state(key) == 'cancelled')
            await zone.until(
                lambda: zone.entries[-1].state is model.TaskState.STOPPED
            )

    async def test_row_is_written_before_a_start_that_counts(self) -> None:
        """Guards against a task that a later leader starts again."""
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1', run_s=60.0, idempotent=False)
            await zone.until(zone.starts)
            row = model.job_from_row(zone.table.rows['jobs', key].value)
            assert row.dispatched == {0: 1}


class TestJobWriter:
    """Updates never change a row that another writer has made final."""

    async def test_update_does_not_overwrite_a_final_row_that_was_read(
        self,
    ) -> None:
        """Guards against a cancelled job that the next leader starts again."""
        context, table = entry_world.World().context, Table()
        superseded: list[model.JobRecord] = []
        writer = job_writes.JobWriter(
            msgspec.structs.replace(context, table=table),
            job_writes.WriteCallbacks(lambda _: None, superseded.append),
        )
        job = model.Job(
            'j1', 'work', 'a', model.JobKind.BATCH, 1, SMALL, 1.0, True,
            entry_world.ZONE, 0.0,
        )  # fmt: skip
        key = f'{entry_world.ZONE}/j1'
        writer.record_version(model.JobRecord(job), 1)
        writer.enqueue(model.JobRecord(job, model.JobState.RUNNING))
        final = model.JobRecord(job, model.JobState.CANCELLED)
        row = platform.Row(key, model.job_to_row(final), 2)
        table.rows['jobs', key] = row
        writer.record_version(final, 2)
        running = asyncio.create_task(writer.run())
        await writer.flush()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert table.rows['jobs', key] == row
        assert superseded == [final]


class TestWorkers:
    """Leases are renewed, lapse and are claimed by the documented rules."""

    async def test_events_name_the_tasks_and_workers(self) -> None:
        """Guards against events that the timeline's filters miss."""
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1', run_s=0.1)
            await zone.until(lambda: zone.state(key) == 'succeeded')
            events = zone.events
            started = events.fields[events.kinds.index('task.started')]
            ended = events.fields[events.kinds.index('task.ended')]
            assert started == {
                name: ended[name] for name in ('task_id', 'worker_id')
            }
            assert ended['state'] == 'succeeded'

    async def test_only_a_leader_reports_worker_states(self) -> None:
        """Guards against a standby that hides the leader's worker states."""
        async with _running() as zone:
            assert zone.controller.worker_states() == {}
            zone.lead()
            assert set(zone.controller.worker_states()) == {'w1', 'w2'}

    async def test_silent_worker_gets_no_renewals_and_loses_its_tasks(
        self,
    ) -> None:
        """Guards against renewals that let a task run on two workers."""
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1', run_s=1.5)
            await zone.until(zone.starts)
            first = zone.agents[zone.starts()[0].worker_id]
            first.down = True
            await zone.until(
                lambda: 'silent' in zone.controller.worker_states().values()
            )
            leases = first.leases
            await zone.until(lambda: len(zone.starts()) == 2)
            assert first.leases == leases
            assert zone.starts()[1].at > zone.starts()[0].at + TTL_S
            await zone.until(lambda: zone.state(key) == 'succeeded')

    async def test_lapsed_worker_is_claimed_with_a_higher_epoch(self) -> None:
        """Guards against a worker that is lost until the next term."""
        async with _running() as zone:
            zone.lead(epoch=7)
            agent = zone.agents['w1']
            await zone.until(lambda: agent.fake.epoch == 7)
            agent.fake.expires_at = 0.0
            higher = worker_link.LAPSED_EPOCH_STEP + 7
            await zone.until(lambda: agent.fake.epoch == higher)
            assert zone.terms.fenced == []

    async def test_new_times_of_a_term_keep_started_tasks(self) -> None:
        """Guards against a reset that forgets starts of the same epoch."""
        async with _running() as zone:
            zone.lead(epoch=7)
            zone.submit('j1', run_s=60.0)
            await zone.until(zone.starts)
            leases = {n: a.leases for n, a in zone.agents.items()}
            zone.lead(epoch=7)
            running = zone.controller.explain_job('j1')
            assert '1 running' in running or '1 starting' in running
            assert {n: a.leases for n, a in zone.agents.items()} == leases

    async def test_newer_leader_is_reported(self) -> None:
        """Guards against two leaders that keep claiming the same worker."""
        async with _running() as zone:
            agent = zone.agents['w1'].fake
            agent.lease(time.monotonic(), 'other', 9, 60.0, False)
            zone.lead(epoch=7)
            await zone.until(lambda: 9 in zone.terms.fenced)
            assert agent.owner == 'other'

    async def test_invalid_leader_neither_renews_nor_starts(self) -> None:
        """Guards against a leader that acts after a pause."""
        async with _running() as zone:
            zone.lead()
            await zone.until(lambda: zone.agents['w2'].fake.epoch == 1)
            zone.leaders.valid = False
            leases = zone.agents['w2'].leases
            key = zone.submit('j1')
            agent = zone.agents['w2'].fake
            await zone.until(lambda: time.monotonic() > agent.expires_at)
            assert zone.agents['w2'].leases <= leases + 1
            assert not zone.starts()
            assert zone.state(key) == 'waiting'

    async def test_next_leader_adopts_running_tasks(self) -> None:
        """Guards against a second run after a change of leader."""
        async with _running() as zone:
            zone.lead(epoch=1)
            key = zone.submit('j1', run_s=0.8)
            await zone.until(zone.starts)
            zone.lead(epoch=2)
            await zone.until(lambda: zone.state(key) == 'succeeded')
            assert len(zone.starts()) == 1

    async def test_restarted_component_continues_its_term(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against leases that lapse after an unexpected error."""
        async with _running() as zone:
            zone.lead()
            key = zone.submit('j1', run_s=0.8)
            await zone.until(zone.starts)
            with monkeypatch.context() as broken:
                broken.setattr(zone.controller, '_may_plan', lambda: 1 // 0)
                with pytest.raises(ExceptionGroup):
                    await zone.controller.run()
            again = asyncio.create_task(zone.controller.run())
            await zone.until(lambda: zone.state(key) == 'succeeded')
            assert len(zone.starts()) == 1
            again.cancel()
            await asyncio.gather(again, return_exceptions=True)

    @pytest.mark.parametrize('idempotent', [True, False])
    async def test_start_without_answer_runs_once(
        self, idempotent: bool
    ) -> None:
        """Guards against a second start while the first one runs."""
        async with _running() as zone:
            for agent in zone.agents.values():
                agent.lost_starts = 1
            zone.lead()
            key = zone.submit('j1', run_s=0.3, idempotent=idempotent)
            await zone.until(lambda: zone.state(key) == 'succeeded')
            assert len(zone.starts()) == 1
