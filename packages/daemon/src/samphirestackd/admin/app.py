"""ASGI application of the operator API, served on its own port."""

from starlette import routing

from samphirestack import errors
from samphirestackd.admin import dependencies as dependency_types
from samphirestackd.admin import handlers
from samphirestackd.admin import token as tokens
from samphirestackd import context as contexts
from samphirestackd.dispatch import dispatcher as dispatchers
from samphirestackd.edge import bodies
from samphirestackd.edge import endpoints
from samphirestackd.edge import exchange as exchanges
from samphirestackd.edge import filters

PREFIX = '/admin/v1'
MAX_BODY_BYTES = 4 * 1024 * 1024
"""Enough for an initial configuration with all teams and keys."""


def create_app(
    context: contexts.Context,
    dispatcher: dispatchers.Dispatcher,
    dependencies: dependency_types.Dependencies,
    token: str,
) -> routing.Router:
    """Return the ASGI application of the operator API.

    :param token: bearer token of operators; see :func:`tokens.read_token`.
    """
    ids = endpoints.RequestIds(context.settings.node.vm_id)
    reader = bodies.BodyReader(MAX_BODY_BYTES)
    chain: filters.Chain = (
        tokens.OperatorToken(token),
        filters.BodySize(MAX_BODY_BYTES),
    )
    admin = handlers.AdminHandlers(context, dispatcher, dependencies, reader)

    def endpoint(handler: endpoints.Handler) -> endpoints.Endpoint:
        return endpoints.Endpoint(context, ids, chain, handler)

    def route(
        method: str, path: str, handler: endpoints.Handler
    ) -> routing.Route:
        return routing.Route(path, endpoint(handler), methods=[method])

    routes = [
        route('GET', f'{PREFIX}/configuration', admin.configuration),
        route('POST', f'{PREFIX}/changes', admin.change),
        route('GET', f'{PREFIX}/history', admin.history),
        route('GET', f'{PREFIX}/nodes', admin.nodes),
        route('GET', f'{PREFIX}/workers', admin.workers),
        route('GET', f'{PREFIX}/jobs', admin.jobs),
        route('GET', f'{PREFIX}/jobs/{{job_id}}', admin.job),
        route('DELETE', f'{PREFIX}/jobs/{{job_id}}', admin.cancel),
        route('GET', f'{PREFIX}/jobs/{{job_id}}/explain', admin.explain_job),
        route('GET', f'{PREFIX}/shares/{{team}}', admin.share),
        route('GET', f'{PREFIX}/events', admin.events),
        route('POST', f'{PREFIX}/drain', admin.drain),
        route('GET', '/metrics', admin.metrics),
    ]
    paths = dict.fromkeys(entry.path for entry in routes)
    other_methods = [
        routing.Route(path, endpoint(_method_not_allowed)) for path in paths
    ]
    return routing.Router(
        [*routes, *other_methods],
        redirect_slashes=False,
        default=endpoint(_unknown_path),
    )


async def _unknown_path(exchange: exchanges.Exchange) -> None:
    raise errors.NotFound('no such path', hint='See the operator API.')


async def _method_not_allowed(exchange: exchanges.Exchange) -> None:
    raise errors.BadRequest('the path does not have this method')
