"""Holds the lease of one worker and reads the reports of its agent."""

import asyncio
from collections.abc import Callable

import msgspec

from samphirestack import errors
from samphirestack.internal.leader import tasks as schedulers
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd import interfaces

EVENTS_POLL_TIMEOUT_S = 20.0
"""Maximum time that an agent may delay its answer to a poll for events."""

USAGE_INTERVAL_S = 10.0
LIST_INTERVAL_S = 30.0
"""Time between full lists of tasks.  They reveal what no event reports, such
as a restart of the agent between two renewals."""

ENDED_STATES = frozenset(
    {
        model.TaskState.SUCCEEDED,
        model.TaskState.FAILED,
        model.TaskState.STOPPED,
    }
)
"""Task states that are recorded as ``task.ended`` events."""

RETRY_S = 0.5
PROBE_INTERVAL_S = 1.0
"""Time between probes of a silent worker; they do not renew its lease."""

FAILURES_BEFORE_SILENT = 2

ARBITER_SETTLE_S = 5.0
"""Time for which the election may still renew the lease of a silent arbiter.
The time until the lease lapses is counted from the end of this period."""

LAPSED_EPOCH_STEP = 1_000_000
"""Increment of the epoch that claims a worker whose lease has lapsed; its
agent accepts only a higher epoch.  A step of 1 could equal the epoch of the
next term, and a restarted agent that has lost its epoch would then accept a
delayed start from the earlier leader."""


class LinkDependencies(msgspec.Struct, frozen=True):
    """Services and limits that all links of a term share."""

    context: contexts.Context
    scheduler: schedulers.TaskScheduler
    call_slots: asyncio.Semaphore
    """Limits the number of concurrent calls."""
    wake: Callable[[], None]
    may_act: Callable[[], bool]
    """Returns whether this node still leads the zone in the link's term."""


