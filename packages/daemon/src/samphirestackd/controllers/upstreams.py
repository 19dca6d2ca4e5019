"""Polls the status of the zone's upstreams during a term."""

import asyncio
from collections.abc import Callable

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts

Report = Callable[
    [model.UpstreamId, platform.UpstreamStatus | None, float], None
]

CALLS_AT_A_TIME = 32


class UpstreamPolls:
    """Asks each upstream for its status at a fixed interval.

    :param report: called with the upstream, its status or ``None``, and
        the monotonic time at which the status was asked for.
    """

    def __init__(self, context: contexts.Context, report: Report) -> None:
        self._context = context
        self._report = report
        self._calls = asyncio.Semaphore(CALLS_AT_A_TIME)
        self._polls_by_id: dict[model.UpstreamId, asyncio.Task[None]] = {}

    def set_upstreams(self, vms: list[model.Vm]) -> None:
        """Poll these upstreams and no others."""
        listed = {model.UpstreamId(vm.vm_id): vm.address for vm in vms}
        for upstream_id in self._polls_by_id.keys() - listed.keys():
            self._polls_by_id.pop(upstream_id).cancel()
        for upstream_id, address in listed.items():
            if upstream_id not in self._polls_by_id:
                self._polls_by_id[upstream_id] = asyncio.create_task(
                    self._poll_forever(upstream_id, address)
                )

    def close(self) -> None:
        """Stop all polls."""
        self.set_upstreams([])

    async def _poll_forever(
        self, upstream_id: model.UpstreamId, address: str
    ) -> None:
        interval_s = self._context.settings.timing.upstream_poll_s
        while True:
            await self._poll(upstream_id, address)
            await asyncio.sleep(interval_s)

    async def _poll(self, upstream_id: model.UpstreamId, address: str) -> None:
        async with self._calls:
            sent_at = self._context.clock()
            try:
                status = await self._context.upstreams.status(address)
            except errors.SamphireError:
                self._report(upstream_id, None, sent_at)
            else:
                self._report(upstream_id, status, sent_at)
