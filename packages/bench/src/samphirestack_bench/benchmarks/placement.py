"""Time per placement decision, and how it grows with the fleet.

A fleet is filled to four fifths with mixed work.  Then tasks end and others
start one by one, and each decision is timed.  The index of the scheduler is
compared with a scan over all workers in the same run.
"""

from collections.abc import Callable
from collections.abc import Iterator
import random
import time

from samphirestack.internal.decisions import placement
from samphirestack.internal.decisions import worker_index
from samphirestack import model
from samphirestack_bench import baselines
from samphirestack_bench import fleets
from samphirestack_bench import records

DESCRIPTION = 'time per placement decision, from 24 to 1,100 workers'

SIZES = (24, 122, 400, fleets.WORKERS_TARGET)
FILL = 0.8
PER_S_BOUND = 2000.0
P99_MS_BOUND = 9.0
GROWTH_BOUND = 2.0
SCAN_RATIO_BOUND = 20.0
REPETITIONS = 5
DECISIONS = 4000
SCAN_DECISIONS = 400

Choose = Callable[[model.Resources], object]


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each fleet size and a summary."""
    decisions = DECISIONS // 10 if options.quick else DECISIONS
    by_size = {size: _measure(size, decisions, options.seed) for size in SIZES}
    yield from by_size.values()
    yield _summary(by_size, options)


def _measure(size: int, decisions: int, seed: int) -> records.Record:
    index_us: list[float] = []
    scan_us: list[float] = []
    for repetition in range(REPETITIONS):
        rng = random.Random(f'{seed}/{size}/{repetition}')
        index_us += _time_index(size, decisions, rng)
        scan_us += _time_scan(size, min(decisions, SCAN_DECISIONS), rng)
    mean_us = sum(index_us) / len(index_us)
    return {
        'workers': size,
        'decisions': len(index_us),
        'mean_us': round(mean_us, 2),
        'p50_us': round(records.percentile(index_us, 50), 2),
        'p99_us': round(records.percentile(index_us, 99), 2),
        'per_s': round(1e6 / mean_us),
        'scan_p50_us': round(records.percentile(scan_us, 50), 2),
        'scan_mean_us': round(sum(scan_us) / len(scan_us), 2),
    }


def _summary(
    by_size: dict[int, records.Record], options: records.Options
) -> records.Record:
    smallest = by_size[fleets.WORKERS_TODAY]
    largest = by_size[fleets.WORKERS_TARGET]
    grown = records.figure(largest, 'mean_us') - records.figure(
        smallest, 'mean_us'
    )
    added = fleets.WORKERS_TARGET - fleets.WORKERS_TODAY
    summary: records.Record = {
        'summary': True,
        'seed': options.seed,
        'per_s_at_target': largest['per_s'],
        'p99_ms_at_target': records.figure(largest, 'p99_us') / 1000,
        'growth_ratio': round(
            records.figure(largest, 'mean_us')
            / records.figure(smallest, 'mean_us'),
            3,
        ),
        'slope_us_per_worker': round(grown / added, 5),
        'scan_ratio': round(
            records.figure(largest, 'scan_mean_us')
            / records.figure(largest, 'mean_us'),
            1,
        ),
    }
    records.require_at_least(summary, 'per_s_at_target', PER_S_BOUND)
    records.require_at_most(summary, 'p99_ms_at_target', P99_MS_BOUND)
    records.require_at_most(summary, 'growth_ratio', GROWTH_BOUND)
    records.require_at_least(summary, 'scan_ratio', SCAN_RATIO_BOUND)
    return summary


def _time_index(size: int, decisions: int, rng: random.Random) -> list[float]:
    """Return the microseconds of each decision with its commitment."""
    index = _index(fleets.workers(size))
    policy = placement.BestFitPolicy()
    running: list[tuple[model.WorkerId, model.Resources]] = []
    for need in _filling(fleets.workers(size), rng):
        worker_id = policy.choose(index, need)
        if worker_id is not None:
            index.commit(worker_id, need)
            running.append((worker_id, need))
    taken: list[float] = []
    for need in fleets.needs(rng, decisions):
        _end_one(index, running, rng)
        started = time.perf_counter()
        worker_id = policy.choose(index, need)
        if worker_id is not None:
            index.commit(worker_id, need)
        taken.append((time.perf_counter() - started) * 1e6)
        if worker_id is not None:
            running.append((worker_id, need))
    return taken


def _time_scan(size: int, decisions: int, rng: random.Random) -> list[float]:
    """Return the microseconds of each decision of a full scan."""
    machines = [baselines.Machine(vm) for vm in fleets.workers(size)]
    chooser = baselines.FullScan()
    for need in _filling(fleets.workers(size), rng):
        machine = baselines.FirstFit().choose(machines, need)
        if machine is not None:
            machine.free = machine.free - need
    taken: list[float] = []
    for need in fleets.needs(rng, decisions):
        started = time.perf_counter()
        machine = chooser.choose(machines, need)
        taken.append((time.perf_counter() - started) * 1e6)
        if machine is not None:
            machine.free = machine.free - need
            machine.free = machine.free + need
    return taken


def _index(vms: list[model.Vm]) -> worker_index.WorkerIndex:
    index = worker_index.WorkerIndex()
    for vm in vms:
        worker_id = model.WorkerId(vm.vm_id)
        index.add_or_update(worker_id, vm.rack, vm.capacity)
        index.set_usable(worker_id, True)
    return index


def _filling(
    vms: list[model.Vm], rng: random.Random
) -> Iterator[model.Resources]:
    """Yield tasks until four fifths of the processors are asked for."""
    wanted = FILL * sum(vm.capacity.millicores for vm in vms)
    while wanted > 0:
        need = fleets.needs(rng, 1)[0]
        wanted -= need.millicores
        yield need


def _end_one(
    index: worker_index.WorkerIndex,
    running: list[tuple[model.WorkerId, model.Resources]],
    rng: random.Random,
) -> None:
    position = rng.randrange(len(running))
    running[position], running[-1] = running[-1], running[position]
    worker_id, need = running.pop()
    index.release(worker_id, need)
