"""The configuration in force at this node, and how it changes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import time

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import freshness
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import settings as settings_types
from samphirestackd.controllers import config_store
from samphirestackd.controllers import proposals
from samphirestackd.controllers import roster
from samphirestackd import interfaces
from samphirestackd import logs
from samphirestackd import peers

OPEN_PROMISE_MAX_AGE_S = 5.0
"""Age at which an open promise is settled by an empty change."""

COMMIT_TIMEOUT_S = 5.0
FETCH_INTERVAL_S = 0.25
RETRY_S = 1.0
"""Mean pause between attempts at an automatic change."""

VM_LIST_WAIT_S = 3.0
"""Maximum wait of the first start for the list of VMs, which names the zones;
it may be available later than the table."""

SYSTEM_AUTHOR = 'samphirestackd'

ChangeHandler = Callable[[configuration.Configuration], None]


class ConfigurationController:
    """Follows the newest configuration and applies changes to it.

    :param node_freshness: freshness of this node, shared with its heartbeats.
    :param own_address: returns the peer address to publish on the roster.
    """

    def __init__(
        self,
        settings: settings_types.Settings,
        clock: Callable[[], float],
        links: peers.PeerLinks,
        vms: interfaces.VmDirectory,
        events: interfaces.EventSink,
        store: config_store.ConfigStore,
        node_freshness: freshness.Freshness,
        own_address: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._links = links
        self._vms = vms
        self._events = events
        self._store = store
        self._freshness = node_freshness
        self._own_address = own_address
        self._current = configuration.Configuration()
        self._handlers: list[ChangeHandler] = []
        self._change_lock = asyncio.Lock()
        self._absences = roster.AbsenceTracker()
        self._unreachable = roster.AbsenceTracker()
        self._rng = random.Random(settings.vm_id)
        self._head: config_store.Head | None = None
        self._next_attempt_at = 0.0
        self._next_fetch_at = 0.0
        self._was_fresh = False
        self._started_at = clock()
        self._proposals = proposals.Proposals(
            links, node_freshness, clock, self._gone_members
        )
        links.on_pong(self._on_pong)
        links.subscribe(messages.Announce, self._on_announce)
        links.subscribe(messages.FetchConfiguration, self._on_fetch)
        links.subscribe(messages.ConfigurationReply, self._on_reply)

    @property
    def current(self) -> configuration.Configuration:
        """The newest known configuration."""
        return self._current

    def is_fresh(self, now: float) -> bool:
        """Return whether ``current`` is known to be the newest revision."""
        return self._freshness.is_fresh(now)

    def age_s(self) -> float:
        """Return the seconds since ``current`` was known to be the newest."""
        return self._freshness.age(self._clock())

    def on_change(self, handler: ChangeHandler) -> None:
        """Call ``handler`` after each change of the configuration."""
        self._handlers.append(handler)

    async def history(self, limit: int) -> list[config_store.HistoryEntry]:
        """Return the newest accepted changes, newest first.

        :raises errors.StoreUnavailable: the table did not answer.
        """
        return await self._store.history(limit)

    async def change(
        self,
        changes: list[configuration.Change],
        expected_revision: int,
        author: str,
        dry_run: bool,
    ) -> configuration.Configuration:
        """Apply changes and return the configuration that follows.

        :raises errors.Conflict: another change came first.
        :raises errors.InvalidChange: the result would not be valid.
        :raises errors.StoreUnavailable: nothing was changed.
        :raises errors.OutcomeUnknown: the change may be accepted.
        """
        async with self._change_lock:
            # Read the table first: promises that are made while it is down
            # would keep nodes from confirming each other's freshness until it
            # is back.
            head = await self._catch_up()
            if expected_revision != head.revision:
                raise self._conflict(expected_revision, changes)
            updated = configuration.apply(
                self._current,
                roster.preserve_arbiters(self._current, changes),
                author=author,
                wall_time_s=time.time(),
            )
            if not dry_run:
                await self._publish(head, updated)
            return updated

    async def run(self) -> None:
        """Follow the newest revision until cancelled."""
        # Changes can wait seconds for answers.  The head is read in a separate
        # task, since this node's freshness depends on it.
        maintaining = asyncio.create_task(self._repeat(self._maintain))
        try:
            await self._repeat(self._poll_head)
        finally:
            maintaining.cancel()

    async def drain(self) -> None:
        """Return at once: this node answers its peers until it stops."""

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except errors.SamphireError as error:
                logs.debug('configuration.failed', reason=error.message)
            await asyncio.sleep(self._settings.timing.configuration_poll_s)

    async def _poll_head(self) -> None:
        self._record_freshness_change()
        self._head = await self._catch_up()

    async def _maintain(self) -> None:
        now, head = self._clock(), self._head
        if head is None or now < self._next_attempt_at:
            return
        if (
            self._change_lock.locked()
            or head.revision != self._current.revision
        ):
            return
        changes = self._automatic_changes(now, head)
        settles_promise = (
            self._freshness.promise_age(now) > OPEN_PROMISE_MAX_AGE_S
        )
        if changes or settles_promise:
            pause_s = RETRY_S * (0.5 + self._rng.random())
            self._next_attempt_at = now + pause_s
            await self.change(changes, head.revision, SYSTEM_AUTHOR, False)

    async def _catch_up(self) -> config_store.Head:
        sent_at = self._clock()
        head = await self._store.head()
        self._freshness.record_table_read(sent_at, head.revision)
        if head.revision > self._current.revision:
            newest = await self._store.load(head.revision)
            if newest is not None:
                self._adopt(newest)
        if head.revision != self._current.revision:
            raise errors.StoreUnavailable(
                f'the table is at revision {head.revision}, this node at '
                f'{self._current.revision}'
            )
        return head

    async def _publish(
        self, head: config_store.Head, updated: configuration.Configuration
    ) -> None:
        members = list(map(model.VmId, self._current.members_by_id))
        await self._proposals.prepare(updated.revision, members)
        deadline = self._clock() + COMMIT_TIMEOUT_S
        await self._store.commit(head, updated, deadline)
        self._adopt(updated)
        # A node that learns of a revision before it has it is no longer fresh,
        # so the configuration is sent before its announcement.
        self._links.broadcast(messages.ConfigurationReply(updated))
        self._links.broadcast(messages.Announce(updated.revision))

    def _conflict(
        self, expected: int, changes: list[configuration.Change]
    ) -> errors.Conflict:
        current = self._current
        change_types = ', '.join(
            sorted({type(item).__name__ for item in changes})
        )
        return errors.Conflict(
            f'the change ({change_types or "empty"}) was based on revision '
            f'{expected}, but revision {current.revision} by '
            f'{current.author!r} is in force'
        )

    def _adopt(self, newer: configuration.Configuration) -> None:
        if newer.revision <= self._current.revision:
            return
        self._current = newer
        self._freshness.set_revision(newer.revision)
        self._freshness.set_roster(
            frozenset(map(model.VmId, newer.members_by_id))
        )
        self._links.set_configuration(newer)
        self._events.record(
            'configuration.adopted',
            revision=newer.revision,
            author=newer.author,
        )
        for handler in self._handlers:
            logs.guard(functools.partial(handler, newer))

    def _record_freshness_change(self) -> None:
        fresh = self.is_fresh(self._clock())
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self._events.record(
                'configuration.fresh' if fresh else 'configuration.stale',
                revision=self._current.revision,
            )

    def _automatic_changes(
        self, now: float, head: config_store.Head
    ) -> list[configuration.Change]:
        vms = self._vms.vms_by_id()
        if not vms:
            is_waiting = now < self._started_at + VM_LIST_WAIT_S
            if is_waiting or head.revision:
                return []
        alive = {
            vm_id: peer
            for vm_id, peer in self._links.peers_by_id().items()
            if peer.alive
        }
        self._update_absences(now, vms, alive)
        changes = self._membership_additions(vms, alive)
        if not self._is_lowest_live_member(alive):
            return changes
        return [
            *changes,
            *self._membership_removals(now),
            *self._zone_changes(now, vms, alive),
        ]

    def _is_lowest_live_member(
        self, alive: dict[model.VmId, interfaces.Peer]
    ) -> bool:
        # All nodes see the reasons for these changes, so one node makes them.
        members = self._current.members_by_id
        return all(
            self._settings.vm_id < vm_id for vm_id in alive if vm_id in members
        )

    def _membership_additions(
        self,
        vms: dict[model.VmId, model.Vm],
        alive: dict[model.VmId, interfaces.Peer],
    ) -> list[configuration.Change]:
        settings = self._settings
        members = [
            configuration.Member(
                settings.vm_id, settings.zone, self._own_address()
            )
        ]
        members += [
            configuration.Member(vm_id, peer.zone, peer.address)
            for vm_id, peer in alive.items()
            if vm_id in vms and vm_id not in self._current.members_by_id
        ]
        changes: list[configuration.Change] = [
            configuration.PutMember(member)
            for member in members
            if self._current.members_by_id.get(member.vm_id) != member
        ]
        zones = self._current.zones_by_id
        if settings.zone not in zones and not vms:
            zone = configuration.Zone(settings.zone)
            changes.append(configuration.PutZone(zone))
        return changes

    def _update_absences(
        self,
        now: float,
        vms: dict[model.VmId, model.Vm],
        alive: dict[model.VmId, interfaces.Peer],
    ) -> None:
        members = set(self._current.members_by_id)
        arbiters = {
            worker
            for zone in self._current.zones_by_id.values()
            for worker in zone.arbiters
        }
        self._absences.update(now, members | arbiters, vms)
        self._unreachable.update(now, members, {*alive, self._settings.vm_id})

    def _gone_members(self) -> set[model.VmId]:
        now = self._clock()
        gone = self._absences.gone(now) & self._unreachable.gone(now)
        return {model.VmId(vm_id) for vm_id in gone}

    def _membership_removals(self, now: float) -> list[configuration.Change]:
        return [
            configuration.RemoveMember(vm_id)
            for vm_id in sorted(self._gone_members())
            if vm_id in self._current.members_by_id
        ]

    def _zone_changes(
        self,
        now: float,
        vms: dict[model.VmId, model.Vm],
        alive: dict[model.VmId, interfaces.Peer],
    ) -> list[configuration.Change]:
        lagging_zones = {
            member.zone
            for vm_id, member in self._current.members_by_id.items()
            if vm_id != self._settings.vm_id
            and (
                vm_id not in alive
                or alive[model.VmId(vm_id)].revision != self._current.revision
            )
        }
        may_grow = set(self._current.zones_by_id) - lagging_zones
        return roster.zone_changes(
            self._current,
            vms,
            self._absences.gone(now),
            {model.ZoneId(zone) for zone in may_grow},
        )

    def _on_pong(
        self, sender: model.VmId, pong: messages.Pong, sent_at: float
    ) -> None:
        self._freshness.record_answer(sender, sent_at, pong.promised)
        self._observe_revision(sender, pong.revision)

    def _on_announce(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Announce)
        self._observe_revision(sender, message.revision)

    def _observe_revision(
        self, sender: model.VmId, revision: model.Revision
    ) -> None:
        self._freshness.record_commit(revision)
        now = self._clock()
        if revision > self._current.revision and now >= self._next_fetch_at:
            self._next_fetch_at = now + FETCH_INTERVAL_S
            fetch = messages.FetchConfiguration(self._current.revision)
            self._links.send(sender, fetch)

    def _on_fetch(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.FetchConfiguration)
        if self._current.revision > message.above:
            reply = messages.ConfigurationReply(self._current)
            self._links.send(sender, reply)

    def _on_reply(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.ConfigurationReply)
        self._next_fetch_at = 0.0
        self._adopt(message.configuration)
