"""Request handlers of the operator API."""

from typing import Annotated
import urllib.parse

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestackd.admin import dependencies as dependency_types
from samphirestackd.admin import views
from samphirestackd import context as contexts
from samphirestackd.dispatch import dispatcher as dispatchers
from samphirestackd.edge import bodies
from samphirestackd.edge import exchange as exchanges
from samphirestackd.edge import jobs as caller_jobs

ACCEPTED = 202
MAX_CHANGES = 10_000
DEFAULT_LIMIT = 100
MAX_LIMIT = 10_000
MAX_EVENTS = 5000


class ChangesBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /admin/v1/changes``."""

    expected_revision: Annotated[int, msgspec.Meta(ge=0)]
    changes: Annotated[
        list[configuration.Change],
        msgspec.Meta(min_length=1, max_length=MAX_CHANGES),
    ]
    author: Annotated[str, msgspec.Meta(max_length=200)] = ''
    dry_run: bool = False


class ChangesAnswer(msgspec.Struct, frozen=True):
    """Response to a change that was accepted, or that passed a dry run."""

    revision: int
    dry_run: bool
    configuration: configuration.Configuration


class DrainAnswer(msgspec.Struct, frozen=True):
    """Response of a node that starts to drain."""

    draining: bool
    in_flight: int


class Explanation(msgspec.Struct, frozen=True):
    """Explanation of a job's current state."""

    job_id: model.JobId
    state: model.JobState
    reason: str
    explanation: str


_changes_decoder = msgspec.json.Decoder(ChangesBody)


