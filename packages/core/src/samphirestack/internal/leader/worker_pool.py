"""Workers of the zone and the resources committed on them.

Every change of a commitment goes through :class:`WorkerPool`, which keeps
the worker index, the slices of the teams and their shares consistent.
"""

from samphirestack import configuration
from samphirestack.internal.decisions import estimates
from samphirestack.internal.decisions import preemption
from samphirestack.internal.decisions import quarantine
from samphirestack.internal.decisions import worker_index
from samphirestack.internal.leader import task_state
from samphirestack import model


class WorkerPool:
    """Workers, the tasks committed on them and the charges to teams."""

    def __init__(
        self,
        ledger: task_state.Ledger,
        shares: task_state.Shares,
        learned: estimates.Estimates,
    ) -> None:
        self.index = worker_index.WorkerIndex()
        self.quarantine = quarantine.Quarantine()
        self.estimates = learned
        self.workers_by_id: dict[model.WorkerId, task_state.WorkerEntry] = {}
        self.capacities: set[model.Resources] = set()
        self._ledger = ledger
        self._shares = shares

    def try_acquire(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> bool:
        """Charge an amount to the slice of a team, if the slice allows it."""
        return self._ledger.try_acquire(team, running, resources)

    def commit(
        self,
        now: float,
        task: task_state.Task,
        worker_id: model.WorkerId,
        already_running: bool = False,
    ) -> None:
        """Commit a task on a worker.

        :param already_running: whether an agent reported the task.  Its team
            is charged now, even beyond its slice.
        """
        task.worker_id = worker_id
        self.index.commit(worker_id, task.need)
        self.workers_by_id[worker_id].tasks_by_id[task.task_id] = task
        self._shares.charge(now, task.team, 0, task.need)
        if already_running:
            self._ledger.adopt(task.team, 1, task.need)

    def release(self, now: float, task: task_state.Task) -> None:
        """Release the resources of a committed task."""
        worker_id = task.worker_id
        assert worker_id is not None
        self.index.release(worker_id, task.need)
        del self.workers_by_id[worker_id].tasks_by_id[task.task_id]
        self._shares.refund(now, task.team, 0, task.need)
        self._ledger.release(task.team, 1, task.need)
        task.worker_id = None
        self.quarantine.clear_probe(worker_id, task.task_id)
        self.refresh_usable(now, worker_id)

    def refresh_usable(self, now: float, worker_id: model.WorkerId) -> None:
        """Update in the index whether a worker may get tasks now."""
        worker = self.workers_by_id[worker_id]
        self.index.set_usable(
            worker_id,
            worker.accepts_tasks and self.quarantine.accepts(now, worker_id),
        )

    def is_limited(self, entry: task_state.JobEntry) -> bool:
        """Return whether the team of a job has any upper limit."""
        limit = self._ledger.slice_of(entry.job.team)
        return limit != configuration.Limit()

    def teams_over_slice(self) -> dict[model.TeamId, preemption.Excess]:
        """Return by how much teams exceed their slices."""
        over = {}
        for usage in self._ledger.usages():
            limit = self._ledger.slice_of(usage.team)
            excess = preemption.compute_excess(usage, limit)
            if excess is not None:
                over[usage.team] = excess
        return over

    def update_capacities(self) -> None:
        """Recompute the distinct capacities of the workers in the VM list."""
        self.capacities = {
            worker.vm.capacity
            for worker in self.workers_by_id.values()
            if worker.listed and worker.vm.state is model.VmState.LIVE
        }
