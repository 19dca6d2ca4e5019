"""HTTP client of upstreams that determines whether a request has run.

The verdict on a failed call depends on whether it had a connection.  Before
that no byte of the request was sent, so that it certainly has not run.
Afterwards only a refusal by the upstream that carries the id of this request
proves that it has not run.
"""

import asyncio
from collections.abc import Callable
import types
from typing import Any

import aiohttp
import msgspec
import yarl

from samphirestack import errors
from samphirestack import model
from samphirestack import platform

REQUEST_ID_HEADER = 'Samphirestack-Request-Id'
TEAM_HEADER = 'Samphirestack-Team'
EPOCH_HEADER = 'Samphirestack-Epoch'
VERDICT_HEADER = 'Samphirestack-Verdict'
NOT_RUN = 'not-run'

CONNECTION_WAIT_S = 0.5
"""Maximum wait for one of the allowed connections to an upstream."""

CONNECT_TIMEOUT_S = 0.6
"""The sum with the wait for a connection must stay well below the 2 s after
which the leader reclaims the slot of a request that has not been sent."""

STATUS_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 1.0
"""Idle time after which a connection is closed.  Common servers close idle
connections after 5 s or more, so that an upstream does not close one while
a request is being sent on it."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bound on a response, which is held in memory as a whole."""

MAX_CACHED_ADDRESSES = 4096
FIRST_REFUSAL_STATUS = 400
BODILESS_STATUSES = frozenset({204, 304})

_status_decoder = msgspec.json.Decoder(platform.UpstreamStatus)


class _Progress:
    """Whether a call got a connection, so that bytes may have been sent."""

    __slots__ = ('connected', 'reused')

    def __init__(self) -> None:
        self.connected = False
        self.reused = False
        """Whether the connection carried an earlier request."""


class _ConnectionLimit:
    """Limit on the connections to one upstream, and its status query."""

    __slots__ = ('connections', 'size', 'status_query')

    def __init__(self, size: int) -> None:
        self.size = size
        self.connections = asyncio.Semaphore(size)
        self.status_query: asyncio.Task[platform.UpstreamStatus] | None = None


class HttpUpstreamClient:
    """An :class:`samphirestack.platform.UpstreamClient` over aiohttp.

    :param max_connections_at: returns how many connections this process
        may have open to the upstream at an address, at least 2; one of them
        is reserved for :meth:`status`.
    """

    def __init__(self, max_connections_at: Callable[[str], int]) -> None:
        self._max_connections_at = max_connections_at
        self._limits_by_address: dict[str, _ConnectionLimit] = {}
        self._urls_by_address: dict[str, yarl.URL] = {}
        self._session: aiohttp.ClientSession | None = None
        self._status_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._status_session):
            if session is not None:
                await session.close()
        self._session = self._status_session = None

    async def work(
        self,
        address: str,
        request_id: model.RequestId,
        team: model.TeamId,
        epoch: model.Epoch,
        body: bytes,
        deadline_s: float,
    ) -> platform.UpstreamAnswer:
        """Send a request and return the complete response.

        :raises errors.UpstreamRefused: it certainly has not run.
        :raises errors.UpstreamFailed: it may have run.
        """
        progress = _Progress()
        headers = {
            REQUEST_ID_HEADER: request_id,
            TEAM_HEADER: team,
            EPOCH_HEADER: str(epoch),
            'Content-Type': 'application/json',
        }
        try:
            connections = self._connection_limit(address).connections
            if connections.locked():
                async with asyncio.timeout(min(deadline_s, CONNECTION_WAIT_S)):
                    await connections.acquire()
            else:
                await connections.acquire()
            try:
                async with asyncio.timeout(deadline_s):
                    return await self._exchange(
                        address, request_id, headers, body, progress
                    )
            finally:
                connections.release()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise _failure(address, progress, error) from error

    async def _exchange(
        self,
        address: str,
        request_id: model.RequestId,
        headers: dict[str, str],
        body: bytes,
        progress: _Progress,
    ) -> platform.UpstreamAnswer:
        async with self._get_work_session().post(
            self._work_url(address),
            data=body,
            headers=headers,
            # A redirect would send the request a second time.
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            try:
                _check_identity(address, request_id, response, progress)
                _check_framing(address, response)
                content = await _read_bounded(address, response)
            except errors.UpstreamFailed:
                # The next response on it might belong to another request.
                response.close()
                raise
            if _claims_not_run(response):
                raise _refusal(address, response.status)
            return platform.UpstreamAnswer(response.status, content)

    async def status(self, address: str) -> platform.UpstreamStatus:
        """Query the status over a new connection.

        Concurrent callers share one query and its result.

        :raises errors.UpstreamFailed: no valid response in time.
        """
        limit = self._connection_limit(address)
        if limit.status_query is None:
            limit.status_query = asyncio.create_task(self._query(address))
            limit.status_query.add_done_callback(
                lambda _: _clear_status_query(limit)
            )
        return await asyncio.shield(limit.status_query)

    async def _query(self, address: str) -> platform.UpstreamStatus:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                async with self._get_status_session().get(
                    f'http://{address}/status', allow_redirects=False
                ) as response:
                    content = await _read_bounded(address, response)
            return _status_decoder.decode(content)
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            errors.UpstreamFailed,
        ) as error:
            raise errors.UpstreamFailed(
                f'status query of upstream {address} failed: '
                f'{_describe(error)}'
            ) from error

    def _connection_limit(self, address: str) -> _ConnectionLimit:
        size = max(1, self._max_connections_at(address) - 1)
        limit = self._limits_by_address.get(address)
        if limit is None or limit.size != size:
            status_query = limit.status_query if limit is not None else None
            limit = _ConnectionLimit(size)
            limit.status_query = status_query
            self._limits_by_address[address] = limit
            _evict_oldest(self._limits_by_address)
        return limit

    def _work_url(self, address: str) -> yarl.URL:
        url = self._urls_by_address.get(address)
        if url is None:
            url = yarl.URL(f'http://{address}/work')
            self._urls_by_address[address] = url
            _evict_oldest(self._urls_by_address)
        return url

    def _get_work_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_TIMEOUT_S
            )
            self._session = _new_session(connector, [_connection_trace()])
        return self._session

    def _get_status_session(self) -> aiohttp.ClientSession:
        if self._status_session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._status_session = _new_session(connector, [])
        return self._status_session


