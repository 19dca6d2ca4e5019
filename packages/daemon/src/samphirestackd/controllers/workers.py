"""Manages the leases of the zone's workers and calls their agents."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from samphirestack import errors
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_starts
from samphirestack.internal.leader import tasks as schedulers
from samphirestack import model
from samphirestackd import context as contexts
from samphirestackd.controllers import worker_link
from samphirestackd import interfaces

MAX_PARALLEL_CALLS = 64
"""Concurrent lease, start and stop calls; long polls are not counted."""


class Workers:
    """Holds the leases of all workers of the zone during a term.

    :param wake: called when the scheduler has something new to plan.
    """

    def __init__(
        self,
        context: contexts.Context,
        scheduler: schedulers.TaskScheduler,
        wake: Callable[[], None],
    ) -> None:
        self._context = context
        self._scheduler = scheduler
        self._wake = wake
        self._term: interfaces.Term | None = None
        self._call_slots = asyncio.Semaphore(MAX_PARALLEL_CALLS)
        self._links_by_id: dict[model.WorkerId, worker_link.WorkerLink] = {}
        self._link_tasks_by_id: dict[model.WorkerId, asyncio.Task[None]] = {}
        self._action_tasks: set[asyncio.Task[None]] = set()

    def start_term(self, term: interfaces.Term) -> None:
        """Use the epoch of a term for the workers set from now on."""
        self.end_term()
        self._term = term

    def end_term(self) -> None:
        """Stop all renewals and cancel the calls in flight."""
        self._term = None
        for worker_id in list(self._links_by_id):
            self._remove_link(worker_id)
        for action in self._action_tasks:
            action.cancel()

    def set_workers(self, vms: Sequence[model.Vm]) -> None:
        """Update the workers of the zone and their addresses."""
        term = self._term
        if term is None:
            return
        vms_by_worker_id = {model.WorkerId(vm.vm_id): vm for vm in vms}
        for worker_id, link in list(self._links_by_id.items()):
            vm = vms_by_worker_id.get(worker_id)
            if vm is None or vm.address != link.address:
                self._remove_link(worker_id)
                now = self._context.clock()
                self._scheduler.worker_unreachable(now, worker_id)
        for worker_id, vm in vms_by_worker_id.items():
            if worker_id not in self._links_by_id:
                self._add_link(term, vm)

    def request_task_lists(self, worker_ids: Sequence[model.WorkerId]) -> None:
        """Schedule early reads of the task lists of some workers."""
        for worker_id in worker_ids:
            link = self._links_by_id.get(worker_id)
            if link is not None:
                link.request_task_list()

    def perform(self, planned: Sequence[actions.Action]) -> None:
        """Call the agents and report the outcome of each start."""
        for action in planned:
            task = asyncio.create_task(self._perform(action))
            self._action_tasks.add(task)
            task.add_done_callback(self._action_tasks.discard)

    def close(self) -> None:
        """Stop all renewals and calls."""
        self.end_term()

    def _add_link(self, term: interfaces.Term, vm: model.Vm) -> None:
        deps = worker_link.LinkDependencies(
            self._context,
            self._scheduler,
            self._call_slots,
            self._wake,
            lambda: self._may_act(term),
        )
        link = worker_link.WorkerLink(deps, term, vm)
        self._links_by_id[link.worker_id] = link
        self._link_tasks_by_id[link.worker_id] = asyncio.create_task(
            self._run_link(link)
        )

    async def _run_link(self, link: worker_link.WorkerLink) -> None:
        """Run a link; an unexpected error must not stop its renewals."""
        while True:
            try:
                await link.run()
            except* Exception as group:
                self._context.events.record(
                    'worker.link_failed',
                    worker_id=link.worker_id,
                    reason=repr(group.exceptions[0]),
                )
            now = self._context.clock()
            self._scheduler.worker_unreachable(now, link.worker_id)
            await asyncio.sleep(worker_link.PROBE_INTERVAL_S)

    def _remove_link(self, worker_id: model.WorkerId) -> None:
        del self._links_by_id[worker_id]
        self._link_tasks_by_id.pop(worker_id).cancel()

    def _may_act(self, term: interfaces.Term | None) -> bool:
        now = self._context.clock()
        leads = self._context.leaders.is_valid_leader(now)
        return leads and term is not None and self._term is term

    async def _perform(self, action: actions.Action) -> None:
        term = self._term
        if isinstance(action, actions.StartTask):
            await self._start_task(term, action)
            return
        link = self._links_by_id.get(action.worker_id)
        if link is None:
            return
        try:
            async with self._call_slots:
                if not self._may_act(term):
                    return
                await _call_agent(link, action)
        except errors.SamphireError as error:
            # The scheduler repeats the action until it is confirmed, or an
            # event or a task list shows that the task has ended.
            self._record_failure(action, error)
            return
        if isinstance(action, actions.ThrottleTask) and self._term is term:
            self._scheduler.throttle_confirmed(action)

    async def _start_task(
        self, term: interfaces.Term | None, action: actions.StartTask
    ) -> None:
        link = self._links_by_id.get(action.worker_id)
        task = action.task
        outcome = task_starts.StartOutcome.NOT_STARTED
        try:
            async with self._call_slots:
                if link is not None and self._may_act(term):
                    outcome = task_starts.StartOutcome.UNKNOWN
                    await link.agent.start(link.epoch, task)
                    outcome = task_starts.StartOutcome.ACCEPTED
        except errors.FencedOff as error:
            outcome = task_starts.StartOutcome.NOT_STARTED
            self._record_failure(action, error)
        except errors.WorkerRefused as error:
            outcome = task_starts.StartOutcome.REFUSED
            self._record_failure(action, error)
        except errors.SamphireError as error:
            self._record_failure(action, error)
        if self._term is not term:
            return
        self._scheduler.start_answered(
            self._context.clock(),
            action.worker_id,
            task.task_id,
            task.attempt,
            outcome,
        )
        if outcome is task_starts.StartOutcome.ACCEPTED:
            self._context.events.record(
                'task.started',
                task_id=task.task_id,
                worker_id=action.worker_id,
            )
        elif link is not None:
            link.request_task_list()
        self._wake()

    def _record_failure(
        self, action: actions.Action, error: errors.SamphireError
    ) -> None:
        self._context.events.record(
            'worker.call_failed',
            worker_id=action.worker_id,
            action=type(action).__name__,
            code=error.code,
        )


async def _call_agent(
    link: worker_link.WorkerLink, action: actions.Action
) -> None:
    if isinstance(action, actions.StopTask):
        await link.agent.stop(link.epoch, action.task_id)
    elif isinstance(action, actions.CheckpointTask):
        await link.agent.checkpoint(link.epoch, action.task_id)
    elif isinstance(action, actions.ThrottleTask):
        await link.agent.throttle(link.epoch, action.task_id, action.percent)
