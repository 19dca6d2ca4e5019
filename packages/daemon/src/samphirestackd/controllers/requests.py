"""Drives the request scheduler while this node leads its zone."""

import asyncio

from samphirestack import configuration
from samphirestack.internal.leader import outgoing
from samphirestack.internal.leader import requests as schedulers
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd.controllers import shared as shared_state
from samphirestackd.controllers import upstreams
from samphirestackd import interfaces

TICK_S = 0.05
"""Time between two looks at what is due without a message."""

GOSSIP_INTERVAL_S = 1.0

HANDLED = (
    messages.RequestSlot,
    messages.Release,
    messages.CancelSlots,
    messages.HeldReport,
)


class RequestController:
    """Connects the scheduler with entries, upstreams and other zones."""

    def __init__(
        self, context: contexts.Context, shared: shared_state.Shared
    ) -> None:
        self._context = context
        self._shares = shared.shares
        self._scheduler = schedulers.RequestScheduler(
            context.settings.vm_id,
            context.settings.zone,
            shared.ledger,
            shared.shares,
        )
        self._polls = upstreams.UpstreamPolls(context, self._on_status)
        self._term: interfaces.Term | None = None
        self._polled_in_term = False
        self._dead_entries: set[model.VmId] = set()
        self._gossip_at = 0.0
        context.terms.on_term(self._on_term)
        context.view.on_change(self._on_configuration)
        context.vms.on_vms(self._on_vms)
        for kind in HANDLED:
            context.links.subscribe(kind, self._on_message)
        context.links.subscribe(messages.ZoneState, self._on_zone_state)

    async def run(self) -> None:
        """Work until cancelled."""
        self._on_configuration(self._context.view.current)
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self._tick()
        finally:
            self._polls.close()

    async def drain(self) -> None:
        """Go on granting until another node leads."""

    def explain_share(self, team: model.TeamId) -> object | None:
        """Return a team's standing; ``None`` if this node does not lead."""
        if self._term is None:
            return None
        return self._shares.explain(self._context.clock(), team)

    def _on_term(self, term: interfaces.Term | None) -> None:
        now = self._context.clock()
        before = self._term
        self._term = term
        if term is None:
            self._polls.close()
            self._scheduler.end_term(now)
        elif before is not None and before.epoch == term.epoch:
            self._scheduler.grant_earlier(term.grant_from)
        else:
            self._start_term(now, term)

    def _start_term(self, now: float, term: interfaces.Term) -> None:
        self._polled_in_term = False
        self._dead_entries.clear()
        self._scheduler.start_term(now, term.epoch, term.grant_from)
        self._on_vms(self._context.vms.vms_by_id())
        self._tick()

    def _on_configuration(self, current: configuration.Configuration) -> None:
        self._scheduler.configure(self._context.clock(), current)

    def _on_vms(self, vms_by_id: dict[model.VmId, model.Vm]) -> None:
        own = self._context.settings.zone
        listed = [
            vm
            for vm in vms_by_id.values()
            if vm.role is model.VmRole.UPSTREAM and vm.zone == own
        ]
        self._scheduler.set_upstreams(self._context.clock(), listed)
        if self._term is not None:
            self._polls.set_upstreams(listed)

    def _on_status(
        self,
        upstream_id: model.UpstreamId,
        status: platform.UpstreamStatus | None,
        sent_at: float,
    ) -> None:
        now = self._context.clock()
        self._scheduler.upstream_status(now, upstream_id, status, sent_at)

    def _on_message(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        # An invalid leader drops messages: entries ask again, and what a
        # lost release held is found out from the upstreams' status.
        now = self._context.clock()
        if self._leads(now):
            self._send(self._scheduler.handle(now, sender, message))

    def _on_zone_state(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.ZoneState):
            return
        self._shares.set_remote(
            self._context.clock(),
            message.zone,
            message.teams,
            message.capacity,
            message.slots,
        )

    def _tick(self) -> None:
        now = self._context.clock()
        if not self._leads(now):
            return
        self._poll_after_wait(now)
        for vm_id in self._newly_dead():
            self._send(self._scheduler.entry_lost(now, vm_id))
        self._send(self._scheduler.tick(now))
        if now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_INTERVAL_S
            self._gossip(now)

    def _leads(self, now: float) -> bool:
        """Return whether the scheduler may be used.

        Before ``grant_from`` it grants nothing by itself, and what it
        learns until then saves time afterwards.
        """
        if self._term is None:
            return False
        if now < self._term.grant_from:
            return True
        return self._context.leaders.is_valid_leader(now)

    def _poll_after_wait(self, now: float) -> None:
        # Only a status asked for after ``grant_from`` makes slots usable.
        term = self._term
        if term is None or self._polled_in_term or now < term.grant_from:
            return
        self._polled_in_term = True
        self._polls.close()
        self._on_vms(self._context.vms.vms_by_id())

    def _newly_dead(self) -> set[model.VmId]:
        peers = self._context.links.peers_by_id().values()
        dead = {peer.vm_id for peer in peers if not peer.alive}
        newly = dead - self._dead_entries
        self._dead_entries = dead
        return newly

    def _gossip(self, now: float) -> None:
        state = self._scheduler.zone_state(now)
        for zone in self._context.view.current.zones_by_id.values():
            if zone.name == self._context.settings.zone:
                continue
            leader = self._context.leaders.leader_of(zone.name)
            if leader is not None:
                self._context.links.send(leader.vm_id, state)

    def _send(self, items: list[outgoing.Outgoing]) -> None:
        for item in items:
            self._context.links.send(item.to, item.message)


def create(
    context: contexts.Context, shared: shared_state.Shared
) -> RequestController:
    """Return the component that grants slots while this node leads."""
    return RequestController(context, shared)
