"""How this entry asks zone leaders for slots.

One question (:class:`asks.Ask`) leads to at most one grant that is used.  It
may stand at several leaders at the same time; whatever else they grant is
given back at once.
"""

import asyncio
import time

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import context as contexts
from samphirestackd.dispatch import asks
from samphirestackd.dispatch import cancellations
from samphirestackd.dispatch import held as held_grants
from samphirestackd.dispatch import records
from samphirestackd.dispatch import timings as timing_types
from samphirestackd import interfaces

NOT_LEADING = errors.NoLeader.code
SPILLING_CODES = frozenset({errors.NoCapacity.code})


class SlotBroker:
    """Asks leaders for slots and sorts out what they answer."""

    def __init__(
        self,
        context: contexts.Context,
        timings: timing_types.Timings,
        held: held_grants.HeldGrants,
    ) -> None:
        self._context = context
        self._timings = timings
        self._held = held
        self._own_zone = context.settings.zone
        self._cancellations = cancellations.Cancellations(
            context.links, timings.cancel_batch_s
        )
        self._asks_by_id: dict[model.RequestId, asks.Ask] = {}
        self._epochs_by_zone: dict[model.ZoneId, model.Epoch] = {}
        self._reported_by_zone: dict[model.ZoneId, interfaces.Leader] = {}
        self._leaderless_since: float | None = context.clock()
        if self._leader_of(self._own_zone) is not None:
            self._leaderless_since = None
        context.leaders.on_leader_change(self._leader_changed)
        context.links.subscribe(messages.Grant, self._on_grant)
        context.links.subscribe(messages.Refuse, self._on_refuse)
        context.links.subscribe(
            messages.LeaderChanged, self._on_leader_message
        )

    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._asks_by_id)

    async def acquire(self, record: records.Record) -> held_grants.Held:
        """Wait for a slot and return the grant, registered as held.

        :raises errors.SamphireError: refused, cancelled or too late; the
            request holds no grant then.
        """
        ask = asks.Ask(
            record,
            record.next_ask(time.time()),
            self._context.clock(),
            self._timings.resend_s,
        )
        self._asks_by_id[ask.request_id] = ask
        self._ask_zone(ask, self._own_zone)
        if not ask.future.done():
            self._check(ask)
        try:
            return await ask.future
        except asyncio.CancelledError:
            self._give_back_unseen(ask)
            raise
        finally:
            self._close(ask)

    def cancel(self, request_id: model.RequestId) -> bool:
        """End the wait of a request; false if it doesn't wait."""
        ask = self._asks_by_id.get(request_id)
        if ask is None or ask.future.done():
            return False
        ask.fail(errors.Cancelled(f'request {request_id!r} was cancelled'))
        return True

    def _give_back_unseen(self, ask: asks.Ask) -> None:
        """Return a grant that came as its waiter was being cancelled."""
        if ask.was_granted:
            self._held.abandon(ask.future.result())

    def _close(self, ask: asks.Ask) -> None:
        if self._asks_by_id.get(ask.request_id) is ask:
            del self._asks_by_id[ask.request_id]
        if ask.timer is not None:
            ask.timer.cancel()
        granted_by = ask.future.result().leader if ask.was_granted else None
        for leader in ask.leaders_by_zone.values():
            if leader != granted_by:
                self._cancellations.add(leader, ask.request_id)

    def _leader_of(self, zone: model.ZoneId) -> interfaces.Leader | None:
        leader = self._context.leaders.leader_of(zone)
        if leader is not None:
            self._note_epoch(zone, leader.epoch)
        return leader

    def _note_epoch(self, zone: model.ZoneId, epoch: model.Epoch) -> None:
        if epoch > self._epochs_by_zone.get(zone, 0):
            self._epochs_by_zone[zone] = epoch

    def _ask_zone(self, ask: asks.Ask, zone: model.ZoneId) -> bool:
        """Send the question to the leader of a zone, if it has one."""
        leader = self._leader_of(zone)
        if leader is None:
            ask.leaders_by_zone.pop(zone, None)
            return False
        self._send(ask, zone, leader)
        return True

    def _send(
        self, ask: asks.Ask, zone: model.ZoneId, leader: interfaces.Leader
    ) -> None:
        self._cancellations.settle(leader.vm_id, ask.request_id)
        ask.leaders_by_zone[zone] = leader.vm_id
        ask.refusals_by_zone.pop(zone, None)
        call = ask.record.call
        now = self._context.clock()
        self._context.links.send(
            leader.vm_id,
            messages.RequestSlot(
                request_id=call.request_id,
                queue=call.queue.name,
                team=call.team,
                waited_s=now - ask.record.received_at,
                deadline_in_s=ask.record.deadline_at - now,
                attempt=ask.attempt,
                idempotent=call.idempotent,
                avoid=ask.record.avoid,
                spilled=zone != self._own_zone,
            ),
        )

    def _check(self, ask: asks.Ask) -> None:
        """Do what is due for a waiting request and set its next timer."""
        if ask.future.done():
            return
        now = self._context.clock()
        if now >= ask.record.deadline_at:
            ask.fail(asks.too_late(ask))
            return
        if now >= ask.resend_at:
            ask.resend_s = min(ask.resend_s * 2, self._timings.resend_max_s)
            ask.resend_at = now + ask.resend_s
            for zone in {self._own_zone, *ask.leaders_by_zone}:
                if zone not in ask.refusals_by_zone:
                    self._ask_zone(ask, zone)
        spill_at = self._spill_at(ask)
        if now >= spill_at:
            self._spill(ask)
            spill_at = ask.resend_at
        due = min(ask.record.deadline_at, ask.resend_at, spill_at)
        self._set_timer(ask, due - now)

    def _set_timer(self, ask: asks.Ask, delay_s: float) -> None:
        if ask.timer is not None:
            ask.timer.cancel()
        if not ask.future.done():
            ask.timer = asyncio.get_running_loop().call_later(
                max(delay_s, 0.001), self._check, ask
            )

    def _spill_at(self, ask: asks.Ask) -> float:
        """Return when other zones are to be asked."""
        times = [ask.record.deadline_at]
        if self._leaderless_since is not None:
            times.append(self._leaderless_since + self._timings.spill_after_s)
        if ask.is_urgent:
            times.append(ask.since + self._timings.spill_after_s)
        return min(times)

    def _spill(self, ask: asks.Ask) -> bool:
        """Ask the leaders of all other zones that were not asked yet."""
        asked = False
        for zone in self._other_zones():
            if zone in ask.leaders_by_zone or zone in ask.refusals_by_zone:
                continue
            if self._ask_zone(ask, zone):
                asked = True
            else:
                ask.leaders_by_zone.pop(zone, None)
        if asked:
            self._context.events.record(
                'request.spilled', request_id=ask.request_id
            )
        return asked

    def _other_zones(self) -> list[model.ZoneId]:
        zones = self._context.view.current.zones_by_id.values()
        return [
            zone.name
            for zone in zones
            if zone.name != self._own_zone and not zone.lost
        ]

    def _zone_of(self, vm_id: model.VmId) -> model.ZoneId | None:
        if vm_id == self._context.links.own_id:
            return self._own_zone
        peer = self._context.links.peers_by_id().get(vm_id)
        return None if peer is None else peer.zone

    def _on_grant(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Grant)
        if message.grant_id in self._held:
            # A duplicate of a grant in use; giving it back would free a
            # slot that is taken.
            return
        ask = self._asks_by_id.get(message.request_id)
        zone = None if ask is None else ask.zone_of(sender)
        if (
            ask is None
            or zone is None
            or message.epoch < self._epochs_by_zone.get(zone, 0)
            or ask.future.done()
            or message.attempt not in (0, ask.attempt)
            or message.grant_id in ask.record.spent_grants
        ):
            self._held.return_unused(sender, message)
            return
        self._note_epoch(zone, message.epoch)
        call = ask.record.call
        held = held_grants.Held(
            message,
            zone,
            sender,
            call.queue.name,
            call.team,
            self._context.clock(),
        )
        ask.record.spent_grants.add(message.grant_id)
        self._held.add(held)
        ask.future.set_result(held)

    def _on_refuse(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Refuse)
        ask = self._asks_by_id.get(message.request_id)
        zone = None if ask is None else ask.zone_of(sender)
        if ask is None or zone is None or ask.future.done():
            return
        del ask.leaders_by_zone[zone]
        if message.code == NOT_LEADING:
            # Asked again when the new leader is known or by the timer.
            return
        ask.refusals_by_zone[zone] = message
        self._after_refusal(ask, zone, message)

    def _after_refusal(
        self, ask: asks.Ask, zone: model.ZoneId, refusal: messages.Refuse
    ) -> None:
        own = zone == self._own_zone
        if own and refusal.code not in SPILLING_CODES:
            ask.fail(asks.error_of(refusal))
            return
        if own:
            self._spill(ask)
        own_refusal = ask.refusals_by_zone.get(self._own_zone)
        if not ask.leaders_by_zone and own_refusal is not None:
            ask.fail(asks.error_of(own_refusal))

    def _on_leader_message(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.LeaderChanged)
        zone = self._zone_of(message.leader)
        if zone is not None:
            # A leader that got no report asks again.
            self._reported_by_zone.pop(zone, None)
            self._leader_changed(
                zone, interfaces.Leader(message.leader, message.epoch)
            )

    def _leader_changed(
        self, zone: model.ZoneId, leader: interfaces.Leader | None
    ) -> None:
        own = zone == self._own_zone
        if leader is None:
            # The same leader may come back after messages were lost.
            self._reported_by_zone.pop(zone, None)
            if own and self._leaderless_since is None:
                self._leaderless_since = self._context.clock()
                for ask in list(self._asks_by_id.values()):
                    self._check(ask)
            return
        if leader.epoch < self._epochs_by_zone.get(zone, 0):
            return
        self._note_epoch(zone, leader.epoch)
        if own:
            self._leaderless_since = None
        if self._reported_by_zone.get(zone) == leader:
            return
        self._reported_by_zone[zone] = leader
        self._held.report_to(zone, leader, always=own)
        for ask in list(self._asks_by_id.values()):
            if not ask.future.done() and (own or zone in ask.leaders_by_zone):
                self._send(ask, zone, leader)
