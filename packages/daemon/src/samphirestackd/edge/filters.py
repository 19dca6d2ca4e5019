"""Checks that a call passes before anything costly is done for it.

The cheap ones come first.  All of them run before the body is read, so
that calls without a valid key can't make this process hold their bodies.
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
    """What this entry holds at present."""

    @property
    def is_draining(self) -> bool:
        """Whether nothing new is taken."""

    def request_count(self) -> int:
        """Return how many requests wait or run at this entry."""

    def request_count_of(
        self, queue: model.QueueId, team: model.TeamId
    ) -> int:
        """Return how many of a team's requests on a queue are held."""


class NodeState:
    """Refuses while the node drains or has no configuration yet."""

    def __init__(self, load: EntryLoad) -> None:
        self._load = load

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the node takes work."""
        if self._load.is_draining:
            raise errors.ShuttingDown('this entry is shutting down')
        if exchange.configuration.revision == 0:
            raise errors.ConfigurationStale(
                'this entry has not received a configuration yet'
            )


class BodySize:
    """Refuses a body that announces more than the bound."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if Content-Length exceeds the bound."""
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
    """Finds the queue in the path and its profile."""

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the queue is in the configuration."""
        name = exchange.path['queue']
        queue = exchange.configuration.queues_by_id.get(name)
        if queue is None:
            raise errors.NotFound(f'queue {name[:80]!r} does not exist')
        exchange.queue = queue
        exchange.profile = exchange.configuration.profile_of(queue)


class Credentials:
    """Proves the team of a call.

    Work on an open queue needs no key and is charged to the queue's team.
    """

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise unless the presented key is one of the named team."""
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
    """Proves the team of a question; without a key there is none."""

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if a key is presented that is not valid."""
        if AUTHORIZATION in exchange.headers:
            exchange.team = authenticate_team(exchange)


class Freshness:
    """Refuses keyed work while withdrawn keys can't be ruled out."""

    def __init__(self, view: interfaces.ConfigurationView) -> None:
        self._view = view

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise on a keyed queue of a stale node."""
        if exchange.require_queue().open:
            return
        if not self._view.is_fresh(exchange.now):
            raise errors.ConfigurationStale(
                'this entry can not confirm that the key is still valid'
            )


class RateLimit:
    """Bounds the calls a second of each team."""

    def __init__(self, rate_limiter: rates.TeamRateLimiter) -> None:
        self._rate_limiter = rate_limiter

    def __call__(self, exchange: exchanges.Exchange) -> None:
        """Raise if the team has used up its calls."""
        team = exchange.configuration.teams_by_id.get(exchange.require_team())
        if team is None:
            raise errors.Unauthorized('the team does not exist any more')
        self._rate_limiter.acquire(exchange.now, team)


class QueueLimit:
    """Bounds the requests that this entry holds."""

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
    """Return the team whose key was presented together with its name.

    :raises errors.Unauthorized: no key, no team, or they don't belong
        together; the message never repeats the key.
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
