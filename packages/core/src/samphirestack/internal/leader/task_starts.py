"""Starts of placed tasks, once the rows that record them are written."""

import enum

from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_outcomes
from samphirestack.internal.leader import task_reconciler
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model
from samphirestack import platform

ROW_WRITE_TIMEOUT_S = 3.0
"""Time that a placed task waits for the write of its row."""


class StartOutcome(enum.Enum):
    """How a call to start a task ended."""

    ACCEPTED = 'accepted'
    NOT_STARTED = 'not_started'
    """The call certainly had no effect."""

    REFUSED = 'refused'
    """The agent refused it; an earlier attempt may still run there."""

    UNKNOWN = 'unknown'


class Starts:
    """Placed tasks whose start has not been sent to their workers."""

    def __init__(
        self,
        pool: worker_pool.WorkerPool,
        outcomes: task_outcomes.Outcomes,
        reconciler: task_reconciler.TaskReconciler,
    ) -> None:
        self._pool = pool
        self._outcomes = outcomes
        self._reconciler = reconciler
        self._prepared: dict[model.TaskId, task_state.Task] = {}

    def prepare(self, now: float, task: task_state.Task) -> None:
        """Add a placed task and record its attempt in its row if needed."""
        entry = task.job
        assert entry is not None
        self._prepared[task.task_id] = task
        task.sent_at = now
        attempt = task.attempt + 1
        recorded = entry.dispatched.get(task.index, 0) >= attempt
        if not entry.job.idempotent and not recorded:
            entry.dispatched[task.index] = attempt
            self._outcomes.mark_changed(entry)

    def pop_ready(self, now: float) -> list[actions.Action]:
        """Return starts whose rows are written; postpone overdue ones."""
        starts: list[actions.Action] = []
        for task in list(self._prepared.values()):
            entry = task.job
            assert entry is not None
            if task.phase is not task_state.Phase.PREPARED:
                del self._prepared[task.task_id]
            elif self._may_start(entry, task):
                del self._prepared[task.task_id]
                starts.append(self._start(now, entry, task))
            elif now >= task.sent_at + ROW_WRITE_TIMEOUT_S:
                del self._prepared[task.task_id]
                self._outcomes.postpone_placement(
                    now, task, ROW_WRITE_TIMEOUT_S
                )
        return starts

    def record_outcome(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        attempt: int,
        outcome: StartOutcome,
    ) -> None:
        """Record how the call to start a task ended.

        A task whose start got no clear answer stays committed on the worker
        until its agent lists it, or until a list without it was requested
        when the call could not arrive any more.
        """
        task = self._find_starting(worker_id, task_id, attempt)
        if task is None:
            return
        if outcome is StartOutcome.ACCEPTED:
            self._reconciler.confirm_running(now, task, now)
        elif outcome is StartOutcome.NOT_STARTED:
            self._outcomes.withdraw_placement(now, task)
        else:
            task.start_unconfirmed = True
            if outcome is StartOutcome.REFUSED:
                self._handle_refusal(now, worker_id, task)

    def _handle_refusal(
        self, now: float, worker_id: model.WorkerId, task: task_state.Task
    ) -> None:
        """Keep the worker out of use until its list of tasks is read."""
        task.start_refused = True
        task.sent_at = -task_state.NEVER_S
        self._pool.workers_by_id[worker_id].needs_query = True
        job_id = model.JobId(task.task_id.rpartition('/')[0])
        self._pool.quarantine.record_failure(
            now, worker_id, job_id, task.task_id
        )
        self._pool.refresh_usable(now, worker_id)

    def _find_starting(
        self,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        attempt: int,
    ) -> task_state.Task | None:
        worker = self._pool.workers_by_id.get(worker_id)
        if worker is None:
            return None
        task = worker.tasks_by_id.get(task_id)
        if task is None or task.attempt != attempt:
            return None
        if task.phase is not task_state.Phase.STARTING:
            return None
        return task

    def _may_start(
        self, entry: task_state.JobEntry, task: task_state.Task
    ) -> bool:
        if entry.job.idempotent:
            return True
        required = (
            [t for t in entry.committed() if t.phase == task.phase]
            if entry.is_gang
            else [task]
        )
        return all(
            entry.stored_dispatched.get(t.index, 0) >= t.attempt + 1
            for t in required
        )

    def _start(
        self,
        now: float,
        entry: task_state.JobEntry,
        task: task_state.Task,
    ) -> actions.StartTask:
        task.phase = task_state.Phase.STARTING
        task.attempt += 1
        task.sent_at = now
        task.may_have_run = True
        if entry.state is model.JobState.WAITING:
            entry.state = model.JobState.RUNNING
            self._outcomes.mark_changed(entry)
        job = entry.job
        assert task.worker_id is not None
        return actions.StartTask(
            task.worker_id,
            platform.TaskStart(
                task.task_id,
                task.attempt,
                job.job_id,
                job.team,
                task.need,
                0.0 if entry.is_service else job.run_time_s,
                job.payload,
            ),
        )
