"""Attribution of workers' crashes to the tasks that may have caused them.

A task can crash each worker that starts it.  A crash alone doesn't show which
run caused it: the others on the worker are innocent.  The runs that had only
just started are suspects.  Each starts again on probation, where no other
job's task starts on the worker at about the same time, so that one more crash
identifies it.  A run that survives its start clears its task.

A crash under a run whose order had no answer counts only towards
MAX_UNPROVED_CRASHES and MAX_CRASHES: no worker may ever have carried the order
out.

A crash makes suspects only if it is proved: by a new process with the worker's
id or on its machine.  A worker that is merely silent may run on.  Runs that
vanished with their worker before a takeover only count towards MAX_CRASHES.
"""

from collections.abc import Iterable

import msgspec

from samphirestack.fleet import losses
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack import model

START_WINDOW_S = 0.3
"""Time after its start within which a task that crashes workers does so.  It
covers a worker that is several times slower than usual."""

IDENTIFYING_CRASHES = 2
"""Crashes of which a task was a suspect, once begun, after which its job is
given up, if no other job was a suspect of the last one."""

MAX_SUSPECTED_CRASHES = 3
"""Crashes of which a task was a suspect, once begun, after which its job is
given up although others were suspects as well."""

MAX_UNPROVED_CRASHES = 4
"""Crashes of which a task was a suspect, begun or not, after which its job is
given up.  A takeover may lose one that is not attributed yet."""

REPEATED_CRASHES = 3
"""Crashes under one task from which on it stays on probation until its run
ends: it may crash workers later than START_WINDOW_S."""

MAX_CRASHES = 5
"""Crashes under one task after which its job is given up in any case."""

PROBATION_WAIT_S = 1.0
"""Time that a suspect waits for a worker on which nothing else has just
started, before it takes any other."""

STEADY_AGE_S = 5.0
"""Age from which a process of a worker counts as steady.  Suspects prefer
it, since a worker that keeps restarting would incriminate them."""

SIMULTANEOUS_S = 0.25
MIN_SIMULTANEOUS = 3
"""At least this many workers of a rack, and half of it, that are lost within
SIMULTANEOUS_S have a common cause, such as a loss of power."""

PROOF_WINDOW_S = 60.0
"""Time after the loss of a worker in which its return proves a crash."""


class CrashTracker:
    """Tells crashes of workers from other losses."""

    def __init__(self) -> None:
        self._started_ms_by_machine: dict[str, int] = {}
        """Start time of the newest process on each machine."""
        self._unproved_by_machine: dict[str, losses.LostWorker] = {}
        self._lost_by_machine: dict[str, tuple[float, str]] = {}
        """Time of the last loss of each machine's worker, and its rack."""

    def record_process(
        self, entry: specs.WorkerEntry
    ) -> losses.LostWorker | None:
        """Record a registered process of a worker.

        :return: the lost predecessor whose crash it proves, if any.
        """
        machine = entry.machine
        if not machine:
            return None
        newest = self._started_ms_by_machine.get(machine, 0)
        self._started_ms_by_machine[machine] = max(
            newest, entry.started_unix_ms
        )
        lost = self._unproved_by_machine.get(machine)
        if lost is None or (
            entry.started_unix_ms <= lost.entry.started_unix_ms
        ):
            return None
        del self._unproved_by_machine[machine]
        return lost

    def has_successor(self, worker: tracking.TrackedWorker) -> bool:
        """Return whether a newer process runs on the worker's machine."""
        newest = self._started_ms_by_machine.get(worker.entry.machine, 0)
        return newest > worker.started_unix_ms > 0

    def record_loss(self, lost: losses.LostWorker) -> None:
        """Record a worker whose crash isn't proved."""
        if lost.entry.machine:
            self._unproved_by_machine[lost.entry.machine] = lost

    def record_lost_machine(
        self, entry: specs.WorkerEntry, lost_at: float
    ) -> None:
        """Record when the worker of a machine was lost."""
        self._lost_by_machine[entry.machine] = (lost_at, entry.rack)

    def mark_alive(self, machine: str) -> None:
        """Record that a worker taken for lost runs on."""
        self._unproved_by_machine.pop(machine, None)
        self._lost_by_machine.pop(machine, None)

    def forget_old_losses(self, now: float) -> None:
        """Forget losses that were not proved in time."""
        for machine, lost in list(self._unproved_by_machine.items()):
            if now - lost.lost_at > PROOF_WINDOW_S:
                del self._unproved_by_machine[machine]

    def has_common_cause(
        self,
        lost: losses.LostWorker,
        workers: Iterable[tracking.TrackedWorker],
    ) -> bool:
        """Return whether a large part of the rack was lost at about once.

        :param workers: all tracked workers.
        """
        rack = lost.entry.rack
        self.record_lost_machine(lost.entry, lost.lost_at)
        machines = set()
        lost_machines = {
            machine
            for machine, (lost_at, lost_rack) in self._lost_by_machine.items()
            if lost_rack == rack
            and abs(lost_at - lost.lost_at) <= SIMULTANEOUS_S
        }
        for worker in workers:
            if worker.entry.rack != rack:
                continue
            machines.add(worker.entry.machine)
            silent_since = worker.silent_since
            if silent_since is not None and (
                abs(silent_since - lost.lost_at) <= SIMULTANEOUS_S
            ):
                lost_machines.add(worker.entry.machine)
        return len(lost_machines) >= max(
            MIN_SIMULTANEOUS, len(machines | lost_machines) / 2
        )


