"""Waves of upkeep: which machine goes down when.

The operator asks that each machine of a wave is taken down once, in time and
only so many at a time.  A machine is closed to new work first and goes down
when its short work has ended, or at the latest when waiting longer would
endanger the deadline.
"""

from collections.abc import Mapping
import enum

import msgspec

from samphirestack.fleet import beliefs
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
        seen_at: float,
        upkeep_s: float,
        progress: WaveProgress | None = None,
    ) -> None:
        self.wave = wave
        self.progress = progress or WaveProgress()
        self._seen_at = seen_at
        self._upkeep_s = upkeep_s
        self._called_at: dict[str, float] = dict.fromkeys(
            self.progress.begun, seen_at
        )
        self._confirmed: set[str] = set()
        """Machines whose upkeep the platform has acknowledged."""
        self._back: set[str] = set()
        self._gone: set[str] = set()

    def machines_read(
        self, sent_at: float, states_by_machine: Mapping[str, MachineState]
    ) -> None:
        """Take note of the platform's list of machines.

        :param sent_at: when it was asked for.
        """
        for machine in self.wave.machines:
            state = states_by_machine.get(machine)
            if state is None:
                self._gone.add(machine)
                continue
            self._gone.discard(machine)
            called_at = self._called_at.get(machine)
            if (
                machine in self._confirmed
                and called_at is not None
                and state is MachineState.UP
                and sent_at > called_at + SETTLE_S
            ):
                self._back.add(machine)

    def acknowledged(self, machine: str) -> None:
        """Take note that the platform began the upkeep, now or before."""
        self._confirmed.add(machine)

    def refused(self, machine: str) -> None:
        """Take note that the platform did not begin the upkeep."""
        if machine not in self._confirmed:
            self._called_at.pop(machine, None)

    @property
    def is_complete(self) -> bool:
        """Return whether every machine that stays has had its upkeep."""
        return all(
            machine in self._back or machine in self._gone
            for machine in self.wave.machines
        )

    def unconfirmed(self) -> list[str]:
        """Return machines to call again: their answer was lost."""
        return [
            machine
            for machine in self._called_at
            if machine not in self._confirmed and machine not in self._gone
        ]

    def closed(self) -> list[str]:
        """Return the machines that take no new work now."""
        down = self._down()
        most = self.wave.max_down + CLOSE_AHEAD
        return [*down, *self._left()][:most]

    def _down(self) -> list[str]:
        return [
            machine
            for machine in self._called_at
            if machine not in self._back and machine not in self._gone
        ]

    def _left(self) -> list[str]:
        return [
            machine
            for machine in self.wave.machines
            if machine not in self._called_at and machine not in self._gone
        ]

    def next_calls(
        self, now: float, beliefs_by_machine: Mapping[str, beliefs.Belief]
    ) -> list[str]:
        """Return the machines that go down now; they count as called."""
        room = max(1, self.wave.max_down) - len(self._down())
        left = self._left()
        result = []
        for machine in left[: max(0, room)]:
            belief = beliefs_by_machine.get(machine)
            empty = belief is None or not belief.runs_by_key
            if empty or self._must_go(now, len(left)):
                self._called_at[machine] = now
                self.progress.begun.append(machine)
                result.append(machine)
        return result

    def _must_go(self, now: float, left: int) -> bool:
        rounds = -(-left // max(1, self.wave.max_down))
        needed_s = rounds * (self._upkeep_s + SETTLE_S) + DEADLINE_MARGIN_S
        return now + needed_s >= self._seen_at + self.wave.deadline_s


def workers_of(
    beliefs_by_id: Mapping[model.WorkerId, beliefs.Belief],
) -> dict[str, beliefs.Belief]:
    """Return the workers by the machine that they run on."""
    return {
        belief.entry.machine: belief
        for belief in beliefs_by_id.values()
        if belief.entry.machine and belief.listed
    }
