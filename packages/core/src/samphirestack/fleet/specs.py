"""What callers submit, and what the operator and the workers publish."""

import enum
from typing import NewType

import msgspec

from samphirestack import model

RunNumber = NewType('RunNumber', int)
"""Number of one start of a task; a later start has a higher one."""

Checkpoint = NewType('Checkpoint', str)
"""Opaque saved progress of a task; empty if there is none."""

NO_CHECKPOINT = Checkpoint('')


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of one size that become ready together."""

    count: int
    size: model.Resources
    """Of each task."""
    estimate_s: float
    """Declared run time of a task; often far off."""
    after: tuple[int, ...] = ()
    """Numbers of the steps whose tasks must all have succeeded first."""
    gang: bool = False
    single_rack: bool = False
    """Tasks run several times longer when spread over racks."""
    label: str = ''
    """Label that the worker must have."""
    data_rack: str = ''
    """Rack near the data; elsewhere the tasks run several times longer."""
    max_per_worker: int = 0
    """Tasks of the step on one worker at most; 0 means any number."""
    speculative: bool = False
    checkpoints: bool = False
    long_running: bool = False
    max_unavailable: int = 0
    """Tasks of a long-running step that the system may take away at once."""
    image: str = ''
    latency_target_s: float = 0.0
    """Of a task that serves its own users; 0 if it has none."""
    filler: bool = False
    """Uses the processors that other tasks leave idle."""


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller described it."""

    payload: str
    """Handed to the worker unchanged."""
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    """Number of scheduled occurrences; 0 for a job that runs once."""
    first_due_unix_s: float = 0.0
    interval_s: float = 0.0


class AdvicePolicy(msgspec.Struct, frozen=True):
    """A queue whose steps need tickets from the advice service."""

    base_s: float
    """Duration of a call without the part that grows with the workers."""
    per_worker_s: float
    validity_s: float


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A queue and how its jobs are treated."""

    queue_id: model.QueueId
    service: model.ServiceId
    host: str
    prefix: str
    priority: int = 0
    """0 comes first."""
    max_attempts: int = 1
    stretch: float = 1.0
    """Objective of a job in multiples of its longest chain of work."""
    latency_target_s: float = 0.0
    """Added to the objective."""
    advice: AdvicePolicy | None = None
    open_to_all: bool = False


class Customer(msgspec.Struct, frozen=True):
    """A customer with its share and its upper limit."""

    customer_id: model.TeamId
    weight: float
    """Share when the fleet is full; also the jobs a second it is owed."""
    limit: model.Resources
    """Of what runs at once over all workers; 0 means no limit."""


class Service(msgspec.Struct, frozen=True):
    """A pool of workers."""

    service_id: model.ServiceId
    enforces_capacity: bool = False
    spare: bool = False
    health_path: str = ''


class FleetConfiguration:
    """One version of what the operator published."""

    def __init__(
        self,
        version: int,
        queues: list[Queue],
        customers: list[Customer],
        services: list[Service],
        customer_ids_by_key: dict[str, model.TeamId],
        max_body_bytes: int,
    ) -> None:
        self.version = version
        self.queues_by_id = {queue.queue_id: queue for queue in queues}
        self.customers_by_id = {one.customer_id: one for one in customers}
        self.services_by_id = {one.service_id: one for one in services}
        self.customer_ids_by_key = customer_ids_by_key
        self.max_body_bytes = max_body_bytes
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for same_host in self._queues_by_host.values():
            same_host.sort(key=lambda queue: -len(queue.prefix))

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix that the path has."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


class WorkerEntry(msgspec.Struct, frozen=True):
    """A worker as it registered itself."""

    worker_id: model.WorkerId
    address: str
    service: model.ServiceId
    zone: model.ZoneId
    state: WorkerState
    capacity: model.Resources
    labels: tuple[str, ...]
    rack: str
    machine: str = ''
    started_unix_ms: int = 0
    """Tells one life of a worker from the next under the same id."""
    leaves_in_s: float = 0.0
    """Least time left to a draining worker."""


class RunningRow(msgspec.Struct, frozen=True):
    """A run that a worker lists as present."""

    task_id: model.TaskId
    run: RunNumber
    checkpoint: Checkpoint
    percent: float
    load: float = 0.0
    """Latency tail in ms of a serving task, else millicores in use."""


class EndReason(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    """The worker's lease ran out."""
    BROKEN = 'broken'
    """Another member of its gang ended."""
    ALONE = 'alone'
    """The other members of its gang did not come in time."""


class EndRow(msgspec.Struct, frozen=True):
    """The end of a run, numbered by its worker."""

    number: int
    task_id: model.TaskId
    run: RunNumber
    reason: EndReason
    checkpoint: Checkpoint


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's lists of runs."""

    clock_ms: float
    """The worker's steady clock."""
    started_unix_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]


class StartOutcome(enum.Enum):
    """What a worker did with an order to start a run."""

    STARTED = 'started'
    FENCED = 'fenced'
    """A newer term has spoken to the worker."""
    OLD_RUN = 'old_run'
    """The run number is not above an earlier one."""
    LATE = 'late'
    """The order's deadline had passed on the worker's clock."""
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    """The worker was started again since."""
    MALFORMED = 'malformed'
    NOT_SENT = 'not_sent'
    """The order was given up before it was sent."""
    UNKNOWN = 'unknown'
    """No answer: the run may start now or seconds later."""


class JobState(enum.Enum):
    """State of a job as its caller sees it."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


def task_id_of(
    job_id: model.JobId, occurrence: int, step: int, index: int
) -> model.TaskId:
    """Return the id of a task, ``JOB.OCCURRENCE.STEP.INDEX``."""
    return model.TaskId(f'{job_id}.{occurrence}.{step}.{index}')


def split_task_id(
    task_id: model.TaskId,
) -> tuple[model.JobId, int, int, int] | None:
    """Return the parts of a task's id, or ``None`` if it has others."""
    parts = task_id.split('.')
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return model.JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3])
