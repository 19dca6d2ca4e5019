"""One round of planning: which waiting tasks start where.

Steps are taken in the order of ``ordering.rank``.  A gang that has no room
yet keeps the workers on which it will fit first, so that smaller tasks
behind it don't take the room piece by piece.  Calls for advice are made for
the first steps of the order and are repeated before tickets expire.
"""

from collections.abc import Iterable

from typing import Protocol

from samphirestack.fleet import actions
from samphirestack.fleet import beliefs
from samphirestack.fleet import jobbook
from samphirestack.fleet import ordering
from samphirestack.fleet import packing
from samphirestack.fleet import ports
from samphirestack.fleet import shares
from samphirestack.fleet import specs
from samphirestack.fleet import work
from samphirestack.internal.decisions import quarantine
from samphirestack import model

MAX_ASKED = 40
"""Workers named in one call for advice; a call grows longer with each."""

TICKET_MARGIN_S = 0.08
"""Left on a ticket when an order with it is sent: the way to the worker."""

TICKET_TRANSIT_S = 0.02
"""A ticket is older than its arrival here by at least the way back."""

ASK_TIMEOUT_S = 1.0
"""Beyond the expected duration of a call for advice."""

ASK_AGAIN_S = 0.1
"""After a call for advice that failed."""

LONG_CALL_S = 0.15
"""Calls for advice above this are kept out of one lane, so that urgent
steps do not wait behind them."""

MAX_HELD_GANGS = 4
"""Gangs that keep room while they wait."""

GANG_WAIT_S = 6.0
"""Room is not kept for a gang that fits only after this."""


class AskLanes(Protocol):
    """Entries that can call the advice service now."""

    def take(self, urgent: bool, expected_s: float) -> bool:
        """Reserve a lane and return whether there was one."""


