"""In-memory stand-ins for tests of the task scheduler.

They run in simulated time and without I/O, so that a test can go through
hours of faults in a second.
"""

import collections
from collections.abc import Iterable

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform


FAILING_S = 0.01
"""Run time of a task on a worker that fails every task."""


class Entry(msgspec.Struct, frozen=True):
    """One line of a fake agent's ledger."""

    at: float
    worker_id: model.WorkerId
    task_id: model.TaskId
    attempt: int
    state: model.TaskState
    resources: model.Resources
    team: model.TeamId
    refused: bool = False
    """Whether the agent refused the start for lack of capacity."""


class Plan(msgspec.Struct, frozen=True):
    """What a task really does; carried as the payload of its job."""

    run_s: float
    failures: int = 0
    """Attempts that fail before one succeeds."""


class _Running(msgspec.Struct):
    start: platform.TaskStart
    ends_at: float
    state: model.TaskState


class FakeAgent:
    """A worker agent that enforces capacity, epochs and its lease.

    :param ledger: gets a line for each start, end and refusal.
    :param failures: attempts that failed so far, by task, of all agents.
    """

    def __init__(
        self,
        vm: model.Vm,
        ledger: list[Entry],
        failures: collections.Counter[model.TaskId],
    ) -> None:
        self.worker_id = model.WorkerId(vm.vm_id)
        self.capacity = vm.capacity
        self.fails_all = False
        self.running: dict[model.TaskId, _Running] = {}
        self._ledger = ledger
        self._failures = failures
        self.epoch = model.Epoch(0)
        self.owner = model.VmId('')
        self.expires_at = 0.0
        self.events: list[platform.TaskEvent] = []

    def restart(self, now: float) -> None:
        """Lose all tasks and all memory, like a VM that is replaced."""
        self.advance(now)
        for task in list(self.running.values()):
            self._end(now, task, model.TaskState.LOST)
        self._forget()

    def advance(self, now: float) -> None:
        """Let tasks end and the lease lapse that were due until ``now``."""
        due = sorted(self.running.values(), key=lambda task: task.ends_at)
        for task in due:
            if task.ends_at <= min(now, self.expires_at):
                self._end(task.ends_at, task, task.state)
        if now < self.expires_at:
            return
        for task in list(self.running.values()):
            self._end(self.expires_at, task, model.TaskState.STOPPED)

    def lease(
        self,
        now: float,
        owner: model.VmId,
        epoch: model.Epoch,
        ttl_s: float,
        with_tasks: bool,
    ) -> platform.WorkerStatus:
        """Claim the worker or renew the claim."""
        self.advance(now)
        held = epoch == self.epoch and owner == self.owner
        if epoch <= self.epoch and not (held and now < self.expires_at):
            raise errors.FencedOff(self.worker_id, self.epoch, self.owner)
        self.epoch, self.owner, self.expires_at = epoch, owner, now + ttl_s
        tasks = tuple(
            platform.RunningTask(
                task.start.task_id,
                task.start.attempt,
                task.start.job_id,
                task.start.team,
                task.start.resources,
                model.TaskState.RUNNING,
            )
            for task in self.running.values()
        )
        return platform.WorkerStatus(
            self.worker_id,
            epoch,
            owner,
            ttl_s,
            self.capacity,
            tasks if with_tasks else None,
            len(self.events),
        )

    def start(
        self, now: float, epoch: model.Epoch, start: platform.TaskStart
    ) -> None:
        """Start a task."""
        self._check(now, epoch)
        if start.task_id in self.running:
            raise errors.WorkerRefused(f'{start.task_id} runs already')
        used = model.Resources()
        for other in self.running.values():
            used += other.start.resources
        if not (used + start.resources).fits_in(self.capacity):
            self._note(now, start, model.TaskState.FAILED, refused=True)
            raise errors.WorkerRefused(f'{start.task_id} does not fit')
        plan = start.payload
        assert isinstance(plan, Plan)
        fails = self._failures[start.task_id] < plan.failures
        state = model.TaskState.SUCCEEDED
        if fails or self.fails_all:
            state = model.TaskState.FAILED
        run_s = FAILING_S if self.fails_all else plan.run_s
        if not start.run_time_s and not fails and not self.fails_all:
            run_s = float('inf')
        task = _Running(start, now + run_s, state)
        self.running[start.task_id] = task
        self._note(now, start, model.TaskState.RUNNING)
        self._event(start, model.TaskState.RUNNING)
        self.advance(now)

    def stop(
        self, now: float, epoch: model.Epoch, task_id: model.TaskId
    ) -> None:
        """Stop a task."""
        self._take_off(now, epoch, task_id, model.TaskState.STOPPED)

    def checkpoint(
        self, now: float, epoch: model.Epoch, task_id: model.TaskId
    ) -> None:
        """Save a task and stop it."""
        self._take_off(now, epoch, task_id, model.TaskState.CHECKPOINTED)

    def _take_off(
        self,
        now: float,
        epoch: model.Epoch,
        task_id: model.TaskId,
        state: model.TaskState,
    ) -> None:
        self._check(now, epoch)
        if task_id not in self.running:
            raise errors.NotFound(f'{task_id} does not run here')
        self._end(now, self.running[task_id], state)

    def _check(self, now: float, epoch: model.Epoch) -> None:
        self.advance(now)
        if epoch != self.epoch or now >= self.expires_at:
            raise errors.FencedOff(self.worker_id, self.epoch, self.owner)

    def _forget(self) -> None:
        self.epoch = model.Epoch(0)
        self.owner = model.VmId('')
        self.expires_at = 0.0
        self.events = []

    def _end(self, at: float, task: _Running, state: model.TaskState) -> None:
        del self.running[task.start.task_id]
        if state is model.TaskState.FAILED and not self.fails_all:
            self._failures[task.start.task_id] += 1
        self._note(at, task.start, state)
        self._event(task.start, state)

    def _event(
        self, start: platform.TaskStart, state: model.TaskState
    ) -> None:
        self.events.append(
            platform.TaskEvent(
                len(self.events) + 1, start.task_id, start.attempt, state
            )
        )

    def _note(
        self,
        at: float,
        start: platform.TaskStart,
        state: model.TaskState,
        refused: bool = False,
    ) -> None:
        self._ledger.append(
            Entry(
                at,
                self.worker_id,
                start.task_id,
                start.attempt,
                state,
                start.resources,
                start.team,
                refused,
            )
        )


