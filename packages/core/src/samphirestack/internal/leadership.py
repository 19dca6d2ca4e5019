"""Election of the leader of one availability zone.

A node leads with an epoch for which a majority of the zone's arbiters granted
it a lease.  An arbiter grants an epoch to one owner and refuses lower epochs
from then on, so that an old leader can renew at most a minority of its leases
once a newer one is elected.  Its last renewals expire after ``leader_ttl``.
The new leader waits that long before it acts, unless it knows that the old
one is dead or has stepped down.

The validity of a lease counts from when the call was sent, on the clock of
the node that sent it.
"""

import random

import msgspec

from samphirestack.internal import leader_detection
from samphirestack import model

PROBE_EPOCH = leader_detection.NO_EPOCH
"""Epoch of the calls that only query the present epoch of an arbiter."""

RENEWALS_MISSED = 2
"""Renewal intervals without a granted lease after which an arbiter no longer
counts as answering; with too few answering ones all arbiters are called."""

CLAIM_TIMEOUT_S = 1.0
RANK_DELAY_S = 0.75
"""Delay of a claim for each live entry that precedes this node.  A claim
takes a few round trips, so that the next entry claims only if the one before
can't reach the arbiters."""

BACKOFF_S = 0.25
MAX_BACKOFF_S = 8.0
RECLAIM_AFTER_S = 1.0
"""Time after a refused renewal before a leader claims a higher epoch, so that
a rival claim in progress can succeed or fail."""


class Timing(msgspec.Struct, frozen=True):
    """Durations in seconds, as in the settings of the daemon."""

    leader_ttl_s: float = 1.5
    renew_s: float = 0.5
    worker_ttl_s: float = 10.0
    silent_after_s: float = 1.0


class LeaseCall(msgspec.Struct, frozen=True):
    """Lease calls that are due now."""

    epoch: model.Epoch
    workers: tuple[model.WorkerId, ...]


class LeaderTerm(msgspec.Struct, frozen=True):
    """A term of this node as leader; times are monotonic seconds.

    The node may act from ``grant_from``.  From ``restart_lost_after``, tasks
    on workers that have not answered since the start of the term can't run
    any more.
    """

    epoch: model.Epoch
    grant_from: float
    restart_lost_after: float


class _Claim(msgspec.Struct):
    """An attempt to win an epoch.

    ``sent_at_by_id`` holds the arbiters that granted the epoch, with the
    times at which their lease calls were sent.
    """

    epoch: model.Epoch
    started_at: float
    predecessor: leader_detection.KnownLeader | None
    sent_at_by_id: dict[model.WorkerId, float] = {}
    refused_by: set[model.WorkerId] = set()