class WorkerLink:
    """Holds the lease of one worker for one term."""

    def __init__(
        self, deps: LinkDependencies, term: interfaces.Term, vm: model.Vm
    ) -> None:
        self.worker_id = model.WorkerId(vm.vm_id)
        self.address = vm.address
        self.agent = deps.context.agent_at(vm.address)
        self.epoch = term.epoch
        self._deps = deps
        self._term = term
        self._timing = deps.context.settings.timing
        self._silent = False
        self._silent_since = 0.0
        self._failures = 0
        self._last_event_number = 0
        self._next_list_at = 0.0
        self._next_usage_at = 0.0
        self._ready = asyncio.Event()
        self._list_requested = asyncio.Event()

    def request_task_list(self) -> None:
        """Schedule an early renewal that also reads the task list."""
        if not self._silent:
            self._next_list_at = 0.0
            self._list_requested.set()

    async def run(self) -> None:
        """Hold the lease and read events until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._hold_lease())
            group.create_task(self._poll_events())

    async def _hold_lease(self) -> None:
        while True:
            pause_s = RETRY_S
            if self._deps.may_act():
                pause_s = await self._renew_or_probe()
            try:
                async with asyncio.timeout(pause_s):
                    await self._list_requested.wait()
                    # Limits repeated requests to the rate of retries.
                    await asyncio.sleep(min(RETRY_S, pause_s))
            except TimeoutError:
                pass
            self._list_requested.clear()

    async def _renew_or_probe(self) -> float:
        """Renew the lease, or probe a silent worker, and return the pause."""
        if self._silent:
            if not await self._read_events(0.0):
                self._postpone_lapse()
                return PROBE_INTERVAL_S
            self._next_list_at = 0.0
        sent_at = self._now()
        try:
            async with self._deps.call_slots:
                if not self._deps.may_act():
                    return RETRY_S
                sent_at = self._now()
                status = await self.agent.lease(
                    self._deps.context.links.own_id,
                    self.epoch,
                    self._timing.worker_ttl_s,
                    sent_at >= self._next_list_at,
                )
        except errors.FencedOff as refusal:
            return self._on_fenced_off(refusal)
        except errors.SamphireError:
            self._on_failure()
            return RETRY_S
        await self._on_status(status, sent_at)
        return self._timing.worker_renew_s

    async def _on_status(
        self, status: platform.WorkerStatus, sent_at: float
    ) -> None:
        self._failures = 0
        if status.last_event < self._last_event_number:
            # The agent has restarted and counts its events from 1 again.
            self._last_event_number = 0
            self._next_list_at = 0.0
            self._list_requested.set()
        scheduler = self._deps.scheduler
        if status.tasks is None:
            scheduler.worker_status(self._now(), status, sent_at)
        elif await self._read_events(0.0):
            self._next_list_at = self._now() + LIST_INTERVAL_S
            if self._silent:
                self._record('worker.answers')
            self._silent = False
            scheduler.worker_status(self._now(), status, sent_at)
            self._ready.set()
            self._deps.wake()
        await self._read_usage()

    def _on_failure(self) -> None:
        self._failures += 1
        if self._failures < FAILURES_BEFORE_SILENT and not self._silent:
            return
        if not self._silent:
            self._record('worker.silent')
            self._silent_since = self._now()
        self._silent = True
        self._ready.clear()
        self._deps.scheduler.worker_unreachable(self._now(), self.worker_id)
        self._deps.wake()

    def _postpone_lapse(self) -> None:
        """Restart the wait for the lapse while the election may renew."""
        now = self._now()
        settled = now >= self._silent_since + ARBITER_SETTLE_S
        if self._is_arbiter() and not settled:
            self._deps.scheduler.worker_unreachable(now, self.worker_id)

    def _is_arbiter(self) -> bool:
        context = self._deps.context
        zone = context.view.current.zones_by_id.get(context.settings.zone)
        return zone is not None and self.worker_id in zone.arbiters

    def _on_fenced_off(self, refusal: errors.FencedOff) -> float:
        """Claim a worker whose lease lapsed, or report a newer leader.

        The epoch of a single worker differs from that of its term by a
        multiple of ``LAPSED_EPOCH_STEP``.  A lapsed arbiter needs a new term,
        since the election renews its lease with the epoch of the term.
        """
        own_id = self._deps.context.links.own_id
        holder_epoch = refusal.epoch % LAPSED_EPOCH_STEP
        own_epoch = self._term.epoch % LAPSED_EPOCH_STEP
        is_newer_leader = refusal.owner != own_id and holder_epoch >= own_epoch
        if is_newer_leader or self._is_arbiter():
            self._deps.context.terms.fenced_off(model.Epoch(refusal.epoch))
            return RETRY_S
        steps = refusal.epoch // LAPSED_EPOCH_STEP + 1
        self.epoch = model.Epoch(steps * LAPSED_EPOCH_STEP + own_epoch)
        self._next_list_at = 0.0
        self._record('worker.claimed_again')
        return 0.0

    async def _poll_events(self) -> None:
        while True:
            await self._ready.wait()
            if not await self._read_events(EVENTS_POLL_TIMEOUT_S):
                await asyncio.sleep(RETRY_S)

    async def _read_events(self, timeout_s: float) -> bool:
        """Pass on new events and return whether the agent answered."""
        after = self._last_event_number
        try:
            events = await self.agent.events(after, timeout_s)
        except errors.SamphireError:
            return False
        if after > self._last_event_number:
            # The agent has restarted since the call was sent.
            return True
        now = self._now()
        for event in events:
            if event.number > self._last_event_number:
                self._last_event_number = event.number
                self._deps.scheduler.task_event(now, self.worker_id, event)
                self._record_end(event)
        self._deps.scheduler.events_read(
            now, self.worker_id, self._last_event_number
        )
        if events:
            self._deps.wake()
        return True

    async def _read_usage(self) -> None:
        now = self._now()
        if now < self._next_usage_at:
            return
        self._next_usage_at = now + USAGE_INTERVAL_S
        try:
            async with self._deps.call_slots:
                reports = await self.agent.usage()
        except errors.SamphireError:
            return
        self._deps.scheduler.record_usage(self._now(), self.worker_id, reports)

    def _now(self) -> float:
        return self._deps.context.clock()

    def _record_end(self, event: platform.TaskEvent) -> None:
        if event.state in ENDED_STATES:
            self._deps.context.events.record(
                'task.ended',
                task_id=event.task_id,
                worker_id=self.worker_id,
                attempt=event.attempt,
                state=event.state.value,
                reason=event.reason,
            )

    def _record(self, kind: str) -> None:
        self._deps.context.events.record(kind, worker_id=self.worker_id)
