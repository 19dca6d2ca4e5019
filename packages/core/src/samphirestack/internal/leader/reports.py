"""Tracking of the reports that a new zone leader needs from entries."""

from collections.abc import Iterable

from samphirestack import model

ASK_INTERVAL_S = 0.5
"""Time between requests to an entry that has not answered."""

REPORT_GRACE_S = 2.0
"""Time to wait for the report of an entry that seems alive before slots are
granted.  The upstreams still list the requests of a missing entry."""


class EntryReports:
    """Reports of the entries of one zone in one term.

    An entry must report before its requests are queued.  Otherwise a
    request with a grant of the former leader would get a second one.
    """

    def __init__(self) -> None:
        self._expected: set[model.VmId] = set()
        self._reported: set[model.VmId] = set()
        self._lost: set[model.VmId] = set()
        self._asked_at_by_entry: dict[model.VmId, float] = {}

    def start_term(self) -> None:
        """Discard the reports of an earlier term."""
        self._reported.clear()
        self._lost.clear()
        self._asked_at_by_entry.clear()

    def expect(self, entries: Iterable[model.VmId]) -> None:
        """Set the entries that the configuration names for the zone."""
        self._expected = set(entries)

    def record_report(self, entry: model.VmId) -> None:
        """Record that an entry has reported."""
        self._reported.add(entry)
        self._asked_at_by_entry.pop(entry, None)

    def has_reported(self, entry: model.VmId) -> bool:
        """Return whether an entry has reported in this term."""
        return entry in self._reported

    def request_report(self, entry: model.VmId) -> None:
        """Request a report, also from an entry that is not configured yet."""
        if entry not in self._reported:
            self._asked_at_by_entry.setdefault(entry, -ASK_INTERVAL_S)

    def entry_lost(self, entry: model.VmId) -> None:
        """Stop waiting for an entry.

        It is still asked for a report, because it may come back.
        """
        self._lost.add(entry)

    def entry_alive(self, entry: model.VmId) -> None:
        """Wait again for the report of an entry that sent a message."""
        self._lost.discard(entry)

    def is_complete(self) -> bool:
        """Return whether every expected entry has reported or is lost."""
        return self._expected <= self._reported | self._lost

    def entries_to_ask(self, now: float) -> list[model.VmId]:
        """Return the entries to ask now and record the time of the request."""
        for entry in sorted(self._expected - self._reported):
            self._asked_at_by_entry.setdefault(entry, -ASK_INTERVAL_S)
        due = [
            entry
            for entry, asked_at in self._asked_at_by_entry.items()
            if now - asked_at >= ASK_INTERVAL_S
        ]
        for entry in due:
            self._asked_at_by_entry[entry] = now
        return due
