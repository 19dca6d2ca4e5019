"""One round of planning: which waiting tasks start where.

Steps are considered in the order of ``ordering.sort_key``.  A gang that does
not fit yet reserves the workers on which it will fit first, so that smaller
tasks behind it don't use up their resources one by one.  Advice is requested
for the first steps in this order, and again before their tickets expire.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import itertools
import math
from typing import Protocol

from samphirestack.fleet import actions
from samphirestack.fleet import advising
from samphirestack.fleet import crashes
from samphirestack.fleet import displacing
from samphirestack.fleet import evacuation
from samphirestack.fleet import forecast
from samphirestack.fleet import interference
from samphirestack.fleet import job_tracker
from samphirestack.fleet import ordering
from samphirestack.fleet import packing
from samphirestack.fleet import ports
from samphirestack.fleet import progress_rows
from samphirestack.fleet import registry_freshness
from samphirestack.fleet import shares
from samphirestack.fleet import specs
from samphirestack.fleet import speculation
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack.fleet import worker_speeds
from samphirestack.internal.decisions import quarantine
from samphirestack import model

MAX_ASKED = 100
"""Maximum number of workers in one advice request."""

MIN_ASKED = 24
"""Minimum number of workers in a request for unknown ones.  It lengthens a
call by a few per cent; fewer leave little choice."""

GANG_CANDIDATE_FACTOR = 2.0
TASK_CANDIDATE_FACTOR = 2.0
"""Number of suitable workers to look for, in multiples of the number needed:
most of them are occupied at a given moment."""

GANG_WIDENING_FACTOR = 1.5
"""Expected suitable capacity to ask about, in multiples of what a gang lacks:
the share of suitable workers varies by a third between calls."""

GANG_RENEW_AHEAD_S = 0.3
"""Time before a gang is expected to fit at which its tickets are renewed."""

TASK_CHECK_INTERVAL_S = 0.03
GANG_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether a waiting step, or a gang, should request
advice.  The check of a gang takes 1 ms, and after a burst forty gangs wait
for seconds."""

MAX_ADVICE_CHECKS = 40
"""Steps in one plan that are checked for advice, those to start first.  Each
check visits up to all workers; the others follow in the next plans."""

TICKET_MARGIN_S = 0.08
"""Minimum validity left when an order is sent, for its way to the worker."""

ADVICE_EXPIRY_MARGIN_S = 1.0
"""Time beyond the expected duration until an advice request counts as lost."""

LONG_CALL_S = 0.15
"""One caller is kept free of advice requests longer than this, so that urgent
steps do not wait behind them."""

PATIENT_SLACK_S = 4.0
"""A step with more slack than this leaves free workers to waiting gangs.  The
rest covers its request for advice and a repeated run."""

MAX_CROWDED_FREE_SHARE = 0.4
"""Share of free processors below which steps leave them to waiting gangs.  In
a fleet that has more, a gang lacks suitable workers rather than free ones."""

MAX_RESERVED_GANGS = 8
"""Number of waiting gangs that may reserve workers.  Each needs a forecast of
1 ms every FORECAST_INTERVAL_S."""

FORECAST_INTERVAL_S = 0.05
"""Interval between forecasts for the reservation of a gang.  With every plan
they took a third of its time while eight gangs waited."""

MAX_RESERVATION_S = 6.0
"""A gang that fits only later than this reserves no workers."""


class Exclusion(enum.Enum):
    """Why nothing of a step may start on a worker in a round."""

    UNREGISTERED = 'not registered or silent'
    DRAINING = 'draining'
    UPKEEP = 'closed for upkeep'
    EVACUATED = 'in an evacuated zone'
    QUARANTINED = 'quarantined'
    AVOIDED = 'avoided after a refused start or a stalled run'
    UNSETTLED = 'on probation or with unknown runs'
    CAPACITY_UNKNOWN = 'capacity may be out of date'
    REQUESTS_UNKNOWN = 'requests of the operator may be out of date'
    LABEL = 'without the label'
    TOO_SMALL = 'smaller than one task'
    NO_ROOM = 'no room now'
    HELD = 'reserved for a gang or held for another step'


class AdviceCallers(Protocol):
    """Entries that can call the advice service."""

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        """Reserve an entry for a call; return whether one was available.

        :param expected_s: expected duration of the call.
        """


