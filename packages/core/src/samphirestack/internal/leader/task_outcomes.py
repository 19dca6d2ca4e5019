"""State changes of tasks and jobs when attempts end, are lost or cancelled."""

import collections

from samphirestack.internal.decisions import services
from samphirestack.internal.leader import task_queue
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model

MAX_FINISHED_JOBS = 20_000
"""Finished jobs that are remembered, so that a row that was read before
the final state was written does not start the job again."""

MAX_EARLY_ENDS = 50_000
"""Ends of tasks that are kept until their job rows are read."""

MAX_LOSSES = 5
"""Attempts lost one after the other after which a task is given up, since it
may end each worker that starts it.  Services are always started again."""

FIRST_RETRY_DELAY_S = 0.2
"""Delay before the first retry of a failed task; doubles per failure."""


class EarlyEnd:
    """The end of a task whose job row has not been read yet."""

    __slots__ = ('attempt', 'reason', 'state')

    def __init__(
        self, attempt: int, state: model.TaskState, reason: str
    ) -> None:
        self.attempt = attempt
        self.state = state
        self.reason = reason


class Outcomes:
    """Moves tasks and jobs to their next states."""

    def __init__(
        self, pool: worker_pool.WorkerPool, waiting: task_queue.WaitingWork
    ) -> None:
        self._pool = pool
        self._waiting = waiting
        self.jobs_by_id: dict[model.JobId, task_state.JobEntry] = {}
        self.removals_by_identity: dict[int, task_state.Task] = {}
        """Tasks to remove from their workers, by identity."""
        self.early_ends: collections.OrderedDict[model.TaskId, EarlyEnd] = (
            collections.OrderedDict()
        )
        self._finished: collections.OrderedDict[model.JobId, None] = (
            collections.OrderedDict()
        )
        self._changed: dict[model.JobId, task_state.JobEntry] = {}

    def is_finished(self, job_id: model.JobId) -> bool:
        """Return whether a job reached its final state in this term."""
        return job_id in self._finished

    def mark_changed(self, entry: task_state.JobEntry) -> None:
        """Mark the row of a job as to be written."""
        self._changed[entry.job.job_id] = entry

    def pop_changed_records(self) -> list[model.JobRecord]:
        """Remove and return the rows that have to be written."""
        records = [entry.record() for entry in self._changed.values()]
        self._changed.clear()
        return records

    def handle_attempt_end(
        self,
        now: float,
        task: task_state.Task,
        state: model.TaskState,
        reason: str,
    ) -> None:
        """Handle the end of an attempt that an agent reported."""
        worker_id = task.worker_id
        assert worker_id is not None
        if task.job is None:
            self.record_early_end(task.task_id, task.attempt, state, reason)
        if state is model.TaskState.SUCCEEDED:
            self._pool.quarantine.record_success(worker_id, now, task.task_id)
            self._learn_run_time(now, task)
        elif state is model.TaskState.FAILED:
            self._record_worker_failure(now, task, worker_id)
        ran_s = max(0.0, now - min(task.confirmed_at, now))
        cancelled = task.removal_reason is task_state.RemovalReason.CANCEL
        self._uncommit(now, task)
        if cancelled and task.job is not None:
            self.end_task(now, task, state, reason)
        else:
            self.apply_end(now, task, state, reason, ran_s)

    def apply_end(
        self,
        now: float,
        task: task_state.Task,
        state: model.TaskState,
        reason: str,
        ran_s: float = 0.0,
    ) -> None:
        """Finish, retry or requeue an uncommitted task after its attempt."""
        entry = task.job
        if entry is None:
            return
        if state is model.TaskState.LOST:
            task.losses += 1
        elif state is not model.TaskState.STOPPED:
            task.losses = 0
        if entry.state.is_final:
            self.end_task(now, task, state, reason)
        elif state is model.TaskState.SUCCEEDED and not entry.is_service:
            self.end_task(now, task, state, '')
        elif state is model.TaskState.CHECKPOINTED:
            task.may_have_run = False
            self.requeue(now, task, 0.0)
        elif state in (model.TaskState.FAILED, model.TaskState.SUCCEEDED):
            self._handle_failure(now, task, entry, reason, ran_s)
        else:
            self.handle_lost(now, task, reason or 'it was stopped')

    def handle_lost(
        self, now: float, task: task_state.Task, reason: str
    ) -> None:
        """Handle an uncommitted task that is lost without a result."""
        entry = task.job
        if entry is None:
            return
        if entry.state.is_final:
            self.end_task(now, task, model.TaskState.STOPPED, reason)
        elif task.may_have_run and not entry.job.idempotent:
            self.end_task(
                now,
                task,
                model.TaskState.FAILED,
                f'task {task.index} may have run and has no result: '
                f'{reason}; the job is not idempotent, so it is not started '
                f'again',
            )
        elif task.losses >= MAX_LOSSES and not entry.is_service:
            why = f'task {task.index} was lost {task.losses} times: {reason}'
            self.end_task(now, task, model.TaskState.FAILED, why)
        else:
            self.requeue(now, task, 0.0)

    def release_task(
        self, now: float, task: task_state.Task, reason: str
    ) -> None:
        """Release a committed task that does not run; handle its loss."""
        started = task.phase is not task_state.Phase.PREPARED
        if started and task.removal_reason is None:
            task.losses += 1
        self._release(now, task, reason)

    def _release(self, now: float, task: task_state.Task, reason: str) -> None:
        cancelled = task.removal_reason is task_state.RemovalReason.CANCEL
        self._uncommit(now, task)
        if cancelled and task.job is not None:
            self.end_task(now, task, model.TaskState.STOPPED, reason)
        else:
            self.handle_lost(now, task, reason)

    def withdraw_placement(self, now: float, task: task_state.Task) -> None:
        """Undo a placement whose start was certainly not accepted."""
        if task.phase is not task_state.Phase.PREPARED:
            task.attempt -= 1
            task.may_have_run = False
        self._release(now, task, '')

    def postpone_placement(
        self, now: float, task: task_state.Task, delay_s: float
    ) -> None:
        """Undo a placement that did not lead to a start in time."""
        self._uncommit(now, task)
        self.requeue(now, task, delay_s)

    def requeue(
        self, now: float, task: task_state.Task, delay_s: float
    ) -> None:
        """Queue an uncommitted task again."""
        entry = task.job
        assert entry is not None
        if entry.is_gang:
            task.phase = task_state.Phase.QUEUED
            self.requeue_gang(now, entry)
        elif delay_s > 0:
            self._waiting.add_delayed(task, now + delay_s)
        else:
            self._waiting.add_task(task)

    def requeue_gang(self, now: float, entry: task_state.JobEntry) -> None:
        """Stop the running tasks of a gang, and queue it when none runs.

        Started tasks of a gang that is not idempotent are never stopped;
        its other tasks are started in addition to them.  A gang of which a
        task has failed is not queued; its other tasks are cancelled.
        """
        if entry.is_failed_gang:
            self._cancel_gang(now, entry)
            self.mark_changed(entry)
            self._finish_if_done(entry)
            return
        for task in entry.committed():
            if task.phase is task_state.Phase.PREPARED:
                self._uncommit(now, task)
                task.phase = task_state.Phase.QUEUED
            elif entry.job.idempotent:
                self.request_removal(task, task_state.RemovalReason.REGROUP)
        phases = {task.phase for task in entry.tasks_by_index.values()}
        if task_state.Phase.HELD in phases:
            return
        if not entry.job.idempotent or not phases & task_state.COMMITTED:
            self._waiting.add_gang(entry)

    def request_removal(
        self,
        task: task_state.Task,
        removal_reason: task_state.RemovalReason,
        checkpoint: bool = False,
    ) -> None:
        """Request the removal of a task from its worker."""
        if (
            task.removal_reason is None
            or removal_reason is task_state.RemovalReason.CANCEL
        ):
            task.removal_reason = removal_reason
            task.checkpointing = checkpoint
            task.removal_asked_at = -task_state.NEVER_S
            self.removals_by_identity[id(task)] = task

    def end_task(
        self,
        now: float,
        task: task_state.Task,
        state: model.TaskState,
        reason: str,
    ) -> None:
        """Record the final state of an uncommitted task."""
        entry = task.job
        assert entry is not None
        task.phase = task_state.Phase.ENDED
        entry.tasks_by_index.pop(task.index, None)
        if not entry.state.is_final:
            entry.ended[task.index] = state
            if state is model.TaskState.FAILED and not entry.reason:
                entry.reason = reason
            self.mark_changed(entry)
            if entry.is_gang and state is model.TaskState.FAILED:
                self._cancel_gang(now, entry)
            elif entry.is_gang:
                self._requeue_gang_rest(now, entry)
        self._finish_if_done(entry)

    def finish_job(
        self,
        now: float,
        entry: task_state.JobEntry,
        state: model.JobState,
        reason: str,
        write: bool,
    ) -> None:
        """Set the final state of a job and end all its tasks.

        :param write: whether the row still has to be written.
        """
        if entry.state.is_final:
            return
        entry.state = state
        entry.reason = reason or entry.reason
        if write:
            self.mark_changed(entry)
        self._cancel_tasks(now, entry, keep_started=False)
        self._finish_if_done(entry)

    def record_finished_job(self, entry: task_state.JobEntry) -> None:
        """Record a job whose row was already final when it was read."""
        entry.tasks_by_index.clear()
        for index in range(entry.job.tasks):
            task_id = model.task_id(entry.job.job_id, index)
            self.early_ends.pop(task_id, None)
        self._finish_if_done(entry)

    def record_early_end(
        self,
        task_id: model.TaskId,
        attempt: int,
        state: model.TaskState,
        reason: str,
    ) -> None:
        """Keep the end of a task until its job row is read."""
        self.early_ends[task_id] = EarlyEnd(attempt, state, reason)
        self.early_ends.move_to_end(task_id)
        if len(self.early_ends) > MAX_EARLY_ENDS:
            self.early_ends.popitem(last=False)

    def _uncommit(self, now: float, task: task_state.Task) -> None:
        self._pool.release(now, task)
        self.removals_by_identity.pop(id(task), None)
        task.clear_attempt()
        task.phase = task_state.Phase.QUEUED

    def _requeue_gang_rest(
        self, now: float, entry: task_state.JobEntry
    ) -> None:
        """Queue the tasks of a gang that waited for the end of another."""
        phases = [task.phase for task in entry.tasks_by_index.values()]
        if task_state.Phase.QUEUED in phases:
            self.requeue_gang(now, entry)

    def _cancel_gang(self, now: float, entry: task_state.JobEntry) -> None:
        self._cancel_tasks(now, entry, keep_started=not entry.job.idempotent)

    def _cancel_tasks(
        self,
        now: float,
        entry: task_state.JobEntry,
        keep_started: bool,
    ) -> None:
        """End the uncommitted tasks of a job and stop the committed ones.

        :param keep_started: whether tasks that run, or that may run on a
            worker that has not reported, go on.
        """
        entry.gang_queued = False
        for task in list(entry.tasks_by_index.values()):
            if task.phase is task_state.Phase.PREPARED:
                self._uncommit(now, task)
            if keep_started and task.phase is task_state.Phase.HELD:
                continue
            if not task.is_committed:
                task.phase = task_state.Phase.ENDED
                entry.tasks_by_index.pop(task.index, None)
                if not entry.state.is_final:
                    entry.ended[task.index] = model.TaskState.STOPPED
            elif not keep_started:
                self.request_removal(task, task_state.RemovalReason.CANCEL)

    def _finish_if_done(self, entry: task_state.JobEntry) -> None:
        if entry.tasks_by_index:
            return
        if not entry.state.is_final:
            succeeded = all(
                state is model.TaskState.SUCCEEDED
                for state in entry.ended.values()
            )
            entry.state = (
                model.JobState.SUCCEEDED
                if succeeded
                else model.JobState.FAILED
            )
        self.jobs_by_id.pop(entry.job.job_id, None)
        self._finished[entry.job.job_id] = None
        if len(self._finished) > MAX_FINISHED_JOBS:
            self._finished.popitem(last=False)

    def _handle_failure(
        self,
        now: float,
        task: task_state.Task,
        entry: task_state.JobEntry,
        reason: str,
        ran_s: float,
    ) -> None:
        if entry.is_service:
            task.failures = services.next_failure_count(task.failures, ran_s)
        else:
            task.failures += 1
        if not entry.job.idempotent:
            why = f'task {task.index} failed: {reason or "no reason given"}'
            self.end_task(now, task, model.TaskState.FAILED, why)
        elif entry.is_service:
            delay_s = services.restart_delay_s(task.failures)
            self.requeue(now, task, delay_s)
        elif task.failures >= entry.profile.max_attempts:
            why = (
                f'task {task.index} failed {task.failures} times, at last: '
                f'{reason or "no reason given"}'
            )
            self.end_task(now, task, model.TaskState.FAILED, why)
        else:
            delay_s = FIRST_RETRY_DELAY_S * float(2 ** (task.failures - 1))
            self.requeue(now, task, delay_s)

    def _record_worker_failure(
        self, now: float, task: task_state.Task, worker_id: model.WorkerId
    ) -> None:
        task.avoid.add(worker_id)
        job_id = model.JobId(task.task_id.rpartition('/')[0])
        self._pool.quarantine.record_failure(
            now, worker_id, job_id, task.task_id
        )

    def _learn_run_time(self, now: float, task: task_state.Task) -> None:
        if task.job is None or task.throttled:
            return
        ran_s = now - task.confirmed_at
        if ran_s > 0:
            self._pool.estimates.record_run_time(task.job.job, ran_s)
