"""Links between daemons over real sockets on loopback addresses."""

import asyncio
import socket
import time

import msgspec
import pytest
import zmq

from samphirestack.internal import messages
from samphirestack import model
from samphirestack import settings
from samphirestack_testing import faultproxy
from samphirestack_testing import waiting
from samphirestackd import lamport
from samphirestackd import peers
from samphirestackd.peers import security

ZONE = model.ZoneId('z')
A, B = model.VmId('a'), model.VmId('b')
FAST = settings.TimingSettings(
    heartbeat_s=0.02,
    peer_timeout_s=0.3,
    remote_heartbeat_s=0.02,
    remote_peer_timeout_s=0.3,
)


def free_address():
    with socket.create_server(('127.0.0.1', 0)) as opened:
        return f'127.0.0.1:{opened.getsockname()[1]}'


def entry(vm_id, address):
    return model.Vm(vm_id, address, model.VmRole.ENTRY, ZONE)


async def until(condition):
    await waiting.until(condition, 10.0, 'state of the links')


class Node:
    """Links of one node, with the messages that it received."""

    def __init__(self, vm_id, keys=None, seeds=(), address=None):
        self.address = address or free_address()
        self.settings = settings.Settings(
            settings.NodeSettings(vm_id, ZONE),
            settings.ListenSettings('-', '-', self.address),
            settings.PlatformSettings('', '', ''),
            settings.SecuritySettings(''),
            settings.ClusterSettings(seeds=tuple(seeds)),
            timing=FAST,
        )
        self.clock = lamport.LamportClock()
        self.status = peers.NodeStatus(model.Revision(3), model.Revision(4))
        self.links = peers.PeerLinks(
            self.settings,
            time.monotonic,
            self.clock,
            keys,
            lambda: self.status,
        )
        self.received = []
        self.pongs = []
        for kind in (messages.Announce, messages.CancelSlots):
            self.links.subscribe(kind, lambda *got: self.received.append(got))
        self.links.on_pong(lambda *got: self.pongs.append(got))

    def __enter__(self):
        self.links.listen()
        self.task = asyncio.ensure_future(self.links.run())
        return self

    def __exit__(self, *_):
        self.task.cancel()
        self.links.close()

    def set_peers(self, *nodes):
        self.links.set_vms({vm_id: entry(vm_id, at) for vm_id, at in nodes})

    def alive_condition(self, vm_id):
        return lambda: self.links.is_alive(vm_id)


def make_keys():
    public, secret = zmq.curve_keypair()
    return security.Keys(public, secret)


class TestHeartbeats:
    """Guards against peers that are wrongly considered alive or dead."""

    async def test_pong_carries_the_revisions_of_the_peer(self):
        with Node(A) as a, Node(B) as b:
            a.set_peers((B, b.address))
            await until(lambda: a.pongs)
            sender, pong, sent_at = a.pongs[0]
            assert (sender, pong.revision, pong.promised) == (B, 3, 4)
            assert sent_at <= time.monotonic()
            assert a.links.peers_by_id()[B].revision == 3

    async def test_nodes_discover_each_other_through_a_seed(self):
        with Node(B) as b, Node(A, seeds=[b.address]) as a:
            await until(a.alive_condition(B))
            await until(b.alive_condition(A))

    async def test_silent_connection_is_replaced(self):
        with Node(B) as b, Node(A) as a:
            proxy = faultproxy.Proxy(b.address)
            await proxy.start()
            a.set_peers((B, proxy.address))
            await until(a.alive_condition(B))
            proxy.apply(faultproxy.Command(silence_open=True))
            # A link is replaced as soon as it is not alive, and may be alive
            # again before the next poll; so wait for the counter instead.
            await until(lambda: a.links.reopened_count >= 1)
            await until(a.alive_condition(B))
            await proxy.close()

    async def test_pong_of_another_node_at_the_address_is_ignored(self):
        with Node(A) as a, Node(model.VmId('c')) as c:
            a.set_peers((B, c.address))
            await until(lambda: a.links.dropped_by_reason['unexpected'])
            assert not a.links.is_alive(B)
            assert all(sender != B for sender, _, _ in a.pongs)


