"""The agent of one worker as a state machine without I/O.

Every method takes the present time.  Task ends and the lapse of the lease
take effect at the time they were due, not when they are noticed.
"""

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import ledger

FULL_SPEED = 1.0


class Work(msgspec.Struct, frozen=True):
    """What the payload of a task says of its real run."""

    run_s: float | None = None
    """Real run time; the declared one if missing."""
    fails: bool = False
    peak: model.Resources | None = None
    """Real use; the declared need if missing."""


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a worker misbehaves."""

    fail_all: bool = False
    """Every task fails as soon as it starts."""
    speed: float = FULL_SPEED
    """Speed of tasks that start from now on."""
    unreachable: bool = False
    """Calls are taken and never answered."""
    answer_delay_s: float = 0.0


class _Running:
    """A task with the work that it still has to do."""

    def __init__(
        self, now: float, start: platform.TaskStart, remaining_s: float
    ) -> None:
        self.start = start
        self.work = _work_of(start)
        self.remaining_s = remaining_s
        self.speed = FULL_SPEED
        self.started_at = now
        self.counted_at = now

    def set_speed(self, now: float, speed: float) -> None:
        self.count(now)
        self.speed = speed

    def count(self, now: float) -> None:
        done = (now - self.counted_at) * self.speed
        self.remaining_s -= done
        self.counted_at = now

    @property
    def due_at(self) -> float:
        if self.speed <= 0:
            return float('inf')
        return self.counted_at + self.remaining_s / self.speed


def _work_of(start: platform.TaskStart) -> Work:
    if not isinstance(start.payload, dict):
        return Work()
    return msgspec.convert(start.payload, Work)


class Agent:
    """Runs tasks on one worker under a lease.

    :param checkpoints: remaining run time by task id, shared by all agents
        like the platform's store of checkpoints.
    :param usage_lag_s: age at which a sample of usage becomes visible.
    """

    def __init__(
        self,
        vm: model.Vm,
        writer: ledger.Writer,
        checkpoints: dict[model.TaskId, float],
        usage_lag_s: float = 2.0,
    ) -> None:
        self.worker_id = model.WorkerId(vm.vm_id)
        self.capacity = vm.capacity
        self.faults = Faults()
        self.epoch = model.Epoch(0)
        self.owner = model.VmId('')
        self.events: list[platform.TaskEvent] = []
        self._expires_at = 0.0
        self._running: dict[model.TaskId, _Running] = {}
        self._writer = writer
        self._checkpoints = checkpoints
        self._usage_lag_s = usage_lag_s
        self._reports: list[tuple[float, platform.Usage]] = []

    def lease(
        self,
        now: float,
        owner: model.VmId,
        epoch: model.Epoch,
        ttl_s: float,
        with_tasks: bool,
    ) -> platform.WorkerStatus:
        """Claim the worker or renew the claim.

        :raises errors.FencedOff: the epoch is lower, held by another owner
            or its lease has expired.
        """
        self.advance(now)
        renewal = (
            epoch == self.epoch
            and owner == self.owner
            and now < self._expires_at
        )
        if epoch <= self.epoch and not renewal:
            raise self._fenced_off()
        self.epoch, self.owner = epoch, owner
        self._expires_at = now + ttl_s
        return self._status(now, with_tasks)

    def start(
        self, now: float, epoch: model.Epoch, start: platform.TaskStart
    ) -> None:
        """Start a task.

        :raises errors.FencedOff: the caller does not hold the lease.
        :raises errors.WorkerRefused: no capacity, or it runs already.
        """
        self._check_epoch(now, epoch)
        if start.task_id in self._running:
            raise errors.WorkerRefused(f'task {start.task_id!r} runs already')
        if not (self.used() + start.resources).fits_in(self.capacity):
            raise errors.WorkerRefused(
                f'task {start.task_id!r} needs {start.resources}, but only '
                f'{self.capacity - self.used()} is free'
            )
        task = _Running(now, start, self._remaining(start))
        task.speed = self.faults.speed
        if self.faults.fail_all:
            task.remaining_s = 0.0
        self._running[start.task_id] = task
        self._write(now, ledger.Event.START, task)
        self._event(task, model.TaskState.RUNNING)
        self.advance(now)

    def checkpoint(
        self, now: float, epoch: model.Epoch, task_id: model.TaskId
    ) -> None:
        """Save the progress of a task and stop it.

        :raises errors.FencedOff: the caller does not hold the lease.
        :raises errors.NotFound: the task does not run here.
        """
        task = self._task(now, epoch, task_id)
        task.count(now)
        self._checkpoints[task_id] = task.remaining_s
        self._end(now, task, model.TaskState.CHECKPOINTED)

    def throttle(
        self,
        now: float,
        epoch: model.Epoch,
        task_id: model.TaskId,
        percent: int,
    ) -> None:
        """Limit a task to a percentage of its processors.

        :raises errors.FencedOff: the caller does not hold the lease.
        :raises errors.NotFound: the task does not run here.
        """
        task = self._task(now, epoch, task_id)
        task.set_speed(now, self.faults.speed * percent / 100)

    def stop(
        self, now: float, epoch: model.Epoch, task_id: model.TaskId
    ) -> None:
        """Stop a task at once.

        :raises errors.FencedOff: the caller does not hold the lease.
        :raises errors.NotFound: the task does not run here.
        """
        task = self._task(now, epoch, task_id)
        self._end(now, task, model.TaskState.STOPPED)

    def events_after(self, now: float, since: int) -> list[platform.TaskEvent]:
        """Return the events numbered above ``since``."""
        self.advance(now)
        return self.events[since:]

    def usage(self, now: float) -> list[platform.Usage]:
        """Return the reports that are old enough to be visible."""
        visible = now - self._usage_lag_s
        ended = [report for at, report in self._reports if at <= visible]
        return ended + [
            _usage_of(task, visible)
            for task in self._running.values()
            if task.started_at <= visible
        ]

    def used(self) -> model.Resources:
        """Return the sum of the declared needs of all running tasks."""
        total = model.Resources()
        for task in self._running.values():
            total += task.start.resources
        return total

    def advance(self, now: float) -> None:
        """Let everything happen that was due until ``now``."""
        while True:
            task = min(
                self._running.values(),
                key=lambda candidate: candidate.due_at,
                default=None,
            )
            if task is None or min(task.due_at, self._expires_at) > now:
                return
            if task.due_at <= self._expires_at:
                self._finish(task)
            else:
                self._lapse()

    def next_due(self) -> float:
        """Return the time of the next change without a call."""
        if not self._running:
            return float('inf')
        due = min(task.due_at for task in self._running.values())
        return min(due, self._expires_at)

    def offer(self, now: float) -> None:
        """Write the capacity of the worker to the ledger."""
        self._writer.write(
            ledger.Line(
                now,
                ledger.Event.OFFERED,
                ledger.Subject.TASK,
                self.worker_id,
                resources=self.capacity,
            )
        )

    def _remaining(self, start: platform.TaskStart) -> float:
        saved = self._checkpoints.pop(start.task_id, None)
        if saved is not None:
            return saved
        run_s = _work_of(start).run_s
        if run_s is not None:
            return run_s
        # A task of a service has no declared run time and never ends.
        return start.run_time_s or float('inf')

    def _finish(self, task: _Running) -> None:
        failed = self.faults.fail_all or task.work.fails
        state = (
            model.TaskState.FAILED if failed else (model.TaskState.SUCCEEDED)
        )
        self._end(task.due_at, task, state)

    def _lapse(self) -> None:
        for task in list(self._running.values()):
            self._end(
                self._expires_at,
                task,
                model.TaskState.STOPPED,
                'the lease has expired',
            )

    def _task(
        self, now: float, epoch: model.Epoch, task_id: model.TaskId
    ) -> _Running:
        self._check_epoch(now, epoch)
        task = self._running.get(task_id)
        if task is None:
            raise errors.NotFound(f'task {task_id!r} does not run here')
        return task

    def _check_epoch(self, now: float, epoch: model.Epoch) -> None:
        self.advance(now)
        if epoch != self.epoch or now >= self._expires_at:
            raise self._fenced_off()

    def _fenced_off(self) -> errors.FencedOff:
        return errors.FencedOff(self.worker_id, self.epoch, self.owner)

    def _end(
        self,
        at: float,
        task: _Running,
        state: model.TaskState,
        reason: str = '',
    ) -> None:
        del self._running[task.start.task_id]
        self._reports.append((at, _usage_of(task, at)))
        self._write(at, ledger.Event.END, task, state.value)
        self._event(task, state, reason)

    def _event(
        self, task: _Running, state: model.TaskState, reason: str = ''
    ) -> None:
        number = len(self.events) + 1
        start = task.start
        self.events.append(
            platform.TaskEvent(
                number, start.task_id, start.attempt, state, reason
            )
        )

    def _write(
        self, at: float, event: ledger.Event, task: _Running, outcome: str = ''
    ) -> None:
        start = task.start
        self._writer.write(
            ledger.Line(
                at,
                event,
                ledger.Subject.TASK,
                self.worker_id,
                id=start.task_id,
                attempt=start.attempt,
                team=start.team,
                job=start.job_id,
                resources=start.resources,
                outcome=outcome,
            )
        )

    def _status(self, now: float, with_tasks: bool) -> platform.WorkerStatus:
        tasks = None
        if with_tasks:
            tasks = tuple(map(_report, self._running.values()))
        return platform.WorkerStatus(
            self.worker_id,
            self.epoch,
            self.owner,
            self._expires_at - now,
            self.capacity,
            tasks,
            len(self.events),
        )


def _report(task: _Running) -> platform.RunningTask:
    start = task.start
    return platform.RunningTask(
        start.task_id,
        start.attempt,
        start.job_id,
        start.team,
        start.resources,
        model.TaskState.RUNNING,
    )


def _usage_of(task: _Running, at: float) -> platform.Usage:
    peak = task.work.peak or task.start.resources
    run_time_s = max(0.0, at - task.started_at)
    return platform.Usage(task.start.task_id, peak, run_time_s)
