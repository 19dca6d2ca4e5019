"""The scheduler of the fleet, as a pure state machine.

The daemon passes in jobs, reports of workers and results of orders, and
executes the actions that ``plan`` returns.  A run holds its resources from
its order until its worker reports its end, until the worker's lease expires
or the worker restarts, or until the worker confirms that the run will never
start.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from types import MappingProxyType

from samphirestack.fleet import actions
from samphirestack.fleet import advising
from samphirestack.fleet import crashes
from samphirestack.fleet import displacing
from samphirestack.fleet import evacuation
from samphirestack.fleet import interference
from samphirestack.fleet import job_tracker
from samphirestack.fleet import losses
from samphirestack.fleet import memory
from samphirestack.fleet import pacing
from samphirestack.fleet import planner
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import registry_freshness
from samphirestack.fleet import run_times
from samphirestack.fleet import shares
from samphirestack.fleet import specs
from samphirestack.fleet import speculation
from samphirestack.fleet import stalls
from samphirestack.fleet import stops
from samphirestack.fleet import term as terms
from samphirestack.fleet import throttling
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack.fleet import worker_speeds
from samphirestack.internal.decisions import quarantine
from samphirestack import model

RUNS_PER_TERM = 20
"""Run numbers reserved for each term, so that runs started by an earlier
holder without this one's knowledge have lower numbers."""

UNHEALTHY_PAUSE_S = 1.0
"""Pause in placing work on a worker that refused a start, for example as
unhealthy."""

TOKENS_PER_TERM = 2**20
"""Processes of workers that can be told apart in one term.  JSON readers that
use floating point represent the tokens of 2**33 terms exactly."""

STEP_RETRY_DELAY_S = 0.25
"""Delay before a step is retried after a refused start."""

STALL_QUANTILE = 0.95
"""Share of the runs without visible progress that end before they count as
standing still."""

MAX_RESUMED_PERCENT = 80.0
"""A resumed run that did less than the rest tells little of the whole."""

GANG_INCOMPLETE = 'gang is incomplete'
"""Reason to stop the members of a gang that go on without the others."""

STALL_PAUSE_S = 6.0
"""Pause in placing work on a worker on which a run stalled."""

READY_PERCENT = 100.0
"""Progress that a long-running task reports once it serves."""


