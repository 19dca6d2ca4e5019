"""Keeps the slices of team limits while this node leads its zone.

A limited team gets nothing until its rows were read and the own row was
claimed for the term.  A slice is lowered in the ledger before it is lowered
in the table, and raised in the ledger only after it was read from there.
All reads and writes are made one after another by one task.
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
from samphirestackd.controllers import shared as shared_state
from samphirestackd.controllers import slice_asks
from samphirestackd.controllers import slice_changes
from samphirestackd.controllers import slice_rows
from samphirestackd import interfaces
from samphirestackd import logs

STEP_S = 0.25
"""Time between looks at what teams lack."""

READ_ALL_S = 30.0
"""Time between reads of all rows; 100 teams in 9 zones are about 100 KB,
and a node may use 6 KB a second."""

ANSWER_S = 0.5
"""Time after which a donor is expected to have moved a part."""

MAX_DONATIONS = 1000
"""Requests of other zones that wait for their turn."""

WRITES_PER_CLAIM = 100
"""Rows that one transaction claims."""


class _Asked(msgspec.Struct, frozen=True):
    """A request of another zone for a part of a slice."""

    zone: model.ZoneId
    team: model.TeamId
    dimension: str
    amount: int


class LimitsController:
    """Reads, claims, lowers, raises and moves the slices of one zone."""

    def __init__(
        self,
        context: contexts.Context,
        shared: shared_state.Shared,
        usage: slice_asks.ZoneUsage,
    ) -> None:
        self._context = context
        self._ledger = shared.ledger
        self._asks = slice_asks.SliceAsks(context, shared, usage)
        self._term: interfaces.Term | None = None
        self._rows_by_team: dict[model.TeamId, slice_rows.RowsByZone] = {}
        self._claimed: set[model.TeamId] = set()
        self._in_doubt: set[model.TeamId] = set()
        self._donations: collections.deque[_Asked] = collections.deque(
            maxlen=MAX_DONATIONS
        )
        self._read_again_at: dict[model.TeamId, float] = {}
        self._read_all_at = 0.0
        self._lost_since: dict[model.ZoneId, float] = {}
        self._wake = asyncio.Event()
        self._rng = random.Random(context.settings.vm_id)
        context.links.subscribe(messages.SliceRequest, self._on_request)

    def set_term(self, term: interfaces.Term | None) -> None:
        """Forget what was read; limited teams get nothing until it is."""
        self._term = term
        self._rows_by_team.clear()
        self._claimed.clear()
        self._in_doubt.clear()
        self._donations.clear()
        self._read_again_at.clear()
        for team in self._limited_teams():
            self._hold_at_zero(team)
        self.wake()

    def wake(self) -> None:
        """Look at all teams again, for the configuration has changed."""
        self._read_all_at = 0.0
        self._wake.set()

    def zone_state(self, state: messages.ZoneState) -> None:
        """Take over the usage of another zone."""
        self._asks.zone_state(state)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            try:
                async with asyncio.timeout(STEP_S if self._term else None):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            try:
                await self.step()
            except errors.SamphireError as error:
                logs.debug('limits.failed', reason=error.message)
                await asyncio.sleep(STEP_S * (1 + self._rng.random()))

    def _limited_teams(self) -> list[configuration.Team]:
        teams = self._context.view.current.teams_by_id.values()
        return [team for team in teams if limits.is_limited(team.limit)]

    def _hold_at_zero(self, team: configuration.Team) -> None:
        nothing = limits.clamped_slice(configuration.Limit(), team.limit)
        self._ledger.set_slice(team.name, nothing)

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
        self._donations.append(
            _Asked(peer.zone, message.team, message.dimension, message.amount)
        )
        self._wake.set()

    def _place(self, now: float) -> slice_changes.Place | None:
        """Return what this leader knows; ``None`` if it must not act."""
        term = self._term
        if term is None or not self._context.leaders.is_valid_leader(now):
            return None
        own = self._context.settings.zone
        zones = self._context.view.current.zones_by_id.values()
        live = frozenset(zone.name for zone in zones if not zone.lost)
        led = {
            zone
            for zone in live
            if self._context.leaders.leader_of(zone) is not None
        }
        return slice_changes.Place(
            own,
            term.epoch,
            self._context.view.current.revision,
            live,
            slice_changes.reachable_zones(live, led | {own}),
            self._freed_zones(now),
        )

    def _freed_zones(self, now: float) -> frozenset[model.ZoneId]:
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
        """Do once what is due.

        :raises errors.SamphireError: the table did not answer.
        """
        now = self._context.clock()
        place = self._place(now)
        if place is None:
            return
        await self._resolve(place)
        if now >= self._read_all_at:
            await self._read_all(place)
            self._read_all_at = now + READ_ALL_S * (0.9 + self._rng.random())
        for team_id, due in list(self._read_again_at.items()):
            if now >= due:
                del self._read_again_at[team_id]
                await self._read_team(place, team_id)
        while self._donations:
            await self._donate(place, self._donations.popleft())
        self._ask_for_more(place)

    async def _read_all(self, place: slice_changes.Place) -> None:
        rows_by_team = await slice_rows.read_all(self._context.table)
        teams = self._limited_teams()
        claims = [
            write
            for team in teams
            for write in slice_changes.claim(
                place, team, rows_by_team.get(team.name, {})
            )
        ]
        if claims and await self._claim(claims):
            rows_by_team = await slice_rows.read_all(self._context.table)
        for team in teams:
            rows = rows_by_team.get(team.name, {})
            await self._settle(place, team, rows)

    async def _claim(self, writes: list[platform.Write]) -> bool:
        """Claim many rows at a time and return whether some were.

        What fails is claimed team by team.
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
        self, place: slice_changes.Place, team_id: model.TeamId
    ) -> slice_rows.RowsByZone:
        team = self._context.view.current.teams_by_id.get(team_id)
        if team is None:
            return {}
        rows = await slice_rows.read_team(self._context.table, team_id)
        await self._settle(place, team, rows)
        return self._rows_by_team.get(team_id, {})

    async def _settle(
        self,
        place: slice_changes.Place,
        team: configuration.Team,
        rows: slice_rows.RowsByZone,
    ) -> None:
        """Bring the rows of one team in line with limit and term."""
        if self._term is None or self._term.epoch != place.epoch:
            # The term ended while the rows were read.
            return
        own = rows.get(place.zone)
        if own is None or own.value.epoch != place.epoch:
            await self._write(
                place, team, slice_changes.claim(place, team, rows)
            )
            return
        if team.name in self._in_doubt:
            return
        self._claimed.add(team.name)
        self._use(place, team, rows)
        usage = self._ledger.usage(team.name)
        writes = slice_changes.shrink(place, team, rows, usage)
        if not writes and self._may_raise():
            writes = slice_changes.grow(place, team, rows)
        if writes:
            await self._write(place, team, writes)

    def _may_raise(self) -> bool:
        return self._context.view.is_fresh(self._context.clock())

    def _use(
        self,
        place: slice_changes.Place,
        team: configuration.Team,
        rows: slice_rows.RowsByZone,
    ) -> None:
        """Work with the rows as they were read.

        A slice that has to be lowered is lowered here first.
        """
        self._rows_by_team[team.name] = rows
        zones = self._context.view.current.zones_by_id
        if place.zone in zones and zones[place.zone].lost:
            self._hold_at_zero(team)
            return
        usable = slice_changes.usable(place, team, rows)
        self._ledger.set_slice(
            team.name, limits.clamped_slice(usable, team.limit)
        )

    async def _write(
        self,
        place: slice_changes.Place,
        team: configuration.Team,
        writes: list[platform.Write],
    ) -> None:
        """Write, and read the result back at the next step.

        The ledger holds no more than what is true with and without the
        write; an unknown outcome is resolved before anything is raised.
        """
        self._read_again_at[team.name] = self._context.clock()
        try:
            await self._context.table.transact(writes)
        except errors.TransactionConflict:
            # Another leader was faster; a pause keeps two of them from
            # meeting again.
            pause_s = STEP_S * self._rng.random()
            self._read_again_at[team.name] += pause_s
        except errors.OutcomeUnknown:
            self._in_doubt.add(team.name)
        self._wake.set()

    async def _resolve(self, place: slice_changes.Place) -> None:
        """Find out whether writes without an answer took effect.

        A row of the same version says nothing, because the write can still
        arrive; after the row was written once more it can not.
        """
        for team_id in list(self._in_doubt):
            team = self._context.view.current.teams_by_id.get(team_id)
            known = self._rows_by_team.get(team_id, {}).get(place.zone)
            if team is None or known is None:
                self._in_doubt.discard(team_id)
                continue
            rows = await slice_rows.read_team(self._context.table, team_id)
            own = rows.get(place.zone)
            if own is not None and own.version == known.version:
                try:
                    await self._context.table.transact(
                        slice_changes.keep(place, team, own)
                    )
                except errors.OutcomeUnknown:
                    continue
                except errors.TransactionConflict:
                    pass
            self._in_doubt.discard(team_id)
            self._read_again_at[team_id] = 0.0

    async def _donate(self, place: slice_changes.Place, asked: _Asked) -> None:
        team = self._context.view.current.teams_by_id.get(asked.team)
        if team is None or asked.team in self._in_doubt:
            return
        if asked.team not in self._claimed or not self._may_raise():
            return
        rows = await self._read_team(place, asked.team)
        if asked.team in self._read_again_at or asked.zone not in rows:
            return
        held = self._ledger.slice_of(team.name)
        usage = self._ledger.usage(team.name)
        amount = limits.donatable_amount(
            held, usage, asked.dimension, asked.amount
        )
        if amount <= 0:
            return
        writes = slice_changes.donate(
            place, team, rows, asked.zone, asked.dimension, amount
        )
        lowered = limits.transfer(
            held, configuration.Limit(), asked.dimension, amount
        )
        self._ledger.set_slice(team.name, lowered.donor)
        self._context.events.record(
            'limits.donated',
            team=team.name,
            zone=asked.zone,
            dimension=asked.dimension,
            amount=amount,
        )
        await self._write(place, team, writes)

    def _ask_for_more(self, place: slice_changes.Place) -> None:
        due = self._context.clock() + ANSWER_S
        for team_id in self._asks.ask(place, self._rows_by_team):
            self._read_again_at.setdefault(team_id, due)


def create(
    context: contexts.Context,
    shared: shared_state.Shared,
    usage: slice_asks.ZoneUsage,
) -> LimitsController:
    """Return the controller of the slices of the own zone."""
    return LimitsController(context, shared, usage)
