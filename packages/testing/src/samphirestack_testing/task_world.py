"""Simulation of a zone with fake agents, a table and changing leaders.

Calls to agents can get lost, lose their answers or arrive late.  Workers
can be cut off or restarted, and the table can be unavailable.  The leader
does what the controllers of the daemon do, in the same order.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random
from typing import TypeVar

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_starts
from samphirestack.internal.leader import tasks
from samphirestack import model
from samphirestack_testing import fakes

WORKER_TTL_S = 10.0
LEADER_TTL_S = 1.5
LEASE_INTERVAL_S = 2.0
LIST_INTERVAL_S = 30.0
SCAN_INTERVAL_S = 2.0
STEP_S = 0.25

LAPSED_EPOCH_STEP = 1_000_000
"""Added to the epoch of one worker whose lease lapsed.  With a step of 1 the
result could equal the epoch of the next term, and a restarted agent that
lost its epoch would accept a late start of the earlier leader."""

MAX_DELAY_S = 0.95 * WORKER_TTL_S
"""Calls arrive within less than the duration of a lease, or never."""

ZONE = model.ZoneId('arree')

_T = TypeVar('_T')


class NoAnswer(Exception):
    """A call got no answer; it may still take effect."""


class Link:
    """State of a leader's connection to one worker."""

    def __init__(self, epoch: model.Epoch) -> None:
        self.epoch = epoch
        self.last_event = 0
        self.renew_at = 0.0
        self.list_at = 0.0
        self.failures = 0
        self.silent = False


