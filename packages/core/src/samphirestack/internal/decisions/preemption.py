"""Preemption of running tasks for urgent work and lowered limits."""

from collections.abc import Iterable
import enum

import msgspec

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model

_NOTHING = model.Resources()

THROTTLE_PERCENT = 25
"""Processor share of a task that can be neither checkpointed nor stopped and
is throttled instead."""


class Method(enum.Enum):
    """How a running task is preempted, least disruptive first."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class Candidate(msgspec.Struct, frozen=True):
    """A running task that may be preempted."""

    task_id: model.TaskId
    resources: model.Resources
    urgency: model.Urgency
    preemptible: bool
    """Whether its profile allows preemption."""
    can_checkpoint: bool
    idempotent: bool
    ran_s: float
    """Run time in seconds, which is lost if the task is stopped."""
    leaving: bool = False
    """Whether the task is being stopped or checkpointed already."""
    checkpoint_lost_s: float = 0.0
    """Time that is lost although the task is checkpointed, in the unit of
    ``ran_s``."""


class Step(msgspec.Struct, frozen=True):
    """Preemption of one task."""

    task_id: model.TaskId
    method: Method


class Excess(msgspec.Struct, frozen=True):
    """What a team uses beyond its slice; 0 in dimensions within it."""

    running: int
    resources: model.Resources


class Plan(msgspec.Struct, frozen=True):
    """Preemptions that make room on one worker.

    ``lost_s`` is the run time that they lose in total, in seconds.
    """

    worker_id: model.WorkerId
    steps: tuple[Step, ...]
    lost_s: float


def freeing_method(candidate: Candidate) -> Method | None:
    """Return how to free the resources of a task, or ``None``.

    Returns ``None`` for urgent tasks and those that are not preemptible.
    A started non-idempotent task is never stopped, and throttling frees
    nothing, since the resources stay committed.
    """
    if candidate.urgency is model.Urgency.URGENT:
        return None
    if not candidate.preemptible:
        return None
    method = _method_for(candidate)
    return None if method is Method.THROTTLE else method


def compute_excess(
    usage: messages.TeamUsage, limit: configuration.Limit
) -> Excess | None:
    """Return what exceeds a slice, or ``None`` if nothing does."""
    used = usage.resources
    excess = Excess(
        _excess_amount(usage.running, limit.running),
        model.Resources(
            _excess_amount(used.millicores, limit.millicores),
            _excess_amount(used.memory_mb, limit.memory_mb),
            _excess_amount(used.accelerators, limit.accelerators),
        ),
    )
    return excess if _is_positive(excess) else None


def plan_reduction(
    excess: Excess, candidates: Iterable[Candidate]
) -> list[Step]:
    """Return the steps that bring a team back to its slice.

    Preemptible tasks are checkpointed or stopped, patient ones first, then
    those that lose the least work.  If that is not enough, preemptible
    tasks that can be neither checkpointed nor stopped are throttled.
    """
    steps: list[Step] = []
    usable: list[tuple[bool, float, Candidate, Method]] = []
    for candidate in candidates:
        if candidate.leaving:
            excess = _without_task(excess, candidate)
        elif candidate.preemptible:
            urgent = candidate.urgency is model.Urgency.URGENT
            method = _method_for(candidate)
            lost_s = _lost_s(candidate, method)
            usable.append((urgent, lost_s, candidate, method))
    usable.sort(key=lambda item: (item[0], item[1], item[2].task_id))
    for _, _, candidate, method in usable:
        if not _is_positive(excess):
            return steps
        if method is not Method.THROTTLE and _reduces(excess, candidate):
            steps.append(Step(candidate.task_id, method))
            excess = _without_task(excess, candidate)
    if _is_positive(excess):
        steps += [
            Step(item[2].task_id, Method.THROTTLE)
            for item in usable
            if item[3] is Method.THROTTLE
        ]
    return steps


def plan_preemption(
    worker_id: model.WorkerId,
    free: model.Resources,
    need: model.Resources,
    candidates: Iterable[Candidate],
) -> Plan | None:
    """Return a plan that frees ``need`` on a worker, or ``None``.

    Tasks are chosen in ascending order of lost work until ``need`` fits.
    Chosen tasks that later choices made unnecessary are left running.

    :param free: free resources of the worker.
    """
    usable = [
        (_lost_s(candidate, method), candidate, method)
        for candidate in candidates
        if (method := freeing_method(candidate)) is not None
    ]
    usable.sort(key=lambda item: (item[0], item[1].task_id))
    chosen: list[tuple[float, Candidate, Method]] = []
    for item in usable:
        if need.fits_in(free):
            break
        chosen.append(item)
        free = free + item[1].resources
    if not need.fits_in(free):
        return None
    for item in reversed(chosen.copy()):
        if need.fits_in(free - item[1].resources):
            free = free - item[1].resources
            chosen.remove(item)
    steps = tuple(Step(item[1].task_id, item[2]) for item in chosen)
    return Plan(worker_id, steps, sum(item[0] for item in chosen))


def cheapest_plan(plans: Iterable[Plan]) -> Plan | None:
    """Return the plan that loses the least work, then the fewest tasks."""
    return min(
        plans,
        key=lambda plan: (plan.lost_s, len(plan.steps), plan.worker_id),
        default=None,
    )


def _lost_s(candidate: Candidate, method: Method) -> float:
    if method is Method.CHECKPOINT:
        return candidate.checkpoint_lost_s
    return candidate.ran_s if method is Method.STOP else 0.0


def _method_for(candidate: Candidate) -> Method:
    if candidate.can_checkpoint:
        return Method.CHECKPOINT
    return Method.STOP if candidate.idempotent else Method.THROTTLE


def _excess_amount(used: int, limit: int | None) -> int:
    return 0 if limit is None else max(0, used - limit)


def _is_positive(excess: Excess) -> bool:
    return excess.running > 0 or not excess.resources.fits_in(_NOTHING)


def _reduces(excess: Excess, candidate: Candidate) -> bool:
    exceeding = excess.resources
    freed = candidate.resources
    return (
        excess.running > 0
        or min(exceeding.millicores, freed.millicores) > 0
        or min(exceeding.memory_mb, freed.memory_mb) > 0
        or min(exceeding.accelerators, freed.accelerators) > 0
    )


def _without_task(excess: Excess, candidate: Candidate) -> Excess:
    return Excess(excess.running - 1, excess.resources - candidate.resources)
