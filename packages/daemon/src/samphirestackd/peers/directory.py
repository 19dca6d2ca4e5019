"""Addresses of the other daemons, from the roster and the list of VMs."""

from collections.abc import Mapping

import msgspec

from samphirestack import configuration
from samphirestack import model


class PeerLocation(msgspec.Struct, frozen=True):
    """Zone and peer address of a daemon."""

    zone: model.ZoneId
    address: str


class PeerDirectory:
    """Known daemons except this node.

    If the sources differ, the platform's list of VMs takes precedence over
    the roster, and the roster over the address that a daemon reports in its
    own heartbeats.
    """

    def __init__(self, own_id: model.VmId) -> None:
        self._own_id = own_id
        self._vm_list_locations: dict[model.VmId, PeerLocation] = {}
        self._roster_locations: dict[model.VmId, PeerLocation] = {}
        self._reported_locations: dict[model.VmId, PeerLocation] = {}

    def set_vms(self, vms: Mapping[model.VmId, model.Vm]) -> None:
        """Replace the locations from the platform's list of VMs."""
        self._vm_list_locations = {
            vm.vm_id: PeerLocation(vm.zone, vm.address)
            for vm in vms.values()
            if vm.role is model.VmRole.ENTRY and vm.address
        }

    def set_members(self, current: configuration.Configuration) -> None:
        """Replace the locations from the roster."""
        self._roster_locations = {
            member.vm_id: PeerLocation(member.zone, member.address)
            for member in current.members_by_id.values()
            if member.address
        }

    def add_reported(self, vm_id: model.VmId, location: PeerLocation) -> bool:
        """Add the location that a daemon reports of itself.

        :return: whether the daemon was unknown and its address is not empty.
        """
        if not location.address or vm_id in self._locations():
            return False
        self._reported_locations[vm_id] = location
        return True

    def remove_reported(self, vm_id: model.VmId) -> None:
        """Remove the location that a daemon reported of itself."""
        self._reported_locations.pop(vm_id, None)

    def is_listed(self, vm_id: model.VmId) -> bool:
        """Return whether a daemon is in the list of VMs or the roster."""
        return (
            vm_id in self._vm_list_locations or vm_id in self._roster_locations
        )

    def locations_by_id(self) -> dict[model.VmId, PeerLocation]:
        """Return the locations of all known daemons except this node."""
        locations = self._locations()
        locations.pop(self._own_id, None)
        return locations

    def _locations(self) -> dict[model.VmId, PeerLocation]:
        return {
            **self._reported_locations,
            **self._roster_locations,
            **self._vm_list_locations,
        }
