"""Accounting of upstream slots that are in use or may be in use.

A :class:`Hold` is one such slot.  It is counted at its upstream, in the
slice of its team and in the team's share from :meth:`HoldTable.add` to
:meth:`HoldTable.free`.

A hold ends in one of these ways:

- The entry releases it and knows whether the request ran.
- The entry releases it, but the request may still run.  The hold is freed
  when the upstream no longer lists the request.
- The entry is lost.  The hold is freed in the same way, but a grant that
  was never listed is kept longer, because the entry may be alive behind a
  broken link and may still send the request.
- The upstream listed a request without a grant.  The hold is freed when
  the upstream no longer lists the request.
"""

import enum

from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.decisions import routing
from samphirestack.internal.leader import expiring_records
from samphirestack import model
from samphirestack import platform

UNLISTED_COUNT_TO_FREE = 2
"""Consecutive statuses without the request after which a hold that was
never listed is freed.  A single status may be older than the arrival of a
request that is on its way."""

GRANT_SEND_TIMEOUT_S = 2.0
"""Time after a grant within which its entry sends the request, or never."""

RELEASE_GRACE_S = 5.0
"""Time after the deadline of a request within which its entry releases the
grant, unless the release is lost."""

REMOVED_UPSTREAM_GRACE_S = 10.0
"""Time after which an upstream missing from the VM list counts as removed."""

NO_RESOURCES = model.Resources()

_RELEASE_RETENTION_S = 60.0
_UNKNOWN_QUEUE = model.QueueId('')
_UNKNOWN_ENTRY = model.VmId('')


class HoldState(enum.Enum):
    """Reason why a slot counts as used."""

    ACTIVE = 'active'
    """An entry may use its grant."""
    AWAITING_END = 'lingering'
    """The entry released it, but the upstream may still run the request."""
    ORPHAN = 'orphan'
    """The upstream listed a request that has no grant."""


class Hold:
    """One used slot; times are monotonic seconds."""

    __slots__ = (
        'attempt',
        'deadline',
        'entry',
        'grant_id',
        'queue',
        'request_id',
        'since',
        'state',
        'team',
        'unlisted_count',
        'upstream_id',
        'was_listed',
    )

    def __init__(
        self,
        *,
        grant_id: model.GrantId,
        request_id: model.RequestId,
        upstream_id: model.UpstreamId,
        team: model.TeamId,
        since: float,
        deadline: float,
        queue: model.QueueId = _UNKNOWN_QUEUE,
        entry: model.VmId = _UNKNOWN_ENTRY,
        attempt: int = 0,
        state: HoldState = HoldState.ACTIVE,
    ) -> None:
        self.grant_id = grant_id
        self.request_id = request_id
        self.upstream_id = upstream_id
        self.queue = queue
        self.team = team
        self.entry = entry
        self.attempt = attempt
        self.state = state
        self.since = since
        self.deadline = deadline
        self.was_listed = False
        self.unlisted_count = 0


_ByRequest = dict[model.RequestId, Hold]