class TestMessages:
    """Guards against reordering, blocking sends and crashes on bad data."""

    async def test_messages_arrive_in_order_with_their_sender(self):
        with Node(A) as a, Node(B) as b:
            a.set_peers((B, b.address))
            await until(a.alive_condition(B))
            for number in range(500):
                assert a.links.send(B, messages.Announce(number))
            await until(lambda: len(b.received) == 500)
            numbers = [message.revision for _, message in b.received]
            assert numbers == list(range(500))
            assert {sender for sender, _ in b.received} == {A}
            assert b.clock.value >= 500

    async def test_own_message_is_delivered_later_not_inside_send(self):
        with Node(A) as a:
            assert a.links.send(A, messages.Announce(1))
            assert a.received == []
            await until(lambda: a.received)

    async def test_unknown_or_dead_peer_is_reported(self):
        with Node(A) as a:
            assert not a.links.send(B, messages.Announce(1))
            a.set_peers((B, free_address()))
            assert not a.links.send(B, messages.Announce(1))

    async def test_malformed_data_is_counted_and_dropped(self):
        with Node(A) as a:
            raw = zmq.Context.instance().socket(zmq.DEALER)
            raw.linger = 0
            raw.connect(f'tcp://{a.address}')
            newer = messages.Envelope(99, B, 1, messages.Announce(1))
            raw.send(b'\xc1 no message')
            raw.send(msgspec.msgpack.encode(newer))
            raw.send_multipart([b'two', b'frames'])
            dropped = a.links.dropped_by_reason
            await until(lambda: dropped['malformed'] == 3)
            raw.close()

    async def test_failing_subscriber_does_not_end_the_link(self):
        with Node(A) as a, Node(B) as b:
            b.links.subscribe(messages.Prepare, lambda *_: 1 / 0)
            a.set_peers((B, b.address))
            await until(a.alive_condition(B))
            a.links.send(B, messages.Prepare(1))
            a.links.send(B, messages.Announce(2))
            await until(lambda: b.received)


class TestEncryption:
    """Guards against connections from daemons without the shared key."""

    async def test_shared_key_connects_and_others_are_rejected(self):
        keys = make_keys()
        with Node(A, keys) as a, Node(B, keys) as b:
            with Node(model.VmId('x'), make_keys()) as x, Node('y') as y:
                for node in (x, y):
                    node.set_peers((B, b.address))
                a.set_peers((B, b.address))
                await until(a.alive_condition(B))
                pings = len(a.pongs)
                await until(lambda: len(a.pongs) > pings + 20)
                assert not x.links.is_alive(B)
                assert not y.links.is_alive(B)

    async def test_known_server_key_with_an_unknown_client_key(self):
        keys, other = make_keys(), make_keys()
        with Node(B, keys) as b:
            raw = zmq.Context.instance().socket(zmq.DEALER)
            raw.linger = 0
            raw.curve_serverkey = keys.public
            raw.curve_publickey, raw.curve_secretkey = (
                other.public,
                other.secret,
            )
            raw.connect(f'tcp://{b.address}')
            await until(lambda: b.links.rejected_keys)
            raw.close()

    def test_key_file_must_belong_to_the_public_key(self, tmp_path):
        keys, other = make_keys(), make_keys()
        path = tmp_path / 'secret'
        path.write_bytes(other.secret)
        cluster = settings.ClusterSettings((), keys.public.decode(), str(path))
        with pytest.raises(Exception, match='must be the CURVE secret key'):
            peers.read_keys(cluster)
        path.write_bytes(keys.secret)
        assert peers.read_keys(cluster) == keys