class AdminHandlers:
    """Handlers of all paths under ``/admin/v1`` and of ``/metrics``."""

    def __init__(
        self,
        context: contexts.Context,
        dispatcher: dispatchers.Dispatcher,
        dependencies: dependency_types.Dependencies,
        reader: bodies.BodyReader,
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._jobs = dispatcher.jobs
        self._dependencies = dependencies
        self._bodies = reader

    async def configuration(self, exchange: exchanges.Exchange) -> None:
        """Return the current configuration without key verifiers."""
        await exchange.answer(views.redacted(exchange.configuration))

    async def change(self, exchange: exchanges.Exchange) -> None:
        """Apply changes to the configuration, or only validate them."""
        await self._bodies.read(exchange)
        try:
            body = bodies.decode(_changes_decoder, exchange.body)
        finally:
            self._bodies.release(exchange)
        accepted = await self._dependencies.configurator.change(
            body.changes, body.expected_revision, body.author, body.dry_run
        )
        self._context.events.record(
            'configuration.requested',
            revision=accepted.revision,
            author=body.author,
            dry_run=body.dry_run,
        )
        await exchange.answer(
            ChangesAnswer(
                accepted.revision, body.dry_run, views.redacted(accepted)
            )
        )

    async def history(self, exchange: exchanges.Exchange) -> None:
        """Return the newest accepted changes."""
        limit = _number_parameter(exchange, 'limit', DEFAULT_LIMIT, MAX_LIMIT)
        history = await self._dependencies.configurator.history(limit)
        await exchange.answer(list(history))

    async def nodes(self, exchange: exchanges.Exchange) -> None:
        """Return all entry VMs."""
        await exchange.answer(
            views.nodes(
                self._context,
                self._dispatcher.is_draining,
                self._dependencies.configuration_age_s(),
            )
        )

    async def workers(self, exchange: exchanges.Exchange) -> None:
        """Return all workers."""
        await exchange.answer(
            views.workers(self._context, self._dependencies.leader_state)
        )

    async def jobs(self, exchange: exchanges.Exchange) -> None:
        """Return jobs, newest first, filtered by team, state and zone."""
        query = _query_parameters(exchange)
        limit = _number_parameter(exchange, 'limit', DEFAULT_LIMIT, MAX_LIMIT)
        zones = (
            [model.ZoneId(query['zone'])]
            if 'zone' in query
            else list(map(model.ZoneId, exchange.configuration.zones_by_id))
        )
        found: list[model.JobRecord] = []
        for zone in zones or [self._context.settings.zone]:
            found += await self._jobs.scan(zone)
        matching = [
            record
            for record in found
            if query.get('team', record.job.team) == record.job.team
            and query.get('state', record.state.value) == record.state.value
        ]
        matching.sort(key=lambda record: -record.job.submitted_at_s)
        await exchange.answer(
            [caller_jobs.view_of(record) for record in matching[:limit]]
        )

    async def job(self, exchange: exchanges.Exchange) -> None:
        """Return the stored record of a job."""
        await exchange.answer(await self._find_job(exchange))

    async def cancel(self, exchange: exchanges.Exchange) -> None:
        """Cancel a job of any team."""
        job_id = model.JobId(exchange.path['job_id'])
        record = await self._jobs.cancel(job_id, None)
        await exchange.answer(caller_jobs.view_of(record), ACCEPTED)

    async def explain_job(self, exchange: exchanges.Exchange) -> None:
        """Return why a job is in its current state."""
        record = await self._find_job(exchange)
        job = record.job
        text = 'The job has ended.'
        if not record.state.is_final:
            known = None
            if job.home_zone == self._context.settings.zone:
                known = self._dependencies.leader_state.explain_job(job.job_id)
            if known is None:
                raise self._not_leader_error(job.home_zone)
            text = known
        await exchange.answer(
            Explanation(job.job_id, record.state, record.reason, text)
        )

    async def share(self, exchange: exchanges.Exchange) -> None:
        """Return the fair-share state of a team in this zone."""
        team = model.TeamId(exchange.path['team'])
        if team not in exchange.configuration.teams_by_id:
            raise errors.NotFound(f'team {team[:80]!r} does not exist')
        share = self._dependencies.leader_state.explain_share(team)
        if share is None:
            raise self._not_leader_error(self._context.settings.zone)
        await exchange.answer(share)

    async def events(self, exchange: exchanges.Exchange) -> None:
        """Return the events numbered above ``since``."""
        since = _number_parameter(exchange, 'since', 0, 2**62)
        limit = _number_parameter(exchange, 'limit', MAX_EVENTS, MAX_EVENTS)
        await exchange.answer(
            list(self._dependencies.events.since(since, limit))
        )

    async def drain(self, exchange: exchanges.Exchange) -> None:
        """Start the graceful shutdown of this node."""
        self._context.events.record('node.drain_requested')
        self._dependencies.start_drain()
        await exchange.answer(
            DrainAnswer(True, self._dispatcher.request_count()), ACCEPTED
        )

    async def metrics(self, exchange: exchanges.Exchange) -> None:
        """Return the metrics of this process."""
        text, kind = self._dependencies.metrics.render()
        await exchange.answer_bytes(text, content_type=kind.encode())

    async def _find_job(self, exchange: exchanges.Exchange) -> model.JobRecord:
        job_id = model.JobId(exchange.path['job_id'])
        return await self._jobs.find(job_id, None)

    def _not_leader_error(self, zone: model.ZoneId) -> errors.NoLeader:
        """Return an error that names the leader of the zone, if known."""
        leader = self._context.leaders.leader_of(zone)
        if leader is None:
            return errors.NoLeader(f'zone {zone!r} has no leader at present')
        return errors.NoLeader(
            f'only the leader of zone {zone!r} knows this',
            hint=f'Ask node {leader.vm_id!r}, which leads the zone.',
        )


def _query_parameters(exchange: exchanges.Exchange) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(exchange.query.decode('latin-1')))


def _number_parameter(
    exchange: exchanges.Exchange, name: str, default: int, maximum: int
) -> int:
    text = _query_parameters(exchange).get(name, str(default))
    if not (text.isascii() and text.isdigit()) or len(text) > len(
        str(maximum)
    ):
        raise errors.BadRequest(f'{name} must be a number from 0 to {maximum}')
    return min(int(text), maximum)
