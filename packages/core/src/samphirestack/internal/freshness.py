"""Check that this node's configuration is the newest.

A node is fresh while it has a confirmation, younger than a bound, that no
newer revision is in force.  The confirmation is a read of the head revision
from the table, or answers from a majority of the whole roster, including
this node, that none of them promised a newer revision.  A change needs the
promises of a majority before it is written, and any two majorities share a
node, so no node stays fresh at a superseded revision for longer than the
bound.

The age of a confirmation counts from when the question was sent.  The time
at which the answer is received proves nothing: the answer can be buffered in
a socket for as long as this process is paused.
"""

import math

import msgspec

from samphirestack import model

ABOVE_ALL_REVISIONS = model.Revision(2**53)
"""Promise of a node that does not know yet what its previous run promised.
It exceeds every revision, so that its answers confirm none."""

NEVER = -math.inf


class Answer(msgspec.Struct, frozen=True):
    """The last answer of a peer.

    ``sent_at`` is when the question was sent.  ``promised`` is the highest
    revision that the peer promised or applied: it confirms that no newer one
    was committed with its promise.
    """

    sent_at: float
    promised: model.Revision


class Freshness:
    """Confirmations that a node received and promises that it gave.

    A promise to a node that proposes a revision excludes confirming any
    lower revision to other nodes.  All times are monotonic seconds.

    :param own_id: name of this node on the roster.
    :param bound_s: age in seconds at which a confirmation expires.
    """

    def __init__(self, own_id: model.VmId, bound_s: float) -> None:
        self._own_id = own_id
        self._bound_s = bound_s
        self._roster: frozenset[model.VmId] = frozenset()
        self._revision = model.Revision(0)
        self._committed = model.Revision(0)
        self._promised = ABOVE_ALL_REVISIONS
        self._promised_at: float | None = None
        self._promised_in_run = model.Revision(0)
        self._has_read_table = False
        self._table_read_at = NEVER
        self._answers_by_id: dict[model.VmId, Answer] = {}

    @property
    def revision(self) -> model.Revision:
        """The revision that is in force at this node."""
        return self._revision

    @property
    def committed(self) -> model.Revision:
        """The highest revision that is known to be committed."""
        return max(self._committed, self._revision)

    @property
    def promised(self) -> model.Revision:
        """The lowest revision that this node confirms as the newest.

        This is the highest one that it promised or has in force.
        """
        return max(self._promised, self._revision)

    @property
    def has_open_promise(self) -> bool:
        """Whether a promised revision is not yet known to be committed."""
        return self._has_read_table and self._promised > self.committed

    def set_roster(self, members: frozenset[model.VmId]) -> None:
        """Replace the nodes of which a majority must confirm or promise."""
        self._roster = members
        for peer in set(self._answers_by_id) - members:
            del self._answers_by_id[peer]

    def set_revision(self, revision: model.Revision) -> None:
        """Record that a committed revision is in force at this node.

        A lower revision than the present one is ignored.
        """
        self._revision = max(self._revision, revision)

    def record_commit(self, revision: model.Revision) -> None:
        """Record that a revision is committed; it may not be in force here."""
        self._committed = max(self._committed, revision)

    def record_table_read(
        self, sent_at: float, revision: model.Revision
    ) -> None:
        """Record the head revision that was read from the table.

        The first read bounds what an earlier run of this node can have
        promised, since a promise is for the successor of a head revision.

        :param sent_at: when the read was sent.
        """
        self.record_commit(revision)
        self._table_read_at = max(self._table_read_at, sent_at)
        if not self._has_read_table:
            self._has_read_table = True
            successor = model.Revision(revision + 1)
            self._promised = max(self._promised_in_run, successor)
            self._promised_at = sent_at

    def record_answer(
        self,
        peer: model.VmId,
        sent_at: float,
        promised: model.Revision,
    ) -> None:
        """Record a peer's answer to a question sent at ``sent_at``.

        :param promised: the lowest revision that the peer confirms.
        """
        last = self._answers_by_id.get(peer)
        if peer in self._roster and (last is None or last.sent_at <= sent_at):
            self._answers_by_id[peer] = Answer(sent_at, promised)

    def promise(self, now: float, revision: model.Revision) -> bool:
        """Promise to confirm no revision lower than ``revision``.

        The promise ends only with a commit of at least that revision.
        Returns false if such a revision is committed already.
        """
        if revision <= self.committed:
            return False
        self._promised_in_run = max(self._promised_in_run, revision)
        if self._has_read_table and revision > self._promised:
            self._promised = revision
            self._promised_at = now
        return True

    def promise_age(self, now: float) -> float:
        """Return the age of the open promise in seconds, or 0."""
        if not self.has_open_promise or self._promised_at is None:
            return 0.0
        return now - self._promised_at

    def is_majority(self, members: set[model.VmId]) -> bool:
        """Return whether ``members`` are a majority of the whole roster.

        With an empty roster, as before the first revision, nobody is needed.
        """
        if not self._roster:
            return True
        return len(self._roster & members) >= self._quorum()

    def is_fresh(self, now: float) -> bool:
        """Return whether the revision in force is confirmed as the newest.

        If so, a newer one has been in force for less than the bound.
        """
        return (
            self._revision > 0
            and self._committed <= self._revision
            and self.age(now) < self._bound_s
        )

    def age(self, now: float) -> float:
        """Return the age of the last confirmation in seconds."""
        return now - max(self._table_read_at, self._majority_at(now))

    def _majority_at(self, now: float) -> float:
        if not self._roster:
            return NEVER
        times = [
            answer.sent_at
            for answer in self._answers_by_id.values()
            if answer.promised <= self._revision
        ]
        if self._own_id in self._roster and self.promised <= self._revision:
            times.append(now)
        if len(times) < self._quorum():
            return NEVER
        return sorted(times, reverse=True)[self._quorum() - 1]

    def _quorum(self) -> int:
        return len(self._roster) // 2 + 1
