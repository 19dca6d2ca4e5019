"""Explanation of where the steps of a job would start now, and why.

This answers the operators' question about a job that is not sent: all rules
are those of the planner, and neither the job nor its placements are recorded.
"""

import collections
import copy

import msgspec

from samphirestack.fleet import ordering
from samphirestack.fleet import planner
from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack.fleet import work
from samphirestack import model

MAX_LISTED = 20
"""Workers named in an explanation; a job may have many more tasks."""


class Excluded(msgspec.Struct, frozen=True):
    """Workers that one reason keeps from a step, and no earlier one."""

    reason: str
    workers: int


class StepExplanation(msgspec.Struct, frozen=True):
    """Where one step of a job would start now, and why."""

    step: int
    verdict: str
    """One sentence."""
    waits_for_steps: tuple[int, ...] = ()
    """The other fields keep their defaults if there are any."""
    order_class: str = ''
    """``ordering.StepClass`` in small letters."""
    steps_ahead: int = 0
    """Waiting steps of other jobs that are considered before."""
    workers: int = 0
    """Tracked workers of the service."""
    excluded: tuple[Excluded, ...] = ()
    could_take_a_task: int = 0
    headroom: int = 0
    """Tasks that the customer's limit lets start."""
    tasks: int = 0
    tasks_starting: int = 0
    """Tasks that would start now; with advice, if it found all workers
    suitable."""
    needs_advice: bool = False
    chosen: tuple[model.WorkerId, ...] = ()
    """The first workers that would be used; with advice, those that would be
    asked about first."""
    gang_fits_in_s: float | None = None
    """When a gang that doesn't fit now is expected to fit."""


class Explanation(msgspec.Struct, frozen=True):
    """Where the steps of a job would start now, and why."""

    queue: model.QueueId
    customer: model.TeamId
    term: int
    steps: tuple[StepExplanation, ...]


class _Shadow:
    """A fleet for the planner that doesn't record placements."""

    def __init__(self, fleet: schedulers.FleetScheduler) -> None:
        self.term = fleet.term
        self.configuration = fleet.configuration
        self.workers_by_id = fleet.workers_by_id
        self.usage = fleet.usage
        self.jobs = fleet.jobs
        # The planner records in these two.
        self.quarantine = copy.deepcopy(fleet.quarantine)
        self.interference = copy.deepcopy(fleet.interference)
        self.suitable_shares = fleet.suitable_shares
        self.worker_speeds = fleet.worker_speeds
        self.registry_freshness = fleet.registry_freshness
        self.evacuations = fleet.evacuations
        self.runs_to_copy = fleet.runs_to_copy
        self.room_search_at = fleet.room_search_at

    def record_placement(self, *_placement: object) -> int:
        return 0

    record_copy = record_placement

    def displace_run(self, *_run: object) -> None:
        raise AssertionError('a preview stops no runs')


def explain(
    now: float,
    unix_now: float,
    fleet: schedulers.FleetScheduler,
    record: records.JobRecord,
) -> Explanation:
    """Return where a job would start if it were accepted now.

    The steps of its first occurrence are explained.  Nothing changes.

    :param record: as for a submission, with its ``spec``.
    """
    job = fleet.preview_job(now, unix_now, record)
    return Explanation(
        job.queue.queue_id,
        job.customer_id,
        fleet.term,
        tuple(
            _explain_step(now, fleet, step) for step in job.begin_occurrence()
        ),
    )


def _explain_step(
    now: float, fleet: schedulers.FleetScheduler, step: work.StepRun
) -> StepExplanation:
    if step.pending_dependencies:
        earlier = tuple(sorted(step.pending_dependencies))
        names = ', '.join(map(str, earlier))
        return StepExplanation(step.number, f'waits for step {names}', earlier)
    key = ordering.sort_key(now, step)
    ahead = sorted(
        (
            other
            for other in fleet.jobs.ready_steps.values()
            if other.blocked_until <= now
            and ordering.sort_key(now, other) <= key
        ),
        key=lambda other: ordering.sort_key(now, other),
    )
    preview = planner.Preview(now, _Shadow(fleet), step, ahead)
    needs_advice = step.job.queue.advice is not None
    counts: collections.Counter[planner.Exclusion | None] = (
        collections.Counter(
            preview.exclusion(worker)
            for worker in fleet.workers_by_id.values()
            if worker.entry.service == preview.service
        )
    )
    headroom = preview.headroom
    leaves_room = preview.leaves_room_to_gangs
    fits_at = preview.earliest_fit() if step.spec.gang else None
    asked = preview.workers_to_ask() if needs_advice else []
    due_in_s = step.due_at - now
    placed = preview.place() if due_in_s <= 0 else []
    chosen = asked if needs_advice else list(dict.fromkeys(placed))
    if placed or fits_at is None:
        gang_fits_in_s = None
    else:
        gang_fits_in_s = max(0.0, fits_at - now)
    result = StepExplanation(
        step=step.number,
        verdict='',
        order_class=ordering.classify(now, step).name.lower(),
        steps_ahead=len(ahead),
        workers=counts.total(),
        excluded=tuple(
            Excluded(reason.value, counts[reason])
            for reason in planner.Exclusion
            if counts[reason]
        ),
        could_take_a_task=counts[None],
        headroom=headroom,
        tasks=step.spec.count,
        tasks_starting=len(placed),
        needs_advice=needs_advice,
        chosen=tuple(chosen[:MAX_LISTED]),
        gang_fits_in_s=gang_fits_in_s,
    )
    verdict = _verdict(result, step, due_in_s, leaves_room)
    return msgspec.structs.replace(result, verdict=verdict)


def _verdict(
    found: StepExplanation,
    step: work.StepRun,
    due_in_s: float,
    leaves_room: bool,
) -> str:
    if not found.tasks:
        return 'has no tasks and is done at once'
    if due_in_s > 0:
        return f'waits: it is due in {due_in_s:.1f} s'
    needed = found.tasks if step.spec.gang else 1
    if found.headroom < needed:
        return (
            f"waits: the customer's limit lets {found.headroom} tasks start, "
            f'it needs {needed}'
        )
    if leaves_room:
        return 'waits: it leaves the free room to a gang that waits'
    if not found.tasks_starting:
        return 'waits: ' + _why_nothing_starts(found, step)
    if found.needs_advice:
        return (
            f'waits for advice: the answer of the advice service decides '
            f'among {found.could_take_a_task} workers'
        )
    names = ', '.join(found.chosen[:3])
    more = len(found.chosen) - 3
    if more > 0:
        names += ' and others'
    text = f'starts now on {names}'
    if found.tasks_starting < found.tasks:
        text += f', {found.tasks_starting} of {found.tasks} tasks'
    if found.steps_ahead:
        text += f', if the {found.steps_ahead} waiting steps ahead leave room'
    return text


def _why_nothing_starts(found: StepExplanation, step: work.StepRun) -> str:
    if not found.workers:
        return 'the service has no workers'
    if found.could_take_a_task and step.spec.gang:
        if found.gang_fits_in_s is None:
            return 'the gang does not fit, and no end of a run will change it'
        return f'the gang is expected to fit in {found.gang_fits_in_s:.1f} s'
    reasons = ', '.join(
        f'{excluded.workers} {excluded.reason}' for excluded in found.excluded
    )
    text = f'none of {found.workers} workers can take a task ({reasons})'
    if found.gang_fits_in_s is not None:
        text += (
            f'; the gang is expected to fit in {found.gang_fits_in_s:.1f} s'
        )
    return text