class Leader:
    """Drives a :class:`tasks.TaskScheduler` for one term."""

    def __init__(self, world: 'World', name: str, epoch: int) -> None:
        self._world = world
        self.name = model.VmId(name)
        self.epoch = model.Epoch(epoch)
        self.scheduler = tasks.TaskScheduler(
            world.ledger, fakes.FakeShares(), WORKER_TTL_S
        )
        self._links: dict[model.WorkerId, Link] = {}
        self._scan_at = 0.0
        self._rows_at_start: set[model.JobId] | None = None
        self._updates: dict[model.JobId, model.JobRecord] = {}
        now = world.now
        lost_after = now + LEADER_TTL_S + 2 * WORKER_TTL_S
        self.scheduler.configure(now, world.configuration)
        self.scheduler.set_workers(now, list(world.vms_by_id.values()))
        self.scheduler.start_term(now, self.epoch, lost_after)

    def step(self) -> None:
        """Make the calls and write the rows that are due now."""
        now = self._world.now
        for worker_id in self._world.vms_by_id:
            link = self._links.setdefault(worker_id, Link(self.epoch))
            self._poll_worker(now, worker_id, link)
        for worker_id in self.scheduler.workers_to_query(now):
            if not self._links[worker_id].silent:
                self._links[worker_id].list_at = now
                self._lease(now, worker_id, self._links[worker_id])
        self._scan(now)
        for _ in range(2):
            # The second pass starts tasks whose rows the first one wrote.
            for action in self.scheduler.plan(now):
                self._call_agent(now, action)
            self._write(now)

    def _poll_worker(
        self, now: float, worker_id: model.WorkerId, link: Link
    ) -> None:
        if not link.silent:
            self._read_events(now, worker_id, link)
        if now < link.renew_at:
            return
        if link.silent:
            link.renew_at = now + 1.0
            if not self._read_events(now, worker_id, link):
                return
            link.list_at = now
        self._lease(now, worker_id, link)

    def _lease(
        self, now: float, worker_id: model.WorkerId, link: Link
    ) -> None:
        link.renew_at = now + LEASE_INTERVAL_S
        with_tasks = now >= link.list_at
        world = self._world
        agent = world.agents_by_id[worker_id]
        try:
            status = world.call(
                worker_id,
                lambda: agent.lease(
                    world.now, self.name, link.epoch, WORKER_TTL_S, with_tasks
                ),
            )
        except NoAnswer:
            link.failures += 1
            if link.failures >= 2 or link.silent:
                link.silent = True
                self.scheduler.worker_unreachable(now, worker_id)
            return
        except errors.FencedOff as error:
            link.epoch = model.Epoch(error.epoch + LAPSED_EPOCH_STEP)
            link.renew_at = link.list_at = now
            return
        link.failures = 0
        if status.last_event < link.last_event:
            link.last_event = 0
            link.list_at = link.renew_at = now
        if status.tasks is None:
            self.scheduler.worker_status(now, status, now)
        elif self._read_events(now, worker_id, link):
            link.silent = False
            link.list_at = now + LIST_INTERVAL_S
            self.scheduler.worker_status(now, status, now)

    def _read_events(
        self, now: float, worker_id: model.WorkerId, link: Link
    ) -> bool:
        agent = self._world.agents_by_id[worker_id]
        try:
            events = self._world.call(
                worker_id,
                lambda: agent.events[link.last_event :],
                delays=False,
            )
        except NoAnswer:
            return False
        for event in events:
            link.last_event = event.number
            self.scheduler.task_event(now, worker_id, event)
        self.scheduler.events_read(now, worker_id, link.last_event)
        return True

    def _scan(self, now: float) -> None:
        if now < self._scan_at or not self._world.table_up:
            return
        self._scan_at = now + SCAN_INTERVAL_S
        rows = self._world.rows_by_id
        if self._rows_at_start is None:
            self._rows_at_start = set(rows)
        for job_id, row in rows.items():
            inserted_in_term = job_id not in self._rows_at_start
            self.scheduler.job_changed(now, row, inserted_in_term)
            if job_id in self._world.cancelled:
                self.scheduler.cancel(now, job_id)

    def _write(self, now: float) -> None:
        for record in self.scheduler.pop_updates(now):
            self._updates[record.job.job_id] = record
        if not self._world.table_up:
            return
        for job_id, record in self._updates.items():
            self._world.write(job_id, record)
            self.scheduler.update_saved(now, record)
        self._updates.clear()

    def _call_agent(self, now: float, action: actions.Action) -> None:
        world = self._world
        worker_id = action.worker_id
        agent = world.agents_by_id[worker_id]
        epoch = self._links[worker_id].epoch
        if isinstance(action, actions.StartTask):
            self._start(now, action)
            return
        if isinstance(action, actions.ThrottleTask):
            self.scheduler.throttle_confirmed(action)
            return
        method = agent.stop
        if isinstance(action, actions.CheckpointTask):
            method = agent.checkpoint
        task_id = action.task_id
        try:
            world.call(worker_id, lambda: method(world.now, epoch, task_id))
        except (NoAnswer, errors.SamphireError):
            return

    def _start(self, now: float, action: actions.StartTask) -> None:
        world = self._world
        task = action.task
        worker_id = action.worker_id
        agent = world.agents_by_id[worker_id]
        epoch = self._links[worker_id].epoch
        world.sent_starts.append((now, action))
        try:
            world.call(worker_id, lambda: agent.start(world.now, epoch, task))
            outcome = task_starts.StartOutcome.ACCEPTED
        except NoAnswer:
            outcome = task_starts.StartOutcome.UNKNOWN
        except errors.FencedOff:
            outcome = task_starts.StartOutcome.NOT_STARTED
        except errors.WorkerRefused:
            outcome = task_starts.StartOutcome.REFUSED
        self.scheduler.start_answered(
            now, worker_id, task.task_id, task.attempt, outcome
        )


