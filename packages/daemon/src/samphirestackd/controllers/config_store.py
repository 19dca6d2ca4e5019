"""Rows of the published configuration in the platform's table.

``config/head`` names the newest revision; ``config/<revision>`` holds the
whole configuration of a revision.  Both are written in one transaction that is
conditional on the previous head.
"""

import asyncio
from collections.abc import Callable
from typing import TypeVar

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestack import platform

TABLE = 'config'
HEAD_KEY = 'head'
RETRY_S = 0.2
"""Pause before a write whose outcome is unknown is sent again."""

PARALLEL_READS = 8
MAX_HISTORY = 200

T = TypeVar('T')


class Head(msgspec.Struct, frozen=True):
    """The newest revision and the version of the row that names it."""

    revision: model.Revision = model.Revision(0)
    version: int = 0


class _HeadValue(msgspec.Struct, frozen=True):
    revision: model.Revision


class HistoryEntry(msgspec.Struct, frozen=True):
    """An accepted change."""

    revision: model.Revision
    author: str
    changed_at_s: float
    changed: tuple[str, ...]
    """Objects that were created, changed or removed."""


class ConfigStore:
    """Reads and writes the rows."""

    def __init__(
        self, table: platform.Table, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._clock = clock

    async def head(self) -> Head:
        """Return the newest revision, 0 if there is none.

        :raises errors.StoreUnavailable: the table did not answer.
        """
        row = await self._table.get(TABLE, HEAD_KEY)
        if row is None:
            return Head()
        value = _decode(row, _HeadValue)
        return Head(value.revision, row.version)

    async def load(self, revision: int) -> configuration.Configuration | None:
        """Return the configuration of a revision, if it exists.

        :raises errors.StoreUnavailable: the table did not answer.
        """
        row = await self._table.get(TABLE, row_key(revision))
        if row is None:
            return None
        return _decode(row, configuration.Configuration)

    async def commit(
        self,
        head: Head,
        updated: configuration.Configuration,
        deadline: float,
    ) -> None:
        """Write the revision that follows ``head``.

        A write with an unknown outcome is sent again unchanged.  Only one copy
        can meet its condition; after a conflict, the stored row shows whether
        this write or another one succeeded.

        :param deadline: monotonic time in seconds after which there are no
            retries.
        :raises errors.Conflict: another revision came first.
        :raises errors.StoreUnavailable: nothing was written.
        :raises errors.OutcomeUnknown: the write may have taken effect.
        """
        outcome_unknown = False
        while True:
            try:
                await self._table.transact(_writes(head, updated))
                return
            except errors.TransactionConflict:
                if await self._is_own_write(updated, outcome_unknown):
                    return
            except errors.OutcomeUnknown:
                outcome_unknown = True
            except errors.StoreUnavailable:
                if not outcome_unknown:
                    raise
            if self._clock() >= deadline:
                raise errors.OutcomeUnknown(
                    f'revision {updated.revision} may have been written',
                    hint='Read the history before applying it again.',
                )
            await asyncio.sleep(RETRY_S)

    async def _is_own_write(
        self, updated: configuration.Configuration, outcome_unknown: bool
    ) -> bool:
        """Return whether this write was stored; false if unknown.

        :raises errors.Conflict: another write was stored.
        """
        try:
            stored = await self.load(updated.revision)
        except errors.StoreUnavailable:
            if outcome_unknown:
                return False
            stored = None
        if outcome_unknown and stored == updated:
            return True
        author = 'somebody' if stored is None else repr(stored.author)
        raise errors.Conflict(
            f'revision {updated.revision} by {author} came first'
        )

    async def history(self, limit: int) -> list[HistoryEntry]:
        """Return the newest accepted changes, newest first.

        :raises errors.StoreUnavailable: the table did not answer.
        """
        head = await self.head()
        count = max(0, min(limit, MAX_HISTORY, head.revision))
        wanted = range(head.revision, head.revision - count - 1, -1)
        found: list[configuration.Configuration | None] = []
        entries: list[HistoryEntry] = []
        for start in range(0, len(wanted), PARALLEL_READS):
            batch = wanted[start : start + PARALLEL_READS]
            found += await asyncio.gather(*map(self.load, batch))
            while len(found) > 1:
                # Configurations are large, so each is released as soon as
                # possible.
                newer, older = found.pop(0), found[0]
                if newer is not None:
                    entries.append(_entry(newer, older))
        return entries[:count]


def row_key(revision: int) -> str:
    """Return the key of a revision's row; keys sort like revisions."""
    return f'{revision:012d}'


def _writes(
    head: Head, updated: configuration.Configuration
) -> list[platform.Write]:
    return [
        platform.Write(
            TABLE, HEAD_KEY, head.version, {'revision': updated.revision}
        ),
        platform.Write(
            TABLE, row_key(updated.revision), 0, msgspec.to_builtins(updated)
        ),
    ]


def _decode(row: platform.Row, kind: type[T]) -> T:
    try:
        return msgspec.convert(row.value, kind)
    except msgspec.ValidationError as error:
        raise errors.StoreUnavailable(
            f'row {TABLE}/{row.key} is not readable: {error}',
            hint='A newer version may have written it; upgrade this node.',
        ) from None


def _entry(
    newer: configuration.Configuration,
    older: configuration.Configuration | None,
) -> HistoryEntry:
    return HistoryEntry(
        newer.revision,
        newer.author,
        newer.changed_at_s,
        changed_objects(older or configuration.Configuration(), newer),
    )


def changed_objects(
    older: configuration.Configuration, newer: configuration.Configuration
) -> tuple[str, ...]:
    """Return what differs, such as ``team 'blue' changed``."""
    found = []
    for field in newer.__struct_fields__:
        if not field.endswith('_by_id'):
            continue
        kind = field.removesuffix('s_by_id')
        before, after = getattr(older, field), getattr(newer, field)
        for name in sorted(before.keys() | after.keys()):
            if name not in before:
                found.append(f'{kind} {name!r} created')
            elif name not in after:
                found.append(f'{kind} {name!r} removed')
            elif before[name] != after[name]:
                found.append(f'{kind} {name!r} changed')
    return tuple(found)
