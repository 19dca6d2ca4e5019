"""Fair shares between teams: dominant-resource fairness with a deficit.

The dominant share of a team is its largest fraction of any resource of the
fleet; slots of upstreams are one of the resources.  Use in other zones counts
as they last reported it.  The recent difference between what a team was
entitled to and what it used is kept as an exponentially decaying deficit.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math

import msgspec

from samphirestack.internal import messages
from samphirestack import model

DEFICIT_HALF_LIFE_S = 10.0
DEFICIT_WINDOW_S = 10.0
"""Bound on a deficit: what the team is entitled to in this time."""

CORRECTION_S = 0.7
"""Time in which a deficit is made up for.  With longer times, a team whose
share is not a whole number of slots stays up to one slot off its share.
Shorter times are less than the delay of reports from other zones."""

REFRESH_INTERVAL_S = 0.1
"""Interval at which ranks of teams without a change of use are recomputed;
deficits change slowly."""

WAITING_TIMEOUT_S = 1.0
"""Time after the last call of :meth:`ShareTracker.order` with a team after
which the team counts as having no waiting work."""

AUDIT_RECORDS = 1000
"""Bound on the audit records in memory; each takes about 1 KB."""

PASSED_OVER_PER_RECORD = 8
"""Bound on the teams that one audit record lists as passed over."""

_Amounts = tuple[int, int, int, int]
_MeanAmounts = tuple[float, int, int, int]
_ZERO: _Amounts = (0, 0, 0, 0)
_NO_RESOURCES = model.Resources()
_RESOURCE_NAMES = ('slots', 'millicores', 'memory_mb', 'accelerators')


class Reason(enum.Enum):
    """Why a team was passed over."""

    LIMIT = 'limit'
    """The slice of its upper limit is used up."""
    SHARE = 'share'
    """It is closer to its share, or further above it, than the chosen team."""
    PATIENT = 'patient'
    """It has only patient work waiting, and urgent work goes first."""
    TURN = 'turn'
    """It has only urgent work waiting, and this start is reserved for patient
    work, which gets a tenth of the starts."""
    AVOIDED = 'avoided'
    """Only upstreams that its requests avoid have free slots."""


class PassedOver(msgspec.Struct, frozen=True):
    """A team that was not chosen in a decision."""

    team: model.TeamId
    reason: Reason
    rank: float
    """Share of this zone less ``deficit / CORRECTION_S``, divided by the
    weight; lower goes first."""


class AuditRecord(msgspec.Struct, frozen=True):
    """One decision: a start, or a refusal because of share or limit."""

    at: float
    """Monotonic time in seconds."""
    team: model.TeamId
    subject: str
    """Id of the request or task."""
    granted: bool
    reason: str
    rank: float
    passed_over: tuple[PassedOver, ...] = ()


class Explanation(msgspec.Struct, frozen=True):
    """Present share, deficit and rank of a team, with recent decisions."""

    team: model.TeamId
    weight: float
    entitled: float
    """Fraction of the fleet that the team is entitled to: its weight over
    the sum of weights of active teams."""
    dominant_share: float
    dominant_resource: str
    deficit_s: float
    """Fleet-seconds that the team is owed; negative if it used too much."""
    rank: float
    records: tuple[AuditRecord, ...]


class _Account:
    """Use and deficit of one team.

    ``last_start`` is the sequence number of its last start among those of
    all teams; it orders teams of equal rank.
    """

    __slots__ = (
        'deficit',
        'deficit_updated_at',
        'last_start',
        'last_waiting_at',
        'local',
        'remote',
        'slot_seconds',
        'slot_seconds_since',
        'weight',
    )

    def __init__(self, now: float) -> None:
        self.weight = 1.0
        self.local = _ZERO
        self.remote: _MeanAmounts = _ZERO
        self.slot_seconds = 0.0
        self.slot_seconds_since = now
        self.deficit = 0.0
        self.deficit_updated_at = now
        self.last_waiting_at = -math.inf
        self.last_start = 0


class ShareTracker:
    """Orders teams by how far they are below their fair share."""

    def __init__(self) -> None:
        self._accounts_by_team: dict[model.TeamId, _Account] = {}
        self._ranks_by_team: dict[model.TeamId, tuple[float, int]] = {}
        self._remote_by_zone: dict[
            model.ZoneId, dict[model.TeamId, _MeanAmounts]
        ] = {}
        self._capacity_by_zone: dict[model.ZoneId, _Amounts] = {}
        self._own_capacity = _ZERO
        self._capacity = _ZERO
        self._starts = 0
        self._active_weight = 1.0
        self._refreshed_at = -math.inf
        self._audit: collections.deque[AuditRecord] = collections.deque(
            maxlen=AUDIT_RECORDS
        )

    def set_weight(self, team: model.TeamId, share: float) -> None:
        """Set the weight of ``team`` against the other teams."""
        self._account(team).weight = share
        self._refreshed_at = -math.inf

    def remove_team(self, team: model.TeamId) -> None:
        """Remove a retired team, unless it still uses resources here."""
        account = self._accounts_by_team.get(team)
        if account is not None and not any(account.local):
            del self._accounts_by_team[team]
            del self._ranks_by_team[team]

    def set_capacity(
        self,
        resources: model.Resources | None = None,
        slots: int | None = None,
    ) -> None:
        """Set the capacity of this zone; ``None`` keeps the present value."""
        present = self._own_capacity
        self._own_capacity = (
            present[0] if slots is None else slots,
            *(
                present[1:]
                if resources is None
                else _resource_amounts(resources)
            ),
        )
        self._sum_capacity()

    def own_capacity(self) -> model.Resources:
        """Return the resources of this zone's workers."""
        return model.Resources(*self._own_capacity[1:])

    def charge(
        self,
        now: float,
        team: model.TeamId,
        slots: int,
        resources: model.Resources,
    ) -> None:
        """Add the slots and resources of work that starts to a team's use."""
        self._starts += 1
        self._account(team).last_start = self._starts
        self._change(now, team, (slots, *_resource_amounts(resources)), 1)

    def refund(
        self,
        now: float,
        team: model.TeamId,
        slots: int,
        resources: model.Resources,
    ) -> None:
        """Subtract the slots and resources of work that ended.

        Its use until ``now`` remains in the deficit of the team.
        """
        self._change(now, team, (slots, *_resource_amounts(resources)), -1)

    def set_remote(
        self,
        now: float,
        zone: model.ZoneId,
        usages: Sequence[messages.TeamUsage],
        resources: model.Resources = _NO_RESOURCES,
        slots: int = 0,
    ) -> None:
        """Replace the use and capacity that another zone reported."""
        self._update_deficits(now)
        teams = set(self._remote_by_zone.get(zone, ()))
        self._remote_by_zone[zone] = {
            usage.team: (
                _mean_slots(usage),
                *_resource_amounts(usage.resources),
            )
            for usage in usages
        }
        self._capacity_by_zone[zone] = (slots, *_resource_amounts(resources))
        teams.update(self._remote_by_zone[zone])
        for team in teams:
            self._sum_remote(team)
        self._sum_capacity()

    def remove_remote(self, now: float, zone: model.ZoneId) -> None:
        """Remove the use and capacity of a zone that was declared lost."""
        if zone not in self._remote_by_zone:
            return
        self.set_remote(now, zone, ())
        del self._remote_by_zone[zone]
        del self._capacity_by_zone[zone]

    def slots_of(self, team: model.TeamId) -> int:
        """Return the slots that ``team`` holds in this zone."""
        account = self._accounts_by_team.get(team)
        return account.local[0] if account else 0

    def pop_mean_slots(self, now: float, team: model.TeamId) -> float:
        """Return the mean number of slots held since the last call.

        Requests are shorter than the interval of the messages to other
        zones, so that the number at one instant says little about the use.
        """
        account = self._account(team)
        self._update_deficit(now, account)
        elapsed = now - account.slot_seconds_since
        slot_seconds = account.slot_seconds
        account.slot_seconds = 0.0
        account.slot_seconds_since = now
        if not 0 < elapsed < math.inf:
            return float(account.local[0])
        return slot_seconds / elapsed

    def order(
        self, now: float, teams: Iterable[model.TeamId]
    ) -> list[model.TeamId]:
        """Return teams with waiting work in the order of service.

        Teams of equal rank take turns.

        :param teams: all teams that have waiting work.
        """
        waiting = list(teams)
        for team in waiting:
            self._account(team).last_waiting_at = now
        if not 0 <= now - self._refreshed_at < REFRESH_INTERVAL_S:
            self._refresh(now)
        return sorted(waiting, key=self._ranks_by_team.__getitem__)

    def rank(self, team: model.TeamId) -> float:
        """Return the rank of ``team`` in the last :meth:`order`."""
        self._account(team)
        return self._ranks_by_team[team][0]

    def record(self, record: AuditRecord) -> None:
        """Add an audit record; beyond the bound the oldest is discarded."""
        self._audit.append(record)

    def records(self) -> list[AuditRecord]:
        """Return the audit records in memory, oldest first."""
        return list(self._audit)

    def explain(self, now: float, team: model.TeamId) -> Explanation:
        """Return the share of ``team`` and the decisions that mention it."""
        self._refresh(now)
        account = self._account(team)
        share, resource = self._dominant(account)
        records = tuple(
            record
            for record in self._audit
            if record.team == team
            or any(item.team == team for item in record.passed_over)
        )
        return Explanation(
            team,
            account.weight,
            self._entitled(account),
            share,
            resource,
            account.deficit,
            self.rank(team),
            records,
        )

    def _account(self, team: model.TeamId) -> _Account:
        account = self._accounts_by_team.get(team)
        if account is None:
            account = _Account(self._refreshed_at)
            self._accounts_by_team[team] = account
            self._ranks_by_team[team] = (0.0, 0)
        return account

    def _change(
        self, now: float, team: model.TeamId, amounts: _Amounts, sign: int
    ) -> None:
        account = self._account(team)
        self._update_deficit(now, account)
        account.local = _add(account.local, amounts, sign)
        self._update_rank(team, account)

    def _refresh(self, now: float) -> None:
        self._update_deficits(now)
        self._active_weight = sum(
            account.weight
            for account in self._accounts_by_team.values()
            if _is_active(now, account)
        )
        for team, account in self._accounts_by_team.items():
            self._update_rank(team, account)
        self._refreshed_at = now

    def _update_deficits(self, now: float) -> None:
        for account in self._accounts_by_team.values():
            self._update_deficit(now, account)

    def _update_deficit(self, now: float, account: _Account) -> None:
        """Integrate the deficit up to ``now``, assuming constant use."""
        elapsed = now - account.deficit_updated_at
        account.deficit_updated_at = now
        if not 0 < elapsed < math.inf:
            return
        account.slot_seconds += account.local[0] * elapsed
        entitled = self._entitled(account)
        shortfall = entitled - self._dominant(account)[0]
        if now - account.last_waiting_at > WAITING_TIMEOUT_S:
            # A team without waiting work must not accumulate a claim.
            shortfall = min(shortfall, 0.0)
        decay_factor = 0.5 ** (elapsed / DEFICIT_HALF_LIFE_S)
        accrued = (
            shortfall * (1 - decay_factor) * DEFICIT_HALF_LIFE_S / math.log(2)
        )
        bound = entitled * DEFICIT_WINDOW_S
        deficit = account.deficit * decay_factor + accrued
        account.deficit = max(-bound, min(bound, deficit))

    def _update_rank(self, team: model.TeamId, account: _Account) -> None:
        rank = self._local_share(account) - account.deficit / CORRECTION_S
        self._ranks_by_team[team] = (
            rank / account.weight,
            account.last_start,
        )

    def _entitled(self, account: _Account) -> float:
        return account.weight / max(self._active_weight, account.weight)

    def _dominant(self, account: _Account) -> tuple[float, str]:
        largest = 0.0
        name = _RESOURCE_NAMES[0]
        for index, capacity in enumerate(self._capacity):
            used = account.local[index] + account.remote[index]
            if used and capacity:
                fraction = used / capacity
                if fraction > largest:
                    largest = fraction
                    name = _RESOURCE_NAMES[index]
        return largest, name

    def _local_share(self, account: _Account) -> float:
        """Return the largest fraction of this zone that a team uses.

        Use in other zones is known with a delay of about a second.  If it
        affected the rank at once, several leaders would each correct the
        same error; so it counts only through the slowly changing deficit.
        """
        return max(
            (
                used / capacity
                for used, capacity in zip(
                    account.local, self._own_capacity, strict=True
                )
                if used and capacity
            ),
            default=0.0,
        )

    def _sum_remote(self, team: model.TeamId) -> None:
        account = self._account(team)
        account.remote = _ZERO
        for amounts_by_team in self._remote_by_zone.values():
            amounts = amounts_by_team.get(team, _ZERO)
            remote = account.remote
            account.remote = (
                remote[0] + amounts[0],
                remote[1] + amounts[1],
                remote[2] + amounts[2],
                remote[3] + amounts[3],
            )

    def _sum_capacity(self) -> None:
        self._capacity = self._own_capacity
        for amounts in self._capacity_by_zone.values():
            self._capacity = _add(self._capacity, amounts, 1)
        self._refreshed_at = -math.inf


def _mean_slots(usage: messages.TeamUsage) -> float:
    return usage.slots if usage.mean_slots is None else usage.mean_slots


def _is_active(now: float, account: _Account) -> bool:
    waiting = now - account.last_waiting_at <= WAITING_TIMEOUT_S
    return waiting or any(account.local) or any(account.remote)


def _resource_amounts(resources: model.Resources) -> tuple[int, int, int]:
    return (
        resources.millicores,
        resources.memory_mb,
        resources.accelerators,
    )


def _add(left: _Amounts, right: _Amounts, sign: int) -> _Amounts:
    return (
        left[0] + sign * right[0],
        left[1] + sign * right[1],
        left[2] + sign * right[2],
        left[3] + sign * right[3],
    )
