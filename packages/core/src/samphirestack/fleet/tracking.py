"""Tracked state of each worker and of the runs on it."""

import collections
import enum

import msgspec

from samphirestack.fleet import losses
from samphirestack.fleet import specs
from samphirestack.fleet import stops
from samphirestack.fleet import work
from samphirestack import model

LATE_ORDER_S = 12.0
"""An order without an answer may be carried out this much later."""

MAX_CLOCK_DRIFT = 0.03
"""Workers' clocks may run 2 % slow; the rest covers rounding."""


RESTART_NOTICED_S = 10.0
"""Time after its start in which a new process of a worker is known to the
holder, or else gets no more calls.  Covers clocks that differ by seconds."""

ACKNOWLEDGE_WITHIN_S = 0.2
"""Time after a report of a worker in which the next process can't have ended
a run unread."""

UNKNOWN_PERCENT = -1
"""Stands for a speed limit that isn't known, which differs from all others."""


class RunState(enum.Enum):
    """What the scheduler has heard of the start of a run.

    Whether the run is to be stopped is a decision, which nothing that is heard
    revokes; see ``stops.StopDecision``.
    """

    ORDERED = 'ordered'
    """The start order has no answer yet."""
    UNCERTAIN = 'uncertain'
    """The start order timed out: the run may be active or start later."""
    CONFIRMED = 'confirmed'
    """The worker accepted the start order or listed the run."""


class Run:
    """A run that uses, or may use, resources of a worker."""

    __slots__ = (
        'began_at',
        'first_listed_at',
        'first_percent',
        'has_begun',
        'is_copy',
        'is_primary',
        'is_resumed',
        'last_progress_at',
        'lists_valid_from',
        'load',
        'number',
        'on_probation',
        'order_sent',
        'ordered_at',
        'percent',
        'probation_is_checked',
        'sampled_at',
        'sampled_percent',
        'started_at',
        'state',
        'stop',
        'task',
        'throttle_ordered_at',
        'throttle_pending',
        'throttle_percent',
        'throttle_unsettled_until',
        'was_listed',
        'worker_id',
    )

    def __init__(
        self,
        task: work.Task,
        number: int,
        worker_id: model.WorkerId,
        state: RunState,
        now: float,
    ) -> None:
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.state = state
        self.ordered_at = now
        self.lists_valid_from = now
        """Only lists requested after this moment can prove that the run is
        over by not containing it.  Infinite while the run may start until its
        worker has accepted the stop."""
        self.was_listed = False
        """Whether a list of its worker's process contained it.  An answer to
        an order names no process: another one may have carried it out."""
        self.has_begun = False
        """Whether its worker accepted its order or listed it in this term."""
        self.started_at = float('inf')
        """Latest moment at which the run may have started, as far as is
        known."""
        self.order_sent = state is not RunState.ORDERED
        """Whether the worker may have received the start order."""
        self.on_probation = False
        """Whether its task may crash the worker, which takes no other starts
        meanwhile."""
        self.probation_is_checked = False
        self.percent = 0.0
        self.first_percent = -1.0
        """Progress in the first report of the run, which may have resumed from
        a checkpoint; negative before."""
        self.first_listed_at = now
        """When that report came."""
        self.is_resumed = False
        """Whether its start order carried a checkpoint."""
        self.began_at: float | None = None
        """When its worker confirmed the start; ``None`` if that is not known,
        or if the worker was silent since."""
        self.last_progress_at = now
        self.load = 0.0
        self.sampled_at = float('-inf')
        self.sampled_percent = 0.0
        """When interference was last learned from the run, and its progress
        then."""
        self.throttle_percent = (
            100 if state is RunState.ORDERED else UNKNOWN_PERCENT
        )
        """Speed limit that was ordered last; only used for fillers.  An
        earlier holder may have set any for the runs that it started."""
        self.throttle_ordered_at = float('-inf')
        self.throttle_pending = False
        """Whether a speed limit was ordered and has no answer yet."""
        self.throttle_unsettled_until = float('-inf')
        """Until when a speed limit that was ordered without an answer may
        replace newer ones."""
        self.stop: stops.StopDecision | None = None
        self.is_copy = False
        """Whether it is a copy of a placed task; it isn't primary then."""
        self.is_primary = True
        """Whether the task counts as placed because of this run; false for a
        surplus run of a task that is placed or done already."""


class FormerProcess(msgspec.Struct):
    """The process of a worker before the present one."""

    started_unix_ms: int
    last_handled_end: int
    """Highest number of a run end that was applied to the jobs."""


def former_leases_end(noticed_at: float, max_lease_s: float) -> float:
    """Return when leases by calls for a worker's former process have ended.

    :param noticed_at: from when on no such call was sent.
    """
    return noticed_at + LATE_ORDER_S + max_lease_s * (1 + MAX_CLOCK_DRIFT)


class _LateOrder:
    """A start order without a known answer."""

    __slots__ = ('stop', 'until')

    def __init__(self, until: float) -> None:
        self.until = until
        """Until when it may be carried out."""
        self.stop: stops.StopDecision | None = None
        """Since the worker's last restart."""


