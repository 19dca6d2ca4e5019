"""Lets the faults of a scenario happen at their times."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

from samphirestack import model
from samphirestack_testing import cluster
from samphirestack_testing import scenario
from samphirestack_testing.standins import agent
from samphirestack_testing.standins import platform
from samphirestack_testing.standins import upstreams

SLOW_S = 0.5
Kind = scenario.FaultKind
_Undo = Callable[[], Awaitable[None]]


class Driver:
    """Applies the faults of the scenario to a cluster."""

    def __init__(self, target: cluster.Cluster) -> None:
        self._cluster = target

    async def run(self) -> None:
        """Apply all faults at their times and undo those that end."""
        async with asyncio.TaskGroup() as group:
            for fault in self._cluster.plan.faults:
                group.create_task(self._run_one(fault))

    async def _run_one(self, fault: scenario.Fault) -> None:
        await asyncio.sleep(fault.at_s)
        undo = await self.apply(fault)
        if fault.until_s is not None:
            await asyncio.sleep(fault.until_s - fault.at_s)
            await undo()

    async def apply(self, fault: scenario.Fault) -> _Undo:
        """Let one fault begin and return what ends it."""
        kind = fault.kind
        if kind in (Kind.KILL_ENTRY, Kind.KILL_LEADER, Kind.PAUSE_LEADER):
            return await self._stop_daemon(fault)
        if kind in (Kind.TABLE_DOWN, Kind.TABLE_SLOW):
            return await self._disturb_table(fault)
        if kind in (Kind.CUT_ZONE, Kind.CUT_PLATFORM):
            return await self._cut(fault)
        if kind is Kind.UPSTREAM_LEAVES:
            leave = platform.Control(leave=model.VmId(fault.target))
            await self._cluster.platform_control(leave)
            return _nothing
        return await self._disturb_vm(fault)

    async def _stop_daemon(self, fault: scenario.Fault) -> _Undo:
        vm_id = model.VmId(fault.target)
        if fault.kind is not Kind.KILL_ENTRY:
            vm_id = await self._cluster.wait_for_leader(fault.target)
        if fault.kind is Kind.PAUSE_LEADER:
            self._cluster.signal(vm_id, signal.SIGSTOP)

            async def go_on() -> None:
                self._cluster.signal(vm_id, signal.SIGCONT)

            return go_on
        self._cluster.kill(vm_id)

        async def restart() -> None:
            self._cluster.restart(vm_id)

        return restart

    async def _disturb_table(self, fault: scenario.Fault) -> _Undo:
        normal_s = self._cluster.plan.platform.delay_s
        begin = platform.Control(delay_s=normal_s + SLOW_S)
        end = platform.Control(delay_s=normal_s)
        if fault.kind is Kind.TABLE_DOWN:
            begin, end = (
                platform.Control(down=True),
                platform.Control(down=False),
            )
        await self._cluster.platform_control(begin)

        async def undo() -> None:
            await self._cluster.platform_control(end)

        return undo

    async def _cut(self, fault: scenario.Fault) -> _Undo:
        cut = self._cluster.cut_zone
        if fault.kind is Kind.CUT_PLATFORM:
            cut = self._cluster.cut_platform
        await cut(fault.target, True)

        async def heal() -> None:
            await cut(fault.target, False)

        return heal

    async def _disturb_vm(self, fault: scenario.Fault) -> _Undo:
        process = cluster.WORKERS
        begin: object = agent.Faults(fail_all=True)
        end: object = agent.Faults()
        if fault.kind is Kind.WORKER_UNREACHABLE:
            begin = agent.Faults(unreachable=True)
        if fault.kind is Kind.UPSTREAM_FAULT:
            process = cluster.UPSTREAMS
            begin = upstreams.Faults(upstreams.Mode(fault.mode))
            end = upstreams.Faults()
        await self._cluster.control(process, fault.target, begin)

        async def undo() -> None:
            await self._cluster.control(process, fault.target, end)

        return undo


async def _nothing() -> None:
    """Do nothing: the fault can't be undone."""
