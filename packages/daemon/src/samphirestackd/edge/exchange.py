"""One call of the callers' interface and its answer."""

import math

import msgspec
from starlette import types

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model

JSON = b'application/json'
OK = 200


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error answer."""

    code: str
    message: str
    hint: str
    verdict: str
    request_id: str


_encoder = msgspec.json.Encoder()


class Exchange:
    """A call with the results of its filters and methods to answer it."""

    __slots__ = (
        'body',
        'configuration',
        'headers',
        'now',
        'path',
        'profile',
        'query',
        'queue',
        'receive',
        'request_id',
        'send',
        'team',
    )

    def __init__(
        self,
        scope: types.Scope,
        receive: types.Receive,
        send: types.Send,
        request_id: str,
        current: configuration.Configuration,
        now: float,
    ) -> None:
        self.path: dict[str, str] = scope.get('path_params', {})
        self.query: bytes = scope.get('query_string', b'')
        self.headers: dict[bytes, bytes] = dict(scope['headers'])
        self.receive = receive
        self.send = send
        self.request_id = model.RequestId(request_id)
        self.configuration = current
        self.now = now
        self.body = b''
        self.queue: configuration.Queue | None = None
        self.profile: configuration.Profile | None = None
        self.team: model.TeamId | None = None

    def header(self, name: bytes) -> str:
        """Return a header as text, or an empty string if it is missing."""
        return self.headers.get(name, b'').decode('latin-1')

    def require_queue(self) -> configuration.Queue:
        """Return the queue, which a filter must have set."""
        assert self.queue is not None
        return self.queue

    def require_profile(self) -> configuration.Profile:
        """Return the profile, which a filter must have set."""
        assert self.profile is not None
        return self.profile

    def require_team(self) -> model.TeamId:
        """Return the authenticated team, which a filter must have set."""
        assert self.team is not None
        return self.team

    async def answer(self, value: object, status: int = OK) -> None:
        """Answer with a value as JSON."""
        await self.answer_bytes(_encoder.encode(value), status)

    async def answer_bytes(
        self,
        content: bytes,
        status: int = OK,
        extra: tuple[tuple[bytes, bytes], ...] = (),
        content_type: bytes = JSON,
    ) -> None:
        """Answer with encoded content."""
        length = (b'content-length', str(len(content)).encode())
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-type', content_type), length, *extra],
            }
        )
        await self.send({'type': 'http.response.body', 'body': content})

    async def fail(self, error: errors.SamphireError) -> None:
        """Answer with an error."""
        extra: tuple[tuple[bytes, bytes], ...] = ()
        if isinstance(error, errors.RateLimited):
            seconds = max(1, math.ceil(error.retry_after_s))
            extra = ((b'retry-after', str(seconds).encode()),)
        content = error_body(error, self.request_id)
        await self.answer_bytes(content, error.http_status, extra)


def error_body(error: errors.SamphireError, request_id: str = '') -> bytes:
    """Return the JSON body of an error."""
    return _encoder.encode(
        ErrorBody(
            error.code,
            error.message,
            error.hint,
            error.verdict.value,
            request_id,
        )
    )