class TrackedWorker:
    """A worker with its free resources, its runs and its lease.

    :param token: of its present process; above those of all earlier ones.
    """

    def __init__(
        self,
        entry: specs.WorkerEntry,
        token: specs.CallToken = specs.NO_TOKEN,
    ) -> None:
        self.entry = entry
        self.token = token
        """Carried by all calls that are meant for its present process."""
        self.runs_by_key: dict[tuple[model.TaskId, int], Run] = {}
        self.free_cpu = entry.capacity.millicores
        self.free_memory = entry.capacity.memory_mb
        self.free_gpu = entry.capacity.accelerators
        self.has_reported = False
        """Whether a report of this process of the worker was read in this
        term."""
        self.started_unix_ms = entry.started_unix_ms
        self.last_handled_end = 0
        """Highest number of a run end that was applied to the jobs."""
        self.unstored_ends: collections.deque[tuple[int, model.TaskId]] = (
            collections.deque()
        )
        """Number and task of applied ends that may not be stored yet."""
        self.last_stored_end = 0
        """Highest number of a run end that is stored; the worker may forget
        the ends up to it."""
        self.last_acknowledged_end = 0
        """Highest number of a run end up to which the worker has confirmed
        that it forgot them."""
        self.lease_deadline_ms = 0.0
        """Latest lease deadline that was sent, on the worker's clock."""
        self.clock_ms = 0.0
        self.clock_read_at = float('-inf')
        """When the worker's clock was read, on the scheduler's clock."""
        self.last_answer_at = float('-inf')
        """When the worker last answered a call."""
        self.reported_at = float('-inf')
        """When the last report of the present process came."""
        self.last_end_at = float('-inf')
        """When a report with new ends was last applied."""
        self.unsettled_crash: losses.UnsettledCrash | None = None
        """Crash of the former process, until it is known what it took
        along."""
        self.probation_run_count = 0
        self.former_process: FormerProcess | None = None
        self.restart_learned_at = float('-inf')
        """When a restart of the worker was last learned."""
        self.former_leases_end_at = float('-inf')
        """Since its restart, when every lease has expired that a call for the
        process before it may have granted."""
        self.consecutive_failed_calls = 0
        """Failed calls since the last answer."""
        self.silent_since: float | None = None
        """When the worker stopped answering; ``None`` while it answers."""
        self.registered = True
        """Whether the worker is in the list of registered workers."""
        self.unknown_runs: dict[tuple[model.TaskId, int], float] = {}
        """When the stop of each listed run without an active job was ordered.
        The size of such a run is not known, so that the worker's free
        resources are not known either."""
        self._late_orders: dict[tuple[model.TaskId, int], _LateOrder] = {}
        """Start orders without a known answer, whether their runs are still
        tracked or not."""
        self.avoid_until = 0.0
        """No new run is placed on the worker before."""
        self.closed_for_upkeep = False
        """Whether new work is refused because of upkeep of its machine."""
        self.cold_until = float('-inf')
        """When the worker is expected to be warm."""
        self.requested_filler_cpu = 0
        """Sum of the sizes of its filler runs in millicores."""
        self.filler_percent = 100
        """Speed limit of its filler runs."""
        self.throttle_changed_at = float('-inf')

    @property
    def is_idle(self) -> bool:
        """Return whether the worker has no run and nothing to report."""
        return (
            self.has_reported
            and self.silent_since is None
            and not self.consecutive_failed_calls
            and not self.runs_by_key
            and not self.unknown_runs
            and self.last_handled_end == self.last_acknowledged_end
        )

    @property
    def is_next_process(self) -> bool:
        """Return whether the worker restarted and hasn't reported since."""
        return not self.has_reported and (
            self.restart_learned_at > float('-inf')
        )

    @property
    def has_ends_to_acknowledge(self) -> bool:
        """Return whether the worker holds ends that it may forget."""
        return self.last_stored_end > self.last_acknowledged_end

    def end_to_acknowledge(self, now: float) -> int:
        """Return up to which end the worker may forget its ends; 0 for none.

        An end is acknowledged only until the worker has confirmed it.  A
        process that starts under the same id counts its ends anew, and must
        not forget the first ones because of those of its predecessor.  None
        is acknowledged after a failed call, which may be due to a restart, or
        without a recent report, which shows that the process is still there.
        """
        if (
            self.consecutive_failed_calls
            or now - self.reported_at > ACKNOWLEDGE_WITHIN_S
            or not self.has_ends_to_acknowledge
        ):
            return 0
        return self.last_stored_end

    @property
    def is_draining(self) -> bool:
        """Return whether the worker announced that it takes no new work."""
        return self.entry.state is specs.WorkerState.DRAINING

    def record_cold(self, now: float) -> None:
        """Apply how long the worker's entry says that it stays cold."""
        if self.entry.cold_s:
            self.cold_until = now + self.entry.cold_s

    @property
    def entry_is_outdated(self) -> bool:
        """Return whether the entry is of an earlier process of the worker.

        The capacity of the present process may differ.
        """
        return 0 < self.entry.started_unix_ms < self.started_unix_ms

    @property
    def is_overcommitted(self) -> bool:
        """Return whether its runs exceed a capacity that shrank."""
        return min(self.free_cpu, self.free_memory, self.free_gpu) < 0

    def record_clock(self, now: float, clock_ms: float) -> None:
        """Record a reading of the worker's clock."""
        self.clock_ms = clock_ms
        self.clock_read_at = now

    def deadline_after(self, now: float, lease_s: float) -> int | None:
        """Return the end of a lease granted now, on the worker's clock.

        :param lease_s: duration of the lease.
        :return: milliseconds, or ``None`` while the clock is not known.
        """
        if self.clock_read_at == float('-inf'):
            return None
        return int(self.clock_ms + (now - self.clock_read_at + lease_s) * 1000)

    def reset_clock(self, now: float, max_lease_s: float) -> None:
        """Forget the clock and the lease of a worker that restarted.

        A deadline on the former clock is far in the future on the new one,
        and grants the longest lease.
        """
        self.restart_learned_at = now
        self.reported_at = float('-inf')
        self.lease_deadline_ms = 0.0
        self.clock_read_at = float('-inf')
        self.former_leases_end_at = former_leases_end(now, max_lease_s)

    def lease_expired(self, now: float) -> bool:
        """Return whether the lease has expired even on the slowest clock."""
        if now < self.former_leases_end_at:
            return False
        if self.clock_read_at == float('-inf'):
            # Without a restart, nothing is known of any lease.
            return self.former_leases_end_at > float('-inf')
        passed_ms = (now - self.clock_read_at) * (1 - MAX_CLOCK_DRIFT) * 1000
        return self.clock_ms + passed_ms > self.lease_deadline_ms

    def record_unanswered_order(
        self, now: float, task_id: model.TaskId, run_number: int
    ) -> None:
        """Record a start order that may be carried out later."""
        self._late_orders[task_id, run_number] = _LateOrder(now + LATE_ORDER_S)

    def has_late_orders(self, now: float) -> bool:
        """Return whether a start order may yet be carried out."""
        return any(order.until > now for order in self._late_orders.values())

    def stop_late_orders(self, now: float, reason: str) -> None:
        """Stop the orders again that the next process may carry out.

        The process that refused them, or had stopped their runs, is gone.
        """
        for order in self._late_orders.values():
            order.stop = stops.StopDecision(now, reason)

    def record_due_late_stops(
        self, now: float
    ) -> list[tuple[model.TaskId, specs.RunNumber, str]]:
        """Return the orders to stop now, with the reason.

        Their runs are over, and would begin anew.
        """
        due = []
        for (task_id, number), order in list(self._late_orders.items()):
            stop = order.stop
            if order.until <= now:
                del self._late_orders[task_id, number]
            elif (
                stop is not None
                and not stop.is_accepted
                and (task_id, number) not in self.runs_by_key
                and stop.is_order_due(now)
            ):
                stop.record_order(now)
                due.append((task_id, specs.RunNumber(number), stop.reason))
        return due

    def record_accepted_stop(
        self, task_id: model.TaskId, run_number: int
    ) -> None:
        """Record that the process won't carry out an order any more."""
        order = self._late_orders.get((task_id, run_number))
        if order is not None and order.stop is not None:
            order.stop.is_accepted = True

    def begin_probation(self, run: Run) -> None:
        """Let no other tasks start on the worker until the run settles."""
        self.probation_run_count += not run.on_probation
        run.on_probation = True

    def end_probation(self, run: Run) -> None:
        """Let other tasks start on the worker again."""
        self.probation_run_count -= run.on_probation
        run.on_probation = False

    def add_run(self, run: Run) -> None:
        """Add a run and deduct its resources."""
        self.runs_by_key[run.task.id, run.number] = run
        self.probation_run_count += run.on_probation
        spec = run.task.step.spec
        if spec.filler:
            self.requested_filler_cpu += spec.size.millicores
        else:
            self.free_cpu -= spec.size.millicores
        self.free_memory -= spec.size.memory_mb
        self.free_gpu -= spec.size.accelerators
        step = run.task.step
        step.run_counts_by_worker[run.worker_id] = (
            step.run_counts_by_worker.get(run.worker_id, 0) + 1
        )

    def remove_run(self, run: Run) -> None:
        """Remove a run and return its resources; ignore unknown runs."""
        if self.runs_by_key.pop((run.task.id, run.number), None) is None:
            return
        self.end_probation(run)
        spec = run.task.step.spec
        if spec.filler:
            self.requested_filler_cpu -= spec.size.millicores
        else:
            self.free_cpu += spec.size.millicores
        self.free_memory += spec.size.memory_mb
        self.free_gpu += spec.size.accelerators
        run.task.step.run_counts_by_worker[run.worker_id] -= 1
