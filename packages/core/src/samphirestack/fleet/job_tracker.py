"""Jobs of one term and their changes that have to be stored."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from types import MappingProxyType

import msgspec

from samphirestack.fleet import archive as archives
from samphirestack.fleet import crashes
from samphirestack.fleet import memory
from samphirestack.fleet import occurrences
from samphirestack.fleet import ports
from samphirestack.fleet import progress_rows
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import work
from samphirestack import model

MAX_ENTRIES = 90
"""Rows of jobs in one write.  A transaction holds 100 entries, of which the
row of the term takes two and waves of upkeep a few."""

MAX_BYTES = 64_000
"""Size of the rows in one write from which the others wait for the next one.
Each write renews the term, so it must also pass a narrow link in time."""


MAX_LOADED_AT_ONCE = 20
"""Jobs that waited for memory and are read from the store at once."""


class RowTooLarge(Exception):
    """A row of progress exceeds the store's limit."""


class DeferredJob(msgspec.Struct):
    """A job that is left in the store until there is memory for it."""

    customer_id: model.TeamId
    queue_id: model.QueueId
    size: int
    """Estimate of its memory in bytes."""
    is_cancelled: bool = False


class JobTracker:
    """Active and ended jobs.

    :param first_run: bound above which all run numbers of this term are.
    :param budget: counts the memory of the jobs; unlimited by default.
    """

    def __init__(
        self, first_run: int, budget: memory.Budget | None = None
    ) -> None:
        self._first_run = first_run
        self.budget = budget or memory.Budget(float('inf'))
        self._deferred_by_id: dict[model.JobId, DeferredJob] = {}
        """Accepted jobs that have not begun, oldest first."""
        self._deferred_counts: collections.Counter[model.TeamId] = (
            collections.Counter()
        )
        self.active_by_id: dict[model.JobId, work.Job] = {}
        self.ended_by_id: dict[model.JobId, records.JobRecord] = {}
        """Ended jobs whose end is stored."""
        self.archive = archives.Archive()
        self._archived_ids: set[model.JobId] = set()
        """Ended jobs whose end is stored in their own row."""
        self._set_aside_ids: set[model.JobId] = set()
        """Jobs that don't run in this term, as their progress is not known."""
        self.oversized_ids: list[model.JobId] = []
        """Jobs that were set aside because the store can't hold their
        progress; their owner reports and removes them."""
        self._expired_ids: set[model.JobId] = set()
        """Forgotten jobs whose rows may not be removed yet."""
        self._removal_versions_by_id: dict[model.JobId, int] = {}
        """Version of the store that removed the rows of a forgotten job.  A
        reader that has not seen it may still deliver an older row."""
        self._ending_by_id: dict[model.JobId, records.JobRecord] = {}
        """Ended jobs whose end is not stored yet."""
        self._dirty: dict[progress_rows.RowKey, None] = {}
        """Rows of progress to store or remove, in the order of the changes."""
        self._unstorable_ids: set[model.JobId] = set()
        """Jobs of which a change couldn't be stored."""
        self.ready_steps: dict[str, work.StepRun] = {}
        """Steps with tasks that wait for a worker, by id of the step."""
        self._scheduled: dict[model.JobId, work.Job] = {}
        """Jobs with occurrences that have not begun."""
        self.unix_offset_s = 0.0
        """Unix time minus the scheduler's clock."""

    def is_known(self, job_id: model.JobId) -> bool:
        """Return whether the job is active or has ended."""
        return (
            job_id in self.active_by_id
            or job_id in self.ended_by_id
            or job_id in self._ending_by_id
        )

    def may_accept(self, job_id: model.JobId) -> bool:
        """Return whether a row of the job that was read may be a new job."""
        return not (
            self.is_known(job_id)
            or job_id in self._set_aside_ids
            or job_id in self._deferred_by_id
            or job_id in self._expired_ids
            or job_id in self._removal_versions_by_id
        )

    def state_of(self, job_id: model.JobId) -> specs.JobState | None:
        """Return the state to report to callers; ``None`` if unknown.

        An ended job is reported as running until its end is stored.
        """
        ended = self.ended_by_id.get(job_id)
        if ended is not None:
            return None if ended.withdrawn else ended.ended_as
        if job_id in self._ending_by_id:
            return specs.JobState.RUNNING
        job = self.active_by_id.get(job_id)
        return job.state if job else None

    def record_of(self, job_id: model.JobId) -> records.JobRecord | None:
        """Return the row of a job; ``None`` if the job is unknown."""
        job = self.active_by_id.get(job_id)
        if job is not None:
            return job.record
        return self.ended_by_id.get(job_id) or self._ending_by_id.get(job_id)

    def waiting_by_queue(self) -> dict[model.QueueId, int]:
        """Return the number of queued jobs of each queue that has any."""
        counts: dict[model.QueueId, int] = {}
        for job in self.active_by_id.values():
            if job.state is specs.JobState.QUEUED:
                queue_id = job.queue.queue_id
                counts[queue_id] = counts.get(queue_id, 0) + 1
        for deferred in self._deferred_by_id.values():
            counts[deferred.queue_id] = counts.get(deferred.queue_id, 0) + 1
        return counts

    # Jobs without memory

    def may_load(self, record: records.JobRecord) -> bool:
        """Return whether there is memory for a job that has not begun."""
        return record.spec is None or self.budget.may_add(
            record.customer_id, memory.job_bytes(record.spec)
        )

    def defer(self, record: records.JobRecord) -> None:
        """Leave a job in the store until there is memory for it."""
        assert record.spec is not None
        self._deferred_by_id[record.job_id] = DeferredJob(
            record.customer_id,
            record.queue.queue_id,
            memory.job_bytes(record.spec),
        )
        self._deferred_counts[record.customer_id] += 1
        self.budget.change(record.customer_id, memory.DEFERRED_JOB_BYTES)

    def cancel_deferred(self, job_id: model.JobId) -> bool:
        """Record the cancellation of a job; return whether it is deferred."""
        deferred = self._deferred_by_id.get(job_id)
        if deferred is None:
            return False
        deferred.is_cancelled = True
        return True

    def take_deferred(self, job_id: model.JobId) -> DeferredJob | None:
        """Remove a job that is about to be loaded."""
        deferred = self._deferred_by_id.pop(job_id, None)
        if deferred is not None:
            self._deferred_counts[deferred.customer_id] -= 1
            self.budget.change(
                deferred.customer_id, -memory.DEFERRED_JOB_BYTES
            )
        return deferred

    def next_deferred(self) -> list[model.JobId]:
        """Return the jobs to load now, in the order in which they came.

        One that was cancelled needs no room.  Of each customer only the first
        few are considered, as later ones would overtake them.
        """
        result = []
        added_by_customer: dict[model.TeamId, int] = {}
        waiting: set[model.TeamId] = set()
        for job_id, deferred in self._deferred_by_id.items():
            customer_id = deferred.customer_id
            if not deferred.is_cancelled:
                size = added_by_customer.get(customer_id, 0) + deferred.size
                if customer_id in waiting or not self.budget.may_add(
                    customer_id, size
                ):
                    waiting.add(customer_id)
                    continue
                added_by_customer[customer_id] = size
            result.append(job_id)
            if len(result) >= MAX_LOADED_AT_ONCE:
                break
        return result

    def deferred_count(self) -> int:
        """Return how many jobs wait for memory."""
        return len(self._deferred_by_id)

    def deferring_customers(self) -> frozenset[model.TeamId]:
        """Return the customers with jobs that wait for memory."""
        return frozenset(+self._deferred_counts)

    def add_job(self, now: float, job: work.Job) -> None:
        """Add an accepted job and begin what is due of it."""
        self.active_by_id[job.job_id] = job
        self.budget.change(job.customer_id, memory.job_bytes(job.spec))
        if job.spec.repetitions:
            self._scheduled[job.job_id] = job
            self.begin_due_occurrences(now)
        else:
            self._begin_occurrence(now, job)

    def add_ended(self, record: records.JobRecord, in_progress: bool) -> None:
        """Add a job whose end is stored in its own row.

        :param in_progress: whether there also is a row of its progress,
            which is to be deleted.
        """
        self._add_ended_record(record)
        self._archived_ids.add(record.job_id)
        if in_progress:
            self.delete_progress(record.job_id)

    def add_unarchived(self, now: float, record: records.JobRecord) -> None:
        """Add a job whose end is stored only in the row of its progress."""
        self._add_ended_record(record)
        self.archive.add_ended(now, record)

    def _add_ended_record(self, record: records.JobRecord) -> None:
        self.ended_by_id[record.job_id] = record
        self.budget.change(record.customer_id, memory.ENDED_JOB_BYTES)

    def delete_progress(self, job_id: model.JobId) -> None:
        """Schedule the deletion of the row of a job's progress."""
        self._archived_ids.add(job_id)
        self._dirty[progress_rows.RowKey(job_id, progress_rows.MAIN_ROW)] = (
            None
        )

    def clear_rows(self, job_id: model.JobId, numbers: Iterable[int]) -> None:
        """Schedule what is to become of rows of an ended or unknown job.

        The main row of an ended job says how it ended; others are deleted.
        """
        for number in numbers:
            self._dirty[progress_rows.RowKey(job_id, number)] = None

    def _mark_changed(self, job: work.Job, number: int) -> None:
        """Store a row of a job, and the main one if it doesn't exist."""
        if not job.progress.has_main_row:
            job.progress.has_main_row = True
            job.progress.row(progress_rows.MAIN_ROW)
            self._dirty[
                progress_rows.RowKey(job.job_id, progress_rows.MAIN_ROW)
            ] = None
        self._dirty[progress_rows.RowKey(job.job_id, number)] = None

    def _mark_task_changed(self, task: work.Task) -> None:
        self._mark_changed(task.step.job, task.row_number)

    def begin_due_occurrences(self, now: float) -> None:
        """Begin the occurrences of scheduled jobs that are due."""
        for job in list(self._scheduled.values()):
            while occurrences.may_begin(now, job):
                self._begin_occurrence(now, job)
            if job.next_occurrence >= job.occurrence_count:
                self._scheduled.pop(job.job_id, None)

    def _begin_occurrence(self, now: float, job: work.Job) -> None:
        for step in job.begin_occurrence():
            if not step.pending_dependencies:
                self._make_ready(now, step)

    def _make_ready(self, now: float, step: work.StepRun) -> None:
        step.ready_at = now
        if step.waiting:
            self.ready_steps[step.id] = step
        elif step.is_done:
            # A step without tasks is done as soon as it is ready.
            self._complete_step(now, step)

    def restore_progress(
        self,
        now: float,
        job: work.Job,
        main: records.JobProgress,
        others: Mapping[int, records.JobProgress] = MappingProxyType({}),
    ) -> None:
        """Apply progress that an earlier holder of the term stored.

        :param main: the job's main row.
        :param others: its further rows, by number.
        """
        for number in job.progress.restore(main, others):
            self._mark_changed(job, number)
        for completed in occurrences.skip_completed(job):
            self.ready_steps.pop(completed.id, None)
        last_begun = occurrences.last_begun(job)
        while job.next_occurrence <= last_begun:
            self._begin_occurrence(now, job)
        # The completed occurrences that were begun first took the places of
        # those that are due.
        self.begin_due_occurrences(now)
        # Steps are done in their order only if their rows are.
        for _, row in sorted(job.progress.by_number.items()):
            self._restore_row(now, job, row)

    def _restore_row(
        self, now: float, job: work.Job, progress: records.JobProgress
    ) -> None:
        if progress.done_by_step or progress.placed_by_task:
            job.state = specs.JobState.RUNNING
        for key, numbers in progress.failed_runs_by_task.items():
            occurrence, number, index = map(int, key.split('.'))
            step = job.steps_by_key.get((occurrence, number))
            if step is not None and index < step.spec.count:
                task = step.tasks[index]
                task.failed_runs.update(numbers)
                task.last_run_number = max([task.last_run_number, *numbers])
        for key, crashes_by_run in progress.crashes_by_task.items():
            occurrence, number, index = map(int, key.split('.'))
            step = job.steps_by_key.get((occurrence, number))
            if step is not None and index < step.spec.count:
                task = step.tasks[index]
                task.crashes_by_run.update(crashes_by_run)
                task.last_run_number = max(
                    [task.last_run_number, *crashes_by_run]
                )
                if crashes.is_suspect(task):
                    step.suspect_indexes.add(index)
        for key in sorted(progress.done_by_step, key=_step_order):
            occurrence, number = map(int, key.split('.'))
            step = job.steps_by_key.get((occurrence, number))
            for index in progress.done_by_step[key] if step else ():
                assert step is not None
                if index < step.spec.count:
                    self._mark_done(now, step.tasks[index])

    def find_task(self, task_id: model.TaskId) -> work.Task | None:
        """Return a task of an active job; ``None`` if there is none."""
        parts = specs.split_task_id(task_id)
        if parts is None:
            return None
        job_id, occurrence, number, index = parts
        job = self.active_by_id.get(job_id)
        if job is None:
            return None
        step = job.steps_by_key.get((occurrence, number))
        if step is None or index >= step.spec.count:
            return None
        return step.tasks[index]

    def find_step(self, step_id: str) -> work.StepRun | None:
        """Return a step of an active job; ``None`` if there is none."""
        job_id, occurrence, number = step_id.split('.')
        job = self.active_by_id.get(model.JobId(job_id))
        if job is None:
            return None
        return job.steps_by_key.get((int(occurrence), int(number)))

    def next_run_number(self, tasks: Iterable[work.Task]) -> int:
        """Return a run number above all earlier ones of the tasks."""
        return 1 + max(
            self._first_run, max(task.last_run_number for task in tasks)
        )

    def inherited_placements(
        self, job: work.Job
    ) -> list[tuple[work.Task, int, model.WorkerId]]:
        """Return stored placements of tasks that wait for a worker.

        :return: task, run number and worker of each; the run may be active.
        """
        result = []
        for row in job.progress.by_number.values():
            for key, (run, worker_id) in row.placed_by_task.items():
                task = self.find_task(model.TaskId(f'{job.job_id}.{key}'))
                if task is not None and task.state is work.TaskState.WAITING:
                    result.append((task, run, model.WorkerId(worker_id)))
        return result

    def mark_placed(
        self, task: work.Task, run_number: int, worker_id: model.WorkerId
    ) -> None:
        """Record that a run of a task is, or may be, on a worker."""
        task.progress.placed_by_task[_task_key(task)] = (run_number, worker_id)
        self._mark_task_changed(task)
        task.state = work.TaskState.PLACED
        task.placed_run_number = run_number
        task.last_run_number = max(task.last_run_number, run_number)
        step = task.step
        step.waiting.discard(task.index)
        if not step.waiting:
            self.ready_steps.pop(step.id, None)

    def inherited_copies(
        self, job: work.Job
    ) -> list[tuple[work.Task, int, model.WorkerId]]:
        """Return stored copies of tasks that are not done, as placements."""
        result = []
        for row in job.progress.by_number.values():
            for key, (run, worker_id) in row.copies_by_task.items():
                task = self.find_task(model.TaskId(f'{job.job_id}.{key}'))
                if task is not None and task.state is not work.TaskState.DONE:
                    result.append((task, run, model.WorkerId(worker_id)))
        return result

    def mark_copied(
        self, task: work.Task, run_number: int, worker_id: model.WorkerId
    ) -> None:
        """Record that a copy of a placed task is, or may be, on a worker."""
        task.progress.copies_by_task[_task_key(task)] = (run_number, worker_id)
        self._mark_task_changed(task)
        task.copy_run_number = run_number
        task.last_run_number = max(task.last_run_number, run_number)

    def forget_copy(self, task: work.Task) -> None:
        """Record that the copy of a task is over."""
        task.copy_run_number = 0
        if task.progress.copies_by_task.pop(_task_key(task), None) is None:
            return
        if task.step.job.job_id in self.active_by_id:
            self._mark_task_changed(task)

    def mark_running(self, job: work.Job) -> None:
        """Set a queued job to running after a task of it started."""
        if job.state is specs.JobState.QUEUED:
            job.state = specs.JobState.RUNNING

    def requeue(self, task: work.Task) -> None:
        """Return a placed task to the tasks that wait for a worker."""
        if task.state is not work.TaskState.PLACED:
            return
        task.state = work.TaskState.WAITING
        task.placed_run_number = 0
        step = task.step
        task.progress.placed_by_task.pop(_task_key(task), None)
        step.waiting.add(task.index)
        if step.job.job_id not in self.active_by_id:
            return
        # After a takeover, a stale placement on a worker that has left would
        # delay the task until all leases of the earlier holder have expired.
        self._mark_task_changed(task)
        if not step.pending_dependencies:
            self.ready_steps[step.id] = step

    def complete_task(self, now: float, task: work.Task) -> None:
        """Record the success of a task; ignore a repeated one."""
        if task.state is work.TaskState.DONE:
            return
        job = task.step.job
        step = task.step
        key = f'{step.occurrence}.{step.number}'
        task.progress.done_by_step.setdefault(key, []).append(task.index)
        self._mark_task_changed(task)
        self.mark_running(job)
        self._mark_done(now, task)

    def _mark_done(self, now: float, task: work.Task) -> None:
        if task.state is work.TaskState.DONE:
            return
        step = task.step
        task.state = work.TaskState.DONE
        task.progress.placed_by_task.pop(_task_key(task), None)
        task.progress.copies_by_task.pop(_task_key(task), None)
        step.waiting.discard(task.index)
        step.done.add(task.index)
        step.tasks.forget(task)
        if not step.waiting:
            self.ready_steps.pop(step.id, None)
        if step.is_done:
            self._complete_step(now, step)

    def _complete_step(self, now: float, step: work.StepRun) -> None:
        job = step.job
        others = [
            job.steps_by_key[step.occurrence, number]
            for number in range(len(job.spec.steps))
        ]
        for other in others:
            if step.number in other.pending_dependencies:
                other.pending_dependencies.discard(step.number)
                if not other.pending_dependencies:
                    self._make_ready(now, other)
        if all(other.is_done for other in others):
            for number in occurrences.record_completed(job, step.occurrence):
                self._mark_changed(job, number)

    def record_failure(self, task: work.Task, run_number: int) -> int:
        """Record a failed run; return the number of failed attempts so far.

        A repeated report of a run counts once.  The attempts of a gang are
        counted over all its members.
        """
        step = task.step
        if run_number not in task.failed_runs:
            task.failed_runs.add(run_number)
            task.progress.failed_runs_by_task.setdefault(
                _task_key(task), []
            ).append(run_number)
            self._mark_task_changed(task)
        if not step.spec.gang:
            return len(task.failed_runs)
        failed: set[int] = set()
        for member in step.tasks.known():
            failed |= member.failed_runs
        return len(failed)

    def record_crash(
        self,
        task: work.Task,
        run_number: int,
        crash: records.TaskCrash,
    ) -> None:
        """Record the crash of a worker under a run of a task."""
        if (
            task.state is work.TaskState.DONE
            or task.step.job.job_id not in self.active_by_id
            or run_number in task.crashes_by_run
        ):
            return
        if task.step.spec.long_running and not crash.suspected:
            # Over its life, workers crash for many other reasons.
            return
        task.crashes_by_run[run_number] = crash
        if crashes.is_suspect(task):
            task.step.suspect_indexes.add(task.index)
            task.step.has_cleared_suspect = False
        self._store_crashes(task)

    def clear_suspicion(self, task: work.Task) -> None:
        """Record that a task did not crash its worker when it started."""
        task.step.has_cleared_suspect = True
        if crashes.had_repeated_crashes(task):
            return
        task.step.suspect_indexes.discard(task.index)
        if not task.suspected_crashes:
            return
        if task.step.spec.long_running:
            task.crashes_by_run = {}
        else:
            task.crashes_by_run = {
                run_number: msgspec.structs.replace(crash, suspected=False)
                for run_number, crash in task.crashes_by_run.items()
            }
        self._store_crashes(task)

    def _store_crashes(self, task: work.Task) -> None:
        task.progress.crashes_by_task[_task_key(task)] = dict(
            task.crashes_by_run
        )
        if task.step.job.job_id in self.active_by_id:
            self._mark_task_changed(task)

    def is_complete(self, job: work.Job) -> bool:
        """Return whether all tasks of all occurrences succeeded."""
        return job.occurrences_done >= job.occurrence_count

    def end_job(
        self, now: float, job: work.Job, state: specs.JobState
    ) -> None:
        """End a job.

        Callers see the final state once it is stored.
        """
        job.state = state
        self._deactivate(job)
        self._ending_by_id[job.job_id] = records.JobRecord(
            job.job_id,
            specs.Queue(
                job.queue.queue_id,
                job.queue.service,
                job.queue.host,
                job.queue.prefix,
            ),
            job.customer_id,
            job.record.accepted_unix_s,
            None,
            state,
            now + self.unix_offset_s,
        )
        self.clear_rows(
            job.job_id,
            (progress_rows.MAIN_ROW, *job.progress.stored_numbers),
        )

    def set_aside(self, job_id: model.JobId) -> None:
        """Do not run a job in this term and leave its rows as they are."""
        self._set_aside_ids.add(job_id)
        job = self.active_by_id.get(job_id)
        if job is not None:
            self._deactivate(job)
        for key in [key for key in self._dirty if key.job_id == job_id]:
            del self._dirty[key]

    def _deactivate(self, job: work.Job) -> None:
        if self.active_by_id.pop(job.job_id, None) is not None:
            self.budget.change(job.customer_id, -memory.job_bytes(job.spec))
        self._scheduled.pop(job.job_id, None)
        for step in job.steps_by_key.values():
            self.ready_steps.pop(step.id, None)

    def mark_archived(self, job_ids: Iterable[model.JobId]) -> None:
        """Record that the ends of jobs are stored in their own rows."""
        for job_id in job_ids:
            self.delete_progress(job_id)

    def expire_ended(self, now: float, unix_before: float) -> None:
        """Forget jobs that ended before a moment and remove their rows.

        The scan stops at the first job that is recent enough: jobs are in
        the order of their ends, except that those loaded from earlier terms
        come first in any order, so some of them are kept longer.

        :param unix_before: Unix time in seconds.
        """
        for job_id, record in list(self.ended_by_id.items()):
            if record.ended_unix_s >= unix_before:
                break
            main = progress_rows.RowKey(job_id, progress_rows.MAIN_ROW)
            if job_id in self._archived_ids and main not in self._dirty:
                self._archived_ids.discard(job_id)
                del self.ended_by_id[job_id]
                self.budget.change(record.customer_id, -memory.ENDED_JOB_BYTES)
                self._expired_ids.add(job_id)
                self.archive.add_expired(now, job_id)

    def mark_removed(
        self, job_ids: Iterable[model.JobId], version: int
    ) -> None:
        """Record that the rows of expired jobs are removed.

        :param version: of the store after the removal.
        """
        for job_id in job_ids:
            self._expired_ids.discard(job_id)
            self._removal_versions_by_id[job_id] = version

    def mark_read(self, version: int) -> None:
        """Record that all changes of jobs up to a version were applied."""
        self._removal_versions_by_id = {
            job_id: removed_at
            for job_id, removed_at in self._removal_versions_by_id.items()
            if removed_at > version
        }

    # Storing

    def collect_changes(
        self,
    ) -> tuple[
        tuple[ports.Put, ...],
        tuple[ports.Removal, ...],
        frozenset[progress_rows.RowKey],
    ]:
        """Return changes for one transaction and mark them as collected.

        :return: rows to write, rows to remove and the keys of both.
        """
        puts: list[ports.Put] = []
        removals: list[ports.Removal] = []
        collected: set[progress_rows.RowKey] = set()
        size = 0
        for changed in list(self._dirty):
            if len(puts) + len(removals) >= MAX_ENTRIES - 2:
                break
            if size >= MAX_BYTES:
                break
            # Other rows say nothing any more of what the main one counts as
            # complete or ended.
            main = progress_rows.RowKey(changed.job_id, progress_rows.MAIN_ROW)
            for key in (main, changed):
                if key not in self._dirty:
                    continue
                try:
                    change = self._change_of_row(key)
                except RowTooLarge:
                    # The store would refuse the whole transaction, over and
                    # over; the job's rows stay as they are.
                    self.oversized_ids.append(key.job_id)
                    self._unstorable_ids.add(key.job_id)
                    self.set_aside(key.job_id)
                    break
                del self._dirty[key]
                collected.add(key)
                if isinstance(change, ports.Put):
                    size += len(change.value)
                    puts.append(change)
                elif change is not None:
                    removals.append(change)
        return tuple(puts), tuple(removals), frozenset(collected)

    def _change_of_row(
        self, key: progress_rows.RowKey
    ) -> ports.Put | ports.Removal | None:
        """Return how to store a row; ``None`` if it stays as it is.

        :raises RowTooLarge: the store can't hold it.
        """
        job = self.active_by_id.get(key.job_id)
        ending = self._ending_by_id.get(key.job_id)
        is_main = key.number == progress_rows.MAIN_ROW
        if is_main and ending is not None:
            value = records.encode(records.JobProgress(ended=ending))
        elif job is not None and key.number in job.progress.by_number:
            value = progress_rows.encode(job.progress.by_number[key.number])
            if len(value) > records.MAX_ROW_BYTES:
                raise RowTooLarge
            job.progress.stored_numbers.add(key.number)
        elif self._has_nothing_stored(key):
            return None
        else:
            return ports.Removal(records.PROGRESS_TABLE, key.text)
        return ports.Put(records.PROGRESS_TABLE, key.text, value)

    def _has_nothing_stored(self, key: progress_rows.RowKey) -> bool:
        """Return whether a row of an ended job, or an empty one, isn't stored.

        The main row of an ended job stays until the job is archived.
        """
        job = self.active_by_id.get(key.job_id)
        if job is not None:
            return key.number not in job.progress.stored_numbers
        return (
            key.number == progress_rows.MAIN_ROW
            and key.job_id not in self._archived_ids
        )

    def row_of_task(self, task_id: model.TaskId) -> progress_rows.RowKey:
        """Return the row of progress that says of a task.

        Of a job that is not active it is the main one, which says how it
        ended.
        """
        parts = specs.split_task_id(task_id)
        if parts is None:
            return progress_rows.RowKey(model.JobId(''), 0)
        job_id, occurrence, number, index = parts
        job = self.active_by_id.get(job_id)
        if job is None or number >= len(job.spec.steps):
            return progress_rows.RowKey(job_id, progress_rows.MAIN_ROW)
        return progress_rows.RowKey(
            job_id, job.progress.number_of(occurrence, number, index)
        )

    def has_uncollected_changes(self, task_id: model.TaskId) -> bool:
        """Return whether what is known of a task is not collected yet.

        That of a job of which a change couldn't be stored never is.
        """
        key = self.row_of_task(task_id)
        return key in self._dirty or key.job_id in self._unstorable_ids

    @property
    def has_changes(self) -> bool:
        """Return whether any job has changes to be collected."""
        return bool(self._dirty)

    def mark_stored(
        self, now: float, keys: Iterable[progress_rows.RowKey]
    ) -> None:
        """Record that the collected rows are stored."""
        for key in keys:
            if key.number != progress_rows.MAIN_ROW or key in self._dirty:
                continue
            ending = self._ending_by_id.pop(key.job_id, None)
            if ending is not None:
                self._add_ended_record(ending)
                self.archive.add_ended(now, ending)


def _task_key(task: work.Task) -> str:
    return f'{task.step.occurrence}.{task.step.number}.{task.index}'


def _step_order(key: str) -> tuple[int, ...]:
    return tuple(map(int, key.split('.')))
