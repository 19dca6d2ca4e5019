"""Where the other daemons are, from the roster and the list of VMs."""

from collections.abc import Mapping

import msgspec

from samphirestack import configuration
from samphirestack import model


class PeerLocation(msgspec.Struct, frozen=True):
    """Zone and peer address of a daemon."""

    zone: model.ZoneId
    address: str


class PeerDirectory:
    """Known daemons without this node.

    The platform's list is believed first, then the roster, and last what a
    daemon said of itself when it called.
    """

    def __init__(self, own_id: model.VmId) -> None:
        self._own_id = own_id
        self._vm_list_locations: dict[model.VmId, PeerLocation] = {}
        self._roster_locations: dict[model.VmId, PeerLocation] = {}
        self._reported_locations: dict[model.VmId, PeerLocation] = {}

    def set_vms(self, vms: Mapping[model.VmId, model.Vm]) -> None:
        """Replace what the platform's list says."""
        self._vm_list_locations = {
            vm.vm_id: PeerLocation(vm.zone, vm.address)
            for vm in vms.values()
            if vm.role is model.VmRole.ENTRY and vm.address
        }

    def set_members(self, current: configuration.Configuration) -> None:
        """Replace what the roster says."""
        self._roster_locations = {
            member.vm_id: PeerLocation(member.zone, member.address)
            for member in current.members_by_id.values()
            if member.address
        }

    def add_reported(self, vm_id: model.VmId, location: PeerLocation) -> bool:
        """Note what a caller says of itself; return whether it is news."""
        if not location.address or vm_id in self._locations():
            return False
        self._reported_locations[vm_id] = location
        return True

    def remove_reported(self, vm_id: model.VmId) -> None:
        """Forget what a caller said that is silent now."""
        self._reported_locations.pop(vm_id, None)

    def is_listed(self, vm_id: model.VmId) -> bool:
        """Return whether the platform or the roster names a daemon."""
        return (
            vm_id in self._vm_list_locations or vm_id in self._roster_locations
        )

    def locations_by_id(self) -> dict[model.VmId, PeerLocation]:
        """Return all known daemons without this node."""
        locations = self._locations()
        locations.pop(self._own_id, None)
        return locations

    def _locations(self) -> dict[model.VmId, PeerLocation]:
        return {
            **self._reported_locations,
            **self._roster_locations,
            **self._vm_list_locations,
        }
