"""In-memory state of accepted jobs, their steps and tasks."""

from collections.abc import Iterable
from collections.abc import Iterator
import enum

from samphirestack.fleet import indexes
from samphirestack.fleet import progress_rows
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model

MIN_ESTIMATE_S = 0.05
"""Minimum of the assumed run time; callers may declare none."""


class TaskState(enum.Enum):
    """State of a task."""

    WAITING = 'waiting'
    PLACED = 'placed'
    """A run of the task is, or may be, on a worker."""
    DONE = 'done'


class Task:
    """A task of one occurrence of a step."""

    __slots__ = (
        'checkpoint',
        'copy_run_number',
        'crashes_by_run',
        'failed_runs',
        'failed_worker_ids',
        'id',
        'index',
        'last_run_number',
        'percent',
        'placed_run_number',
        'stalls',
        'state',
        'step',
    )

    def __init__(self, step: 'StepRun', index: int) -> None:
        self.step = step
        self.index = index
        self.id = specs.task_id_of(
            step.job.job_id, step.occurrence, step.number, index
        )
        self.state = TaskState.WAITING
        self.last_run_number = 0
        self.placed_run_number = 0
        """Number of the current run of a placed task, or 0."""
        self.copy_run_number = 0
        """Number of the run of the copy of a placed task, or 0."""
        self.checkpoint = specs.NO_CHECKPOINT
        self.percent = 0.0
        self.stalls = 0
        """How many of its runs were stopped because they stood still."""
        self.failed_runs: set[int] = set()
        self.failed_worker_ids: set[model.WorkerId] = set()
        self.crashes_by_run: dict[int, records.TaskCrash] = {}
        """Crashes of workers under runs of the task, by run number."""

    @property
    def progress(self) -> records.JobProgress:
        """Return the row of its job's progress that says of it."""
        return self.step.job.progress.row(self.row_number)

    @property
    def row_number(self) -> int:
        """Return the number of that row."""
        return self.step.job.progress.number_of(
            self.step.occurrence, self.step.number, self.index
        )

    @property
    def suspected_crashes(self) -> int:
        """Return how many crashes of workers the task may have caused."""
        return sum(crash.suspected for crash in self.crashes_by_run.values())


class Tasks:
    """Tasks of a step, each of which exists only while something is known.

    A task that never started and one that is done are made when they are
    asked for.  This answers jobs of very many tasks, most of which wait or are
    done.
    """

    __slots__ = ('_by_index', '_step')

    def __init__(self, step: 'StepRun') -> None:
        self._step = step
        self._by_index: dict[int, Task] = {}

    def __len__(self) -> int:
        return self._step.spec.count

    def __getitem__(self, index: int) -> Task:
        task = self._by_index.get(index)
        if task is None:
            task = Task(self._step, index)
            if index in self._step.done:
                task.state = TaskState.DONE
            else:
                self._by_index[index] = task
        return task

    def __iter__(self) -> Iterator[Task]:
        return (self[index] for index in range(len(self)))

    def known(self) -> Iterable[Task]:
        """Return the tasks about which anything is known but their state."""
        return self._by_index.values()

    def forget(self, task: Task) -> None:
        """Forget all about a task that is done."""
        self._by_index.pop(task.index, None)


class Tickets:
    """Advice about a step: suitable workers and their tickets."""

    __slots__ = (
        'asked_ids',
        'by_worker_id',
        'call_expires_at',
        'next_check_at',
        'suitable_ids',
    )

    def __init__(self) -> None:
        self.asked_ids: set[model.WorkerId] = set()
        """Workers with known suitability, which never changes."""
        self.suitable_ids: dict[model.WorkerId, None] = {}
        """Suitable workers in the order of their advice, so that equal inputs
        lead to equal placements."""
        self.by_worker_id: dict[model.WorkerId, tuple[str, float, int]] = {}
        """Ticket, its expiry and the start time of the worker's process."""
        self.next_check_at = 0.0
        """When to check next whether a request would help."""
        self.call_expires_at = 0.0
        """When the request in progress counts as lost; 0 if there is none."""


class GangReservation:
    """Workers reserved for a gang by the last forecast."""

    __slots__ = ('fits_at', 'forecast_at', 'worker_ids')

    def __init__(self) -> None:
        self.forecast_at = float('-inf')
        self.fits_at = float('inf')
        self.worker_ids: list[model.WorkerId] = []


class DisplacedRoom:
    """Workers on which other runs are stopped to make room for a step."""

    __slots__ = (
        'displacements',
        'search_at',
        'until',
        'wanted_ids',
        'worker_ids',
    )

    def __init__(self) -> None:
        self.worker_ids: frozenset[model.WorkerId] = frozenset()
        self.until = float('-inf')
        """Only urgent steps that fit nowhere else start on them before."""
        self.displacements = 0
        self.search_at = float('-inf')
        """When to search next for runs to stop."""
        self.wanted_ids: list[model.WorkerId] = []
        """Workers on which runs would be stopped if they had tickets."""


