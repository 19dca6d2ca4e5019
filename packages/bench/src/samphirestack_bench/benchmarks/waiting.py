"""Waiting times through real processes below, near and above capacity.

A wait is the time from the caller's first attempt to the start at an
upstream, from the callers' records and the upstreams' ledger.
"""

import asyncio
from collections.abc import Iterator

import msgspec

from samphirestack_bench import clusters
from samphirestack_bench import records
from samphirestack_testing import ledger
from samphirestack_testing import scenario
from samphirestack_testing import trial

DESCRIPTION = 'waiting time of urgent and patient work at three loads'

LOADS = (0.5, 0.9, 1.2)
"""Offered slot time as a part of the capacity."""
URGENT_PART = 0.3
WORK_S = 0.2
DURATION_S = 10.0
QUICK_DURATION_S = 2.0
POINTS = 100
"""Number of quantiles that are kept for plots."""


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield two records for each load and a summary."""
    loads = LOADS[-1:] if options.quick else LOADS
    summary: records.Record = {'summary': True, 'seed': options.seed}
    for load in loads:
        plan = plan_for(options, load)
        result = asyncio.run(clusters.run(plan))
        for urgent in (True, False):
            yield _record(load, urgent, result)
        summary.update(_judged(load, result))
    yield summary


def plan_for(options: records.Options, load: float) -> scenario.Scenario:
    """Return a plan whose requests ask for ``load`` times the slots."""
    plan = clusters.base(options)
    per_s = load * clusters.slots(plan) / WORK_S
    teams = [team.name for team in plan.teams if not team.limit.running]
    parts = {
        clusters.URGENT_QUEUE: URGENT_PART,
        clusters.PATIENT_QUEUE: 1 - URGENT_PART,
    }
    arrivals = tuple(
        scenario.Arrivals(queue, team, per_s * part / len(teams), WORK_S)
        for queue, part in parts.items()
        for team in teams
    )
    duration = QUICK_DURATION_S if options.quick else DURATION_S
    return msgspec.structs.replace(
        plan, arrivals=arrivals, duration_s=duration
    )


def _record(load: float, urgent: bool, result: trial.Result) -> records.Record:
    values = clusters.waits(result.run, urgent)
    calls = [call for call in result.run.calls if call.urgent is urgent]
    refused = ledger.Outcome.REFUSED_NOT_RUN
    return {
        'load': load,
        'class': 'urgent' if urgent else 'patient',
        'calls': len(calls),
        'started': len(values),
        'refused_not_run': sum(call.outcome is refused for call in calls),
        'broken': clusters.broken(result.run, urgent),
        'findings': clusters.findings(result),
        'wait_s': clusters.distribution(values),
        'quantiles_s': quantiles(values),
    }


def quantiles(values: list[float]) -> list[float]:
    """Return evenly spaced quantiles from the minimum to the maximum."""
    if not values:
        return []
    return [
        round(records.percentile(values, 100 * step / POINTS), 4)
        for step in range(POINTS + 1)
    ]


def _judged(load: float, result: trial.Result) -> records.Record:
    name = f'at_{load:.0%}'.replace('%', '')
    urgent = clusters.distribution(clusters.waits(result.run, True))
    patient = clusters.distribution(clusters.waits(result.run, False))
    broken = clusters.broken(result.run, False)
    record: records.Record = {
        f'urgent_p99_s_{name}': urgent.get('p99'),
        f'patient_p99_s_{name}': patient.get('p99'),
        f'patient_broken_{name}': broken,
        f'patient_broken_{name}_bound': 0,
        f'patient_broken_{name}_met': not broken,
        f'findings_{name}': len(result.findings),
        f'findings_{name}_bound': 0,
        f'findings_{name}_met': not result.findings,
    }
    if load == LOADS[-1]:
        bound = clusters.URGENT_BOUND_S
        key = f'urgent_p99_s_{name}'
        record[f'{key}_bound'] = bound
        record[f'{key}_met'] = urgent.get('p99', bound) < bound
    return record
