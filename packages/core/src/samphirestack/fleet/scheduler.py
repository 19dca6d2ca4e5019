"""The scheduler of the fleet, as a pure state machine.

Its daemon feeds it with jobs, workers' lists and answers to orders, and
carries out the actions that ``plan`` returns.  A run occupies room from its
order until its worker lists its end, until the worker's lease or life is
over, or until the worker has confirmed that the run will never start.
"""

from collections.abc import Iterable

from samphirestack.fleet import actions
from samphirestack.fleet import advising
from samphirestack.fleet import beliefs
from samphirestack.fleet import jobbook
from samphirestack.fleet import pacing
from samphirestack.fleet import planner
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import shares
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack.fleet import work
from samphirestack.internal.decisions import quarantine
from samphirestack import model

RUNS_PER_TERM = 20
"""Run numbers that each term sets aside; runs that an earlier holder
started out of this one's sight have lower numbers."""

UNHEALTHY_PAUSE_S = 1.0
"""No orders to a worker that refused one as unhealthy."""

STEP_PAUSE_S = 0.25
"""Before the next try of a step whose start was refused."""

STALL_MIN_S = 2.0
STALL_ESTIMATES = 1.0
"""A run without progress for STALL_MIN_S and this many of its estimates is
stopped and started elsewhere."""

STALL_PAUSE_S = 6.0
"""No new work for a worker on which a run stood still."""

CHECK_EVERY_S = 0.045
"""Between looks at all runs; nothing there is due within less.  They took
a third of the time of plans for 176 workers."""

AT_WORK_PERCENT = 100.0
"""A task that lasts is at work when it reports this."""

STOP_AGAIN_S = 1.0
"""Between orders to stop a run while the worker does not answer."""


