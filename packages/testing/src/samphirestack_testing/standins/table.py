"""The rows of the platform's table, without any I/O."""

import msgspec

from samphirestack import platform


class Conflict(msgspec.Struct, frozen=True):
    """A condition of a transaction that does not hold."""

    table: str
    key: str
    version: int


class Conflicts(Exception):
    """At least one condition of a transaction does not hold."""

    def __init__(self, conflicts: list[Conflict]) -> None:
        super().__init__(f'{len(conflicts)} conflicts')
        self.conflicts = conflicts


class TableRows:
    """Rows by table and key.

    Versions come from one counter, so that a row that is deleted and
    created again never has a version that it had before.
    """

    def __init__(self) -> None:
        self._rows: dict[str, dict[str, platform.Row]] = {}
        self._version = 0
        self.writes = 0

    def get(self, table: str, key: str) -> platform.Row | None:
        """Return a row, or ``None`` if there is none."""
        return self._rows.get(table, {}).get(key)

    def scan(self, table: str, prefix: str) -> list[platform.Row]:
        """Return the rows whose key starts with ``prefix``, by key."""
        rows = self._rows.get(table, {})
        return [rows[key] for key in sorted(rows) if key.startswith(prefix)]

    def transact(self, writes: list[platform.Write]) -> list[int]:
        """Apply all writes or none and return the new versions.

        :raises Conflicts: a condition does not hold; nothing was written.
        """
        conflicts = [
            Conflict(write.table, write.key, present)
            for write in writes
            for present in [self._version_of(write)]
            if write.expect is not None and write.expect != present
        ]
        if conflicts:
            raise Conflicts(conflicts)
        return [self._apply(write) for write in writes]

    def _version_of(self, write: platform.Write) -> int:
        row = self.get(write.table, write.key)
        return 0 if row is None else row.version

    def _apply(self, write: platform.Write) -> int:
        self._version += 1
        self.writes += 1
        rows = self._rows.setdefault(write.table, {})
        if write.value is None:
            rows.pop(write.key, None)
            return self._version
        rows[write.key] = platform.Row(write.key, write.value, self._version)
        return self._version
