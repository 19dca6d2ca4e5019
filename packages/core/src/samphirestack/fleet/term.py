"""Election of the process that decides for the fleet, as a state machine.

The term is one row of the store, which its holder renews with each of its
writes.  Two bounds count from the last renewal: after ``ORDER_LEASE_S`` the
holder starts no more work, and after ``HOLD_LEASE_S`` it also stops extending
leases of workers.  Another entry takes the term over once it has read the row
unchanged for longer than ``ORDER_LEASE_S``, so that two holders never start
work at the same time.
"""

import msgspec

from samphirestack.fleet import records
from samphirestack import model

ORDER_LEASE_S = 1.2
"""Time from the sending of a renewal during which the holder may start work.
It bounds how long no work starts after the holder becomes silent, and covers
two consecutive transactions while the store is 60 times slower (0.42 s
each)."""

HOLD_LEASE_S = 5.5
"""Time from the sending of a renewal during which the holder may extend
leases.  Running work survives outages of the store of up to this length."""

TAKEOVER_AFTER_S = 1.55
"""Time without a renewal before a takeover; the margin above ORDER_LEASE_S
covers the transit of a renewal and of the last order."""

RENEWAL_INTERVAL_S = 0.3
"""Four renewals fit into ORDER_LEASE_S, so that three may be late."""

OBSERVATION_GAP_S = 1.4
"""Maximum interval between two reads of the row that together show that it
was not renewed.  In a longer gap the store may have been unavailable to the
holder, too."""

MBPS_PER_CORE = 40.0
"""Traffic of a holder at a load that occupies one core, including bursts.
Starts, lease extensions and links to entries need less than 10 Mbit/s."""

MAX_CLAIM_DELAY_S = 1.0
"""Delay of the weakest entry before it claims a free term.  Entries detect
the end of a holder within half a second of each other, and a strong one
claims the free term within its jitter of 0.15 s."""

DEFAULT_STRENGTH = 1.0
"""Strength assumed for the strongest entry while none is known: one core
suffices for the smallest deployment.  In a large one, an entry with 5 Mbit/s
could not even read the jobs in time."""

HAND_OVER_AFTER_S = 1.0
"""Minimum time in the term before a handover, in which a new holder receives
the pings of the other entries, three per second each."""

HOLDER_SILENT_S = 1.0
"""Time without an answer after which a holder counts as unreachable; it
covers three pings."""

HAND_OVER_FACTOR = 1.6
"""Minimum ratio of strengths for a handover, which delays all decisions by
about a tenth of a second."""


class Claim(msgspec.Struct, frozen=True):
    """A claim that was sent and may have been applied."""

    sent_at: float
    """When it was first sent on this version of the row."""
    version: int
    """Version of the row that it replaces."""
    earlier_renewal_before: float
    """Moment before which the replaced holder had sent its last renewal."""


