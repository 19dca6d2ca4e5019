"""HTTP clients of the table, the object store and the list of VMs."""

from collections.abc import Sequence
from typing import NoReturn

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd.platform_http import calls

OK_STATUSES = frozenset({200, 201, 204})
NOT_FOUND = 404
CONFLICT = 409
NOT_MODIFIED = 304
UNAVAILABLE = 503
"""Status with which the platform rejects a call without effect."""

FIRST_SERVER_ERROR = 500
JSON_HEADERS = {'Content-Type': 'application/json'}


class _Conflict(msgspec.Struct, frozen=True):
    table: str
    key: str
    version: int


class _Refusal(msgspec.Struct, frozen=True):
    conflicts: list[_Conflict]


class _Versions(msgspec.Struct, frozen=True):
    versions: list[int]


class _Transaction(msgspec.Struct, frozen=True):
    ops: Sequence[platform.Write]


_row_decoder = msgspec.json.Decoder(platform.Row)
_rows_decoder = msgspec.json.Decoder(list[platform.Row])
_vms_decoder = msgspec.json.Decoder(list[model.Vm])
_refusal_decoder = msgspec.json.Decoder(_Refusal)
_versions_decoder = msgspec.json.Decoder(_Versions)


async def _read(
    client: calls.Client,
    method: str,
    base: str,
    path: str,
    body: bytes | None = None,
    **query: str,
) -> bytes | None:
    """Make an idempotent call; return ``None`` for status 404."""
    url = calls.join(base, path, **query)
    try:
        answer = await client.call(method, url, body)
    except (calls.NotSent, calls.NoAnswer) as error:
        raise errors.StoreUnavailable(str(error)) from None
    if answer.status == NOT_FOUND:
        return None
    if answer.status not in OK_STATUSES:
        raise errors.StoreUnavailable(
            f'{method} {path}: status {answer.status}'
        )
    return answer.body


class HttpTable:
    """A :class:`samphirestack.platform.Table` over HTTP.

    :param base: base URL.
    :param timeout_s: deadline of each call, in seconds.
    """

    def __init__(self, base: str, timeout_s: float) -> None:
        self._base = base
        self._client = calls.Client(timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def get(self, table: str, key: str) -> platform.Row | None:
        """Return a row, or ``None`` if there is none."""
        body = await _read(
            self._client, 'GET', self._base, f'/table/{table}/{key}'
        )
        return None if body is None else _decode(_row_decoder, body)

    async def scan(self, table: str, prefix: str) -> list[platform.Row]:
        """Return the rows whose key starts with ``prefix``, by key."""
        body = await _read(
            self._client, 'GET', self._base, f'/table/{table}', prefix=prefix
        )
        return [] if body is None else _decode(_rows_decoder, body)

    async def transact(self, writes: Sequence[platform.Write]) -> list[int]:
        """Apply all writes or none and return the new versions."""
        url = calls.join(self._base, '/table/transact')
        body = msgspec.json.encode(_Transaction(writes))
        try:
            answer = await self._client.call('POST', url, body, JSON_HEADERS)
        except calls.NotSent as error:
            raise errors.StoreUnavailable(str(error)) from None
        except calls.NoAnswer as error:
            raise errors.OutcomeUnknown(str(error)) from None
        if answer.status == 200:
            return _decode_versions(answer.body)
        _raise_transaction_error(answer)


def _decode_versions(body: bytes) -> list[int]:
    try:
        return _versions_decoder.decode(body).versions
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.OutcomeUnknown(f'invalid response: {error}') from None


def _raise_transaction_error(answer: calls.Answer) -> NoReturn:
    if answer.status == CONFLICT:
        try:
            refusal = _refusal_decoder.decode(answer.body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.OutcomeUnknown(f'invalid response: {error}') from None
        raise errors.TransactionConflict(
            {(row.table, row.key): row.version for row in refusal.conflicts}
        )
    text = f'POST /table/transact: status {answer.status}'
    refused = answer.status < FIRST_SERVER_ERROR
    if answer.status == UNAVAILABLE or refused:
        raise errors.StoreUnavailable(text)
    # The server or a gateway may have failed after the write.
    raise errors.OutcomeUnknown(text)


def _decode(decoder: msgspec.json.Decoder[calls.T], body: bytes) -> calls.T:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.StoreUnavailable(f'invalid response: {error}') from None


class HttpObjectStore:
    """A :class:`samphirestack.platform.ObjectStore` over HTTP."""

    def __init__(self, base: str, timeout_s: float) -> None:
        self._base = base
        self._client = calls.Client(timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; storing it again has the same effect."""
        await _read(
            self._client, 'PUT', self._base, f'/objects/{name}', content
        )

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none."""
        return await _read(self._client, 'GET', self._base, f'/objects/{name}')


class HttpVmList:
    """A :class:`samphirestack.platform.VmList` over HTTP.

    The list is large compared with everything else that a node reads.  An
    entity tag avoids its transfer while it is unchanged, if the server
    supports this.
    """

    def __init__(self, base: str, timeout_s: float) -> None:
        self._base = base
        self._client = calls.Client(timeout_s)
        self._etag = ''
        self._last_list: list[model.Vm] = []

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def list_vms(self) -> list[model.Vm]:
        """Return all VMs that the platform lists."""
        headers = {'If-None-Match': self._etag} if self._etag else None
        url = calls.join(self._base, '/vms')
        try:
            answer = await self._client.call('GET', url, headers=headers)
        except (calls.NotSent, calls.NoAnswer) as error:
            raise errors.StoreUnavailable(str(error)) from None
        if answer.status == NOT_MODIFIED and self._etag:
            return self._last_list
        if answer.status != 200:
            raise errors.StoreUnavailable(f'/vms: status {answer.status}')
        self._last_list = _decode(_vms_decoder, answer.body)
        self._etag = answer.etag
        return self._last_list
