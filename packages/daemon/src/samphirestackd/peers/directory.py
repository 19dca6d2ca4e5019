"""Where the other daemons are, from the roster and the list of VMs."""

from collections.abc import Mapping

import msgspec

from samphirestack import configuration
from samphirestack import model


class Place(msgspec.Struct, frozen=True):
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
        self._listed: dict[model.VmId, Place] = {}
        self._members: dict[model.VmId, Place] = {}
        self._callers: dict[model.VmId, Place] = {}

    def set_vms(self, vms: Mapping[model.VmId, model.Vm]) -> None:
        """Replace what the platform's list says."""
        self._listed = {
            vm.vm_id: Place(vm.zone, vm.address)
            for vm in vms.values()
            if vm.role is model.VmRole.ENTRY and vm.address
        }

    def set_members(self, current: configuration.Configuration) -> None:
        """Replace what the roster says."""
        self._members = {
            member.vm_id: Place(member.zone, member.address)
            for member in current.members_by_id.values()
            if member.address
        }

    def heard_from(self, vm_id: model.VmId, place: Place) -> bool:
        """Note what a caller says of itself; return whether it is news."""
        if not place.address or vm_id in self._places():
            return False
        self._callers[vm_id] = place
        return True

    def forget_caller(self, vm_id: model.VmId) -> None:
        """Forget what a caller said that is silent now."""
        self._callers.pop(vm_id, None)

    def is_listed(self, vm_id: model.VmId) -> bool:
        """Return whether the platform or the roster names a daemon."""
        return vm_id in self._listed or vm_id in self._members

    def places_by_id(self) -> dict[model.VmId, Place]:
        """Return all known daemons without this node."""
        places = self._places()
        places.pop(self._own_id, None)
        return places

    def _places(self) -> dict[model.VmId, Place]:
        return {**self._callers, **self._members, **self._listed}
