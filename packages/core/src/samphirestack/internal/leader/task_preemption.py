"""Preemption for blocked urgent tasks, the next gang and lowered slices."""

from collections.abc import Iterator

from samphirestack.internal.decisions import gangs
from samphirestack.internal.decisions import preemption
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_outcomes
from samphirestack.internal.leader import task_planner
from samphirestack.internal.leader import task_queue
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model

MAX_WORKERS_COMPARED = 64
"""Workers compared for one urgent task; the next search starts after them."""

SLICE_CHECK_INTERVAL_S = 1.0
"""Time between checks for teams that exceed their slices."""

ORDER_RETRY_S = 2.0
"""Time after which a call without effect on a task is sent again."""


class Preemption:
    """Removes running tasks from workers and reserves the freed room."""

    def __init__(
        self,
        pool: worker_pool.WorkerPool,
        outcomes: task_outcomes.Outcomes,
        planner: task_planner.Planner,
    ) -> None:
        self._pool = pool
        self._outcomes = outcomes
        self._planner = planner
        self._next_worker = 0
        self._reserving_gang: str | None = None
        self._throttle_changes_by_identity: dict[int, task_state.Task] = {}
        """Tasks whose worker has not confirmed the wanted throttle."""
        self._throttled_by_identity: dict[int, task_state.Task] = {}
        self._slices_checked_at = -task_state.NEVER_S

    def make_room(self, now: float, blocked: task_planner.Blocked) -> None:
        """Choose the tasks to remove or throttle."""
        for item in blocked.urgent_items:
            if item.task is not None and _is_urgent(item.job):
                self._make_room_for_task(now, item.job, item.task)
        self._reserve_for_gang(now, blocked.gang)
        self._reduce_teams_over_slice(now)

    def pop_actions(self, now: float) -> list[actions.Action]:
        """Return the calls that are due for tasks to remove or throttle."""
        due: list[actions.Action] = []
        for task in self._outcomes.removals_by_identity.values():
            worker_id = task.worker_id
            if (
                worker_id is None
                or now < task.removal_asked_at + ORDER_RETRY_S
            ):
                continue
            if not self._pool.workers_by_id[worker_id].reachable:
                continue
            task.removal_asked_at = now
            kind = (
                actions.CheckpointTask
                if task.checkpointing
                else actions.StopTask
            )
            due.append(kind(worker_id, task.task_id))
        return due + self._throttle_actions(now)

    def confirm_throttle(self, action: actions.ThrottleTask) -> None:
        """Record that a worker has applied a throttle."""
        worker = self._pool.workers_by_id.get(action.worker_id)
        if worker is None:
            return
        task = worker.tasks_by_id.get(action.task_id)
        if task is not None and action.percent == _throttle_percent(task):
            self._throttle_changes_by_identity.pop(id(task), None)

    def _throttle_actions(self, now: float) -> list[actions.Action]:
        due: list[actions.Action] = []
        for key, task in list(self._throttle_changes_by_identity.items()):
            worker_id = task.worker_id
            running = task.phase is task_state.Phase.RUNNING
            if worker_id is None or not running:
                del self._throttle_changes_by_identity[key]
                continue
            retry_at = task.throttle_asked_at + ORDER_RETRY_S
            if (
                now < retry_at
                or not self._pool.workers_by_id[worker_id].reachable
            ):
                continue
            task.throttle_asked_at = now
            due.append(
                actions.ThrottleTask(
                    worker_id, task.task_id, _throttle_percent(task)
                )
            )
        return due

    def _make_room_for_task(
        self,
        now: float,
        entry: task_state.JobEntry,
        task: task_state.Task,
    ) -> None:
        if self._planner.reservation(task.task_id) is not None:
            return
        need = self._planner.need(entry.job)
        plan = preemption.cheapest_plan(self._room_plans(now, need))
        if plan is None:
            return
        self._apply_plan(plan)
        self._planner.reserve(
            gangs.Reservation(task.task_id, now, now, {plan.worker_id: need})
        )

    def _room_plans(
        self, now: float, need: model.Resources
    ) -> Iterator[preemption.Plan]:
        workers = list(self._pool.workers_by_id)
        reserved = {
            worker_id
            for reservation in self._planner.reservations()
            for worker_id in reservation.needs_by_worker
        }
        first = self._next_worker
        compared = 0
        for step in range(len(workers)):
            worker_id = workers[(first + step) % len(workers)]
            state = self._pool.index.state(worker_id)
            usable = state.usable and worker_id not in reserved
            if not usable or not need.fits_in(state.capacity):
                continue
            plan = preemption.plan_preemption(
                worker_id, state.free, need, self._candidates(now, worker_id)
            )
            if plan is None:
                continue
            yield plan
            compared += 1
            if compared == MAX_WORKERS_COMPARED:
                self._next_worker = (first + step + 1) % len(workers)
                return

    def _candidates(
        self, now: float, worker_id: model.WorkerId
    ) -> Iterator[preemption.Candidate]:
        tasks_by_id = self._pool.workers_by_id[worker_id].tasks_by_id
        for task in tasks_by_id.values():
            entry = task.job
            running = task.phase is task_state.Phase.RUNNING
            if entry is None or not running or task.removal_reason is not None:
                continue
            yield _candidate(now, entry, task)

    def _apply_plan(self, plan: preemption.Plan) -> None:
        tasks_by_id = self._pool.workers_by_id[plan.worker_id].tasks_by_id
        for step in plan.steps:
            self._outcomes.request_removal(
                tasks_by_id[step.task_id],
                task_state.RemovalReason.PREEMPT,
                step.method is preemption.Method.CHECKPOINT,
            )

    def _reserve_for_gang(
        self, now: float, item: task_queue.Item | None
    ) -> None:
        holder = None if item is None else str(item.job.job.job_id)
        if self._reserving_gang is not None and holder != self._reserving_gang:
            self._planner.release_reservation(self._reserving_gang)
        self._reserving_gang = holder
        if item is None or holder is None:
            return
        old = self._planner.reservation(holder)
        if old is None or now >= old.created_at + gangs.REFRESH_S:
            self._planner.release_reservation(holder)
            new = gangs.reserve(
                now,
                holder,
                item.job.job.resources,
                len(item.job.tasks_by_index) - len(item.job.committed()),
                self._worker_loads(now, _is_urgent(item.job)),
            )
            if new is not None:
                self._planner.reserve(new)
        reservation = self._planner.reservation(holder)
        if reservation is not None:
            self._clear_reserved_workers(
                now, reservation, _is_urgent(item.job)
            )

    def _worker_loads(
        self, now: float, may_preempt: bool
    ) -> Iterator[gangs.WorkerLoad]:
        """Return the loads of usable workers, with reserved room as used."""
        for worker_id, worker in self._pool.workers_by_id.items():
            state = self._pool.index.state(worker_id)
            if not state.usable:
                continue
            expected_ends = tuple(
                gangs.ExpectedEnd(
                    self._ends_at(now, task, may_preempt), task.need
                )
                for task in worker.tasks_by_id.values()
            )
            free = state.free - self._planner.reserved_on(worker_id)
            yield gangs.WorkerLoad(worker_id, free, expected_ends)

    def _ends_at(
        self, now: float, task: task_state.Task, may_preempt: bool
    ) -> float:
        entry = task.job
        if entry is None:
            return task_state.NEVER_S
        if task.removal_reason is not None:
            return now
        if may_preempt:
            method = preemption.freeing_method(_candidate(now, entry, task))
            if method is not None:
                return now
        began = min(task.sent_at, task.confirmed_at, now)
        expected = began + self._pool.estimates.run_time_s(entry.job)
        # A task that exceeds its estimate is expected to run half as long
        # again, so that reservations don't rely on a wrong estimate.
        return max(expected, now + (now - began) / 2)

    def _clear_reserved_workers(
        self, now: float, reservation: gangs.Reservation, urgent: bool
    ) -> None:
        """Preempt overdue backfill, and tasks in the way of an urgent gang."""
        for worker_id, need in reservation.needs_by_worker.items():
            worker = self._pool.workers_by_id.get(worker_id)
            if worker is None:
                continue
            if urgent and now >= reservation.start_at:
                plan = preemption.plan_preemption(
                    worker_id,
                    self._pool.index.state(worker_id).free,
                    need,
                    self._candidates(now, worker_id),
                )
                if plan is not None:
                    self._apply_plan(plan)
            for task in list(worker.tasks_by_id.values()):
                until = task.backfill_until
                if until is None or now <= until or task.job is None:
                    continue
                task.job.may_backfill = False
                self._preempt(now, task)

    def _preempt(self, now: float, task: task_state.Task) -> bool:
        entry = task.job
        if entry is None or task.phase is not task_state.Phase.RUNNING:
            return False
        method = preemption.freeing_method(_candidate(now, entry, task))
        if method is None:
            return False
        self._outcomes.request_removal(
            task,
            task_state.RemovalReason.PREEMPT,
            method is preemption.Method.CHECKPOINT,
        )
        return True

    def _reduce_teams_over_slice(self, now: float) -> None:
        """Reduce the usage of teams whose slices were lowered below it.

        Tasks that may not be removed are throttled until the team no longer
        exceeds its slice.
        """
        if now < self._slices_checked_at + SLICE_CHECK_INTERVAL_S:
            return
        self._slices_checked_at = now
        over = self._pool.teams_over_slice()
        for task in list(self._throttled_by_identity.values()):
            if task.team not in over:
                del self._throttled_by_identity[id(task)]
                self._set_throttled(task, False)
        for team, excess in over.items():
            tasks_by_id = self._running_tasks_of(team)
            steps = preemption.plan_reduction(
                excess,
                [
                    _candidate(now, task.job, task)
                    for task in tasks_by_id.values()
                    if task.job is not None
                ],
            )
            for step in steps:
                self._apply_step(tasks_by_id[step.task_id], step.method)

    def _running_tasks_of(
        self, team: model.TeamId
    ) -> dict[model.TaskId, task_state.Task]:
        return {
            task.task_id: task
            for worker in self._pool.workers_by_id.values()
            for task in worker.tasks_by_id.values()
            if task.team == team and task.phase is task_state.Phase.RUNNING
        }

    def _apply_step(
        self, task: task_state.Task, method: preemption.Method
    ) -> None:
        if method is not preemption.Method.THROTTLE:
            self._outcomes.request_removal(
                task,
                task_state.RemovalReason.PREEMPT,
                method is preemption.Method.CHECKPOINT,
            )
        elif not task.throttled:
            self._throttled_by_identity[id(task)] = task
            self._set_throttled(task, True)

    def _set_throttled(self, task: task_state.Task, throttled: bool) -> None:
        task.throttled = throttled
        task.throttle_asked_at = -task_state.NEVER_S
        self._throttle_changes_by_identity[id(task)] = task


def _throttle_percent(task: task_state.Task) -> int:
    return preemption.THROTTLE_PERCENT if task.throttled else 100


def _is_urgent(entry: task_state.JobEntry) -> bool:
    return entry.profile.urgency is model.Urgency.URGENT


def _candidate(
    now: float, entry: task_state.JobEntry, task: task_state.Task
) -> preemption.Candidate:
    return preemption.Candidate(
        task.task_id,
        task.need,
        entry.profile.urgency,
        entry.profile.preemptible,
        entry.profile.checkpoint,
        entry.job.idempotent,
        max(0.0, now - min(task.confirmed_at, now)),
        task.removal_reason is not None,
    )
