"""Choice of runs that are stopped to make room for a waiting step.

This answers full fleets in which urgent tasks, or a gang that needs many
workers at once, would miss their objective while checkpointed work of lower
priority runs, which loses little when it is stopped.  A displacement costs
the processor time for which the stopped runs make no progress, and all of
the work of those that it makes late.  It must be worth less than the work
of the waiting step that can be in time because of it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq

import msgspec

from samphirestack.fleet import forecast
from samphirestack.fleet import ordering
from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack.internal.decisions import preemption
from samphirestack import model

REASON = 'displaced'
"""Reason to stop a displaced run."""

STOP_S = 0.4
"""Time until the room of a stopped run is free."""

RESTORE_S = 0.1
"""Time that a run takes to resume from its checkpoint."""

REQUEUE_S = 1.0
"""Assumed time until a displaced run goes on elsewhere, for the forecast
whether it ends in time."""

HOLD_S = 1.0
"""Time for which the room is kept for the step: for the stops, the answers
of the workers and one plan."""

GANG_MARGIN_S = 2.0
"""Time before its latest start at which a gang should find room by itself.
Forecasts of many runs are uncertain, and its tickets may have to be renewed
first."""

SEARCH_INTERVAL_S = 0.2
"""Minimum interval between searches for a step."""

SEARCH_PAUSE_PER_WORKER_S = 0.0002
"""Minimum interval between searches for all steps, for each worker.  The
time that a search takes grows with the number of workers."""

MAX_DISPLACEMENTS = 2
"""Displacements for one step.  What didn't help twice, for example because
its workers left, won't help."""

MAX_DISPLACED_SHARE = 0.1
"""Maximum part of the processors of the fleet that displaced runs occupy
while they stop, or all of one worker."""

MAX_CUSTOMER_SHARE = 0.5
"""Maximum part of this bound for the runs of one customer."""


class Limits(msgspec.Struct, frozen=True):
    """What may be displaced now."""

    millicores: int
    """Processors of all runs."""
    millicores_by_customer: dict[model.TeamId, int]
    """Processors of runs that are being displaced already."""
    max_per_customer: int
    customers_over_share: frozenset[model.TeamId]

    def permit(self, run: tracking.Run, only_over_share: bool) -> bool:
        """Return whether the run of a customer may be displaced.

        :param only_over_share: whether only customers over their share are
            considered.
        """
        step = run.task.step
        customer_id = step.job.customer_id
        if only_over_share and customer_id not in self.customers_over_share:
            return False
        stopping = self.millicores_by_customer.get(customer_id, 0)
        return stopping + step.spec.size.millicores <= self.max_per_customer


class Displacement(msgspec.Struct, frozen=True):
    """Runs to stop, and the workers on which the step starts then."""

    runs: tuple[tracking.Run, ...]
    worker_ids: frozenset[model.WorkerId]
    """Includes workers on which there is enough room without stops."""
    count: int
    """Tasks that find room."""
    lost_core_s: float
    gained_core_s: float


def search_pause_s(workers: int) -> float:
    """Return the minimum interval between searches for room."""
    return SEARCH_PAUSE_PER_WORKER_S * workers


def limits(
    workers: Iterable[tracking.TrackedWorker],
    customers_over_share: frozenset[model.TeamId],
) -> Limits:
    """Return what may be displaced beside the stops in progress."""
    capacity = largest = 0
    stopping: dict[model.TeamId, int] = {}
    for worker in workers:
        millicores = worker.entry.capacity.millicores
        capacity += millicores
        largest = max(largest, millicores)
        for run in worker.runs_by_key.values():
            if run.stop is not None and run.stop.reason == REASON:
                customer_id = run.task.step.job.customer_id
                stopping[customer_id] = (
                    stopping.get(customer_id, 0)
                    + run.task.step.spec.size.millicores
                )
    bound = max(int(MAX_DISPLACED_SHARE * capacity), largest)
    return Limits(
        bound - sum(stopping.values()),
        stopping,
        int(MAX_CUSTOMER_SHARE * bound),
        customers_over_share,
    )


def may_displace(now: float, step: work.StepRun) -> bool:
    """Return whether other runs may be stopped for a waiting step.

    It must be urgent or a gang, and still be in time once they stopped.
    """
    job = step.job
    urgent = job.queue.priority == ordering.URGENT_PRIORITY
    return (
        (urgent or step.spec.gang)
        and not (
            job.over_share
            or job.is_long_running
            or step.spec.filler
            or step.spec.single_rack
            or step.suspect_indexes
        )
        and step.room.displacements < MAX_DISPLACEMENTS
        and now + STOP_S <= ordering.latest_start(step)
    )


