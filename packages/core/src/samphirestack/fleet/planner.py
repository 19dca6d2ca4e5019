"""One round of planning: which waiting tasks start where.

Steps are taken in the order of ``ordering.rank``.  A gang that has no room
yet keeps the workers on which it will fit first, so that smaller tasks
behind it don't take the room piece by piece.  Calls for advice are made for
the first steps of the order and are repeated before tickets expire.
"""

import math
from typing import Protocol

from samphirestack.fleet import actions
from samphirestack.fleet import advising
from samphirestack.fleet import beliefs
from samphirestack.fleet import forecast
from samphirestack.fleet import jobbook
from samphirestack.fleet import ordering
from samphirestack.fleet import packing
from samphirestack.fleet import ports
from samphirestack.fleet import shares
from samphirestack.fleet import specs
from samphirestack.fleet import work
from samphirestack.internal.decisions import quarantine
from samphirestack import model

MAX_ASKED = 100
"""Workers that one call for advice can name."""

MIN_ASKED = 24
"""A call grows by a few per cent with these; fewer leave little choice."""

GANG_CHOICE = 2.0
TASK_CHOICE = 2.0
"""Suitable workers that are looked for, in multiples of the least number:
most have no room at a given moment."""

GANG_WIDEN = 1.5
"""Room that is asked about, in multiples of what a gang lacks by the learned
share of suitable workers: the share of a single call varies by a third."""

GANG_RENEW_AHEAD_S = 0.3
"""Tickets of a gang are renewed this long before it is expected to fit."""

ASK_CHECK_EVERY_S = 0.03
GANG_CHECK_EVERY_S = 0.1
"""Between looks whether a waiting step, or gang, should ask.  A look at a
gang costs 1 ms, and a burst leaves forty of them waiting for seconds."""


TICKET_MARGIN_S = 0.08
"""Left on a ticket when an order with it is sent: the way to the worker."""


ASK_TIMEOUT_S = 1.0
"""Beyond the expected duration of a call for advice."""


LONG_CALL_S = 0.15
"""Calls for advice above this are kept out of one lane, so that urgent
steps do not wait behind them."""

MAX_HELD_GANGS = 8
"""Gangs that keep room while they wait.  Each takes a forecast of 1 ms at
intervals of FORECAST_EVERY_S."""