class Term:
    """State of the term as one entry knows it.

    :param vm_id: this entry.
    :param incarnation: identifies this start of the process.
    :param address: where other entries reach this one.
    """

    def __init__(
        self, vm_id: model.VmId, incarnation: str, address: str
    ) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._address = address
        self.record: records.TermRecord | None = None
        self.version = 0
        self.best_strength = 0.0
        """Strength of the strongest entry that is known."""
        self._unchanged_since: float | None = None
        """Since when reads without a gap show the row unchanged."""
        self._first_read_at = float('-inf')
        """When this version of the row was first read, gaps or not.  Its last
        renewal was sent before: another one changes the version, which a
        claim requires to be unchanged."""
        self._last_read_at: float | None = None
        self._renewed_at = float('-inf')
        self._dead_processes: set[str] = set()
        self._claim: Claim | None = None
        """Last claim of this process; without an answer, only a later read
        shows whether it was applied."""

    def observe_unreadable(
        self, sent_at: float, now: float, version: int
    ) -> None:
        """Record a read of a row that is no record of a term.

        No earlier term has a number above the version of the row: each claim
        raises the number by one and the version by at least one.  A holder
        may still act, so the row is replaced like one that isn't renewed.
        """
        unknown = records.TermRecord(version, model.VmId(''), '', '')
        self.observe(sent_at, now, unknown, version)

    @property
    def number(self) -> int:
        """Number of the latest known term; 0 before the first."""
        return self.record.term if self.record else 0

    @property
    def is_mine(self) -> bool:
        """Return whether the row names this process.

        That is also the case after a claim whose answer was lost, before
        this process has begun the term.
        """
        return (
            self.record is not None
            and self.record.life == self._incarnation
            and not self.record.released
        )

    def may_start_work(self, now: float) -> bool:
        """Return whether this process may start work."""
        return self.is_mine and now < self._renewed_at + ORDER_LEASE_S

    def may_extend_leases(self, now: float) -> bool:
        """Return whether this process may extend leases of workers."""
        return self.is_mine and now < self._renewed_at + HOLD_LEASE_S

    def renewal_age(self, now: float) -> float:
        """Return the seconds since the last renewal was sent."""
        return now - self._renewed_at

    def observe(
        self,
        sent_at: float,
        now: float,
        record: records.TermRecord | None,
        version: int,
    ) -> None:
        """Record a read of the row; ignore an outdated one.

        :param sent_at: when the read was sent.
        :param now: when its answer arrived.
        :param record: the row, or ``None`` if there is none yet.
        """
        if version < self.version:
            return
        gap = self._last_read_at is None or (
            sent_at - self._last_read_at > OBSERVATION_GAP_S
        )
        if version != self.version or self._unchanged_since is None:
            self._first_read_at = now
            self._unchanged_since = now
        elif gap:
            self._unchanged_since = now
        if record is not None and record.best_strength:
            self.best_strength = record.best_strength
        self._last_read_at = now
        self.record = record
        self.version = version

    def mark_process_dead(self, incarnation: str) -> None:
        """Record that a process is certainly gone."""
        self._dead_processes.add(incarnation)

    def may_take_over(
        self, now: float, holder_answered_at: float = float('inf')
    ) -> bool:
        """Return whether this entry may claim the term.

        After a gap between reads, such as an outage of the store, a holder
        that still answers is given time to renew.  One that is unreachable
        as well is not: its last renewal was before the first read of this
        version of the row.

        :param holder_answered_at: when the holder answered this entry last.
        """
        if self._last_read_at is None or self.is_mine:
            return False
        if now - self._last_read_at > OBSERVATION_GAP_S:
            # The row may have changed since.
            return False
        record = self.record
        if record is None or record.released:
            return True
        if record.life in self._dead_processes:
            return True
        if record.holder == self._vm_id and record.life != self._incarnation:
            # An earlier process of this VM; it ended before this one started.
            return True
        if self._unchanged_since is None:
            return False
        if now - self._unchanged_since >= TAKEOVER_AFTER_S:
            return True
        return (
            now - holder_answered_at >= HOLDER_SILENT_S
            and now - self._first_read_at >= TAKEOVER_AFTER_S
        )

    def begin_claim(self, now: float) -> records.TermRecord:
        """Return the row that claims the next term, which is sent now."""
        if self._claim is None or self._claim.version != self.version:
            self._claim = Claim(now, self.version, self._first_read_at)
        return records.TermRecord(
            self.number + 1,
            self._vm_id,
            self._incarnation,
            self._address,
            1,
            best_strength=self.best_strength,
        )

    def begin_term(self, now: float) -> float:
        """Begin the term that the row gives to this process.

        The term may have been claimed some time ago by a write without an
        answer.  Its lease counts from the sending of that write, so that a
        process that learns of it late starts work only after a renewal.

        :return: moment before which the replaced holder had sent its last
            renewal.
        """
        claim = self._claim
        self._claim = None
        if claim is None:
            return now
        self._renewed_at = claim.sent_at
        return claim.earlier_renewal_before

    def renewal_record(self, release: bool = False) -> records.TermRecord:
        """Return the row for the next write of the holder.

        :param release: whether the holder gives the term up by this write.
        """
        assert self.record is not None
        return records.TermRecord(
            self.record.term,
            self._vm_id,
            self._incarnation,
            self._address,
            self.record.writes + 1,
            release,
            self.best_strength,
        )

    def record_write(
        self, sent_at: float, record: records.TermRecord, version: int
    ) -> None:
        """Record that a write of the row by this process took effect.

        :param sent_at: when it was sent first.
        """
        self.record = record
        self.version = version
        self._renewed_at = sent_at
        self._unchanged_since = sent_at
        self._first_read_at = sent_at
        self._last_read_at = sent_at

    def abandon(self, incarnation: str) -> None:
        """Stop ordering work and extending leases in the current term.

        :param incarnation: identifies this process from now on, so that it
            does not take the row for a term that it still holds.
        """
        self._renewed_at = float('-inf')
        self._incarnation = incarnation
        self._claim = None


def strength(cores: float, link_mbps: float) -> float:
    """Return how well a VM can hold the term, in cores.

    The holder calls all workers, so a slow link limits it like a slow
    processor.
    """
    return min(cores, link_mbps / MBPS_PER_CORE)


def claim_delay_s(own_strength: float, best_strength: float) -> float:
    """Return how long an entry waits for stronger ones to claim a term.

    :param best_strength: of the strongest known entry; 0 if none is known.
    """
    if best_strength <= 0:
        best_strength = DEFAULT_STRENGTH
    return max(0.0, 1.0 - own_strength / best_strength) * MAX_CLAIM_DELAY_S


def should_hand_over(
    own_strength: float, best_strength: float, held_s: float
) -> bool:
    """Return whether a much stronger entry should hold the term instead."""
    return (
        held_s > HAND_OVER_AFTER_S
        and best_strength > HAND_OVER_FACTOR * own_strength
    )
