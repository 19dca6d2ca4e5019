"""The task scheduler of a zone leader."""

from collections.abc import Collection

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import estimates
from samphirestack.internal.decisions import placement
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_explain
from samphirestack.internal.leader import task_intake
from samphirestack.internal.leader import task_outcomes
from samphirestack.internal.leader import task_planner
from samphirestack.internal.leader import task_preemption
from samphirestack.internal.leader import task_queue
from samphirestack.internal.leader import task_reconciler
from samphirestack.internal.leader import task_starts
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model
from samphirestack import platform

END_STATES = frozenset(
    {
        model.TaskState.SUCCEEDED,
        model.TaskState.FAILED,
        model.TaskState.CHECKPOINTED,
        model.TaskState.STOPPED,
        model.TaskState.LOST,
    }
)


def impossible_reason(
    job: model.Job, workers: Collection[model.Vm]
) -> str | None:
    """Return why a job can never run on any of ``workers``, or ``None``.

    :param workers: workers of the home zone.  If empty, no job is reported
        as impossible.
    """
    return placement.impossible_reason(job, [vm.capacity for vm in workers])


class TaskScheduler:
    """Places the tasks of the zone's jobs on the zone's workers.

    :param ledger: accounts usage against the slices of the limits.
    :param shares: orders the teams.
    :param worker_ttl_s: duration of a worker's lease.  A call to a worker
        takes effect within this time after it was sent, or never.
    """

    def __init__(
        self,
        ledger: task_state.Ledger,
        shares: task_state.Shares,
        worker_ttl_s: float,
        policy: placement.PlacementPolicy | None = None,
    ) -> None:
        self._ledger = ledger
        self._shares = shares
        self._worker_ttl_s = worker_ttl_s
        self._policy = policy or placement.BestFitPolicy()
        self._configuration = configurations.Configuration()
        self._vms: list[model.Vm] = []
        self._estimates = estimates.Estimates()
        self._in_term = False
        self._restart_lost_after = 0.0
        self._reset()

    def configure(
        self, now: float, configuration: configurations.Configuration
    ) -> None:
        """Apply a configuration.

        Waiting tasks in a queue that was retired are refused, and starts in
        an evacuated zone that are not sent are withdrawn.
        """
        self._configuration = configuration
        self._intake.configure(now, configuration)
        for worker in self._pool.workers_by_id.values():
            if worker.evacuated != self._is_evacuated(worker.vm):
                worker.evacuated = not worker.evacuated
                self._pool.refresh_usable(now, worker.worker_id)
                if worker.evacuated:
                    self._withdraw_unsent_starts(now, worker)

    def set_workers(self, now: float, vms: list[model.Vm]) -> None:
        """Set the list of the zone's workers."""
        self._vms = list(vms)
        listed = {model.WorkerId(vm.vm_id): vm for vm in vms}
        for worker_id, vm in listed.items():
            self._put_worker(now, worker_id, vm)
        for worker_id, worker in list(self._pool.workers_by_id.items()):
            if worker_id in listed:
                continue
            worker.listed = False
            self._pool.refresh_usable(now, worker_id)
            if worker.lost and not worker.tasks_by_id:
                del self._pool.workers_by_id[worker_id]
                self._pool.index.remove(worker_id)
        self._pool.update_capacities()

    def start_term(
        self, now: float, epoch: model.Epoch, restart_lost_after: float
    ) -> None:
        """Begin to schedule for the zone.

        :param restart_lost_after: time after which tasks of earlier leaders
            on workers that don't answer can't run any more.
        """
        self.end_term(now)
        self._in_term = True
        self._restart_lost_after = restart_lost_after
        self.set_workers(now, self._vms)

    def end_term(self, now: float) -> None:
        """Discard all jobs and release their resources."""
        for worker in self._pool.workers_by_id.values():
            for task in list(worker.tasks_by_id.values()):
                self._pool.release(now, task)
        self._in_term = False
        self._reset()

    def job_changed(
        self,
        now: float,
        record: model.JobRecord,
        inserted_in_term: bool = False,
    ) -> None:
        """Process a job row that was read from the table.

        :param inserted_in_term: whether the row was certainly inserted after
            earlier leaders had stopped starting tasks.  Otherwise its tasks
            wait until all workers have reported what they run.
        """
        if self._in_term:
            self._intake.job_changed(now, record, inserted_in_term)

    def cancel(self, now: float, job_id: model.JobId) -> None:
        """Cancel a job, even if its row has not been read yet."""
        if self._in_term:
            self._intake.cancel(now, job_id)

    def worker_status(
        self,
        now: float,
        status: platform.WorkerStatus,
        asked_at: float | None = None,
    ) -> None:
        """Process the answer to a successful lease call.

        The caller should pass on the events up to ``status.last_event``
        first, so that ended tasks are not treated as lost.

        :param asked_at: when the call was sent; now if omitted.
        """
        worker = self._pool.workers_by_id.get(status.worker_id)
        if worker is None or not self._in_term:
            return
        worker.lost_after = None
        self._pool.index.add_or_update(
            status.worker_id, worker.vm.rack, status.capacity
        )
        self._reconciler.reconcile(
            now, status, now if asked_at is None else asked_at
        )

    def worker_unreachable(
        self, now: float, worker_id: model.WorkerId
    ) -> None:
        """Record that lease calls to a worker get no answer.

        From now on the caller sends it no lease calls, or reports it again
        after each failed one.  Its tasks stay committed until the lease has
        certainly lapsed, which takes two lease durations: a renewal may be
        on its way for one duration and then be valid for another.
        """
        worker = self._pool.workers_by_id.get(worker_id)
        if worker is None or worker.lost:
            return
        worker.reachable = False
        lapsed = now + 2 * self._worker_ttl_s
        if not worker.reported:
            lapsed = max(lapsed, self._restart_lost_after)
        worker.lost_after = max(lapsed, worker.lost_after or 0.0)
        self._pool.refresh_usable(now, worker_id)
        self._withdraw_unsent_starts(now, worker)

    def task_event(
        self,
        now: float,
        worker_id: model.WorkerId,
        event: platform.TaskEvent,
    ) -> None:
        """Process an event of an agent."""
        worker = self._pool.workers_by_id.get(worker_id)
        if worker is None or not self._in_term:
            return
        task = worker.tasks_by_id.get(event.task_id)
        if task is None or task.phase is task_state.Phase.PREPARED:
            self._handle_past_event(now, worker, event)
        elif event.attempt >= task.attempt:
            if event.state in END_STATES:
                self._outcomes.handle_attempt_end(
                    now, task, event.state, event.reason
                )
            elif event.state is model.TaskState.RUNNING:
                self._reconciler.confirm_running(now, task, now)
        self._reconciler.events_read(now, worker, event.number)

    def events_read(
        self, now: float, worker_id: model.WorkerId, number: int
    ) -> None:
        """Record that all events of an agent up to a number were passed on."""
        worker = self._pool.workers_by_id.get(worker_id)
        if worker is not None:
            self._reconciler.events_read(now, worker, number)

    def record_usage(
        self,
        now: float,
        worker_id: model.WorkerId,
        reports: list[platform.Usage],
    ) -> None:
        """Update the estimates of resource needs from usage reports."""
        worker = self._pool.workers_by_id.get(worker_id)
        if worker is None:
            return
        for report in reports:
            task = worker.tasks_by_id.get(report.task_id)
            if task is not None and task.job is not None:
                self._pool.estimates.record_peak_usage(
                    task.job.job, report.peak
                )

    def start_answered(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        attempt: int,
        outcome: task_starts.StartOutcome,
    ) -> None:
        """Record how the call of a :class:`actions.StartTask` ended."""
        self._starts.record_outcome(now, worker_id, task_id, attempt, outcome)

    def start_failed(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        attempt: int,
        may_have_started: bool,
    ) -> None:
        """Record that a start got an error or no answer."""
        outcome = (
            task_starts.StartOutcome.UNKNOWN
            if may_have_started
            else task_starts.StartOutcome.NOT_STARTED
        )
        self._starts.record_outcome(now, worker_id, task_id, attempt, outcome)

    def throttle_confirmed(self, action: actions.ThrottleTask) -> None:
        """Record that a throttle was applied; others are sent again."""
        self._preemption.confirm_throttle(action)

    def workers_to_query(self, now: float) -> list[model.WorkerId]:
        """Return the workers whose list of tasks should be read now."""
        return [
            worker.worker_id
            for worker in self._pool.workers_by_id.values()
            if worker.needs_query
            or any(
                task.start_unconfirmed for task in worker.tasks_by_id.values()
            )
        ]

    def plan(self, now: float) -> list[actions.Action]:
        """Return the calls to make now: starts, stops and checkpoints.

        Each invocation places a bounded number of tasks; repeat it at once
        if it returned starts.
        """
        if not self._in_term:
            return []
        self._apply_timeouts(now)
        placed, blocked = self._planner.place(
            now, self._reconciler.all_workers_reported()
        )
        for task in placed:
            self._starts.prepare(now, task)
        self._preemption.make_room(now, blocked)
        starts = self._starts.pop_ready(now)
        return starts + self._preemption.pop_actions(now)

    def pop_updates(self, now: float) -> list[model.JobRecord]:
        """Remove and return the job rows that have to be written."""
        return self._outcomes.pop_changed_records()

    def update_saved(self, now: float, record: model.JobRecord) -> None:
        """Record that a row of :meth:`pop_updates` is in the table.

        Tasks that are not idempotent start only after the row that records
        the start is written.
        """
        entry = self._outcomes.jobs_by_id.get(record.job.job_id)
        if entry is not None:
            entry.stored_dispatched.update(record.dispatched)

    def explain(self, now: float, job_id: model.JobId) -> str:
        """Describe the state of a job and what it waits for."""
        entry = self._outcomes.jobs_by_id.get(job_id)
        if entry is None:
            if self._outcomes.is_finished(job_id):
                return 'The job has ended.'
            return 'The job is not known to the leader of this zone.'
        return task_explain.explain(
            now, entry, self._waiting, self._reconciler, self._pool
        )

    def worker_states(self) -> dict[model.WorkerId, str]:
        """Return the state of each worker as one word, for operators."""
        paused = self._pool.quarantine.probe_times()
        return {
            worker_id: task_explain.worker_state(worker, worker_id in paused)
            for worker_id, worker in self._pool.workers_by_id.items()
        }

    def _reset(self) -> None:
        self._pool = worker_pool.WorkerPool(
            self._ledger, self._shares, self._estimates
        )
        self._waiting = task_queue.WaitingWork()
        self._outcomes = task_outcomes.Outcomes(self._pool, self._waiting)
        self._reconciler = task_reconciler.TaskReconciler(
            self._pool, self._outcomes, self._worker_ttl_s
        )
        self._intake = task_intake.JobIntake(
            self._pool, self._outcomes, self._reconciler, self._configuration
        )
        self._planner = task_planner.Planner(
            self._pool, self._waiting, self._shares, self._policy
        )
        self._preemption = task_preemption.Preemption(
            self._pool, self._outcomes, self._planner
        )
        self._starts = task_starts.Starts(
            self._pool, self._outcomes, self._reconciler
        )

    def _put_worker(
        self, now: float, worker_id: model.WorkerId, vm: model.Vm
    ) -> None:
        worker = self._pool.workers_by_id.get(worker_id)
        if worker is None:
            worker = task_state.WorkerEntry(vm)
            worker.lost_after = self._restart_lost_after
            self._pool.workers_by_id[worker_id] = worker
            self._pool.index.add_or_update(worker_id, vm.rack, vm.capacity)
        worker.vm = vm
        worker.listed = True
        worker.evacuated = self._is_evacuated(vm)
        self._pool.refresh_usable(now, worker_id)

    def _is_evacuated(self, vm: model.Vm) -> bool:
        zone = self._configuration.zones_by_id.get(vm.zone)
        return zone is not None and zone.evacuated

    def _withdraw_unsent_starts(
        self, now: float, worker: task_state.WorkerEntry
    ) -> None:
        for task in list(worker.tasks_by_id.values()):
            if task.phase is task_state.Phase.PREPARED:
                self._outcomes.withdraw_placement(now, task)

    def _handle_past_event(
        self,
        now: float,
        worker: task_state.WorkerEntry,
        event: platform.TaskEvent,
    ) -> None:
        """Handle an event of a task that is not committed on the worker."""
        if event.state not in END_STATES:
            worker.needs_query = worker.reported
            self._pool.refresh_usable(now, worker.worker_id)
            return
        job_id = event.task_id.rpartition('/')[0]
        entry = self._outcomes.jobs_by_id.get(model.JobId(job_id))
        if entry is None:
            if not self._outcomes.is_finished(model.JobId(job_id)):
                self._outcomes.record_early_end(
                    event.task_id, event.attempt, event.state, event.reason
                )
            return
        task = entry.tasks_by_index.get(
            task_reconciler.task_index(event.task_id)
        )
        if task is None or task.is_committed or entry.state.is_final:
            return
        self._reconciler.apply_past_end(
            now, task, event.attempt, event.state, event.reason
        )

    def _apply_timeouts(self, now: float) -> None:
        for worker in self._pool.workers_by_id.values():
            if worker.lost_after is not None and now >= worker.lost_after:
                self._reconciler.mark_worker_lost(now, worker)
        for worker_id in self._pool.quarantine.probe_times():
            if worker_id in self._pool.workers_by_id:
                self._pool.refresh_usable(now, worker_id)
        if self._reconciler.all_workers_reported():
            self._reconciler.release_held_tasks(now)
        for task in self._waiting.pop_due(now):
            self._waiting.add_task(task)
