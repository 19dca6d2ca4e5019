"""What the schedulers of requests and tasks of a zone leader share."""

import msgspec

from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits


class Shared(msgspec.Struct, frozen=True):
    """Counts requests and tasks against the same slices and shares."""

    ledger: limits.TeamLedger
    shares: fairshare.ShareTracker


def create_shared() -> Shared:
    """Return an empty ledger and an empty share tracker."""
    return Shared(limits.TeamLedger(), fairshare.ShareTracker())
