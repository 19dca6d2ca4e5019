"""The request scheduler of a zone leader.

Entries request slots of upstreams and get grants.  The scheduler keeps its
state in memory only.  After a change of leader the state is rebuilt from
the reports of the entries and the requests that the upstreams list.

The protocol between the scheduler and the entries:

- The scheduler sends a grant again when its request is repeated or is not
  listed by its upstream.  An entry that can't use a grant releases it as
  not run each time it arrives, and never uses it afterwards.
- Each new attempt has a higher ``attempt`` than the one before.
- An entry answers ``LeaderChanged`` with a ``HeldReport`` and does not use
  grants of lower epochs that arrive later.
- An entry sends the request of a grant within ``holds.GRANT_SEND_TIMEOUT_S``
  seconds or releases the grant.
"""

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.decisions import queueing
from samphirestack.internal.decisions import routing
from samphirestack.internal.decisions import waiting_requests
from samphirestack.internal.leader import admission
from samphirestack.internal.leader import deferred_requests
from samphirestack.internal.leader import expiring_records
from samphirestack.internal.leader import granting
from samphirestack.internal.leader import holds
from samphirestack.internal.leader import outbox
from samphirestack.internal.leader import outgoing
from samphirestack.internal.leader import reports
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts

CLEANUP_INTERVAL_S = 0.5
STALE_ATTEMPT_S = 2.0
"""Time for which a request for an attempt that has ended is ignored as a
late message."""

_END_RETENTION_S = 10.0