class FleetScheduler:
    """Decides for all workers during one term.

    :param term: number of the term, the fencing token of all orders.
    :param now: when the term began.
    :param max_lease_s: longest lease that workers accept.
    """

    def __init__(
        self,
        now: float,
        term: int,
        configuration: specs.FleetConfiguration,
        max_lease_s: float,
    ) -> None:
        self.term = term
        self.configuration = configuration
        self.beliefs_by_id: dict[model.WorkerId, beliefs.Belief] = {}
        self.usage = shares.Usage()
        self.jobs = jobbook.JobBook(RUNS_PER_TERM * (term - 1))
        self.quarantine = quarantine.Quarantine()
        self.advice_shares = advising.AdviceShares()
        self._checked_at = float('-inf')
        self._runs_by_job: dict[
            model.JobId, dict[tuple[model.TaskId, int], beliefs.Run]
        ] = {}
        self._rates = shares.JobRates()
        self._max_lease_s = max_lease_s
        self._starts = 0
        # A takeover may follow the last renewal at once: a cut that refuses
        # connections looks like the death of the holder.
        self._unheard_until = (
            now
            + terms.HOLD_LEASE_S
            + max_lease_s * (1 + beliefs.CLOCK_SLOWNESS)
        )
        self._urgent_actions: list[actions.Action] = []
        self.fenced = False
        """A worker has heard of a newer term."""

    # Jobs

    def configure(self, configuration: specs.FleetConfiguration) -> None:
        """Use a newer configuration."""
        self.configuration = configuration

    def inherit_job(
        self,
        now: float,
        unix_now: float,
        record: records.JobRecord,
        progress: records.JobProgress | None,
    ) -> None:
        """Take over a job that was accepted before this term."""
        if record.spec is None:
            self.jobs.add_ended(record, progress is not None)
            return
        if progress is not None and progress.ended is not None:
            self.jobs.add_unarchived(now, progress.ended)
            return
        job = self._add_job(now, unix_now, record)
        if job is None:
            return
        if progress is not None:
            self.jobs.restore(now, job, progress)
            for task, run, worker_id in self.jobs.suspected(job):
                self._suspect(now, task, run, worker_id)

    def _suspect(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> None:
        """Count a run that an earlier holder may have started.

        It is over when its worker lists it no longer, or when no lease of
        an earlier holder can last any more.
        """
        belief = self.beliefs_by_id.get(worker_id)
        if belief is None:
            belief = beliefs.Belief(_unlisted(task, worker_id))
            belief.listed = False
            self.beliefs_by_id[worker_id] = belief
        run = beliefs.Run(
            task, run_number, worker_id, beliefs.RunState.CONFIRMED, now
        )
        run.confirmed_at = float('-inf')
        self._occupy(belief, run)
        self.jobs.placed(task, run_number, worker_id)

    def accept_job(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> bool:
        """Take a job that was stored during this term."""
        if record.spec is None or self.jobs.knows(record.job_id):
            return False
        job = self._add_job(now, unix_now, record)
        if job is None:
            return False
        job.over_share = self._rates.is_over(
            now, job.customer_id, self.configuration.customers_by_id
        )
        return True

    def _add_job(
        self, now: float, unix_now: float, record: records.JobRecord
    ) -> work.Job | None:
        age_s = min(max(0.0, unix_now - record.accepted_unix_s), 600.0)
        assert record.spec is not None
        due_in_s = record.spec.first_due_unix_s - unix_now
        job = work.Job(record, now - age_s, now + due_in_s)
        self.jobs.add(now, job)
        return job

    def cancel(self, now: float, job_id: model.JobId) -> bool:
        """End a job at its caller's wish; return whether it was running."""
        job = self.jobs.active_by_id.get(job_id)
        if job is None:
            return False
        self._end_job(job, specs.JobState.CANCELLED, now)
        return True

    def _end_job(
        self, job: work.Job, state: specs.JobState, now: float
    ) -> None:
        self.jobs.end(now, job, state)
        if state is specs.JobState.COMPLETED:
            # What is still listed has ended; its workers are about to say so.
            return
        for belief, run in self._runs_of(job):
            self._stop(belief, run, now, state.value)

    # Workers

    def set_workers(
        self, now: float, entries: Iterable[specs.WorkerEntry]
    ) -> list[model.WorkerId]:
        """Use the list of registered workers; return the new ones."""
        listed = {entry.worker_id: entry for entry in entries}
        new = []
        for worker_id, entry in listed.items():
            belief = self.beliefs_by_id.get(worker_id)
            if belief is None:
                self.beliefs_by_id[worker_id] = beliefs.Belief(entry)
                new.append(worker_id)
            else:
                self._renew_entry(now, belief, entry)
        for worker_id, belief in list(self.beliefs_by_id.items()):
            belief.listed = worker_id in listed
        return new

    def _renew_entry(
        self,
        now: float,
        belief: beliefs.Belief,
        entry: specs.WorkerEntry,
    ) -> None:
        if not belief.started_unix_ms:
            belief.started_unix_ms = entry.started_unix_ms
        elif entry.started_unix_ms > belief.started_unix_ms:
            self._new_life(now, belief, entry.started_unix_ms, None)
        if entry.capacity != belief.entry.capacity:
            old = belief.entry.capacity
            change = entry.capacity - old
            belief.free_cpu += change.millicores
            belief.free_memory += change.memory_mb
            belief.free_gpu += change.accelerators
        belief.entry = entry

    def report(
        self,
        now: float,
        sent_at: float,
        worker_id: model.WorkerId,
        report: specs.WorkerReport,
    ) -> None:
        """Compare a worker's lists with what is believed.

        :param sent_at: when the lists were asked for.
        """
        belief = self.beliefs_by_id.get(worker_id)
        if belief is None:
            return
        if report.started_unix_ms < belief.started_unix_ms:
            return
        if not belief.started_unix_ms:
            belief.started_unix_ms = report.started_unix_ms
        elif report.started_unix_ms > belief.started_unix_ms:
            self._new_life(now, belief, report.started_unix_ms, report)
        belief.silent_since = None
        belief.read_clock(now, report.clock_ms)
        if not belief.reported:
            # An earlier holder may have extended the lease this far.
            belief.deadline_ms = max(
                belief.deadline_ms,
                report.clock_ms + self._max_lease_s * 1000,
            )
        for row in report.ended:
            if row.number > belief.last_end:
                belief.last_end = row.number
                belief.unstored_ends.append((row.number, row.task_id))
                self._ended(now, belief, row)
        listed = set()
        for running in report.running:
            listed.add((running.task_id, running.run))
            self._running(now, belief, running)
        for key in list(belief.unknown_runs):
            if key not in listed:
                del belief.unknown_runs[key]
        for key, run in list(belief.runs_by_key.items()):
            if key in listed:
                continue
            sure = (
                run.state is beliefs.RunState.CONFIRMED
                or run.state is beliefs.RunState.STOPPING
            )
            if sure and run.confirmed_at < sent_at:
                self._lost(belief, run)
            elif run.state is beliefs.RunState.UNCERTAIN and (
                run.confirmed_at < sent_at
            ):
                self._stop(belief, run, now, 'unanswered')
        belief.reported = True

    def worker_silent(self, now: float, worker_id: model.WorkerId) -> None:
        """Take note that a worker did not answer."""
        belief = self.beliefs_by_id.get(worker_id)
        if belief is not None and belief.silent_since is None:
            belief.silent_since = now

    def _new_life(
        self,
        now: float,
        belief: beliefs.Belief,
        started_unix_ms: int,
        report: specs.WorkerReport | None,
    ) -> None:
        belief.started_unix_ms = started_unix_ms
        belief.last_end = 0
        belief.last_seen = 0
        belief.unstored_ends.clear()
        belief.deadline_ms = 0.0
        belief.clock_at = float('-inf')
        kept = (
            {(row.task_id, row.run) for row in report.running}
            if (report)
            else set()
        )
        for key, run in list(belief.runs_by_key.items()):
            if key in kept:
                continue
            pending = run.state in (
                beliefs.RunState.ORDERED,
                beliefs.RunState.UNCERTAIN,
            )
            if pending:
                # The order may still reach the new life.
                run.state = beliefs.RunState.UNCERTAIN
                run.confirmed_at = now
            else:
                self._lost(belief, run)

    def _running(
        self, now: float, belief: beliefs.Belief, row: specs.RunningRow
    ) -> None:
        key = (row.task_id, row.run)
        run = belief.runs_by_key.get(key)
        if run is None:
            run = self._adopt(now, belief, row)
            if run is None:
                return
        if run.state is not beliefs.RunState.STOPPING:
            if run.state is not beliefs.RunState.CONFIRMED:
                run.state = beliefs.RunState.CONFIRMED
            run.confirmed_at = now
        if row.percent != run.percent:
            run.percent = row.percent
            run.progressed_at = now
        else:
            self._check_progress(now, belief, run)
        run.load = row.load
        if run.counted:
            run.task.checkpoint = row.checkpoint

    def _check_progress(
        self, now: float, belief: beliefs.Belief, run: beliefs.Run
    ) -> None:
        spec = run.task.step.spec
        stalled_s = max(STALL_MIN_S, STALL_ESTIMATES * spec.estimate_s)
        if (
            spec.long_running
            or run.state is not beliefs.RunState.CONFIRMED
            or now - run.progressed_at <= stalled_s
        ):
            return
        belief.avoid_until = max(belief.avoid_until, now + STALL_PAUSE_S)
        run.task.failed_worker_ids.add(belief.entry.worker_id)
        self._stop(belief, run, now, 'no progress')

    def _adopt(
        self, now: float, belief: beliefs.Belief, row: specs.RunningRow
    ) -> beliefs.Run | None:
        """Count a run that an earlier holder of the term started."""
        task = self.jobs.find_task(row.task_id)
        if task is None:
            key = (row.task_id, row.run)
            ordered_at = belief.unknown_runs.get(key, float('-inf'))
            if now - ordered_at > STOP_AGAIN_S:
                belief.unknown_runs[key] = now
                self._urgent_actions.append(
                    actions.Stop(
                        belief.entry, row.task_id, row.run, 'no active job'
                    )
                )
            return None
        run = beliefs.Run(
            task,
            row.run,
            belief.entry.worker_id,
            beliefs.RunState.CONFIRMED,
            now,
        )
        self._occupy(belief, run)
        task.last_run = max(task.last_run, row.run)
        elsewhere = task.state is not work.TaskState.WAITING
        if elsewhere:
            run.counted = False
            self._stop(belief, run, now, 'not this run')
        else:
            self.jobs.placed(task, row.run, belief.entry.worker_id)
        return run

    def _ended(
        self, now: float, belief: beliefs.Belief, row: specs.EndRow
    ) -> None:
        run = belief.runs_by_key.get((row.task_id, row.run))
        if run is not None:
            self._release(belief, run)
        task = run.task if run else self.jobs.find_task(row.task_id)
        if task is None or task.step.job.state in specs.ENDED_STATES:
            return
        task.last_run = max(task.last_run, row.run)
        counted = run.counted if run else False
        if row.reason is specs.EndReason.DONE:
            self.quarantine.record_success(belief.entry.worker_id)
            self._task_done(now, task)
            return
        if row.reason is specs.EndReason.FAILED:
            self._task_failed(now, belief, task, row.run)
        if task.step.job.state in specs.ENDED_STATES:
            return
        if counted and task.placed_run == row.run:
            if row.checkpoint:
                task.checkpoint = row.checkpoint
            self.jobs.requeue(task)
            if task.step.spec.gang:
                self._stop_gang(now, task.step, row.run)

    def _task_done(self, now: float, task: work.Task) -> None:
        tasks = task.step.tasks if task.step.spec.gang else [task]
        for member in tasks:
            self.jobs.task_done(now, member)
        if not task.step.spec.gang:
            self._stop_copies(now, task)
        job = task.step.job
        if self.jobs.is_complete(job):
            self._end_job(job, specs.JobState.COMPLETED, now)

    def _stop_copies(self, now: float, task: work.Task) -> None:
        for belief, run in self._runs_of(task.step.job):
            if run.task is task:
                self._stop(belief, run, now, 'another run was done')

    def _task_failed(
        self,
        now: float,
        belief: beliefs.Belief,
        task: work.Task,
        run_number: int,
    ) -> None:
        job = task.step.job
        worker_id = belief.entry.worker_id
        if self.quarantine.record_failure(now, worker_id, job.job_id):
            belief.avoid_until = now + quarantine.FIRST_PAUSE_S
        task.failed_worker_ids.add(worker_id)
        if task.step.spec.long_running:
            return
        attempts = self.jobs.task_failed(task, run_number)
        if attempts >= job.queue.max_attempts:
            self._end_job(job, specs.JobState.FAILED, now)

    def _lost(self, belief: beliefs.Belief, run: beliefs.Run) -> None:
        """Free a run that is certainly over without an end."""
        self._release(belief, run)
        task = run.task
        if (
            run.counted
            and task.state is work.TaskState.PLACED
            and task.placed_run == run.run
        ):
            self.jobs.requeue(task)

    def _occupy(self, belief: beliefs.Belief, run: beliefs.Run) -> None:
        job = run.task.step.job
        belief.add(run)
        self.usage.add(job.customer_id, run.task.step.spec.size)
        self._runs_by_job.setdefault(job.job_id, {})[run.task.id, run.run] = (
            run
        )

    def _runs_of(
        self, job: work.Job
    ) -> list[tuple[beliefs.Belief, beliefs.Run]]:
        return [
            (self.beliefs_by_id[run.worker_id], run)
            for run in self._runs_by_job.get(job.job_id, {}).values()
        ]

    def _release(self, belief: beliefs.Belief, run: beliefs.Run) -> None:
        job_id = run.task.step.job.job_id
        runs = self._runs_by_job.get(job_id, {})
        runs.pop((run.task.id, run.run), None)
        if not runs:
            self._runs_by_job.pop(job_id, None)
        belief.remove(run)
        self.usage.remove(
            run.task.step.job.customer_id, run.task.step.spec.size
        )

    def _stop_gang(
        self, now: float, step: work.StepRun, run_number: int
    ) -> None:
        """Stop what is left of a gang of which one member ended."""
        for belief, run in self._runs_of(step.job):
            if run.task.step is step and run.run == run_number:
                self._stop(belief, run, now, 'its gang is not whole')

    def _stop(
        self,
        belief: beliefs.Belief,
        run: beliefs.Run,
        now: float,
        reason: str,
    ) -> None:
        if run.state is beliefs.RunState.STOPPING:
            return
        if run.state is beliefs.RunState.ORDERED:
            # The stop follows the answer to the start.
            run.stop_sent_at = now
            return
        run.state = beliefs.RunState.STOPPING
        run.confirmed_at = float('inf')
        run.stop_sent_at = now
        self._urgent_actions.append(_stop_order(belief, run, reason))

    # Answers to actions

    def start_result(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
        outcome: specs.StartOutcome,
    ) -> None:
        """Take note of a worker's answer to a start."""
        belief = self.beliefs_by_id.get(worker_id)
        if belief is None:
            return
        run = belief.runs_by_key.get((task_id, run_number))
        if run is None:
            return
        if run.state is not beliefs.RunState.ORDERED:
            return
        wanted = run.stop_sent_at == float('-inf')
        if outcome is specs.StartOutcome.STARTED:
            run.state = beliefs.RunState.CONFIRMED
            run.confirmed_at = now
            run.progressed_at = now
            self.jobs.begun(run.task.step.job)
            if not wanted:
                self._stop(belief, run, now, 'no longer wanted')
            return
        if outcome is specs.StartOutcome.UNKNOWN:
            run.state = beliefs.RunState.UNCERTAIN
            run.confirmed_at = now
            if not wanted:
                self._stop(belief, run, now, 'no longer wanted')
            else:
                self._urgent_actions.append(actions.Look(worker_id))
            return
        self._refused(now, belief, run, outcome)

    def _refused(
        self,
        now: float,
        belief: beliefs.Belief,
        run: beliefs.Run,
        outcome: specs.StartOutcome,
    ) -> None:
        self._lost(belief, run)
        step = run.task.step
        step.blocked_until = now + STEP_PAUSE_S
        worker_id = belief.entry.worker_id
        if outcome is specs.StartOutcome.NOT_SENT:
            pass
        elif outcome is specs.StartOutcome.FENCED:
            self.fenced = True
        elif outcome is specs.StartOutcome.NO_TICKET:
            step.tickets.by_worker_id.pop(worker_id, None)
        elif outcome is specs.StartOutcome.OLD_RUN:
            run.task.last_run += RUNS_PER_TERM
        elif outcome is specs.StartOutcome.LATE:
            self._urgent_actions.append(actions.Look(worker_id))
        else:
            belief.avoid_until = max(
                belief.avoid_until, now + UNHEALTHY_PAUSE_S
            )
            self._urgent_actions.append(actions.Look(worker_id))
        if step.spec.gang:
            self._stop_gang(now, step, run.run)

    def stop_result(
        self,
        now: float,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
        accepted: bool,
    ) -> None:
        """Take note of a worker's answer to a stop."""
        belief = self.beliefs_by_id.get(worker_id)
        if belief is None:
            return
        run = belief.runs_by_key.get((task_id, run_number))
        if run is None or run.state is not beliefs.RunState.STOPPING:
            return
        if accepted:
            # A list that is read from now on and lacks the run proves that
            # it is over or will never start.
            run.confirmed_at = now

    def pace_result(self, action: actions.Pace, accepted: bool) -> None:
        """Take note of a worker's answer to a change of pace."""
        belief = self.beliefs_by_id.get(action.worker.worker_id)
        if belief is None or accepted:
            return
        run = belief.runs_by_key.get((action.task_id, action.run))
        if run is not None:
            # Differs from every share, so that the order is sent again.
            run.pace = -1

    def advice_result(
        self,
        now: float,
        asked_at: float,
        step_id: str,
        asked_ids: Iterable[model.WorkerId],
        advice: ports.Advice | None,
    ) -> None:
        """Keep the tickets of a call for advice."""
        step = self.jobs.find_step(step_id)
        if step is None:
            return
        advising.keep_tickets(
            now,
            asked_at,
            step,
            asked_ids,
            advice,
            self.beliefs_by_id,
            self.advice_shares,
        )

    def lease_deadline(self, now: float, worker_id: str) -> int | None:
        """Return the deadline to send with a call to a worker, if any.

        A worker that does not answer is only looked at: extended without
        end, its lease would never be over and its tasks never started
        again.
        """
        belief = self.beliefs_by_id.get(model.WorkerId(worker_id))
        if belief is None or belief.silent_since is not None:
            return None
        return belief.deadline_in(now, self._max_lease_s)

    def hold_sent(
        self, worker_id: model.WorkerId, deadline_ms: int | None
    ) -> None:
        """Take note of a lease deadline that a worker may have received."""
        belief = self.beliefs_by_id.get(worker_id)
        if belief is not None and deadline_ms is not None:
            belief.deadline_ms = max(belief.deadline_ms, deadline_ms)

    # Planning

    def plan(
        self, now: float, ask_lanes: planner.AskLanes
    ) -> list[actions.Action]:
        """Return what to do now."""
        if now - self._checked_at >= CHECK_EVERY_S:
            self._checked_at = now
            self._check_workers(now)
            self._pace_fillers(now)
        self.jobs.begin_due(now)
        planned = planner.plan(now, self, ask_lanes)
        result = self._urgent_actions
        self._urgent_actions = []
        result.extend(planned)
        return result

    def placed(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> int:
        """Count a run whose order is to be sent; return its number.

        The order must wait until the placement is stored.
        """
        run = beliefs.Run(
            task, run_number, worker_id, beliefs.RunState.ORDERED, now
        )
        self._occupy(self.beliefs_by_id[worker_id], run)
        self.jobs.placed(task, run_number, worker_id)
        self._starts += 1
        return self._starts

    def is_wanted(
        self,
        worker_id: model.WorkerId,
        task_id: model.TaskId,
        run_number: specs.RunNumber,
    ) -> bool:
        """Return whether a planned start should still be sent."""
        belief = self.beliefs_by_id.get(worker_id)
        if belief is None:
            return False
        run = belief.runs_by_key.get((task_id, run_number))
        return run is not None and run.stop_sent_at == float('-inf')

    def _check_workers(self, now: float) -> None:
        for worker_id, belief in list(self.beliefs_by_id.items()):
            silent = belief.silent_since is not None
            gone = silent or not belief.listed
            if belief.reported:
                over = belief.lease_over(now)
            else:
                over = now >= self._unheard_until
            if gone and (over or not belief.runs_by_key):
                for run in list(belief.runs_by_key.values()):
                    self._lost(belief, run)
                if not belief.listed:
                    del self.beliefs_by_id[worker_id]
                    continue
            for run in list(belief.runs_by_key.values()):
                self._check_run(now, belief, run)

    def _check_run(
        self, now: float, belief: beliefs.Belief, run: beliefs.Run
    ) -> None:
        if run.state is beliefs.RunState.STOPPING:
            if (
                now - run.stop_sent_at > STOP_AGAIN_S
                and run.confirmed_at == float('inf')
                and belief.silent_since is None
            ):
                run.stop_sent_at = now
                self._urgent_actions.append(
                    _stop_order(belief, run, 'unanswered stop')
                )
            return
        if run.state is beliefs.RunState.ORDERED:
            return
        spec = run.task.step.spec
        if not run.counted or not (belief.is_draining or belief.closed):
            return
        if spec.long_running:
            if self._may_move(run.task.step):
                self._stop(belief, run, now, 'worker leaves')
        elif belief.is_draining and not spec.gang:
            left = spec.estimate_s * (1 - run.percent / 100)
            if spec.checkpoints and left > belief.entry.leaves_in_s:
                self._stop(belief, run, now, 'worker leaves')

    def _may_move(self, step: work.StepRun) -> bool:
        """Return whether one more task of a lasting step may be away."""
        away = len(step.waiting) + sum(
            1
            for _, run in self._runs_of(step.job)
            if run.task.step is step
            and (
                run.state is not beliefs.RunState.CONFIRMED
                or run.percent < AT_WORK_PERCENT
            )
        )
        return away < max(1, step.spec.max_unavailable)

    def _pace_fillers(self, now: float) -> None:
        for belief in self.beliefs_by_id.values():
            fillers = []
            serving = []
            for run in belief.runs_by_key.values():
                spec = run.task.step.spec
                if run.state is not beliefs.RunState.CONFIRMED:
                    continue
                if spec.filler:
                    fillers.append(run)
                elif spec.latency_target_s:
                    serving.append(run)
            if not fillers:
                continue
            percent = pacing.wanted_percent(now, belief, serving)
            if percent != belief.filler_percent:
                belief.filler_percent = percent
                belief.paced_at = now
            for run in fillers:
                if run.pace != percent:
                    run.pace = percent
                    self._urgent_actions.append(
                        actions.Pace(
                            belief.entry,
                            run.task.id,
                            specs.RunNumber(run.run),
                            percent,
                        )
                    )

    # Storing

    def take_changes(self) -> actions.Changes:
        """Return what has to be stored now."""
        puts, removals, job_ids = self.jobs.take_changes()
        return actions.Changes(
            job_ids,
            self._starts,
            puts,
            removals,
            self._covered_ends(),
        )

    def _covered_ends(self) -> dict[model.WorkerId, tuple[int, int]]:
        """Return for each worker the ends whose jobs wait no longer."""
        covered = {}
        for worker_id, belief in self.beliefs_by_id.items():
            last = 0
            while belief.unstored_ends:
                number, task_id = belief.unstored_ends[0]
                if self.jobs.waits_to_be_stored(task_id):
                    break
                belief.unstored_ends.popleft()
                last = number
            if last:
                covered[worker_id] = (belief.started_unix_ms, last)
        return covered

    def stored(
        self, now: float, changes: actions.Changes
    ) -> list[model.WorkerId]:
        """Take note that changes are stored.

        :return: workers that may forget some of their ends.
        """
        self.jobs.stored(now, changes.job_ids)
        advanced = []
        for worker_id, (life, number) in changes.ends_by_worker_id.items():
            belief = self.beliefs_by_id.get(worker_id)
            if belief is None or belief.started_unix_ms != life:
                continue
            if number > belief.last_seen:
                belief.last_seen = number
                advanced.append(worker_id)
        return advanced


def _stop_order(
    belief: beliefs.Belief, run: beliefs.Run, reason: str
) -> actions.Stop:
    return actions.Stop(
        belief.entry, run.task.id, specs.RunNumber(run.run), reason
    )


def _unlisted(task: work.Task, worker_id: model.WorkerId) -> specs.WorkerEntry:
    """Stand for a worker that is known by a stored placement only."""
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