class FakeLedger:
    """Slices of teams; a team without one is not limited."""

    def __init__(self, running_by_team: dict[str, int] | None = None) -> None:
        self.running_by_team = dict(running_by_team or {})
        self._used: dict[model.TeamId, tuple[int, model.Resources]] = {}

    def try_acquire(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> bool:
        """Count an amount unless the slice would be exceeded."""
        limit = self.running_by_team.get(team)
        if limit is not None and self._of(team)[0] + running > limit:
            return False
        self.adopt(team, running, resources)
        return True

    def adopt(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> None:
        """Count an amount without a check."""
        count, used = self._of(team)
        self._used[team] = (count + running, used + resources)

    def release(
        self, team: model.TeamId, running: int, resources: model.Resources
    ) -> None:
        """Give an amount back; more than is used is an error."""
        count, used = self._of(team)
        self._used[team] = (count - running, used - resources)
        if count < running or self._used[team][1].is_negative():
            raise ValueError(f'{team} gives back more than it uses')

    def usages(self) -> list[messages.TeamUsage]:
        """Return the use of all teams."""
        return [
            messages.TeamUsage(team, count, used, 0)
            for team, (count, used) in self._used.items()
        ]

    def slice_of(self, team: model.TeamId) -> configuration.Limit:
        """Return the slice of a team."""
        return configuration.Limit(running=self.running_by_team.get(team))

    def _of(self, team: model.TeamId) -> tuple[int, model.Resources]:
        return self._used.get(team, (0, model.Resources()))


class FakeShares:
    """Orders teams by the processors that they use."""

    def __init__(self) -> None:
        self._used: collections.Counter[model.TeamId] = collections.Counter()

    def charge(
        self,
        now: float,
        team: model.TeamId,
        slots: int,
        resources: model.Resources,
    ) -> None:
        """Count resources."""
        self._used[team] += resources.millicores

    def refund(
        self,
        now: float,
        team: model.TeamId,
        slots: int,
        resources: model.Resources,
    ) -> None:
        """Give resources back."""
        self._used[team] -= resources.millicores

    def order(
        self, now: float, teams: Iterable[model.TeamId]
    ) -> list[model.TeamId]:
        """Return the teams, the one with the least use first."""
        return sorted(teams, key=lambda team: (self._used[team], team))
