"""Fleets and work of given sizes for benchmarks without processes."""

import random

import msgspec

from samphirestack import model

WORKERS_TODAY = 24
"""Workers of one of today's users."""
WORKERS_TARGET = 1100
ACCELERATORS_TARGET = 2700
ZONES_TARGET = 9
TASKS_TARGET = 15_000
TEAMS_TARGET = 100
WORKERS_PER_RACK = 8

_PLAIN = model.Resources(32_000, 65_536, 0)
_ACCELERATED = model.Resources(32_000, 131_072, 8)


class Need(msgspec.Struct, frozen=True):
    """A kind of task with its weight among all tasks."""

    resources: model.Resources
    weight: float


MIXED_WORK = (
    Need(model.Resources(500, 512), 4),
    Need(model.Resources(1000, 2048), 3),
    Need(model.Resources(2000, 8192), 2),
    Need(model.Resources(8000, 8192), 1),
    Need(model.Resources(2000, 8192, 1), 1),
    Need(model.Resources(4000, 16_384, 4), 0.3),
)


def workers(count: int) -> list[model.Vm]:
    """Return ``count`` workers in racks of eight.

    As many of them have eight accelerators as the target's fleet has in
    proportion.
    """
    accelerated = ACCELERATORS_TARGET / 8 / WORKERS_TARGET
    return [_worker(number, accelerated) for number in range(count)]


def _worker(number: int, accelerated: float) -> model.Vm:
    has = int((number + 1) * accelerated) > int(number * accelerated)
    return model.Vm(
        vm_id=model.VmId(f'worker-{number:04}'),
        address='127.0.0.1:1',
        role=model.VmRole.WORKER,
        zone=model.ZoneId('zone-1'),
        rack=model.RackId(f'rack-{number // WORKERS_PER_RACK:03}'),
        capacity=_ACCELERATED if has else _PLAIN,
    )


def needs(rng: random.Random, count: int) -> list[model.Resources]:
    """Return the sizes of ``count`` tasks of mixed work."""
    weights = [need.weight for need in MIXED_WORK]
    chosen = rng.choices(MIXED_WORK, weights, k=count)
    return [need.resources for need in chosen]