class Fleet(Protocol):
    """Part of the scheduler that the planner uses."""

    term: int
    configuration: specs.FleetConfiguration
    workers_by_id: dict[model.WorkerId, tracking.TrackedWorker]
    usage: shares.Usage
    jobs: job_tracker.JobTracker
    quarantine: quarantine.Quarantine
    suitable_shares: advising.SuitableShares
    interference: interference.Interference
    worker_speeds: worker_speeds.WorkerSpeeds
    registry_freshness: registry_freshness.RegistryFreshness
    evacuations: evacuation.Evacuations
    runs_to_copy: dict[model.TaskId, tracking.Run]
    room_search_at: float
    """When the next search for room may be made."""

    def record_placement(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> int:
        """Track a run that is to be ordered; return its start number."""

    def record_copy(
        self,
        now: float,
        task: work.Task,
        run_number: int,
        worker_id: model.WorkerId,
    ) -> int:
        """Track a copy that is to be ordered; return its start number."""

    def displace_run(self, now: float, run: tracking.Run) -> None:
        """Stop a run to make room for another step."""


def plan(
    now: float, fleet: Fleet, advice_callers: AdviceCallers
) -> list[actions.Action]:
    """Return run starts and advice requests.

    The starts are recorded as placements.
    """
    steps = sorted(
        (
            step
            for step in fleet.jobs.ready_steps.values()
            if step.blocked_until <= now
        ),
        key=lambda step: ordering.sort_key(now, step),
    )
    if not steps and not fleet.runs_to_copy:
        return []
    planning_round = _PlanningRound(now, fleet, advice_callers)
    return planning_round.run(steps) + planning_round.copy_slow_runs(steps)


class _PlanningRound:
    def __init__(
        self, now: float, fleet: Fleet, advice_callers: AdviceCallers
    ) -> None:
        self._now = now
        self._fleet = fleet
        self._advice_callers = advice_callers
        self._reserved_gang_count = 0
        self._exhausted_urgencies: set[bool] = set()
        """Urgency of requests for which no caller was left in this round."""
        self._advice_check_count = 0
        self._gang_is_waiting = False
        """Whether a gang that can still be in time found too few workers."""
        self._crowded_by_service: dict[model.ServiceId, bool] = {}
        self._allowed_for_preview: frozenset[model.WorkerId] | None = None
        self._result: list[actions.Action] = []
        self._by_free_cpu: dict[model.ServiceId, list[packing.Candidate]] = {}
        """Candidates of each service, those with most free processors at the
        start of this round first."""
        self._candidates_by_service: dict[
            model.ServiceId, dict[model.WorkerId, packing.Candidate]
        ] = {}
        capacities_known = fleet.registry_freshness.permits_starts(now)
        if not fleet.evacuations.permits_starts(now):
            return
        for worker_id, worker in fleet.workers_by_id.items():
            if _exclusion(now, worker, fleet) is None and (
                capacities_known
                or fleet.configuration.enforces_capacity(worker.entry.service)
            ):
                self._candidates_by_service.setdefault(
                    worker.entry.service, {}
                )[worker_id] = packing.Candidate(
                    worker, worker.cold_until > now
                )

    def run(self, steps: list[work.StepRun]) -> list[actions.Action]:
        self._hold_displaced_room(self._fleet.jobs.ready_steps.values())
        for step in steps:
            if self._gang_is_waiting and self._can_wait_for_gangs(step):
                continue
            if step.job.queue.advice is None:
                self._place(step, self._eligible(step))
                self._make_room(step)
                continue
            self._place(step, self._with_valid_ticket(step))
            self._make_room(step)
            if step.waiting and (
                not step.suspects_must_wait
                or any(
                    True for _ in step.waiting.without(step.suspect_indexes)
                )
            ):
                self._request_advice(step)
        return self._result

    def copy_slow_runs(
        self, waiting: list[work.StepRun]
    ) -> list[actions.Action]:
        """Return starts of copies of slow runs, and advice requests."""
        runs_by_id = self._fleet.runs_to_copy
        result: list[actions.Action] = []
        if not runs_by_id or self._gang_is_waiting:
            return result
        candidates = [
            candidate
            for by_id in self._candidates_by_service.values()
            for candidate in by_id.values()
        ]
        budget = speculation.Budget(
            self._now, self._fleet.workers_by_id.values(), candidates, waiting
        )
        for task_id, run in list(runs_by_id.items()):
            step = run.task.step
            if (
                run.stop is not None
                or run.task.state is not work.TaskState.PLACED
                or run.task.placed_run_number != run.number
                or not speculation.step_has_budget(step)
                or self._headroom(step) <= 0
            ):
                continue
            chosen = self._worker_for_copy(run)
            if not budget.take(step.spec.size.millicores):
                continue
            if chosen is not None:
                del runs_by_id[task_id]
                result += self._start_copy(run, chosen)
            elif step.job.queue.advice is not None:
                result += self._request_advice_for_copy(step)
        return result

    def _worker_for_copy(self, run: tracking.Run) -> packing.Candidate | None:
        step = run.task.step
        if step.job.queue.advice is None:
            candidates = self._eligible(step)
        else:
            candidates = self._with_valid_ticket(step)
        return packing.choose_one(
            step.spec,
            [
                candidate
                for candidate in _with_room(candidates, step)
                if candidate.worker.entry.worker_id != run.worker_id
                and not candidate.reserved_until
                and candidate.held_for is None
            ],
        )

    def _start_copy(
        self, run: tracking.Run, candidate: packing.Candidate
    ) -> list[actions.Action]:
        task = run.task
        step = task.step
        entry = candidate.worker.entry
        candidate.allocate(step.spec)
        run_number = self._fleet.jobs.next_run_number([task])
        number = self._fleet.record_copy(
            self._now, task, run_number, entry.worker_id
        )
        ticket = step.tickets.by_worker_id.get(entry.worker_id, ('', 0, 0))[0]
        order = ports.TaskOrder(
            task.id,
            specs.RunNumber(run_number),
            step.job.spec.payload,
            task.checkpoint,
            ticket,
        )
        queue_id = step.job.queue.queue_id
        return [
            actions.Start(entry, order, queue_id, number, 0.0),
            actions.ReportCopy(
                task.id,
                specs.RunNumber(run_number),
                entry.worker_id,
                run.worker_id,
            ),
        ]

    def _request_advice_for_copy(
        self, step: work.StepRun
    ) -> list[actions.Action]:
        now = self._now
        tickets = step.tickets
        if now < max(tickets.call_expires_at, tickets.next_check_at):
            return []
        tickets.next_check_at = now + speculation.CHECK_INTERVAL_S
        worker_ids = [
            candidate.worker.entry.worker_id
            for candidate in itertools.chain(
                self._suitable(step), self._with_unknown_suitability(step)
            )
            if candidate.fits(step.spec)
            and not candidate.reserved_until
            and candidate.held_for is None
        ][: speculation.MAX_ASKED]
        if not worker_ids:
            return []
        duration = work.advice_s(step.job.queue.advice, len(worker_ids))
        if not self._advice_callers.reserve(False, duration):
            return []
        tickets.call_expires_at = now + duration + ADVICE_EXPIRY_MARGIN_S
        return [
            actions.RequestAdvice(step.id, tuple(worker_ids), duration, False)
        ]

    def hold_for(
        self, waiting: Iterable[work.StepRun], ahead: list[work.StepRun]
    ) -> None:
        """Hold the room of other steps as the last plan left it."""
        self._hold_displaced_room(waiting)
        for step in ahead:
            if (
                step.spec.gang
                and self._reserved_gang_count < MAX_RESERVED_GANGS
                and self._may_start(step)
                and self._may_hold_workers(step)
            ):
                self._gang_is_waiting = True
                self._hold_reservation(step)

    def headroom(self, step: work.StepRun) -> int:
        """See ``Preview``."""
        return self._headroom(step)

    def leaves_room_to_gangs(self, step: work.StepRun) -> bool:
        """See ``Preview``."""
        return self._gang_is_waiting and self._can_wait_for_gangs(step)

    def service(self, step: work.StepRun) -> model.ServiceId:
        """See ``Preview``."""
        return self._service(step)

    def exclusion(
        self, worker: tracking.TrackedWorker, step: work.StepRun
    ) -> Exclusion | None:
        """Return what keeps a task from a usable worker in this round."""
        worker_id = worker.entry.worker_id
        candidate = self._candidates_by_id(step).get(worker_id)
        if candidate is None:
            if not self._fleet.evacuations.permits_starts(self._now):
                return Exclusion.REQUESTS_UNKNOWN
            return Exclusion.CAPACITY_UNKNOWN
        if not _with_room([candidate], step):
            return Exclusion.NO_ROOM
        if worker_id not in self._allowed_ids(step):
            return Exclusion.HELD
        return None

    def _allowed_ids(self, step: work.StepRun) -> frozenset[model.WorkerId]:
        if self._allowed_for_preview is None:
            allowed = self._eligible(step)
            if step.spec.gang:
                allowed = [
                    candidate
                    for candidate in allowed
                    if self._may_place_on(candidate, step)
                ]
            else:
                allowed = self._where_tasks_may_start(step, allowed)
            self._allowed_for_preview = frozenset(
                candidate.worker.entry.worker_id for candidate in allowed
            )
        return self._allowed_for_preview

    def workers_to_ask(self, step: work.StepRun) -> list[model.WorkerId]:
        """See ``Preview``."""
        if not self._may_start(step):
            return []
        if step.spec.gang:
            return self._gang_workers_to_ask(step)
        return self._task_workers_to_ask(step)

    def earliest_fit(self, step: work.StepRun) -> float | None:
        """See ``Preview``."""
        found = forecast.earliest_fit(
            self._now, step.spec, self._eligible(step)
        )
        return None if found is None else found[0]

    def place_suitable(self, step: work.StepRun) -> list[model.WorkerId]:
        """See ``Preview``."""
        if self.leaves_room_to_gangs(step):
            return []
        self._place(step, self._eligible(step))
        return [
            action.worker.worker_id
            for action in self._result
            if isinstance(action, actions.Start)
        ]

    def _hold_displaced_room(self, steps: Iterable[work.StepRun]) -> None:
        """Keep the room that is made for steps from all others."""
        for step in steps:
            if step.room.until > self._now:
                candidates_by_id = self._candidates_by_id(step)
                for worker_id in step.room.worker_ids:
                    candidate = candidates_by_id.get(worker_id)
                    if candidate is not None:
                        candidate.held_for = step

    def _make_room(self, step: work.StepRun) -> None:
        """Stop runs of lower priority if only this lets a step be in time."""
        now = self._now
        room = step.room
        if not displacing.may_displace(now, step):
            room.wanted_ids = []
            return
        fleet = self._fleet
        if (
            not step.waiting
            or now < max(room.until, room.search_at, fleet.room_search_at)
            or not self._may_start(step)
        ):
            return
        room.search_at = now + displacing.SEARCH_INTERVAL_S
        room.wanted_ids = []
        candidates = self._where_room_may_be_made(step)
        if not candidates:
            return
        fleet.room_search_at = now + displacing.search_pause_s(
            len(fleet.workers_by_id)
        )
        needed = min(len(step.waiting), self._headroom(step))
        limits = displacing.limits(
            fleet.workers_by_id.values(),
            displacing.over_share(
                fleet.usage.millicores_by_customer,
                fleet.configuration.customers_by_id,
            ),
        )
        lasting = candidates
        if step.job.queue.advice is not None:
            lasting = [
                candidate
                for candidate in candidates
                if self._ticket_lasts(step, candidate, now + displacing.HOLD_S)
            ]
        found = displacing.choose(now, step, lasting, limits, needed)
        if found is not None:
            self._displace(step, found)
        elif len(lasting) < len(candidates):
            found = displacing.choose(now, step, candidates, limits, needed)
            if found is not None:
                room.wanted_ids = sorted(found.worker_ids)

    def _where_room_may_be_made(
        self, step: work.StepRun
    ) -> list[packing.Candidate]:
        if step.job.queue.advice is None:
            candidates = self._eligible(step)
        else:
            candidates = self._suitable(step)
        reserved_ids = step.reservation.worker_ids
        return [
            candidate
            for candidate in candidates
            if candidate.held_for is None
            and (
                not candidate.reserved_until
                or candidate.worker.entry.worker_id in reserved_ids
            )
        ]

    def _displace(
        self, step: work.StepRun, found: displacing.Displacement
    ) -> None:
        room = step.room
        room.worker_ids = found.worker_ids
        room.until = self._now + displacing.HOLD_S
        room.displacements += 1
        self._hold_displaced_room([step])
        for run in found.runs:
            self._fleet.displace_run(self._now, run)
        self._result.append(
            actions.ReportDisplacement(
                step.id,
                len(found.runs),
                found.count,
                found.lost_core_s,
                found.gained_core_s,
            )
        )

    def _can_wait_for_gangs(self, step: work.StepRun) -> bool:
        """Return whether a step should leave free room to waiting gangs.

        This answers loads above the capacity of the fleet, under which
        patient steps take each worker as it becomes free, so that gangs
        never find enough at once.
        """
        if step.spec.gang or step.job.queue.priority == (
            ordering.URGENT_PRIORITY
        ):
            return False
        if step.job.spec.repetitions or step.job.is_long_running:
            return False
        return ordering.latest_start(
            step
        ) > self._now + PATIENT_SLACK_S and self._is_crowded(step)

    def _is_crowded(self, step: work.StepRun) -> bool:
        service = self._service(step)
        if service not in self._crowded_by_service:
            free = capacity = 0
            for candidate in self._candidates_by_id(step).values():
                free += candidate.free_cpu
                capacity += candidate.worker.entry.capacity.millicores
            self._crowded_by_service[service] = (
                free < MAX_CROWDED_FREE_SHARE * capacity
            )
        return self._crowded_by_service[service]

    def _place(
        self, step: work.StepRun, candidates: list[packing.Candidate]
    ) -> None:
        if step.spec.gang:
            self._place_gang(step, candidates)
        elif candidates:
            self._place_tasks(step, candidates)

    def _service(self, step: work.StepRun) -> model.ServiceId:
        queue = self._fleet.configuration.queues_by_id.get(
            step.job.queue.queue_id, step.job.queue
        )
        return queue.service

    def _candidates_by_id(
        self, step: work.StepRun
    ) -> dict[model.WorkerId, packing.Candidate]:
        return self._candidates_by_service.get(self._service(step), {})

    def _eligible(self, step: work.StepRun) -> list[packing.Candidate]:
        return [
            candidate
            for candidate in self._candidates_by_id(step).values()
            if _mismatch(candidate.worker.entry, step.spec) is None
        ]

    def _most_free_first(self, step: work.StepRun) -> list[packing.Candidate]:
        service = self._service(step)
        result = self._by_free_cpu.get(service)
        if result is None:
            result = sorted(
                self._candidates_by_service.get(service, {}).values(),
                key=lambda candidate: (candidate.is_cold, -candidate.free_cpu),
            )
            self._by_free_cpu[service] = result
        return result

    def _with_valid_ticket(
        self, step: work.StepRun
    ) -> list[packing.Candidate]:
        """Return the workers with a ticket that is valid long enough."""
        candidates_by_id = self._candidates_by_id(step)
        usable_until = self._now + TICKET_MARGIN_S
        result = []
        for worker_id, ticket in step.tickets.by_worker_id.items():
            _, expires_at, started_unix_ms = ticket
            candidate = candidates_by_id.get(worker_id)
            if (
                candidate is not None
                and expires_at > usable_until
                and started_unix_ms == candidate.worker.started_unix_ms
            ):
                result.append(candidate)
        return result

    def _suitable(self, step: work.StepRun) -> list[packing.Candidate]:
        """Return the suitable workers, with or without a ticket."""
        candidates_by_id = self._candidates_by_id(step)
        return [
            candidates_by_id[worker_id]
            for worker_id in step.tickets.suitable_ids
            if worker_id in candidates_by_id
        ]

    def _request_advice(self, step: work.StepRun) -> None:
        """Request advice if it can let the step start sooner."""
        now = self._now
        tickets = step.tickets
        urgent = step.job.queue.priority == ordering.URGENT_PRIORITY
        if now < max(tickets.call_expires_at, tickets.next_check_at):
            return
        if urgent in self._exhausted_urgencies:
            return
        if self._advice_check_count >= MAX_ADVICE_CHECKS:
            return
        if not self._may_start(step):
            return
        self._advice_check_count += 1
        if step.spec.gang:
            tickets.next_check_at = now + GANG_CHECK_INTERVAL_S
            worker_ids = self._gang_workers_to_ask(step)
        else:
            tickets.next_check_at = now + TASK_CHECK_INTERVAL_S
            worker_ids = self._task_workers_to_ask(step)
        if not worker_ids:
            return
        policy = step.job.queue.advice
        assert policy is not None
        duration = work.advice_s(policy, len(worker_ids))
        if not self._advice_callers.reserve(urgent, duration):
            self._exhausted_urgencies.add(urgent)
            return
        tickets.call_expires_at = now + duration + ADVICE_EXPIRY_MARGIN_S
        self._result.append(
            actions.RequestAdvice(step.id, tuple(worker_ids), duration, urgent)
        )

    def _renewal_done_at(self, step: work.StepRun, workers: int) -> float:
        """Return when a request made now is answered, plus the ticket margin.

        Tickets that expire before this moment have to be renewed now.
        """
        duration = work.advice_s(step.job.queue.advice, workers)
        return self._now + duration + TICKET_MARGIN_S

    def _gang_workers_to_ask(self, step: work.StepRun) -> list[model.WorkerId]:
        """Return the workers to request advice about for a gang.

        The suitable workers must have GANG_CANDIDATE_FACTOR times the
        capacity that it needs when they are empty, since most are not.
        Tickets are renewed once the gang fits or is about to fit.
        """
        spec = step.spec
        wanted_ids = step.room.wanted_ids
        if wanted_ids and self._candidates_by_id(step).keys() >= set(
            wanted_ids
        ):
            return wanted_ids[:MAX_ASKED]
        suitable = self._suitable(step)
        capacity = sum(
            forecast.capacity_when_empty(candidate, spec)
            for candidate in suitable
        )
        if (
            capacity
            and packing.choose_gang(spec, suitable, spec.count) is None
        ):
            widened = self._widened_gang_request(step, suitable)
            if widened:
                return widened
        missing = GANG_CANDIDATE_FACTOR * spec.count - capacity
        if missing > 0:
            unknown = self._with_unknown_suitability(step)
            first = next(unknown, None)
            if first is not None:
                fit = max(1, forecast.capacity_when_empty(first, spec))
                return self._select_unknown(
                    step, itertools.chain([first], unknown), missing / fit
                )
        until = self._renewal_done_at(step, len(suitable))
        lasting = [
            candidate
            for candidate in suitable
            if self._ticket_lasts(step, candidate, until)
        ]
        if packing.choose_gang(spec, lasting, spec.count) is not None:
            return []
        if packing.choose_gang(spec, suitable, spec.count) is None:
            found = forecast.earliest_fit(self._now, spec, suitable)
            if found is None or found[0] > until + GANG_RENEW_AHEAD_S:
                return []
        suitable.sort(
            key=lambda candidate: (candidate.is_cold, -candidate.free_cpu)
        )
        return [
            candidate.worker.entry.worker_id
            for candidate in suitable[:MAX_ASKED]
        ]

    def _widened_gang_request(
        self, step: work.StepRun, suitable: list[packing.Candidate]
    ) -> list[model.WorkerId]:
        """Return workers with which a gang might start at once.

        It is used when a gang does not fit on the free suitable workers.
        This answers loads near the capacity of the fleet: few suitable
        workers are free at the same time, so that a gang with only twice the
        workers that it needs would wait for them.
        """
        spec = step.spec
        if spec.single_rack:
            return []
        limit = spec.max_per_worker or spec.count
        share = self._fleet.suitable_shares.share(step.job.queue.queue_id)
        worker_ids = []
        missing = float(spec.count)
        for candidate in suitable:
            count = candidate.count(spec, limit)
            if count:
                worker_ids.append(candidate.worker.entry.worker_id)
                missing -= count
        missing *= GANG_WIDENING_FACTOR
        for candidate in self._with_unknown_suitability(step):
            if len(worker_ids) >= MAX_ASKED:
                return []
            if not self._may_place_on(candidate, step):
                continue
            worker_ids.append(candidate.worker.entry.worker_id)
            missing -= share * candidate.count(spec, limit)
            if missing <= 0:
                return worker_ids
        return []

    def _task_workers_to_ask(self, step: work.StepRun) -> list[model.WorkerId]:
        """Return the workers to request advice about for independent tasks.

        Free suitable workers come first, then free unknown ones.  A step
        without any advice asks even while no worker is free.
        """
        spec = step.spec
        waiting = len(step.waiting)
        suitable = self._suitable(step)
        result = [
            candidate.worker.entry.worker_id
            for candidate in suitable
            if candidate.fits(spec)
        ][:MAX_ASKED]
        if len(result) >= waiting:
            return result
        to_ask: Iterator[packing.Candidate] = (
            candidate
            for candidate in self._with_unknown_suitability(step)
            if candidate.fits(spec)
        )
        first = next(to_ask, None)
        if first is None and not step.tickets.asked_ids:
            to_ask = self._with_unknown_suitability(step)
            first = next(to_ask, None)
        if first is not None:
            fit = max(1, first.count(spec, waiting))
            result += self._select_unknown(
                step,
                itertools.chain([first], to_ask),
                TASK_CANDIDATE_FACTOR * waiting / fit,
            )
        return result[:MAX_ASKED]

    def _ticket_lasts(
        self, step: work.StepRun, candidate: packing.Candidate, until: float
    ) -> bool:
        entry = step.tickets.by_worker_id.get(candidate.worker.entry.worker_id)
        return entry is not None and entry[1] > until

    def _with_unknown_suitability(
        self, step: work.StepRun
    ) -> Iterator[packing.Candidate]:
        """Yield workers without advice, most free processors first.

        Slow workers follow all others for a step that avoids them.
        """
        asked = step.tickets.asked_ids
        unknown = (
            candidate
            for candidate in self._most_free_first(step)
            if candidate.worker.entry.worker_id not in asked
            and _mismatch(candidate.worker.entry, step.spec) is None
        )
        penalty = self._fleet.worker_speeds.penalty(self._now, step)
        return unknown if penalty is None else _lowest_first(unknown, penalty)

    def _select_unknown(
        self,
        step: work.StepRun,
        candidates: Iterable[packing.Candidate],
        wanted: float,
    ) -> list[model.WorkerId]:
        """Return the first candidates, as many as likely contain enough.

        :param wanted: number of suitable workers to find.
        """
        share = self._fleet.suitable_shares.share(step.job.queue.queue_id)
        count = math.ceil(wanted / share)
        count = max(MIN_ASKED, min(MAX_ASKED, count))
        return [
            candidate.worker.entry.worker_id
            for candidate in itertools.islice(candidates, count)
        ]

    def _may_start(self, step: work.StepRun) -> bool:
        """Return whether the customer's limit allows a step to start.

        A gang can't start while one of its members may still be on a worker.
        """
        headroom = self._headroom(step)
        if not step.spec.gang:
            return headroom > 0
        count = step.spec.count
        return len(step.waiting) == count and headroom >= count

    def _headroom(self, step: work.StepRun) -> int:
        customers = self._fleet.configuration.customers_by_id
        customer_id = step.job.customer_id
        headroom = self._fleet.usage.headroom(
            customers.get(customer_id), step.spec.size, customer_id
        )
        return min(
            headroom,
            progress_rows.placeable(step.job.progress),
            self._fleet.jobs.budget.runs_left(step.job.customer_id),
        )

    def _place_gang(
        self, step: work.StepRun, candidates: list[packing.Candidate]
    ) -> None:
        if not self._may_start(step):
            return
        free = [
            candidate
            for candidate in candidates
            if self._may_place_on(candidate, step)
        ]
        chosen = self._choose_gang(step, free)
        if chosen is None:
            if not self._may_hold_workers(step):
                return
            self._gang_is_waiting = True
            if step.job.queue.advice is not None:
                candidates = self._suitable(step)
            self._reserve_workers(step, candidates)
            return
        for index in step.suspect_indexes:
            self._close(chosen[index])
        step.probation_wanted_at = None
        run_number = self._fleet.jobs.next_run_number(step.tasks)
        checkpoint = next(
            (
                task.checkpoint
                for task in step.tasks.known()
                if task.checkpoint
            ),
            specs.NO_CHECKPOINT,
        )
        for task, candidate in zip(step.tasks, chosen, strict=True):
            self._start(task, candidate, run_number, checkpoint)

    def _may_hold_workers(self, step: work.StepRun) -> bool:
        """Return whether other steps leave workers to a gang that waits."""
        step_class = ordering.classify(self._now, step)
        return step_class is ordering.StepClass.IN_TIME and (
            forecast.may_ever_fit(
                step.spec,
                (
                    candidate
                    for candidate in self._candidates_by_id(step).values()
                    if _mismatch(candidate.worker.entry, step.spec) is None
                ),
            )
        )

    def _choose_gang(
        self, step: work.StepRun, free: list[packing.Candidate]
    ) -> list[packing.Candidate] | None:
        """Return a worker for each member of a gang, or ``None``."""
        count = step.spec.count
        if not step.suspect_indexes:
            return packing.choose_gang(
                step.spec, free, count, self._penalty(step)
            )
        fit = self._fit_for_probation(free)
        steady = [candidate for candidate in fit if self._is_steady(candidate)]
        chosen = packing.choose_gang(step.spec, steady, count)
        if chosen is None:
            chosen = packing.choose_gang(step.spec, fit, count)
        if chosen is None and self._has_waited_for_probation(step):
            chosen = packing.choose_gang(step.spec, free, count)
        return chosen

    def _penalty(self, step: work.StepRun) -> packing.Penalty | None:
        """Return what disturbing neighbours and low speed add to a score."""
        return packing.sum_of_penalties(
            self._separation(step),
            self._fleet.worker_speeds.penalty(self._now, step),
        )

    def _separation(self, step: work.StepRun) -> packing.Penalty | None:
        """Return the penalty of workers with disturbing neighbours.

        Other steps do not spread over workers that a gang waits for.
        """
        if self._gang_is_waiting and not step.spec.gang:
            return None
        return self._fleet.interference.penalty(self._now, step.spec)

    def _place_tasks(
        self, step: work.StepRun, candidates: list[packing.Candidate]
    ) -> None:
        headroom = self._headroom(step)
        spec = step.spec
        candidates = self._where_tasks_may_start(step, candidates)
        if step.suspect_indexes:
            headroom = self._place_suspects(step, candidates, headroom)
        separation = self._separation(step)
        penalty = self._penalty(step)
        for index in step.waiting.without(step.suspect_indexes):
            if headroom <= 0:
                return
            task = step.tasks[index]
            allowed = candidates
            if spec.max_per_worker:
                allowed = [
                    candidate
                    for candidate in candidates
                    if step.run_counts_by_worker.get(
                        candidate.worker.entry.worker_id, 0
                    )
                    < spec.max_per_worker
                ]
            if task.failed_worker_ids and len(allowed) > 1:
                preferred = [
                    candidate
                    for candidate in allowed
                    if candidate.worker.entry.worker_id
                    not in task.failed_worker_ids
                ]
                allowed = preferred or allowed
            candidate = packing.choose_one(spec, allowed, penalty)
            if candidate is None:
                return
            if separation is not None and (
                candidate
                is not packing.choose_one(
                    spec,
                    allowed,
                    self._fleet.worker_speeds.penalty(self._now, step),
                )
            ):
                self._fleet.interference.record_kept_apart()
            headroom -= 1
            run_number = self._fleet.jobs.next_run_number([task])
            self._start(task, candidate, run_number, task.checkpoint)

    def _where_tasks_may_start(
        self, step: work.StepRun, candidates: list[packing.Candidate]
    ) -> list[packing.Candidate]:
        allowed = [
            candidate
            for candidate in candidates
            if self._may_place_on(candidate, step)
        ]
        if (
            step.job.queue.priority != ordering.URGENT_PRIORITY
            or packing.choose_one(step.spec, allowed) is not None
        ):
            return allowed
        return [
            candidate
            for candidate in candidates
            if self._ends_before_reservation(candidate, step)
        ]

    def _place_suspects(
        self,
        step: work.StepRun,
        candidates: list[packing.Candidate],
        headroom: int,
    ) -> int:
        """Start suspects of a step.

        The first start on one worker, since all of them may crash theirs.
        Of the workers that are fit for it, a steady one with few runs is
        taken, since it may crash.

        :return: number of further tasks that the customer may start.
        """
        if step.suspects_must_wait:
            return headroom
        spec = step.spec
        fit = _with_room(self._fit_for_probation(candidates), step)
        if not fit and self._has_waited_for_probation(step):
            fit = _with_room(candidates, step)
        fit.sort(
            key=lambda candidate: (
                not self._is_steady(candidate),
                len(candidate.worker.runs_by_key),
            )
        )
        if not step.has_cleared_suspect:
            del fit[1:]
        indexes = sorted(
            (i for i in step.suspect_indexes if i in step.waiting),
            reverse=True,
        )
        for candidate in fit:
            limit = min(headroom, _limit_per_worker(candidate, step))
            count = min(len(indexes), candidate.count(spec, limit))
            if not count:
                break
            for _ in range(count):
                task = step.tasks[indexes.pop()]
                run_number = self._fleet.jobs.next_run_number([task])
                self._start(task, candidate, run_number, task.checkpoint)
            headroom -= count
            self._close(candidate)
            candidates.remove(candidate)
            step.probation_wanted_at = None
        return headroom

    def _fit_for_probation(
        self, candidates: list[packing.Candidate]
    ) -> list[packing.Candidate]:
        fit = []
        for candidate in candidates:
            if candidate.is_fit_for_probation is None:
                candidate.is_fit_for_probation = crashes.is_fit_for_probation(
                    self._now, candidate.worker
                )
            if candidate.is_fit_for_probation:
                fit.append(candidate)
        return fit

    def _is_steady(self, candidate: packing.Candidate) -> bool:
        unix_now = self._now + self._fleet.jobs.unix_offset_s
        return crashes.is_steady(unix_now, candidate.worker)

    def _has_waited_for_probation(self, step: work.StepRun) -> bool:
        if step.probation_wanted_at is None:
            step.probation_wanted_at = self._now
        waited_s = self._now - step.probation_wanted_at
        return waited_s > crashes.PROBATION_WAIT_S

    def _close(self, candidate: packing.Candidate) -> None:
        """Start nothing else on a worker in this round."""
        entry = candidate.worker.entry
        self._candidates_by_service[entry.service].pop(entry.worker_id, None)

    def _may_place_on(
        self, candidate: packing.Candidate, step: work.StepRun
    ) -> bool:
        if candidate.held_for is not None:
            return candidate.held_for is step
        return self._ends_before_reservation(candidate, step)

    def _ends_before_reservation(
        self, candidate: packing.Candidate, step: work.StepRun
    ) -> bool:
        if not candidate.reserved_until:
            return True
        return self._now + step.expected_s <= candidate.reserved_until

    def _start(
        self,
        task: work.Task,
        candidate: packing.Candidate,
        run_number: int,
        checkpoint: specs.Checkpoint,
    ) -> None:
        step = task.step
        worker = candidate.worker
        worker_id = worker.entry.worker_id
        candidate.allocate(step.spec)
        candidate.is_fit_for_probation = False
        number = self._fleet.record_placement(
            self._now, task, run_number, worker_id
        )
        self._fleet.quarantine.record_placement(worker_id, task.id)
        ticket = step.tickets.by_worker_id.get(worker_id, ('', 0.0, 0))[0]
        self._result.append(
            actions.Start(
                worker.entry,
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

    def _reserve_workers(
        self, step: work.StepRun, candidates: list[packing.Candidate]
    ) -> None:
        """Reserve the workers on which a gang will fit first."""
        if self._reserved_gang_count >= MAX_RESERVED_GANGS:
            return
        reservation = step.reservation
        if self._now - reservation.forecast_at >= FORECAST_INTERVAL_S:
            self._update_reservation(step, candidates)
        self._hold_reservation(step)

    def _hold_reservation(self, step: work.StepRun) -> None:
        reservation = step.reservation
        if reservation.fits_at > self._now + MAX_RESERVATION_S:
            return
        self._reserved_gang_count += 1
        candidates_by_id = self._candidates_by_id(step)
        for worker_id in reservation.worker_ids:
            candidate = candidates_by_id.get(worker_id)
            if candidate is not None:
                candidate.reserved_until = max(
                    candidate.reserved_until, reservation.fits_at
                )

    def _update_reservation(
        self, step: work.StepRun, candidates: list[packing.Candidate]
    ) -> None:
        """Choose the workers to reserve for a gang by a new forecast."""
        reservation = step.reservation
        reservation.forecast_at = self._now
        reservation.fits_at = float('inf')
        reservation.worker_ids = []
        found = forecast.earliest_fit(self._now, step.spec, candidates)
        if found is not None:
            reservation.fits_at = found[0]
            reservation.worker_ids = [
                candidate.worker.entry.worker_id for candidate in found[1]
            ]


def _mismatch(
    entry: specs.WorkerEntry, spec: specs.StepSpec
) -> Exclusion | None:
    """Return why a worker never runs a task of a step, or ``None``."""
    if spec.label and spec.label not in entry.labels:
        return Exclusion.LABEL
    if not spec.size.fits_in(entry.capacity):
        return Exclusion.TOO_SMALL
    return None


def _lowest_first(
    candidates: Iterable[packing.Candidate], penalty: packing.Penalty
) -> Iterator[packing.Candidate]:
    """Yield the candidates without a penalty, then the others."""
    others = []
    for candidate in candidates:
        if penalty(candidate):
            others.append(candidate)
        else:
            yield candidate
    yield from others


def _with_room(
    candidates: list[packing.Candidate], step: work.StepRun
) -> list[packing.Candidate]:
    """Return the workers on which a task of a step may start."""
    return [
        candidate
        for candidate in candidates
        if candidate.fits(step.spec) and _limit_per_worker(candidate, step) > 0
    ]


def _limit_per_worker(candidate: packing.Candidate, step: work.StepRun) -> int:
    """Return how many more tasks of a step one worker may run."""
    spec = step.spec
    if not spec.max_per_worker:
        return spec.count
    return spec.max_per_worker - step.run_counts_by_worker.get(
        candidate.worker.entry.worker_id, 0
    )


def _exclusion(
    now: float, worker: tracking.TrackedWorker, fleet: Fleet
) -> Exclusion | None:
    """Return why a worker takes no work at all, or ``None``."""
    if (
        not worker.has_reported
        or not worker.registered
        or worker.silent_since is not None
        or worker.entry_is_outdated
    ):
        return Exclusion.UNREGISTERED
    if worker.is_draining:
        return Exclusion.DRAINING
    if worker.closed_for_upkeep:
        return Exclusion.UPKEEP
    if fleet.evacuations.covers(worker.entry.zone):
        return Exclusion.EVACUATED
    if not fleet.quarantine.accepts(now, worker.entry.worker_id):
        return Exclusion.QUARANTINED
    if worker.avoid_until > now:
        return Exclusion.AVOIDED
    if worker.unknown_runs or worker.probation_run_count:
        return Exclusion.UNSETTLED
    return None


class Preview:
    """A round that considers one step, which no job of the fleet has.

    The reservations and the held room of the waiting steps count as the last
    plan left them; these steps themselves start nothing.  Each preview serves
    one step.

    :param fleet: ``place`` records in its quarantine, its interference and
        by its ``record_placement``; nothing else is changed.
    :param ahead: waiting steps that are considered before, in their order.
    """

    def __init__(
        self,
        now: float,
        fleet: Fleet,
        step: work.StepRun,
        ahead: list[work.StepRun],
    ) -> None:
        self._now = now
        self._fleet = fleet
        self._step = step
        self._round = _PlanningRound(now, fleet, _NoAdviceCallers())
        self._round.hold_for(fleet.jobs.ready_steps.values(), ahead)

    @property
    def headroom(self) -> int:
        """Return how many tasks the customer's limit lets start."""
        return self._round.headroom(self._step)

    @property
    def leaves_room_to_gangs(self) -> bool:
        """Return whether the step waits because a gang ahead does."""
        return self._round.leaves_room_to_gangs(self._step)

    @property
    def service(self) -> model.ServiceId:
        """Return the service whose workers run the step."""
        return self._round.service(self._step)

    def exclusion(self, worker: tracking.TrackedWorker) -> Exclusion | None:
        """Return the first reason against a task on a worker, or ``None``."""
        found = _exclusion(self._now, worker, self._fleet) or _mismatch(
            worker.entry, self._step.spec
        )
        return found or self._round.exclusion(worker, self._step)

    def workers_to_ask(self) -> list[model.WorkerId]:
        """Return the workers about which advice is requested first."""
        return self._round.workers_to_ask(self._step)

    def earliest_fit(self) -> float | None:
        """Return when a gang is expected to fit, or ``None`` if never."""
        return self._round.earliest_fit(self._step)

    def place(self) -> list[model.WorkerId]:
        """Return the worker of each task that starts, all being suitable.

        The room is used up, so it is called last.
        """
        return self._round.place_suitable(self._step)


class _NoAdviceCallers:
    def reserve(self, urgent: bool, expected_s: float) -> bool:
        del urgent, expected_s
        return False
