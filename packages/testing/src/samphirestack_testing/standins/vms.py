"""The platform's lagging list of VMs, without any I/O."""

from collections.abc import Iterable

import msgspec

from samphirestack import model


class LaggingVms:
    """A list of VMs of which readers see the state of ``lag_s`` ago.

    The list given at the start is visible at once.
    """

    def __init__(self, vms: Iterable[model.Vm], lag_s: float) -> None:
        self._by_id = {vm.vm_id: vm for vm in vms}
        self._visible = list(self._by_id.values())
        self._pending: list[tuple[float, list[model.Vm]]] = []
        self._lag_s = lag_s

    def put(self, now: float, vm: model.Vm) -> None:
        """Add or replace a VM."""
        self._by_id[vm.vm_id] = vm
        self._changed(now)

    def leave(self, now: float, vm_id: model.VmId) -> None:
        """Mark a VM as leaving.

        :raises KeyError: there is no such VM.
        """
        vm = self._by_id[vm_id]
        leaving = msgspec.structs.replace(vm, state=model.VmState.LEAVING)
        self.put(now, leaving)

    def remove(self, now: float, vm_id: model.VmId) -> None:
        """Take a VM off the list.

        :raises KeyError: there is no such VM.
        """
        del self._by_id[vm_id]
        self._changed(now)

    def visible(self, now: float) -> list[model.Vm]:
        """Return the list as readers see it at ``now``."""
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.pop(0)[1]
        return self._visible

    def _changed(self, now: float) -> None:
        snapshot = list(self._by_id.values())
        self._pending.append((now + self._lag_s, snapshot))
