"""HTTP handlers of requests."""

import asyncio
import base64
import re
from typing import Annotated

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import verdict as verdicts
from samphirestackd.dispatch import dispatcher as dispatchers
from samphirestackd.dispatch import records
from samphirestackd.edge import bodies
from samphirestackd.edge import exchange as exchanges

IDEMPOTENCY_KEY = b'idempotency-key'
DISCONNECT_WATCH_DELAY_S = 0.05
"""Delay before a caller's connection is watched, so that short calls don't
need an extra task."""

_ID_PATTERN = re.compile(r'[A-Za-z0-9._:~-]{1,128}')
_KEY_PATTERN = re.compile(r'[A-Za-z0-9._:~-]{1,200}')
_ID_RULE = '1 to {} characters of A-Z, a-z, 0-9 and "._:~-"'


class RequestBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request submission."""

    payload: msgspec.Raw
    idempotent: bool = False
    deadline_s: Annotated[float, msgspec.Meta(gt=0)] | None = None
    request_id: str | None = None


_decoder = msgspec.json.Decoder(RequestBody)
_raw_decoder = msgspec.json.Decoder(msgspec.Raw)
_encode = msgspec.json.encode


class RequestHandlers:
    """Handlers of ``/v1/queues/{queue}/requests`` and ``/v1/requests``."""

    def __init__(
        self, dispatcher: dispatchers.Dispatcher, reader: bodies.BodyReader
    ) -> None:
        self._dispatcher = dispatcher
        self._bodies = reader

    async def submit(self, exchange: exchanges.Exchange) -> None:
        """Run a request and answer with the upstream's complete answer."""
        await self._bodies.read(exchange)
        try:
            call = _call_of(exchange)
            answer = await self._submit_watched(exchange, call)
        finally:
            self._bodies.release(exchange)
        await exchange.answer_bytes(encode_answer(answer))

    async def show(self, exchange: exchanges.Exchange) -> None:
        """Answer with the state of a request."""
        request_id = model.RequestId(exchange.path['request_id'])
        exchange.request_id = request_id
        for team in _visible_teams(exchange):
            info = self._find(request_id, team)
            if info is not None:
                await exchange.answer(info)
                return
        raise _not_found(request_id)

    async def cancel(self, exchange: exchanges.Exchange) -> None:
        """Cancel a request that was not sent yet."""
        request_id = model.RequestId(exchange.path['request_id'])
        exchange.request_id = request_id
        for team in _visible_teams(exchange):
            if self._find(request_id, team) is not None:
                info = self._dispatcher.cancel(request_id, team)
                await exchange.answer(info)
                return
        raise _not_found(request_id)

    def _find(
        self, request_id: model.RequestId, team: model.TeamId
    ) -> records.RequestInfo | None:
        try:
            return self._dispatcher.info(request_id, team)
        except errors.NotFound:
            return None

    async def _submit_watched(
        self, exchange: exchanges.Exchange, call: records.Call
    ) -> records.Answer:
        watch = _DisconnectWatch(exchange, call, self._dispatcher)
        try:
            return await self._dispatcher.submit(call)
        finally:
            watch.stop()


class _DisconnectWatch:
    """Cancels a waiting request when its caller disconnects."""

    def __init__(
        self,
        exchange: exchanges.Exchange,
        call: records.Call,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self._exchange = exchange
        self._call = call
        self._dispatcher = dispatcher
        self._task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            DISCONNECT_WATCH_DELAY_S, self._start_task
        )

    def stop(self) -> None:
        """Stop watching the connection."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start_task(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        message = await self._exchange.receive()
        while message['type'] != 'http.disconnect':
            message = await self._exchange.receive()
        self._dispatcher.cancel(self._call.request_id, self._call.team)


def _call_of(exchange: exchanges.Exchange) -> records.Call:
    body = bodies.decode(_decoder, exchange.body)
    if body.request_id is not None:
        _check_name('request_id', _ID_PATTERN, 128, body.request_id)
        exchange.request_id = model.RequestId(body.request_id)
    key = exchange.header(IDEMPOTENCY_KEY)
    if key:
        _check_name('Idempotency-Key', _KEY_PATTERN, 200, key)
    profile = exchange.require_profile()
    return records.Call(
        request_id=exchange.request_id,
        queue=exchange.require_queue(),
        profile=profile,
        team=exchange.require_team(),
        body=bytes(body.payload),
        idempotent=body.idempotent,
        deadline_s=min(
            body.deadline_s or profile.deadline_s, profile.deadline_s
        ),
        idempotency_key=key,
    )


def _check_name(
    field: str, pattern: re.Pattern[str], longest: int, value: str
) -> None:
    if not pattern.fullmatch(value):
        raise errors.BadRequest(f'{field} must be {_ID_RULE.format(longest)}')


def _visible_teams(exchange: exchanges.Exchange) -> list[model.TeamId]:
    """Return the teams whose requests the caller may see.

    Without a key these are the teams that open queues are charged to.
    """
    if exchange.team is not None:
        return [exchange.team]
    queues = exchange.configuration.queues_by_id.values()
    return sorted({queue.open_team for queue in queues if queue.open})


def _not_found(request_id: model.RequestId) -> errors.NotFound:
    return errors.NotFound(
        f'request {request_id[:128]!r} is not known at this entry',
        hint='Ask the entry VM that accepted it, with a key of its team.',
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
    )


def encode_answer(answer: records.Answer) -> bytes:
    """Return the JSON body for the caller.

    JSON of the upstream is embedded unchanged.  Other content becomes a
    string, and ``encoding`` is ``text`` or ``base64``.
    """
    content, encoding = _as_json(answer.body)
    return b'{"request_id":%b,"verdict":"ran","status":%d,"answer":%b%b}' % (
        _encode(answer.request_id),
        answer.status,
        content,
        encoding,
    )


def _as_json(body: bytes) -> tuple[bytes, bytes]:
    if not body:
        return b'null', b''
    try:
        text = body.decode()
    except UnicodeDecodeError:
        return _encode(base64.b64encode(body).decode()), (
            b',"encoding":"base64"'
        )
    try:
        _raw_decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        return _encode(text), b',"encoding":"text"'
    return body, b''
