"""Tests of the controller that drives the request scheduler."""

import asyncio
from collections.abc import AsyncIterator
import time
import types
from typing import Any

import pytest

from samphirestack import configuration as configurations
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestack_testing import entry_world as fakes
from samphirestackd.controllers import requests
from samphirestackd.controllers import team_accounting
from samphirestackd import interfaces

OWN, ENTRY = fakes.OWN, fakes.LEADER
"""Links show the second VM as a live peer of the own zone."""

TEAM = model.TeamId('a')


class _Signal:
    """Registers handlers and calls them with the values that a test sends."""

    def __init__(self) -> None:
        self.handlers: list[Any] = []

    def add(self, handler: Any) -> None:
        self.handlers.append(handler)

    def send(self, value: Any) -> None:
        for handler in self.handlers:
            handler(value)


class _World:
    """A controller in a zone with one upstream of eight slots."""

    def __init__(self) -> None:
        self.current, _ = fakes.a_configuration()
        self.links = fakes.Links()
        self.leaders = fakes.Leaders()
        self.leaders.is_valid_leader = lambda now: self.valid  # type: ignore[method-assign]
        self.leaders.set(fakes.OTHER_ZONE, fakes.OTHER_LEADER)
        self.valid = True
        self.terms, self.changes, self.listed = _Signal(), _Signal(), _Signal()
        self.upstreams = fakes.Upstreams()
        self.table = fakes.Table()
        self.accounting = team_accounting.create_accounting()
        vm = model.Vm(
            model.VmId('u1'),
            'u1:1',
            model.VmRole.UPSTREAM,
            fakes.ZONE,
            service=model.ServiceId('s'),
            slots=8,
        )
        context = types.SimpleNamespace(
            settings=fakes.a_settings(),
            clock=time.monotonic,
            links=self.links,
            view=types.SimpleNamespace(
                current=self.current,
                is_fresh=lambda now: True,
                on_change=self.changes.add,
            ),
            leaders=self.leaders,
            terms=types.SimpleNamespace(on_term=self.terms.add),
            vms=types.SimpleNamespace(
                vms_by_id=lambda: {vm.vm_id: vm}, on_vms=self.listed.add
            ),
            events=fakes.Events(),
            table=self.table,
            upstreams=self.upstreams,
        )
        self.context = context
        self.controller = requests.create(context, self.accounting)  # type: ignore[arg-type]

    def lead(self, epoch: int = 1) -> None:
        now = time.monotonic()
        self.terms.send(interfaces.Term(model.Epoch(epoch), now, now))
        self.links.deliver(ENTRY, messages.HeldReport(model.Epoch(epoch), ()))

    def ask(self, name: str, team: model.TeamId = TEAM) -> None:
        slot = messages.RequestSlot(
            model.RequestId(name),
            model.QueueId('work'),
            team,
            0.0,
            30.0,
            1,
            True,
        )
        self.links.deliver(ENTRY, slot)


@pytest.fixture
async def world() -> AsyncIterator[_World]:
    """Return a world whose controller runs until the end of the test."""
    made = _World()
    task = asyncio.create_task(made.controller.run())
    await asyncio.sleep(0)
    yield made
    task.cancel()
    await asyncio.wait([task])


class TestRequestController:
    """Guards against messages, statuses and terms that miss the scheduler."""

    async def test_request_is_granted_and_released(
        self, world: _World
    ) -> None:
        """Fails if a request or a grant is not passed on."""
        world.lead()
        world.ask('r')
        (grant,) = await world.links.until(messages.Grant, ENTRY)
        assert grant.address == 'u1:1'
        assert world.accounting.ledger.usage(TEAM).running == 1
        release = messages.Release(
            grant.grant_id, grant.request_id, verdicts.Verdict.RAN, False, 0.1
        )
        world.links.deliver(ENTRY, release)
        world.ask('next')
        await world.links.until(messages.Grant, ENTRY, 2)
        assert world.accounting.ledger.usage(TEAM).running == 1

    async def test_many_requests_use_each_slot_once(
        self, world: _World
    ) -> None:
        """Fails if a batch is lost or grants beyond the slots."""
        world.lead()
        for number in range(500):
            world.ask(f'r{number}')
        grants = await world.links.until(messages.Grant, ENTRY, 8)
        world.ask('last')
        state = await world.links.until(messages.ZoneState)
        assert len(grants) == 8
        assert state[0].teams[0].waiting == 493
        assert state[0].slots_free == 0

    async def test_running_requests_are_known_before_grants(
        self, world: _World
    ) -> None:
        """Fails if slots are granted before the upstream was asked."""
        world.upstreams.active = tuple(
            platform.ActiveRequest(model.RequestId(f'old{number}'), TEAM)
            for number in range(7)
        )
        world.lead()
        world.ask('1')
        world.ask('2')
        await world.links.until(messages.Grant, ENTRY)
        await world.links.until(messages.ZoneState)
        assert len(world.links.of(messages.Grant)) == 1
        assert world.accounting.ledger.usage(TEAM).running == 8

    async def test_messages_are_dropped_while_not_leading(
        self, world: _World
    ) -> None:
        """Fails if requests of an earlier term are granted in a later one."""
        world.ask('early')
        world.lead()
        world.ask('late')
        (grant,) = await world.links.until(messages.Grant)
        assert grant.request_id == 'late'
        world.terms.send(None)
        assert world.accounting.ledger.usages() == []

    async def test_invalid_leader_grants_nothing(self, world: _World) -> None:
        """Fails if a leader that lost its majority goes on granting."""
        world.valid = False
        world.lead()
        world.ask('r')
        await world.upstreams.until_statuses(3)
        assert world.links.of(messages.Grant) == []
        world.valid = True
        await world.links.until(messages.Grant, ENTRY)

    async def test_limited_team_waits_for_its_slice_and_others_do_not(
        self, world: _World
    ) -> None:
        """Fails if an outage of the table stops teams without a limit."""
        limited = configurations.Team(
            TEAM, limit=configurations.Limit(running=8)
        )
        world.current.teams_by_id[TEAM] = limited
        world.table.down = True
        world.changes.send(world.current)
        world.lead()
        world.ask('limited')
        world.ask('free', model.TeamId('b'))
        (grant,) = await world.links.until(messages.Grant, ENTRY)
        assert grant.request_id == 'free'

    async def test_entries_without_a_report_are_asked_again(
        self, world: _World
    ) -> None:
        """Fails if entries learn of a new leader from one message only."""
        now = time.monotonic()
        world.terms.send(interfaces.Term(model.Epoch(1), now, now))
        world.ask('r')
        asked = await world.links.until(messages.LeaderChanged, ENTRY, 2)
        assert asked[0] == messages.LeaderChanged(OWN, model.Epoch(1))
        assert world.links.of(messages.Grant) == []
        report = messages.HeldReport(model.Epoch(1), ())
        world.links.deliver(ENTRY, report)
        await world.links.until(messages.Grant, ENTRY)

    async def test_usage_of_other_zones_counts_for_shares(
        self, world: _World
    ) -> None:
        """Fails if the usage that other leaders send is ignored."""
        world.lead()
        usage = messages.TeamUsage(TEAM, 4, model.Resources(), 0, slots=4)
        state = messages.ZoneState(
            fakes.OTHER_ZONE, model.Epoch(1), 8, 4, model.Resources(), (usage,)
        )
        world.links.deliver(fakes.OTHER_LEADER, state)
        standing = world.controller.explain_share(TEAM)
        assert standing is not None
        assert standing.dominant_share > 0
