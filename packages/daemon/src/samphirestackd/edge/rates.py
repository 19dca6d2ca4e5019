"""Rate limits of teams."""

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model

BURST_S = 1.0
"""Capacity of a token bucket, in seconds of the team's rate."""


class _Bucket:
    __slots__ = ('refilled_at', 'tokens')

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.refilled_at = now


class TeamRateLimiter:
    """Limits calls with one token bucket per team."""

    def __init__(self) -> None:
        self._buckets_by_team: dict[model.TeamId, _Bucket] = {}

    def acquire(self, now: float, team: configuration.Team) -> None:
        """Take one token of the team's bucket.

        :raises errors.RateLimited: the bucket is empty.
        """
        rate = team.calls_per_s
        burst = max(1.0, rate * BURST_S)
        bucket = self._buckets_by_team.get(team.name)
        if bucket is None:
            bucket = self._buckets_by_team[team.name] = _Bucket(burst, now)
        gained = (now - bucket.refilled_at) * rate
        bucket.tokens = min(burst, bucket.tokens + gained)
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            raise errors.RateLimited(
                f'team {team.name!r} may send {rate:g} calls a second to '
                'this entry',
                (1.0 - bucket.tokens) / rate,
            )
        bucket.tokens -= 1.0

    def remove_unknown_teams(
        self, current: configuration.Configuration
    ) -> None:
        """Remove the buckets of retired teams."""
        for team in list(self._buckets_by_team):
            if team not in current.teams_by_id:
                del self._buckets_by_team[team]
