"""Requests parts of other zones' slices for teams at their limit."""

from collections.abc import Mapping
import math
from typing import Protocol

from samphirestack.internal.decisions import limits
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import context as contexts
from samphirestackd.controllers import slice_changes
from samphirestackd.controllers import slice_rows
from samphirestackd.controllers import team_accounting

REQUEST_INTERVAL_S = 1.0
"""Time between requests for the same team and dimension."""

MAX_TEAMS_PER_STEP = 20
"""Teams per step for which other zones are asked; each request costs a read
and a transaction of the table."""

_UNBOUNDED = 1 << 62


class ZoneStateSource(Protocol):
    """Provides the usage of this zone, including its waiting requests."""

    def zone_state(self, now: float) -> messages.ZoneState:
        """Return the usage of this zone."""


class SliceRequester:
    """Sends requests to the zone with the largest unused part of a slice."""

    def __init__(
        self,
        context: contexts.Context,
        accounting: team_accounting.TeamAccounting,
        zone_state_source: ZoneStateSource,
    ) -> None:
        self._context = context
        self._ledger = accounting.ledger
        self._zone_state_source = zone_state_source
        self._requested_at: dict[tuple[model.TeamId, str], float] = {}
        self._usage_by_zone: dict[
            model.ZoneId, dict[model.TeamId, messages.TeamUsage]
        ] = {}

    def set_zone_state(self, state: messages.ZoneState) -> None:
        """Store the usage that another zone has reported."""
        self._usage_by_zone[state.zone] = {
            usage.team: usage for usage in state.teams
        }

    def request_shortages(
        self,
        view: slice_changes.LeaderView,
        rows_by_team: Mapping[model.TeamId, slice_rows.RowsByZone],
    ) -> list[model.TeamId]:
        """Send requests for recent shortages and return their teams.

        :param rows_by_team: rows as they were last read.
        """
        now = self._context.clock()
        shortages = [
            shortage
            for shortage in self._ledger.pop_shortages()
            if shortage.team in rows_by_team and self._is_due(now, shortage)
        ]
        if not shortages:
            return []
        state = self._zone_state_source.zone_state(now)
        waiting = {usage.team: usage.waiting for usage in state.teams}
        requested = []
        for shortage in shortages[:MAX_TEAMS_PER_STEP]:
            amount = shortage.amount
            if shortage.dimension == 'running':
                amount = max(amount, waiting.get(shortage.team, 0))
            if self._send_request(
                view, rows_by_team[shortage.team], shortage, amount
            ):
                self._requested_at[shortage.team, shortage.dimension] = now
                requested.append(shortage.team)
        return requested

    def _is_due(self, now: float, shortage: limits.Shortage) -> bool:
        requested_at = self._requested_at.get(
            (shortage.team, shortage.dimension), -math.inf
        )
        return now - requested_at >= REQUEST_INTERVAL_S

    def _send_request(
        self,
        view: slice_changes.LeaderView,
        rows: slice_rows.RowsByZone,
        shortage: limits.Shortage,
        amount: int,
    ) -> bool:
        unused = {
            zone: self._unused(row, shortage.dimension)
            for zone, row in rows.items()
            if zone != view.zone and zone in view.reachable
        }
        donor = max(sorted(unused), key=unused.__getitem__, default=None)
        if donor is None or unused[donor] <= 0:
            return False
        leader = self._context.leaders.leader_of(donor)
        if leader is None:
            return False
        request = messages.SliceRequest(
            shortage.team, shortage.dimension, amount
        )
        return self._context.links.send(leader.vm_id, request)

    def _unused(self, row: slice_rows.SliceRow, dimension: str) -> int:
        """Return what a zone could donate according to its last report."""
        usage = self._usage_by_zone.get(row.zone, {}).get(row.team)
        if usage is None:
            usage = messages.TeamUsage(row.team, 0, model.Resources(), 0)
        return limits.donatable_amount(
            row.value.limit, usage, dimension, _UNBOUNDED
        )