FORECAST_EVERY_S = 0.05
"""Between forecasts of the room that is kept for a gang: they took a third
of the time of plans while eight gangs waited."""

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
    advice_shares: advising.AdviceShares

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
        self._lanes_full: set[bool] = set()
        """Whether calls, urgent or not, found no lane in this round."""
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
            if step.job.queue.advice is None:
                self._place(step, self._eligible(step))
                continue
            self._place(step, self._ticketed(step))
            if step.waiting:
                self._ask(step)
        return self._result

    def _place(self, step: work.StepRun, rooms: list[packing.Room]) -> None:
        if step.spec.gang:
            self._place_gang(step, rooms)
        elif rooms:
            self._place_tasks(step, rooms)

    def _rooms_by_id(
        self, step: work.StepRun
    ) -> dict[model.WorkerId, packing.Room]:
        queue = self._fleet.configuration.queues_by_id.get(
            step.job.queue.queue_id, step.job.queue
        )
        return self._rooms_by_service.get(queue.service, {})

    def _eligible(self, step: work.StepRun) -> list[packing.Room]:
        spec = step.spec
        return [
            room
            for room in self._rooms_by_id(step).values()
            if (not spec.label or spec.label in room.belief.entry.labels)
            and spec.size.fits_in(room.belief.entry.capacity)
        ]

    def _ticketed(self, step: work.StepRun) -> list[packing.Room]:
        """Return the workers with a ticket that can still be used."""
        rooms_by_id = self._rooms_by_id(step)
        usable_until = self._now + TICKET_MARGIN_S
        result = []
        for worker_id, ticket in step.tickets.by_worker_id.items():
            _, expires_at, life = ticket
            room = rooms_by_id.get(worker_id)
            if (
                room is not None
                and expires_at > usable_until
                and life == room.belief.started_unix_ms
            ):
                result.append(room)
        return result

    def _good(self, step: work.StepRun) -> list[packing.Room]:
        """Return the workers that may run a step, with a ticket or not."""
        rooms_by_id = self._rooms_by_id(step)
        return [
            rooms_by_id[worker_id]
            for worker_id in step.tickets.good_ids
            if worker_id in rooms_by_id
        ]

    def _ask(self, step: work.StepRun) -> None:
        """Ask for advice if that lets the step start sooner."""
        now = self._now
        tickets = step.tickets
        urgent = step.job.queue.priority == ordering.URGENT_PRIORITY
        if now < max(tickets.asking_until, tickets.check_at):
            return
        if urgent in self._lanes_full:
            return
        if not self._may_start(step):
            return
        if step.spec.gang:
            tickets.check_at = now + GANG_CHECK_EVERY_S
            candidates = self._candidates_of_gang(step)
        else:
            tickets.check_at = now + ASK_CHECK_EVERY_S
            candidates = self._candidates_of_tasks(step)
        if not candidates:
            return
        policy = step.job.queue.advice
        assert policy is not None
        duration = work.advice_s(policy, len(candidates))
        if not self._ask_lanes.take(urgent, duration):
            self._lanes_full.add(urgent)
            return
        tickets.asking_until = now + duration + ASK_TIMEOUT_S
        self._result.append(
            actions.Ask(step.id, tuple(candidates), duration, urgent)
        )

    def _renewed_until(self, step: work.StepRun, workers: int) -> float:
        """Return until when tickets last if no call is made meanwhile."""
        duration = work.advice_s(step.job.queue.advice, workers)
        return self._now + duration + TICKET_MARGIN_S

    def _candidates_of_gang(self, step: work.StepRun) -> list[model.WorkerId]:
        """Return workers to ask about for a gang.

        The suitable ones must have room for it twice over when they are
        empty, since most are not.  Tickets are renewed once the gang has
        room or is about to have it.
        """
        spec = step.spec
        good = self._good(step)
        reach = sum(forecast.capacity_for(room, spec) for room in good)
        if reach and packing.choose_gang(spec, good, spec.count) is None:
            widened = self._widened(step, good)
            if widened:
                return widened
        missing = GANG_CHOICE * spec.count - reach
        if missing > 0:
            unknown = self._unknown(step)
            if unknown:
                fit = max(1, forecast.capacity_for(unknown[0], spec))
                return self._take_unknown(step, unknown, missing / fit)
        until = self._renewed_until(step, len(good))
        lasting = [
            room for room in good if self._ticket_lasts(step, room, until)
        ]
        if packing.choose_gang(spec, lasting, spec.count) is not None:
            return []
        if packing.choose_gang(spec, good, spec.count) is None:
            found = forecast.first_fit(self._now, spec, good)
            if found is None or found[0] > until + GANG_RENEW_AHEAD_S:
                return []
        good.sort(key=lambda room: -room.cpu)
        return [room.belief.entry.worker_id for room in good[:MAX_ASKED]]

    def _widened(
        self, step: work.StepRun, good: list[packing.Room]
    ) -> list[model.WorkerId]:
        """Return workers with which a gang might start at once.

        The known ones have no room for it.  This answers loads near the
        fleet's room: few suitable workers are free at the same time, so that
        a gang that knew only twice its need would wait for them.
        """
        spec = step.spec
        if spec.single_rack:
            return []
        limit = spec.max_per_worker or spec.count
        share = self._fleet.advice_shares.share(step.job.queue.queue_id)
        names = []
        lacking = float(spec.count)
        for room in good:
            count = room.count(spec, limit)
            if count:
                names.append(room.belief.entry.worker_id)
                lacking -= count
        lacking *= GANG_WIDEN
        for room in self._unknown(step):
            if len(names) >= MAX_ASKED:
                return []
            if not self._may_use(room, step):
                continue
            names.append(room.belief.entry.worker_id)
            lacking -= share * room.count(spec, limit)
            if lacking <= 0:
                return names
        return []

    def _candidates_of_tasks(self, step: work.StepRun) -> list[model.WorkerId]:
        """Return workers to ask about for independent tasks.

        Suitable ones with room come first, then others with room.  A step
        of which nothing is known asks even while nothing has room.
        """
        spec = step.spec
        waiting = len(step.waiting)
        good = self._good(step)
        result = [
            room.belief.entry.worker_id for room in good if room.fits(spec)
        ][:MAX_ASKED]
        if len(result) >= waiting:
            return result
        unknown = self._unknown(step)
        with_room = [room for room in unknown if room.fits(spec)]
        if not with_room and not step.tickets.asked_ids:
            with_room = unknown
        if with_room:
            fit = max(1, with_room[0].count(spec, waiting))
            result += self._take_unknown(
                step, with_room, TASK_CHOICE * waiting / fit
            )
        return result[:MAX_ASKED]

    def _ticket_lasts(
        self, step: work.StepRun, room: packing.Room, until: float
    ) -> bool:
        entry = step.tickets.by_worker_id.get(room.belief.entry.worker_id)
        return entry is not None and entry[1] > until

    def _unknown(self, step: work.StepRun) -> list[packing.Room]:
        """Return workers that were not asked about, emptiest first."""
        asked = step.tickets.asked_ids
        rooms = [
            room
            for room in self._eligible(step)
            if room.belief.entry.worker_id not in asked
        ]
        rooms.sort(key=lambda room: -room.cpu)
        return rooms

    def _take_unknown(
        self, step: work.StepRun, rooms: list[packing.Room], wanted: float
    ) -> list[model.WorkerId]:
        """Return as many as it takes to find the wanted number."""
        share = self._fleet.advice_shares.share(step.job.queue.queue_id)
        count = math.ceil(wanted / share)
        count = max(MIN_ASKED, min(MAX_ASKED, count))
        return [room.belief.entry.worker_id for room in rooms[:count]]

    def _may_start(self, step: work.StepRun) -> bool:
        """Return whether a step could start if it had room.

        A gang can't while one of its members may still be on a worker.
        """
        headroom = self._headroom(step)
        if not step.spec.gang:
            return headroom > 0
        count = step.spec.count
        return len(step.waiting) == count and headroom >= count

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
        if not self._may_start(step):
            return
        free = [room for room in rooms if self._may_use(room, step)]
        chosen = packing.choose_gang(step.spec, free, count)
        if chosen is None:
            if step.job.queue.advice is not None:
                rooms = self._good(step)
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
        self._fleet.quarantine.record_placement(worker_id, task.id)
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
        kept = step.kept_room
        if self._now - kept.forecast_at >= FORECAST_EVERY_S:
            self._forecast(step, rooms)
        if kept.fits_at > self._now + GANG_WAIT_S:
            return
        self._held_gangs += 1
        rooms_by_id = self._rooms_by_id(step)
        for worker_id in kept.worker_ids:
            room = rooms_by_id.get(worker_id)
            if room is not None:
                room.held_until = max(room.held_until, kept.fits_at)

    def _forecast(self, step: work.StepRun, rooms: list[packing.Room]) -> None:
        """Choose the workers that are kept for a gang from now on."""
        kept = step.kept_room
        kept.forecast_at = self._now
        kept.fits_at = float('inf')
        kept.worker_ids = []
        found = forecast.first_fit(self._now, step.spec, rooms)
        if found is not None:
            kept.fits_at = found[0]
            kept.worker_ids = [
                room.belief.entry.worker_id for room in found[1]
            ]


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
