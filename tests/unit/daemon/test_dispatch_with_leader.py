"""Tests of the dispatcher together with the real request scheduler."""

import asyncio
import time

import pytest

from samphirestack import errors
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.leader import requests
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import entry_world as fakes
from samphirestackd import dispatch


class _Leader:
    """A request scheduler that leads the zone over the fake links."""

    def __init__(self, world: fakes.World, slots: int = 2) -> None:
        self.world = world
        self.down = False
        ledger = limits.TeamLedger()
        shares = fairshare.ShareTracker()
        self.scheduler = requests.RequestScheduler(
            fakes.LEADER, fakes.ZONE, ledger, shares
        )
        now = time.monotonic()
        self.scheduler.configure(now, world.current)
        for team in world.current.teams_by_id:
            ledger.set_slice(team, world.current.teams_by_id[team].limit)
        vm = model.Vm(
            'u1',
            '10.0.0.1:80',
            model.VmRole.UPSTREAM,
            fakes.ZONE,
            service='s',
            slots=slots,
            connections=8,
        )
        self.scheduler.set_upstreams(now, [vm])
        self.slots = slots
        world.links.on_send = self._receive

    def lead(self, epoch: int, active: tuple = ()) -> None:
        now = time.monotonic()
        self.scheduler.start_term(now, model.Epoch(epoch), now)
        self.world.leaders.set(fakes.ZONE, fakes.LEADER, epoch)
        status = platform.UpstreamStatus(self.slots, active, False)
        self.scheduler.upstream_status(now + 0.001, 'u1', status)
        self.tick()

    def tick(self) -> None:
        self._deliver(self.scheduler.tick(time.monotonic() + 0.002))

    def _receive(self, to: model.VmId, message: object) -> None:
        if to == fakes.LEADER and not self.down:
            now = time.monotonic() + 0.002
            self._deliver(self.scheduler.handle(now, fakes.OWN, message))

    def _deliver(self, outgoing: list) -> None:
        for item in outgoing:
            assert item.to == fakes.OWN
            self.world.links.deliver(fakes.LEADER, item.message)

    def free(self) -> int:
        state = self.scheduler.zone_state(time.monotonic())
        return state.slots_free


class TestWithScheduler:
    """Entry and leader agree on granted and released slots."""

    async def test_all_slots_are_released(self) -> None:
        # Guards against a slot that leaks between entry and leader.
        world = fakes.World()
        entry = dispatch.create(world.context, fakes.FAST)
        leader = _Leader(world)
        leader.lead(1)
        calls = [world.call(request_id=f'r{n}') for n in range(20)]
        world.upstreams.outcomes = [errors.UpstreamRefused('no'), b'1', b'2']
        async with asyncio.timeout(5):
            await asyncio.gather(*map(entry.submit, calls))
        assert leader.free() == leader.slots

    async def test_new_term_counts_requests_in_flight(self) -> None:
        # Guards against a new leader that grants an occupied slot.
        world = fakes.World()
        entry = dispatch.create(world.context, fakes.FAST)
        leader = _Leader(world, slots=1)
        leader.lead(1)
        gate = asyncio.Event()
        world.upstreams.outcomes = [gate]
        first = asyncio.create_task(entry.submit(world.call()))
        await world.upstreams.arrived.wait()
        world.upstreams.active = (platform.ActiveRequest('r1', 'a'),)
        second = asyncio.create_task(entry.submit(world.call(request_id='r2')))
        await world.links.until(messages.RequestSlot, count=2)
        leader.lead(2, world.upstreams.active)
        assert leader.free() == 0
        gate.set()
        async with asyncio.timeout(5):
            await asyncio.gather(first, second)
        assert [name for _, name, _ in world.upstreams.sent] == ['r1', 'r2']
        assert leader.free() == 1

    async def test_resend_of_the_same_id_by_a_caller_is_served(self) -> None:
        # Guards against a leader that discards a resend as a late message.
        world = fakes.World()
        entry = dispatch.create(world.context, fakes.FAST)
        _Leader(world).lead(1)
        call = world.call(idempotent=True, deadline_s=1.0)
        for _ in range(3):
            assert (await entry.submit(call)).status == 200

    async def test_slot_request_is_resent_after_lost_messages(self) -> None:
        # Guards against a request that hangs after a lost message.
        world = fakes.World()
        entry = dispatch.create(world.context, fakes.FAST)
        leader = _Leader(world)
        leader.lead(1)
        leader.down = True
        task = asyncio.create_task(entry.submit(world.call()))
        await world.links.until(messages.RequestSlot)
        leader.down = False
        async with asyncio.timeout(5):
            assert (await task).status == 200

    async def test_retired_queue_refuses_waiting_requests(self) -> None:
        # Guards against requests that keep waiting in a retired queue.
        world = fakes.World()
        entry = dispatch.create(world.context, fakes.FAST)
        leader = _Leader(world, slots=1)
        leader.lead(1)
        world.upstreams.outcomes = [asyncio.Event()]
        world.upstreams.active = (platform.ActiveRequest('r1', 'a'),)
        first = asyncio.create_task(entry.submit(world.call()))
        await world.upstreams.arrived.wait()
        second = asyncio.create_task(entry.submit(world.call(request_id='r2')))
        await world.links.until(messages.RequestSlot, count=2)
        queues = dict(world.current.queues_by_id)
        del queues['work']
        smaller = fakes.msgspec.structs.replace(
            world.current, queues_by_id=queues
        )
        leader.scheduler.configure(time.monotonic(), smaller)
        leader.tick()
        with pytest.raises(errors.NotFound):
            await second
        first.cancel()
