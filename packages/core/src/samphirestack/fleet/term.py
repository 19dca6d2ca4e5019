"""Who decides for the fleet, as a pure state machine.

The term is one row of the store.  Its holder renews the row with each of its
writes.  Two bounds follow from the last renewal: after ``ORDER_LEASE_S`` the
holder starts nothing more, and after ``HOLD_LEASE_S`` it extends no lease of
a worker either.  Another entry takes the term over once it has seen the row
unchanged for longer than ``ORDER_LEASE_S``, so that two holders never start
work at the same time.
"""

from samphirestack.fleet import records
from samphirestack import model

ORDER_LEASE_S = 1.2
"""From the sending of a renewal.  It bounds how long the fleet stands still
after a holder went silent, and is above two transactions in a row while the
store is 60 times slower (0.42 s each)."""

HOLD_LEASE_S = 5.5
"""From the sending of a renewal.  Running work outlives outages of the store
of up to this length."""

TAKEOVER_AFTER_S = 1.55
"""Silence before a takeover; the margin above ORDER_LEASE_S covers the
transit of a renewal and of a last order."""

RENEW_EVERY_S = 0.3
"""Four renewals fit into ORDER_LEASE_S, so that three may be late."""

OBSERVATION_GAP_S = 1.4
"""Reads further apart prove no silence of the holder: it could not have
renewed during an outage of the store either."""

MBPS_PER_CORE = 40.0
"""Traffic of a holder at the load that takes one core, with room for
bursts: starts, holds and links to entries are below 10 Mbit/s there."""

MAX_CLAIM_DELAY_S = 1.0
"""Entries notice the end of a holder within half a second of each other, and
a strong one claims the free term within its jitter of 0.15 s."""

DEFAULT_STRENGTH = 1.0
"""Assumed of the strongest entry while nothing is known of the others: one
core carries the smallest deployment.  A weak entry that held the term of a
large one could not even read its jobs over 5 Mbit/s in time."""

HAND_OVER_AFTER_S = 1.0
"""A new holder waits for the pings of other entries, three a second."""

HOLDER_SILENT_S = 1.0
"""Without three of its answers, a holder is taken for out of reach."""

HAND_OVER_FACTOR = 1.6
"""A handover costs about a tenth of a second of all decisions."""


class Term:
    """What one entry knows of the term.

    :param vm_id: this entry.
    :param life: this start of the process.
    :param address: where other entries reach this one.
    """

    def __init__(self, vm_id: model.VmId, life: str, address: str) -> None:
        self._vm_id = vm_id
        self._life = life
        self._address = address
        self.record: records.TermRecord | None = None
        self.version = 0
        self.best_strength = 0.0
        """Of the strongest entry that is known."""
        self._unchanged_since: float | None = None
        self._first_read_at = float('-inf')
        """When this version of the row was first read."""
        self._last_read_at: float | None = None
        self._renewed_at = float('-inf')
        self._dead_processes: set[str] = set()

    @property
    def number(self) -> int:
        """Highest term seen; 0 before the first."""
        return self.record.term if self.record else 0

    @property
    def is_mine(self) -> bool:
        """Return whether the row names this process."""
        return (
            self.record is not None
            and self.record.life == self._life
            and not self.record.released
        )

    def may_start_work(self, now: float) -> bool:
        """Return whether this process may start work."""
        return self.is_mine and now < self._renewed_at + ORDER_LEASE_S

    def may_extend_leases(self, now: float) -> bool:
        """Return whether this process may extend leases of workers."""
        return self.is_mine and now < self._renewed_at + HOLD_LEASE_S

    def renewal_age(self, now: float) -> float:
        """Seconds since the last renewal was sent."""
        return now - self._renewed_at

    def observe(
        self,
        sent_at: float,
        now: float,
        record: records.TermRecord | None,
        version: int,
    ) -> None:
        """Take note of a read of the row."""
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

    def mark_process_dead(self, life: str) -> None:
        """Take note of proof that a process is gone."""
        self._dead_processes.add(life)

    def may_take_over(
        self, now: float, holder_answered_at: float = float('inf')
    ) -> bool:
        """Return whether this entry may claim the term.

        After a gap between reads, such as an outage of the store, a holder
        that lives is given time to renew.  One that is out of reach as well
        is not: its last renewal came before the row was first read so.

        :param holder_heard_at: when the holder answered this entry last.
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
        if record.holder == self._vm_id and record.life != self._life:
            # An earlier process of this VM; it ended before this one began.
            return True
        if self._unchanged_since is None:
            return False
        if now - self._unchanged_since >= TAKEOVER_AFTER_S:
            return True
        return (
            now - holder_answered_at >= HOLDER_SILENT_S
            and now - self._first_read_at >= TAKEOVER_AFTER_S
        )

    def claim_record(self) -> records.TermRecord:
        """Return the row that claims the next term."""
        return records.TermRecord(
            self.number + 1,
            self._vm_id,
            self._life,
            self._address,
            1,
            best_strength=self.best_strength,
        )

    def renewal_record(self, release: bool = False) -> records.TermRecord:
        """Return the row of the next write of the holder."""
        assert self.record is not None
        return records.TermRecord(
            self.record.term,
            self._vm_id,
            self._life,
            self._address,
            self.record.writes + 1,
            release,
            self.best_strength,
        )

    def record_write(
        self, sent_at: float, record: records.TermRecord, version: int
    ) -> None:
        """Take note that a write of this process took effect.

        :param sent_at: when it was sent first.
        """
        self.record = record
        self.version = version
        self._renewed_at = sent_at
        self._unchanged_since = sent_at
        self._first_read_at = sent_at
        self._last_read_at = sent_at

    def abandon(self, life: str) -> None:
        """Order and hold nothing more under the present term.

        :param life: names this process from now on, so that the row is not
            taken for a term that it still holds.
        """
        self._renewed_at = float('-inf')
        self._life = life


def strength(cores: float, link_mbps: float) -> float:
    """Return how well a VM can hold the term, in cores.

    The holder speaks to all workers, so that a narrow link counts like a
    slow processor.
    """
    return min(cores, link_mbps / MBPS_PER_CORE)


def claim_delay_s(own: float, best: float) -> float:
    """Return how long an entry leaves a free term to stronger ones.

    :param best: strength of the strongest entry that is known; 0 if none.
    """
    if best <= 0:
        best = DEFAULT_STRENGTH
    return max(0.0, 1.0 - own / best) * MAX_CLAIM_DELAY_S


def should_hand_over(own: float, best: float, held_s: float) -> bool:
    """Return whether a much stronger entry should hold the term instead."""
    return held_s > HAND_OVER_AFTER_S and best > HAND_OVER_FACTOR * own
