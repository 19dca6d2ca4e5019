"""Periodic reading of the platform's list of VMs."""

import asyncio
from collections.abc import Callable
import functools

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd import logs

VmsHandler = Callable[[dict[model.VmId, model.Vm]], None]


class VmDirectory:
    """The list of VMs as last read; an outage leaves it unchanged.

    :param source: client of the list.
    :param poll_s: time between reads, in seconds.
    """

    def __init__(
        self,
        source: platform.VmList,
        poll_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._source = source
        self._poll_s = poll_s
        self._clock = clock
        self._last_list: list[model.Vm] = []
        self._vms_by_id: dict[model.VmId, model.Vm] = {}
        self._handlers: list[VmsHandler] = []
        self.read_at: float | None = None
        """Time of the last successful read in monotonic seconds."""

    def vms_by_id(self) -> dict[model.VmId, model.Vm]:
        """Return all VMs of all zones; empty before the first read."""
        return self._vms_by_id

    def on_vms(self, handler: VmsHandler) -> None:
        """Call ``handler`` after each read that changed the list."""
        self._handlers.append(handler)

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_s)

    async def drain(self) -> None:
        """Return at once: other components use the list while they drain."""

    async def refresh(self) -> None:
        """Read the list once; retain the previous one if that fails."""
        try:
            listed = await self._source.list_vms()
        except errors.PlatformError as error:
            logs.debug('vms.unavailable', reason=error.message)
            return
        except errors.StoreUnavailable as error:
            logs.debug('vms.unavailable', reason=error.message)
            return
        self.read_at = self._clock()
        if listed == self._last_list:
            return
        self._last_list = listed
        self._vms_by_id = {vm.vm_id: vm for vm in listed}
        for handler in self._handlers:
            logs.guard(functools.partial(handler, self._vms_by_id))