def choose(
    now: float,
    step: work.StepRun,
    candidates: list[packing.Candidate],
    limits: Limits,
    needed: int,
) -> Displacement | None:
    """Return the displacement that loses least, or ``None``.

    A gang finds room for all its tasks or none.  Nothing is displaced if the
    step is expected to find room by itself in time.

    :param candidates: workers on which the step may start.
    :param needed: number of tasks that wait and may start.
    """
    if not step.spec.gang:
        # Beyond the limit, nothing would be displaced at all.
        permitted = limits.millicores // max(1, step.spec.size.millicores)
        needed = min(needed, max(1, permitted))
    if _finds_room(now, step, candidates, needed):
        return None
    over_share = limits.customers_over_share
    found = None
    if over_share:
        found = _choose_among(now, step, candidates, limits, needed, True)
    if found is None and step.job.customer_id not in over_share:
        found = _choose_among(now, step, candidates, limits, needed, False)
    return found


def _finds_room(
    now: float,
    step: work.StepRun,
    candidates: list[packing.Candidate],
    needed: int,
) -> bool:
    """Return whether enough runs are expected to end in time."""
    spec = msgspec.structs.replace(step.spec, count=needed)
    found = forecast.earliest_fit(now, spec, candidates)
    if found is None:
        return False
    margin_s = GANG_MARGIN_S if spec.gang else 0.0
    due_at = ordering.latest_start(step) - margin_s
    return found[0] <= max(now + STOP_S, due_at)


def _choose_among(
    now: float,
    step: work.StepRun,
    candidates: list[packing.Candidate],
    limits: Limits,
    needed: int,
    only_over_share: bool,
) -> Displacement | None:
    searches = [
        _WorkerSearch(now, step, candidate, limits, only_over_share)
        for candidate in candidates
    ]
    queue = [
        (search.next_cost, position)
        for position, search in enumerate(searches)
        if search.next_plan is not None
    ]
    heapq.heapify(queue)
    spec = step.spec
    task_core_s = (
        spec.size.millicores / 1000 * max(spec.estimate_s, work.MIN_ESTIMATE_S)
    )
    count = 0
    while queue and count < needed:
        cost, position = heapq.heappop(queue)
        if not spec.gang and cost >= task_core_s:
            break
        searches[position].take_next()
        count += 1
        if searches[position].next_plan is not None:
            heapq.heappush(queue, (searches[position].next_cost, position))
    if not count or (spec.gang and count < needed):
        return None
    return _displacement(searches, count, count * task_core_s, limits)


def _displacement(
    searches: 'list[_WorkerSearch]',
    count: int,
    gained_core_s: float,
    limits: Limits,
) -> Displacement | None:
    """Return what was found unless it exceeds a limit or the gain."""
    taken = [search for search in searches if search.plan is not None]
    runs = [run for search in taken for run in search.runs()]
    lost_core_s = sum(
        search.plan.lost_s for search in taken if search.plan is not None
    )
    by_customer = dict(limits.millicores_by_customer)
    for run in runs:
        customer_id = run.task.step.job.customer_id
        by_customer[customer_id] = (
            by_customer.get(customer_id, 0)
            + run.task.step.spec.size.millicores
        )
    stopping = sum(run.task.step.spec.size.millicores for run in runs)
    if (
        not runs
        or lost_core_s >= gained_core_s
        or stopping > limits.millicores
        or any(
            by_customer[run.task.step.job.customer_id]
            > limits.max_per_customer
            for run in runs
        )
    ):
        return None
    return Displacement(
        tuple(runs),
        frozenset(search.worker_id for search in taken),
        count,
        lost_core_s,
        gained_core_s,
    )


