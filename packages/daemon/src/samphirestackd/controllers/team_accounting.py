"""Accounting of teams that both schedulers of a zone leader share."""

import msgspec

from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits


class TeamAccounting(msgspec.Struct, frozen=True):
    """Usage of teams' limits and shares by requests and tasks together."""

    ledger: limits.TeamLedger
    shares: fairshare.ShareTracker


def create_accounting() -> TeamAccounting:
    """Return an empty ledger and an empty tracker."""
    return TeamAccounting(limits.TeamLedger(), fairshare.ShareTracker())
