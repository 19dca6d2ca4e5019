"""Requests through the system against direct calls of the upstreams.

Both run in the same cluster, one after the other, with the same number of
callers that each send the next request after the last answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import itertools
import pathlib
import tempfile
import time

import aiohttp
import msgspec

from samphirestack_bench import clusters
from samphirestack_bench import records
from samphirestack_testing import cluster
from samphirestack_testing.standins import upstreams

DESCRIPTION = 'requests through the system against direct calls, as ratios'

CALLERS = (1, 8, 32)
REQUESTS = 1500
QUICK_REQUESTS = 150
ROUNDS = 3
"""Repetitions, alternating, of which the median counts."""
WORK_S = 0.0
DEADLINE_S = 30.0
TEAM = 'coast'
Send = Callable[[int], Awaitable[None]]


class Sample(msgspec.Struct, frozen=True):
    """One measurement of one path."""

    per_s: float
    p50_ms: float
    p99_ms: float


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield a record for each number of callers and a summary."""
    counts = CALLERS[:2] if options.quick else CALLERS
    measured = asyncio.run(_measure(options, counts))
    summary: records.Record = {'summary': True, 'seed': options.seed}
    for record in measured:
        yield record
        callers = record['callers']
        for name in ('throughput_ratio', 'p50_ratio', 'p99_ratio'):
            summary[f'{name}_{callers}_callers'] = record[name]
            summary[f'{name}_{callers}_callers_bound'] = None
    yield summary


async def _measure(
    options: records.Options, counts: tuple[int, ...]
) -> list[records.Record]:
    plan = clusters.base(options)
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        async with cluster.Cluster(plan, path) as started:
            for zone in plan.zones:
                await started.wait_for_leader(zone.name)
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                paths = _Paths(started, session)
                return [
                    await _compare(paths, callers, options.quick)
                    for callers in counts
                ]


class _Paths:
    """Sends the same requests directly and through the entries."""

    def __init__(
        self, started: cluster.Cluster, session: aiohttp.ClientSession
    ) -> None:
        self._session = session
        ports = sorted(started.stand_in_ports()[cluster.UPSTREAMS])
        self._upstreams = [f'http://127.0.0.1:{port}/work' for port in ports]
        queue = clusters.URGENT_QUEUE
        self._entries = [
            f'{url}/v1/queues/{queue}/requests'
            for url in started.urls_by_entry.values()
        ]
        self._key = started.keys_by_team[TEAM]
        self._ids = itertools.count()

    async def direct(self, number: int) -> None:
        """Call an upstream."""
        headers = {
            upstreams.REQUEST_ID_HEADER: f'direct-{next(self._ids)}',
            upstreams.TEAM_HEADER: TEAM,
            'Samphirestack-Epoch': '0',
        }
        url = self._upstreams[number % len(self._upstreams)]
        await self._post(url, {'work_s': WORK_S}, headers)

    async def through(self, number: int) -> None:
        """Call an entry."""
        headers = {
            upstreams.TEAM_HEADER: TEAM,
            'Authorization': f'Bearer {self._key}',
        }
        body = {
            'payload': {'work_s': WORK_S},
            'idempotent': True,
            'deadline_s': DEADLINE_S,
        }
        url = self._entries[number % len(self._entries)]
        await self._post(url, body, headers)

    async def _post(
        self, url: str, body: dict[str, object], headers: dict[str, str]
    ) -> None:
        async with self._session.post(
            url, json=body, headers=headers
        ) as answer:
            text = await answer.text()
            if answer.status != 200:
                raise RuntimeError(f'{url}: {answer.status} {text}')


async def _compare(paths: _Paths, callers: int, quick: bool) -> records.Record:
    requests = QUICK_REQUESTS if quick else REQUESTS
    direct, through = [], []
    for _ in range(1 if quick else ROUNDS):
        direct.append(await _sample(paths.direct, callers, requests))
        through.append(await _sample(paths.through, callers, requests))
    return compared(callers, middle(direct), middle(through))


async def _sample(send: Send, callers: int, requests: int) -> Sample:
    numbers = iter(range(requests))
    latencies: list[float] = []

    async def caller() -> None:
        for number in numbers:
            sent = time.monotonic()
            await send(number)
            latencies.append(time.monotonic() - sent)

    started = time.monotonic()
    await asyncio.gather(*(caller() for _ in range(callers)))
    seconds = time.monotonic() - started
    return Sample(
        requests / seconds,
        records.percentile(latencies, 50) * 1000,
        records.percentile(latencies, 99) * 1000,
    )


def middle(samples: list[Sample]) -> Sample:
    """Return the median of each figure."""
    return Sample(
        records.median([sample.per_s for sample in samples]),
        records.median([sample.p50_ms for sample in samples]),
        records.median([sample.p99_ms for sample in samples]),
    )


def compared(callers: int, direct: Sample, through: Sample) -> records.Record:
    """Return the figures of both paths and their ratios."""
    return {
        'callers': callers,
        'direct_per_s': round(direct.per_s, 1),
        'through_per_s': round(through.per_s, 1),
        'direct_p50_ms': round(direct.p50_ms, 3),
        'through_p50_ms': round(through.p50_ms, 3),
        'direct_p99_ms': round(direct.p99_ms, 3),
        'through_p99_ms': round(through.p99_ms, 3),
        'throughput_ratio': round(through.per_s / direct.per_s, 4),
        'p50_ratio': round(through.p50_ms / direct.p50_ms, 3),
        'p99_ratio': round(through.p99_ms / direct.p99_ms, 3),
    }
