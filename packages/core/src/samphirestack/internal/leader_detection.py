"""Detection of a zone's leader from the heartbeats of its entries."""

import msgspec

from samphirestack import model

NO_EPOCH = model.Epoch(0)
"""Lower than every epoch that a leader can have."""


class KnownLeader(msgspec.Struct, frozen=True):
    """A leader that was this node or announced itself to this node.

    ``older_expired_at`` is the monotonic time in seconds from which no
    leader with a lower epoch can act, since all its leases have expired.
    """

    vm_id: model.VmId
    epoch: model.Epoch
    older_expired_at: float


class PeerHeartbeat(msgspec.Struct, frozen=True):
    """The last heartbeat of another entry of the zone.

    ``leader`` is whom the peer reports as leader, empty if none, and
    ``received_at`` is in monotonic seconds.
    """

    received_at: float
    leader: model.VmId
    epoch: model.Epoch
    draining: bool


class LeaderDetector:
    """Tracks the heartbeats of a zone's entries and derives its leader.

    :param own_id: name of this node.
    :param silent_after_s: time without a heartbeat after which a peer is
        not counted as live.
    """

    def __init__(self, own_id: model.VmId, silent_after_s: float) -> None:
        self._own_id = own_id
        self._silent_after_s = silent_after_s
        self._heartbeats_by_id: dict[model.VmId, PeerHeartbeat] = {}
        self._dead_peers: set[model.VmId] = set()
        self.last_leader: KnownLeader | None = None
        """The known leader with the highest epoch, live or not."""

    def record_heartbeat(
        self,
        peer: model.VmId,
        heartbeat: PeerHeartbeat,
        older_expired_at: float,
    ) -> None:
        """Record a heartbeat, which proves that the peer is alive.

        :param older_expired_at: time from which no leader with a lower epoch
            can act, if the peer leads; monotonic seconds.
        """
        self._dead_peers.discard(peer)
        self._heartbeats_by_id[peer] = heartbeat
        if heartbeat.leader == peer and heartbeat.epoch > self._last_epoch():
            self.last_leader = KnownLeader(
                peer, heartbeat.epoch, older_expired_at
            )

    def record_refused_connection(self, peer: model.VmId) -> None:
        """Record that a peer's port refuses connections, so it is dead."""
        self._dead_peers.add(peer)
        self._heartbeats_by_id.pop(peer, None)

    def is_dead(self, vm_id: model.VmId) -> bool:
        """Return whether a node is known to be dead, not just silent."""
        return vm_id in self._dead_peers

    def leader(self, now: float) -> tuple[model.VmId, model.Epoch] | None:
        """Return the live peer that reports itself as leader, if any."""
        leaders = [
            (heartbeat.epoch, peer)
            for peer, heartbeat in self._live_heartbeats(now).items()
            if heartbeat.leader == peer
            and heartbeat.epoch >= self._last_epoch()
        ]
        if not leaders:
            return None
        epoch, peer = max(leaders)
        return peer, epoch

    def has_indirect_leader(self, now: float) -> bool:
        """Return whether a live peer follows a leader that may be alive.

        This node may get no heartbeats from that leader itself.
        """
        return any(
            heartbeat.leader not in ('', peer, self._own_id)
            and heartbeat.leader not in self._dead_peers
            and heartbeat.epoch >= self._last_epoch()
            for peer, heartbeat in self._live_heartbeats(now).items()
        )

    def silent_leader(self, now: float) -> model.VmId | None:
        """Return the last leader if it is silent but not known to be dead."""
        if self.last_leader is None or self.last_leader.vm_id == self._own_id:
            return None
        vm_id = self.last_leader.vm_id
        if vm_id in self._live_heartbeats(now) or vm_id in self._dead_peers:
            return None
        return vm_id

    def rank(self, now: float) -> int:
        """Return how many live entries take precedence over this node.

        Entries are ordered by name; draining ones don't count.
        """
        return sum(
            peer < self._own_id and not heartbeat.draining
            for peer, heartbeat in self._live_heartbeats(now).items()
        )

    def _live_heartbeats(self, now: float) -> dict[model.VmId, PeerHeartbeat]:
        oldest = now - self._silent_after_s
        return {
            peer: heartbeat
            for peer, heartbeat in self._heartbeats_by_id.items()
            if heartbeat.received_at > oldest
        }

    def _last_epoch(self) -> model.Epoch:
        return NO_EPOCH if self.last_leader is None else self.last_leader.epoch
