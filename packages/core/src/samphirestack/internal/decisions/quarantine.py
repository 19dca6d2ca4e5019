"""Quarantine of workers on which tasks of several jobs fail in a row."""

from collections.abc import Collection

from samphirestack import model

FAILURES_BEFORE_PAUSE = 3
"""Different jobs that fail without a success in between before a worker is
quarantined."""

FIRST_PAUSE_S = 10.0
LONGEST_PAUSE_S = 600.0

MAX_SHARE = 0.5
"""Largest share of a group of workers in quarantine."""

MAX_EVIDENCE = 100
"""Failed tasks that count against one worker."""

MAX_FAILED_TASKS = 5000
"""Tasks whose failures are remembered, the newest ones."""


class _Health:
    __slots__ = ('failed_tasks', 'pause_s', 'paused_until', 'probe_task_id')

    def __init__(self) -> None:
        self.failed_tasks: dict[model.TaskId, model.JobId] = {}
        """Tasks whose failure is evidence against the worker."""
        self.pause_s = 0.0
        self.paused_until = 0.0
        self.probe_task_id: model.TaskId | None = None

    def add_evidence(self, task_id: model.TaskId, job_id: model.JobId) -> None:
        """Count the failure of a task; the newest ones are kept."""
        self.failed_tasks[task_id] = job_id
        if len(self.failed_tasks) > MAX_EVIDENCE:
            del self.failed_tasks[next(iter(self.failed_tasks))]

    @property
    def has_evidence(self) -> bool:
        """Return whether enough different jobs failed."""
        jobs = set(self.failed_tasks.values())
        return len(jobs) >= FAILURES_BEFORE_PAUSE


class Quarantine:
    """Tracks consecutive failures per worker.

    A failure tells of the task and of the worker together.  Failures of one
    job count once, and those of a task that fails on several workers don't
    count at all, until it succeeds on another one.  A worker whose evidence
    is gone leaves quarantine.

    A quarantined worker gets no tasks during a pause and one probe task
    after it: a success ends the quarantine, a failure doubles the pause.
    """

    def __init__(self) -> None:
        self._health_by_id: dict[model.WorkerId, _Health] = {}
        self._workers_by_failed_task: dict[
            model.TaskId, dict[model.WorkerId, model.JobId]
        ] = {}
        """Workers on which each task failed outside of quarantine."""

    def record_failure(
        self,
        now: float,
        worker_id: model.WorkerId,
        job_id: model.JobId,
        task_id: model.TaskId | None = None,
    ) -> bool:
        """Record a failed task and return whether a pause begins.

        :param task_id: by default, all failures of the job are of one task.
        """
        if task_id is None:
            task_id = model.TaskId(job_id)
        health = self._health_by_id.setdefault(worker_id, _Health())
        health.probe_task_id = None
        failed_elsewhere = any(
            other != worker_id
            for other in self._workers_by_failed_task.get(task_id, ())
        )
        if health.pause_s == 0:
            self._remember(worker_id, job_id, task_id)
            if failed_elsewhere:
                self._clear_evidence(task_id)
        if failed_elsewhere:
            return False
        health.add_evidence(task_id, job_id)
        return self._begin_pause(now, health)

    def _remember(
        self,
        worker_id: model.WorkerId,
        job_id: model.JobId,
        task_id: model.TaskId,
    ) -> None:
        workers = self._workers_by_failed_task.pop(task_id, {})
        workers[worker_id] = job_id
        self._workers_by_failed_task[task_id] = workers
        if len(self._workers_by_failed_task) > MAX_FAILED_TASKS:
            del self._workers_by_failed_task[
                next(iter(self._workers_by_failed_task))
            ]

    def _clear_evidence(self, task_id: model.TaskId) -> None:
        for worker_id in self._workers_by_failed_task.get(task_id, ()):
            health = self._health_by_id.get(worker_id)
            if health is None:
                continue
            health.failed_tasks.pop(task_id, None)
            if not health.has_evidence:
                health.pause_s = 0.0
                health.probe_task_id = None

    def _begin_pause(self, now: float, health: _Health) -> bool:
        if health.pause_s == 0:
            if not health.has_evidence:
                return False
            health.pause_s = FIRST_PAUSE_S
        elif now >= health.paused_until:
            health.pause_s = min(health.pause_s * 2, LONGEST_PAUSE_S)
        else:
            return False
        health.paused_until = now + health.pause_s
        return True

    def record_success(
        self,
        worker_id: model.WorkerId,
        now: float | None = None,
        task_id: model.TaskId | None = None,
    ) -> None:
        """Record a success, which ends the quarantine.

        :param now: required with a task.
        :param task_id: task that succeeded; its earlier failures were the
            fault of their workers.
        """
        self._health_by_id.pop(worker_id, None)
        if task_id is None or now is None:
            return
        workers = self._workers_by_failed_task.pop(task_id, {})
        workers.pop(worker_id, None)
        for other, job_id in workers.items():
            health = self._health_by_id.get(other)
            # Without it, something has succeeded there since.
            if health is not None and health.pause_s == 0:
                health.add_evidence(task_id, job_id)
                self._begin_pause(now, health)

    def release_excess(self, groups: Collection[list[model.WorkerId]]) -> None:
        """Release workers of groups of which too many are quarantined.

        Those with the shortest pause, and of them the first to be probed, are
        released.

        :param groups: workers that would be in use but for quarantine.
        """
        for group in groups:
            paused = [
                worker_id
                for worker_id in group
                if self.is_quarantined(worker_id)
            ]
            paused.sort(key=self._release_order)
            for worker_id in paused[
                : len(paused) - int(len(group) * MAX_SHARE)
            ]:
                self._health_by_id.pop(worker_id)

    def _release_order(self, worker_id: model.WorkerId) -> tuple[float, float]:
        health = self._health_by_id[worker_id]
        return health.pause_s, health.paused_until

    @property
    def is_active(self) -> bool:
        """Return whether any worker is quarantined."""
        return any(health.pause_s for health in self._health_by_id.values())

    def is_quarantined(self, worker_id: model.WorkerId) -> bool:
        """Return whether a worker is quarantined, paused or probed."""
        health = self._health_by_id.get(worker_id)
        return health is not None and health.pause_s > 0

    def accepts(self, now: float, worker_id: model.WorkerId) -> bool:
        """Return whether a task may be placed on a worker now."""
        health = self._health_by_id.get(worker_id)
        if health is None or health.pause_s == 0:
            return True
        return now >= health.paused_until and health.probe_task_id is None

    def record_placement(
        self, worker_id: model.WorkerId, task_id: model.TaskId
    ) -> bool:
        """Record a placement and return whether it is a probe."""
        health = self._health_by_id.get(worker_id)
        if health is None or health.pause_s == 0:
            return False
        health.probe_task_id = task_id
        return True

    def clear_probe(
        self, worker_id: model.WorkerId, task_id: model.TaskId
    ) -> None:
        """Allow another probe after one that ended without a result.

        Such a probe was stopped or never started.
        """
        health = self._health_by_id.get(worker_id)
        if health is not None and health.probe_task_id == task_id:
            health.probe_task_id = None

    def probe_times(self) -> dict[model.WorkerId, float]:
        """Return when each quarantined worker may be probed, by worker."""
        return {
            worker_id: health.paused_until
            for worker_id, health in self._health_by_id.items()
            if health.pause_s > 0
        }
