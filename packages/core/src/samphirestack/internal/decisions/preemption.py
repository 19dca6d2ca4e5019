"""Which running tasks make room for urgent work."""

from collections.abc import Iterable
import enum

import msgspec

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model

_NOTHING = model.Resources()

THROTTLE_PERCENT = 25
"""Processor share of a task that may be neither saved nor stopped."""


class Means(enum.Enum):
    """What is done to a running task, mildest first."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class Candidate(msgspec.Struct, frozen=True):
    """A running task as far as preemption is concerned."""

    task_id: model.TaskId
    resources: model.Resources
    urgency: model.Urgency
    preemptible: bool
    """As its profile says."""
    can_checkpoint: bool
    idempotent: bool
    ran_s: float
    """Work that is lost if the task is stopped."""
    leaving: bool = False
    """Whether it is being taken off already."""


class Step(msgspec.Struct, frozen=True):
    """One preemption."""

    task_id: model.TaskId
    means: Means


class Excess(msgspec.Struct, frozen=True):
    """What a team uses beyond its slice; 0 where it does not."""

    running: int
    resources: model.Resources


class Plan(msgspec.Struct, frozen=True):
    """Steps that make room on one worker, and the work that they lose."""

    worker_id: model.WorkerId
    steps: tuple[Step, ...]
    lost_s: float


def means_to_free(candidate: Candidate) -> Means | None:
    """Return the mildest means that frees the resources of a task.

    Throttling keeps the resources committed, so it frees nothing.  A
    started non-idempotent task is never stopped.
    """
    if candidate.urgency is model.Urgency.URGENT:
        return None
    if not candidate.preemptible:
        return None
    means = _mildest(candidate)
    return None if means is Means.THROTTLE else means


def excess_of(
    usage: messages.TeamUsage, limit: configuration.Limit
) -> Excess | None:
    """Return what exceeds a slice, or ``None`` if nothing does."""
    used = usage.resources
    excess = Excess(
        _above(usage.running, limit.running),
        model.Resources(
            _above(used.millicores, limit.millicores),
            _above(used.memory_mb, limit.memory_mb),
            _above(used.accelerators, limit.accelerators),
        ),
    )
    return excess if _remains(excess) else None


def reduce(excess: Excess, candidates: Iterable[Candidate]) -> list[Step]:
    """Return the steps that bring a team back to its slice.

    Preemptible tasks of both urgencies leave, patient ones first.  If that
    is not enough, preemptible tasks that may neither be saved nor stopped
    are throttled.
    """
    steps: list[Step] = []
    usable: list[tuple[bool, float, Candidate, Means]] = []
    for candidate in candidates:
        if candidate.leaving:
            excess = _lessened(excess, candidate)
        elif candidate.preemptible:
            urgent = candidate.urgency is model.Urgency.URGENT
            means = _mildest(candidate)
            lost_s = _lost_s(candidate, means)
            usable.append((urgent, lost_s, candidate, means))
    usable.sort(key=lambda item: (item[0], item[1], item[2].task_id))
    for _, _, candidate, means in usable:
        if not _remains(excess):
            return steps
        if means is not Means.THROTTLE and _helps(excess, candidate):
            steps.append(Step(candidate.task_id, means))
            excess = _lessened(excess, candidate)
    if _remains(excess):
        steps += [
            Step(item[2].task_id, Means.THROTTLE)
            for item in usable
            if item[3] is Means.THROTTLE
        ]
    return steps


def make_room(
    worker_id: model.WorkerId,
    free: model.Resources,
    need: model.Resources,
    candidates: Iterable[Candidate],
) -> Plan | None:
    """Return the steps that free ``need`` on a worker, or ``None``.

    Tasks that lose the least work go first; those that turn out not to be
    needed are spared.
    """
    usable = [
        (_lost_s(candidate, means), candidate, means)
        for candidate in candidates
        if (means := means_to_free(candidate)) is not None
    ]
    usable.sort(key=lambda item: (item[0], item[1].task_id))
    chosen: list[tuple[float, Candidate, Means]] = []
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


def cheapest(plans: Iterable[Plan]) -> Plan | None:
    """Return the plan that loses the least work, then the fewest tasks."""
    return min(
        plans,
        key=lambda plan: (plan.lost_s, len(plan.steps), plan.worker_id),
        default=None,
    )


def _lost_s(candidate: Candidate, means: Means) -> float:
    return candidate.ran_s if means is Means.STOP else 0.0


def _mildest(candidate: Candidate) -> Means:
    if candidate.can_checkpoint:
        return Means.CHECKPOINT
    return Means.STOP if candidate.idempotent else Means.THROTTLE


def _above(used: int, limit: int | None) -> int:
    return 0 if limit is None else max(0, used - limit)


def _remains(excess: Excess) -> bool:
    return excess.running > 0 or not excess.resources.fits_in(_NOTHING)


def _helps(excess: Excess, candidate: Candidate) -> bool:
    wanted = excess.resources
    given = candidate.resources
    return (
        excess.running > 0
        or min(wanted.millicores, given.millicores) > 0
        or min(wanted.memory_mb, given.memory_mb) > 0
        or min(wanted.accelerators, given.accelerators) > 0
    )


def _lessened(excess: Excess, candidate: Candidate) -> Excess:
    return Excess(excess.running - 1, excess.resources - candidate.resources)
