"""What the entries of a zone say about its leader."""

import msgspec

from samphirestack import model

NO_EPOCH = model.Epoch(0)
"""Lower than every epoch that a leader can have."""


class KnownLeader(msgspec.Struct, frozen=True):
    """A leader that this node was or heard itself.

    ``settled_at`` is when every leader with a lower epoch has lapsed.
    """

    vm_id: model.VmId
    epoch: model.Epoch
    settled_at: float


class PeerView(msgspec.Struct, frozen=True):
    """The last heartbeat of an entry of the zone."""

    heard_at: float
    leader: model.VmId
    epoch: model.Epoch
    draining: bool


class Beliefs:
    """Heartbeats of the zone and the leader that follows from them.

    :param own_id: name of this node.
    :param silent_after_s: silence after which a peer counts as dead.
    """

    def __init__(self, own_id: model.VmId, silent_after_s: float) -> None:
        self._own_id = own_id
        self._silent_after_s = silent_after_s
        self._views_by_id: dict[model.VmId, PeerView] = {}
        self._dead: set[model.VmId] = set()
        self.last: KnownLeader | None = None
        """The known leader with the highest epoch, dead or alive."""

    def heard(self, peer: model.VmId, view: PeerView, settles: float) -> None:
        """Note a heartbeat.

        :param settles: when lower epochs have lapsed if the peer leads.
        """
        self._dead.discard(peer)
        self._views_by_id[peer] = view
        if view.leader == peer and view.epoch > self._last_epoch():
            self.last = KnownLeader(peer, view.epoch, settles)

    def refused(self, peer: model.VmId) -> None:
        """Note that a peer's port refuses connections."""
        self._dead.add(peer)
        self._views_by_id.pop(peer, None)

    def is_dead(self, vm_id: model.VmId) -> bool:
        """Return whether a node is known to be dead, not just silent."""
        return vm_id in self._dead

    def leader(self, now: float) -> tuple[model.VmId, model.Epoch] | None:
        """Return the live peer that says of itself that it leads."""
        heard = [
            (view.epoch, peer)
            for peer, view in self._live(now).items()
            if view.leader == peer and view.epoch >= self._last_epoch()
        ]
        if not heard:
            return None
        epoch, peer = max(heard)
        return peer, epoch

    def is_hearsay_leader(self, now: float) -> bool:
        """Return whether a live peer hears a leader that this node can't."""
        return any(
            view.leader not in ('', peer, self._own_id)
            and view.leader not in self._dead
            and view.epoch >= self._last_epoch()
            for peer, view in self._live(now).items()
        )

    def silent_leader(self, now: float) -> model.VmId | None:
        """Return the last leader if it fell silent and may be dead."""
        if self.last is None or self.last.vm_id == self._own_id:
            return None
        vm_id = self.last.vm_id
        if vm_id in self._live(now) or vm_id in self._dead:
            return None
        return vm_id

    def rank(self, now: float) -> int:
        """Return how many live entries come before this node."""
        return sum(
            peer < self._own_id and not view.draining
            for peer, view in self._live(now).items()
        )

    def _live(self, now: float) -> dict[model.VmId, PeerView]:
        oldest = now - self._silent_after_s
        return {
            peer: view
            for peer, view in self._views_by_id.items()
            if view.heard_at > oldest
        }

    def _last_epoch(self) -> model.Epoch:
        return NO_EPOCH if self.last is None else self.last.epoch
