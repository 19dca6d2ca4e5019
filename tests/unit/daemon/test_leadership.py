"""Tests of the controller that runs elections with agents and heartbeats."""

import asyncio
import socket
import time

import pytest

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import settings
from samphirestack_testing import waiting
from samphirestackd.controllers import leadership
from samphirestackd import interfaces
from samphirestackd import main
from samphirestackd import vms

ZONE, OTHER_ZONE = model.ZoneId('z'), model.ZoneId('y')
OWN, PEER, REMOTE = map(model.VmId, 'bac')
ARBITERS = tuple(map(model.WorkerId, ('w1', 'w2', 'w3')))
TIMING = settings.TimingSettings(
    peer_timeout_s=0.2, leader_ttl_s=0.4, leader_renew_s=0.1
)
SETTINGS = settings.Settings(
    settings.NodeSettings(OWN, ZONE),
    settings.ListenSettings('', '', ''),
    settings.PlatformSettings('', '', ''),
    settings.SecuritySettings(''),
    timing=TIMING,
)


class Agent:
    """An agent whose lease never expires."""

    def __init__(self):
        self.epoch, self.owner = 0, ''

    async def lease(self, owner, epoch, ttl_s, with_tasks):
        renews = (epoch, owner) == (self.epoch, self.owner)
        if epoch <= self.epoch and not renews:
            raise errors.FencedOff('w', self.epoch, self.owner)
        self.epoch, self.owner = epoch, owner


class Links:
    """Links that record the sent messages."""

    def __init__(self):
        self.sent, self.handlers, self.address = [], {}, ''

    def on_pong(self, handler):
        self.pong = handler

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def broadcast(self, message):
        self.sent.append(message)

    def heartbeat_now(self):
        self.sent.append('heartbeat')

    def is_alive(self, vm_id):
        return True

    def peers_by_id(self):
        return {
            vm_id: interfaces.Peer(
                vm_id, zone, self.address, True, False, True, 1
            )
            for vm_id, zone in ((PEER, ZONE), (REMOTE, OTHER_ZONE))
        }

    def ping(self, sender, zone, leader, epoch):
        self.handlers[messages.Ping](
            sender, messages.Ping(1, zone, 1, leader, epoch)
        )


class Stub:
    """A stub of the VM directory and the event sink."""

    def vms_by_id(self):
        return {
            name: model.Vm(name, name, model.VmRole.WORKER, ZONE)
            for name in ARBITERS
        }

    def record(self, kind, **fields):
        pass


@pytest.fixture
def world():
    """Return a controller with its agents, links and terms."""
    built = Stub()
    built.links, built.terms, built.leaders = Links(), [], []
    built.agents = {name: Agent() for name in ARBITERS}
    built.controller = leadership.LeadershipController(
        SETTINGS,
        time.monotonic,
        built.links,
        built,
        built,
        built.agents.__getitem__,
    )
    built.controller.on_term(built.terms.append)
    built.controller.on_leader_change(lambda *got: built.leaders.append(got))
    zone = configuration.Zone(ZONE, arbiters=ARBITERS)
    built.controller.set_configuration(
        configuration.Configuration(zones_by_id={ZONE: zone})
    )
    return built


@pytest.fixture
async def leader(world):
    """Return the world once the controller may act."""
    task = asyncio.ensure_future(world.controller.run())
    await waiting.until(
        lambda: world.controller.is_valid_leader(time.monotonic()), 10, 'lead'
    )
    yield world
    task.cancel()
    await asyncio.wait([task])


