"""How much of a saturated fleet each placement policy uses.

An endless backlog of mixed work waits.  Each time a task ends, the policy
places what fits among the first tasks of the backlog.  The resource that
limits the mix can't be used by more than the whole of its capacity, which is
the bound that no scheduler passes.
"""

from collections.abc import Iterator
import random
from typing import Protocol

import msgspec

from samphirestack.internal.decisions import placement
from samphirestack.internal.decisions import worker_index
from samphirestack import model
from samphirestack_bench import baselines
from samphirestack_bench import fleets
from samphirestack_bench import records

DESCRIPTION = 'share of a full fleet in use, against a bound and baselines'

WORKERS = 122
"""Workers of one zone at the target size."""
ENDS = 12_000
WARM_UP = 4000
BACKLOG = 64
"""Waiting tasks that are tried after each end."""
SAMPLE_EVERY = 100
SEEDS = 5
USED_BOUND = 0.95
GANG_TASKS = 16
GANG_NEED = model.Resources(4000, 16_384)
_DIMENSIONS = ('millicores', 'memory_mb', 'accelerators')


class Fleet(Protocol):
    """A fleet under one placement policy."""

    def start(self, need: model.Resources) -> model.WorkerId | None:
        """Place a task and return its worker."""

    def end(self, worker_id: model.WorkerId, need: model.Resources) -> None:
        """Free what a task used."""

    def room_for_gang(self) -> bool:
        """Return whether a gang could start now."""


class IndexFleet:
    """The policy of the scheduler."""

    def __init__(self, vms: list[model.Vm]) -> None:
        self._index = worker_index.WorkerIndex()
        self._policy = placement.BestFitPolicy()
        for vm in vms:
            worker_id = model.WorkerId(vm.vm_id)
            self._index.add_or_update(worker_id, vm.rack, vm.capacity)
            self._index.set_usable(worker_id, True)

    def start(self, need: model.Resources) -> model.WorkerId | None:
        """Place a task and return its worker."""
        worker_id = self._policy.choose(self._index, need)
        if worker_id is not None:
            self._index.commit(worker_id, need)
        return worker_id

    def end(self, worker_id: model.WorkerId, need: model.Resources) -> None:
        """Free what a task used."""
        self._index.release(worker_id, need)

    def room_for_gang(self) -> bool:
        """Return whether a gang could start now."""
        chosen = self._policy.choose_gang(self._index, GANG_NEED, GANG_TASKS)
        return chosen is not None


class ListFleet:
    """A baseline policy on a list of machines."""

    def __init__(
        self, vms: list[model.Vm], chooser: baselines.Chooser
    ) -> None:
        self._machines = [baselines.Machine(vm) for vm in vms]
        self._by_id = {item.worker_id: item for item in self._machines}
        self._chooser = chooser

    def start(self, need: model.Resources) -> model.WorkerId | None:
        """Place a task and return its worker."""
        machine = self._chooser.choose(self._machines, need)
        if machine is None:
            return None
        machine.free = machine.free - need
        return machine.worker_id

    def end(self, worker_id: model.WorkerId, need: model.Resources) -> None:
        """Free what a task used."""
        machine = self._by_id[worker_id]
        machine.free = machine.free + need

    def room_for_gang(self) -> bool:
        """Return whether a gang could start now."""
        left = GANG_TASKS
        for machine in self._machines:
            left -= min(
                machine.free.millicores // GANG_NEED.millicores,
                machine.free.memory_mb // GANG_NEED.memory_mb,
            )
        return left <= 0


