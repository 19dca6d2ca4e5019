"""ASGI endpoints that run filters and a handler for each call."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import secrets

import eliot
from starlette import types

from samphirestack import errors
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.edge import bodies
from samphirestackd.edge import exchange as exchanges
from samphirestackd.edge import filters

Handler = Callable[[exchanges.Exchange], Awaitable[None]]


class RequestIds:
    """Generates ids that are unique across entries and restarts."""

    def __init__(self, vm_id: str) -> None:
        self._prefix = f'{vm_id}-{secrets.token_hex(5)}-'
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """Return a new id."""
        return f'{self._prefix}{next(self._numbers):x}'


class Endpoint:
    """An ASGI application for one route."""

    def __init__(
        self,
        context: contexts.Context,
        ids: RequestIds,
        chain: filters.Chain,
        handler: Handler,
    ) -> None:
        self._context = context
        self._ids = ids
        self._chain = chain
        self._handler = handler

    async def __call__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
    ) -> None:
        """Answer one call; any exception becomes an error body."""
        exchange = exchanges.Exchange(
            scope,
            receive,
            send,
            self._ids.next(),
            self._context.view.current,
            self._context.clock(),
        )
        try:
            for check in self._chain:
                check(exchange)
            await self._handler(exchange)
        except errors.SamphireError as error:
            await exchange.fail(error)
        except bodies.CallerDisconnected:
            return
        except Exception:
            # The log may hold nothing of the call except its id.
            with eliot.start_action(
                action_type='call.failed', request_id=exchange.request_id
            ):
                eliot.write_traceback()
            await exchange.fail(
                errors.SamphireError(
                    'unexpected failure',
                    verdict=verdicts.Verdict.MAY_HAVE_RUN,
                )
            )
