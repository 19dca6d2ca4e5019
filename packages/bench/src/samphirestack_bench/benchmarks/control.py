"""What control costs a daemon: processor time, memory and bytes.

Clusters of real processes without callers run for a while, each with one
size changed, so that slopes per worker, upstream, team, zone, running task
and task start can be told apart.  Leaders and standbys are reported apart.
"""

import asyncio
from collections.abc import Iterator
import pathlib
import tempfile
import time

import msgspec
import psutil

from samphirestack import model
from samphirestack_bench import records
from samphirestack_bench import traffic
from samphirestack_testing import cluster
from samphirestack_testing import load
from samphirestack_testing import scenario

DESCRIPTION = 'processor time, memory and bytes/s of a daemon for control'

BOUNDS = {'core_percent': 2.6, 'memory_mb': 64.0, 'kb_per_s': 6.0}
"""Upper bounds of the fields of :class:`Usage`."""
WINDOW_S = 10.0
SETTLE_S = 4.0
ENTRIES_PER_ZONE = 2


class Size(msgspec.Struct, frozen=True):
    """Sizes of one measured cluster; counts per zone except ``teams``."""

    name: str
    zones: int = 3
    workers: int = 8
    upstreams: int = 8
    teams: int = 6
    tasks: int = 0
    """Tasks of services that run in the whole cluster."""
    starts_per_s: float = 0.0
    """Task starts a second in the whole cluster."""


SIZES = (
    Size('base'),
    Size('workers', workers=32),
    Size('upstreams', upstreams=32),
    Size('teams', teams=100),
    Size('zones', zones=9),
    Size('tasks', tasks=240),
    Size('starts', starts_per_s=24.0),
)


class Usage(msgspec.Struct):
    """Measured use of one role."""

    core_percent: float
    memory_mb: float
    kb_per_s: float


