"""What the scheduler believes about each worker, and since when."""

import collections
import enum

from samphirestack.fleet import specs
from samphirestack.fleet import work
from samphirestack import model

MAX_CLOCK_DRIFT = 0.03
"""Workers' clocks may run 2 % slow; the rest covers rounding."""


class RunState(enum.Enum):
    """What is known of a run on a worker."""

    ORDERED = 'ordered'
    """The order is on its way."""
    UNCERTAIN = 'uncertain'
    """The order had no answer: the run may be there, or start later."""
    CONFIRMED = 'confirmed'
    STOPPING = 'stopping'


class Run:
    """A run that occupies, or may occupy, room on a worker."""

    __slots__ = (
        'is_primary',
        'last_progress_at',
        'lists_valid_from',
        'load',
        'number',
        'ordered_at',
        'percent',
        'state',
        'stop_requested_at',
        'task',
        'throttle_percent',
        'worker_id',
    )

    def __init__(
        self,
        task: work.Task,
        number: int,
        worker_id: model.WorkerId,
        state: RunState,
        now: float,
    ) -> None:
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.state = state
        self.ordered_at = now
        self.lists_valid_from = now
        self.percent = 0.0
        self.last_progress_at = now
        self.load = 0.0
        self.throttle_percent = 100
        """Share at which it may work."""
        self.stop_requested_at = float('-inf')
        self.is_primary = True
        """Whether the task is PLACED by this run."""


class TrackedWorker:
    """A worker: its room, its runs and its lease."""

    def __init__(self, entry: specs.WorkerEntry) -> None:
        self.entry = entry
        self.runs_by_key: dict[tuple[model.TaskId, int], Run] = {}
        self.free_cpu = entry.capacity.millicores
        self.free_memory = entry.capacity.memory_mb
        self.free_gpu = entry.capacity.accelerators
        self.has_reported = False
        """Its lists were read in this term."""
        self.started_unix_ms = entry.started_unix_ms
        self.last_handled_end = 0
        """Highest number of an end that was handled."""
        self.unstored_ends: collections.deque[tuple[int, model.TaskId]] = (
            collections.deque()
        )
        """Ends that were handled and may still have to be stored."""
        self.last_stored_end = 0
        """Highest number of an end that is stored."""
        self.lease_deadline_ms = 0.0
        """Latest lease deadline that was sent, on the worker's clock."""
        self.clock_ms = 0.0
        self.clock_read_at = float('-inf')
        """When the worker's clock was read, on ours."""
        self.consecutive_failed_calls = 0
        """Unanswered calls in a row."""
        self.silent_since: float | None = None
        self.registered = True
        """It is in the list of workers."""
        self.unknown_runs: dict[tuple[model.TaskId, int], float] = {}
        """Listed runs of jobs that are not active, by when their stop was
        ordered.  Their size is not known, so that the worker's room is not
        either."""
        self.avoid_until = 0.0
        self.closed_for_upkeep = False
        """Takes no new work, since its machine is about to go down."""
        self.requested_filler_cpu = 0
        """Millicores that its filling tasks ask for."""
        self.filler_percent = 100
        self.throttle_changed_at = float('-inf')

    @property
    def is_draining(self) -> bool:
        """Return whether it takes no new work."""
        return self.entry.state is specs.WorkerState.DRAINING

    def record_clock(self, now: float, clock_ms: float) -> None:
        """Take note of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def deadline_after(self, now: float, lease_s: float) -> int | None:
        """Return the worker's time ``lease_s`` from now, if known."""
        if self.clock_read_at == float('-inf'):
            return None
        return int(self.clock_ms + (now - self.clock_read_at + lease_s) * 1000)

    def lease_expired(self, now: float) -> bool:
        """Return whether its lease has lapsed by the slowest clock."""
        if self.clock_read_at == float('-inf'):
            return False
        passed_ms = (now - self.clock_read_at) * (1 - MAX_CLOCK_DRIFT) * 1000
        return self.clock_ms + passed_ms > self.lease_deadline_ms

    def add_run(self, run: Run) -> None:
        """Count the room of a run."""
        self.runs_by_key[run.task.id, run.number] = run
        spec = run.task.step.spec
        if spec.filler:
            self.requested_filler_cpu += spec.size.millicores
        else:
            self.free_cpu -= spec.size.millicores
        self.free_memory -= spec.size.memory_mb
        self.free_gpu -= spec.size.accelerators
        step = run.task.step
        step.run_counts_by_worker[run.worker_id] = (
            step.run_counts_by_worker.get(run.worker_id, 0) + 1
        )

    def remove_run(self, run: Run) -> None:
        """Free the room of a run."""
        if self.runs_by_key.pop((run.task.id, run.number), None) is None:
            return
        spec = run.task.step.spec
        if spec.filler:
            self.requested_filler_cpu -= spec.size.millicores
        else:
            self.free_cpu += spec.size.millicores
        self.free_memory += spec.size.memory_mb
        self.free_gpu += spec.size.accelerators
        run.task.step.run_counts_by_worker[run.worker_id] -= 1
