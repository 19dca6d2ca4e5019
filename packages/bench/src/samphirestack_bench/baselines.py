"""Simple placement policies to compare with.

They work on a plain list of workers, as a scheduler without an index does.
"""

from collections.abc import Sequence
import random
from typing import Protocol

from samphirestack import model


class Machine:
    """A worker with what is free on it."""

    __slots__ = ('capacity', 'free', 'worker_id')

    def __init__(self, vm: model.Vm) -> None:
        self.worker_id = model.WorkerId(vm.vm_id)
        self.capacity = vm.capacity
        self.free = vm.capacity


class Chooser(Protocol):
    """A placement policy on a list of machines."""

    def choose(
        self, machines: Sequence[Machine], need: model.Resources
    ) -> Machine | None:
        """Return a machine with room for ``need``."""


class FirstFit:
    """Takes the first machine with room."""

    def choose(
        self, machines: Sequence[Machine], need: model.Resources
    ) -> Machine | None:
        """Return the first machine with room for ``need``."""
        for machine in machines:
            if need.fits_in(machine.free):
                return machine
        return None


class FullScan:
    """Looks at every machine and takes the tightest one."""

    def choose(
        self, machines: Sequence[Machine], need: model.Resources
    ) -> Machine | None:
        """Return the machine with the least left over."""
        fitting = [item for item in machines if need.fits_in(item.free)]
        return min(
            fitting, key=lambda item: _left_over(item, need), default=None
        )


class RandomFit:
    """Takes any machine with room."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, machines: Sequence[Machine], need: model.Resources
    ) -> Machine | None:
        """Return a random machine with room for ``need``."""
        fitting = [item for item in machines if need.fits_in(item.free)]
        return self._rng.choice(fitting) if fitting else None


def _left_over(machine: Machine, need: model.Resources) -> tuple[int, float]:
    left = machine.free - need
    capacity = machine.capacity
    return (
        left.accelerators,
        left.millicores / capacity.millicores
        + left.memory_mb / capacity.memory_mb,
    )