class FleetScheduler:
    """Decides for all workers during one term.

    :param term: number of the term; the tokens of all calls rest on it.
    :param now: when the term began.
    :param max_lease_s: longest lease that workers accept.
    :param earlier_renewal_before: when the earlier holder had sent its last
        renewal, up to which it may have extended leases; now by default.
    :param memory_bytes: for jobs and runs; unlimited by default.
    """

    def __init__(
        self,
        now: float,
        term: int,
        configuration: specs.FleetConfiguration,
        max_lease_s: float,
        earlier_renewal_before: float | None = None,
        memory_bytes: float = float('inf'),
    ) -> None:
        self.term = term
        self.configuration = configuration
        self.workers_by_id: dict[model.WorkerId, tracking.TrackedWorker] = {}
        self.usage = shares.Usage()
        self.run_times = run_times.RunTimes()
        self.jobs = job_tracker.JobTracker(
            RUNS_PER_TERM * (term - 1), memory.Budget(memory_bytes)
        )
        self.quarantine = quarantine.Quarantine()
        self.suitable_shares = advising.SuitableShares()
        self.interference = interference.Interference()
        self.worker_speeds = worker_speeds.WorkerSpeeds()
        self._crashes = crashes.CrashTracker()
        self.registry_freshness = registry_freshness.RegistryFreshness()
        self._closed_machines: frozenset[str] = frozenset()
        self.evacuations = evacuation.Evacuations()
        """Requests of the operator.  Its owner adds and removes them."""
        self.room_search_at = float('-inf')
        """When the next search for room for a waiting step may be made."""
        self._last_check_at = float('-inf')
        self._runs_by_job: dict[
            model.JobId, dict[tuple[model.TaskId, int], tracking.Run]
        ] = {}
        self._runs_by_task: dict[model.TaskId, dict[int, tracking.Run]] = {}
        """Tracked runs of each task, by their number."""
        self._job_rates = shares.JobRates()
        self._max_lease_s = max_lease_s
        self._start_count = 0
        self.runs_to_copy: dict[model.TaskId, tracking.Run] = {}
        """Slow runs of speculative steps, as of the last check."""
        self._run_times = speculation.StepRunTimes()
        if earlier_renewal_before is None:
            earlier_renewal_before = now
        self._inherited_leases_expire_at = (
            earlier_renewal_before
            + terms.HOLD_LEASE_S
            + max_lease_s * (1 + tracking.MAX_CLOCK_DRIFT)
        )
        self._pending_actions: list[actions.Action] = []
        self.fenced = False
        """Whether a worker refused a call because of a newer term."""
        self._token_count = 0
        """Processes of workers that were given a token in this term."""

    # Jobs

    def configure(self, configuration: specs.FleetConfiguration) -> None:
        """Replace the configuration by a newer version."""
        self.configuration = configuration

    def load_job(
        self,
        now: float,
        unix_now: float,
        record: records.JobRecord,
        progress: records.JobProgress | None,
        further: Mapping[int, records.JobProgress] = MappingProxyType({}),
    ) -> None:
        """Load a stored job that was accepted before this term.

        :param progress: main row of its progress, or ``None`` if there is
            none.
        :param further: the other rows, by number.
        """
        if record.spec is None:
            self.jobs.add_ended(record, progress is not None)
            self.jobs.clear_rows(record.job_id, further)
            return
        if progress is not None and progress.ended is not None:
            self.jobs.add_unarchived(now, progress.ended)
            self.jobs.clear_rows(record.job_id, further)
            return
        if progress is None and not self.jobs.may_load(record):
            self.jobs.defer(record)
            return
        job = self._add_job(now, unix_now, record)
        if job is None:
            return
        if progress is None:
            return
        try:
            self.jobs.restore_progress(now, job, progress, further)
        except Exception:
            # Without its progress, its finished tasks would run again.
            self.jobs.set_aside(job.job_id)
            raise
        for task, run, worker_id in self.jobs.inherited_placements(job):
            self._add_inherited_run(now, task, run, worker_id)
        for task, run, worker_id in self.jobs.inherited_copies(job):
            if task.state is not work.TaskState.PLACED:
                # It takes the place of the first run.
                self.jobs.forget_copy(task)
            self._add_inherited_run(now, task, run, worker_id)
        for step in job.steps_by_key.values():
            if step.spec.gang and 0 < len(step.waiting) < step.spec.count:
                # The earlier holder was about to stop the others.
                self._stop_gang(now, step)

    def _add_inherited_run(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> None:
        """Track a run that an earlier holder may have started.

        The run counts as over once its worker no longer lists it, or once
        all leases granted by an earlier holder have expired.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            worker = tracking.TrackedWorker(
                _placeholder_entry(task, worker_id), self._next_token()
            )
            worker.registered = False
            self.workers_by_id[worker_id] = worker
        run = tracking.Run(
            task, run_number, worker_id, tracking.RunState.CONFIRMED, now
        )
        run.lists_valid_from = float('-inf')
        worker.record_unanswered_order(now, task.id, run_number)
        self._add_run(worker, run)
        if task.state is work.TaskState.PLACED:
            run.is_primary = False
            run.is_copy = True
            self.jobs.mark_copied(task, run_number, worker_id)
        else:
            self.jobs.mark_placed(task, run_number, worker_id)

    def accept_job(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> bool:
        """Add a job that was stored in this term; return whether it is new."""
        if not self.jobs.may_accept(record.job_id):
            return False
        if record.spec is None:
            # Nobody else removes the row after the time for queries.
            self.jobs.add_ended(record, False)
            return False
        if not self.jobs.may_load(record):
            self.jobs.defer(record)
            return False
        job = self._add_job(now, unix_now, record)
        if job is None:
            return False
        job.over_share = self._job_rates.count_job(
            now, job.customer_id, self.configuration.customers_by_id
        )
        return True

    def load_deferred(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> None:
        """Load a job that waited for memory."""
        deferred = self.jobs.take_deferred(record.job_id)
        if deferred is None or record.spec is None:
            return
        self._add_job(now, unix_now, record)
        if deferred.is_cancelled:
            self.cancel(now, record.job_id)

    def preview_job(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> work.Job:
        """Return a job as it would be if it were accepted now.

        It isn't added, and doesn't count for its customer's rate.
        """
        job = self._make_job(now, unix_now, record)
        job.over_share = self._job_rates.would_exceed(
            now, job.customer_id, self.configuration.customers_by_id
        )
        return job

    def _add_job(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> work.Job | None:
        job = self._make_job(now, unix_now, record)
        self.jobs.add_job(now, job)
        return job

    def _make_job(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> work.Job:
        age_s = min(max(0.0, unix_now - record.accepted_unix_s), 600.0)
        assert record.spec is not None
        due_in_s = record.spec.first_due_unix_s - unix_now
        job = work.Job(record, now - age_s, now + due_in_s)
        run_times.apply_to(self.run_times, job)
        return job

    def set_run_times(self, learned: run_times.RunTimes) -> None:
        """Use the run times that an earlier holder learned."""
        self.run_times = learned
        for job in self.jobs.active_by_id.values():
            run_times.apply_to(learned, job)

    def cancel(self, now: float, job_id: model.JobId) -> bool:
        """Cancel a job; return whether it was active."""
        job = self.jobs.active_by_id.get(job_id)
        if job is None:
            return False
        self._end_job(job, specs.JobState.CANCELLED, now)
        return True

    def _end_job(
        self, job: work.Job, state: specs.JobState, now: float
    ) -> None:
        self.jobs.end_job(now, job, state)
        if state is specs.JobState.COMPLETED:
            # All its tasks succeeded: runs that are still tracked have ended,
            # and their workers report it soon.
            return
        for worker, run in self._runs_of_job(job):
            self._stop_run(worker, run, now, state.value)

    # Workers

    def set_workers(
        self, now: float, entries: Iterable[specs.WorkerEntry]
    ) -> list[model.WorkerId]:
        """Apply the list of registered workers; return the new ones."""
        listed = {entry.worker_id: entry for entry in entries}
        new = [
            entry.worker_id
            for entry in listed.values()
            if self.update_worker(now, entry)
        ]
        for worker_id, worker in self.workers_by_id.items():
            worker.registered = worker_id in listed
        return new

    def update_worker(self, now: float, entry: specs.WorkerEntry) -> bool:
        """Apply the entry of one registered worker; return whether it is new.

        Its cost doesn't depend on the number of workers, all of which renew
        their entries every few heartbeats.
        """
        worker = self.workers_by_id.get(entry.worker_id)
        if worker is not None and worker.has_reported:
            self._record_process(now, entry)
        if worker is None:
            worker = tracking.TrackedWorker(entry, self._next_token())
            worker.closed_for_upkeep = entry.machine in self._closed_machines
            worker.record_cold(now)
            self.workers_by_id[entry.worker_id] = worker
            return True
        self._update_entry(now, worker, entry)
        worker.registered = True
        return False

    def _next_token(self) -> specs.CallToken:
        """Return a token for a process of a worker that was just learned.

        It is above those of all earlier processes of the worker, also of one
        that was forgotten meanwhile, and below those of the next term.
        """
        self._token_count += 1
        return self._newest_token()

    def _newest_token(self) -> specs.CallToken:
        number = min(self._token_count, TOKENS_PER_TERM - 1)
        return specs.CallToken(self.term * TOKENS_PER_TERM + number)

    @property
    def tokens_are_used_up(self) -> bool:
        """Return whether only a new term can tell further processes apart."""
        return self._token_count >= TOKENS_PER_TERM

    def token_for(self, worker_id: model.WorkerId) -> specs.CallToken:
        """Return the token for a call to a worker.

        One that isn't tracked any more may have seen any token of this term.
        """
        worker = self.workers_by_id.get(worker_id)
        return self._newest_token() if worker is None else worker.token

    def record_refused_token(
        self, worker_id: model.WorkerId, token: specs.CallToken
    ) -> None:
        """Record that a worker refused a call because of its token.

        Only a newer term can have sent a higher one than the worker's present
        token.  Another call was meant for an earlier process.
        """
        if token >= self.token_for(worker_id):
            self.fenced = True

    def _record_process(self, now: float, entry: specs.WorkerEntry) -> None:
        """Record the process of an entry, which may prove an earlier crash.

        Only a worker that has answered proves anything: any writer can name
        the machine of another worker in an entry of its own.
        """
        lost = self._crashes.record_process(entry)
        if lost is not None:
            self._attribute_crash(
                now,
                crashes.without_lapsed_runs(
                    lost,
                    entry.started_unix_ms / 1000 - self.jobs.unix_offset_s,
                    self._max_lease_s,
                ),
            )

    def close_machines(self, machines: Iterable[str]) -> None:
        """Close these machines to new work, and open all others again.

        It also holds for workers that register on them later.
        """
        self._closed_machines = frozenset(machines)
        for worker in self.workers_by_id.values():
            worker.closed_for_upkeep = (
                worker.entry.machine in self._closed_machines
            )

    def mark_worker_unregistered(self, worker_id: model.WorkerId) -> None:
        """Record that a worker is no longer registered."""
        worker = self.workers_by_id.get(worker_id)
        if worker is not None:
            worker.registered = False

    def _update_entry(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        entry: specs.WorkerEntry,
    ) -> None:
        if not worker.started_unix_ms:
            worker.started_unix_ms = entry.started_unix_ms
        elif entry.started_unix_ms > worker.started_unix_ms:
            self._handle_restart(now, worker, entry.started_unix_ms, None)
        if entry.capacity != worker.entry.capacity:
            old = worker.entry.capacity
            change = entry.capacity - old
            worker.free_cpu += change.millicores
            worker.free_memory += change.memory_mb
            worker.free_gpu += change.accelerators
        cold_s = worker.entry.cold_s
        worker.entry = entry
        if entry.cold_s != cold_s:
            worker.record_cold(now)
        worker.closed_for_upkeep = entry.machine in self._closed_machines

    def apply_report(
        self,
        now: float,
        sent_at: float,
        worker_id: model.WorkerId,
        report: specs.WorkerReport,
        acknowledged_end: int = 0,
    ) -> list[specs.EndRow]:
        """Reconcile the tracked runs of a worker with its report.

        Only the ends are applied of a report of the former process.

        :param sent_at: when the report was requested.
        :param acknowledged_end: end up to which the request let the worker
            forget its ends.
        :return: the ends that are new.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return []
        if report.started_unix_ms < worker.started_unix_ms:
            return self._apply_former_ends(now, worker, report)
        if not worker.started_unix_ms:
            worker.started_unix_ms = report.started_unix_ms
        elif report.started_unix_ms > worker.started_unix_ms:
            self._handle_restart(now, worker, report.started_unix_ms, report)
        if worker.silent_since is not None:
            # A run may have stood still only because its worker did.
            for run in worker.runs_by_key.values():
                run.last_progress_at = now
                run.began_at = None
            if not worker.is_next_process:
                self._crashes.mark_alive(worker.entry.machine)
        worker.silent_since = None
        worker.last_answer_at = now
        worker.reported_at = now
        worker.record_clock(now, report.clock_ms)
        if not worker.has_reported:
            # An earlier holder may have extended the lease up to here.
            worker.lease_deadline_ms = max(
                worker.lease_deadline_ms,
                report.clock_ms + self._max_lease_s * 1000,
            )
        new_ends = []
        for row in report.ended:
            if row.number > worker.last_handled_end:
                worker.last_handled_end = row.number
                worker.unstored_ends.append((row.number, row.task_id))
                self._apply_end_row(now, worker, row)
                new_ends.append(row)
        listed = set()
        for running in report.running:
            listed.add((running.task_id, running.run))
            self._apply_running_row(now, sent_at, worker, running)
        self.interference.observe(now, worker)
        self.worker_speeds.observe(now, worker)
        for key in list(worker.unknown_runs):
            if key not in listed:
                del worker.unknown_runs[key]
        if acknowledged_end <= worker.last_stored_end:
            worker.last_acknowledged_end = max(
                worker.last_acknowledged_end, acknowledged_end
            )
        if report.ends_complete:
            self._settle_unlisted_runs(now, sent_at, worker, listed)
        self._settle_crash(now, worker, listed)
        if new_ends:
            worker.last_end_at = now
        if not worker.has_reported:
            worker.has_reported = True
            self._record_process(now, worker.entry)
        return new_ends

    def _apply_former_ends(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        report: specs.WorkerReport,
    ) -> list[specs.EndRow]:
        """Apply the ends in a report of a worker's former process.

        The process is gone and needs no acknowledgement.
        """
        former = worker.former_process
        if former is None or report.started_unix_ms != former.started_unix_ms:
            return []
        new_ends = [
            row for row in report.ended if row.number > former.last_handled_end
        ]
        for row in new_ends:
            former.last_handled_end = row.number
            self._apply_end_row(now, worker, row)
        return new_ends

    def _settle_unlisted_runs(
        self,
        now: float,
        sent_at: float,
        worker: tracking.TrackedWorker,
        listed: set[tuple[model.TaskId, specs.RunNumber]],
    ) -> None:
        """Remove or stop the runs that no list of the worker contains.

        :param listed: keys of the runs that are listed as running; those
            listed as ended are not tracked any more.
        """
        for key, run in list(worker.runs_by_key.items()):
            if key in listed or run.lists_valid_from >= sent_at:
                continue
            if worker.unsettled_crash is not None and (
                run.state is not tracking.RunState.ORDERED
            ):
                worker.unsettled_crash.mark_lost(key)
            if run.state is tracking.RunState.CONFIRMED or (
                run.stop is not None and run.stop.is_accepted
            ):
                self._remove_lost_run(
                    now, worker, run, actions.LossEvidence.NOT_LISTED
                )
            elif run.state is tracking.RunState.UNCERTAIN:
                self._stop_run(worker, run, now, 'start order not answered')

    def mark_worker_silent(
        self, now: float, worker_id: model.WorkerId
    ) -> None:
        """Record that a worker does not answer."""
        worker = self.workers_by_id.get(worker_id)
        if worker is not None and worker.silent_since is None:
            worker.silent_since = now

    def _handle_restart(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        started_unix_ms: int,
        report: specs.WorkerReport | None,
    ) -> None:
        """Replace the process of a worker by a newer one.

        Runs that the former process listed are over.  Any other order may
        have been carried out by either process; lists of the new one tell.
        """
        runs = list(worker.runs_by_key.values())
        lost = [run for run in runs if run.was_listed]
        worker.token = self._next_token()
        self._report_restart(worker, started_unix_ms, report, lost)
        self._attribute_unsettled_crash(now, worker)
        if not _has_left(worker):
            worker.unsettled_crash = crashes.unsettled_crash(
                now,
                worker,
                started_unix_ms / 1000 - self.jobs.unix_offset_s,
            )
            self._crashes.record_lost_machine(
                worker.entry, worker.unsettled_crash.lost_at
            )
        worker.former_process = tracking.FormerProcess(
            worker.started_unix_ms, worker.last_handled_end
        )
        worker.started_unix_ms = started_unix_ms
        worker.has_reported = False
        worker.last_handled_end = 0
        worker.last_stored_end = 0
        worker.last_acknowledged_end = 0
        worker.unstored_ends.clear()
        worker.reset_clock(now, self._max_lease_s)
        for run in runs:
            if run.stop is not None:
                run.stop.forget_orders()
            if run.state is tracking.RunState.UNCERTAIN:
                # The order may still reach the new process.
                run.lists_valid_from = now
        for run in lost:
            self._remove_lost_run(
                now, worker, run, actions.LossEvidence.RESTARTED
            )
        worker.stop_late_orders(now, 'worker restarted')
        self._send_late_stops(now, worker)
        # From this call on, the new process refuses late calls for the former.
        self._pending_actions.append(
            actions.PollWorker(worker.entry.worker_id)
        )
        self._settle_crash(now, worker)

    def _settle_crash(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        listed: Collection[tuple[model.TaskId, specs.RunNumber]] = (),
    ) -> None:
        """Clear the runs that a worker's new process has of its crash.

        The crash is attributed once it is known of each run whether it was
        lost.
        """
        crash = worker.unsettled_crash
        if crash is None:
            return
        for key in crash.open_keys():
            if key in listed or key not in worker.runs_by_key:
                crash.clear(key)
        if crash.is_settled:
            self._attribute_unsettled_crash(now, worker)

    def _attribute_unsettled_crash(
        self, now: float, worker: tracking.TrackedWorker
    ) -> None:
        crash = worker.unsettled_crash
        worker.unsettled_crash = None
        if crash is not None:
            self._attribute_crash(
                now,
                crashes.without_lapsed_runs(
                    crash.lost_worker(),
                    worker.started_unix_ms / 1000 - self.jobs.unix_offset_s,
                    self._max_lease_s,
                ),
            )

    def _report_restart(
        self,
        worker: tracking.TrackedWorker,
        started_unix_ms: int,
        report: specs.WorkerReport | None,
        lost: list[tracking.Run],
    ) -> None:
        source = (
            actions.RestartSource.REPORT
            if report
            else actions.RestartSource.ROW
        )
        self._pending_actions.append(
            actions.ReportRestart(
                worker.entry.worker_id,
                source,
                worker.started_unix_ms,
                started_unix_ms,
                tuple(run.task.id for run in lost),
                tuple(
                    run.task.id
                    for run in worker.runs_by_key.values()
                    if not run.was_listed
                ),
                worker.token,
            )
        )

    def _attribute_crash(self, now: float, lost: losses.LostWorker) -> None:
        """Record a proved crash and give up the job that causes crashes."""
        if not lost.runs:
            return
        suspects = crashes.suspects_of(
            lost,
            self._crashes.has_common_cause(lost, self.workers_by_id.values()),
        )
        for run in lost.runs:
            self.jobs.record_crash(
                run.task,
                run.number,
                records.TaskCrash(
                    lost.entry.worker_id, run in suspects, run.had_begun
                ),
            )
            if crashes.is_suspect(run.task):
                self._observe_current_run(run.task)
        self._pending_actions.append(
            actions.ReportCrash(
                lost.entry,
                tuple(run.task.id for run in lost.runs),
                tuple(run.task.id for run in suspects),
            )
        )
        job_ids = {run.task.step.job.job_id for run in suspects}
        for run in suspects:
            self._give_up_if_due(now, run.task, len(job_ids) > 1)

    def _give_up_if_due(
        self, now: float, task: work.Task, other_jobs_are_suspects: bool
    ) -> None:
        """End the job of a task as failed after too many crashes."""
        job = task.step.job
        if job.job_id not in self.jobs.active_by_id:
            return
        if not crashes.is_to_be_given_up(task, other_jobs_are_suspects):
            return
        self._pending_actions.append(
            actions.ReportGivenUp(
                job.job_id, task.id, tuple(crashes.crashed_worker_ids(task))
            )
        )
        self._end_job(job, specs.JobState.FAILED, now)

    def _observe_current_run(self, task: work.Task) -> None:
        """Put a run that was placed before the proof of a crash on probation.

        Otherwise nothing would clear the task.
        """
        for worker, run in self._runs_of_task(task):
            if run.number == task.placed_run_number:
                worker.begin_probation(run)

    def _apply_running_row(
        self,
        now: float,
        sent_at: float,
        worker: tracking.TrackedWorker,
        row: specs.RunningRow,
    ) -> None:
        key = (row.task_id, row.run)
        run = worker.runs_by_key.get(key)
        if run is None:
            run = self._adopt_run(now, sent_at, worker, row)
            if run is None:
                return
        if run.state is tracking.RunState.ORDERED:
            self._pending_actions.append(
                actions.ReportListedEarly(
                    worker.entry.worker_id, row.task_id, row.run
                )
            )
        run.state = tracking.RunState.CONFIRMED
        run.has_begun = True
        run.was_listed = True
        run.lists_valid_from = now
        self.jobs.mark_running(run.task.step.job)
        self._send_due_stop(now, worker, run)
        run.started_at = min(run.started_at, now)
        if (
            run.on_probation
            and sent_at - run.started_at > crashes.START_WINDOW_S
        ):
            self.jobs.clear_suspicion(run.task)
            if not crashes.had_repeated_crashes(run.task):
                worker.end_probation(run)
        if run.first_percent < 0:
            run.first_percent = row.percent
            run.first_listed_at = now
        if row.percent != run.percent:
            served_before = _serves(run)
            run.percent = row.percent
            if _serves(run) and not served_before:
                self.quarantine.record_success(worker.entry.worker_id)
            run.last_progress_at = now
        else:
            self._stop_if_stalled(now, worker, run)
        run.load = row.load
        if run.is_primary:
            run.task.checkpoint = row.checkpoint

    def _stop_if_stalled(
        self, now: float, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        spec = run.task.step.spec
        if spec.filler and run.throttle_percent != throttling.FULL_PERCENT:
            # It may stand still because it was ordered to.
            run.last_progress_at = now
            return
        if spec.long_running or run.stop is not None:
            return
        if now - run.last_progress_at <= stalls.MIN_STILL_S:
            return
        members = self._gang_members(run)
        usual_s = run_times.quantile_of(
            self.run_times, run.task.step, STALL_QUANTILE
        )
        if not stalls.is_still(now, run, members, usual_s):
            return
        run.task.stalls += 1
        if run.task.stalls == 1 and self._may_avoid(now, worker):
            # A task that stood still before does so wherever it runs.
            worker.avoid_until = max(worker.avoid_until, now + STALL_PAUSE_S)
        run.task.failed_worker_ids.add(worker.entry.worker_id)
        self._report_stalled(now, run, members)
        self._stop_run(worker, run, now, 'no progress')

    def _may_avoid(self, now: float, worker: tracking.TrackedWorker) -> bool:
        """Return whether enough workers like this one are in use."""
        return all(
            sum(self.workers_by_id[other].avoid_until > now for other in group)
            < int(len(group) * quarantine.MAX_SHARE)
            for group in self._groups_of_workers()
            if worker.entry.worker_id in group
        )

    def _groups_of_workers(self) -> Collection[list[model.WorkerId]]:
        """Return the workers in use of each service, and of each kind of it.

        A kind has the same labels but for the rack.
        """
        groups: dict[
            tuple[model.ServiceId, frozenset[str] | None],
            list[model.WorkerId],
        ] = {}
        for worker_id, worker in self.workers_by_id.items():
            entry = worker.entry
            if (
                not worker.registered
                or worker.silent_since is not None
                or _has_left(worker)
            ):
                continue
            kind = frozenset(entry.labels) - {entry.rack}
            groups.setdefault((entry.service, None), []).append(worker_id)
            groups.setdefault((entry.service, kind), []).append(worker_id)
        return groups.values()

    def _report_stalled(
        self, now: float, run: tracking.Run, members: list[tracking.Run]
    ) -> None:
        spec = run.task.step.spec
        self._pending_actions.append(
            actions.ReportStalled(
                run.worker_id,
                run.task.id,
                specs.RunNumber(run.number),
                run.percent,
                now - run.last_progress_at,
                now - run.started_at,
                spec.estimate_s,
                tuple(member.percent for member in members),
                sum(
                    member.state is not tracking.RunState.CONFIRMED
                    for member in members
                ),
            )
        )

    def _gang_members(self, run: tracking.Run) -> list[tracking.Run]:
        """Return the tracked runs of a run's gang; none if it is in none."""
        step = run.task.step
        if not step.spec.gang:
            return []
        return [
            member
            for _, member in self._runs_of_job(step.job)
            if member.task.step is step and member.number == run.number
        ]

    def _adopt_run(
        self,
        now: float,
        sent_at: float,
        worker: tracking.TrackedWorker,
        row: specs.RunningRow,
    ) -> tracking.Run | None:
        """Track a listed run that an earlier holder of the term started.

        A run of a job that is not active, or of a task that is placed or
        done already, is stopped.
        """
        if sent_at < worker.last_end_at:
            # The run may have ended since; the next report tells.
            return None
        task = self.jobs.find_task(row.task_id)
        if task is None:
            key = (row.task_id, row.run)
            ordered_at = worker.unknown_runs.get(key, float('-inf'))
            if now - ordered_at > stops.STOP_RETRY_S:
                worker.unknown_runs[key] = now
                self._pending_actions.append(
                    actions.Stop(
                        worker.entry, row.task_id, row.run, 'no active job'
                    )
                )
            return None
        run = tracking.Run(
            task,
            row.run,
            worker.entry.worker_id,
            tracking.RunState.CONFIRMED,
            now,
        )
        self._add_run(worker, run)
        task.last_run_number = max(task.last_run_number, row.run)
        is_surplus = task.state is not work.TaskState.WAITING
        if is_surplus:
            run.is_primary = False
            self._pending_actions.append(
                actions.ReportSurplusRun(
                    worker.entry.worker_id,
                    task.id,
                    row.run,
                    specs.RunNumber(task.placed_run_number),
                )
            )
            self._stop_run(worker, run, now, 'task is placed or done already')
        else:
            self.jobs.mark_placed(task, row.run, worker.entry.worker_id)
        return run

    def _apply_end_row(
        self, now: float, worker: tracking.TrackedWorker, row: specs.EndRow
    ) -> None:
        run = worker.runs_by_key.get((row.task_id, row.run))
        if run is not None:
            ended_itself = row.reason in (
                specs.EndReason.DONE,
                specs.EndReason.FAILED,
            )
            if run.on_probation and ended_itself:
                self.jobs.clear_suspicion(run.task)
            if row.reason is specs.EndReason.DONE:
                speculation.observe(now, run)
            self._remove_run(worker, run)
        task = run.task if run else self.jobs.find_task(row.task_id)
        if task is None or task.step.job.state in specs.ENDED_STATES:
            return
        task.last_run_number = max(task.last_run_number, row.run)
        if row.reason is specs.EndReason.DONE:
            self.quarantine.record_success(
                worker.entry.worker_id, now, task.id
            )
            if run is not None:
                self._learn_run_time(now, worker, run)
            self._complete_task(now, task, row.run)
            return
        if row.reason is specs.EndReason.FAILED:
            self._record_task_failure(
                now, worker, task, row.run, run is not None and _serves(run)
            )
        if task.step.job.state in specs.ENDED_STATES:
            return
        if (
            run is not None
            and run.is_primary
            and task.placed_run_number == row.run
        ):
            if row.checkpoint:
                task.checkpoint = row.checkpoint
            self._requeue(now, run)

    def _learn_run_time(
        self, now: float, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        """Learn from a run that ended well.

        The first end of a gang stands for all its members.
        """
        spec = run.task.step.spec
        if (
            run.task.state is work.TaskState.DONE
            or run.began_at is None
            or spec.long_running
            or spec.filler
            or spec.data_rack not in ('', worker.entry.rack)
        ):
            return
        began_at = run.began_at
        for member in self._gang_members(run):
            if member.began_at is None:
                return
            began_at = max(began_at, member.began_at)
        real_s = now - began_at
        if run.is_resumed:
            if not 0 <= run.first_percent <= MAX_RESUMED_PERCENT:
                return
            real_s = (now - run.first_listed_at) / (
                1 - run.first_percent / 100
            )
        run_times.record_run(self.run_times, run.task.step, real_s)

    def _complete_task(
        self, now: float, task: work.Task, run_number: int
    ) -> None:
        tasks = task.step.tasks if task.step.spec.gang else [task]
        for member in tasks:
            self.jobs.complete_task(now, member)
        self._stop_other_runs(now, task, run_number)
        job = task.step.job
        if self.jobs.is_complete(job):
            self._end_job(job, specs.JobState.COMPLETED, now)

    def _stop_other_runs(
        self, now: float, task: work.Task, run_number: int
    ) -> None:
        """Stop the runs that the success of a run makes superfluous.

        The members of a gang with the same run number succeed together.
        """
        if task.step.spec.gang:
            others = [
                (worker, run)
                for worker, run in self._runs_of_job(task.step.job)
                if run.task.step is task.step and run.number != run_number
            ]
        else:
            others = self._runs_of_task(task)
        for worker, run in others:
            self._stop_run(worker, run, now, 'another run succeeded')

    def _record_task_failure(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        task: work.Task,
        run_number: int,
        had_served: bool,
    ) -> None:
        """Record that a run failed.

        :param had_served: whether a long-running task was at work.  Its
            failure says nothing against the worker.
        """
        job = task.step.job
        worker_id = worker.entry.worker_id
        if not had_served:
            self.quarantine.record_failure(now, worker_id, job.job_id, task.id)
        task.failed_worker_ids.add(worker_id)
        if task.step.spec.long_running or task.state is work.TaskState.DONE:
            return
        attempts = self.jobs.record_failure(task, run_number)
        if attempts >= job.queue.max_attempts:
            self._end_job(job, specs.JobState.FAILED, now)

    def _remove_lost_run(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        run: tracking.Run,
        evidence: actions.LossEvidence,
    ) -> None:
        """Remove a run that is over without a reported end.

        Its task is queued again if this run was its current one.
        """
        self._pending_actions.append(
            actions.ReportRunLost(
                worker.entry.worker_id,
                run.task.id,
                specs.RunNumber(run.number),
                evidence,
                run.state,
                now - run.ordered_at,
            )
        )
        self._remove_run(worker, run)
        task = run.task
        if (
            run.is_primary
            and task.state is work.TaskState.PLACED
            and task.placed_run_number == run.number
        ):
            self._requeue(now, run)

    def _requeue(self, now: float, run: tracking.Run) -> None:
        """Queue the task of a run again; a gang starts anew as a whole."""
        step = run.task.step
        if self._promote_copy(run.task):
            return
        self.jobs.requeue(run.task)
        # The others are stopped already if this run was stopped with them.
        if step.spec.gang and (
            run.stop is None or run.stop.reason != GANG_INCOMPLETE
        ):
            self._stop_gang(now, step, run.number)

    def _promote_copy(self, task: work.Task) -> bool:
        """Let the copy of a task be its run; return whether there is one."""
        if not task.copy_run_number:
            return False
        for worker, run in self._runs_of_task(task):
            if run.is_copy and run.stop is None:
                run.is_copy = False
                run.is_primary = True
                self.jobs.forget_copy(task)
                self.jobs.mark_placed(task, run.number, worker.entry.worker_id)
                return True
        return False

    def _add_run(
        self, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        job = run.task.step.job
        run.on_probation = run.task.index in run.task.step.suspect_indexes
        worker.add_run(run)
        self.jobs.budget.change(job.customer_id, memory.RUN_BYTES)
        self.usage.add(job.customer_id, run.task.step.spec.size)
        self._runs_by_job.setdefault(job.job_id, {})[
            run.task.id, run.number
        ] = run
        self._runs_by_task.setdefault(run.task.id, {})[run.number] = run

    def _runs_of_task(
        self, task: work.Task
    ) -> list[tuple[tracking.TrackedWorker, tracking.Run]]:
        return [
            (self.workers_by_id[run.worker_id], run)
            for run in self._runs_by_task.get(task.id, {}).values()
        ]

    def _runs_of_job(
        self, job: work.Job
    ) -> list[tuple[tracking.TrackedWorker, tracking.Run]]:
        return [
            (self.workers_by_id[run.worker_id], run)
            for run in self._runs_by_job.get(job.job_id, {}).values()
        ]

    def _remove_run(
        self, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        job_id = run.task.step.job.job_id
        runs = self._runs_by_job.get(job_id, {})
        runs.pop((run.task.id, run.number), None)
        if not runs:
            self._runs_by_job.pop(job_id, None)
        runs_of_task = self._runs_by_task.get(run.task.id, {})
        runs_of_task.pop(run.number, None)
        if not runs_of_task:
            self._runs_by_task.pop(run.task.id, None)
        worker.remove_run(run)
        self.jobs.budget.change(
            run.task.step.job.customer_id, -memory.RUN_BYTES
        )
        if run.is_copy and run.task.copy_run_number == run.number:
            self.jobs.forget_copy(run.task)
        self.quarantine.clear_probe(worker.entry.worker_id, run.task.id)
        self.usage.remove(
            run.task.step.job.customer_id, run.task.step.spec.size
        )

    def _stop_gang(
        self,
        now: float,
        step: work.StepRun,
        run_number: int | None = None,
        reason: str = GANG_INCOMPLETE,
    ) -> None:
        """Stop the members of a gang, by default those without the others.

        :param run_number: number that their runs share; any by default.
        """
        for worker, run in self._runs_of_job(step.job):
            if run.task.step is step and run_number in (None, run.number):
                self._stop_run(worker, run, now, reason)

    def _stop_run(
        self,
        worker: tracking.TrackedWorker,
        run: tracking.Run,
        now: float,
        reason: str,
    ) -> None:
        if run.stop is not None:
            return
        run.stop = stops.StopDecision(now, reason)
        self._send_due_stop(now, worker, run)
        self._pending_actions.append(
            actions.ReportStopDecided(
                worker.entry.worker_id,
                run.task.id,
                specs.RunNumber(run.number),
                reason,
                run.state is not tracking.RunState.ORDERED,
            )
        )

    def _send_due_stop(
        self, now: float, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        """Send a stop order if one is due.

        It waits for the answer of the start, which could otherwise reach the
        worker after it.
        """
        stop = run.stop
        if (
            stop is None
            or run.state is tracking.RunState.ORDERED
            or not worker.entry.address
            or not stop.is_order_due(now)
        ):
            return
        stop.record_order(now)
        if run.state is tracking.RunState.UNCERTAIN and not stop.is_accepted:
            run.lists_valid_from = float('inf')
        self._pending_actions.append(
            actions.Stop(
                worker.entry,
                run.task.id,
                specs.RunNumber(run.number),
                stop.reason,
            )
        )

    def _send_late_stops(
        self, now: float, worker: tracking.TrackedWorker
    ) -> None:
        self._pending_actions.extend(
            actions.Stop(worker.entry, task_id, run_number, reason)
            for task_id, run_number, reason in (
                worker.record_due_late_stops(now)
            )
        )

    # Answers to actions

    def handle_start_result(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
        outcome: specs.StartOutcome,
        token: specs.CallToken | None = None,
    ) -> None:
        """Apply a worker's answer to a start order.

        :param token: that the order carried; the worker's present one by
            default.
        """
        if outcome is specs.StartOutcome.FENCED:
            self.record_refused_token(
                worker_id,
                self.token_for(worker_id) if token is None else token,
            )
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return
        run = worker.runs_by_key.get((task_id, run_number))
        if run is None:
            return
        if run.state is not tracking.RunState.ORDERED:
            return
        run.started_at = now
        run.order_sent = True
        if outcome is specs.StartOutcome.STARTED:
            worker.last_answer_at = now
            run.state = tracking.RunState.CONFIRMED
            run.has_begun = True
            run.lists_valid_from = now
            run.last_progress_at = now
            run.began_at = now
            self.jobs.mark_running(run.task.step.job)
            self._send_due_stop(now, worker, run)
            return
        if outcome is specs.StartOutcome.UNKNOWN:
            worker.record_unanswered_order(now, task_id, run_number)
            run.state = tracking.RunState.UNCERTAIN
            run.lists_valid_from = now
            if run.stop is None:
                self._pending_actions.append(actions.PollWorker(worker_id))
            self._send_due_stop(now, worker, run)
            return
        self._handle_refusal(now, worker, run, outcome)

    def _handle_refusal(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        run: tracking.Run,
        outcome: specs.StartOutcome,
    ) -> None:
        self._remove_lost_run(now, worker, run, actions.LossEvidence.REFUSED)
        step = run.task.step
        step.blocked_until = now + STEP_RETRY_DELAY_S
        worker_id = worker.entry.worker_id
        if outcome in (
            specs.StartOutcome.NOT_SENT,
            specs.StartOutcome.FENCED,
            # The order is at fault, not the worker.
            specs.StartOutcome.MALFORMED,
        ):
            pass
        elif outcome is specs.StartOutcome.NO_TICKET:
            step.tickets.by_worker_id.pop(worker_id, None)
        elif outcome is specs.StartOutcome.OLD_RUN:
            run.task.last_run_number += RUNS_PER_TERM
        elif outcome is specs.StartOutcome.LATE:
            self._pending_actions.append(actions.PollWorker(worker_id))
        else:
            worker.avoid_until = max(
                worker.avoid_until, now + UNHEALTHY_PAUSE_S
            )
            self._pending_actions.append(actions.PollWorker(worker_id))

    def handle_stop_result(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
        accepted: bool,
        sent_at: float = float('inf'),
    ) -> None:
        """Apply a worker's answer to a stop order.

        :param sent_at: when the order was sent; after all restarts that are
            known by default.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None or sent_at <= worker.restart_learned_at:
            return
        if accepted:
            worker.record_accepted_stop(task_id, run_number)
        run = worker.runs_by_key.get((task_id, run_number))
        if run is None or run.stop is None:
            return
        if accepted and run.stop.is_ordered:
            run.stop.is_accepted = True
            # A list requested from now on that doesn't contain the run
            # proves that it is over or will never start.
            run.lists_valid_from = now

    def handle_throttle_result(
        self, now: float, action: actions.Throttle, accepted: bool
    ) -> None:
        """Apply a worker's answer to a throttle order."""
        worker = self.workers_by_id.get(action.worker.worker_id)
        if worker is None:
            return
        run = worker.runs_by_key.get((action.task_id, action.run))
        if run is None:
            return
        run.throttle_pending = False
        if not accepted:
            run.throttle_percent = tracking.UNKNOWN_PERCENT
            run.throttle_unsettled_until = now + tracking.LATE_ORDER_S

    def handle_advice_result(
        self,
        now: float,
        asked_at: float,
        step_id: str,
        asked_ids: Iterable[model.WorkerId],
        advice: ports.Advice | None,
    ) -> None:
        """Apply the result of a call to the advice service.

        :param asked_ids: workers that the call was about.
        :param advice: the answer, or ``None`` if the call failed.
        """
        step = self.jobs.find_step(step_id)
        if step is None:
            return
        advising.apply_advice(
            now,
            asked_at,
            step,
            asked_ids,
            advice,
            self.workers_by_id,
            self.suitable_shares,
        )

    def lease_deadline(self, now: float, worker_id: str) -> int | None:
        """Return the lease deadline to send with a call to a worker, if any.

        The lease of a silent worker is not extended.  Otherwise it would
        never expire, and its tasks would never be started elsewhere.
        """
        worker = self.workers_by_id.get(model.WorkerId(worker_id))
        if worker is None or worker.silent_since is not None:
            return None
        return worker.deadline_after(now, self._max_lease_s)

    def record_lease_deadline(
        self, worker_id: model.WorkerId, deadline_ms: int | None
    ) -> None:
        """Record a lease deadline that is about to be sent to a worker."""
        worker = self.workers_by_id.get(worker_id)
        if worker is not None and deadline_ms is not None:
            worker.lease_deadline_ms = max(
                worker.lease_deadline_ms, deadline_ms
            )

    # Planning

    def plan(
        self, now: float, advice_callers: planner.AdviceCallers
    ) -> list[actions.Action]:
        """Return the actions to execute now.

        :param advice_callers: capacity for calls to the advice service.
        """
        if now - self._last_check_at >= pacing.check_interval_s(
            len(self.workers_by_id)
        ):
            self._last_check_at = now
            self._check_workers(now)
            self._throttle_fillers(now)
        self._pending_actions.extend(
            actions.ReportInterference(change)
            for change in self.interference.take_changes(now)
        )
        self.jobs.begin_due_occurrences(now)
        planned = planner.plan(now, self, advice_callers)
        result = self._pending_actions
        self._pending_actions = []
        result.extend(planned)
        return result

    def record_placement(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> int:
        """Track a run that is to be ordered; return the number of the start.

        The order must not be sent before the placement is stored.
        """
        run = tracking.Run(
            task, run_number, worker_id, tracking.RunState.ORDERED, now
        )
        run.is_resumed = task.checkpoint != specs.NO_CHECKPOINT
        self._add_run(self.workers_by_id[worker_id], run)
        self.jobs.mark_placed(task, run_number, worker_id)
        self._start_count += 1
        return self._start_count

    def record_copy(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> int:
        """Track a copy that is to be ordered; return the start's number.

        Like any other, it is stored before its order is sent.
        """
        run = tracking.Run(
            task, run_number, worker_id, tracking.RunState.ORDERED, now
        )
        run.is_primary = False
        run.is_copy = True
        run.is_resumed = task.checkpoint != specs.NO_CHECKPOINT
        self._add_run(self.workers_by_id[worker_id], run)
        self.jobs.mark_copied(task, run_number, worker_id)
        self._start_count += 1
        return self._start_count

    def displace_run(self, now: float, run: tracking.Run) -> None:
        """Stop a run, which goes on later, to make room for another step."""
        run.task.step.job.displaced_at = now
        worker = self.workers_by_id[run.worker_id]
        self._stop_run(worker, run, now, displacing.REASON)

    def should_send_start(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
    ) -> bool:
        """Return whether a planned start should still be sent.

        The worker's capacity may have changed since it was planned.
        """
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return False
        if worker.is_overcommitted or worker.entry_is_outdated:
            return False
        if self.evacuations.covers(worker.entry.zone):
            return False
        if not self.evacuations.permits_starts(now):
            return False
        if not (
            self.registry_freshness.permits_starts(now)
            or self.configuration.enforces_capacity(worker.entry.service)
        ):
            return False
        run = worker.runs_by_key.get((task_id, run_number))
        return run is not None and run.stop is None

    def mark_start_sent(
        self,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
    ) -> None:
        """Record that a start order is about to be sent."""
        worker = self.workers_by_id.get(worker_id)
        run = worker.runs_by_key.get((task_id, run_number)) if worker else None
        if run is not None:
            run.order_sent = True

    def _check_workers(self, now: float) -> None:
        self._crashes.forget_old_losses(now)
        if self.quarantine.is_active:
            self.quarantine.release_excess(self._groups_of_workers())
        self.runs_to_copy.clear()
        for worker_id, worker in list(self.workers_by_id.items()):
            silent = worker.silent_since is not None
            if (
                silent
                and worker.runs_by_key
                and not _has_left(worker)
                and self._crashes.has_successor(worker)
            ):
                self._remove_crashed_runs(now, worker)
            unavailable = silent or not worker.registered
            if worker.has_reported:
                expired = worker.lease_expired(now)
            else:
                expired = now >= self._inherited_leases_end(worker)
            if unavailable and (expired or not worker.runs_by_key):
                self._remove_unproved_runs(now, worker)
                if not worker.registered and not worker.has_late_orders(now):
                    del self.workers_by_id[worker_id]
                    self.worker_speeds.forget(worker_id)
                    continue
            if not silent:
                self._send_late_stops(now, worker)
            for run in list(worker.runs_by_key.values()):
                self._check_run(now, worker, run)

    def _inherited_leases_end(self, worker: tracking.TrackedWorker) -> float:
        """Return when the leases of a worker without a report have ended.

        The earlier holder's calls for the process before the present one
        grant the longest lease, however late they are carried out.
        """
        if worker.is_next_process:
            return max(
                self._inherited_leases_expire_at, worker.former_leases_end_at
            )
        started_at = worker.started_unix_ms / 1000 - self.jobs.unix_offset_s
        after_restart = tracking.former_leases_end(
            started_at + tracking.RESTART_NOTICED_S, self._max_lease_s
        )
        latest = self._inherited_leases_expire_at + tracking.LATE_ORDER_S
        return max(
            self._inherited_leases_expire_at, min(after_restart, latest)
        )

    def _remove_unproved_runs(
        self, now: float, worker: tracking.TrackedWorker
    ) -> None:
        """Remove the runs of a worker that is lost without a proved crash."""
        runs = list(worker.runs_by_key.values())
        self._attribute_unsettled_crash(now, worker)
        lost = crashes.lost_worker(now, worker, runs)
        if not worker.entry.address:
            # Its row is gone: no later row can prove that it crashed.
            for lost_run in lost.runs:
                self.jobs.record_crash(
                    lost_run.task,
                    lost_run.number,
                    records.TaskCrash(
                        worker.entry.worker_id, False, lost_run.had_begun
                    ),
                )
                self._give_up_if_due(now, lost_run.task, True)
        elif runs and not _has_left(worker):
            self._crashes.record_loss(lost)
        for run in runs:
            self._remove_lost_run(
                now, worker, run, actions.LossEvidence.LEASE_EXPIRED
            )

    def _remove_crashed_runs(
        self, now: float, worker: tracking.TrackedWorker
    ) -> None:
        """Remove the runs of a worker whose machine runs a newer process.

        An order that is still on its way names the old process, which the
        new one refuses.
        """
        runs = list(worker.runs_by_key.values())
        self._attribute_unsettled_crash(now, worker)
        self._attribute_crash(now, crashes.lost_worker(now, worker, runs))
        for run in runs:
            self._remove_lost_run(
                now, worker, run, actions.LossEvidence.MACHINE_RESTARTED
            )

    def _check_run(
        self, now: float, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        self._report_overdue_stop(now, worker, run)
        if run.stop is not None:
            if worker.silent_since is None:
                self._send_due_stop(now, worker, run)
            return
        if run.state is tracking.RunState.ORDERED:
            return
        if speculation.is_due(now, run, self._run_times):
            self.runs_to_copy[run.task.id] = run
        if (
            run.on_probation
            and not run.probation_is_checked
            and now - run.started_at > crashes.START_WINDOW_S
        ):
            run.probation_is_checked = True
            self._pending_actions.append(
                actions.PollWorker(worker.entry.worker_id)
            )
        spec = run.task.step.spec
        if run.is_primary and self.evacuations.covers(worker.entry.zone):
            self._move_from_evacuated_zone(now, worker, run)
        if not run.is_primary or not (
            worker.is_draining or worker.closed_for_upkeep
        ):
            return
        if spec.long_running:
            if self._within_disruption_budget(run.task.step):
                self._stop_run(worker, run, now, 'worker leaves')
        elif worker.is_draining and not spec.gang:
            remaining_s = run.task.step.expected_s * (1 - run.percent / 100)
            if spec.checkpoints and remaining_s > worker.entry.leaves_in_s:
                self._stop_run(worker, run, now, 'worker leaves')

    def _move_from_evacuated_zone(
        self, now: float, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        """Stop a run that is to go on in another zone.

        A gang moves as a whole, or ends where it is.
        """
        if not self.evacuations.should_move(
            now, worker, run, self.workers_by_id.values()
        ):
            return
        step = run.task.step
        if step.spec.gang:
            self._stop_gang(now, step, run.number, evacuation.STOP_REASON)
        elif not step.spec.long_running or (
            self._within_disruption_budget(step)
        ):
            self._stop_run(worker, run, now, evacuation.STOP_REASON)

    def _report_overdue_stop(
        self, now: float, worker: tracking.TrackedWorker, run: tracking.Run
    ) -> None:
        stop = run.stop
        if (
            stop is None
            or stop.is_reported
            or worker.silent_since is not None
            or not stop.is_overdue(now)
        ):
            return
        stop.is_reported = True
        self._pending_actions.append(
            actions.ReportStopOverdue(
                worker.entry.worker_id,
                run.task.id,
                specs.RunNumber(run.number),
                stop.reason,
                now - stop.decided_at,
                stop.orders,
                stop.is_accepted,
            )
        )

    def _within_disruption_budget(self, step: work.StepRun) -> bool:
        """Return whether one more long-running task may be interrupted."""
        unavailable = len(step.waiting) + sum(
            1
            for _, run in self._runs_of_job(step.job)
            if run.task.step is step
            and (
                run.state is not tracking.RunState.CONFIRMED
                or run.stop is not None
                or run.percent < READY_PERCENT
            )
        )
        return unavailable < max(1, step.spec.max_unavailable)

    def _throttle_fillers(self, now: float) -> None:
        for worker in self.workers_by_id.values():
            fillers = []
            serving = []
            for run in worker.runs_by_key.values():
                spec = run.task.step.spec
                if (
                    run.state is not tracking.RunState.CONFIRMED
                    or run.stop is not None
                ):
                    continue
                if spec.filler:
                    fillers.append(run)
                elif spec.latency_target_s:
                    serving.append(run)
            if not fillers:
                continue
            percent = throttling.target_percent(now, worker, serving)
            if percent != worker.filler_percent:
                worker.filler_percent = percent
                worker.throttle_changed_at = now
            for run in fillers:
                if throttling.is_order_due(now, run, percent):
                    run.throttle_percent = percent
                    run.throttle_ordered_at = now
                    run.throttle_pending = True
                    self._pending_actions.append(
                        actions.Throttle(
                            worker.entry,
                            run.task.id,
                            specs.RunNumber(run.number),
                            percent,
                        )
                    )

    # Storing

    def collect_changes(self) -> actions.Changes:
        """Return the changes to store and mark them as collected."""
        puts, removals, row_keys = self.jobs.collect_changes()
        return actions.Changes(
            row_keys,
            self._start_count,
            puts,
            removals,
            self._ends_to_acknowledge(),
        )

    def _ends_to_acknowledge(self) -> dict[model.WorkerId, tuple[int, int]]:
        """Return for each worker which ends it may forget after this write.

        An end whose job has changes that are not collected yet, and all
        later ones of that worker, wait for a later write.

        :return: start time of the worker and number of its last such end.
        """
        ends_by_worker_id = {}
        for worker_id, worker in self.workers_by_id.items():
            last = 0
            while worker.unstored_ends:
                number, task_id = worker.unstored_ends[0]
                if self.jobs.has_uncollected_changes(task_id):
                    break
                worker.unstored_ends.popleft()
                last = number
            if last:
                ends_by_worker_id[worker_id] = (worker.started_unix_ms, last)
        return ends_by_worker_id

    def mark_stored(
        self, now: float, changes: actions.Changes
    ) -> list[model.WorkerId]:
        """Record that changes are stored.

        :return: workers that may forget more ends than before.
        """
        self.jobs.mark_stored(now, changes.row_keys)
        advanced = []
        for worker_id, (
            started_unix_ms,
            number,
        ) in changes.ends_by_worker_id.items():
            worker = self.workers_by_id.get(worker_id)
            if worker is None or worker.started_unix_ms != started_unix_ms:
                continue
            if number > worker.last_stored_end:
                worker.last_stored_end = number
                advanced.append(worker_id)
        return advanced


def _serves(run: tracking.Run) -> bool:
    """Return whether a run of a long-running task is at work."""
    return run.task.step.spec.long_running and run.percent >= READY_PERCENT


def _has_left(worker: tracking.TrackedWorker) -> bool:
    """Return whether a worker that ends does so as announced."""
    return worker.is_draining or worker.closed_for_upkeep


def _placeholder_entry(
    task: work.Task, worker_id: model.WorkerId
) -> specs.WorkerEntry:
    """Return an entry for a worker known only by a stored placement."""
    return specs.WorkerEntry(
        worker_id,
        '',
        task.step.job.queue.service,
        model.ZoneId(''),
        specs.WorkerState.DRAINING,
        model.Resources(),
        (),
        '',
    )
