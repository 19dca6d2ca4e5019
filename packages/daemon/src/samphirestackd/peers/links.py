"""Links to all other daemons over ZeroMQ.

A ROUTER socket receives the messages of all peers; a DEALER socket for each
peer sends to it.  Heartbeats are answered on the connection on which they
arrived, so that a connection without answers is detected and replaced.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import itertools

import zmq
import zmq.asyncio
import zmq.auth.asyncio

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import settings as settings_types
from samphirestackd import interfaces
from samphirestackd import lamport
from samphirestackd.peers import directory
from samphirestackd.peers import link as link_types
from samphirestackd.peers import security
from samphirestackd.peers import status
from samphirestackd.peers import subscribers

MAX_BATCH_MESSAGES = 64
"""Messages handled before control returns to the event loop."""

CHECKS_PER_HEARTBEAT = 5
SEED_RETRY_S = 2.0
UNKNOWN_VM_ID = model.VmId('')


class PeerLinks:
    """The links of this node; see :class:`interfaces.PeerLinks`."""

    def __init__(
        self,
        settings: settings_types.Settings,
        clock: Callable[[], float],
        lamport_clock: lamport.LamportClock,
        keys: security.Keys | None,
        node_status: Callable[[], status.NodeStatus],
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._clock = clock
        self._lamport = lamport_clock
        self._keys = keys
        self._node_status = node_status
        self._context = zmq.asyncio.Context()
        self._known_keys = security.KnownKeys(keys.public if keys else b'')
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = (
            None
        )
        self._router: zmq.asyncio.Socket | None = None
        self._directory = directory.PeerDirectory(settings.vm_id)
        self._own_address = settings.listen.peers
        self._links_by_id: dict[model.VmId, link_types.Link] = {}
        self._seeds: list[link_types.Link] = []
        self._next_seed_attempt_at = 0.0
        self._receivers: dict[link_types.Link, asyncio.Task[None]] = {}
        self._subscribers = subscribers.Subscribers()
        self.subscribe = self._subscribers.subscribe
        self.on_pong = self._subscribers.on_pong
        self._ping_numbers = itertools.count(1)
        self.dropped_by_reason = {
            'malformed': 0,
            'no_link': 0,
            'queue_full': 0,
            'unexpected': 0,
        }
        """Messages that were dropped, counted by reason."""

    @property
    def own_id(self) -> model.VmId:
        """Name of this VM."""
        return self._settings.vm_id

    @property
    def own_address(self) -> str:
        """Address under which other daemons reach this node."""
        return self._own_address

    @property
    def rejected_keys(self) -> int:
        """Number of connections refused for an unknown key."""
        return self._known_keys.rejected

    @property
    def reopened_count(self) -> int:
        """Number of silent connections that were replaced."""
        return sum(link.reopened_count for link in self._links_by_id.values())

    def set_vms(self, vms: Mapping[model.VmId, model.Vm]) -> None:
        """Apply a new list of VMs to the links."""
        own = vms.get(self.own_id)
        if own is not None and own.address:
            self._own_address = own.address
        self._directory.set_vms(vms)
        self._sync_links()

    def set_configuration(self, current: configuration.Configuration) -> None:
        """Apply the roster of a new configuration to the links."""
        self._directory.set_members(current)
        self._sync_links()

    def peers_by_id(self) -> dict[model.VmId, interfaces.Peer]:
        """Return all known peers except this node."""
        now = self._clock()
        return {
            vm_id: interfaces.Peer(
                vm_id,
                link.zone,
                link.address,
                link.is_alive(now, self._timeout_s(link.zone)),
                link.draining,
                link.fresh,
                link.revision,
            )
            for vm_id, link in self._links_by_id.items()
        }

    def is_alive(self, vm_id: model.VmId) -> bool:
        """Return whether a peer answered a heartbeat within the timeout."""
        link = self._links_by_id.get(vm_id)
        return link is not None and link.is_alive(
            self._clock(), self._timeout_s(link.zone)
        )

    def send(self, to: model.VmId, message: messages.AnyMessage) -> bool:
        """Send a message without blocking.

        :return: false if the peer is unknown or dead, or its queue is full.
        """
        if to == self.own_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._subscribers.dispatch, self.own_id, message)
            return True
        link = self._links_by_id.get(to)
        if link is None or not self.is_alive(to):
            self.dropped_by_reason['no_link'] += 1
            return False
        if not link.send(self._encode(message)):
            self.dropped_by_reason['queue_full'] += 1
            return False
        return True

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send to all peers that are alive."""
        for vm_id in list(self._links_by_id):
            if self.is_alive(vm_id):
                self.send(vm_id, message)

    def heartbeat_now(self) -> None:
        """Send a heartbeat to every peer at once, ahead of schedule."""
        for link in self._links_by_id.values():
            self._ping(link, self._clock())

    def listen(self) -> None:
        """Bind the socket for peers.

        :raises zmq.ZMQError: the address can't be used.
        """
        router = self._context.socket(zmq.ROUTER)
        router.linger = 0
        router.maxmsgsize = messages.MAX_MESSAGE_BYTES
        if self._keys is not None:
            self._authenticator = security.start_authenticator(
                self._context, self._known_keys
            )
            security.protect_server(router, self._keys)
        router.bind(f'tcp://{self._settings.listen.peers}')
        self._router = router

    async def run(self) -> None:
        """Send heartbeats and receive messages until cancelled."""
        if self._router is None:
            self.listen()
        assert self._router is not None
        receiving = asyncio.create_task(self._receive_from_peers(self._router))
        try:
            while True:
                self._maintain_links(self._clock())
                await asyncio.sleep(
                    self._timing.heartbeat_s / CHECKS_PER_HEARTBEAT
                )
        finally:
            receiving.cancel()
            self.close()

    async def drain(self) -> None:
        """Return at once: other components use the links while they drain."""

    def close(self) -> None:
        """Close all sockets; a second call has no effect."""
        if self._context.closed:
            return
        for link in [*self._links_by_id.values(), *self._seeds]:
            self._close_link(link)
        self._links_by_id.clear()
        self._seeds.clear()
        if self._router is not None:
            self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)

    def _maintain_links(self, now: float) -> None:
        self._connect_seeds(now)
        for vm_id, link in list(self._links_by_id.items()):
            timeout_s = self._timeout_s(link.zone)
            if link.is_silent(now, timeout_s):
                self._directory.remove_reported(vm_id)
                if vm_id not in self._directory.locations_by_id():
                    self._close_link(self._links_by_id.pop(vm_id))
                    continue
                self._reopen(link, now)
        for link in [*self._links_by_id.values(), *self._seeds]:
            if now >= link.next_ping_at:
                self._ping(link, now)

    def _connect_seeds(self, now: float) -> None:
        if now < self._next_seed_attempt_at:
            return
        self._next_seed_attempt_at = now + SEED_RETRY_S
        for link in self._seeds:
            self._close_link(link)
        self._seeds.clear()
        if any(self.is_alive(vm_id) for vm_id in self._links_by_id):
            return
        for address in self._settings.cluster.seeds:
            if address not in (self._own_address, self._settings.listen.peers):
                link = self._new_link(UNKNOWN_VM_ID, model.ZoneId(''), address)
                self._seeds.append(link)

    def _sync_links(self) -> None:
        locations = self._directory.locations_by_id()
        for vm_id, link in list(self._links_by_id.items()):
            location = locations.get(vm_id)
            if location is None or location.address != link.address:
                self._close_link(self._links_by_id.pop(vm_id))
        for vm_id, location in locations.items():
            if vm_id not in self._links_by_id:
                self._links_by_id[vm_id] = self._new_link(
                    vm_id, location.zone, location.address
                )

    def _new_link(
        self, vm_id: model.VmId, zone: model.ZoneId, address: str
    ) -> link_types.Link:
        link = link_types.Link(
            self._context, self._keys, vm_id, zone, address, self._clock()
        )
        self._start_receiver(link)
        return link

    def _start_receiver(self, link: link_types.Link) -> None:
        task = asyncio.ensure_future(
            self._receive_from_link(link, link.socket)
        )
        self._receivers[link] = task

    def _reopen(self, link: link_types.Link, now: float) -> None:
        self._receivers.pop(link).cancel()
        link.reopen(now)
        self._start_receiver(link)

    def _close_link(self, link: link_types.Link) -> None:
        self._receivers.pop(link).cancel()
        link.close()

    def _ping(self, link: link_types.Link, now: float) -> None:
        local = link.zone in (self._settings.zone, '')
        link.next_ping_at = now + (
            self._timing.heartbeat_s
            if local
            else self._timing.remote_heartbeat_s
        )
        number = next(self._ping_numbers)
        own = self._node_status()
        ping = messages.Ping(
            number,
            self._settings.zone,
            own.revision,
            own.leader,
            own.epoch,
            own.draining,
            self._own_address,
        )
        link.record_ping(number, now)
        link.send(self._encode(ping))

    def _timeout_s(self, zone: model.ZoneId) -> float:
        if zone in (self._settings.zone, ''):
            return self._timing.peer_timeout_s
        return self._timing.remote_peer_timeout_s

    def _encode(self, message: messages.AnyMessage) -> bytes:
        return messages.encode(self.own_id, self._lamport.tick(), message)

    async def _receive_from_peers(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            for _ in range(MAX_BATCH_MESSAGES):
                self._handle_frames(router, frames)
                more = link_types.completed_future(
                    router.recv_multipart(flags=zmq.DONTWAIT)
                )
                if more.exception() is not None:
                    break
                frames = more.result()
            else:
                self._handle_frames(router, frames)
            await asyncio.sleep(0)

    def _handle_frames(
        self, router: zmq.asyncio.Socket, frames: list[bytes]
    ) -> None:
        envelope = messages.decode(frames[1]) if len(frames) == 2 else None
        if envelope is None:
            self.dropped_by_reason['malformed'] += 1
            return
        self._lamport.observe(envelope.clock)
        if isinstance(envelope.message, messages.Ping):
            pong = self._encode(self._create_pong(envelope.message))
            reply = [frames[0], pong]
            link_types.completed_future(
                router.send_multipart(reply, flags=zmq.DONTWAIT)
            ).exception()
            self._add_ping_sender(envelope.sender, envelope.message)
        self._subscribers.dispatch(envelope.sender, envelope.message)

    def _create_pong(self, ping: messages.Ping) -> messages.Pong:
        own = self._node_status()
        return messages.Pong(
            ping.number,
            self._settings.zone,
            own.revision,
            own.promised,
            own.leader,
            own.epoch,
            own.draining,
            own.fresh,
        )

    def _add_ping_sender(
        self, sender: model.VmId, ping: messages.Ping
    ) -> None:
        location = directory.PeerLocation(ping.zone, ping.address)
        if self._directory.add_reported(sender, location):
            self._sync_links()

    async def _receive_from_link(
        self, link: link_types.Link, socket: zmq.asyncio.Socket
    ) -> None:
        while True:
            data = await socket.recv()
            envelope = messages.decode(data)
            if envelope is None:
                self.dropped_by_reason['malformed'] += 1
                continue
            self._lamport.observe(envelope.clock)
            if isinstance(envelope.message, messages.Pong):
                self._handle_pong(link, envelope.sender, envelope.message)
            else:
                self.dropped_by_reason['unexpected'] += 1

    def _handle_pong(
        self,
        link: link_types.Link,
        sender: model.VmId,
        pong: messages.Pong,
    ) -> None:
        sent_at = link.pop_ping_sent_at(pong.number)
        if sent_at is None:
            return
        if link.vm_id == UNKNOWN_VM_ID:
            self._handle_seed_pong(link, sender, pong)
            return
        if sender != link.vm_id:
            # The address was reassigned to another VM.
            self.dropped_by_reason['unexpected'] += 1
            return
        link.replied_at = self._clock()
        link.draining = pong.draining
        link.fresh = pong.fresh
        link.revision = pong.revision
        self._subscribers.dispatch_pong(sender, pong, sent_at)

    def _handle_seed_pong(
        self, link: link_types.Link, sender: model.VmId, pong: messages.Pong
    ) -> None:
        location = directory.PeerLocation(pong.zone, link.address)
        if sender != self.own_id:
            self._directory.add_reported(sender, location)
            self._sync_links()
