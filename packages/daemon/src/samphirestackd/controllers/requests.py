"""Drives the request scheduler while this node leads its zone."""

import asyncio
import collections
from collections.abc import Iterable

from samphirestack import configuration
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.leader import outgoing
from samphirestack.internal.leader import requests as schedulers
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd.controllers import limits
from samphirestackd.controllers import team_accounting
from samphirestackd.controllers import upstream_polls
from samphirestackd import interfaces

BATCH_MESSAGES = 200
"""Messages per iteration of the event loop, about 10 ms of work, so that
heartbeats and callers are not delayed."""

MAX_INBOX = 50_000
"""Maximum number of queued messages; further ones are dropped, and the entries
send them again."""

TICK_S = 0.05
"""Maximum time between two calls of the scheduler while leading."""

ENTRY_CHECK_INTERVAL_S = 0.25
GOSSIP_INTERVAL_S = 1.0


class RequestController:
    """Connects the scheduler with entries, upstreams and other zones."""

    def __init__(
        self,
        context: contexts.Context,
        accounting: team_accounting.TeamAccounting,
    ) -> None:
        self._context = context
        self._accounting = accounting
        self._scheduler = schedulers.RequestScheduler(
            context.settings.vm_id,
            context.settings.zone,
            accounting.ledger,
            accounting.shares,
        )
        self._inbox: collections.deque[
            tuple[model.VmId, messages.AnyMessage]
        ] = collections.deque()
        self._wakeup = asyncio.Event()
        self._term: interfaces.Term | None = None
        self._active_entries: set[model.VmId] = set()
        self._lost_entries: set[model.VmId] = set()
        self._checked_at = 0.0
        self._polls = upstream_polls.UpstreamPolls(context, self._on_status)
        self._limits = limits.create(context, accounting, self._scheduler)
        for kind in (
            messages.RequestSlot,
            messages.Release,
            messages.CancelSlots,
            messages.HeldReport,
        ):
            context.links.subscribe(kind, self._on_message)
        context.links.subscribe(messages.ZoneState, self._on_zone_state)
        context.terms.on_term(self._on_term)
        context.view.on_change(self._on_configuration)
        context.vms.on_vms(self._on_vms)

    async def run(self) -> None:
        """Work until cancelled."""
        self._on_configuration(self._context.view.current)
        self._on_vms(self._context.vms.vms_by_id())
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._schedule_forever())
                group.create_task(self._gossip_forever())
                group.create_task(self._limits.run())
        except asyncio.CancelledError:
            # After any other error the daemon runs this component again in the
            # same term, and polling must go on until then.
            self._polls.close()
            raise

    async def drain(self) -> None:
        """Return at once: the term ends when the leadership is handed over."""

    def explain_share(
        self, team: model.TeamId
    ) -> fairshare.Explanation | None:
        """Return the share of a team; ``None`` if this node does not lead."""
        if self._term is None:
            return None
        return self._accounting.shares.explain(self._context.clock(), team)

    def _on_message(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        if self._term is None or len(self._inbox) >= MAX_INBOX:
            return
        self._inbox.append((sender, message))
        self._wakeup.set()

    def _on_zone_state(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.ZoneState):
            return
        zone = message.zone
        leader = self._context.leaders.leader_of(zone)
        if self._term is None or zone == self._context.settings.zone:
            return
        if leader is not None and message.epoch < leader.epoch:
            return
        self._accounting.shares.set_remote(
            self._context.clock(),
            zone,
            message.teams,
            message.capacity,
            message.slots,
        )
        self._limits.set_zone_state(message)

    def _on_term(self, term: interfaces.Term | None) -> None:
        now = self._context.clock()
        before = self._term
        self._term = term
        if term is None:
            self._clear_entries()
            self._scheduler.end_term(now)
            self._limits.set_term(None)
        elif before is not None and before.epoch == term.epoch:
            # Only the time from which slots may be granted has changed.
            self._scheduler.allow_grants_from(term.grant_from)
        else:
            self._clear_entries()
            self._scheduler.start_term(now, term.epoch, term.grant_from)
            self._limits.set_term(term)
        self._polls.set_term(term)
        self._wakeup.set()

    def _clear_entries(self) -> None:
        self._inbox.clear()
        self._active_entries.clear()
        self._lost_entries.clear()

    def _on_configuration(self, current: configuration.Configuration) -> None:
        now = self._context.clock()
        self._scheduler.configure(now, current)
        for zone in current.zones_by_id.values():
            if zone.lost:
                self._accounting.shares.remove_remote(now, zone.name)
        self._limits.refresh()
        self._wakeup.set()

    def _on_vms(self, vms_by_id: dict[model.VmId, model.Vm]) -> None:
        if not vms_by_id:
            return
        own = [
            vm
            for vm in vms_by_id.values()
            if vm.role is model.VmRole.UPSTREAM
            and vm.zone == self._context.settings.zone
        ]
        self._scheduler.set_upstreams(self._context.clock(), own)
        self._polls.set_upstreams(own)
        self._wakeup.set()

    def _on_status(
        self,
        upstream_id: model.UpstreamId,
        status: platform.UpstreamStatus | None,
        sent_after: float,
    ) -> None:
        self._scheduler.upstream_status(
            self._context.clock(), upstream_id, status, sent_after
        )
        self._wakeup.set()

    async def _schedule_forever(self) -> None:
        while True:
            await self._wait()
            if self._may_schedule():
                self._schedule()
            # Lets other components run between two batches.
            await asyncio.sleep(0)

    async def _wait(self) -> None:
        if self._inbox and self._may_schedule():
            return
        try:
            async with asyncio.timeout(TICK_S if self._term else None):
                await self._wakeup.wait()
        except TimeoutError:
            pass
        self._wakeup.clear()

    def _may_schedule(self) -> bool:
        if self._term is None:
            return False
        return self._context.leaders.is_valid_leader(self._context.clock())

    def _schedule(self) -> None:
        """Handle a batch of messages and send the resulting messages."""
        now = self._context.clock()
        self._check_entries(now)
        for _ in range(min(BATCH_MESSAGES, len(self._inbox))):
            sender, message = self._inbox.popleft()
            self._active_entries.add(sender)
            self._lost_entries.discard(sender)
            self._send(self._scheduler.handle(now, sender, message))
        self._send(self._scheduler.tick(now))

    def _check_entries(self, now: float) -> None:
        """Report entries that have become unreachable to the scheduler."""
        if 0 <= now - self._checked_at < ENTRY_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        alive = {
            peer.vm_id
            for peer in self._context.links.peers_by_id().values()
            if peer.alive
        }
        alive.add(self._context.links.own_id)
        self._lost_entries -= alive
        for entry in self._expected_entries() - alive - self._lost_entries:
            self._lost_entries.add(entry)
            self._send(self._scheduler.entry_lost(now, entry))

    def _expected_entries(self) -> set[model.VmId]:
        own = self._context.settings.zone
        members = self._context.view.current.members_by_id.values()
        return self._active_entries | {
            member.vm_id for member in members if member.zone == own
        }

    def _send(self, items: Iterable[outgoing.Outgoing]) -> None:
        for item in items:
            self._context.links.send(item.to, item.message)
            if isinstance(item.message, messages.Grant):
                self._record_grant(item.message)

    def _record_grant(self, grant: messages.Grant) -> None:
        self._context.events.record(
            'request.granted',
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            upstream_id=grant.upstream_id,
            epoch=grant.epoch,
        )

    async def _gossip_forever(self) -> None:
        """Send the usage of this zone to the leaders of other zones."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            if not self._may_schedule():
                continue
            state = self._scheduler.zone_state(self._context.clock())
            for zone in self._context.view.current.zones_by_id.values():
                leader = self._context.leaders.leader_of(zone.name)
                if zone.name != state.zone and leader is not None:
                    self._context.links.send(leader.vm_id, state)


def create(
    context: contexts.Context,
    accounting: team_accounting.TeamAccounting | None = None,
) -> RequestController:
    """Return the component that grants slots while this node leads.

    :param accounting: shared with the task controller; new if ``None``.
    """
    return RequestController(
        context, accounting or team_accounting.create_accounting()
    )