class Sample(msgspec.Struct, frozen=True):
    """Use of the fleet at one moment."""

    bottleneck: float
    """Used share of the resource that limits the mix."""
    accelerators: float
    accelerators_blocked: float
    """Share of free accelerators on workers whose processors or memory
    leave no room for the smallest task with an accelerator."""
    gang_fits: bool


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each policy and seed, and a summary."""
    ends = ENDS // 10 if options.quick else ENDS
    used: dict[str, list[float]] = {}
    for number in range(SEEDS):
        seed = options.seed + number
        for name in ('scheduler', 'full_scan', 'first_fit', 'random'):
            record = _measure(name, seed, ends)
            used.setdefault(name, []).append(float(str(record['used'])))
            yield record
    summary: records.Record = {'summary': True, 'seed': options.seed}
    for name, values in used.items():
        summary[f'{name}_used'] = round(records.median(values), 4)
    records.require_at_least(summary, 'scheduler_used', USED_BOUND)
    yield summary


def _measure(name: str, seed: int, ends: int) -> records.Record:
    vms = fleets.workers(WORKERS)
    rng = random.Random(seed)
    fleet = _fleet(name, vms, random.Random(seed + 1))
    samples = _churn(fleet, vms, rng, ends)
    return {
        'policy': name,
        'seed': seed,
        'used': _mean([item.bottleneck for item in samples]),
        'accelerators_used': _mean([item.accelerators for item in samples]),
        'accelerators_blocked': _mean(
            [item.accelerators_blocked for item in samples]
        ),
        'gang_fits': _mean([float(item.gang_fits) for item in samples]),
    }


def _mean(values: list[float]) -> float:
    return round(sum(values) / len(values), 4)


def _fleet(name: str, vms: list[model.Vm], rng: random.Random) -> Fleet:
    if name == 'scheduler':
        return IndexFleet(vms)
    if name == 'full_scan':
        return ListFleet(vms, baselines.FullScan())
    if name == 'first_fit':
        return ListFleet(vms, baselines.FirstFit())
    return ListFleet(vms, baselines.RandomFit(rng))


def _churn(
    fleet: Fleet, vms: list[model.Vm], rng: random.Random, ends: int
) -> list[Sample]:
    backlog = fleets.needs(rng, BACKLOG)
    running: list[tuple[model.WorkerId, model.Resources]] = []
    free_by_id = {model.WorkerId(vm.vm_id): vm.capacity for vm in vms}
    samples: list[Sample] = []
    bottleneck = _bottleneck(vms)
    for number in range(WARM_UP + ends):
        _start_all(fleet, backlog, running, free_by_id, rng)
        if number >= WARM_UP and number % SAMPLE_EVERY == 0:
            samples.append(
                _sample(vms, free_by_id, bottleneck, fleet.room_for_gang())
            )
        _end_one(fleet, running, free_by_id, rng)
    return samples


def _start_all(
    fleet: Fleet,
    backlog: list[model.Resources],
    running: list[tuple[model.WorkerId, model.Resources]],
    free_by_id: dict[model.WorkerId, model.Resources],
    rng: random.Random,
) -> None:
    refused: set[model.Resources] = set()
    for position, need in enumerate(backlog):
        while need not in refused:
            worker_id = fleet.start(need)
            if worker_id is None:
                refused.add(need)
                break
            free_by_id[worker_id] = free_by_id[worker_id] - need
            running.append((worker_id, need))
            need = fleets.needs(rng, 1)[0]
            backlog[position] = need


def _end_one(
    fleet: Fleet,
    running: list[tuple[model.WorkerId, model.Resources]],
    free_by_id: dict[model.WorkerId, model.Resources],
    rng: random.Random,
) -> None:
    position = rng.randrange(len(running))
    running[position], running[-1] = running[-1], running[position]
    worker_id, need = running.pop()
    free_by_id[worker_id] = free_by_id[worker_id] + need
    fleet.end(worker_id, need)


def _bottleneck(vms: list[model.Vm]) -> str:
    """Return the resource of which the mix needs the largest share."""
    asked = {
        name: sum(
            getattr(need.resources, name) * need.weight
            for need in fleets.MIXED_WORK
        )
        for name in _DIMENSIONS
    }
    had = {
        name: sum(getattr(vm.capacity, name) for vm in vms)
        for name in _DIMENSIONS
    }
    return max(_DIMENSIONS, key=lambda name: asked[name] / had[name])


def _sample(
    vms: list[model.Vm],
    free_by_id: dict[model.WorkerId, model.Resources],
    bottleneck: str,
    gang_fits: bool,
) -> Sample:
    had = sum(getattr(vm.capacity, bottleneck) for vm in vms)
    free = sum(getattr(item, bottleneck) for item in free_by_id.values())
    accelerators = sum(vm.capacity.accelerators for vm in vms)
    idle = sum(item.accelerators for item in free_by_id.values())
    smallest = next(
        need.resources
        for need in fleets.MIXED_WORK
        if need.resources.accelerators
    )
    blocked = sum(
        item.accelerators
        for item in free_by_id.values()
        if item.accelerators and not smallest.fits_in(item)
    )
    return Sample(
        1 - free / had,
        1 - idle / accelerators,
        blocked / accelerators,
        gang_fits,
    )
