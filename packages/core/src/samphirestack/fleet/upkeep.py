"""Waves of upkeep: when each machine is taken down.

The operator requests that each machine of a wave is taken down once before a
deadline, with a limit on how many are down at a time.  A machine is closed to
new work first.  It is taken down when its short work has ended, or at the
latest when waiting longer would endanger the deadline.
"""

from collections.abc import Mapping
import enum

import msgspec

from samphirestack.fleet import tracking
from samphirestack import model

MACHINES_CLOSED_AHEAD = 1
"""Number of machines closed in addition to those that may be down, so that
the next ones become empty while earlier ones are down."""

DEADLINE_MARGIN_S = 1.5
"""Reserve in the schedule before the deadline of a wave."""

SETTLE_S = 1.0
"""Time after the order in which a machine listed as up does not count as
back; the list may be older than the order."""


MISSING_S = 1.0
"""Time between two lists without a machine after which it counts as removed.
The pages of one list are read at different moments."""


class Wave(msgspec.Struct, frozen=True):
    """A request of the operator for upkeep of machines."""

    number: int
    machines: tuple[str, ...]
    deadline_s: float
    """Time from the request to the deadline."""
    max_down: int


class ReceivedWave(msgspec.Struct, frozen=True):
    """A wave and when this process learned of it."""

    wave: Wave
    received_at: float


class MachineState(enum.Enum):
    """State of a machine as the platform reports it."""

    UP = 'up'
    MOVING = 'moving'
    DOWN = 'down'


class WaveProgress(msgspec.Struct):
    """Stored progress of a wave, for the next holder of the term."""

    begun: list[str] = []
    """Machines whose upkeep may have begun."""
    completed: bool = False
    acknowledged: list[str] = []
    """Machines whose upkeep the platform has acknowledged."""


class WaveRun:
    """Execution of a wave by the holder of the term.

    :param received_at: when this process learned of the wave.
    :param upkeep_s: time that a machine is down.
    :param held_since: when this holder began with the wave; when it learned
        of it by default.
    """

    def __init__(
        self,
        wave: Wave,
        received_at: float,
        upkeep_s: float,
        progress: WaveProgress | None = None,
        held_since: float | None = None,
    ) -> None:
        self.wave = wave
        self.progress = progress or WaveProgress()
        self._received_at = received_at
        self._upkeep_s = upkeep_s
        self._ordered_at_by_machine: dict[str, float] = dict.fromkeys(
            self.progress.begun,
            received_at if held_since is None else held_since,
        )
        self._confirmed = set(self.progress.acknowledged)
        self._unanswered = set(self.progress.begun) - self._confirmed
        """Machines with an order that had no answer: their upkeep may have
        begun, whatever the answer to a later order is."""
        self._returned: set[str] = set()
        """Machines that are up again after their upkeep."""
        self._missing_since: dict[str, float] = {}
        """When the first list without the machine was requested, of lists
        that all don't have it."""
        self._removed: set[str] = set()
        """Machines that the platform no longer lists."""

    def record_states(
        self, sent_at: float, states_by_machine: Mapping[str, MachineState]
    ) -> None:
        """Record the states of the machines of the platform.

        A machine that several lists don't contain was removed.

        :param sent_at: when the list was requested.
        """
        for machine in self.wave.machines:
            state = states_by_machine.get(machine)
            if state is None:
                since = self._missing_since.setdefault(machine, sent_at)
                if sent_at - since >= MISSING_S:
                    self._removed.add(machine)
                continue
            self._missing_since.pop(machine, None)
            self._removed.discard(machine)
            ordered_at = self._ordered_at_by_machine.get(machine)
            if (
                machine in self._confirmed
                and ordered_at is not None
                and state is MachineState.UP
                and sent_at > ordered_at + SETTLE_S
            ):
                self._returned.add(machine)

    def mark_sent(self, now: float, machine: str) -> None:
        """Record that an order is about to be sent, also a repeated one."""
        self._ordered_at_by_machine[machine] = now

    def mark_acknowledged(self, machine: str) -> None:
        """Record that the platform began the upkeep, now or earlier."""
        if machine not in self._confirmed:
            self._confirmed.add(machine)
            self.progress.acknowledged.append(machine)

    def mark_unanswered(self, machine: str) -> None:
        """Record that an order had no answer."""
        self._unanswered.add(machine)

    def mark_refused(self, machine: str) -> None:
        """Record that the platform did not begin the upkeep by an order."""
        if machine not in self._confirmed and machine not in self._unanswered:
            self._ordered_at_by_machine.pop(machine, None)

    @property
    def is_complete(self) -> bool:
        """Return whether all machines are back from upkeep or removed."""
        return all(
            machine in self._returned or machine in self._removed
            for machine in self.wave.machines
        )

    def unconfirmed(self) -> list[str]:
        """Return the machines to order again, as the answer was lost."""
        return [
            machine
            for machine in self._ordered_at_by_machine
            if machine not in self._confirmed and machine not in self._removed
        ]

    def closed_machines(self) -> list[str]:
        """Return the machines that are closed to new work now."""
        down = self._machines_down()
        max_closed = self.wave.max_down + MACHINES_CLOSED_AHEAD
        return [*down, *self._machines_remaining()][:max_closed]

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
        """Return the machines to take down now and record them as ordered."""
        free_places = max(1, self.wave.max_down) - len(self._machines_down())
        remaining = self._machines_remaining()
        result = []
        for machine in remaining[: max(0, free_places)]:
            worker = workers_by_machine.get(machine)
            empty = worker is None or not worker.runs_by_key
            if empty or self._must_begin(now, len(remaining)):
                self._ordered_at_by_machine[machine] = now
                if machine not in self.progress.begun:
                    self.progress.begun.append(machine)
                result.append(machine)
        return result

    def _must_begin(self, now: float, remaining: int) -> bool:
        rounds = -(-remaining // max(1, self.wave.max_down))
        needed_s = rounds * (self._upkeep_s + SETTLE_S) + DEADLINE_MARGIN_S
        return now + needed_s >= self._received_at + self.wave.deadline_s


def index_by_machine(
    workers_by_id: Mapping[model.WorkerId, tracking.TrackedWorker],
) -> dict[str, tracking.TrackedWorker]:
    """Return the workers in use by the machine that they run on.

    That is a worker with runs if there is one, whether it is registered or
    not: its entry may expire while it works.
    """
    found: dict[str, tracking.TrackedWorker] = {}
    for worker in workers_by_id.values():
        machine = worker.entry.machine
        if not machine or not (worker.registered or worker.runs_by_key):
            continue
        if machine not in found or worker.runs_by_key:
            found[machine] = worker
    return found
