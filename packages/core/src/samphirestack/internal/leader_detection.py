"""What the entries of a zone say about its leader."""

import msgspec

from samphirestack import model

NO_EPOCH = model.Epoch(0)
"""Lower than every epoch that a leader can have."""


class KnownLeader(msgspec.Struct, frozen=True):
    """A leader that this node was or leaders itself.

    ``older_expired_at`` is when every leader with a lower epoch has lapsed.
    """

    vm_id: model.VmId
    epoch: model.Epoch
    older_expired_at: float


class PeerHeartbeat(msgspec.Struct, frozen=True):
    """The last heartbeat of an entry of the zone."""

    received_at: float
    leader: model.VmId
    epoch: model.Epoch
    draining: bool


class LeaderDetector:
    """Heartbeats of the zone and the leader that follows from them.

    :param own_id: name of this node.
    :param silent_after_s: silence after which a peer counts as dead.
    """

    def __init__(self, own_id: model.VmId, silent_after_s: float) -> None:
        self._own_id = own_id
        self._silent_after_s = silent_after_s
        self._heartbeats_by_id: dict[model.VmId, PeerHeartbeat] = {}
        self._dead_peers: set[model.VmId] = set()
        self.last_leader: KnownLeader | None = None
        """The known leader with the highest epoch, dead or alive."""

    def record_heartbeat(
        self,
        peer: model.VmId,
        heartbeat: PeerHeartbeat,
        older_expired_at: float,
    ) -> None:
        """Note a heartbeat.

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
        """Note that a peer's port refuses connections."""
        self._dead_peers.add(peer)
        self._heartbeats_by_id.pop(peer, None)

    def is_dead(self, vm_id: model.VmId) -> bool:
        """Return whether a node is known to be dead, not just silent."""
        return vm_id in self._dead_peers

    def leader(self, now: float) -> tuple[model.VmId, model.Epoch] | None:
        """Return the live peer that says of itself that it leads."""
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
        """Return whether a live peer hears a leader that this node can't."""
        return any(
            heartbeat.leader not in ('', peer, self._own_id)
            and heartbeat.leader not in self._dead_peers
            and heartbeat.epoch >= self._last_epoch()
            for peer, heartbeat in self._live_heartbeats(now).items()
        )

    def silent_leader(self, now: float) -> model.VmId | None:
        """Return the last leader if it fell silent and may be dead."""
        if self.last_leader is None or self.last_leader.vm_id == self._own_id:
            return None
        vm_id = self.last_leader.vm_id
        if vm_id in self._live_heartbeats(now) or vm_id in self._dead_peers:
            return None
        return vm_id

    def rank(self, now: float) -> int:
        """Return how many live entries come before this node."""
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
