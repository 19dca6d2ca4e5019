"""What jobs and runs occupy in the holder's memory, and who may add to it.

This answers more work than the memory of a VM holds: many large jobs of one
customer, or very many small ones.  The customer who takes the most is refused
first, and what is in the store already is loaded as far as there is room.
"""

import msgspec

from samphirestack.fleet import job_limits
from samphirestack.fleet import occurrences
from samphirestack.fleet import specs
from samphirestack import model

MEMORY_SHARE = 0.3
"""Share of a VM's memory for jobs and runs.  The process itself, its buffers
and what workers and clients send take the rest, and so does what is unused
between objects."""

JOB_BYTES = 4500
STEP_BYTES = 2700
TASK_BYTES = 40
"""A task that waits or is done; see ``indexes``."""

RUN_BYTES = 1800
"""A run with its task, and its entry in the job's progress."""

ENDED_JOB_BYTES = 700
DEFERRED_JOB_BYTES = 400

LISTED_PART = 64
"""Customers that occupy a smaller part of the budget are not listed for
entries, which bounds the size of each list."""

LARGE_JOB_PART = 8
"""An entry may accept one job of up to this part of the free room, whatever
the part of the entry is."""

UNKNOWN_ROOM_BYTES = 4_000_000
"""What an entry accepts before it has heard from a holder."""


def job_bytes(spec: specs.JobSpec) -> int:
    """Return an estimate of the memory of a job that has not begun."""
    steps = len(spec.steps)
    tasks = sum(step.count for step in spec.steps)
    open_count = 1
    if spec.repetitions:
        open_count = max(
            1,
            min(
                spec.repetitions,
                occurrences.MAX_OPEN,
                occurrences.MAX_OPEN_STEPS // steps,
                job_limits.MAX_TASKS // tasks,
            ),
        )
    return (
        JOB_BYTES
        + len(spec.payload)
        + open_count * (STEP_BYTES * steps + TASK_BYTES * tasks)
    )


class Room(msgspec.Struct, frozen=True):
    """Memory that the holder has left, for one entry."""

    free_bytes: int
    entry_bytes: int
    """Part of it that the entry may give away before it hears again."""
    bytes_by_customer: dict[model.TeamId, int]
    """What the customers occupy that occupy much."""


class Budget:
    """Memory that jobs and runs occupy, by customer.

    A customer may occupy as much as is free: one alone up to a half, so that
    others always find room, and each further one a smaller part.

    :param limit_bytes: of all customers together.
    """

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._used_bytes = 0
        self._bytes_by_customer: dict[model.TeamId, int] = {}

    @property
    def free_bytes(self) -> float:
        """Return what is left."""
        return max(0.0, self._limit_bytes - self._used_bytes)

    def change(self, customer_id: model.TeamId, size: int) -> None:
        """Add to what a customer occupies, or subtract from it."""
        self._used_bytes += size
        left = self._bytes_by_customer.get(customer_id, 0) + size
        if left > 0:
            self._bytes_by_customer[customer_id] = left
        else:
            self._bytes_by_customer.pop(customer_id, None)

    def may_add(self, customer_id: model.TeamId, size: int) -> bool:
        """Return whether a customer may occupy so much more."""
        return self._bytes_left(customer_id) >= size

    def runs_left(self, customer_id: model.TeamId) -> int:
        """Return how many more runs of a customer may be tracked."""
        left = min(self._bytes_left(customer_id), 1e12)
        # Each counts for the customer, and is missing from what is free.
        return int(left) // (2 * RUN_BYTES)

    def _bytes_left(self, customer_id: model.TeamId) -> float:
        used = self._bytes_by_customer.get(customer_id, 0)
        return max(0.0, self.free_bytes - used)

    def room(
        self, entry_count: int, waiting_ids: frozenset[model.TeamId]
    ) -> Room | None:
        """Return what entries may accept; ``None`` if there is no limit.

        :param waiting_ids: customers with jobs that wait for memory; entries
            accept none of theirs.
        """
        if self._limit_bytes == float('inf'):
            return None
        free = int(self.free_bytes)
        listed = {
            customer_id: used
            for customer_id, used in self._bytes_by_customer.items()
            if used * LISTED_PART > self._limit_bytes
        }
        listed.update(dict.fromkeys(waiting_ids, int(self._limit_bytes)))
        return Room(free, free // max(1, entry_count), listed)


class Admission:
    """Decides at one entry which jobs the holder has memory for."""

    def __init__(self) -> None:
        self._room = Room(UNKNOWN_ROOM_BYTES, UNKNOWN_ROOM_BYTES, {})
        self._accepted_bytes = 0
        """Since the holder was last heard."""
        self._accepted_by_customer: dict[model.TeamId, int] = {}

    def update(self, room: Room) -> None:
        """Apply what the holder has left now."""
        self._room = room
        self._accepted_bytes = 0
        self._accepted_by_customer.clear()

    def admit(self, customer_id: model.TeamId, size: int) -> bool:
        """Return whether a job may be accepted, and count it if so."""
        room = self._room
        own = self._accepted_by_customer.get(customer_id, 0)
        used = room.bytes_by_customer.get(customer_id, 0) + own
        if used + size > room.free_bytes - self._accepted_bytes:
            return False
        is_first = not self._accepted_bytes and (
            size * LARGE_JOB_PART <= room.free_bytes
        )
        if not is_first and self._accepted_bytes + size > room.entry_bytes:
            return False
        self._accepted_bytes += size
        self._accepted_by_customer[customer_id] = own + size
        return True
