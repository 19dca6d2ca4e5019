"""Requests of this entry to zone leaders for upstream slots.

A slot request (:class:`slot_requests.SlotRequest`) may be pending at several
leaders at the same time.  At most one grant is used; any further grant is
released at once.
"""

import asyncio
import time

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import context as contexts
from samphirestackd.dispatch import cancellations
from samphirestackd.dispatch import grants
from samphirestackd.dispatch import records
from samphirestackd.dispatch import slot_requests
from samphirestackd.dispatch import timings as timing_types
from samphirestackd import interfaces

NO_LEADER_CODE = errors.NoLeader.code
SPILLING_CODES = frozenset({errors.NoCapacity.code})


class SlotBroker:
    """Requests slots from zone leaders and processes their answers."""

    def __init__(
        self,
        context: contexts.Context,
        timings: timing_types.Timings,
        held_grants: grants.HeldGrants,
    ) -> None:
        self._context = context
        self._timings = timings
        self._held_grants = held_grants
        self._own_zone = context.settings.zone
        self._cancellations = cancellations.Cancellations(
            context.links, timings.cancel_batch_s
        )
        self._slot_requests_by_id: dict[
            model.RequestId, slot_requests.SlotRequest
        ] = {}
        self._epochs_by_zone: dict[model.ZoneId, model.Epoch] = {}
        self._reported_leaders_by_zone: dict[
            model.ZoneId, interfaces.Leader
        ] = {}
        self._leaderless_since: float | None = context.clock()
        if self._leader_of(self._own_zone) is not None:
            self._leaderless_since = None
        context.leaders.on_leader_change(self._on_leader_change)
        context.links.subscribe(messages.Grant, self._on_grant)
        context.links.subscribe(messages.Refuse, self._on_refuse)
        context.links.subscribe(
            messages.LeaderChanged, self._on_leader_changed_message
        )

    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._slot_requests_by_id)

    async def acquire(self, record: records.Record) -> grants.HeldGrant:
        """Wait for a slot and return the grant, registered as held.

        :raises errors.SamphireError: refused, cancelled or past the
            deadline; the request then holds no grant.
        """
        slot_request = slot_requests.SlotRequest(
            record,
            record.next_slot_request_number(time.time()),
            self._context.clock(),
            self._timings.resend_s,
        )
        self._slot_requests_by_id[slot_request.request_id] = slot_request
        self._send_to_zone(slot_request, self._own_zone)
        if not slot_request.future.done():
            self._run_due_actions(slot_request)
        try:
            return await slot_request.future
        except asyncio.CancelledError:
            self._return_undelivered_grant(slot_request)
            raise
        finally:
            self._finish(slot_request)

    def cancel(self, request_id: model.RequestId) -> bool:
        """Cancel the wait of a request; return whether it was waiting."""
        slot_request = self._slot_requests_by_id.get(request_id)
        if slot_request is None or slot_request.future.done():
            return False
        slot_request.fail(
            errors.Cancelled(f'request {request_id!r} was cancelled')
        )
        return True

    def _return_undelivered_grant(
        self, slot_request: slot_requests.SlotRequest
    ) -> None:
        """Release a grant that arrived while its waiter was cancelled."""
        if slot_request.was_granted:
            self._held_grants.abandon(slot_request.future.result())

    def _finish(self, slot_request: slot_requests.SlotRequest) -> None:
        if (
            self._slot_requests_by_id.get(slot_request.request_id)
            is slot_request
        ):
            del self._slot_requests_by_id[slot_request.request_id]
        if slot_request.timer is not None:
            slot_request.timer.cancel()
        granted_by = (
            slot_request.future.result().leader
            if slot_request.was_granted
            else None
        )
        for leader in slot_request.leaders_by_zone.values():
            if leader != granted_by:
                self._cancellations.add(leader, slot_request.request_id)

    def _leader_of(self, zone: model.ZoneId) -> interfaces.Leader | None:
        leader = self._context.leaders.leader_of(zone)
        if leader is not None:
            self._update_epoch(zone, leader.epoch)
        return leader

    def _update_epoch(self, zone: model.ZoneId, epoch: model.Epoch) -> None:
        if epoch > self._epochs_by_zone.get(zone, 0):
            self._epochs_by_zone[zone] = epoch

    def _send_to_zone(
        self, slot_request: slot_requests.SlotRequest, zone: model.ZoneId
    ) -> bool:
        """Send a slot request to the leader of a zone.

        :returns: whether the zone has a leader.
        """
        leader = self._leader_of(zone)
        if leader is None:
            slot_request.leaders_by_zone.pop(zone, None)
            return False
        self._send(slot_request, zone, leader)
        return True

    def _send(
        self,
        slot_request: slot_requests.SlotRequest,
        zone: model.ZoneId,
        leader: interfaces.Leader,
    ) -> None:
        self._cancellations.flush_if_pending(
            leader.vm_id, slot_request.request_id
        )
        slot_request.leaders_by_zone[zone] = leader.vm_id
        slot_request.refusals_by_zone.pop(zone, None)
        call = slot_request.record.call
        now = self._context.clock()
        self._context.links.send(
            leader.vm_id,
            messages.RequestSlot(
                request_id=call.request_id,
                queue=call.queue.name,
                team=call.team,
                waited_s=now - slot_request.record.received_at,
                deadline_in_s=slot_request.record.deadline_at - now,
                attempt=slot_request.attempt,
                idempotent=call.idempotent,
                avoid=slot_request.record.avoid,
                spilled=zone != self._own_zone,
            ),
        )

    def _run_due_actions(
        self, slot_request: slot_requests.SlotRequest
    ) -> None:
        """Expire, resend or spill a slot request and set its next timer."""
        if slot_request.future.done():
            return
        now = self._context.clock()
        if now >= slot_request.record.deadline_at:
            slot_request.fail(slot_requests.deadline_error(slot_request))
            return
        if now >= slot_request.resend_at:
            slot_request.resend_s = min(
                slot_request.resend_s * 2, self._timings.resend_max_s
            )
            slot_request.resend_at = now + slot_request.resend_s
            for zone in {self._own_zone, *slot_request.leaders_by_zone}:
                if zone not in slot_request.refusals_by_zone:
                    self._send_to_zone(slot_request, zone)
        spill_at = self._spill_at(slot_request)
        if now >= spill_at:
            self._spill(slot_request)
            spill_at = slot_request.resend_at
        due_at = min(
            slot_request.record.deadline_at, slot_request.resend_at, spill_at
        )
        self._set_timer(slot_request, due_at - now)

    def _set_timer(
        self, slot_request: slot_requests.SlotRequest, delay_s: float
    ) -> None:
        if slot_request.timer is not None:
            slot_request.timer.cancel()
        if not slot_request.future.done():
            slot_request.timer = asyncio.get_running_loop().call_later(
                max(delay_s, 0.001), self._run_due_actions, slot_request
            )

    def _spill_at(self, slot_request: slot_requests.SlotRequest) -> float:
        """Return the time at which to send to other zones."""
        times = [slot_request.record.deadline_at]
        if self._leaderless_since is not None:
            times.append(self._leaderless_since + self._timings.spill_after_s)
        if slot_request.is_urgent:
            times.append(
                slot_request.requested_at + self._timings.spill_after_s
            )
        return min(times)

    def _spill(self, slot_request: slot_requests.SlotRequest) -> bool:
        """Send to the leaders of all other zones that were not asked yet.

        :returns: whether the slot request was sent to any.
        """
        sent = False
        for zone in self._other_zones():
            if (
                zone in slot_request.leaders_by_zone
                or zone in slot_request.refusals_by_zone
            ):
                continue
            if self._send_to_zone(slot_request, zone):
                sent = True
            else:
                slot_request.leaders_by_zone.pop(zone, None)
        if sent:
            self._context.events.record(
                'request.spilled', request_id=slot_request.request_id
            )
        return sent

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
        if message.grant_id in self._held_grants:
            # A duplicate of a grant in use; releasing it would free a
            # slot that is occupied.
            return
        slot_request = self._slot_requests_by_id.get(message.request_id)
        zone = None if slot_request is None else slot_request.zone_of(sender)
        if (
            slot_request is None
            or zone is None
            or message.epoch < self._epochs_by_zone.get(zone, 0)
            or slot_request.future.done()
            or message.attempt not in (0, slot_request.attempt)
            or message.grant_id in slot_request.record.used_grant_ids
        ):
            self._held_grants.return_unused(sender, message)
            return
        self._update_epoch(zone, message.epoch)
        call = slot_request.record.call
        held_grant = grants.HeldGrant(
            message,
            zone,
            sender,
            call.queue.name,
            call.team,
            self._context.clock(),
        )
        slot_request.record.used_grant_ids.add(message.grant_id)
        self._held_grants.add(held_grant)
        slot_request.future.set_result(held_grant)

    def _on_refuse(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Refuse)
        slot_request = self._slot_requests_by_id.get(message.request_id)
        zone = None if slot_request is None else slot_request.zone_of(sender)
        if slot_request is None or zone is None or slot_request.future.done():
            return
        del slot_request.leaders_by_zone[zone]
        if message.code == NO_LEADER_CODE:
            # Sent again when the new leader is known or the timer fires.
            return
        slot_request.refusals_by_zone[zone] = message
        self._handle_refusal(slot_request, zone, message)

    def _handle_refusal(
        self,
        slot_request: slot_requests.SlotRequest,
        zone: model.ZoneId,
        refusal: messages.Refuse,
    ) -> None:
        own = zone == self._own_zone
        if own and refusal.code not in SPILLING_CODES:
            slot_request.fail(slot_requests.error_from_refusal(refusal))
            return
        if own:
            self._spill(slot_request)
        own_refusal = slot_request.refusals_by_zone.get(self._own_zone)
        if not slot_request.leaders_by_zone and own_refusal is not None:
            slot_request.fail(slot_requests.error_from_refusal(own_refusal))

    def _on_leader_changed_message(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.LeaderChanged)
        zone = self._zone_of(message.leader)
        if zone is not None:
            # A leader repeats this message if it got no report.
            self._reported_leaders_by_zone.pop(zone, None)
            self._on_leader_change(
                zone, interfaces.Leader(message.leader, message.epoch)
            )

    def _on_leader_change(
        self, zone: model.ZoneId, leader: interfaces.Leader | None
    ) -> None:
        own = zone == self._own_zone
        if leader is None:
            # Messages to the same leader may be lost before it returns.
            self._reported_leaders_by_zone.pop(zone, None)
            if own and self._leaderless_since is None:
                self._leaderless_since = self._context.clock()
                for slot_request in list(self._slot_requests_by_id.values()):
                    self._run_due_actions(slot_request)
            return
        if leader.epoch < self._epochs_by_zone.get(zone, 0):
            return
        self._update_epoch(zone, leader.epoch)
        if own:
            self._leaderless_since = None
        if self._reported_leaders_by_zone.get(zone) == leader:
            return
        self._reported_leaders_by_zone[zone] = leader
        self._held_grants.report_to(zone, leader, send_empty=own)
        for slot_request in list(self._slot_requests_by_id.values()):
            if not slot_request.future.done() and (
                own or zone in slot_request.leaders_by_zone
            ):
                self._send(slot_request, zone, leader)
