"""Processing of job rows, cancellations and configuration changes."""

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import placement
from samphirestack.internal.leader import task_outcomes
from samphirestack.internal.leader import task_reconciler
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model

CANCELLED = 'cancelled by the caller'

_DEFAULT_PROFILE = configurations.Profile(model.ProfileId('default'))


class JobIntake:
    """Creates job entries from rows for one term."""

    def __init__(
        self,
        pool: worker_pool.WorkerPool,
        outcomes: task_outcomes.Outcomes,
        reconciler: task_reconciler.TaskReconciler,
        configuration: configurations.Configuration,
    ) -> None:
        self._pool = pool
        self._outcomes = outcomes
        self._reconciler = reconciler
        self._configuration = configuration
        self._cancelled: set[model.JobId] = set()

    def configure(
        self, now: float, configuration: configurations.Configuration
    ) -> None:
        """Apply new profiles and refuse waiting tasks of retired queues.

        A queue that was never known is not retired, because the row of a
        job may be read before the revision that created its queue.
        """
        old, self._configuration = self._configuration, configuration
        for entry in list(self._outcomes.jobs_by_id.values()):
            queue = entry.job.queue
            entry.profile = self._profile(queue)
            retired = queue in old.queues_by_id
            if retired and queue not in configuration.queues_by_id:
                self._refuse_waiting(now, entry)

    def job_changed(
        self, now: float, record: model.JobRecord, inserted_in_term: bool
    ) -> None:
        """Process a row; see :meth:`tasks.TaskScheduler.job_changed`."""
        job_id = record.job.job_id
        if self._outcomes.is_finished(job_id):
            return
        entry = self._outcomes.jobs_by_id.get(job_id)
        if entry is None:
            self._admit(now, record, inserted_in_term)
        elif record.state.is_final:
            self._outcomes.finish_job(
                now, entry, record.state, record.reason, write=False
            )

    def cancel(self, now: float, job_id: model.JobId) -> None:
        """Cancel a job, even if its row has not been read yet."""
        entry = self._outcomes.jobs_by_id.get(job_id)
        if entry is not None:
            self._outcomes.finish_job(
                now, entry, model.JobState.CANCELLED, CANCELLED, write=True
            )
        elif not self._outcomes.is_finished(job_id):
            self._cancelled.add(job_id)

    def _admit(
        self, now: float, record: model.JobRecord, inserted_in_term: bool
    ) -> None:
        job = record.job
        entry = task_state.JobEntry(
            now, record, self._profile(job.queue), inserted_in_term
        )
        self._outcomes.jobs_by_id[job.job_id] = entry
        if entry.state.is_final:
            self._outcomes.record_finished_job(entry)
            self._reconciler.match_job(now, entry)
            return
        if not inserted_in_term:
            self._reconciler.hold_tasks(entry)
        self._reconciler.match_job(now, entry)
        if job.job_id in self._cancelled:
            self._cancelled.discard(job.job_id)
            self.cancel(now, job.job_id)
        elif not self._refuse_impossible(now, entry) and inserted_in_term:
            self._queue_tasks(now, entry)

    def _refuse_impossible(
        self, now: float, entry: task_state.JobEntry
    ) -> bool:
        """Fail a job that has not started and whose tasks fit no worker.

        Gangs that need more workers than there are wait instead, since
        lost workers may come back.
        """
        if entry.started or entry.is_gang:
            return False
        why = placement.impossible_reason(entry.job, self._pool.capacities)
        if why is None:
            return False
        self._outcomes.finish_job(
            now, entry, model.JobState.FAILED, why, write=True
        )
        return True

    def _queue_tasks(self, now: float, entry: task_state.JobEntry) -> None:
        for task in list(entry.tasks_by_index.values()):
            if not task.is_committed:
                self._outcomes.handle_lost(
                    now, task, task_reconciler.NOT_FOUND
                )

    def _refuse_waiting(self, now: float, entry: task_state.JobEntry) -> None:
        why = f'queue {entry.job.queue!r} was retired'
        for task in list(entry.tasks_by_index.values()):
            if task.phase is task_state.Phase.PREPARED:
                self._outcomes.withdraw_placement(now, task)
            if not task.is_committed and not entry.state.is_final:
                self._outcomes.end_task(now, task, model.TaskState.FAILED, why)

    def _profile(self, queue_id: model.QueueId) -> configurations.Profile:
        queue = self._configuration.queues_by_id.get(queue_id)
        if queue is None:
            return _DEFAULT_PROFILE
        return self._configuration.profile_of(queue)
