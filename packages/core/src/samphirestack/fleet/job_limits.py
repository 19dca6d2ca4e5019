"""Limits of what callers may submit as a job."""

from collections.abc import Iterator

from samphirestack import errors
from samphirestack.fleet import specs

MAX_PAYLOAD_BYTES = 4000
MAX_STEPS = 500
"""The critical path of a job compares all pairs of its steps."""

MAX_TASKS_PER_STEP = 10_000
MAX_TASKS = 20_000
"""Limit of the tasks of a job, which bounds the memory for one call."""

MAX_RESOURCE = 10**9
"""Limit of each resource of a task, and of the other whole numbers: far above
any fleet, and its products fit into 64 bits."""

MAX_DURATION_S = 10 * 365 * 86_400.0
MAX_UNIX_S = 10_000_000_000.0
"""Year 2286."""


def check_job(spec: specs.JobSpec) -> None:
    """Check a job before it is stored or scheduled.

    :raises errors.BadRequest: a value is outside its range.
    """
    if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise errors.BadRequest(
            f'the specification is longer than {MAX_PAYLOAD_BYTES} bytes'
        )
    if not spec.steps:
        raise errors.BadRequest('the job has no steps')
    if len(spec.steps) > MAX_STEPS:
        raise errors.BadRequest(
            f'the job has {len(spec.steps)} steps, but may have {MAX_STEPS} '
            'at most'
        )
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    tasks = sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS:
        raise errors.BadRequest(
            f'the job has {tasks} tasks, but may have {MAX_TASKS} at most'
        )
    _check_range('repetitions', spec.repetitions, MAX_RESOURCE)
    _check_range('the interval', spec.interval_s, MAX_DURATION_S)
    _check_range('the time of the start', spec.first_due_unix_s, MAX_UNIX_S)


def _check_step(number: int, step: specs.StepSpec) -> None:
    if not 0 < step.count <= MAX_TASKS_PER_STEP:
        raise errors.BadRequest(
            f'step {number} has {step.count} tasks, but must have 1 to '
            f'{MAX_TASKS_PER_STEP}'
        )
    if any(not 0 <= other < number for other in step.after):
        raise errors.BadRequest(
            f'step {number} has to wait for {step.after}, but may only wait '
            'for earlier steps'
        )
    for name, value, limit in _ranges(step):
        _check_range(f'{name} of step {number}', value, limit)


def _ranges(
    step: specs.StepSpec,
) -> Iterator[tuple[str, float, float]]:
    yield 'the processor request', step.size.millicores, MAX_RESOURCE
    yield 'the memory request', step.size.memory_mb, MAX_RESOURCE
    yield 'the accelerator request', step.size.accelerators, MAX_RESOURCE
    yield 'the number of tasks per worker', step.max_per_worker, MAX_RESOURCE
    yield 'the disruption budget', step.max_unavailable, MAX_RESOURCE
    yield 'the estimate', step.estimate_s, MAX_DURATION_S
    yield 'the latency target', step.latency_target_s, MAX_DURATION_S


def _check_range(name: str, value: float, limit: float) -> None:
    # Also false for what is not a number.
    if not 0 <= value <= limit:
        raise errors.BadRequest(
            f'{name} is {value}, but must be between 0 and {limit:g}'
        )
