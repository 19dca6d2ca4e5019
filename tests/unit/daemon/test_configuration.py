"""Tests of configuration changes, promises, the roster and arbiters."""

import asyncio
import time

import pytest

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import freshness
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import settings
from samphirestack_testing.standins import table as rows
from samphirestack_testing import waiting
from samphirestackd.controllers import config_store
from samphirestackd.controllers import configuration as controllers
from samphirestackd.controllers import roster
from samphirestackd import interfaces

ZONE = model.ZoneId('z')
TIMING = settings.TimingSettings(configuration_poll_s=0.02, freshness_s=3.0)
TEAM = configuration.PutTeam(configuration.Team(model.TeamId('blue')))


class Table:
    """A table whose next writes fail in the given ways."""

    def __init__(self):
        self.rows = rows.TableRows()
        self.failures = []
        self.down = False

    async def get(self, table, key):
        if self.down:
            raise errors.StoreUnavailable('down')
        return self.rows.get(table, key)

    async def transact(self, writes):
        failure = self.failures.pop(0) if self.failures else None
        if self.down or failure == 'refused':
            raise errors.StoreUnavailable('down')
        if failure == 'lost request':
            raise errors.OutcomeUnknown('no answer')
        try:
            versions = self.rows.transact(list(writes))
        except rows.Conflicts as error:
            raise errors.TransactionConflict(
                {(c.table, c.key): c.version for c in error.conflicts}
            ) from None
        if failure == 'lost answer':
            raise errors.OutcomeUnknown('no answer')
        return versions


class Net:
    """Delivers messages between nodes that are not cut off."""

    def __init__(self):
        self.nodes = {}
        self.cut = set()


class Links:
    """Links of one node in a :class:`Net`."""

    def __init__(self, net, own_id):
        self.net, self.own_id = net, own_id
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers.setdefault(kind, []).append(handler)

    def on_pong(self, handler):
        self.pong = handler

    def set_configuration(self, current):
        pass

    def send(self, to, message):
        reachable = to in self.net.nodes and not (
            {to, self.own_id} & self.net.cut
        )
        if to != self.own_id and not reachable:
            return False
        target = self.net.nodes[to].links.handlers
        for handler in target.get(type(message), ()):
            asyncio.get_running_loop().call_soon(handler, self.own_id, message)
        return True

    def broadcast(self, message):
        for vm_id in self.net.nodes:
            self.send(vm_id, message)

    def peers_by_id(self):
        return {
            vm_id: interfaces.Peer(
                vm_id,
                ZONE,
                f'{vm_id}:1',
                vm_id not in self.net.cut,
                False,
                True,
                node.controller.current.revision,
            )
            for vm_id, node in self.net.nodes.items()
            if vm_id != self.own_id
        }


class Directory:
    """A list of VMs that a test sets."""

    def __init__(self, *vms):
        self.vms = {vm.vm_id: vm for vm in vms}

    def vms_by_id(self):
        return self.vms


class Events:
    """Ignores all events."""

    def record(self, kind, **fields):
        pass


class Node:
    """A controller with its links and its freshness."""

    def __init__(self, net, table, directory, vm_id):
        self.links = Links(net, vm_id)
        net.nodes[vm_id] = self
        self.state = freshness.Freshness(vm_id, 3.0)
        self.controller = controllers.ConfigurationController(
            settings.Settings(
                settings.NodeSettings(vm_id, ZONE),
                settings.ListenSettings('', '', ''),
                settings.PlatformSettings('', '', ''),
                settings.SecuritySettings(''),
                timing=TIMING,
            ),
            time.monotonic,
            self.links,
            directory,
            Events(),
            config_store.ConfigStore(table, time.monotonic),
            self.state,
            lambda: f'{vm_id}:1',
        )

    async def change(self, *changes, expected=None, dry_run=False):
        current = self.controller.current.revision
        return await self.controller.change(
            list(changes),
            current if expected is None else expected,
            'me',
            dry_run,
        )


class Fleet:
    """Three nodes on one table."""

    def __init__(self):
        workers = [
            model.Vm(f'w{n}', '', model.VmRole.WORKER, ZONE, rack=f'r{n % 3}')
            for n in range(12)
        ]
        names = [model.VmId(name) for name in 'abc']
        self.entries = [
            model.Vm(name, f'{name}:1', model.VmRole.ENTRY, ZONE)
            for name in names
        ]
        self.table, self.net = Table(), Net()
        self.directory = Directory(*workers, *self.entries)
        self.nodes = [
            Node(self.net, self.table, self.directory, name) for name in names
        ]

    async def until(self, condition):
        await waiting.until(condition, 10.0, 'state of the fleet')


@pytest.fixture
async def fleet():
    built = Fleet()
    tasks = [
        asyncio.ensure_future(node.controller.run()) for node in built.nodes
    ]
    all_nodes = {'a', 'b', 'c'}
    await built.until(
        lambda: all(
            node.controller.current.members_by_id.keys() == all_nodes
            for node in built.nodes
        )
    )
    yield built
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)


