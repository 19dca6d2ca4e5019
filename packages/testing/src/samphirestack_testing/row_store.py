"""Rows of the platform's store in memory, as a ``ports.RowStore``."""

import asyncio
from collections.abc import Sequence

from samphirestack import errors
from samphirestack.fleet import ports


class MemoryRowStore:
    """Applies transactions at once; single calls can be made to fail."""

    page_rows = 500
    """Number of rows that a read returns at most."""

    def __init__(self) -> None:
        self.version = 0
        self.rows_by_key: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        """Value and version by table, part and key."""
        self.transactions = 0
        self.failure: errors.PlatformError | None = None
        """Raised by every call, if set."""

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        """Apply everything or nothing; see ``ports.RowStore``."""
        self.transactions += 1
        if self.failure is not None:
            raise self.failure
        for one in conditions:
            found = self.rows_by_key.get((one.table, part, one.key))
            if (found[1] if found else 0) != one.version:
                raise errors.TransactionConflict
        self.version += 1
        for put in puts:
            self.rows_by_key[put.table, part, put.key] = (
                put.value,
                self.version,
            )
        for removal in removals:
            self.rows_by_key.pop((removal.table, part, removal.key), None)
        return self.version

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        """Return a range of rows; see ``ports.RowStore``."""
        if self.failure is not None:
            raise self.failure
        rows = [
            ports.StoredRow(row_key, value, version)
            for (row_table, row_part, row_key), (value, version) in sorted(
                self.rows_by_key.items()
            )
            if row_table == table
            and row_part == part
            and row_key >= first
            and (not end or row_key < end)
        ]
        return ports.Page(
            rows[: self.page_rows], self.version, len(rows) > self.page_rows
        )

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        """Return that the history is gone; see ``ports.RowStore``."""
        del table, after, wait_s
        return None


class QuietRowStore(MemoryRowStore):
    """Store whose feeds have no changes."""

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        """Wait in vain; see ``ports.RowStore``."""
        del table
        await asyncio.sleep(wait_s)
        return ports.Page([], after)
