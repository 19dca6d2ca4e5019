"""Checks of what agents did against the promises on tasks.

The checks read the ledgers of the fake agents and the rows of the table
only, never the state of a scheduler.  Each returns what is wrong as text.
"""

import collections
from collections.abc import Collection
from collections.abc import Mapping

from samphirestack import model
from samphirestack_testing import fakes
from samphirestack_testing import task_world

_ENDS = frozenset(
    {
        model.TaskState.SUCCEEDED,
        model.TaskState.FAILED,
        model.TaskState.STOPPED,
        model.TaskState.CHECKPOINTED,
        model.TaskState.LOST,
    }
)


def _in_order(entries: Collection[fakes.Entry]) -> list[fakes.Entry]:
    """Return the lines by time; agents write late what was due earlier."""
    return sorted(entries, key=lambda entry: entry.at)


def overcommitted(
    entries: Collection[fakes.Entry],
    capacities_by_id: Mapping[model.WorkerId, model.Resources],
) -> list[str]:
    """Find starts beyond the capacity of a worker, refused ones as well."""
    wrong = [
        f'{entry.worker_id} had to refuse {entry.task_id} at {entry.at}'
        for entry in entries
        if entry.refused
    ]
    used = dict.fromkeys(capacities_by_id, model.Resources())
    for entry in _in_order(entries):
        if entry.refused:
            continue
        worker_id = entry.worker_id
        if entry.state in _ENDS:
            used[worker_id] -= entry.resources
        else:
            used[worker_id] += entry.resources
        if not used[worker_id].fits_in(capacities_by_id[worker_id]):
            wrong.append(f'{worker_id} is overcommitted at {entry.at}')
    return wrong


def in_two_places(entries: Collection[fakes.Entry]) -> list[str]:
    """Find tasks that ran on two workers at once."""
    wrong = []
    places: dict[model.TaskId, set[model.WorkerId]] = {}
    for entry in _in_order(entries):
        if entry.refused:
            continue
        place = places.setdefault(entry.task_id, set())
        if entry.state in _ENDS:
            place.discard(entry.worker_id)
        else:
            place.add(entry.worker_id)
        if len(place) > 1:
            wrong.append(f'{entry.task_id} runs on {place} at {entry.at}')
    return wrong


def started_again(
    entries: Collection[fakes.Entry], once: Collection[model.JobId]
) -> list[str]:
    """Find second starts of tasks that are not idempotent.

    A start after a checkpoint goes on with the saved progress.
    """
    wrong = []
    started: set[model.TaskId] = set()
    for entry in _in_order(entries):
        if entry.refused or job_of(entry.task_id) not in once:
            continue
        if entry.state is model.TaskState.CHECKPOINTED:
            started.discard(entry.task_id)
        elif entry.state not in _ENDS:
            if entry.task_id in started:
                wrong.append(f'{entry.task_id} started again at {entry.at}')
            started.add(entry.task_id)
    return wrong


def over_limit(
    entries: Collection[fakes.Entry], running_by_team: Mapping[str, int]
) -> list[str]:
    """Find times at which a team ran more tasks than its slice allows."""
    wrong = []
    running: collections.Counter[str] = collections.Counter()
    for entry in _in_order(entries):
        if entry.refused:
            continue
        running[entry.team] += -1 if entry.state in _ENDS else 1
        limit = running_by_team.get(entry.team)
        if limit is not None and running[entry.team] > limit:
            wrong.append(f'{entry.team} runs {running[entry.team]} tasks')
    return wrong


def partial_gangs(world: 'task_world.World') -> list[str]:
    """Find gangs of which only a part was asked to start."""
    wrong = []
    asked: dict[tuple[model.JobId, float], set[model.TaskId]] = {}
    for at, action in world.sent_starts:
        job = world.rows_by_id[action.task.job_id].job
        if job.kind is model.JobKind.GANG:
            ids = asked.setdefault((job.job_id, at), set())
            ids.add(action.task.task_id)
    succeeded: dict[model.TaskId, float] = {}
    for entry in _in_order(world.entries):
        if entry.state is model.TaskState.SUCCEEDED:
            succeeded.setdefault(entry.task_id, entry.at)
    for (job_id, at), ids in asked.items():
        job = world.rows_by_id[job_id].job
        done = sum(
            succeeded.get(model.task_id(job_id, index), at + 1) <= at
            for index in range(job.tasks)
        )
        if job.idempotent and len(ids) + done < job.tasks:
            wrong.append(f'{len(ids)} tasks of gang {job_id} start at {at}')
    return wrong


def wrong_rows(world: 'task_world.World') -> list[str]:
    """Find rows that changed state back or more than once."""
    wrong = []
    for job_id, states in world.states_by_id.items():
        final = [state for state in states if state.is_final]
        if len(final) > 1 or len(set(states)) != len(states):
            wrong.append(f'{job_id} went through {states}')
    done = {
        entry.task_id
        for entry in world.entries
        if entry.state is model.TaskState.SUCCEEDED
    }
    for job_id, row in world.rows_by_id.items():
        ids = {model.task_id(job_id, i) for i in range(row.job.tasks)}
        if row.state is model.JobState.SUCCEEDED and not ids <= done:
            wrong.append(f'{job_id} succeeded without {ids - done}')
    return wrong


def unfinished(world: 'task_world.World') -> list[str]:
    """Find jobs that should have ended, and services with too few replicas."""
    wrong = []
    running = collections.Counter(
        job_of(task_id)
        for agent in world.agents_by_id.values()
        for task_id in agent.running
    )
    for job_id, row in world.rows_by_id.items():
        if row.state.is_final:
            if running[job_id]:
                wrong.append(f'{job_id} has ended, but tasks of it run')
        elif row.job.kind is not model.JobKind.SERVICE:
            why = world.leader.scheduler.explain(world.now, job_id)
            wrong.append(f'{job_id} has not ended: {why}')
        elif running[job_id] != row.job.tasks:
            why = world.leader.scheduler.explain(world.now, job_id)
            wrong.append(f'{job_id} lacks replicas: {why}')
    return wrong


def job_of(task_id: model.TaskId) -> model.JobId:
    """Return the job that a task belongs to."""
    return model.JobId(task_id.rpartition('/')[0])
