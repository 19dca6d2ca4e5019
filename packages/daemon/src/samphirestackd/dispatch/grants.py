"""Grants held by this entry and their release."""

import asyncio
import collections

from samphirestack.internal.leader import outgoing
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.dispatch import timings as timing_types
from samphirestackd import interfaces

MAX_UNSENT_RELEASES = 10_000
"""Limit on releases queued for unreachable leaders.  A leader detects a lost
release when the upstream no longer lists the request."""

MAX_ENDED_GRANTS = 2000
"""Released grants that are remembered to recognize duplicates."""


class HeldGrant:
    """A grant in use."""

    __slots__ = ('grant', 'granted_at', 'leader', 'queue', 'team', 'zone')

    def __init__(
        self,
        grant: messages.Grant,
        zone: model.ZoneId,
        leader: model.VmId,
        queue: model.QueueId,
        team: model.TeamId,
        granted_at: float,
    ) -> None:
        self.grant = grant
        self.zone = zone
        self.leader = leader
        self.queue = queue
        self.team = team
        self.granted_at = granted_at


class HeldGrants:
    """All grants in use at this entry.

    A grant must be added before it is passed on, so that a report to a new
    leader is always complete.
    """

    def __init__(
        self, context: contexts.Context, timings: timing_types.Timings
    ) -> None:
        self._context = context
        self._timings = timings
        self._held_by_id: dict[model.GrantId, HeldGrant] = {}
        self._verdicts_by_id: collections.OrderedDict[
            model.GrantId, verdicts.Verdict
        ] = collections.OrderedDict()
        self._unsent_releases: list[outgoing.Outgoing] = []
        self._retry_timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._held_by_id)

    def __contains__(self, grant_id: object) -> bool:
        return grant_id in self._held_by_id

    def add(self, held_grant: HeldGrant) -> None:
        """Register a grant as in use."""
        self._held_by_id[held_grant.grant.grant_id] = held_grant

    def release(
        self,
        held_grant: HeldGrant,
        verdict: verdicts.Verdict,
        *,
        failed: bool = False,
        leaving: bool = False,
    ) -> None:
        """Release a grant to the current leader of its zone.

        Does nothing if the grant was released before.

        :param failed: the send did not get an answer.
        :param leaving: the upstream said that it is shutting down.
        """
        if self._held_by_id.pop(held_grant.grant.grant_id, None) is None:
            return
        self._verdicts_by_id[held_grant.grant.grant_id] = verdict
        if len(self._verdicts_by_id) > MAX_ENDED_GRANTS:
            self._verdicts_by_id.popitem(last=False)
        leader = self._context.leaders.leader_of(held_grant.zone)
        self._send(
            held_grant.leader if leader is None else leader.vm_id,
            messages.Release(
                held_grant.grant.grant_id,
                held_grant.grant.request_id,
                verdict,
                failed,
                self._context.clock() - held_grant.granted_at,
                leaving,
            ),
        )

    def abandon(self, held_grant: HeldGrant) -> None:
        """Release a grant that was added and never used."""
        if self._held_by_id.pop(held_grant.grant.grant_id, None) is not None:
            self.return_unused(held_grant.leader, held_grant.grant)

    def return_unused(self, leader: model.VmId, grant: messages.Grant) -> None:
        """Release a grant that is not needed.

        A duplicate of a released grant is released with the verdict of the
        earlier use, since the upstream may still be working on the request.
        """
        verdict = self._verdicts_by_id.get(
            grant.grant_id, verdicts.Verdict.NOT_RUN
        )
        self._context.events.record(
            'grant.returned',
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            epoch=grant.epoch,
        )
        self._send(
            leader,
            messages.Release(
                grant.grant_id,
                grant.request_id,
                verdict,
                False,
                0.0,
            ),
        )

    def report_to(
        self, zone: model.ZoneId, leader: interfaces.Leader, send_empty: bool
    ) -> None:
        """Report the grants of ``zone`` in use to its new leader.

        :param send_empty: also send a report without grants; the leader of
            the own zone waits for a report from each entry.
        """
        grants = tuple(
            messages.HeldGrant(
                held_grant.grant.grant_id,
                held_grant.grant.request_id,
                held_grant.grant.upstream_id,
                held_grant.queue,
                held_grant.team,
                held_grant.grant.epoch,
                held_grant.grant.attempt,
            )
            for held_grant in self._held_by_id.values()
            if held_grant.zone == zone
        )
        if grants or send_empty:
            self._context.links.send(
                leader.vm_id, messages.HeldReport(leader.epoch, grants)
            )

    def _send(self, leader: model.VmId, release: messages.AnyMessage) -> None:
        if self._context.links.send(leader, release):
            return
        if len(self._unsent_releases) < MAX_UNSENT_RELEASES:
            self._unsent_releases.append(outgoing.Outgoing(leader, release))
        self._schedule_retry()

    def _schedule_retry(self) -> None:
        if self._retry_timer is None:
            self._retry_timer = asyncio.get_running_loop().call_later(
                self._timings.release_retry_s, self._send_unsent_releases
            )

    def _send_unsent_releases(self) -> None:
        """Retry queued releases, except those for former leaders."""
        self._retry_timer = None
        releases, self._unsent_releases = self._unsent_releases, []
        peers = self._context.links.peers_by_id()
        for item in releases:
            peer = peers.get(item.to)
            if peer is None:
                continue
            leader = self._context.leaders.leader_of(peer.zone)
            if leader is None or leader.vm_id == item.to:
                self._send(item.to, item.message)