class Leadership:
    """State of the election at one node; decides when to claim and renew.

    :param own_id: name of this node.
    :param now: start time of this process, in monotonic seconds.
    :param rng: adds jitter to the backoff after failed claims.
    """

    def __init__(
        self,
        own_id: model.VmId,
        now: float,
        timing: Timing | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._own_id = own_id
        self._timing = timing or Timing()
        self._rng = rng or random.Random(own_id)
        self._detector = leader_detection.LeaderDetector(
            own_id, self._timing.silent_after_s
        )
        self._has_resigned = False
        self._arbiters: tuple[model.WorkerId, ...] = ()
        self._probed_arbiters: set[model.WorkerId] = set()
        self._highest_epoch = PROBE_EPOCH
        self._claim: _Claim | None = None
        self._term: LeaderTerm | None = None
        self._predecessor: leader_detection.KnownLeader | None = None
        self._term_began_at = now
        self._renewed_by_id: dict[model.WorkerId, float] = {}
        self._conflict_since: float | None = None
        self._majority_lost_at: float | None = None
        self._leaderless_since: float | None = None
        self._claim_not_before = now + self._timing.silent_after_s
        self._next_call_at = now
        self._failed_claims = 0

    @property
    def term(self) -> LeaderTerm | None:
        """The present term of this node as leader, or ``None``.

        The ``grant_from`` of a term can move to an earlier time when the
        old leader is found to be dead or accepts this node as leader.
        """
        return self._term

    @property
    def highest_epoch(self) -> model.Epoch:
        """The highest epoch of the zone that is known to this node."""
        return self._highest_epoch

    def set_arbiters(self, workers: tuple[model.WorkerId, ...]) -> None:
        """Replace the workers whose majority elects the leader."""
        self._arbiters = workers

    def holds_majority(self, now: float) -> bool:
        """Return whether leases from a majority of arbiters are valid."""
        if self._term is None:
            return False
        return self._is_majority(self._renewed_by_id, now)

    def may_act(self, now: float) -> bool:
        """Return whether this node leads and no older leader can act."""
        return (
            self._term is not None
            and now >= self._term.grant_from
            and self.holds_majority(now)
        )

    def leader(self, now: float) -> tuple[model.VmId, model.Epoch] | None:
        """Return this node if it leads, or a live peer that claims to lead.

        Heartbeats must report only this leader.  If nodes relayed a leader
        that they know of from other nodes, two nodes could confirm a dead
        leader to each other forever.
        """
        if self._term is not None and self.holds_majority(now):
            return self._own_id, self._term.epoch
        return self._detector.leader(now)

    def silent_leader(self, now: float) -> model.VmId | None:
        """Return the last leader if it is silent but not known to be dead."""
        return self._detector.silent_leader(now)

    def record_heartbeat(
        self,
        now: float,
        peer: model.VmId,
        leader: model.VmId,
        epoch: model.Epoch,
        draining: bool,
    ) -> None:
        """Record a heartbeat of an entry of this zone.

        :param leader: whom the peer reports as leader, empty if none.
        :param epoch: epoch of that leader or, without one, the highest epoch
            that the peer knows of.
        """
        heartbeat = leader_detection.PeerHeartbeat(
            now, leader, epoch, draining
        )
        self._detector.record_heartbeat(
            peer, heartbeat, now + self._timing.leader_ttl_s
        )
        self._record_epoch(epoch)
        if leader != peer:
            return
        if self._term is not None and epoch > self._term.epoch:
            self._end_term(now)
        if self._claim is not None and epoch >= self._claim.epoch:
            self._claim = None

    def record_refused_connection(self, peer: model.VmId) -> None:
        """Record that a peer's port refuses connections, so it is dead."""
        self._detector.record_refused_connection(peer)
        self._shorten_wait(peer, self._term_began_at)

    def record_held_report(
        self, now: float, sender: model.VmId, epoch: model.Epoch
    ) -> None:
        """Record that a node accepted this node's epoch as the newest.

        If ``sender`` was the old leader, it has stepped down, so that this
        node need not wait until its leases expire.
        """
        if self._term is not None and epoch == self._term.epoch:
            self._shorten_wait(sender, now)

    def resign(self, now: float) -> None:
        """End the term; this process claims no other one."""
        self._has_resigned = True
        self._claim = None
        self._end_term(now)

    def record_agent_epoch(self, now: float, epoch: model.Epoch) -> None:
        """Record the epoch that some agent of the zone holds.

        If it equals the epoch of the term, the lease at that agent expired;
        only a higher epoch can lease the agent again.
        """
        self._record_epoch(epoch)
        if self._term is not None and epoch >= self._term.epoch:
            self._conflict_since = self._conflict_since or now

    def record_granted_lease(
        self,
        now: float,
        worker: model.WorkerId,
        epoch: model.Epoch,
        sent_at: float,
    ) -> None:
        """Record that an arbiter granted a lease call sent at ``sent_at``."""
        self._probed_arbiters.add(worker)
        self._record_epoch(epoch)
        if self._term is not None and epoch == self._term.epoch:
            last = self._renewed_by_id.get(worker, sent_at)
            self._renewed_by_id[worker] = max(last, sent_at)
        elif self._claim is not None and epoch == self._claim.epoch:
            self._claim.sent_at_by_id[worker] = sent_at
            if self._is_majority(self._claim.sent_at_by_id, now):
                self._begin_term(now, self._claim)

    def record_rejected_lease(
        self,
        now: float,
        worker: model.WorkerId,
        epoch: model.Epoch,
        called_with: model.Epoch,
    ) -> None:
        """Record that an arbiter refused a lease call.

        :param epoch: the epoch that the arbiter holds.
        :param called_with: the epoch of the call.
        """
        self._probed_arbiters.add(worker)
        self._record_epoch(epoch)
        if self._term is not None and called_with == self._term.epoch:
            self._renewed_by_id.pop(worker, None)
            self._conflict_since = self._conflict_since or now
        claim = self._claim
        if claim is not None and called_with == claim.epoch:
            claim.refused_by.add(worker)
            reachable = len(self._arbiters) - len(claim.refused_by)
            if epoch > claim.epoch or reachable < self._quorum():
                self._back_off(now)

    def tick(self, now: float) -> LeaseCall | None:
        """Return the lease calls to send now, if any.

        Must be called every few milliseconds.
        """
        if self._has_resigned or not self._arbiters:
            return None
        self._check_majority(now)
        self._expire_claim(now)
        self._update_leaderless_since(now)
        if self._claim is None and self._should_claim(now):
            self._start_claim(now)
        if now < self._next_call_at:
            return None
        self._next_call_at = now + self._timing.renew_s
        return self._due_call(now)

    def _due_call(self, now: float) -> LeaseCall | None:
        if self._claim is not None:
            missing = set(self._arbiters) - set(self._claim.sent_at_by_id)
            if missing:
                return LeaseCall(self._claim.epoch, tuple(sorted(missing)))
        if self._term is not None:
            return LeaseCall(self._term.epoch, self._arbiters_to_renew(now))
        if not self._has_probed():
            return LeaseCall(PROBE_EPOCH, self._arbiters)
        return None

    def _arbiters_to_renew(self, now: float) -> tuple[model.WorkerId, ...]:
        """Return a majority of arbiters and one more, if so many answer.

        Any majority that a rival needs overlaps with them.  Leaving out the
        others saves a third of a leader's traffic.
        """
        oldest = now - RENEWALS_MISSED * self._timing.renew_s
        answering = [
            worker
            for worker in self._arbiters
            if self._renewed_by_id.get(worker, oldest) > oldest
        ]
        enough = self._quorum() + 1
        if len(answering) < enough:
            return self._arbiters
        return tuple(answering[:enough])

    def _has_probed(self) -> bool:
        # Arbiters would renew an epoch of an earlier run of this node, since
        # the owner is the same.  To claim a higher one, ask a majority: one
        # of them knows the highest epoch that was ever won.
        answered = self._probed_arbiters.intersection(self._arbiters)
        return len(answered) >= self._quorum()

    def _should_claim(self, now: float) -> bool:
        if now < self._claim_not_before or not self._has_probed():
            return False
        if self._term is not None:
            return (
                self._conflict_since is not None
                and now >= self._conflict_since + RECLAIM_AFTER_S
            )
        if self._leaderless_since is None:
            return False
        since = max(self._leaderless_since, self._claim_not_before)
        return now >= since + self._detector.rank(now) * RANK_DELAY_S

    def _update_leaderless_since(self, now: float) -> None:
        if self.leader(now) or self._detector.has_indirect_leader(now):
            self._leaderless_since = None
        elif self._leaderless_since is None:
            self._leaderless_since = now

    def _start_claim(self, now: float) -> None:
        epoch = model.Epoch(self._highest_epoch + 1)
        self._highest_epoch = epoch
        last = self._detector.last_leader
        if last is not None and last.epoch != epoch - 1:
            # An unknown node may have won an epoch in between.
            last = None
        self._claim = _Claim(epoch, now, last, {}, set())
        self._next_call_at = now

    def _expire_claim(self, now: float) -> None:
        claim = self._claim
        if claim is not None and now >= claim.started_at + CLAIM_TIMEOUT_S:
            self._back_off(now)

    def _back_off(self, now: float) -> None:
        self._claim = None
        backoff = min(BACKOFF_S * 2**self._failed_claims, MAX_BACKOFF_S)
        self._failed_claims += 1
        self._claim_not_before = now + backoff * (1 + self._rng.random())

    def _begin_term(self, now: float, claim: _Claim) -> None:
        timing = self._timing
        self._claim = None
        self._conflict_since = None
        self._majority_lost_at = None
        self._term_began_at = now
        self._renewed_by_id = dict(claim.sent_at_by_id)
        self._predecessor = claim.predecessor
        self._term = LeaderTerm(
            claim.epoch,
            now + timing.leader_ttl_s,
            now + timing.leader_ttl_s + 2 * timing.worker_ttl_s,
        )
        last = claim.predecessor
        if last is not None and (
            last.vm_id == self._own_id or self._detector.is_dead(last.vm_id)
        ):
            self._shorten_wait(last.vm_id, now)
        self._set_last_leader()

    def _shorten_wait(self, vm_id: model.VmId, earliest: float) -> None:
        last = self._predecessor
        if self._term is None or last is None or last.vm_id != vm_id:
            return
        grant_from = max(earliest, last.older_expired_at)
        if grant_from < self._term.grant_from:
            self._term = msgspec.structs.replace(
                self._term, grant_from=grant_from
            )
            self._set_last_leader()

    def _set_last_leader(self) -> None:
        if self._term is not None:
            self._detector.last_leader = leader_detection.KnownLeader(
                self._own_id, self._term.epoch, self._term.grant_from
            )

    def _check_majority(self, now: float) -> None:
        if self._term is None:
            return
        if self.holds_majority(now):
            self._majority_lost_at = None
            if now > self._term_began_at + MAX_BACKOFF_S:
                self._failed_claims = 0
            return
        self._majority_lost_at = self._majority_lost_at or now
        lost_for = now - self._majority_lost_at
        is_outranked = self._highest_epoch > self._term.epoch
        if self._claim is None and (
            is_outranked or lost_for > self._timing.worker_ttl_s
        ):
            self._end_term(now)

    def _end_term(self, now: float) -> None:
        if self._term is None:
            return
        self._term = None
        self._predecessor = None
        self._renewed_by_id = {}
        self._conflict_since = None
        self._leaderless_since = None
        self._back_off(now)

    def _record_epoch(self, epoch: model.Epoch) -> None:
        self._highest_epoch = max(self._highest_epoch, epoch)

    def _is_majority(
        self, sent_at_by_id: dict[model.WorkerId, float], now: float
    ) -> bool:
        oldest = now - self._timing.leader_ttl_s
        renewed = sum(
            sent_at_by_id.get(worker, oldest) > oldest
            for worker in self._arbiters
        )
        return bool(self._arbiters) and renewed >= self._quorum()

    def _quorum(self) -> int:
        return len(self._arbiters) // 2 + 1