class World:
    """A zone with its agents, rows and faults."""

    def __init__(
        self,
        seed: int,
        vms: list[model.Vm],
        published: configuration.Configuration,
        running_by_team: dict[str, int] | None = None,
    ) -> None:
        self.now = 0.0
        self.configuration = published
        self.vms_by_id = {model.WorkerId(vm.vm_id): vm for vm in vms}
        self.ledger = fakes.FakeLedger(running_by_team)
        self.entries: list[fakes.Entry] = []
        failures: collections.Counter[model.TaskId] = collections.Counter()
        self.agents_by_id = {
            worker_id: fakes.FakeAgent(vm, self.entries, failures)
            for worker_id, vm in self.vms_by_id.items()
        }
        self.cut_off: set[model.WorkerId] = set()
        self.loss = 0.0
        self.table_up = True
        self.rows_by_id: dict[model.JobId, model.JobRecord] = {}
        self.states_by_id: dict[model.JobId, list[model.JobState]] = {}
        self.cancelled: set[model.JobId] = set()
        self.sent_starts: list[tuple[float, actions.StartTask]] = []
        self._random = random.Random(seed)
        self._delayed_calls: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count(1)
        self._term = 1
        self.leader = Leader(self, 'entry-1', 1)

    def submit(
        self,
        kind: model.JobKind,
        count: int,
        resources: model.Resources,
        plan: fakes.Plan,
        *,
        queue: str,
        team: str = 'gritting',
        idempotent: bool = True,
        declared_s: float = 5.0,
    ) -> model.JobId:
        """Insert the row of a job and return its id."""
        job_id = model.JobId(f'job-{next(self._numbers)}')
        job = model.Job(
            job_id,
            model.QueueId(queue),
            model.TeamId(team),
            kind,
            count,
            resources,
            declared_s,
            idempotent,
            ZONE,
            0.0,
            plan,
        )
        self.rows_by_id[job_id] = model.JobRecord(job)
        self.states_by_id[job_id] = [model.JobState.WAITING]
        return job_id

    def write(self, job_id: model.JobId, record: model.JobRecord) -> None:
        """Write a row unless the stored one is final."""
        present = self.rows_by_id[job_id]
        if present.state.is_final:
            return
        self.rows_by_id[job_id] = record
        if record.state is not present.state:
            self.states_by_id[job_id].append(record.state)

    def run(self, seconds: float) -> None:
        """Advance simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while (
                self._delayed_calls and self._delayed_calls[0][0] <= self.now
            ):
                self._deliver(heapq.heappop(self._delayed_calls)[2])
            for agent in self.agents_by_id.values():
                agent.advance(self.now)
            self.leader.step()

    def change_leader(self) -> None:
        """Start the term of another leader with a higher epoch."""
        self._term += 1
        now = self.now
        self.leader.scheduler.end_term(now)
        # Workers that were claimed again may have higher epochs.
        highest = max(agent.epoch for agent in self.agents_by_id.values())
        epoch = max(highest, self.leader.epoch) + 1
        self.leader = Leader(self, f'entry-{self._term}', epoch)

    def call(
        self,
        worker_id: model.WorkerId,
        function: Callable[[], _T],
        delays: bool = True,
    ) -> _T:
        """Call an agent through the unreliable network.

        :raises NoAnswer: the call or its answer was lost or delayed.
        """
        if worker_id in self.cut_off:
            raise NoAnswer
        if self._random.random() >= self.loss:
            return function()
        fault = self._random.randrange(3)
        if fault == 1:
            self._deliver(function)
        elif fault == 2 and delays:
            at = self.now + self._random.uniform(0.1, MAX_DELAY_S)
            heapq.heappush(
                self._delayed_calls, (at, next(self._numbers), function)
            )
        raise NoAnswer

    def end_faults(self) -> None:
        """End all faults."""
        self.cut_off.clear()
        self.loss = 0.0
        self.table_up = True
        for agent in self.agents_by_id.values():
            agent.fails_all = False

    def _deliver(self, function: Callable[[], object]) -> None:
        try:
            function()
        except errors.SamphireError:
            return


def worker(name: str, rack: str, resources: model.Resources) -> model.Vm:
    """Return the VM of a worker in the zone."""
    return msgspec.structs.replace(
        model.Vm(model.VmId(name), '', model.VmRole.WORKER, ZONE),
        rack=model.RackId(rack),
        capacity=resources,
    )
