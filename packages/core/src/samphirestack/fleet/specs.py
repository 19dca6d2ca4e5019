"""Jobs of callers, the operator's configuration and reports of workers."""

import enum
from typing import NewType

import msgspec

from samphirestack import model

RunNumber = NewType('RunNumber', int)
"""Number of a run of a task; a later run has a higher one."""

CallToken = NewType('CallToken', int)
"""Number that each call to a worker carries.  A process of a worker refuses a
lower one than it has seen."""

NO_TOKEN = CallToken(0)

Checkpoint = NewType('Checkpoint', str)
"""Opaque saved progress of a task; empty if there is none."""

NO_CHECKPOINT = Checkpoint('')


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tasks of one size that become ready together."""

    count: int
    size: model.Resources
    """Size of each task."""
    estimate_s: float
    """Declared run time of a task; often inaccurate."""
    after: tuple[int, ...] = ()
    """Numbers of the steps whose tasks must all succeed first."""
    gang: bool = False
    """All tasks start together or not at all."""
    single_rack: bool = False
    """All tasks need one rack; spread over racks, they run several times
    longer."""
    label: str = ''
    """Label required of the worker; empty if none is."""
    data_rack: str = ''
    """Rack near the data; tasks run several times longer elsewhere."""
    max_per_worker: int = 0
    """Maximum number of tasks of the step on one worker; 0 means no limit."""
    speculative: bool = False
    checkpoints: bool = False
    long_running: bool = False
    max_unavailable: int = 0
    """Tasks of a long-running step that may be interrupted at once."""
    image: str = ''
    latency_target_s: float = 0.0
    """Target for the tail latency of a serving task; 0 if there is none."""
    filler: bool = False
    """Whether the tasks only use processors that other tasks leave idle."""


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller described it."""

    payload: str
    """Passed to the worker unchanged."""
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    """Number of scheduled occurrences; 0 for a job that runs once."""
    first_due_unix_s: float = 0.0
    interval_s: float = 0.0


class AdvicePolicy(msgspec.Struct, frozen=True):
    """Costs of advice for a queue whose steps need tickets."""

    base_s: float
    """Fixed part of the duration of a call."""
    per_worker_s: float
    """Additional duration for each worker in the call."""
    validity_s: float
    """Lifetime of a ticket."""


class Queue(msgspec.Struct, frozen=True, omit_defaults=True):
    """A queue and the policy for its jobs."""

    queue_id: model.QueueId
    service: model.ServiceId
    host: str
    prefix: str
    priority: int = 0
    """Lower values come first; 0 is urgent."""
    max_attempts: int = 1
    stretch: float = 1.0
    """Objective of a job in multiples of the length of its critical path."""
    latency_target_s: float = 0.0
    """Constant part of the objective."""
    advice: AdvicePolicy | None = None
    open_to_all: bool = False


class Customer(msgspec.Struct, frozen=True):
    """A customer with its share and its upper limit."""

    customer_id: model.TeamId
    weight: float
    """Share of a full fleet; also the entitled rate of jobs per second."""
    limit: model.Resources
    """Limit of concurrent use over all workers; 0 means none."""


class Service(msgspec.Struct, frozen=True):
    """A pool of workers."""

    service_id: model.ServiceId
    enforces_capacity: bool = False
    spare: bool = False
    health_path: str = ''


class FleetConfiguration:
    """One version of the operator's configuration."""

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
        self.customers_by_id = {
            customer.customer_id: customer for customer in customers
        }
        self.services_by_id = {
            service.service_id: service for service in services
        }
        self.customer_ids_by_key = customer_ids_by_key
        self.max_body_bytes = max_body_bytes
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for same_host in self._queues_by_host.values():
            same_host.sort(key=lambda queue: -len(queue.prefix))

    def enforces_capacity(self, service_id: model.ServiceId) -> bool:
        """Return whether the workers of a service refuse what doesn't fit."""
        service = self.services_by_id.get(service_id)
        return service is not None and service.enforces_capacity

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching prefix."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class WorkerState(enum.Enum):
    """State that a worker announces in its registration."""

    READY = 'ready'
    DRAINING = 'draining'


class WorkerEntry(msgspec.Struct, frozen=True):
    """Registration of a worker."""

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
    """Start time of the process; tells a restarted worker from its
    predecessor with the same id."""
    leaves_in_s: float = 0.0
    """Minimum time until a draining worker leaves."""
    cold_s: float = 0.0
    """Time from the entry's writing in which the worker is still slow after
    its start."""


class RunningRow(msgspec.Struct, frozen=True):
    """A run that a worker lists as running."""

    task_id: model.TaskId
    run: RunNumber
    checkpoint: Checkpoint
    percent: float
    load: float = 0.0
    """Tail latency of a serving task in ms, else millicores in use."""


class EndReason(enum.Enum):
    """Reason why a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    """The worker's lease expired."""
    BROKEN = 'broken'
    """Another member of its gang ended."""
    ALONE = 'alone'
    """The other members of its gang did not start in time."""


class EndRow(msgspec.Struct, frozen=True):
    """The end of a run, numbered by its worker."""

    number: int
    task_id: model.TaskId
    run: RunNumber
    reason: EndReason
    checkpoint: Checkpoint


class WorkerReport(msgspec.Struct, frozen=True):
    """Report of a worker: its runs and their unacknowledged ends."""

    clock_ms: float
    """Reading of the worker's monotonic clock."""
    started_unix_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]
    """Ends above the last acknowledged one, in ascending order."""
    ends_complete: bool = True
    """Whether these are all such ends.  A run that is neither running nor in
    an incomplete list may have ended in any way."""


class StartOutcome(enum.Enum):
    """Outcome of an order to start a run."""

    STARTED = 'started'
    FENCED = 'fenced'
    """The worker has seen a call with a higher token."""
    OLD_RUN = 'old_run'
    """The run number is not above an earlier one."""
    LATE = 'late'
    """The order's deadline had passed on the worker's clock."""
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other_life'
    """The worker restarted after the order was planned."""
    MALFORMED = 'malformed'
    NOT_SENT = 'not_sent'
    """The order was dropped before it was sent."""
    UNKNOWN = 'unknown'
    """No answer: the run may have started or may start seconds later."""


class JobState(enum.Enum):
    """State of a job as reported to its caller."""

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


MAX_CLOCK_SKEW_S = 3600.0
"""Limit of the difference between the clocks of VMs and workers."""


def is_plausible_start(unix_now: float, started_unix_ms: int) -> bool:
    """Return whether a process can have started at a time.

    A start far in the future would make everything that its worker says
    later look like that of an earlier process.
    """
    return started_unix_ms / 1000 <= unix_now + MAX_CLOCK_SKEW_S


def split_task_id(
    task_id: model.TaskId,
) -> tuple[model.JobId, int, int, int] | None:
    """Return the parts of a task's id, or ``None`` if it is malformed."""
    parts = task_id.split('.')
    if len(parts) != 4 or not all(_is_index(part) for part in parts[1:]):
        return None
    return model.JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3])


def _is_index(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= 9