class StepRun:
    """One occurrence of a step of a job."""

    __slots__ = (
        'blocked_until',
        'done',
        'has_cleared_suspect',
        'job',
        'number',
        'observed_count',
        'observed_s',
        'occurrence',
        'pending_dependencies',
        'probation_wanted_at',
        'ready_at',
        'reservation',
        'room',
        'run_counts_by_worker',
        'spec',
        'suspect_indexes',
        'tasks',
        'tickets',
        'waiting',
    )

    def __init__(
        self, job: 'Job', occurrence: int, number: int, spec: specs.StepSpec
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = Tasks(self)
        self.waiting = indexes.IndexSet(spec.count, full=True)
        """Indexes of tasks that wait for a worker."""
        self.done = indexes.IndexSet(spec.count)
        """Indexes of tasks that succeeded."""
        self.pending_dependencies = set(spec.after)
        """Numbers of the steps that must be done first."""
        self.ready_at: float | None = None
        self.tickets = Tickets()
        self.run_counts_by_worker: dict[model.WorkerId, int] = {}
        """Tracked runs of the step on each worker."""
        self.observed_count = 0
        """Number of runs in ``observed_s``."""
        self.observed_s = 0.0
        """Sum of the run times of the runs that succeeded."""
        self.reservation = GangReservation()
        self.room = DisplacedRoom()
        self.blocked_until = 0.0
        """The step is not considered before this moment, after a failure."""
        self.suspect_indexes: set[int] = set()
        """Indexes of tasks that may crash their workers."""
        self.has_cleared_suspect = False
        """Whether a suspect survived its start since the last crash."""
        self.probation_wanted_at: float | None = None
        """Since when a suspect waits for a worker."""

    @property
    def id(self) -> str:
        """``JOB.OCCURRENCE.STEP``."""
        return f'{self.job.job_id}.{self.occurrence}.{self.number}'

    @property
    def expected_s(self) -> float:
        """Return the expected run time of a task, in seconds."""
        return self.job.expected_s_by_step[self.number]

    @property
    def is_done(self) -> bool:
        """Return whether all tasks succeeded."""
        return len(self.done) == self.spec.count

    @property
    def suspects_must_wait(self) -> bool:
        """Return whether waiting suspects must see whether one survives."""
        return not self.has_cleared_suspect and any(
            self.tasks[index].state is TaskState.PLACED
            for index in self.suspect_indexes
        )

    @property
    def due_at(self) -> float:
        """Return when the occurrence may start."""
        return self.job.due_at(self.occurrence)


class Job:
    """An accepted job.

    :param accepted_at: on the scheduler's clock.
    :param first_due_at: first occurrence of a scheduled job, on the
        scheduler's clock.
    """

    def __init__(
        self,
        record: records.JobRecord,
        accepted_at: float,
        first_due_at: float,
    ) -> None:
        assert record.spec is not None
        self.record = record
        self.spec = record.spec
        self.job_id = record.job_id
        self.queue = record.queue
        self.customer_id = record.customer_id
        self.accepted_at = accepted_at
        self.first_due_at = first_due_at
        self.state = specs.JobState.QUEUED
        self.progress = progress_rows.Rows(self.spec, self.queue.max_attempts)
        self.steps_by_key: dict[tuple[int, int], StepRun] = {}
        self.next_occurrence = 0
        self.completed_occurrences: set[int] = set()
        """Numbers of complete occurrences from ``progress.completed_before``
        on."""
        self.displaced_at: float | None = None
        """When runs of the job were stopped to make room for others."""
        self.over_share = False
        """Whether the job was accepted beyond the customer's share."""
        self.expected_s_by_step = [
            max(step.estimate_s, MIN_ESTIMATE_S) for step in self.spec.steps
        ]
        """Expected run time of each step's tasks in seconds: declared ones
        until others were learned.  The objective rests on declared times."""
        self.remaining_s_by_step = _remaining_times(self.spec, self.queue)
        self.critical_path_s = max(self.remaining_s_by_step, default=0.0)

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.spec.repetitions)

    @property
    def occurrences_done(self) -> int:
        """Return how many occurrences are complete."""
        return self.progress.main.completed_before + len(
            self.completed_occurrences
        )

    @property
    def is_long_running(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.spec.steps)

    def due_at(self, occurrence: int) -> float:
        """Return when an occurrence may start."""
        if not self.spec.repetitions:
            return self.accepted_at
        return self.first_due_at + occurrence * self.spec.interval_s

    def objective_at(self, occurrence: int) -> float:
        """Return when an occurrence should have ended."""
        return self.due_at(occurrence) + self.objective_s

    @property
    def objective_s(self) -> float:
        """Return the objective for the duration of an occurrence."""
        return (
            self.queue.stretch * self.critical_path_s
            + self.queue.latency_target_s
        )

    def begin_occurrence(self) -> list[StepRun]:
        """Create and return the steps of the next occurrence."""
        occurrence = self.next_occurrence
        self.next_occurrence += 1
        steps = [
            StepRun(self, occurrence, number, spec)
            for number, spec in enumerate(self.spec.steps)
        ]
        for step in steps:
            self.steps_by_key[occurrence, step.number] = step
        return steps


ADVISED_WORKERS = 30
"""Assumed number of workers in a request when its duration is estimated."""


def advice_s(policy: specs.AdvicePolicy | None, workers: int) -> float:
    """Return the expected duration of a request for advice."""
    if policy is None:
        return 0.0
    return policy.base_s + policy.per_worker_s * workers


def _remaining_times(spec: specs.JobSpec, queue: specs.Queue) -> list[float]:
    """Return the estimated time from each step's start to the job's end."""
    advice = advice_s(queue.advice, ADVISED_WORKERS)
    tails = [0.0] * len(spec.steps)
    for number in reversed(range(len(spec.steps))):
        step = spec.steps[number]
        own_s = max(step.estimate_s, MIN_ESTIMATE_S) + advice
        successors_s = [
            tails[other]
            for other in range(number + 1, len(spec.steps))
            if number in spec.steps[other].after
        ]
        tails[number] = own_s + max(successors_s, default=0.0)
    return tails