class Measured(msgspec.Struct):
    """Measurement of one cluster."""

    by_role: dict[str, Usage]
    kb_per_s_to: dict[str, float]
    """Traffic of the whole cluster by what it goes to."""


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each cluster and role, and a summary."""
    used: dict[tuple[str, str], Usage] = {}
    sizes = SIZES[:1] if options.quick else SIZES
    for size in sizes:
        measured = asyncio.run(_measure(size, options.seed))
        yield {
            'cluster': size.name,
            'zones': size.zones,
            'entries': size.zones * ENTRIES_PER_ZONE,
            'kb_per_s_to': measured.kb_per_s_to,
        }
        for role, usage in measured.by_role.items():
            used[size.name, role] = usage
            yield {
                'cluster': size.name,
                'role': role,
                **msgspec.structs.asdict(usage),
            }
    yield _summary(used, options)


def _summary(
    used: dict[tuple[str, str], Usage], options: records.Options
) -> records.Record:
    base = Size('base')
    record: records.Record = {'summary': True, 'seed': options.seed}
    for role in ('leader', 'standby'):
        usage = used['base', role]
        for name, bound in BOUNDS.items():
            record[f'{role}_{name}'] = getattr(usage, name)
            records.require_at_most(record, f'{role}_{name}', bound)
        for size in SIZES[1:]:
            if (size.name, role) in used:
                step = _step(base, size)
                record[f'{role}_per_{size.name}'] = _slopes(
                    usage, used[size.name, role], step
                )
    return record


def _step(base: Size, size: Size) -> float:
    """Return how many more of the changed thing one zone or node sees."""
    field = 'starts_per_s' if size.name == 'starts' else size.name
    difference = float(getattr(size, field) - getattr(base, field))
    per_zone = size.name in ('tasks', 'starts')
    return difference / size.zones if per_zone else difference


def _slopes(base: Usage, usage: Usage, step: float) -> dict[str, float]:
    return {
        'core_percent': round(
            (usage.core_percent - base.core_percent) / step, 5
        ),
        'memory_kb': round(
            (usage.memory_mb - base.memory_mb) * 1024 / step, 3
        ),
        'bytes_per_s': round(
            (usage.kb_per_s - base.kb_per_s) * 1000 / step, 2
        ),
    }


async def _measure(size: Size, seed: int) -> 'Measured':
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        async with cluster.Cluster(_scenario(size, seed), path) as running:
            for zone in running.plan.zones:
                await running.wait_for_leader(zone.name)
            work = asyncio.create_task(_run_jobs(running))
            await asyncio.sleep(SETTLE_S)
            usage = await _watch(running)
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
            return usage


async def _run_jobs(running: cluster.Cluster) -> None:
    sender = load.Load(
        running.plan,
        running.directory,
        running.urls_by_entry,
        running.keys_by_team,
    )
    await sender.run()


async def _watch(running: cluster.Cluster) -> Measured:
    """Measure all daemons over one window."""
    processes = {
        str(vm_id): psutil.Process(running.processes.by_name[vm_id].pid)
        for vm_id in running.entries
    }
    leaders = {
        str(await running.leader_of(zone.name)) for zone in running.plan.zones
    }
    callers = {
        int(addresses.callers.rpartition(':')[2])
        for addresses in running.entries.values()
    }
    meter = traffic.TrafficMeter(
        {name: process.pid for name, process in processes.items()}, callers
    )
    before = {name: _cpu_s(process) for name, process in processes.items()}
    started = time.monotonic()
    meter.start()
    await asyncio.sleep(WINDOW_S)
    elapsed = time.monotonic() - started
    meter.stop()
    counted = meter.bytes_by_name()
    servers = running.stand_in_ports()
    short_lived = meter.bytes_unattributed(set().union(*servers.values()))
    brief = short_lived / len(leaders)
    usage: dict[str, Usage] = {}
    for role in ('leader', 'standby'):
        names = [
            name
            for name in processes
            if (name in leaders) == (role == 'leader')
        ]
        # Connections that live for less than the interval of attribution
        # are calls to agents and upstreams, which leaders make.
        extra = brief if role == 'leader' else 0.0
        usage[role] = Usage(
            round(
                records.median(
                    [
                        100
                        * (_cpu_s(processes[name]) - before[name])
                        / elapsed
                        for name in names
                    ]
                ),
                3,
            ),
            round(
                records.median(
                    [
                        processes[name].memory_info().rss / 2**20
                        for name in names
                    ]
                ),
                2,
            ),
            round(
                records.median(
                    [(counted.get(name, 0) + extra) for name in names]
                )
                / elapsed
                / 1000,
                3,
            ),
        )
    peers = {
        int(addresses.peers.rpartition(':')[2])
        for addresses in running.entries.values()
    }
    traffic_to = {
        name: round(meter.bytes_to(ports) / elapsed / 1000, 3)
        for name, ports in {**servers, 'peers': peers}.items()
    }
    return Measured(usage, traffic_to)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _scenario(size: Size, seed: int) -> scenario.Scenario:
    """Return a cluster without callers."""
    return scenario.Scenario(
        name=f'control-{size.name}',
        seed=seed,
        duration_s=SETTLE_S + WINDOW_S + 2,
        zones=tuple(
            scenario.Zone(
                f'zone-{number}',
                ENTRIES_PER_ZONE,
                size.workers,
                size.upstreams,
            )
            for number in range(size.zones)
        ),
        upstreams=scenario.Upstreams('dispatch'),
        profiles=(
            scenario.Profile('sheet', model.Urgency.URGENT),
            scenario.Profile('planning'),
        ),
        queues=(
            scenario.Queue('sheets', 'sheet'),
            scenario.Queue('plans', 'planning'),
        ),
        teams=tuple(
            scenario.Team(f'team-{number}') for number in range(size.teams)
        ),
        jobs=_jobs(size),
    )


def _jobs(size: Size) -> tuple[scenario.Jobs, ...]:
    jobs: list[scenario.Jobs] = []
    if size.tasks:
        jobs.append(
            scenario.Jobs(
                'plans',
                'team-0',
                model.JobKind.SERVICE,
                rate_per_s=12.0,
                tasks=size.tasks // 24,
                cpus=0.1,
                memory_mb=64,
                until_s=2.0,
            )
        )
    if size.starts_per_s:
        jobs.append(
            scenario.Jobs(
                'plans',
                'team-1',
                model.JobKind.BATCH,
                rate_per_s=size.starts_per_s / 8,
                tasks=8,
                cpus=0.1,
                memory_mb=64,
                run_time_s=1.0,
            )
        )
    return tuple(jobs)
