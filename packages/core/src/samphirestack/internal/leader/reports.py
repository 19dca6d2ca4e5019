"""Which entries have told a new zone leader what they hold."""

from collections.abc import Iterable

from samphirestack import model

ASK_INTERVAL_S = 0.5
"""Time between questions to an entry that has not answered."""

REPORT_GRACE_S = 2.0
"""Time after which slots are granted although an entry that seems alive
has not reported; what it runs is still known from the upstreams."""


class EntryReports:
    """Reports of the entries of one zone in one term.

    An entry must have reported before any of its requests gets a slot, or
    a request with a grant of the former leader would get a second one.
    """

    def __init__(self) -> None:
        self._expected: set[model.VmId] = set()
        self._reported: set[model.VmId] = set()
        self._lost: set[model.VmId] = set()
        self._asked_at_by_entry: dict[model.VmId, float] = {}

    def start_term(self) -> None:
        """Forget what was reported to the leader of an earlier term."""
        self._reported.clear()
        self._lost.clear()
        self._asked_at_by_entry.clear()

    def expect(self, entries: Iterable[model.VmId]) -> None:
        """Set the entries that the configuration names for the zone."""
        self._expected = set(entries)

    def record_report(self, entry: model.VmId) -> None:
        """Count a report."""
        self._reported.add(entry)
        self._asked_at_by_entry.pop(entry, None)

    def has_reported(self, entry: model.VmId) -> bool:
        """Return whether an entry has reported in this term."""
        return entry in self._reported

    def request_report(self, entry: model.VmId) -> None:
        """Ask an entry that the configuration does not name yet."""
        if entry not in self._reported:
            self._asked_at_by_entry.setdefault(entry, -ASK_INTERVAL_S)

    def entry_lost(self, entry: model.VmId) -> None:
        """Do not wait for an entry; it is still asked, as it may be back."""
        self._lost.add(entry)

    def entry_alive(self, entry: model.VmId) -> None:
        """Expect a report from an entry that is back."""
        self._lost.discard(entry)

    def is_complete(self) -> bool:
        """Return whether every expected live entry has reported."""
        return self._expected <= self._reported | self._lost

    def entries_to_ask(self, now: float) -> list[model.VmId]:
        """Return the entries to be asked now and note that they are."""
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
