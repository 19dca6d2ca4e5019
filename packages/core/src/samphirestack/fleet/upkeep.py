"""Waves of upkeep: which machine goes down when.

The operator asks that each machine of a wave is taken down once, in time and
only so many at a time.  A machine is closed to new work first and goes down
when its short work has ended, or at the latest when waiting longer would
endanger the deadline.
"""

from collections.abc import Mapping
import enum

import msgspec

from samphirestack.fleet import tracking
from samphirestack import model

CLOSE_AHEAD = 1
"""Machines that are closed beyond those that may be down: the next ones
empty while the ones before are away."""

DEADLINE_MARGIN_S = 1.5
"""The last machine goes down this much before it has to."""

SETTLE_S = 1.0
"""Between a machine's return and its being counted as up; the list of
machines may be older than the call."""


class Wave(msgspec.Struct, frozen=True):
    """A request of the operator."""

    number: int
    machines: tuple[str, ...]
    deadline_s: float
    """From the moment of the request."""
    max_down: int


class MachineState(enum.Enum):
    """What the platform says of a machine."""

    UP = 'up'
    MOVING = 'moving'
    DOWN = 'down'


class WaveProgress(msgspec.Struct):
    """What must survive of a wave that goes on."""

    begun: list[str] = []
    """Machines whose upkeep may have begun."""
    completed: bool = False


class WaveRun:
    """A wave as the holder of the term carries it out.

    :param seen_at: when this holder saw the wave.
    :param upkeep_s: time that a machine is away.
    """

    def __init__(
        self,
        wave: Wave,
        received_at: float,
        upkeep_s: float,
        progress: WaveProgress | None = None,
    ) -> None:
        self.wave = wave
        self.progress = progress or WaveProgress()
        self._received_at = received_at
        self._upkeep_s = upkeep_s
        self._ordered_at_by_machine: dict[str, float] = dict.fromkeys(
            self.progress.begun, received_at
        )
        self._confirmed: set[str] = set()
        """Machines whose upkeep the platform has acknowledged."""
        self._returned: set[str] = set()
        self._removed: set[str] = set()

    def record_states(
        self, sent_at: float, states_by_machine: Mapping[str, MachineState]
    ) -> None:
        """Take note of the platform's list of machines.

        :param sent_at: when it was asked for.
        """
        for machine in self.wave.machines:
            state = states_by_machine.get(machine)
            if state is None:
                self._removed.add(machine)
                continue
            self._removed.discard(machine)
            ordered_at = self._ordered_at_by_machine.get(machine)
            if (
                machine in self._confirmed
                and ordered_at is not None
                and state is MachineState.UP
                and sent_at > ordered_at + SETTLE_S
            ):
                self._returned.add(machine)

    def mark_acknowledged(self, machine: str) -> None:
        """Take note that the platform began the upkeep, now or before."""
        self._confirmed.add(machine)

    def mark_refused(self, machine: str) -> None:
        """Take note that the platform did not begin the upkeep."""
        if machine not in self._confirmed:
            self._ordered_at_by_machine.pop(machine, None)

    @property
    def is_complete(self) -> bool:
        """Return whether every machine that stays has had its upkeep."""
        return all(
            machine in self._returned or machine in self._removed
            for machine in self.wave.machines
        )

    def unconfirmed(self) -> list[str]:
        """Return machines to call again: their answer was lost."""
        return [
            machine
            for machine in self._ordered_at_by_machine
            if machine not in self._confirmed and machine not in self._removed
        ]

    def closed_machines(self) -> list[str]:
        """Return the machines that take no new work now."""
        down = self._machines_down()
        most = self.wave.max_down + CLOSE_AHEAD
        return [*down, *self._machines_remaining()][:most]

    def _machines_down(self) -> list[str]:
        return [
            machine
            for machine in self._ordered_at_by_machine
            if machine not in self._returned and machine not in self._removed
        ]

    def _machines_remaining(self) -> list[str]:
        return [
            machine
            for machine in self.wave.machines
            if machine not in self._ordered_at_by_machine
            and machine not in self._removed
        ]

    def begin_next(
        self,
        now: float,
        workers_by_machine: Mapping[str, tracking.TrackedWorker],
    ) -> list[str]:
        """Return the machines that go down now; they count as called."""
        free_places = max(1, self.wave.max_down) - len(self._machines_down())
        left = self._machines_remaining()
        result = []
        for machine in left[: max(0, free_places)]:
            worker = workers_by_machine.get(machine)
            empty = worker is None or not worker.runs_by_key
            if empty or self._must_begin(now, len(left)):
                self._ordered_at_by_machine[machine] = now
                self.progress.begun.append(machine)
                result.append(machine)
        return result

    def _must_begin(self, now: float, left: int) -> bool:
        rounds = -(-left // max(1, self.wave.max_down))
        needed_s = rounds * (self._upkeep_s + SETTLE_S) + DEADLINE_MARGIN_S
        return now + needed_s >= self._received_at + self.wave.deadline_s


def index_by_machine(
    workers_by_id: Mapping[model.WorkerId, tracking.TrackedWorker],
) -> dict[str, tracking.TrackedWorker]:
    """Return the workers by the machine that they run on."""
    return {
        worker.entry.machine: worker
        for worker in workers_by_id.values()
        if worker.entry.machine and worker.registered
    }
