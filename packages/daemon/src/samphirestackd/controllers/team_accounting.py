"""What the request scheduler and the task scheduler of a leader share."""

import msgspec

from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits


class TeamAccounting(msgspec.Struct, frozen=True):
    """Use of limits and shares, over requests and tasks together."""

    ledger: limits.TeamLedger
    shares: fairshare.ShareTracker


def create_accounting() -> TeamAccounting:
    """Return an empty ledger and an empty tracker."""
    return TeamAccounting(limits.TeamLedger(), fairshare.ShareTracker())
