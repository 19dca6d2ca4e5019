"""The ASGI application of the callers' interface."""

import msgspec
from starlette import routing

from samphirestack import errors
from samphirestackd import context as contexts
from samphirestackd.dispatch import dispatcher as dispatchers
from samphirestackd.edge import bodies
from samphirestackd.edge import endpoints
from samphirestackd.edge import exchange as exchanges
from samphirestackd.edge import filters
from samphirestackd.edge import jobs
from samphirestackd.edge import rates
from samphirestackd.edge import requests

NOT_READY = 503
METHOD_HINT = 'GET, POST and DELETE are used; see the caller API.'


class Health(msgspec.Struct, frozen=True):
    """Answer of ``/healthz``."""

    healthy: bool = True


class Readiness(msgspec.Struct, frozen=True):
    """Answer of ``/readyz``: whether a load balancer may send calls."""

    ready: bool
    draining: bool
    fresh: bool
    revision: int


class NodeHandlers:
    """Health and readiness handlers for load balancers."""

    def __init__(
        self, context: contexts.Context, load: filters.EntryLoad
    ) -> None:
        self._context = context
        self._load = load

    async def health(self, exchange: exchanges.Exchange) -> None:
        """Answer 200 as long as the process responds."""
        await exchange.answer(Health())

    async def readiness(self, exchange: exchanges.Exchange) -> None:
        """Answer 200 if this node accepts calls, otherwise 503.

        A node with a stale configuration stays ready, since it still
        serves open queues.  Otherwise a load balancer would remove all
        nodes of a partitioned zone.
        """
        revision = exchange.configuration.revision
        draining = self._load.is_draining
        ready = revision > 0 and not draining
        fresh = self._context.view.is_fresh(exchange.now)
        await exchange.answer(
            Readiness(ready, draining, fresh, revision),
            exchanges.OK if ready else NOT_READY,
        )


async def _unknown_path(exchange: exchanges.Exchange) -> None:
    raise errors.NotFound('no such path', hint='See the caller API.')


async def _wrong_method(exchange: exchanges.Exchange) -> None:
    raise errors.BadRequest(
        'the path does not have this method', hint=METHOD_HINT
    )


def create_app(
    context: contexts.Context, dispatcher: dispatchers.Dispatcher
) -> routing.Router:
    """Return the ASGI application of the callers' interface.

    It is a bare router without Starlette's exception middleware, since the
    endpoints turn exceptions into answers themselves.
    """
    ids = endpoints.RequestIds(context.settings.node.vm_id)
    reader = bodies.BodyReader(context.settings.edge.max_body_bytes)
    submission_chain = _create_submission_chain(context, dispatcher)
    query_chain: filters.Chain = (filters.OptionalCredentials(),)

    def route(
        path: str,
        method: str,
        chain: filters.Chain,
        handler: endpoints.Handler,
    ) -> routing.Route:
        endpoint = endpoints.Endpoint(context, ids, chain, handler)
        return routing.Route(path, endpoint, methods=[method])

    calls = requests.RequestHandlers(dispatcher, reader)
    work = jobs.JobHandlers(dispatcher.jobs, reader)
    node = NodeHandlers(context, dispatcher)
    routes = [
        route(
            '/v1/queues/{queue}/requests',
            'POST',
            submission_chain,
            calls.submit,
        ),
        route(
            '/v1/queues/{queue}/jobs', 'POST', submission_chain, work.submit
        ),
        route('/v1/requests/{request_id}', 'GET', query_chain, calls.show),
        route(
            '/v1/requests/{request_id}', 'DELETE', query_chain, calls.cancel
        ),
        route('/v1/jobs/{job_id}', 'GET', query_chain, work.show),
        route('/v1/jobs/{job_id}', 'DELETE', query_chain, work.cancel),
        route('/v1/jobs/{job_id}/wait', 'GET', query_chain, work.wait),
        route('/healthz', 'GET', (), node.health),
        route('/readyz', 'GET', (), node.readiness),
    ]
    wrong = endpoints.Endpoint(context, ids, (), _wrong_method)
    paths = dict.fromkeys(entry.path for entry in routes)
    fallbacks = [routing.Route(path, wrong) for path in paths]
    return routing.Router(
        [*routes, *fallbacks],
        redirect_slashes=False,
        default=endpoints.Endpoint(context, ids, (), _unknown_path),
    )


def _create_submission_chain(
    context: contexts.Context, dispatcher: dispatchers.Dispatcher
) -> filters.Chain:
    rate_limiter = rates.TeamRateLimiter()
    context.view.on_change(rate_limiter.remove_unknown_teams)
    bounds = context.settings.edge
    return (
        filters.NodeState(dispatcher),
        filters.BodySize(bounds.max_body_bytes),
        filters.QueueLookup(),
        filters.Credentials(),
        filters.Freshness(context.view),
        filters.RateLimit(rate_limiter),
        filters.QueueLimit(dispatcher, bounds.max_waiting),
    )
