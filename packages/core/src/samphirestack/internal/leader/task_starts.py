"""Turns placements into starts, once rows that must come first are written."""

from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_outcomes
from samphirestack.internal.leader import task_state
from samphirestack import model
from samphirestack import platform

SAVE_WAIT_S = 3.0
"""How long a placed task waits for the row that allows its start."""


class Starts:
    """Placed tasks that have not been sent to their workers."""

    def __init__(self, outcomes: task_outcomes.Outcomes) -> None:
        self._outcomes = outcomes
        self._prepared: dict[model.TaskId, task_state.Task] = {}

    def prepare(self, now: float, task: task_state.Task) -> None:
        """Take over a placed task and note what its row has to say."""
        entry = task.job
        assert entry is not None
        self._prepared[task.task_id] = task
        task.sent_at = now
        attempt = task.attempt + 1
        noted = entry.dispatched.get(task.index, 0) >= attempt
        if not entry.job.idempotent and not noted:
            entry.dispatched[task.index] = attempt
            self._outcomes.changed(entry)

    def take(self, now: float) -> list[actions.Action]:
        """Return the starts whose rows are written, and drop late ones."""
        starts: list[actions.Action] = []
        for task in list(self._prepared.values()):
            entry = task.job
            assert entry is not None
            if task.phase is not task_state.Phase.PREPARED:
                del self._prepared[task.task_id]
            elif self._may_start(entry, task):
                del self._prepared[task.task_id]
                starts.append(self._start(now, entry, task))
            elif now >= task.sent_at + SAVE_WAIT_S:
                del self._prepared[task.task_id]
                self._outcomes.postpone(now, task, SAVE_WAIT_S)
        return starts

    def _may_start(
        self, entry: task_state.JobEntry, task: task_state.Task
    ) -> bool:
        if entry.job.idempotent:
            return True
        group = (
            [t for t in entry.committed() if t.phase == task.phase]
            if entry.is_gang
            else [task]
        )
        return all(entry.saved.get(t.index, 0) >= t.attempt + 1 for t in group)

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
            self._outcomes.changed(entry)
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
