"""The lease of one worker and what its agent reports."""

import asyncio
from collections.abc import Callable

import msgspec

from samphirestack import errors
from samphirestack.internal.leader import tasks as schedulers
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd import interfaces

EVENTS_POLL_S = 20.0
"""How long an agent may hold back the answer to a call for events."""

USAGE_INTERVAL_S = 10.0
LIST_INTERVAL_S = 30.0
"""Time between full lists of tasks.  They show what no event tells, such
as a restart of the agent between two renewals."""

ENDED = frozenset(
    {
        model.TaskState.SUCCEEDED,
        model.TaskState.FAILED,
        model.TaskState.STOPPED,
    }
)
"""States of tasks whose end goes to the time line."""

RETRY_S = 0.5
PROBE_S = 1.0
"""Time between probes of a silent worker; a probe renews nothing."""

FAILURES_BEFORE_SILENT = 2

ARBITER_SETTLE_S = 5.0
"""How long the election may go on to renew a silent arbiter's lease; the
time until the lease has lapsed is counted from the end of it."""

LAPSED_EPOCH_STEP = 1_000_000
"""Added to the epoch of one worker whose lease has lapsed, since only a
higher epoch takes such a worker.  A step of 1 could equal the epoch of the
next term, and a restarted agent that forgot its epoch would then accept a
late start of the earlier leader."""


class Tools(msgspec.Struct, frozen=True):
    """What all links of a term share."""

    context: contexts.Context
    scheduler: schedulers.TaskScheduler
    calls: asyncio.Semaphore
    """Bounds the calls that are under way at a time."""
    wake: Callable[[], None]
    may_act: Callable[[], bool]
    """Whether this node still leads the zone in the link's term."""


