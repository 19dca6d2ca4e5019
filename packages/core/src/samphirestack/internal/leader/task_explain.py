"""Descriptions of jobs and workers for operators."""

import collections

from samphirestack.internal.leader import task_queue
from samphirestack.internal.leader import task_reconciler
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model

MAX_WORKERS_NAMED = 5


def explain(
    now: float,
    entry: task_state.JobEntry,
    waiting: task_queue.WaitingWork,
    reconciler: task_reconciler.TaskReconciler,
    pool: worker_pool.WorkerPool,
) -> str:
    """Return the state of a job and the reasons why it waits."""
    phases = collections.Counter(
        task.phase for task in entry.tasks_by_index.values()
    )
    counts = ', '.join(
        f'{count} {phase.value}'
        for phase, count in sorted(
            phases.items(), key=lambda item: item[0].value
        )
    )
    parts = [f'{entry.state.value}: {len(entry.ended)} tasks ended, {counts}']
    if phases[task_state.Phase.HELD]:
        silent = reconciler.unreported_workers()
        named = ', '.join(silent[:MAX_WORKERS_NAMED])
        parts.append(
            f'an earlier leader may have started held tasks, and '
            f'{len(silent)} workers have not answered yet ({named})'
        )
    if phases[task_state.Phase.PREPARED]:
        parts.append('prepared tasks wait for their row in the table')
    if phases[task_state.Phase.DELAYED]:
        parts.append('delayed tasks failed and are tried again later')
    group = waiting.group_of(entry)
    if phases[task_state.Phase.QUEUED] and group is not None:
        waited = now - entry.arrived_at
        why = group.blocked_by or 'other work is ahead of it'
        parts.append(f'queued tasks have waited {waited:.1f} s: {why}')
    paused = pool.quarantine.probe_times()
    if paused and phases[task_state.Phase.QUEUED]:
        parts.append(f'{len(paused)} workers are in quarantine')
    if phases[task_state.Phase.QUEUED] and any(
        worker.evacuated for worker in pool.workers_by_id.values()
    ):
        parts.append('the zone is evacuated, and no tasks start there')
    if entry.reason:
        parts.append(entry.reason)
    return '; '.join(parts)


def worker_state(worker: task_state.WorkerEntry, quarantined: bool) -> str:
    """Return the state of a worker as one word."""
    if worker.lost:
        return 'lost'
    if not worker.reported:
        return 'unheard'
    if not worker.reachable:
        return 'silent'
    if not worker.listed or worker.vm.state is model.VmState.LEAVING:
        return 'leaving'
    if worker.evacuated:
        return 'evacuated'
    return 'quarantined' if quarantined else 'ready'