class Fleet(Protocol):
    """What the planner needs of the scheduler."""

    term: int
    configuration: specs.FleetConfiguration
    beliefs_by_id: dict[model.WorkerId, beliefs.Belief]
    usage: shares.Usage
    jobs: jobbook.JobBook
    quarantine: quarantine.Quarantine

    def placed(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> int:
        """Count a run whose order is to be sent; return its number."""


def plan(
    now: float, fleet: Fleet, ask_lanes: AskLanes
) -> list[actions.Action]:
    """Return starts and calls for advice; starts are counted as placed."""
    steps = sorted(
        (
            step
            for step in fleet.jobs.ready_steps.values()
            if step.blocked_until <= now
        ),
        key=lambda step: ordering.rank(now, step),
    )
    if not steps:
        return []
    return _Round(now, fleet, ask_lanes).run(steps)


class _Round:
    def __init__(self, now: float, fleet: Fleet, ask_lanes: AskLanes) -> None:
        self._now = now
        self._fleet = fleet
        self._ask_lanes = ask_lanes
        self._held_gangs = 0
        self._result: list[actions.Action] = []
        self._rooms_by_service: dict[
            model.ServiceId, dict[model.WorkerId, packing.Room]
        ] = {}
        for worker_id, belief in fleet.beliefs_by_id.items():
            if _is_usable(now, belief, fleet.quarantine):
                self._rooms_by_service.setdefault(belief.entry.service, {})[
                    worker_id
                ] = packing.Room(belief)

    def run(self, steps: list[work.StepRun]) -> list[actions.Action]:
        for step in steps:
            rooms = self._eligible(step)
            if not rooms:
                continue
            if step.job.queue.advice is not None:
                rooms = self._advised(step, rooms)
                if not rooms:
                    continue
            if step.spec.gang:
                self._place_gang(step, rooms)
            else:
                self._place_tasks(step, rooms)
        return self._result

    def _eligible(self, step: work.StepRun) -> list[packing.Room]:
        queue = self._fleet.configuration.queues_by_id.get(
            step.job.queue.queue_id, step.job.queue
        )
        spec = step.spec
        return [
            room
            for room in self._rooms_by_service.get(queue.service, {}).values()
            if (not spec.label or spec.label in room.belief.entry.labels)
            and spec.size.fits_in(room.belief.entry.capacity)
        ]

    def _advised(
        self, step: work.StepRun, rooms: list[packing.Room]
    ) -> list[packing.Room]:
        """Return the workers with a usable ticket; ask if there are few."""
        now = self._now
        valid = step.tickets.valid_ids(now + TICKET_MARGIN_S)
        usable = [
            room for room in rooms if room.belief.entry.worker_id in valid
        ]
        if now < step.tickets.asking_until:
            return usable
        policy = step.job.queue.advice
        assert policy is not None
        by_id = {room.belief.entry.worker_id: room for room in rooms}
        good = [one for one in step.tickets.good_ids if one in by_id]
        candidates = list(good)
        need = self._workers_needed(step)
        if len(good) < need:
            unknown = [
                worker_id
                for worker_id in by_id
                if worker_id not in step.tickets.asked_ids
            ]
            unknown.sort(key=lambda one: -by_id[one].cpu)
            candidates.extend(unknown[: MAX_ASKED - len(good)])
        duration = work.advice_s(policy, len(candidates))
        renewed_at = now + duration + TICKET_MARGIN_S
        enough = len(step.tickets.valid_ids(renewed_at)) >= min(
            need, len(good)
        )
        if not candidates or (enough and usable and good):
            return usable
        candidates = candidates[:MAX_ASKED]
        urgent = step.job.queue.priority == ordering.URGENT_PRIORITY
        if self._ask_lanes.take(urgent, duration):
            step.tickets.asking_until = now + duration + ASK_TIMEOUT_S
            self._result.append(
                actions.Ask(step.id, tuple(candidates), duration, urgent)
            )
        return usable

    def _workers_needed(self, step: work.StepRun) -> int:
        """Return a number of suitable workers that is enough."""
        return max(3, min(12, len(step.waiting)))

    def _headroom(self, step: work.StepRun) -> int:
        customers = self._fleet.configuration.customers_by_id
        customer_id = step.job.customer_id
        return self._fleet.usage.headroom(
            customers.get(customer_id), step.spec.size, customer_id
        )

    def _place_gang(
        self, step: work.StepRun, rooms: list[packing.Room]
    ) -> None:
        count = step.spec.count
        if len(step.waiting) < count or self._headroom(step) < count:
            return
        free = [room for room in rooms if self._may_use(room, step)]
        chosen = packing.choose_gang(step.spec, free, count)
        if chosen is None:
            self._hold_room(step, rooms)
            return
        run_number = self._fleet.jobs.next_run(step.tasks)
        checkpoint = next(
            (task.checkpoint for task in step.tasks if task.checkpoint),
            specs.NO_CHECKPOINT,
        )
        for task, room in zip(step.tasks, chosen, strict=True):
            self._start(task, room, run_number, checkpoint)

    def _place_tasks(
        self, step: work.StepRun, rooms: list[packing.Room]
    ) -> None:
        headroom = self._headroom(step)
        spec = step.spec
        rooms = [room for room in rooms if self._may_use(room, step)]
        for index in sorted(step.waiting):
            if headroom <= 0:
                return
            task = step.tasks[index]
            allowed = rooms
            if spec.max_per_worker:
                allowed = [
                    room
                    for room in rooms
                    if step.per_worker.get(room.belief.entry.worker_id, 0)
                    < spec.max_per_worker
                ]
            if task.failed_worker_ids and len(allowed) > 1:
                better = [
                    room
                    for room in allowed
                    if room.belief.entry.worker_id
                    not in task.failed_worker_ids
                ]
                allowed = better or allowed
            room = packing.choose_one(spec, allowed)
            if room is None:
                return
            headroom -= 1
            run_number = self._fleet.jobs.next_run([task])
            self._start(task, room, run_number, task.checkpoint)

    def _may_use(self, room: packing.Room, step: work.StepRun) -> bool:
        if not room.held_until:
            return True
        return self._now + step.spec.estimate_s <= room.held_until

    def _start(
        self,
        task: work.Task,
        room: packing.Room,
        run_number: int,
        checkpoint: specs.Checkpoint,
    ) -> None:
        step = task.step
        belief = room.belief
        worker_id = belief.entry.worker_id
        room.take(step.spec)
        number = self._fleet.placed(self._now, task, run_number, worker_id)
        self._fleet.quarantine.placed(worker_id, task.id)
        ticket = step.tickets.by_worker_id.get(worker_id, ('', 0.0, 0))[0]
        self._result.append(
            actions.Start(
                belief.entry,
                ports.TaskOrder(
                    task.id,
                    specs.RunNumber(run_number),
                    step.job.spec.payload,
                    checkpoint,
                    ticket,
                ),
                step.job.queue.queue_id,
                number,
                self._now - (step.ready_at or self._now),
            )
        )

    def _hold_room(
        self, step: work.StepRun, rooms: list[packing.Room]
    ) -> None:
        """Keep the workers on which a gang will fit first."""
        if self._held_gangs >= MAX_HELD_GANGS:
            return
        place = ordering.standing(self._now, step)
        if place is not ordering.Standing.IN_TIME:
            return
        found = _first_fit(self._now, step.spec, rooms)
        if found is None:
            return
        fits_at, chosen = found
        if fits_at > self._now + GANG_WAIT_S:
            return
        self._held_gangs += 1
        for room in chosen:
            room.held_until = max(room.held_until, fits_at)


def _first_fit(
    now: float, spec: specs.StepSpec, rooms: list[packing.Room]
) -> tuple[float, list[packing.Room]] | None:
    """Return when a gang will fit, by estimates, and on which workers."""
    events: list[tuple[float, packing.Room]] = []
    frees: dict[int, list[list[float]]] = {}
    for room in rooms:
        ends = [
            (expected_end(now, run), run)
            for run in room.belief.runs_by_key.values()
        ]
        ends.sort(key=lambda pair: pair[0])
        cpu, memory = room.cpu, room.memory
        points = [[now, room.count(spec, spec.count)]]
        for at, run in ends:
            size = run.task.step.spec.size
            cpu += 0 if run.task.step.spec.filler else size.millicores
            memory += size.memory_mb
            points.append([at, _fitting(spec, cpu, memory)])
            events.append((at, room))
        frees[id(room)] = points
    events.sort(key=lambda event: event[0])
    for at, _ in events:
        counts = [(_count_at(frees[id(room)], at), room) for room in rooms]
        counts.sort(key=lambda pair: -pair[0])
        total = 0
        chosen = []
        for count, room in counts:
            if count <= 0 or total >= spec.count:
                break
            total += int(count)
            chosen.append(room)
        if total >= spec.count:
            return at, chosen
    return None


def _fitting(spec: specs.StepSpec, cpu: float, memory: float) -> float:
    most = float(spec.count)
    if spec.size.millicores and not spec.filler:
        most = min(most, cpu // spec.size.millicores)
    if spec.size.memory_mb:
        most = min(most, memory // spec.size.memory_mb)
    return most


def _count_at(points: list[list[float]], at: float) -> float:
    result = 0.0
    for moment, count in points:
        if moment <= at:
            result = count
    return result


def expected_end(now: float, run: beliefs.Run) -> float:
    """Return when a run is expected to end."""
    elapsed = now - run.ordered_at
    estimate = max(run.task.step.spec.estimate_s, work.MIN_ESTIMATE_S)
    if run.percent >= MIN_PERCENT and elapsed > 0:
        estimate = elapsed * 100.0 / run.percent
    return max(now, run.ordered_at + estimate)


MIN_PERCENT = 20.0
"""Progress from which a run's own pace replaces its declared run time."""


def _is_usable(
    now: float,
    belief: beliefs.Belief,
    quarantined: quarantine.Quarantine,
) -> bool:
    return (
        belief.reported
        and belief.listed
        and belief.silent_since is None
        and not belief.is_draining
        and not belief.closed
        and not belief.unknown_runs
        and belief.avoid_until <= now
        and quarantined.accepts(now, belief.entry.worker_id)
    )


def keep_tickets(
    now: float,
    asked_at: float,
    step: work.StepRun,
    asked_ids: Iterable[model.WorkerId],
    advice: ports.Advice | None,
    beliefs_by_id: dict[model.WorkerId, beliefs.Belief],
) -> None:
    """Take the answer of the advice service over into a step."""
    tickets = step.tickets
    tickets.asking_until = 0.0
    if advice is None:
        step.blocked_until = now + ASK_AGAIN_S
        return
    policy = step.job.queue.advice
    validity_s = policy.validity_s if policy else 0.0
    tickets.asked_ids.update(asked_ids)
    for worker_id, ticket in advice.tickets_by_worker_id.items():
        belief = beliefs_by_id.get(worker_id)
        tickets.good_ids.add(worker_id)
        tickets.by_worker_id[worker_id] = (
            ticket,
            now + validity_s - TICKET_TRANSIT_S,
            belief.started_unix_ms if belief else 0,
        )
