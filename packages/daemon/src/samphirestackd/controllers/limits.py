"""Maintains the slices of team limits while this node leads its zone.

A limited team can use nothing until its rows have been read and the own row
has been claimed for the term.  A slice is lowered in the ledger before it is
lowered in the table, and raised in the ledger only after the raised value has
been read from the table.  A single task makes all reads and writes in
sequence.
"""

import asyncio
import collections
import random

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal.decisions import limits
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd.controllers import slice_changes
from samphirestackd.controllers import slice_requests
from samphirestackd.controllers import slice_rows
from samphirestackd.controllers import team_accounting
from samphirestackd import interfaces
from samphirestackd import logs

STEP_INTERVAL_S = 0.25
"""Time between checks for shortages of teams."""

READ_ALL_INTERVAL_S = 30.0
"""Time between reads of all rows; 100 teams in 9 zones are about 100 KB,
and a node may use 6 KB a second."""

DONATION_WAIT_S = 0.5
"""Time within which a donor is expected to have moved a part of its slice."""

MAX_QUEUED_DONATIONS = 1000
"""Maximum number of queued requests from other zones."""

WRITES_PER_CLAIM = 100
"""Rows claimed in one transaction."""


class _DonationRequest(msgspec.Struct, frozen=True):
    """A request from another zone for a part of a slice."""

    zone: model.ZoneId
    team: model.TeamId
    dimension: str
    amount: int


