"""Types that all parts of samphirestack share.

Sizes are integers in the unit that the field name gives; durations are
seconds as floats.
"""

import enum
from typing import NewType

import msgspec

VmId = NewType('VmId', str)
"""Name of a VM, unique over all availability zones."""

WorkerId = NewType('WorkerId', str)
"""Name of a VM that runs tasks."""

UpstreamId = NewType('UpstreamId', str)
"""Name of a VM that runs an instance of a service and answers requests."""

ZoneId = NewType('ZoneId', str)
"""Name of an availability zone."""

RackId = NewType('RackId', str)
"""Name of a rack, unique within its availability zone."""

TeamId = NewType('TeamId', str)
ServiceId = NewType('ServiceId', str)
QueueId = NewType('QueueId', str)
ProfileId = NewType('ProfileId', str)
KeyId = NewType('KeyId', str)
RequestId = NewType('RequestId', str)
JobId = NewType('JobId', str)

TaskId = NewType('TaskId', str)
"""``<job id>/<index>``: a task keeps its id over all its attempts."""

GrantId = NewType('GrantId', str)

Epoch = NewType('Epoch', int)
"""Fencing token of a zone leader; a higher one supersedes a lower one."""

Revision = NewType('Revision', int)
"""Number of a published configuration; each publication adds 1."""


class Resources(msgspec.Struct, frozen=True):
    """An amount of each resource that a worker has or a task needs.

    Processors are counted in thousandths of a core: sums of integers are
    exact.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, count: int) -> 'Resources':
        return Resources(
            self.millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_in(self, other: 'Resources') -> bool:
        """Return whether no amount exceeds the amount in ``other``."""
        return (
            self.millicores <= other.millicores
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def is_negative(self) -> bool:
        """Return whether any amount is below zero."""
        return min(self.millicores, self.memory_mb, self.accelerators) < 0


class Urgency(enum.Enum):
    """Scheduling class of a profile; urgent work has priority."""

    URGENT = 'urgent'
    PATIENT = 'patient'


class JobKind(enum.Enum):
    """How the tasks of a job depend on each other."""

    BATCH = 'batch'
    """Tasks run independently of each other."""

    GANG = 'gang'
    """All tasks start together or none does."""

    SERVICE = 'service'
    """Tasks run until the job is cancelled and are replaced on failure."""


class JobState(enum.Enum):
    """State of a job as callers see it."""

    WAITING = 'waiting'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Whether the job will not change any more."""
        return self in FINAL_JOB_STATES


FINAL_JOB_STATES = frozenset(
    {JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED}
)


class TaskState(enum.Enum):
    """State of a task in its queue or on its worker."""

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    CHECKPOINTED = 'checkpointed'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    LOST = 'lost'
    STOPPED = 'stopped'


class RequestState(enum.Enum):
    """Progress of a request at the entry VM that accepted it."""

    RECEIVED = 'received'
    WAITING = 'waiting'
    GRANTED = 'granted'
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


class VmRole(enum.Enum):
    """Purpose of a VM."""

    ENTRY = 'entry'
    WORKER = 'worker'
    UPSTREAM = 'upstream'


class VmState(enum.Enum):
    """State of a VM in the platform's list, which lags behind."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """One row of the platform's list of VMs.

    ``service``, ``slots`` and ``connections`` are set for upstreams only,
    ``capacity`` for workers only.
    """

    vm_id: VmId
    address: str
    """``host:port`` of the HTTP interface of the worker or upstream, or of
    the peer socket of an entry VM."""
    role: VmRole
    zone: ZoneId
    state: VmState = VmState.LIVE
    rack: RackId = RackId('')
    capacity: Resources = Resources()
    service: ServiceId = ServiceId('')
    slots: int = 0
    connections: int = 0


class Job(msgspec.Struct, frozen=True):
    """A job as submitted, with the team that its key authenticated."""

    job_id: JobId
    queue: QueueId
    team: TeamId
    kind: JobKind
    tasks: int
    resources: Resources
    """Declared resources of one task."""
    run_time_s: float
    """Declared run time of one task; ignored for a service."""
    idempotent: bool
    home_zone: ZoneId
    submitted_at_s: float
    """Wall-clock time of acceptance; for display only."""
    payload: object = None


class JobRecord(msgspec.Struct, frozen=True):
    """The row of a job in the platform's table."""

    job: Job
    state: JobState = JobState.WAITING
    succeeded: int = 0
    failed: int = 0
    reason: str = ''
    ended: dict[int, TaskState] = {}
    """Final states by index of the task."""
    dispatched: dict[int, int] = {}
    """Highest attempt that may have been sent to a worker, by index of the
    task.  Stored before the attempt is sent, and only for jobs that are not
    idempotent."""
    schema: int = 1


def job_to_row(record: JobRecord) -> object:
    """Return a job as plain JSON data with string keys."""
    return msgspec.to_builtins(record, str_keys=True)


def job_from_row(value: object) -> JobRecord:
    """Return the job stored as the value of a row.

    :raises msgspec.ValidationError: the value is not a job.
    """
    return msgspec.convert(value, JobRecord, str_keys=True)


def task_id(job_id: JobId, index: int) -> TaskId:
    """Return the id of the ``index``-th task of a job."""
    return TaskId(f'{job_id}/{index}')
