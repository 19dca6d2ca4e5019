"""Entitled and received slot time of backlogged teams per 10 s window.

The decision core runs in simulated time, as one zone and as three zones with
and without gossip, beside two baselines; then the same is counted from the
upstreams' ledger of real processes.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import math
import random
from typing import NamedTuple

import msgspec

from samphirestack import configuration
from samphirestack_bench import clusters
from samphirestack_bench import records
from samphirestack_bench import shares
from samphirestack_bench import sharing
from samphirestack_testing import oracle
from samphirestack_testing import scenario

DESCRIPTION = 'entitled and received slot time of backlogged teams'

SEEDS = 5
WINDOWS = 3
PROCESS_WINDOWS = 2
WARM_UP_S = 2.0
ZONES = 3
GOSSIP_S = 1.0
"""Interval in which leaders tell each other the use of their zones."""
NEVER_S = math.inf
WORK_S = 0.2
OVERLOAD = 1.3
"""Offered slot time of each team as a multiple of the entitled one."""
BURST_S = 1.0
BURST_OVERLOAD = 2.0
"""Additional load at the beginning, so that each team is backlogged in each
zone when the first window begins."""
SHARES = {'coast': 3.0, 'gritting': 2.0, 'ferries': 2.0}
"""Shares in the real cluster; they don't divide its slots evenly."""
Policy = Callable[[float, random.Random], list[clusters.Slot]]


class Change(NamedTuple):
    """A change of the number of waiting calls."""

    at: float
    step: int


class Measured(msgspec.Struct, frozen=True):
    """A window of real processes and its backlog."""

    window: shares.Window
    waiting_min: dict[str, float]
    """Fewest waiting calls by team and zone of the entry."""


def _core(seconds: float, rng: random.Random) -> list[clusters.Slot]:
    return sharing.simulate_zones(1, GOSSIP_S, seconds, rng)


def _zones(seconds: float, rng: random.Random) -> list[clusters.Slot]:
    return sharing.simulate_zones(ZONES, GOSSIP_S, seconds, rng)


def _unaware(seconds: float, rng: random.Random) -> list[clusters.Slot]:
    return sharing.simulate_zones(ZONES, NEVER_S, seconds, rng)


def _fifo(seconds: float, rng: random.Random) -> list[clusters.Slot]:
    return sharing.simulate_policy(sharing.Fifo(rng), seconds, rng)


def _static(seconds: float, rng: random.Random) -> list[clusters.Slot]:
    return sharing.simulate_policy(sharing.StaticShares(), seconds, rng)


POLICIES: dict[str, Policy] = {
    'core': _core,
    'core_3_zones': _zones,
    'core_3_zones_without_gossip': _unaware,
    'fifo': _fifo,
    'static': _static,
}


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield a record for each policy, seed and window, and a summary."""
    summary: records.Record = {'summary': True, 'seed': options.seed}
    for name, policy in POLICIES.items():
        found = []
        for seed in _seeds(options):
            for window in _simulated(policy, seed, options.quick):
                found.append(window)
                yield {'by': name, 'of_seed': seed, **_as_record(window)}
        _add(summary, name, found)
    measured = asyncio.run(_processes(options))
    for item in measured:
        yield {
            'by': 'processes',
            'of_seed': options.seed,
            'waiting_min': item.waiting_min,
            **_as_record(item.window),
        }
    _add(summary, 'processes', [item.window for item in measured])
    summary['processes_waiting_min'] = min(
        min(item.waiting_min.values()) for item in measured
    )
    yield summary


def _seeds(options: records.Options) -> range:
    count = 1 if options.quick else SEEDS
    return range(options.seed, options.seed + count)


def _simulated(
    policy: Policy, seed: int, quick: bool
) -> Iterator[shares.Window]:
    count = 1 if quick else WINDOWS
    end = WARM_UP_S + count * shares.WINDOW_S
    slots = policy(end, random.Random(f'{seed}/share'))
    yield from shares.windows(
        slots, sharing.SHARES, sharing.CAPACITY, WARM_UP_S, end
    )


async def _processes(options: records.Options) -> list[Measured]:
    plan = plan_for(options)
    result = await clusters.run(plan)
    begin = min(call.sent_at_s for call in result.run.calls) + WARM_UP_S
    count = 1 if options.quick else PROCESS_WINDOWS
    found = shares.windows(
        clusters.slot_times(result.run.lines),
        SHARES,
        clusters.slots(plan),
        begin,
        begin + count * shares.WINDOW_S,
    )
    return [
        Measured(window, waiting_min(result.run, begin + window.begin_s))
        for window in found
    ]


def waiting_min(run_: oracle.Run, begin: float) -> dict[str, float]:
    """Return the fewest waiting calls by team and zone within a window.

    A call waits in the zone of its entry until its first start.
    """
    started = clusters.first_starts(run_.lines)
    changes_by_name: dict[str, list[Change]] = {}
    for call in run_.calls:
        zone = call.entry.partition('-')[0]
        changes = changes_by_name.setdefault(f'{call.team}@{zone}', [])
        changes.append(Change(call.sent_at_s, 1))
        changes.append(Change(started.get(call.call, call.ended_at_s), -1))
    end = begin + shares.WINDOW_S
    return {
        name: _fewest(sorted(changes), begin, end)
        for name, changes in sorted(changes_by_name.items())
    }


def _fewest(changes: list[Change], begin: float, end: float) -> int:
    waiting = sum(change.step for change in changes if change.at < begin)
    fewest = waiting
    for change in changes:
        if begin <= change.at < end:
            waiting += change.step
            fewest = min(fewest, waiting)
    return fewest


def plan_for(options: records.Options) -> scenario.Scenario:
    """Return a plan in which each team asks for more than its share."""
    plan = clusters.base(options)
    count = 1 if options.quick else PROCESS_WINDOWS
    per_s = clusters.slots(plan) / WORK_S / sum(SHARES.values())
    return msgspec.structs.replace(
        plan,
        duration_s=WARM_UP_S + count * shares.WINDOW_S + 1.0,
        teams=tuple(_backlogged(team) for team in plan.teams),
        arrivals=tuple(
            scenario.Arrivals(
                clusters.PATIENT_QUEUE,
                team,
                factor * per_s * share,
                WORK_S,
                until_s=until,
            )
            for team, share in SHARES.items()
            for factor, until in (
                (OVERLOAD, None),
                (BURST_OVERLOAD, BURST_S),
            )
        ),
    )


def _backlogged(team: scenario.Team) -> scenario.Team:
    if team.name not in SHARES:
        return team
    return msgspec.structs.replace(
        team, share=SHARES[team.name], limit=configuration.Limit()
    )


def _as_record(window: shares.Window) -> records.Record:
    return {
        'begin_s': window.begin_s,
        'entitled_s': _rounded(window.entitled),
        'received_s': _rounded(window.received),
        'error': round(window.error, 5),
        'utilization': round(window.utilization, 5),
    }


def _rounded(seconds: dict[str, float]) -> dict[str, float]:
    return {team: round(value, 3) for team, value in seconds.items()}


def _add(
    summary: records.Record, name: str, found: list[shares.Window]
) -> None:
    error = max(window.error for window in found)
    key = f'{name}_error_max'
    summary[key] = round(error, 5)
    summary[f'{key}_bound'] = shares.ERROR_BOUND
    summary[f'{key}_met'] = error <= shares.ERROR_BOUND
    summary[f'{name}_utilization_min'] = round(
        min(window.utilization for window in found), 5
    )