def lost_worker(
    now: float,
    worker: tracking.TrackedWorker,
    runs: Iterable[tracking.Run],
) -> losses.LostWorker:
    """Return what is lost with a worker.

    :param runs: those of its runs that are lost.
    """
    return losses.LostWorker(
        worker.entry,
        _lost_at(now, worker),
        tuple(
            _lost_run(run, worker.last_answer_at)
            for run in runs
            if run.order_sent
        ),
    )


def unsettled_crash(
    now: float, worker: tracking.TrackedWorker, restarted_at: float
) -> losses.UnsettledCrash:
    """Return the crash of a worker that was started again under its id.

    Only a run that a list showed was on the former process for certain.

    :param restarted_at: when the next process started.
    """
    crash = losses.UnsettledCrash(worker.entry, _lost_at(now, worker))
    for run in worker.runs_by_key.values():
        if run.order_sent and _may_have_begun(run, restarted_at):
            lost = _lost_run(run, min(worker.last_answer_at, restarted_at))
            if run.was_listed:
                crash.add_lost(lost)
            else:
                crash.add_open(lost)
    return crash


def _may_have_begun(run: tracking.Run, restarted_at: float) -> bool:
    """Return whether a run may have begun on the process that crashed.

    A run that its worker has confirmed may have, whatever the clocks say.
    """
    return (
        run.state is tracking.RunState.CONFIRMED
        or run.ordered_at < restarted_at
    )


def without_lapsed_runs(
    lost: losses.LostWorker, restarted_at: float, max_lease_s: float
) -> losses.LostWorker:
    """Return a loss without proofs against runs whose leases may have lapsed.

    A worker that is cut off for longer than a lease ends its runs itself.

    :param restarted_at: when the next process started.
    """
    if restarted_at - lost.lost_at <= max_lease_s:
        return lost
    return msgspec.structs.replace(
        lost,
        runs=tuple(
            msgspec.structs.replace(
                run, had_begun=run.had_begun and run.may_have_just_started
            )
            for run in lost.runs
        ),
    )


def _lost_at(now: float, worker: tracking.TrackedWorker) -> float:
    return now if worker.silent_since is None else worker.silent_since


def _lost_run(run: tracking.Run, answered_at: float) -> losses.LostRun:
    """Return a run that was lost with its worker.

    :param answered_at: when the lost process last answered.
    """
    return losses.LostRun(
        run.task,
        run.number,
        run.started_at > answered_at - START_WINDOW_S,
        run.has_begun,
    )


def suspects_of(
    lost: losses.LostWorker, has_common_cause: bool
) -> list[losses.LostRun]:
    """Return the runs that may have caused a crash.

    If none had just started, each of them may have.

    :param has_common_cause: whether much of the rack was lost as well.
    """
    suspects = [
        run
        for run in lost.runs
        if run.may_have_just_started or had_repeated_crashes(run.task)
    ]
    if has_common_cause:
        # A further crash under the same task is no coincidence.
        return [run for run in suspects if is_suspect(run.task)]
    return suspects or list(lost.runs)


def is_suspect(task: work.Task) -> bool:
    """Return whether a task may crash the next worker that starts it."""
    return task.suspected_crashes > 0 or had_repeated_crashes(task)


def had_repeated_crashes(task: work.Task) -> bool:
    """Return whether even a run at work does not clear a task."""
    return (
        not task.step.spec.long_running
        and len(task.crashes_by_run) >= REPEATED_CRASHES
    )


def is_to_be_given_up(task: work.Task, other_jobs_are_suspects: bool) -> bool:
    """Return whether the job of a suspect is given up after a crash.

    :param other_jobs_are_suspects: whether a task of another job may have
        caused the last crash.
    """
    limit = (
        MAX_SUSPECTED_CRASHES
        if other_jobs_are_suspects
        else IDENTIFYING_CRASHES
    )
    recorded = task.crashes_by_run.values()
    if sum(one.suspected and one.had_begun for one in recorded) >= limit:
        return True
    if task.suspected_crashes >= MAX_UNPROVED_CRASHES:
        return True
    # Over the life of a long-running task, workers crash for other reasons.
    return not task.step.spec.long_running and len(recorded) >= MAX_CRASHES


def is_steady(unix_now: float, worker: tracking.TrackedWorker) -> bool:
    """Return whether a worker has not restarted recently."""
    return unix_now - worker.started_unix_ms / 1000 >= STEADY_AGE_S


def is_fit_for_probation(now: float, worker: tracking.TrackedWorker) -> bool:
    """Return whether a crash of a worker would identify a suspect.

    It would not if another task has just started there.
    """
    return all(
        now - run.started_at > START_WINDOW_S
        for run in worker.runs_by_key.values()
    )


def crashed_worker_ids(task: work.Task) -> list[model.WorkerId]:
    """Return the workers that crashed under a task, in order."""
    return [
        crash.worker_id for _, crash in sorted(task.crashes_by_run.items())
    ]