def _new_session(
    connector: aiohttp.TCPConnector, traces: list[aiohttp.TraceConfig]
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=traces,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


def _connection_trace() -> aiohttp.TraceConfig:
    """Return a trace that records in ``_Progress`` when a call connects."""

    async def connected(
        session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        params: object,
    ) -> None:
        context.trace_request_ctx.connected = True

    async def reused(
        session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        params: object,
    ) -> None:
        context.trace_request_ctx.connected = True
        context.trace_request_ctx.reused = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(connected)
    trace.on_connection_reuseconn.append(reused)
    return trace


def _check_identity(
    address: str,
    request_id: model.RequestId,
    response: aiohttp.ClientResponse,
    progress: _Progress,
) -> None:
    """Raise unless the response carries the id of this request only.

    A refusal may omit the id on a connection that carried no earlier
    request, since it can't belong to another one.
    """
    named = response.headers.getall(REQUEST_ID_HEADER, [])
    if not named and _claims_not_run(response) and not progress.reused:
        return
    if named != [request_id]:
        raise errors.UpstreamFailed(
            f'upstream {address} answered request {request_id!r} with the '
            f'request id {", ".join(named) or "missing"}'
        )


def _check_framing(address: str, response: aiohttp.ClientResponse) -> None:
    """Raise for a response of which a truncation could not be detected."""
    framed = (
        'Content-Length' in response.headers
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
        or response.status in BODILESS_STATUSES
    )
    if not framed:
        raise errors.UpstreamFailed(
            f'upstream {address} answered without Content-Length or chunks, '
            'so that a truncated answer could not be detected'
        )


async def _read_bounded(
    address: str, response: aiohttp.ClientResponse
) -> bytes:
    content_length = response.content_length
    if content_length is not None and content_length <= MAX_ANSWER_BYTES:
        return await response.read()
    content = bytearray()
    async for chunk in response.content.iter_any():
        content += chunk
        if len(content) > MAX_ANSWER_BYTES:
            raise errors.UpstreamFailed(
                f'upstream {address} sent more than {MAX_ANSWER_BYTES} bytes'
            )
    return bytes(content)


def _claims_not_run(response: aiohttp.ClientResponse) -> bool:
    return response.headers.get(VERDICT_HEADER) == NOT_RUN


def _refusal(address: str, status: int) -> errors.UpstreamFailed:
    if status < FIRST_REFUSAL_STATUS:
        return errors.UpstreamFailed(
            f'upstream {address} answered with status {status} and said '
            'that it has not run the request'
        )
    return errors.UpstreamRefused(
        f'upstream {address} refused the request with status {status}'
    )


def _failure(
    address: str, progress: _Progress, error: Exception
) -> errors.UpstreamFailed:
    reason = _describe(error)
    if progress.connected:
        return errors.UpstreamFailed(
            f'upstream {address} failed after the request was sent: {reason}'
        )
    return errors.UpstreamRefused(
        f'upstream {address} could not be reached: {reason}'
    )


def _describe(error: Exception) -> str:
    return f'{type(error).__name__} {error}'.strip()


def _clear_status_query(limit: _ConnectionLimit) -> None:
    if limit.status_query is not None and not limit.status_query.cancelled():
        # Retrieves the exception, since asyncio logs it otherwise if every
        # caller was cancelled.
        limit.status_query.exception()
    limit.status_query = None


def _evict_oldest(entries: dict[str, Any]) -> None:
    """Remove the oldest entry above the bound.

    The addresses of upstreams change, so that entries become obsolete.
    """
    if len(entries) > MAX_CACHED_ADDRESSES:
        del entries[next(iter(entries))]
