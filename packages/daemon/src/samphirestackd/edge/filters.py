"""Filters that check a call before its body is read.

Cheap filters run first.  All of them run before the body is read, so that
calls without a valid key can't use memory for their bodies.
"""

from typing import Protocol

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestackd.edge import exchange as exchanges
from samphirestackd.edge import rates
from samphirestackd import interfaces

BEARER = 'Bearer '
AUTHORIZATION = b'authorization'
TEAM = b'samphirestack-team'
CONTENT_LENGTH = b'content-length'


class Filter(Protocol):
    """One check of a call."""

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise a :class:`samphirestack.errors.SamphireError` to refuse."""


class EntryLoad(Protocol):
    """Current load of this entry."""

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""

    def request_count(self) -> int:
        """Return the number of requests that wait or run at this entry."""

    def request_count_of(
        self, queue: model.QueueId, team: model.TeamId
    ) -> int:
        """Return the number of a team's requests in a queue of this entry."""


class NodeState:
    """Refuses calls while the node drains or has no configuration."""

    def __init__(self, load: EntryLoad) -> None:
        self._load = load

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the node accepts work."""
        if self._load.is_draining:
            raise errors.ShuttingDown('this entry is shutting down')
        if exchange.configuration.revision == 0:
            raise errors.ConfigurationStale(
                'this entry has not received a configuration yet'
            )


class BodySize:
    """Refuses a Content-Length over the limit."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if Content-Length is invalid or over the limit."""
        content_length = exchange.headers.get(CONTENT_LENGTH, b'0')
        if not content_length.isdigit():
            raise errors.BadRequest('Content-Length is not a number')
        if len(content_length) > len(str(self._max_bytes)) or (
            int(content_length) > self._max_bytes
        ):
            raise errors.BodyTooLarge(
                f'the body must have at most {self._max_bytes} bytes'
            )


class QueueLookup:
    """Looks up the queue named in the path and its profile."""

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the queue is in the configuration."""
        name = exchange.path['queue']
        queue = exchange.configuration.queues_by_id.get(name)
        if queue is None:
            raise errors.NotFound(f'queue {name[:80]!r} does not exist')
        exchange.queue = queue
        exchange.profile = exchange.configuration.profile_of(queue)


class Credentials:
    """Authenticates the team of a call and checks its access to the queue.

    Work on an open queue needs no key and is charged to the queue's team.
    """

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the key is valid and its team may use the queue."""
        queue = exchange.queue
        if queue is not None and queue.open:
            exchange.team = queue.open_team
            return
        exchange.team = authenticate_team(exchange)
        if queue is None or not queue.teams or exchange.team in queue.teams:
            return
        raise errors.Unauthorized(
            f'team {exchange.team!r} may not use queue {queue.name!r}',
            hint='Ask an operator to add the team to the queue.',
        )


class OptionalCredentials:
    """Authenticates the team of a query; a query without a key has none."""

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if the call has a key that is not valid."""
        if AUTHORIZATION in exchange.headers:
            exchange.team = authenticate_team(exchange)


class Freshness:
    """Refuses keyed work while the configuration is stale.

    A stale configuration may still hold a withdrawn key.
    """

    def __init__(self, view: interfaces.ConfigurationView) -> None:
        self._view = view

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if the queue needs a key and the configuration is stale."""
        if exchange.require_queue().open:
            return
        if not self._view.is_fresh(exchange.now):
            raise errors.ConfigurationStale(
                'this entry cannot confirm that the key is still valid'
            )


class RateLimit:
    """Limits the calls per second of each team."""

    def __init__(self, rate_limiter: rates.TeamRateLimiter) -> None:
        self._rate_limiter = rate_limiter

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if the team has exceeded its rate."""
        team = exchange.configuration.teams_by_id.get(exchange.require_team())
        if team is None:
            raise errors.Unauthorized('the team no longer exists')
        self._rate_limiter.acquire(exchange.now, team)


class QueueLimit:
    """Limits the requests that this entry holds."""

    def __init__(self, load: EntryLoad, max_held: int) -> None:
        self._load = load
        self._max_held = max_held

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if the entry or the queue is full."""
        if self._load.request_count() >= self._max_held:
            raise errors.QueueFull(
                f'this entry holds {self._max_held} requests already'
            )
        queue = exchange.require_queue().name
        team = exchange.require_team()
        bound = exchange.require_profile().max_queued
        if self._load.request_count_of(queue, team) >= bound:
            raise errors.QueueFull(
                f'team {team!r} has {bound} requests in queue {queue!r} at '
                'this entry already'
            )


Chain = tuple[Filter, ...]


def authenticate_team(exchange: exchanges.Exchange) -> model.TeamId:
    """Return the team named in the headers, authenticated by its key.

    :raises errors.Unauthorized: the key or the team is missing, or the key
        is not one of the team; the message never contains the key.
    """
    presented = exchange.header(AUTHORIZATION)
    if not presented.startswith(BEARER):
        raise errors.Unauthorized(
            'the header "Authorization: Bearer <key>" is missing'
        )
    team = _team_of_key(exchange.configuration, presented)
    named = exchange.header(TEAM)
    if team is None or named != team:
        raise errors.Unauthorized(
            'the key is not a valid key of the team in the header '
            '"Samphirestack-Team"'
        )
    return team


def _team_of_key(
    current: configuration.Configuration, presented: str
) -> model.TeamId | None:
    return current.verify_key(presented[len(BEARER) :].strip())