class RequestScheduler:
    """Queues requests of a zone and grants slots of its upstreams.

    :param ledger: shared with the task scheduler.
    :param shares: shared with the task scheduler.
    :param max_waiting: bound on waiting requests.
    """

    def __init__(
        self,
        own_id: model.VmId,
        zone: model.ZoneId,
        ledger: limits.TeamLedger,
        shares: fairshare.ShareTracker,
        max_waiting: int = queueing.MAX_WAITING,
    ) -> None:
        self._own_id = own_id
        self._zone = zone
        self._ledger = ledger
        self._shares = shares
        self._teams: set[model.TeamId] = set()
        self._outbox = outbox.Outbox()
        self._pool = routing.UpstreamPool()
        self._holds = holds.HoldTable(self._pool, ledger, shares)
        self._admission = admission.Admission(
            zone, self._pool, self._outbox, max_waiting
        )
        self._granter = granting.Granter(
            zone, self._pool, self._holds, ledger, shares
        )
        self._reports = reports.EntryReports()
        self._ended_attempts: expiring_records.ExpiringRecords[
            model.RequestId
        ] = expiring_records.ExpiringRecords(_END_RETENTION_S)
        self._released_grants: expiring_records.ExpiringRecords[
            model.GrantId
        ] = expiring_records.ExpiringRecords(_END_RETENTION_S)
        self._epoch: model.Epoch | None = None
        self._grant_from = 0.0
        self._report_grace_over = False
        self._clean_up_at = 0.0

    def configure(
        self, now: float, configuration: configurations.Configuration
    ) -> None:
        """Apply a configuration.

        Refusals of retired work are returned by the next call that returns
        messages.
        """
        self._ledger.configure(configuration.teams_by_id)
        present = {team.name for team in configuration.teams_by_id.values()}
        for team in configuration.teams_by_id.values():
            self._shares.set_weight(team.name, team.share)
        for name in self._teams - present:
            self._shares.remove_team(name)
        self._teams = present
        self._reports.expect(
            member.vm_id
            for member in configuration.members_by_id.values()
            if member.zone == self._zone
        )
        self._admission.configure(configuration)
        self._readmit(now, self._admission.pop_deferred(lambda _: True))

    def set_upstreams(self, now: float, vms: list[model.Vm]) -> None:
        """Set the list of VMs; those of other zones are ignored."""
        own = [vm for vm in vms if vm.zone == self._zone]
        self._pool.set_upstreams(now, own)
        self._shares.set_capacity(slots=self._pool.capacity().slots)

    def upstream_status(
        self,
        now: float,
        upstream_id: model.UpstreamId,
        status: platform.UpstreamStatus | None,
        sent_at: float | None = None,
    ) -> None:
        """Process the status of an upstream, ``None`` if it did not answer.

        :param sent_at: when the status was requested; ``now`` if omitted.
        """
        asked_at = now if sent_at is None else sent_at
        leads = self._epoch is not None
        self._pool.record_status(
            upstream_id, status, leads and asked_at >= self._grant_from
        )
        if status is None or not leads:
            return
        unlisted = self._holds.reconcile(now, upstream_id, status, asked_at)
        for hold in unlisted:
            self._send_grant(hold)

    def start_term(
        self, now: float, epoch: model.Epoch, grant_from: float
    ) -> None:
        """Begin to lead the zone with an empty state.

        :param grant_from: time until which a former leader may still grant
            slots.  A status requested earlier makes no slot usable.
        """
        self.end_term(now)
        self._epoch = epoch
        self._grant_from = grant_from
        self._report_grace_over = False
        self._clean_up_at = now
        self._reports.start_term()
        self._pool.require_status()

    def allow_grants_from(self, grant_from: float) -> None:
        """Allow grants from an earlier time than :meth:`start_term` did.

        :param grant_from: time by which the former leader is known to have
            stopped granting.
        """
        self._grant_from = min(self._grant_from, grant_from)

    def end_term(self, now: float) -> None:
        """Stop leading and discard all requests and slots."""
        self._epoch = None
        self._outbox.pop_all()
        self._admission.clear()
        self._holds.clear(now)
        self._ended_attempts.clear()
        self._released_grants.clear()

    def handle(
        self, now: float, sender: model.VmId, message: messages.AnyMessage
    ) -> list[outgoing.Outgoing]:
        """Process a message of an entry and return the messages to send."""
        if self._epoch is None:
            return []
        self._holds.entry_alive(sender)
        self._reports.entry_alive(sender)
        if isinstance(message, messages.RequestSlot):
            self._handle_request(now, sender, message)
        elif isinstance(message, messages.Release):
            self._handle_release(now, message)
        elif isinstance(message, messages.CancelSlots):
            self._handle_cancel(now, sender, message)
        elif isinstance(message, messages.HeldReport):
            self._handle_report(now, sender, message)
        return self._decide(now)

    def entry_lost(
        self, now: float, vm_id: model.VmId
    ) -> list[outgoing.Outgoing]:
        """Remove the requests of a lost entry; its slots stay in use."""
        if self._epoch is None:
            return []
        self._admission.entry_lost(vm_id)
        self._holds.entry_lost(now, vm_id)
        self._reports.entry_lost(vm_id)
        return self._decide(now)

    def tick(self, now: float) -> list[outgoing.Outgoing]:
        """Return the messages that are due, such as grants and refusals."""
        if self._epoch is None:
            return []
        if now >= self._clean_up_at:
            self._clean_up_at = now + CLEANUP_INTERVAL_S
            self._clean_up(now, self._epoch)
        return self._decide(now)

    def zone_state(self, now: float) -> messages.ZoneState:
        """Return the usage of this zone, which the other zone leaders need."""
        waiting = self._admission.queue.waiting_by_team()
        teams = {item.team for item in self._ledger.usages()} | set(waiting)
        usages = []
        for team in sorted(teams):
            used = self._ledger.usage(team)
            usages.append(
                messages.TeamUsage(
                    team,
                    used.running,
                    used.resources,
                    waiting.get(team, 0),
                    self._shares.slots_of(team),
                    self._shares.pop_mean_slots(now, team),
                )
            )
        capacity = self._pool.capacity()
        return messages.ZoneState(
            self._zone,
            self._epoch or model.Epoch(0),
            capacity.slots,
            capacity.free,
            self._shares.own_capacity(),
            tuple(usages),
        )

    def _handle_request(
        self, now: float, sender: model.VmId, slot: messages.RequestSlot
    ) -> None:
        if not slot.spilled and not self._reports.has_reported(sender):
            self._reports.request_report(sender)
            self._admission.defer(now, sender, slot)
            return
        if self._is_stale(now, slot):
            return
        hold = self._holds.active_for(slot.request_id)
        if hold is not None:
            if not hold.attempt or slot.attempt <= hold.attempt:
                hold.entry = sender
                self._send_grant(hold)
                return
            self._ended_attempts.add(now, hold.request_id, hold.attempt)
            self._holds.release_when_unlisted(now, hold)
        queue = self._admission.queue
        waiting = queue.get(slot.request_id)
        if waiting is not None:
            if slot.attempt <= waiting.attempt:
                queue.move_to_entry(waiting, sender)
                return
            queue.remove(slot.request_id)
        self._admission.admit(now, sender, slot)

    def _is_stale(self, now: float, slot: messages.RequestSlot) -> bool:
        """Return whether a request is late, for an attempt that has ended."""
        ended = self._ended_attempts.number(slot.request_id)
        if ended is None or slot.attempt > ended:
            return False
        age_s = now - self._ended_attempts.recorded_at(slot.request_id)
        return slot.attempt < ended or age_s < STALE_ATTEMPT_S

    def _handle_release(self, now: float, message: messages.Release) -> None:
        self._released_grants.add(now, message.grant_id)
        hold = self._holds.by_grant(message.grant_id)
        if hold is None:
            return
        self._ended_attempts.add(now, hold.request_id, hold.attempt)
        was_active = hold.state is holds.HoldState.ACTIVE
        if message.verdict is verdicts.Verdict.MAY_HAVE_RUN:
            self._holds.release_when_unlisted(now, hold)
        else:
            self._holds.free(now, hold)
        if message.upstream_leaving:
            self._pool.mark_leaving(hold.upstream_id)
        has_run = message.verdict is verdicts.Verdict.RAN
        if was_active and (message.failed or has_run):
            self._pool.record_result(now, hold.upstream_id, message.failed)

    def _handle_cancel(
        self, now: float, sender: model.VmId, message: messages.CancelSlots
    ) -> None:
        """Remove waiting requests.

        A request that has a grant keeps its slot until the entry releases
        it, because the entry may already use it.
        """
        for request_id in message.request_ids:
            waiting = self._admission.cancel(sender, request_id)
            if waiting is not None:
                self._ended_attempts.add(now, request_id, waiting.attempt)

    def _handle_report(
        self, now: float, sender: model.VmId, message: messages.HeldReport
    ) -> None:
        if message.epoch != self._epoch or self._reports.has_reported(sender):
            # A second report may be older than grants that were made after
            # the first one.
            return
        for held in message.grants:
            self._adopt(now, sender, held)
        self._reports.record_report(sender)
        self._readmit(
            now,
            self._admission.pop_deferred(lambda item: item.sender == sender),
        )

    def _adopt(
        self, now: float, sender: model.VmId, held: messages.HeldGrant
    ) -> None:
        is_known = self._holds.by_grant(held.grant_id) is not None
        is_released = self._released_grants.number(held.grant_id) is not None
        if is_known or is_released:
            return
        self._admission.queue.remove(held.request_id)
        self._holds.adopt(
            now,
            holds.Hold(
                grant_id=held.grant_id,
                request_id=held.request_id,
                upstream_id=held.upstream_id,
                team=held.team,
                since=now,
                deadline=now + self._admission.max_duration_s(held.queue),
                queue=held.queue,
                entry=sender,
                attempt=held.attempt,
            ),
        )

    def _readmit(
        self, now: float, items: list[deferred_requests.DeferredRequest]
    ) -> None:
        for item in items:
            self._handle_request(now, item.sender, item.adjusted_slot(now))

    def _clean_up(self, now: float, epoch: model.Epoch) -> None:
        report_request = messages.LeaderChanged(self._own_id, epoch)
        for entry in self._reports.entries_to_ask(now):
            self._outbox.send(entry, report_request)
        self._holds.free_removed_upstreams(now)
        self._pool.remove_unlisted(now - holds.REMOVED_UPSTREAM_GRACE_S)
        self._admission.clean_up(now, self._reports.has_reported)

    def _decide(self, now: float) -> list[outgoing.Outgoing]:
        """Make all decisions that are possible now, and return messages."""
        queue = self._admission.queue
        queue.promote(now)
        for waiting in queue.pop_expired(now):
            self._refuse_expired(now, waiting)
        if self._epoch is not None and self._may_grant(now):
            self._pool.update_breakers(now)
            hold = self._granter.grant_next(now, self._epoch, queue)
            while hold is not None:
                self._send_grant(hold)
                hold = self._granter.grant_next(now, self._epoch, queue)
        return self._outbox.pop_all()

    def _may_grant(self, now: float) -> bool:
        if now < self._grant_from:
            return False
        if self._reports.is_complete() or self._report_grace_over:
            return True
        if now < self._grant_from + reports.REPORT_GRACE_S:
            return False
        # Grants that the missing entries got from the former leader are
        # only known from the next status of each upstream.
        self._report_grace_over = True
        self._grant_from = now
        self._pool.require_status()
        return True

    def _refuse_expired(
        self, now: float, waiting: waiting_requests.WaitingRequest
    ) -> None:
        waited_s = now - waiting.enqueued_at
        reason = f'no slot became free in {waited_s:.1f} s'
        if self._granter.is_at_limit(waiting.team):
            reason = f'team {waiting.team!r} was at its limit'
        self._granter.record_refusal(now, waiting, reason)
        self._outbox.refuse_waiting(waiting, 'deadline_exceeded', reason)

    def _send_grant(self, hold: holds.Hold) -> None:
        if self._epoch is None:
            return
        self._outbox.send(
            hold.entry,
            messages.Grant(
                hold.request_id,
                hold.grant_id,
                hold.upstream_id,
                self._pool.address(hold.upstream_id),
                self._epoch,
                hold.attempt,
            ),
        )
