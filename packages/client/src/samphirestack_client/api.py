"""Calls to the operators' interface of the nodes."""

from collections.abc import AsyncIterator
import contextlib
import errno
import os
from typing import Any
from typing import TypeVar
import urllib.parse

import aiohttp
import msgspec

from samphirestack import configuration
from samphirestack_client import failures
from samphirestack_client import settings as settings_types

PREFIX = '/admin/v1'
UNAUTHORIZED = 401
FIRST_ERROR_STATUS = 400
TRY_NEXT_NODE_CODES = frozenset({'no_leader'})
"""Error codes after which another node is asked."""

_T = TypeVar('_T')


class _ErrorBody(msgspec.Struct):
    code: str = 'unknown'
    message: str = ''
    hint: str = ''


class Api:
    """Calls the nodes in the order of their addresses.

    A read is retried at the next node if one does not answer.  A change is
    retried only if the connection failed, since a node that received it may
    have accepted it.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        settings: settings_types.ClientSettings,
    ) -> None:
        self._session = session
        self._settings = settings

    @property
    def addresses(self) -> tuple[str, ...]:
        """Operators' addresses of the nodes."""
        return self._settings.addresses

    async def get(self, path: str, kind: type[_T], **query: str | int) -> _T:
        """Read from the first node that can answer.

        :raises failures.ClientFailure: refused, or no node answered.
        """
        last: failures.ClientFailure | None = None
        for address in self.addresses:
            try:
                return await self.get_from(address, path, kind, **query)
            except failures.Unreachable as error:
                last = last or error
            except failures.Refused as error:
                if error.code not in TRY_NEXT_NODE_CODES:
                    raise
                last = error
        raise last or failures.Unreachable('no node address is known')

    async def get_all(
        self, path: str, kind: type[_T], **query: str | int
    ) -> list[_T]:
        """Read from all nodes and return the answers of those that can.

        :raises failures.ClientFailure: a node refused, or none answered.
        """
        answers: list[_T] = []
        last: failures.ClientFailure | None = None
        for address in self.addresses:
            try:
                answers.append(
                    await self.get_from(address, path, kind, **query)
                )
            except failures.Unreachable as error:
                last = last or error
            except failures.Refused as error:
                if error.code not in TRY_NEXT_NODE_CODES:
                    raise
                last = error
        if not answers and last is not None:
            raise last
        return answers

    async def get_from(
        self, address: str, path: str, kind: type[_T], **query: str | int
    ) -> _T:
        """Read from one node.

        :raises failures.ClientFailure: the node refused or did not answer.
        """
        try:
            content = await self._call(address, 'GET', path, None, query)
        except (aiohttp.ClientError, OSError) as error:
            raise _unreachable_error(address, error) from error
        return _decode(address, content, kind)

    async def send(
        self, method: str, path: str, kind: type[_T], body: object = None
    ) -> _T:
        """Send a change to the first node that accepts a connection.

        :raises failures.ClientFailure: a node refused, no node was reached,
            or the outcome is unknown.
        """
        last: failures.ClientFailure | None = None
        for address in self.addresses:
            try:
                return await self.send_to(address, method, path, kind, body)
            except failures.Unreachable as error:
                last = last or error
        raise last or failures.Unreachable('no node address is known')

    async def send_to(
        self,
        address: str,
        method: str,
        path: str,
        kind: type[_T],
        body: object = None,
    ) -> _T:
        """Send a change to one node.

        :raises failures.Unreachable: no connection; the change was not sent.
        :raises failures.ClientFailure: refused, or the outcome is unknown.
        """
        try:
            content = await self._call(address, method, path, body, {})
        except aiohttp.ClientConnectorError as error:
            raise _unreachable_error(address, error) from error
        except (aiohttp.ClientError, OSError) as error:
            raise failures.ClientFailure(
                f'{address} did not answer after the change was sent, so its '
                f'outcome is unknown: {type(error).__name__}',
                'Check with "samphirestack config history" whether it was '
                'accepted before you repeat it.',
            ) from error
        return _decode(address, content, kind)

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: object,
        query: dict[str, str | int],
    ) -> bytes:
        url = f'http://{address}{PREFIX}{path}'
        async with self._session.request(
            method,
            url,
            params=query,
            data=None if body is None else msgspec.json.encode(body),
            allow_redirects=False,
        ) as response:
            content = await response.read()
            if response.status >= FIRST_ERROR_STATUS:
                raise _response_error(address, response.status, content)
            return content


def quote_path_segment(name: str) -> str:
    """Return a name percent-encoded as one segment of a URL path."""
    return urllib.parse.quote(name, safe='')


@contextlib.asynccontextmanager
async def connect(
    settings: settings_types.ClientSettings,
) -> AsyncIterator[Api]:
    """Provide an HTTP session for one command."""
    async with aiohttp.ClientSession(
        headers={
            'Authorization': f'Bearer {settings.token}',
            'Content-Type': 'application/json',
        },
        timeout=aiohttp.ClientTimeout(total=settings.timeout_s),
    ) as session:
        yield Api(session, settings)


async def fetch_configuration(api: Api) -> configuration.Configuration:
    """Return the configuration in force."""
    return await api.get('/configuration', configuration.Configuration)


def _decode(address: str, content: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise failures.ClientFailure(
            f'{address} sent an answer that can not be decoded: {error}',
            "Check that it is an operators' address and that the versions "
            'of client and daemon match.',
        ) from None


def _response_error(
    address: str, status: int, content: bytes
) -> failures.ClientFailure:
    try:
        body = msgspec.json.decode(content, type=_ErrorBody)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        body = _ErrorBody(message=f'{address} answered with status {status}')
    if status == UNAUTHORIZED:
        return failures.NotAllowed(body.message, body.hint)
    if body.code == 'conflict':
        return failures.Conflict(body.message, body.hint)
    if body.code == 'bad_request':
        return failures.WrongUsage(body.message, body.hint)
    return failures.Refused(body.code, body.message, body.hint)


def _unreachable_error(address: str, error: Exception) -> failures.Unreachable:
    reason: Any = str(error) or type(error).__name__
    if isinstance(error, aiohttp.ClientConnectorError):
        # The message of aiohttp hides the cause behind connection details.
        reason = os.strerror(error.os_error.errno or errno.ECONNREFUSED)
    return failures.Unreachable(
        f'{address} does not answer: {reason}',
        'Check the address and that the node runs, or give other nodes '
        'with --address.',
    )