class HoldTable:
    """All used slots of a zone."""

    def __init__(
        self,
        pool: routing.UpstreamPool,
        ledger: limits.TeamLedger,
        shares: fairshare.ShareTracker,
    ) -> None:
        self._pool = pool
        self._ledger = ledger
        self._shares = shares
        self._by_grant: dict[model.GrantId, Hold] = {}
        self._active_by_request: _ByRequest = {}
        self._by_upstream: dict[model.UpstreamId, _ByRequest] = {}
        self._inactive_by_request: dict[
            model.RequestId, dict[model.UpstreamId, None]
        ] = {}
        self._lost_at_by_entry: dict[model.VmId, float] = {}
        self._released_requests: expiring_records.ExpiringRecords[
            tuple[model.UpstreamId, model.RequestId]
        ] = expiring_records.ExpiringRecords(_RELEASE_RETENTION_S)

    def __len__(self) -> int:
        return len(self._by_grant)

    def by_grant(self, grant_id: model.GrantId) -> Hold | None:
        """Return the hold of a grant."""
        return self._by_grant.get(grant_id)

    def active_for(self, request_id: model.RequestId) -> Hold | None:
        """Return the hold that the entry of a request may use."""
        return self._active_by_request.get(request_id)

    def find(
        self, upstream_id: model.UpstreamId, request_id: model.RequestId
    ) -> Hold | None:
        """Return the hold of a request at an upstream."""
        return self._by_upstream.get(upstream_id, {}).get(request_id)

    def excluded_for(
        self, request_id: model.RequestId
    ) -> dict[model.UpstreamId, None]:
        """Return upstreams that may still work on an earlier attempt.

        A second attempt there could not be told from the first one in the
        upstream's status.
        """
        return self._inactive_by_request.get(request_id, {})

    def add(self, now: float, hold: Hold) -> None:
        """Count a slot as used; the caller has charged the team's slice."""
        self._by_grant[hold.grant_id] = hold
        at_upstream = self._by_upstream.setdefault(hold.upstream_id, {})
        at_upstream[hold.request_id] = hold
        if hold.state is HoldState.ACTIVE:
            self._active_by_request[hold.request_id] = hold
        else:
            self._add_inactive(hold)
        self._pool.occupy_slot(hold.upstream_id)
        self._shares.charge(now, hold.team, 1, NO_RESOURCES)

    def adopt(self, now: float, hold: Hold) -> None:
        """Count a slot that is already in use.

        The hold replaces one of the same request at the same upstream,
        since both stand for the same slot.
        """
        known = self.find(hold.upstream_id, hold.request_id)
        if known is not None:
            hold.was_listed = known.was_listed
            self.free(now, known)
        other = self._active_by_request.get(hold.request_id)
        if other is not None and hold.state is HoldState.ACTIVE:
            self.release_when_unlisted(now, other)
        self._ledger.adopt(hold.team, 1, NO_RESOURCES)
        self.add(now, hold)

    def release_when_unlisted(self, now: float, hold: Hold) -> None:
        """Keep a slot in use until the upstream stops listing the request."""
        if hold.state is HoldState.AWAITING_END:
            return
        self._remove_from_state_index(hold)
        hold.state = HoldState.AWAITING_END
        hold.since = now
        hold.unlisted_count = 0
        self._add_inactive(hold)

    def free(self, now: float, hold: Hold) -> None:
        """Count a slot as free."""
        self._remove_from_state_index(hold)
        del self._by_grant[hold.grant_id]
        at_upstream = self._by_upstream[hold.upstream_id]
        del at_upstream[hold.request_id]
        if not at_upstream:
            del self._by_upstream[hold.upstream_id]
        self._released_requests.add(now, (hold.upstream_id, hold.request_id))
        self._pool.release_slot(hold.upstream_id)
        self._ledger.release(hold.team, 1, NO_RESOURCES)
        self._shares.refund(now, hold.team, 1, NO_RESOURCES)

    def clear(self, now: float) -> None:
        """Free all holds; another node counts them now."""
        for hold in list(self._by_grant.values()):
            self.free(now, hold)
        self._lost_at_by_entry.clear()
        self._released_requests.clear()

    def entry_lost(self, now: float, entry: model.VmId) -> None:
        """Record that an entry is lost and may not release its grants."""
        self._lost_at_by_entry.setdefault(entry, now)

    def entry_alive(self, entry: model.VmId) -> None:
        """Record that an entry is alive."""
        self._lost_at_by_entry.pop(entry, None)

    def reconcile(
        self,
        now: float,
        upstream_id: model.UpstreamId,
        status: platform.UpstreamStatus,
        sent_at: float,
    ) -> list[Hold]:
        """Compare the holds at an upstream with the requests that it lists.

        Returns the holds of live entries that the upstream repeatedly does
        not list.

        :param sent_at: when the status was requested.  A request that began
            later may be missing from it, and one that ended later may
            still be listed.
        """
        listed = {item.request_id: item.team for item in status.active}
        unlisted = []
        for hold in list(self._by_upstream.get(upstream_id, {}).values()):
            if hold.request_id in listed:
                hold.was_listed = True
                hold.unlisted_count = 0
                continue
            if sent_at <= hold.since:
                continue
            hold.unlisted_count += 1
            if self._has_ended(now, hold, sent_at):
                self.free(now, hold)
            elif (
                hold.unlisted_count >= UNLISTED_COUNT_TO_FREE
                and not self._is_abandoned(now, hold)
            ):
                unlisted.append(hold)
        for request_id, team in listed.items():
            self._add_orphan(now, upstream_id, request_id, team, sent_at)
        return unlisted

    def free_removed_upstreams(self, now: float) -> None:
        """Free abandoned slots of upstreams that were removed."""
        for upstream_id in list(self._by_upstream):
            unlisted_since = self._pool.unlisted_since(upstream_id)
            if (
                unlisted_since is None
                or now - unlisted_since <= REMOVED_UPSTREAM_GRACE_S
            ):
                continue
            for hold in list(self._by_upstream[upstream_id].values()):
                if self._is_abandoned(now, hold):
                    self.free(now, hold)

    def _has_ended(self, now: float, hold: Hold, sent_at: float) -> bool:
        """Return whether an unlisted request can't run any more."""
        if hold.state is HoldState.ORPHAN:
            return True
        if not self._is_abandoned(now, hold):
            return False
        if hold.was_listed:
            return True
        lost_at = self._lost_at_by_entry.get(hold.entry)
        if hold.state is HoldState.ACTIVE and lost_at is not None:
            return (
                sent_at > lost_at + GRANT_SEND_TIMEOUT_S
                and hold.unlisted_count >= UNLISTED_COUNT_TO_FREE
            )
        return hold.unlisted_count >= UNLISTED_COUNT_TO_FREE

    def _is_abandoned(self, now: float, hold: Hold) -> bool:
        """Return whether no entry is expected to release a hold."""
        return (
            hold.state is not HoldState.ACTIVE
            or hold.entry in self._lost_at_by_entry
            or now > hold.deadline + RELEASE_GRACE_S
        )

    def _add_orphan(
        self,
        now: float,
        upstream_id: model.UpstreamId,
        request_id: model.RequestId,
        team: model.TeamId,
        sent_at: float,
    ) -> None:
        if self.find(upstream_id, request_id) is not None:
            return
        key = (upstream_id, request_id)
        if self._released_requests.recorded_at(key) >= sent_at:
            return
        orphan = Hold(
            grant_id=model.GrantId(f'listed/{upstream_id}/{request_id}'),
            request_id=request_id,
            upstream_id=upstream_id,
            team=team,
            since=now,
            deadline=now,
            state=HoldState.ORPHAN,
        )
        orphan.was_listed = True
        self.adopt(now, orphan)

    def _add_inactive(self, hold: Hold) -> None:
        upstreams = self._inactive_by_request.setdefault(hold.request_id, {})
        upstreams[hold.upstream_id] = None

    def _remove_from_state_index(self, hold: Hold) -> None:
        if hold.state is HoldState.ACTIVE:
            if self._active_by_request.get(hold.request_id) is hold:
                del self._active_by_request[hold.request_id]
            return
        upstreams = self._inactive_by_request[hold.request_id]
        del upstreams[hold.upstream_id]
        if not upstreams:
            del self._inactive_by_request[hold.request_id]
