"""Tracks the leader of each zone from heartbeats and announcements."""

from collections.abc import Callable
import functools

from samphirestack import model
from samphirestackd import interfaces
from samphirestackd import logs

LeaderHandler = Callable[[model.ZoneId, interfaces.Leader | None], None]


class LeaderTable:
    """The last known leaders of all zones.

    :param is_alive: returns whether a node can be reached.
    """

    def __init__(self, is_alive: Callable[[model.VmId], bool]) -> None:
        self._is_alive = is_alive
        self._leaders_by_zone: dict[model.ZoneId, interfaces.Leader] = {}
        self._notified_by_zone: dict[
            model.ZoneId, interfaces.Leader | None
        ] = {}
        self._handlers: list[LeaderHandler] = []

    def on_change(self, handler: LeaderHandler) -> None:
        """Call ``handler`` when the leader of a zone changes."""
        self._handlers.append(handler)

    def leader_of(self, zone: model.ZoneId) -> interfaces.Leader | None:
        """Return the leader with the highest epoch seen, if it is alive."""
        leader = self._leaders_by_zone.get(zone)
        if leader is None or not self._is_alive(leader.vm_id):
            return None
        return leader

    def observe(
        self,
        zone: model.ZoneId,
        sender: model.VmId,
        leader: model.VmId,
        epoch: model.Epoch,
    ) -> None:
        """Record the leader that an entry of another zone reports.

        An empty ``leader`` has an effect only if the known leader sent it.
        """
        known = self._leaders_by_zone.get(zone)
        if leader:
            if known is None or epoch >= known.epoch:
                self._leaders_by_zone[zone] = interfaces.Leader(leader, epoch)
        elif known is not None and known.vm_id == sender:
            del self._leaders_by_zone[zone]
        self.notify_if_changed(zone)

    def set_own(
        self, zone: model.ZoneId, leader: interfaces.Leader | None
    ) -> None:
        """Set the leader of this node's own zone."""
        if leader is None:
            self._leaders_by_zone.pop(zone, None)
        else:
            self._leaders_by_zone[zone] = leader
        self.notify_if_changed(zone)

    def notify_changes(self) -> None:
        """Call the handlers for zones whose leader is no longer alive."""
        for zone in list(self._leaders_by_zone):
            self.notify_if_changed(zone)

    def notify_if_changed(self, zone: model.ZoneId) -> None:
        """Call the handlers if the leader of a zone has changed."""
        leader = self.leader_of(zone)
        if self._notified_by_zone.get(zone) == leader:
            return
        self._notified_by_zone[zone] = leader
        for handler in self._handlers:
            logs.guard(functools.partial(handler, zone, leader))
