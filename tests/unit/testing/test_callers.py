"""Tests of the callers' rules for sending again."""

from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
import pytest

from samphirestack_testing import balancer
from samphirestack_testing import callers
from samphirestack_testing import ledger
from samphirestack_testing.standins import serving

BREAK = 'break'
RAN = 'ran'


class _Entry:
    """An entry that answers by a script: a code, ``ran`` or ``break``."""

    def __init__(self, script: list[str]) -> None:
        self.script = script
        self.keys: list[str | None] = []

    async def handle(self, request: web.Request) -> web.Response:
        self.keys.append(request.headers.get('Idempotency-Key'))
        step = self.script.pop(0)
        if step == BREAK:
            assert request.transport is not None
            request.transport.abort()
        if step == RAN:
            return web.json_response({'verdict': 'ran', 'answer': {'a': 1}})
        body = {'verdict': 'not_run', 'code': step}
        return web.json_response(body, status=503)


@pytest.fixture(name='http')
async def _http() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


class TestCallers:
    """Only what may be resent is resent, and the record says the rest."""

    @pytest.mark.parametrize(
        ('idempotent', 'key', 'script', 'outcome', 'attempts'),
        [
            (True, '', [RAN], 'answered', 1),
            (True, '', [BREAK, RAN], 'answered', 2),
            (False, '', [BREAK], 'may_have_run', 1),
            (False, 'k', [BREAK, RAN], 'answered', 2),
            (False, '', ['no_leader', RAN], 'answered', 2),
            (False, '', ['queue_full'], 'refused_not_run', 1),
            (True, '', [BREAK, 'queue_full'], 'may_have_run', 2),
            (True, '', [BREAK] * 5, 'no_answer', 5),
        ],
    )
    async def test_outcome(
        self,
        http: aiohttp.ClientSession,
        monkeypatch: pytest.MonkeyPatch,
        idempotent: bool,
        key: str,
        script: list[str],
        outcome: str,
        attempts: int,
    ) -> None:
        """Guards against a load tool that doubles work by itself."""
        monkeypatch.setattr(callers, 'RESEND_PAUSE_S', 0.001)
        entry = _Entry(list(script))
        app = web.Application()
        app.router.add_post('/v1/queues/q/requests', entry.handle)
        listener = await serving.listen(app)
        entries = balancer.Balancer({'e': f'http://{listener.address}'}, http)
        sender = callers.Callers(http, entries, {'t': 'k.s'})
        call = callers.Call('c', 't', 'q', True, idempotent, 0.0, 9.0, key)
        record = await sender.call(call)
        assert record.outcome.value == outcome
        assert record.attempts == attempts
        assert set(entry.keys) == {key or None}
        if record.outcome is ledger.Outcome.ANSWERED:
            assert record.digest == ledger.digest_of({'a': 1})
        await listener.close()