class TestChanges:
    """Guards against changes that are lost, doubled or not propagated."""

    async def test_first_start_creates_zones_and_arbiters_from_the_list(
        self, fleet
    ):
        zone = fleet.nodes[0].controller.current.zones_by_id[ZONE]
        assert len(zone.arbiters) == 5

    async def test_accepted_change_reaches_all_nodes_and_the_history(
        self, fleet
    ):
        accepted = await fleet.nodes[1].change(TEAM)
        await fleet.until(
            lambda: all(
                node.controller.current == accepted for node in fleet.nodes
            )
        )
        newest = (await fleet.nodes[0].controller.history(1))[0]
        assert (newest.revision, newest.author) == (accepted.revision, 'me')
        assert newest.changed == ("team 'blue' created",)

    async def test_conflicting_change_is_refused_with_the_other_author(
        self, fleet
    ):
        before = fleet.nodes[0].controller.current.revision
        await fleet.nodes[0].change(TEAM, expected=before)
        with pytest.raises(errors.Conflict, match="by 'me' is in force"):
            await fleet.nodes[1].change(TEAM, expected=before)

    async def test_dry_run_changes_nothing(self, fleet):
        before = fleet.nodes[0].controller.current
        planned = await fleet.nodes[0].change(TEAM, dry_run=True)
        assert planned.revision == before.revision + 1
        assert fleet.nodes[0].controller.current == before

    @pytest.mark.parametrize(
        'failures', [['lost answer'], ['lost request'], ['lost answer'] * 2]
    )
    async def test_write_with_an_unknown_outcome_is_resolved(
        self, fleet, failures
    ):
        fleet.table.failures = list(failures)
        accepted = await fleet.nodes[0].change(TEAM)
        stored = await config_store.ConfigStore(
            fleet.table, time.monotonic
        ).load(accepted.revision)
        assert stored == accepted

    async def test_lost_race_with_an_unknown_outcome_is_a_conflict(
        self, fleet
    ):
        store = config_store.ConfigStore(fleet.table, time.monotonic)
        current = fleet.nodes[0].controller.current
        head = await store.head()
        rival, own = (
            configuration.apply(
                current, [TEAM], author=author, wall_time_s=1.0
            )
            for author in ('rival', 'me')
        )
        await store.commit(head, rival, time.monotonic())
        fleet.table.failures = ['lost request']
        with pytest.raises(errors.Conflict, match='rival'):
            await store.commit(head, own, time.monotonic() + 5)

    async def test_no_promise_is_requested_while_the_table_is_down(
        self, fleet
    ):
        fleet.table.down = True
        with pytest.raises(errors.StoreUnavailable):
            await fleet.nodes[0].change(TEAM)
        assert not any(node.state.has_open_promise for node in fleet.nodes)

    async def test_minority_can_not_change_anything(self, fleet):
        before = fleet.table.rows.get('config', 'head')
        fleet.net.cut = {'a'}
        with pytest.raises(errors.StoreUnavailable, match='1 of 3 entries'):
            await fleet.nodes[0].change(TEAM)
        assert fleet.table.rows.get('config', 'head') == before

    async def test_old_promise_is_settled_by_an_empty_change(
        self, fleet, monkeypatch
    ):
        monkeypatch.setattr(controllers, 'OPEN_PROMISE_MAX_AGE_S', 0.1)
        before = fleet.nodes[0].controller.current.revision
        promised = model.Revision(before + 1)
        fleet.nodes[2].state.promise(time.monotonic(), promised)
        await fleet.until(
            lambda: all(
                node.controller.current.revision >= promised
                for node in fleet.nodes
            )
        )

    async def test_new_node_fetches_the_configuration_from_its_peers(
        self, fleet
    ):
        fleet.table.down = True
        new = Node(fleet.net, fleet.table, fleet.directory, model.VmId('d'))
        revision = fleet.nodes[0].controller.current.revision
        new.links.pong(
            model.VmId('a'),
            messages.Pong(1, ZONE, revision, revision, 'a', 1, False, True),
            time.monotonic(),
        )
        await fleet.until(lambda: new.controller.current.revision == revision)
        assert not new.controller.is_fresh(time.monotonic())

    async def test_older_configuration_is_ignored(self, fleet):
        node = fleet.nodes[0]
        current = node.controller.current
        node.links.send(
            model.VmId('a'),
            messages.ConfigurationReply(configuration.Configuration()),
        )
        await asyncio.sleep(0)
        assert node.controller.current is current

    async def test_gone_member_is_removed(self, fleet, monkeypatch):
        monkeypatch.setattr(roster, 'GONE_AFTER_S', 0.1)
        fleet.net.cut = {'c'}
        del fleet.directory.vms[model.VmId('c')]
        await fleet.until(
            lambda: 'c' not in fleet.nodes[0].controller.current.members_by_id
        )


class TestArbiters:
    """Guards against disjoint majorities of arbiters."""

    def workers(self, count):
        return [
            model.Vm(f'w{n}', '', model.VmRole.WORKER, ZONE, rack=f'r{n % 2}')
            for n in range(count)
        ]

    def test_arbiters_are_spread_over_racks(self):
        chosen = roster.choose_arbiters(self.workers(20))
        assert len(chosen) == 5
        assert sum(int(name[1:]) % 2 for name in chosen) in (2, 3)

    def test_only_gone_arbiters_are_replaced(self):
        updated = roster.updated_arbiters(
            ('w0', 'w1', 'w2'), self.workers(5)[1:], {'w0'}, False
        )
        assert set(updated) > {'w1', 'w2'}
        assert len(updated) == 3

    def test_gone_arbiter_stays_without_a_spare_worker(self):
        updated = roster.updated_arbiters(
            ('w0', 'w1', 'w2'), self.workers(3)[1:], {'w0'}, True
        )
        assert updated == ('w0', 'w1', 'w2')

    def test_set_grows_by_one_and_only_if_all_nodes_are_current(self):
        grown = [
            roster.updated_arbiters(('w0', 'w1'), self.workers(9), (), may)
            for may in (True, False)
        ]
        assert [len(names) for names in grown] == [3, 2]
