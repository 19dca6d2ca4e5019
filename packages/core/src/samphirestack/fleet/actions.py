"""Actions that the scheduler returns for its daemon to execute."""

import enum

import msgspec

from samphirestack.fleet import interference
from samphirestack.fleet import ports
from samphirestack.fleet import progress_rows
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack import model


class Start(msgspec.Struct, frozen=True):
    """Order a worker to start a run."""

    worker: specs.WorkerEntry
    order: ports.TaskOrder
    queue_id: model.QueueId
    number: int
    """Number of the start; they are counted over the term."""
    waited_s: float
    """Time since the step became ready, for logs and metrics."""


class ReportCopy(msgspec.Struct, frozen=True):
    """Tell operators that a slow task gets a copy."""

    task_id: model.TaskId
    run: specs.RunNumber
    """Number of the copy's run."""
    worker_id: model.WorkerId
    slow_worker_id: model.WorkerId


class Stop(msgspec.Struct, frozen=True):
    """Order a worker to stop a run, whether it has begun or not."""

    worker: specs.WorkerEntry
    task_id: model.TaskId
    run: specs.RunNumber
    reason: str


class RequestAdvice(msgspec.Struct, frozen=True):
    """Ask the advice service which workers may run a step."""

    step_id: str
    worker_ids: tuple[model.WorkerId, ...]
    expected_s: float
    urgent: bool


class PollWorker(msgspec.Struct, frozen=True):
    """Read a worker's lists at once, after an unanswered or refused order."""

    worker_id: model.WorkerId


class Throttle(msgspec.Struct, frozen=True):
    """Set the speed limit of a filler run."""

    worker: specs.WorkerEntry
    task_id: model.TaskId
    run: specs.RunNumber
    percent: int


class ReportCrash(msgspec.Struct, frozen=True):
    """Tell operators about the crash of a worker."""

    worker: specs.WorkerEntry
    lost_task_ids: tuple[model.TaskId, ...]
    suspect_ids: tuple[model.TaskId, ...]
    """Tasks that may have caused it; none if its rack was lost as well."""


class ReportGivenUp(msgspec.Struct, frozen=True):
    """Tell operators that a job ends because a task crashes its workers."""

    job_id: model.JobId
    task_id: model.TaskId
    worker_ids: tuple[model.WorkerId, ...]
    """Workers that crashed under the task."""


class ReportStopDecided(msgspec.Struct, frozen=True):
    """Tell operators that a run is to be stopped."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    run: specs.RunNumber
    reason: str
    start_answered: bool
    """Whether the start was answered, has timed out or is known from a
    report."""


class ReportStalled(msgspec.Struct, frozen=True):
    """Tell operators why a run counts as standing still."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    run: specs.RunNumber
    percent: float
    still_s: float
    """Time without progress."""
    running_s: float
    """Time since the start."""
    estimate_s: float
    """Declared run time."""
    member_percents: tuple[float, ...]
    """Progress of all members of its gang that are on workers; empty if it is
    in none."""
    members_unconfirmed: int
    """Members of its gang that are not known to have started."""


class ReportDisplacement(msgspec.Struct, frozen=True):
    """Tell operators that runs are stopped to make room for a step."""

    step_id: str
    runs: int
    """Number of runs to stop."""
    tasks: int
    """Number of tasks of the step that find room."""
    lost_core_s: float
    gained_core_s: float


class ReportStopOverdue(msgspec.Struct, frozen=True):
    """Tell operators that a run goes on long after it was to be stopped."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    run: specs.RunNumber
    reason: str
    decided_s: float
    """Time since the decision."""
    orders: int
    """Stop orders sent so far."""
    accepted: bool
    """Whether the worker accepted one of them."""


class ReportListedEarly(msgspec.Struct, frozen=True):
    """Tell operators that a report lists a run whose start is unanswered."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    run: specs.RunNumber


class LossEvidence(enum.Enum):
    """Why a run counts as over although its worker reported no end."""

    NOT_LISTED = 'not listed'
    """A list of its worker that was requested later doesn't contain it."""
    RESTARTED = 'worker restarted'
    """It was on a process of its worker that another one has replaced."""
    MACHINE_RESTARTED = 'machine restarted'
    """The machine of its silent worker runs another worker."""
    LEASE_EXPIRED = 'lease expired'
    REFUSED = 'start refused'


class RestartSource(enum.Enum):
    """What showed that a worker was started again under its id."""

    ROW = 'row'
    REPORT = 'report'


class ReportRunLost(msgspec.Struct, frozen=True):
    """Tell operators that a run counts as over without a reported end."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    run: specs.RunNumber
    evidence: LossEvidence
    state: tracking.RunState
    """What had been heard of its start."""
    ordered_s: float
    """Time since the run was planned."""


class ReportRestart(msgspec.Struct, frozen=True):
    """Tell operators that a worker was started again under its id."""

    worker_id: model.WorkerId
    learned_from: RestartSource
    former_started_unix_ms: int
    started_unix_ms: int
    lost_task_ids: tuple[model.TaskId, ...]
    """Tasks whose runs were lost with the former process."""
    open_task_ids: tuple[model.TaskId, ...]
    """Tasks whose runs may be on either process."""
    token: specs.CallToken = specs.NO_TOKEN
    """Carried by all calls from now on."""


class ReportSurplusRun(msgspec.Struct, frozen=True):
    """Tell operators that a worker runs a task that is placed elsewhere."""

    worker_id: model.WorkerId
    task_id: model.TaskId
    run: specs.RunNumber
    placed_run: specs.RunNumber
    """Number of the task's other run; 0 if the task is done."""


class ReportInterference(msgspec.Struct, frozen=True):
    """Tell operators that tasks of two images are kept apart, or no longer."""

    change: interference.Change


Report = (
    ReportCrash
    | ReportGivenUp
    | ReportStalled
    | ReportStopDecided
    | ReportDisplacement
    | ReportCopy
    | ReportStopOverdue
    | ReportListedEarly
    | ReportRunLost
    | ReportRestart
    | ReportSurplusRun
    | ReportInterference
)
"""What the holder only shows operators."""

Action = Start | Stop | RequestAdvice | PollWorker | Throttle | Report


class Changes(msgspec.Struct, frozen=True):
    """Changes that have to be stored before they take effect.

    Once they are stored, the starts of the tasks in these rows with numbers up
    to ``starts_until`` may be sent, and workers may forget their ends up to
    ``ends_by_worker_id``.
    """

    row_keys: frozenset[progress_rows.RowKey]
    starts_until: int
    puts: tuple[ports.Put, ...]
    removals: tuple[ports.Removal, ...]
    ends_by_worker_id: dict[model.WorkerId, tuple[int, int]]
    """Start time of the worker's process in Unix milliseconds, and number of
    the last end that is covered."""
