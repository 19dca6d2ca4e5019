"""Open-loop load of a scenario: requests, batches, gangs and services.

A late answer does not delay the next request, so that waiting times are not
hidden.  ``python -m samphirestack_testing.load --settings FILE`` runs it as
a process of its own.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
import pathlib
import random
import time

import aiohttp
from hdrh import histogram
import msgspec

from samphirestack import model
from samphirestack_testing import balancer
from samphirestack_testing import callers
from samphirestack_testing import ledger
from samphirestack_testing import scenario
from samphirestack_testing.standins import serving

LONGEST_LATENCY_MS = 600_000
JOB_GRACE_S = 30.0
"""Time after the end of the load that jobs have to finish."""
CALLS_FILE = 'calls.jsonl'
JOBS_FILE = 'jobs.jsonl'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process."""

    scenario: str
    """Path of the scenario."""
    directory: str
    """Where the callers' records go."""
    urls_by_entry: dict[str, str]
    keys_by_team: dict[str, str]
    seconds: float | None = None
    """Replaces the duration of the scenario."""


class Progress(msgspec.Struct):
    """Counters that change while the load runs."""

    sent: int = 0
    in_flight: int = 0
    outcomes: dict[str, int] = {}
    jobs: int = 0
    jobs_ended: int = 0


class Load:
    """Sends the load of a scenario once.

    :param seconds: replaces the duration of the scenario; times within the
        scenario stay as they are.
    """

    def __init__(
        self,
        plan: scenario.Scenario,
        directory: pathlib.Path,
        urls_by_entry: dict[str, str],
        keys_by_team: dict[str, str],
        seconds: float | None = None,
    ) -> None:
        self.progress = Progress()
        self.latency_ms = histogram.HdrHistogram(1, LONGEST_LATENCY_MS, 3)
        self._plan = plan
        self._urls = urls_by_entry
        self._keys = keys_by_team
        self._seconds = seconds or plan.duration_s
        self._calls = ledger.Writer(str(directory / CALLS_FILE))
        self._jobs = ledger.Writer(str(directory / JOBS_FILE))
        self._tasks: set[asyncio.Task[None]] = set()
        self._services: list[ledger.JobRecord] = []
        self._started_at = 0.0

    async def run(self) -> None:
        """Send everything and wait for all outcomes."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            entries = balancer.Balancer(self._urls, session)
            sender = callers.Callers(session, entries, self._keys)
            probes = asyncio.create_task(entries.run())
            try:
                await self._send_all(sender)
            finally:
                probes.cancel()
                for task in self._tasks:
                    task.cancel()

    async def _send_all(self, sender: callers.Callers) -> None:
        self._started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for index, stream in enumerate(self._plan.arrivals):
                group.create_task(self._arrivals(sender, index, stream))
            for index, jobs in enumerate(self._plan.jobs):
                group.create_task(self._job_stream(sender, index, jobs))
        for record in self._services:
            self._spawn(self._end_service(sender, record))
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _arrivals(
        self, sender: callers.Callers, index: int, stream: scenario.Arrivals
    ) -> None:
        dice = random.Random(f'{self._plan.seed}/arrivals/{index}')
        profile = self._plan.profile_of(stream.queue)
        number = 0
        async for _ in self._times(dice, stream):
            number += 1
            name = f'{self._plan.name}-{index}-{number}'
            call = callers.Call(
                name=name,
                team=stream.team,
                queue=stream.queue,
                urgent=profile.urgency is model.Urgency.URGENT,
                idempotent=stream.idempotent,
                work_s=_draw(dice, stream.work_s, stream.spread),
                deadline_s=stream.deadline_s or profile.deadline_s,
                idempotency_key=name if stream.idempotency_key else '',
            )
            self._spawn(self._call(sender, call))

    async def _job_stream(
        self, sender: callers.Callers, index: int, stream: scenario.Jobs
    ) -> None:
        dice = random.Random(f'{self._plan.seed}/jobs/{index}')
        async for _ in self._times(dice, stream):
            real = stream.real_run_time_s or stream.run_time_s
            job = callers.JobCall(
                team=stream.team,
                queue=stream.queue,
                kind=stream.kind,
                tasks=stream.tasks,
                resources={
                    'cpus': stream.cpus,
                    'memory_mb': stream.memory_mb,
                    'accelerators': stream.accelerators,
                },
                run_time_s=stream.run_time_s,
                real_run_time_s=_draw(dice, real, stream.spread),
                idempotent=stream.idempotent,
            )
            self._spawn(self._job(sender, job))

    async def _times(
        self, dice: random.Random, stream: scenario.Arrivals | scenario.Jobs
    ) -> AsyncIterator[float]:
        """Yield at each arrival; late arrivals follow without a pause."""
        end = min(stream.until_s or self._seconds, self._seconds)
        at = stream.from_s + dice.expovariate(stream.rate_per_s)
        while at < end:
            pause = self._started_at + at - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            yield at
            at += dice.expovariate(stream.rate_per_s)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, sender: callers.Callers, call: callers.Call) -> None:
        progress = self.progress
        progress.sent += 1
        progress.in_flight += 1
        record = await sender.call(call)
        progress.in_flight -= 1
        outcome = record.outcome.value
        progress.outcomes[outcome] = progress.outcomes.get(outcome, 0) + 1
        latency_ms = int((record.ended_at_s - record.sent_at_s) * 1000)
        self.latency_ms.record_value(
            min(max(latency_ms, 1), LONGEST_LATENCY_MS)
        )
        self._calls.write(record)

    async def _job(
        self, sender: callers.Callers, job: callers.JobCall
    ) -> None:
        record = await sender.submit(job)
        self.progress.jobs += 1
        if not record.job:
            self._jobs.write(record)
            return
        if job.kind is model.JobKind.SERVICE:
            self._services.append(record)
            return
        await self._end_job(sender, record)

    async def _end_job(
        self, sender: callers.Callers, record: ledger.JobRecord
    ) -> None:
        until = self._started_at + self._seconds + JOB_GRACE_S
        self._jobs.write(await sender.follow(record, until))
        self.progress.jobs_ended += 1

    async def _end_service(
        self, sender: callers.Callers, record: ledger.JobRecord
    ) -> None:
        await sender.cancel(record)
        await self._end_job(sender, record)


def _draw(dice: random.Random, mean: float, spread: scenario.Spread) -> float:
    if spread is scenario.Spread.CONSTANT:
        return mean
    return dice.expovariate(1 / mean)


async def run(settings: Settings) -> None:
    """Run the load of a scenario once."""
    load = Load(
        scenario.load(settings.scenario),
        pathlib.Path(settings.directory),
        settings.urls_by_entry,
        settings.keys_by_team,
        settings.seconds,
    )
    await load.run()


if __name__ == '__main__':
    serving.main(Settings, run)
