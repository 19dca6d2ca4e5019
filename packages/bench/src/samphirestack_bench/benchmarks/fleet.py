"""What callers get of the fleet scheduler at several loads.

A discrete-event model plays days of urgent, wide and gang jobs with the real
decisions.  The bound is what divisible work on one large machine would earn.
"""

from collections.abc import Iterator
import random

from samphirestack_bench import fleet_load
from samphirestack_bench import fleet_model
from samphirestack_bench import records

DESCRIPTION = 'worth earned by kind of job and load, against a bound'

WORKERS = 176
LENGTH_S = 30.0
LOADS = (0.7, 1.0, 1.2)
"""In multiples of the sheets' rates, at which 75 % of the cores are asked
for."""
BURST = 1.8
SEEDS = 2
QUICK_WORKERS = 24
QUICK_LENGTH_S = 6.0


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each load and seed, and a summary."""
    earned_by_load: dict[float, list[float]] = {}
    for load in LOADS:
        for number in range(1 if options.quick else SEEDS):
            record = _measure(load, options.seed + number, options.quick)
            earned_by_load.setdefault(load, []).append(
                records.figure(record, 'earned')
            )
            yield record
    summary: records.Record = {'summary': True, 'seed': options.seed}
    for load, values in earned_by_load.items():
        summary[f'earned_at_{load}'] = round(records.median(values), 4)
    yield summary


def _measure(load: float, seed: int, quick: bool) -> records.Record:
    workers = QUICK_WORKERS if quick else WORKERS
    length_s = QUICK_LENGTH_S if quick else LENGTH_S
    jobs = fleet_load.arrivals(
        random.Random(seed), workers, length_s, load, BURST
    )
    outcomes = fleet_model.FleetModel(jobs, workers, seed).run()
    cores = workers * fleet_model.WORKER_SIZE.millicores / 1000
    owed = sum(job.worth for job in jobs)
    record: records.Record = {
        'load': load,
        'seed': seed,
        'jobs': len(jobs),
        'asked': round(sum(job.core_s for job in jobs) / cores / length_s, 4),
        'earned': round(sum(one.earned for one in outcomes) / owed, 4),
        'bound': round(fleet_load.bound(jobs, cores, length_s) / owed, 4),
    }
    for kind in fleet_load.KINDS:
        mine = [one for one in outcomes if one.arrival.kind is kind]
        if not mine:
            continue
        owed = sum(one.arrival.worth for one in mine)
        record[f'{kind.name}_earned'] = round(
            sum(one.earned for one in mine) / owed, 4
        )
        waits = [
            one.started_at - one.arrival.at
            for one in mine
            if one.started_at is not None
        ]
        if waits:
            record[f'{kind.name}_start_p50_s'] = round(
                records.percentile(waits, 50), 3
            )
            record[f'{kind.name}_start_p95_s'] = round(
                records.percentile(waits, 95), 3
            )
    return record
