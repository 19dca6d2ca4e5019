"""Reconciliation of the tasks that agents report with those expected."""

from samphirestack.internal.leader import task_outcomes
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model
from samphirestack import platform

LEASE_LOST = 'its worker did not answer until its lease had lapsed'
NOT_LISTED = 'its worker no longer lists it'
NOT_FOUND = 'no worker lists it after a change of the zone leader'


class TaskReconciler:
    """Finds out where tasks run after a change of leader or a lost worker."""

    def __init__(
        self,
        pool: worker_pool.WorkerPool,
        outcomes: task_outcomes.Outcomes,
        start_timeout_s: float,
    ) -> None:
        self._pool = pool
        self._outcomes = outcomes
        self._start_timeout_s = start_timeout_s
        self._held_jobs_by_id: dict[model.JobId, task_state.JobEntry] = {}
        self._unmatched_by_job: dict[
            model.JobId, dict[model.TaskId, task_state.Task]
        ] = {}

    def all_workers_reported(self) -> bool:
        """Return whether all tasks that earlier leaders started are known."""
        workers = self._pool.workers_by_id.values()
        return bool(workers) and all(w.reported or w.lost for w in workers)

    def unreported_workers(self) -> list[model.WorkerId]:
        """Return the workers that have not reported and are not lost."""
        return [
            worker.worker_id
            for worker in self._pool.workers_by_id.values()
            if not worker.reported and not worker.lost
        ]

    def hold_tasks(self, entry: task_state.JobEntry) -> None:
        """Hold the tasks of a job until all workers have reported."""
        for task in entry.tasks_by_index.values():
            if not task.is_committed:
                task.phase = task_state.Phase.HELD
        self._held_jobs_by_id[entry.job.job_id] = entry

    def match_job(self, now: float, entry: task_state.JobEntry) -> None:
        """Match a new job entry with tasks of the job that agents reported."""
        unmatched = self._unmatched_by_job.pop(entry.job.job_id, {})
        for reported in unmatched.values():
            task = entry.tasks_by_index.get(task_index(reported.task_id))
            worker_id = reported.worker_id
            if worker_id is None:
                continue
            if task is None or task.is_committed:
                self._outcomes.request_removal(
                    reported, task_state.RemovalReason.STRAY
                )
                continue
            running = _to_running_task(reported)
            confirmed_at = reported.confirmed_at
            self._outcomes.release_task(now, reported, '')
            self._adopt(now, worker_id, task, running, confirmed_at)
        self._apply_early_ends(now, entry)

    def release_held_tasks(self, now: float) -> None:
        """Queue held tasks, or fail those that may not start again."""
        held, self._held_jobs_by_id = self._held_jobs_by_id, {}
        for entry in held.values():
            waiting = [
                task
                for task in entry.tasks_by_index.values()
                if task.phase is task_state.Phase.HELD
            ]
            for task in waiting:
                task.phase = task_state.Phase.QUEUED
            for task in waiting:
                if task.phase is task_state.Phase.QUEUED:
                    self._outcomes.handle_lost(now, task, NOT_FOUND)

    def reconcile(
        self, now: float, status: platform.WorkerStatus, asked_at: float
    ) -> None:
        """Compare the tasks that an agent lists with those expected.

        A list from before the last handled event or before the loss of the
        worker is not used.

        :param asked_at: when the call was sent; later changes may be missing
            in the answer.
        """
        worker = self._pool.workers_by_id.get(status.worker_id)
        if worker is None or status.tasks is None:
            return
        older = status.last_event < worker.last_event_handled
        if asked_at < worker.lost_at or (
            older and asked_at < worker.event_handled_at
        ):
            worker.needs_query = True
            self._pool.refresh_usable(now, worker.worker_id)
            return
        listed = {task.task_id: task for task in status.tasks}
        for task in list(worker.tasks_by_id.values()):
            if task.task_id not in listed:
                self._handle_unlisted(
                    now, worker, task, asked_at, status.last_event
                )
        for running in listed.values():
            self._handle_listed(now, worker, running, asked_at)
        worker.reported = True
        worker.reachable = True
        worker.needs_query = False
        worker.lost = False
        self._pool.refresh_usable(now, worker.worker_id)

    def events_read(
        self, now: float, worker: task_state.WorkerEntry, number: int
    ) -> None:
        """Record that all events up to a number have been handled."""
        worker.last_event_handled = number
        worker.event_handled_at = now
        for task in list(worker.tasks_by_id.values()):
            after = task.missing_at_event
            if after is not None and after <= number:
                self._outcomes.release_task(now, task, NOT_LISTED)

    def mark_worker_lost(
        self, now: float, worker: task_state.WorkerEntry
    ) -> None:
        """Treat the tasks of a worker as lost, since its lease has lapsed."""
        worker.lost = True
        worker.lost_at = now
        worker.reachable = False
        worker.reported = False
        worker.lost_after = None
        self._pool.refresh_usable(now, worker.worker_id)
        for task in list(worker.tasks_by_id.values()):
            self._outcomes.release_task(now, task, LEASE_LOST)

    def confirm_running(
        self, now: float, task: task_state.Task, confirmed_at: float
    ) -> None:
        """Record that a task runs on its worker."""
        if task.phase is task_state.Phase.STARTING:
            task.phase = task_state.Phase.RUNNING
            task.confirmed_at = confirmed_at
        task.start_unconfirmed = False

    def _handle_unlisted(
        self,
        now: float,
        worker: task_state.WorkerEntry,
        task: task_state.Task,
        asked_at: float,
        last_event: int,
    ) -> None:
        if task.phase is task_state.Phase.RUNNING:
            gone = task.confirmed_at < asked_at
        else:
            timed_out = asked_at >= task.sent_at + self._start_timeout_s
            gone = task.start_unconfirmed and timed_out
        if not gone:
            return
        if task.start_refused:
            self._outcomes.withdraw_placement(now, task)
        elif worker.last_event_handled >= last_event:
            self._outcomes.release_task(now, task, NOT_LISTED)
        else:
            task.missing_at_event = last_event

    def _handle_listed(
        self,
        now: float,
        worker: task_state.WorkerEntry,
        running: platform.RunningTask,
        asked_at: float,
    ) -> None:
        known = worker.tasks_by_id.get(running.task_id)
        if known is not None and known.phase is task_state.Phase.PREPARED:
            self._outcomes.withdraw_placement(now, known)
            known = None
        if known is not None:
            known.attempt = max(known.attempt, running.attempt)
            known.missing_at_event = None
            self.confirm_running(now, known, asked_at)
            return
        entry = self._outcomes.jobs_by_id.get(running.job_id)
        task = None
        if entry is not None and not entry.state.is_final:
            task = entry.tasks_by_index.get(task_index(running.task_id))
        if task is not None and not task.is_committed:
            self._adopt(now, worker.worker_id, task, running, asked_at)
        else:
            expected = not self._outcomes.is_finished(running.job_id)
            self._commit_unmatched(
                now, worker, running, asked_at, expected and entry is None
            )

    def _adopt(
        self,
        now: float,
        worker_id: model.WorkerId,
        task: task_state.Task,
        running: platform.RunningTask,
        confirmed_at: float,
    ) -> None:
        entry = task.job
        assert entry is not None
        was_queued = entry.is_gang and task.phase is task_state.Phase.QUEUED
        _apply_report(task, running, confirmed_at)
        self._pool.commit(now, task, worker_id, already_running=True)
        if entry.state is model.JobState.WAITING:
            entry.state = model.JobState.RUNNING
            self._outcomes.mark_changed(entry)
        if was_queued or entry.is_failed_gang:
            entry.gang_queued = False
            self._outcomes.requeue_gang(now, entry)

    def _commit_unmatched(
        self,
        now: float,
        worker: task_state.WorkerEntry,
        running: platform.RunningTask,
        asked_at: float,
        row_expected: bool,
    ) -> None:
        """Commit a reported task that matches no entry; stop it if stray."""
        task = task_state.Task(
            running.task_id, 0, running.team, running.resources, None
        )
        _apply_report(task, running, asked_at)
        self._pool.commit(now, task, worker.worker_id, already_running=True)
        others = self._unmatched_by_job.setdefault(running.job_id, {})
        if row_expected and running.task_id not in others:
            others[running.task_id] = task
        else:
            self._outcomes.request_removal(
                task, task_state.RemovalReason.STRAY
            )

    def _apply_early_ends(
        self, now: float, entry: task_state.JobEntry
    ) -> None:
        for task in list(entry.tasks_by_index.values()):
            early = self._outcomes.early_ends.pop(task.task_id, None)
            if early is not None and not task.is_committed:
                self.apply_past_end(
                    now, task, early.attempt, early.state, early.reason
                )

    def apply_past_end(
        self,
        now: float,
        task: task_state.Task,
        attempt: int,
        state: model.TaskState,
        reason: str,
    ) -> None:
        """Apply the end of an earlier attempt to an uncommitted task.

        If a later attempt may have been sent, the end says nothing about
        that one.
        """
        entry = task.job
        assert entry is not None
        latest = entry.stored_dispatched.get(task.index, 0)
        if state is model.TaskState.SUCCEEDED and not entry.is_service:
            self._outcomes.end_task(now, task, state, '')
        elif entry.job.idempotent or attempt < latest:
            return
        elif state is model.TaskState.CHECKPOINTED:
            task.may_have_run = False
        elif state is model.TaskState.FAILED:
            why = f'task {task.index} failed: {reason or "no reason given"}'
            self._outcomes.end_task(now, task, state, why)


def _apply_report(
    task: task_state.Task,
    running: platform.RunningTask,
    confirmed_at: float,
) -> None:
    task.clear_attempt()
    task.need = running.resources
    task.attempt = max(task.attempt, running.attempt)
    task.phase = task_state.Phase.RUNNING
    task.confirmed_at = confirmed_at
    task.may_have_run = True


def _to_running_task(task: task_state.Task) -> platform.RunningTask:
    return platform.RunningTask(
        task.task_id,
        task.attempt,
        model.JobId(task.task_id.rpartition('/')[0]),
        task.team,
        task.need,
        model.TaskState.RUNNING,
    )


def task_index(task_id: model.TaskId) -> int:
    """Return the index of a task in its job, or -1 for an unknown format."""
    index = task_id.rpartition('/')[2]
    return int(index) if index.isdigit() else -1