class _WorkerSearch:
    """Search for the runs to stop on one worker, for one task after another.

    ``plan`` makes room for the tasks taken so far, ``next_plan`` for one
    more; each is ``None`` if there is none.
    """

    def __init__(
        self,
        now: float,
        step: work.StepRun,
        candidate: packing.Candidate,
        limits: Limits,
        only_over_share: bool,
    ) -> None:
        worker = candidate.worker
        self.worker_id = worker.entry.worker_id
        self._size = step.spec.size
        self._max_count = step.spec.count
        if step.spec.max_per_worker:
            self._max_count = (
                step.spec.max_per_worker
                - step.run_counts_by_worker.get(self.worker_id, 0)
            )
        self._runs_by_task: dict[model.TaskId, tracking.Run] = {}
        self._candidates: list[preemption.Candidate] = []
        self._free = model.Resources(
            candidate.free_cpu, candidate.free_memory, candidate.free_gpu
        )
        for run in worker.runs_by_key.values():
            self._add(now, step, run, limits, only_over_share)
        self._count = 0
        self.plan: preemption.Plan | None = None
        self.next_plan = self._plan_for(1)

    def _add(
        self,
        now: float,
        step: work.StepRun,
        run: tracking.Run,
        limits: Limits,
        only_over_share: bool,
    ) -> None:
        spec = run.task.step.spec
        if run.stop is not None or _ends_soon(now, run):
            freed = spec.size
            if spec.filler:
                freed = msgspec.structs.replace(freed, millicores=0)
            self._free = self._free + freed
        elif _is_displaceable(now, step, run) and limits.permit(
            run, only_over_share
        ):
            self._runs_by_task[run.task.id] = run
            self._candidates.append(
                preemption.Candidate(
                    run.task.id,
                    spec.size,
                    model.Urgency.PATIENT,
                    preemptible=True,
                    can_checkpoint=True,
                    idempotent=False,
                    ran_s=0.0,
                    checkpoint_lost_s=lost_core_s(now, run),
                )
            )

    def _plan_for(self, count: int) -> preemption.Plan | None:
        if count > self._max_count:
            return None
        return preemption.plan_preemption(
            self.worker_id, self._free, self._size * count, self._candidates
        )

    @property
    def next_cost(self) -> float:
        """Return what one more task adds to the loss."""
        assert self.next_plan is not None
        taken_s = self.plan.lost_s if self.plan is not None else 0.0
        return self.next_plan.lost_s - taken_s

    def take_next(self) -> None:
        """Make room for one more task."""
        self.plan = self.next_plan
        self._count += 1
        self.next_plan = self._plan_for(self._count + 1)

    def runs(self) -> list[tracking.Run]:
        """Return the runs to stop."""
        if self.plan is None:
            return []
        return [self._runs_by_task[item.task_id] for item in self.plan.steps]


def _ends_soon(now: float, run: tracking.Run) -> bool:
    """Return whether a run ends by itself before it would be stopped.

    Only its progress tells: declared run times are often inaccurate.
    """
    return (
        run.percent >= forecast.MIN_PROGRESS_PERCENT
        and forecast.expected_end(now, run) <= now + STOP_S
    )


def _is_displaceable(
    now: float, step: work.StepRun, run: tracking.Run
) -> bool:
    """Return whether a run may be stopped for a step.

    A job is displaced once in its life: jobs that are displaced again and
    again would do little but resume.
    """
    spec = run.task.step.spec
    job = run.task.step.job
    return (
        job.queue.priority > step.job.queue.priority
        and spec.checkpoints
        and not (spec.gang or spec.filler or job.is_long_running)
        and run.is_primary
        and not run.on_probation
        and run.state is tracking.RunState.CONFIRMED
        and job.displaced_at in (None, now)
    )


def lost_core_s(now: float, run: tracking.Run) -> float:
    """Return what the displacement of a run costs, in core-seconds."""
    step = run.task.step
    job = step.job
    cores = step.spec.size.millicores / 1000
    lost = cores * (STOP_S + RESTORE_S)
    rest_s = forecast.expected_end(now, run) - now
    after_s = job.remaining_s_by_step[step.number] - step.spec.estimate_s
    ends_at = now + rest_s + max(0.0, after_s)
    objective_at = job.objective_at(step.occurrence)
    delay_s = STOP_S + REQUEUE_S + RESTORE_S
    if ends_at <= objective_at < ends_at + delay_s:
        lost += cores * max(step.spec.estimate_s, work.MIN_ESTIMATE_S)
    return lost


def over_share(
    usage_by_customer: Mapping[model.TeamId, int],
    customers_by_id: Mapping[model.TeamId, specs.Customer],
) -> frozenset[model.TeamId]:
    """Return the customers that use more than their share of what is used.

    :param usage_by_customer: processors in use.
    """
    used = {
        customer_id: amount
        for customer_id, amount in usage_by_customer.items()
        if amount > 0 and customer_id in customers_by_id
    }
    weights = {
        customer_id: customers_by_id[customer_id].weight
        for customer_id in used
    }
    total = sum(used.values())
    total_weight = sum(weights.values())
    return frozenset(
        customer_id
        for customer_id, amount in used.items()
        if amount * total_weight > weights[customer_id] * total
    )
