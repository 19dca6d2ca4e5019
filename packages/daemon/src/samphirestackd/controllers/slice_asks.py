"""Asks other zones for a part of their slices when teams lack room."""

from collections.abc import Mapping
import math
from typing import Protocol

from samphirestack.internal.decisions import limits
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import context as contexts
from samphirestackd.controllers import shared as shared_state
from samphirestackd.controllers import slice_changes
from samphirestackd.controllers import slice_rows

ASK_INTERVAL_S = 1.0
"""Time between requests for the same team and dimension."""

MAX_TEAMS_PER_STEP = 20
"""Teams for which other zones are asked in one step; each request costs a
read and a transaction."""

_ANY_AMOUNT = 1 << 62


class ZoneUsage(Protocol):
    """Where the number of waiting requests is known."""

    def zone_state(self, now: float) -> messages.ZoneState:
        """Return the usage of this zone."""


class SliceAsks:
    """Finds the zone that uses least of its slice and asks its leader."""

    def __init__(
        self,
        context: contexts.Context,
        shared: shared_state.Shared,
        usage: ZoneUsage,
    ) -> None:
        self._context = context
        self._ledger = shared.ledger
        self._usage = usage
        self._asked_at: dict[tuple[model.TeamId, str], float] = {}
        self._remote: dict[
            model.ZoneId, dict[model.TeamId, messages.TeamUsage]
        ] = {}

    def zone_state(self, state: messages.ZoneState) -> None:
        """Take over the usage of another zone."""
        self._remote[state.zone] = {usage.team: usage for usage in state.teams}

    def ask(
        self,
        place: slice_changes.Place,
        rows_by_team: Mapping[model.TeamId, slice_rows.RowsByZone],
    ) -> list[model.TeamId]:
        """Send requests and return the teams that they are for.

        :param rows_by_team: rows as they were last read.
        """
        now = self._context.clock()
        shortages = [
            item
            for item in self._ledger.pop_shortages()
            if item.team in rows_by_team and self._is_due(now, item)
        ]
        if not shortages:
            return []
        state = self._usage.zone_state(now)
        waiting = {usage.team: usage.waiting for usage in state.teams}
        asked = []
        for item in shortages[:MAX_TEAMS_PER_STEP]:
            amount = item.amount
            if item.dimension == 'running':
                amount = max(amount, waiting.get(item.team, 0))
            if self._send(place, rows_by_team[item.team], item, amount):
                self._asked_at[item.team, item.dimension] = now
                asked.append(item.team)
        return asked

    def _is_due(self, now: float, item: limits.Shortage) -> bool:
        asked_at = self._asked_at.get((item.team, item.dimension), -math.inf)
        return now - asked_at >= ASK_INTERVAL_S

    def _send(
        self,
        place: slice_changes.Place,
        rows: slice_rows.RowsByZone,
        item: limits.Shortage,
        amount: int,
    ) -> bool:
        unused = {
            zone: self._unused(row, item.dimension)
            for zone, row in rows.items()
            if zone != place.zone and zone in place.reachable
        }
        best = max(sorted(unused), key=unused.__getitem__, default=None)
        if best is None or unused[best] <= 0:
            return False
        leader = self._context.leaders.leader_of(best)
        if leader is None:
            return False
        request = messages.SliceRequest(item.team, item.dimension, amount)
        return self._context.links.send(leader.vm_id, request)

    def _unused(self, row: slice_rows.SliceRow, dimension: str) -> int:
        """Return what a zone could give up when it last said what it uses."""
        usage = self._remote.get(row.zone, {}).get(row.team)
        if usage is None:
            usage = messages.TeamUsage(row.team, 0, model.Resources(), 0)
        return limits.donatable_amount(
            row.value.limit, usage, dimension, _ANY_AMOUNT
        )