class WorkerLink:
    """Holds the lease of one worker for one term."""

    def __init__(
        self, tools: Tools, term: interfaces.Term, vm: model.Vm
    ) -> None:
        self.worker_id = model.WorkerId(vm.vm_id)
        self.address = vm.address
        self.agent = tools.context.agent_at(vm.address)
        self.epoch = term.epoch
        self._tools = tools
        self._term = term
        self._timing = tools.context.settings.timing
        self._silent = False
        self._silent_since = 0.0
        self._failures = 0
        self._since = 0
        self._list_at = 0.0
        self._usage_at = 0.0
        self._ready = asyncio.Event()
        self._asked = asyncio.Event()

    def ask_for_tasks(self) -> None:
        """Have the list of tasks read soon."""
        if not self._silent:
            self._list_at = 0.0
            self._asked.set()

    async def run(self) -> None:
        """Hold the lease and read events until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._hold_lease())
            group.create_task(self._poll_events())

    async def _hold_lease(self) -> None:
        while True:
            pause_s = RETRY_S
            if self._tools.may_act():
                pause_s = await self._renew_or_probe()
            try:
                async with asyncio.timeout(pause_s):
                    await self._asked.wait()
                    # Repeated requests are served at the pace of retries.
                    await asyncio.sleep(min(RETRY_S, pause_s))
            except TimeoutError:
                pass
            self._asked.clear()

    async def _renew_or_probe(self) -> float:
        """Do what is due and return the pause before the next time."""
        if self._silent:
            if not await self._read_events(0.0):
                self._count_election_calls()
                return PROBE_S
            self._list_at = 0.0
        asked_at = self._now()
        try:
            async with self._tools.calls:
                if not self._tools.may_act():
                    return RETRY_S
                asked_at = self._now()
                status = await self.agent.lease(
                    self._tools.context.links.own_id,
                    self.epoch,
                    self._timing.worker_ttl_s,
                    asked_at >= self._list_at,
                )
        except errors.FencedOff as refusal:
            return self._on_fenced_off(refusal)
        except errors.SamphireError:
            self._on_failure()
            return RETRY_S
        await self._on_status(status, asked_at)
        return self._timing.worker_renew_s

    async def _on_status(
        self, status: platform.WorkerStatus, asked_at: float
    ) -> None:
        self._failures = 0
        if status.last_event < self._since:
            # The agent has restarted and counts its events from 1 again.
            self._since = 0
            self._list_at = 0.0
            self._asked.set()
        scheduler = self._tools.scheduler
        if status.tasks is None:
            scheduler.worker_status(self._now(), status, asked_at)
        elif await self._read_events(0.0):
            self._list_at = self._now() + LIST_INTERVAL_S
            if self._silent:
                self._record('worker.answers')
            self._silent = False
            scheduler.worker_status(self._now(), status, asked_at)
            self._ready.set()
            self._tools.wake()
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
        self._tools.scheduler.worker_unreachable(self._now(), self.worker_id)
        self._tools.wake()

    def _count_election_calls(self) -> None:
        """Put the lapse off while the election may renew the lease."""
        now = self._now()
        settled = now >= self._silent_since + ARBITER_SETTLE_S
        if self._is_arbiter() and not settled:
            self._tools.scheduler.worker_unreachable(now, self.worker_id)

    def _is_arbiter(self) -> bool:
        context = self._tools.context
        zone = context.view.current.zones_by_id.get(context.settings.zone)
        return zone is not None and self.worker_id in zone.arbiters

    def _on_fenced_off(self, refusal: errors.FencedOff) -> float:
        """Take over a worker whose lease lapsed, or report a newer leader.

        Epochs of single workers differ from that of their term by a
        multiple of the step.  A lapsed arbiter needs a new term, since the
        election renews it with the epoch of the term.
        """
        own_id = self._tools.context.links.own_id
        theirs = refusal.epoch % LAPSED_EPOCH_STEP
        ours = self._term.epoch % LAPSED_EPOCH_STEP
        newer = refusal.owner != own_id and theirs >= ours
        if newer or self._is_arbiter():
            self._tools.context.terms.fenced_off(model.Epoch(refusal.epoch))
            return RETRY_S
        steps = refusal.epoch // LAPSED_EPOCH_STEP + 1
        self.epoch = model.Epoch(steps * LAPSED_EPOCH_STEP + ours)
        self._list_at = 0.0
        self._record('worker.claimed_again')
        return 0.0

    async def _poll_events(self) -> None:
        while True:
            await self._ready.wait()
            if not await self._read_events(EVENTS_POLL_S):
                await asyncio.sleep(RETRY_S)

    async def _read_events(self, timeout_s: float) -> bool:
        """Hand new events over and return whether the agent answered."""
        since = self._since
        try:
            events = await self.agent.events(since, timeout_s)
        except errors.SamphireError:
            return False
        if since > self._since:
            # The agent has restarted since the call was sent.
            return True
        now = self._now()
        for event in events:
            if event.number > self._since:
                self._since = event.number
                self._tools.scheduler.task_event(now, self.worker_id, event)
                self._record_end(event)
        self._tools.scheduler.events_read(now, self.worker_id, self._since)
        if events:
            self._tools.wake()
        return True

    async def _read_usage(self) -> None:
        now = self._now()
        if now < self._usage_at:
            return
        self._usage_at = now + USAGE_INTERVAL_S
        try:
            async with self._tools.calls:
                reports = await self.agent.usage()
        except errors.SamphireError:
            return
        self._tools.scheduler.usage(self._now(), self.worker_id, reports)

    def _now(self) -> float:
        return self._tools.context.clock()

    def _record_end(self, event: platform.TaskEvent) -> None:
        if event.state in ENDED:
            self._tools.context.events.record(
                'task.ended',
                task_id=event.task_id,
                worker_id=self.worker_id,
                attempt=event.attempt,
                state=event.state.value,
                reason=event.reason,
            )

    def _record(self, kind: str) -> None:
        self._tools.context.events.record(kind, worker_id=self.worker_id)
