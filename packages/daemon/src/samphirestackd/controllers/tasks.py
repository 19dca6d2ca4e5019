"""Drives the task scheduler while this node leads its zone."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol

from samphirestack import configuration
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import tasks as schedulers
from samphirestack import model
from samphirestackd import context as contexts
from samphirestackd.controllers import jobs
from samphirestackd.controllers import workers
from samphirestackd import interfaces

TICK_S = 0.25
"""Maximum time between two planning calls."""

FLUSH_TIMEOUT_S = 2.0
"""Maximum time that a drain waits until job rows are written; the next leader
derives the others again."""


class TeamAccounting(Protocol):
    """Accounting that both schedulers of a zone leader share."""

    @property
    def ledger(self) -> task_state.Ledger:
        """Counts what teams use against their slices."""

    @property
    def shares(self) -> task_state.Shares:
        """Orders teams by their shares."""


class TaskController:
    """Connects the scheduler with workers, job rows and terms."""

    def __init__(
        self, context: contexts.Context, accounting: TeamAccounting
    ) -> None:
        self._context = context
        self._scheduler = schedulers.TaskScheduler(
            accounting.ledger,
            accounting.shares,
            context.settings.timing.worker_ttl_s,
        )
        self._wakeup = asyncio.Event()
        wake: Callable[[], None] = self._wakeup.set
        self._workers = workers.Workers(context, self._scheduler, wake)
        self._rows = jobs.JobRows(context, self._scheduler, wake)
        self._term: interfaces.Term | None = None
        self._draining = False
        context.terms.on_term(self._on_term)
        context.view.on_change(self._on_configuration)
        context.vms.on_vms(self._on_vms)

    async def run(self) -> None:
        """Work until cancelled."""
        self._on_configuration(self._context.view.current)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._rows.run())
                group.create_task(self._plan_forever())
        except asyncio.CancelledError:
            # After any other error the daemon runs this component again in the
            # same term, and the leases must be renewed until then.
            self._workers.close()
            raise

    async def drain(self) -> None:
        """Stop starting tasks and wait until the job rows are written."""
        self._draining = True
        self._rows.queue_updates(self._context.clock())
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._rows.flush()
        except TimeoutError:
            return

    def explain_job(self, job_id: model.JobId) -> str | None:
        """Return what a job waits for; ``None`` if this node does not lead."""
        if self._term is None:
            return None
        return self._scheduler.explain(self._context.clock(), job_id)

    def worker_states(self) -> Mapping[model.WorkerId, str]:
        """Return each worker's state; empty if this node does not lead."""
        if self._term is None:
            return {}
        return self._scheduler.worker_states()

    def _on_term(self, term: interfaces.Term | None) -> None:
        now = self._context.clock()
        before = self._term
        if term is not None and before and term.epoch == before.epoch:
            # Only the time from which tasks may start has changed.
            self._term = term
            self._wakeup.set()
            return
        if before is not None:
            self._workers.end_term()
            self._rows.end_term()
            self._scheduler.end_term(now)
        self._term = term
        if term is None:
            return
        self._scheduler.start_term(now, term.epoch, term.restart_lost_after)
        self._workers.start_term(term)
        self._rows.start_term(term)
        self._on_vms(self._context.vms.vms_by_id())
        self._wakeup.set()

    def _on_configuration(self, current: configuration.Configuration) -> None:
        self._scheduler.configure(self._context.clock(), current)
        self._wakeup.set()

    def _on_vms(self, vms_by_id: dict[model.VmId, model.Vm]) -> None:
        own = self._context.settings.zone
        listed = [
            vm
            for vm in vms_by_id.values()
            if vm.role is model.VmRole.WORKER and vm.zone == own
        ]
        self._scheduler.set_workers(self._context.clock(), listed)
        self._workers.set_workers(listed)
        self._wakeup.set()

    async def _plan_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wakeup.wait()
            except TimeoutError:
                pass
            self._wakeup.clear()
            if self._may_plan():
                self._plan()

    def _may_plan(self) -> bool:
        now = self._context.clock()
        term = self._term
        if term is None or now < term.grant_from:
            return False
        return self._context.leaders.is_valid_leader(now)

    def _plan(self) -> None:
        now = self._context.clock()
        planned = [] if self._draining else self._scheduler.plan(now)
        self._rows.queue_updates(now)
        self._workers.perform(planned)
        self._workers.request_task_lists(self._scheduler.workers_to_query(now))
        if any(isinstance(a, actions.StartTask) for a in planned):
            # A call places a bounded number of tasks, so more may wait.
            self._wakeup.set()


def create(
    context: contexts.Context, accounting: TeamAccounting
) -> TaskController:
    """Return the component that places tasks while this node leads."""
    return TaskController(context, accounting)
