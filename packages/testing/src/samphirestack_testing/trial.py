"""One run of a cluster under load, judged by the oracle."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib

import msgspec

from samphirestack_testing import cluster
from samphirestack_testing import faults
from samphirestack_testing import ledger
from samphirestack_testing import load
from samphirestack_testing import oracle
from samphirestack_testing import scenario

Disturbance = Callable[[cluster.Cluster], Awaitable[None]]


class Result(msgspec.Struct, frozen=True):
    """What a trial wrote down and what the oracle found in it."""

    run: oracle.Run
    findings: list[oracle.Finding]
    logs: dict[str, str] = {}
    """Output of the processes by name."""

    def kinds(self) -> list[str]:
        """Return the kinds of the findings, for short messages."""
        return [
            f'{finding.kind.value} {finding.subject}: {finding.reason}'
            for finding in self.findings
        ]

    def calls_of(self, team: str) -> list[ledger.CallRecord]:
        """Return the calls of a team."""
        return [call for call in self.run.calls if call.team == team]

    def count(self, outcome: ledger.Outcome) -> int:
        """Return the number of calls with an outcome."""
        return sum(call.outcome is outcome for call in self.run.calls)

    def starts(
        self, subject: ledger.Subject = ledger.Subject.REQUEST
    ) -> list[ledger.Line]:
        """Return the starts of requests or tasks in their order."""
        return [
            line
            for line in self.run.lines
            if line.event is ledger.Event.START and line.subject is subject
        ]


async def run(
    plan: scenario.Scenario,
    directory: pathlib.Path,
    disturb: Disturbance | None = None,
) -> Result:
    """Start a cluster, run its load and faults and judge the result.

    :param disturb: runs beside the load, in addition to the faults of the
        scenario; the load is over when both have ended.
    """
    async with cluster.Cluster(plan, directory) as started:
        for zone in plan.zones:
            await started.wait_for_leader(zone.name)
        await under_load(started, disturb)
        written = started.run_so_far()
    findings = oracle.check(written, plan.limits_by_team)
    logs = {
        name: process.output()
        for name, process in started.processes.by_name.items()
    }
    return Result(written, findings, logs)


async def under_load(
    started: cluster.Cluster, disturb: Disturbance | None = None
) -> None:
    """Run the load and faults of a cluster's scenario to their end."""
    sender = load.Load(
        started.plan,
        started.directory,
        started.urls_by_entry,
        started.keys_by_team,
    )
    async with asyncio.TaskGroup() as group:
        group.create_task(sender.run())
        group.create_task(faults.Driver(started).run())
        if disturb is not None:
            group.create_task(_as_coroutine(disturb(started)))


async def _as_coroutine(work: Awaitable[None]) -> None:
    await work