class LimitsController:
    """Reads, claims, lowers, raises and moves the slices of one zone."""

    def __init__(
        self,
        context: contexts.Context,
        accounting: team_accounting.TeamAccounting,
        zone_state_source: slice_requests.ZoneStateSource,
    ) -> None:
        self._context = context
        self._ledger = accounting.ledger
        self._requester = slice_requests.SliceRequester(
            context, accounting, zone_state_source
        )
        self._term: interfaces.Term | None = None
        self._rows_by_team: dict[model.TeamId, slice_rows.RowsByZone] = {}
        self._claimed_teams: set[model.TeamId] = set()
        self._unresolved_teams: set[model.TeamId] = set()
        self._donation_requests: collections.deque[_DonationRequest] = (
            collections.deque(maxlen=MAX_QUEUED_DONATIONS)
        )
        self._reread_at_by_team: dict[model.TeamId, float] = {}
        self._read_all_at = 0.0
        self._lost_since: dict[model.ZoneId, float] = {}
        self._wakeup = asyncio.Event()
        self._rng = random.Random(context.settings.vm_id)
        context.links.subscribe(messages.SliceRequest, self._on_request)

    def set_term(self, term: interfaces.Term | None) -> None:
        """Start or end a term; limits are zero until their rows are read."""
        self._term = term
        self._rows_by_team.clear()
        self._claimed_teams.clear()
        self._unresolved_teams.clear()
        self._donation_requests.clear()
        self._reread_at_by_team.clear()
        for team in self._limited_teams():
            self._set_zero_slice(team)
        self.refresh()

    def refresh(self) -> None:
        """Read all rows again soon, as after a change of the configuration."""
        self._read_all_at = 0.0
        self._wakeup.set()

    def set_zone_state(self, state: messages.ZoneState) -> None:
        """Store the usage that another zone has reported."""
        self._requester.set_zone_state(state)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            try:
                async with asyncio.timeout(
                    STEP_INTERVAL_S if self._term else None
                ):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()
            try:
                await self.step()
            except errors.SamphireError as error:
                logs.debug('limits.failed', reason=error.message)
                await asyncio.sleep(STEP_INTERVAL_S * (1 + self._rng.random()))

    def _limited_teams(self) -> list[configuration.Team]:
        teams = self._context.view.current.teams_by_id.values()
        return [team for team in teams if limits.is_limited(team.limit)]

    def _set_zero_slice(self, team: configuration.Team) -> None:
        zero = limits.clamped_slice(configuration.Limit(), team.limit)
        self._ledger.set_slice(team.name, zero)

    def _on_request(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.SliceRequest):
            return
        peer = self._context.links.peers_by_id().get(sender)
        if self._term is None or peer is None:
            return
        if message.dimension not in limits.DIMENSIONS:
            return
        leader = self._context.leaders.leader_of(peer.zone)
        if leader is None or leader.vm_id != sender:
            return
        self._donation_requests.append(
            _DonationRequest(
                peer.zone, message.team, message.dimension, message.amount
            )
        )
        self._wakeup.set()

    def _leader_view(self, now: float) -> slice_changes.LeaderView | None:
        """Return what this leader knows; ``None`` if it must not act."""
        term = self._term
        if term is None or not self._context.leaders.is_valid_leader(now):
            return None
        own = self._context.settings.zone
        zones = self._context.view.current.zones_by_id.values()
        live = frozenset(zone.name for zone in zones if not zone.lost)
        zones_with_leader = {
            zone
            for zone in live
            if self._context.leaders.leader_of(zone) is not None
        }
        return slice_changes.LeaderView(
            own,
            term.epoch,
            self._context.view.current.revision,
            live,
            slice_changes.reachable_zones(live, zones_with_leader | {own}),
            self._reclaimable_zones(now),
        )

    def _reclaimable_zones(self, now: float) -> frozenset[model.ZoneId]:
        """Return lost zones in which all leases must have expired."""
        timing = self._context.settings.timing
        wait_s = timing.leader_ttl_s + 2 * timing.worker_ttl_s
        zones = self._context.view.current.zones_by_id.values()
        lost = {zone.name for zone in zones if zone.lost}
        self._lost_since = {
            zone: self._lost_since.get(zone, now) for zone in lost
        }
        return frozenset(
            zone
            for zone, since in self._lost_since.items()
            if now - since > wait_s
        )

    async def step(self) -> None:
        """Make the reads, writes and requests that are due.

        :raises errors.SamphireError: the table did not answer.
        """
        now = self._context.clock()
        view = self._leader_view(now)
        if view is None:
            return
        await self._resolve_unknown_writes(view)
        if now >= self._read_all_at:
            await self._read_all(view)
            self._read_all_at = now + READ_ALL_INTERVAL_S * (
                0.9 + self._rng.random()
            )
        for team_id, due in list(self._reread_at_by_team.items()):
            if now >= due:
                del self._reread_at_by_team[team_id]
                await self._read_team(view, team_id)
        while self._donation_requests:
            await self._donate(view, self._donation_requests.popleft())
        self._request_shortages(view)

    async def _read_all(self, view: slice_changes.LeaderView) -> None:
        rows_by_team = await slice_rows.read_all(self._context.table)
        teams = self._limited_teams()
        claims = [
            write
            for team in teams
            for write in slice_changes.claim(
                view, team, rows_by_team.get(team.name, {})
            )
        ]
        if claims and await self._claim(claims):
            rows_by_team = await slice_rows.read_all(self._context.table)
        for team in teams:
            rows = rows_by_team.get(team.name, {})
            await self._reconcile(view, team, rows)

    async def _claim(self, writes: list[platform.Write]) -> bool:
        """Claim rows in large transactions and return whether one succeeded.

        The rows of failed transactions are claimed team by team later.
        """
        claimed = False
        for start in range(0, len(writes), WRITES_PER_CLAIM):
            try:
                await self._context.table.transact(
                    writes[start : start + WRITES_PER_CLAIM]
                )
            except (errors.TransactionConflict, errors.OutcomeUnknown):
                continue
            claimed = True
        return claimed

    async def _read_team(
        self, view: slice_changes.LeaderView, team_id: model.TeamId
    ) -> slice_rows.RowsByZone:
        team = self._context.view.current.teams_by_id.get(team_id)
        if team is None:
            return {}
        rows = await slice_rows.read_team(self._context.table, team_id)
        await self._reconcile(view, team, rows)
        return self._rows_by_team.get(team_id, {})

    async def _reconcile(
        self,
        view: slice_changes.LeaderView,
        team: configuration.Team,
        rows: slice_rows.RowsByZone,
    ) -> None:
        """Update the rows of one team to match its limit and the term."""
        if self._term is None or self._term.epoch != view.epoch:
            # The term has ended during the read.
            return
        own = rows.get(view.zone)
        if own is None or own.value.epoch != view.epoch:
            await self._write(
                view, team, slice_changes.claim(view, team, rows)
            )
            return
        if team.name in self._unresolved_teams:
            return
        self._claimed_teams.add(team.name)
        self._apply_rows(view, team, rows)
        usage = self._ledger.usage(team.name)
        writes = slice_changes.shrink(view, team, rows, usage)
        if not writes and self._may_raise():
            writes = slice_changes.grow(view, team, rows)
        if writes:
            await self._write(view, team, writes)

    def _may_raise(self) -> bool:
        return self._context.view.is_fresh(self._context.clock())

    def _apply_rows(
        self,
        view: slice_changes.LeaderView,
        team: configuration.Team,
        rows: slice_rows.RowsByZone,
    ) -> None:
        """Set the slice in the ledger from the rows that were read.

        A slice that must be lowered is lowered here before the table.
        """
        self._rows_by_team[team.name] = rows
        zones = self._context.view.current.zones_by_id
        if view.zone in zones and zones[view.zone].lost:
            self._set_zero_slice(team)
            return
        usable = slice_changes.usable(view, team, rows)
        self._ledger.set_slice(
            team.name, limits.clamped_slice(usable, team.limit)
        )

    async def _write(
        self,
        view: slice_changes.LeaderView,
        team: configuration.Team,
        writes: list[platform.Write],
    ) -> None:
        """Write rows of a team and schedule a read of the result.

        The ledger allows no more than is valid both with and without the
        write; an unknown outcome is resolved before any slice is raised.
        """
        self._reread_at_by_team[team.name] = self._context.clock()
        try:
            await self._context.table.transact(writes)
        except errors.TransactionConflict:
            # Another leader wrote first; a random pause avoids another
            # conflict with it.
            pause_s = STEP_INTERVAL_S * self._rng.random()
            self._reread_at_by_team[team.name] += pause_s
        except errors.OutcomeUnknown:
            self._unresolved_teams.add(team.name)
        self._wakeup.set()

    async def _resolve_unknown_writes(
        self, view: slice_changes.LeaderView
    ) -> None:
        """Determine whether writes with unknown outcomes took effect.

        An unchanged version of the row is not conclusive, because the write
        may still arrive.  After the row has been written once more, a late
        write fails.
        """
        for team_id in list(self._unresolved_teams):
            team = self._context.view.current.teams_by_id.get(team_id)
            known = self._rows_by_team.get(team_id, {}).get(view.zone)
            if team is None or known is None:
                self._unresolved_teams.discard(team_id)
                continue
            rows = await slice_rows.read_team(self._context.table, team_id)
            own = rows.get(view.zone)
            if own is not None and own.version == known.version:
                try:
                    await self._context.table.transact(
                        slice_changes.bump_version(view, team, own)
                    )
                except errors.OutcomeUnknown:
                    continue
                except errors.TransactionConflict:
                    pass
            self._unresolved_teams.discard(team_id)
            self._reread_at_by_team[team_id] = 0.0

    async def _donate(
        self, view: slice_changes.LeaderView, request: _DonationRequest
    ) -> None:
        team = self._context.view.current.teams_by_id.get(request.team)
        if team is None or request.team in self._unresolved_teams:
            return
        if request.team not in self._claimed_teams or not self._may_raise():
            return
        rows = await self._read_team(view, request.team)
        if request.team in self._reread_at_by_team or request.zone not in rows:
            return
        held = self._ledger.slice_of(team.name)
        usage = self._ledger.usage(team.name)
        amount = limits.donatable_amount(
            held, usage, request.dimension, request.amount
        )
        if amount <= 0:
            return
        writes = slice_changes.donate(
            view, team, rows, request.zone, request.dimension, amount
        )
        lowered = limits.transfer(
            held, configuration.Limit(), request.dimension, amount
        )
        self._ledger.set_slice(team.name, lowered.donor)
        self._context.events.record(
            'limits.donated',
            team=team.name,
            zone=request.zone,
            dimension=request.dimension,
            amount=amount,
        )
        await self._write(view, team, writes)

    def _request_shortages(self, view: slice_changes.LeaderView) -> None:
        due = self._context.clock() + DONATION_WAIT_S
        for team_id in self._requester.request_shortages(
            view, self._rows_by_team
        ):
            self._reread_at_by_team.setdefault(team_id, due)


def create(
    context: contexts.Context,
    accounting: team_accounting.TeamAccounting,
    zone_state_source: slice_requests.ZoneStateSource,
) -> LimitsController:
    """Return the controller of the slices of the own zone."""
    return LimitsController(context, accounting, zone_state_source)
