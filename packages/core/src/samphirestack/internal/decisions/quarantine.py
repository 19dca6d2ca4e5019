"""Quarantine of workers on which tasks of several jobs fail in a row."""

from samphirestack import model

FAILURES_BEFORE_PAUSE = 3
"""Different jobs that fail without a success in between before a worker is
quarantined."""

FIRST_PAUSE_S = 10.0
LONGEST_PAUSE_S = 600.0


class _Health:
    __slots__ = ('failed_jobs', 'pause_s', 'paused_until', 'probe_task_id')

    def __init__(self) -> None:
        self.failed_jobs: set[model.JobId] = set()
        self.pause_s = 0.0
        self.paused_until = 0.0
        self.probe_task_id: model.TaskId | None = None


class Quarantine:
    """Tracks consecutive failures per worker.

    Failures of one job count once, since a broken job fails everywhere.
    A quarantined worker gets no tasks during a pause and one probe task
    after it: a success ends the quarantine, a failure doubles the pause.
    """

    def __init__(self) -> None:
        self._health_by_id: dict[model.WorkerId, _Health] = {}

    def record_failure(
        self,
        now: float,
        worker_id: model.WorkerId,
        job_id: model.JobId,
    ) -> bool:
        """Record a failed task and return whether a pause begins."""
        health = self._health_by_id.setdefault(worker_id, _Health())
        health.failed_jobs.add(job_id)
        health.probe_task_id = None
        in_quarantine = health.pause_s > 0
        if not in_quarantine:
            if len(health.failed_jobs) < FAILURES_BEFORE_PAUSE:
                return False
            health.pause_s = FIRST_PAUSE_S
        elif now >= health.paused_until:
            health.pause_s = min(health.pause_s * 2, LONGEST_PAUSE_S)
        else:
            return False
        health.paused_until = now + health.pause_s
        return True

    def record_success(self, worker_id: model.WorkerId) -> None:
        """Record a success, which ends the quarantine."""
        self._health_by_id.pop(worker_id, None)

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