class TestTerms:
    """Guards against terms that are announced late or not at all."""

    async def test_term_is_announced_to_components_and_peers(self, leader):
        assert [term.epoch for term in leader.terms] == [1]
        assert messages.LeaderChanged(OWN, 1) in leader.links.sent
        assert leader.leaders == [(ZONE, interfaces.Leader(OWN, 1))]

    async def test_higher_epoch_ends_the_term_before_the_leader_changes(
        self, leader
    ):
        order = []
        leader.controller.on_term(lambda term: order.append(term))
        leader.controller.on_leader_change(lambda *got: order.append(got))
        leader.links.ping(PEER, ZONE, PEER, 5)
        assert order == [None, (ZONE, interfaces.Leader(PEER, 5))]
        assert not leader.controller.is_valid_leader(time.monotonic())

    async def test_drain_hands_over_at_once(self, leader):
        await leader.controller.drain()
        assert leader.terms[-1] is None
        assert leader.links.sent[-1] == 'heartbeat'
        assert leader.controller.advertised_leader()[0] == ''

    async def test_lapsed_worker_is_claimed_with_a_higher_epoch(self, leader):
        leader.controller.fenced_off(model.Epoch(1))
        await waiting.until(
            lambda: leader.terms[-1] and leader.terms[-1].epoch == 2, 10, 'e'
        )
        assert [term and term.epoch for term in leader.terms] == [1, None, 2]

    async def test_refused_connection_shortens_the_wait(self, world):
        with socket.create_server(('127.0.0.1', 0)) as free:
            world.links.address = f'127.0.0.1:{free.getsockname()[1]}'
        world.links.ping(PEER, ZONE, PEER, 3)
        task = asyncio.ensure_future(world.controller.run())

        def is_shorter():
            # The lease times count from the end of the full wait.
            term = world.terms[-1] if world.terms else None
            return term and term.grant_from < (
                term.restart_lost_after - 2 * TIMING.worker_ttl_s - 0.001
            )

        await waiting.until(is_shorter, 10, 'a shorter wait')
        assert world.terms[0].epoch == 4
        task.cancel()


class TestOtherZones:
    """Guards against wrong leaders of other zones."""

    def test_highest_epoch_wins_until_its_leader_resigns(self, world):
        links, controller = world.links, world.controller
        links.ping(REMOTE, OTHER_ZONE, REMOTE, 4)
        links.ping(model.VmId('d'), OTHER_ZONE, model.VmId('d'), 3)
        assert controller.leader_of(OTHER_ZONE).vm_id == REMOTE
        links.ping(model.VmId('d'), OTHER_ZONE, model.VmId(''), 3)
        assert controller.leader_of(OTHER_ZONE).vm_id == REMOTE
        links.ping(REMOTE, OTHER_ZONE, model.VmId(''), 4)
        assert controller.leader_of(OTHER_ZONE) is None


class TestVmDirectory:
    """Guards against an outage that makes all VMs disappear."""

    async def test_list_is_kept_in_an_outage(self):
        answers = [[model.Vm('v', '', model.VmRole.ENTRY, ZONE)]]

        class Source:
            async def list_vms(self):
                if not answers:
                    raise errors.StoreUnavailable('down')
                return answers.pop()

        changes = []
        directory = vms.VmDirectory(Source(), 1.0, time.monotonic)
        directory.on_vms(changes.append)
        await directory.refresh()
        await directory.refresh()
        assert list(directory.vms_by_id()) == ['v']
        assert len(changes) == 1


class TestMain:
    """Guards against settings errors that don't name their cause."""

    def test_check_names_file_key_and_expectation(self, tmp_path, capsys):
        path = tmp_path / 's.toml'
        path.write_text('[node]\nvm_id = "a"\n')
        assert main.main(['check', str(path)]) == main.EXIT_SETTINGS
        shown = capsys.readouterr().err
        assert str(path) in shown
        assert 'node' in shown


class UnresponsiveAgent(Agent):
    """An agent that accepts calls but can stop answering them."""

    def __init__(self):
        super().__init__()
        self.is_unresponsive, self.calls = False, []

    async def lease(self, owner, epoch, ttl_s, with_tasks):
        self.calls.append(epoch)
        if self.is_unresponsive:
            raise errors.OutcomeUnknown('no answer')
        await super().lease(owner, epoch, ttl_s, with_tasks)


class TestSilentArbiters:
    """Guards against renewals that keep the lease of a lost worker alive."""

    async def test_unresponsive_arbiter_is_only_probed_until_it_answers(
        self, world
    ):
        agent = world.agents[ARBITERS[0]] = UnresponsiveAgent()
        task = asyncio.ensure_future(world.controller.run())
        await waiting.until(
            lambda: world.controller.is_valid_leader(time.monotonic()),
            10,
            'lead',
        )
        agent.is_unresponsive = True
        await waiting.until(lambda: agent.calls[-1] == 0, 10, 'a probe')
        calls_before = len(agent.calls)
        await waiting.until(
            lambda: len(agent.calls) > calls_before + 3, 10, 'more probes'
        )
        assert set(agent.calls[calls_before:]) == {0}
        agent.is_unresponsive = False
        await waiting.until(lambda: agent.calls[-1] > 0, 10, 'a renewal')
        task.cancel()
        await asyncio.wait([task])
