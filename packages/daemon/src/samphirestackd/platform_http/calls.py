"""HTTP calls whose errors tell whether the request may have been sent.

A call that fails before it has a connection certainly had no effect.  After
that the server may have received the request, whatever the error is.
"""

import asyncio
import types
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec
import yarl

IDLE_TIMEOUT_S = 3.0
"""Idle time after which connections are closed.  Common servers close them
after 5 s or more, and a call during such a close has an unknown outcome."""

MAX_CONNECTIONS = 32
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Bound on a response, which is held in memory as a whole."""


T = TypeVar('T')


class NotSent(Exception):
    """The call failed before anything was sent."""


class NoAnswer(Exception):
    """The call may have been sent, and no complete response arrived."""


class Answer(msgspec.Struct, frozen=True):
    """A complete response with any status."""

    status: int
    body: bytes
    etag: str = ''


class _Progress:
    """Whether a call got a connection, so that bytes may have been sent."""

    __slots__ = ('connected',)

    def __init__(self) -> None:
        self.connected = False


class _Pool:
    """A session with a count of the calls that use it.

    A retired session is closed when its last call ends.
    """

    __slots__ = ('retired', 'session', 'users')

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.users = 0
        self.retired = False

    async def release(self) -> None:
        self.users -= 1
        if self.retired and not self.users:
            await self.session.close()


class Client:
    """Client of one server.

    After a failed call the other open connections may be broken as well:
    they only serve the calls in progress, and the next call opens a new one.

    :param timeout_s: deadline of each call, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._pool: _Pool | None = None

    async def close(self) -> None:
        """Close all connections."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    async def call(
        self,
        method: str,
        url: yarl.URL,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        extra_s: float = 0.0,
    ) -> Answer:
        """Send a request and return the response.

        :param extra_s: time that the server may wait before it answers.
        :raises NotSent: it certainly had no effect.
        :raises NoAnswer: it may have had an effect.
        """
        pool, progress = self._acquire_pool(), _Progress()
        try:
            async with asyncio.timeout(self._timeout_s + extra_s):
                return await _exchange(
                    pool.session, method, url, body, headers, progress
                )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # TimeoutError is an OSError; malformed responses raise
            # ValueError.
            self._retire(pool)
            text = f'{method} {url.path}: {type(error).__name__} {error}'
            if progress.connected:
                raise NoAnswer(text) from None
            raise NotSent(text) from None
        finally:
            await pool.release()

    def _acquire_pool(self) -> _Pool:
        if self._pool is None:
            self._pool = _Pool(_new_session())
        self._pool.users += 1
        return self._pool

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = None


async def _exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    body: bytes | None,
    headers: dict[str, str] | None,
    progress: _Progress,
) -> Answer:
    async with session.request(
        method,
        url,
        data=body,
        headers=headers,
        allow_redirects=False,
        trace_request_ctx=progress,
    ) as response:
        length = response.content_length
        if length is not None and length > MAX_ANSWER_BYTES:
            raise ValueError(f'response of {length} bytes is too large')
        content = await response.read()
        return Answer(
            response.status, content, response.headers.get('ETag', '')
        )


def _new_session() -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS,
            keepalive_timeout=IDLE_TIMEOUT_S,
            ttl_dns_cache=None,
        ),
        # Client.call sets one deadline for the whole call.
        timeout=aiohttp.ClientTimeout(total=None),
        cookie_jar=aiohttp.DummyCookieJar(),
        # Omitting these headers saves about 100 bytes per call.
        skip_auto_headers=('Accept', 'Accept-Encoding', 'User-Agent'),
        trace_configs=[trace],
        trust_env=False,
    )


async def _mark_connected(
    session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    parameters: Any,
) -> None:
    context.trace_request_ctx.connected = True


def join(base: str, path: str, **query: str) -> yarl.URL:
    """Return the URL of a path below ``base``; ``path`` is not encoded."""
    url = yarl.URL(base.rstrip('/')) / path.lstrip('/')
    return url.with_query(query) if query else url
