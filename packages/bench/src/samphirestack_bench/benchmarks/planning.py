"""Decisions a second of the whole task scheduler of a zone leader.

A fleet is filled with batch work and services of many teams.  Then tasks
end and others arrive in batches, and the planning calls are timed, with
order, slices, shares and records, but without any network.
"""

from collections.abc import Iterator
import random
import time

from samphirestack import configuration
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.leader import actions
from samphirestack.internal.leader import task_starts
from samphirestack.internal.leader import tasks
from samphirestack import model
from samphirestack import platform
from samphirestack_bench import fleets
from samphirestack_bench import records

DESCRIPTION = 'placements a second of the task scheduler, 24 and 1,100 workers'

TEAMS = 100
SERVICES = 0.2
BATCH = 200
"""Tasks that end and arrive between two planning calls."""

RUNNING_BY_WORKERS = {fleets.WORKERS_TODAY: 200, fleets.WORKERS_TARGET: 15_000}
PLACEMENTS = 10_000
MAX_IDLE_CALLS = 20
TICK_S = 0.01
WORKER_TTL_S = 10.0


class _Fleet:
    """A scheduler whose workers accept every start at once."""

    def __init__(self, size: int, rng: random.Random) -> None:
        self._rng = rng
        self._now = 1.0
        self._jobs = 0
        self._events: dict[model.WorkerId, int] = {}
        self.running: list[actions.StartTask] = []
        self.call_s: list[float] = []
        published = _configuration()
        ledger = limits.TeamLedger()
        ledger.configure(published.teams_by_id)
        vms = fleets.workers(size)
        shares = fairshare.ShareTracker()
        capacity = model.Resources()
        for vm in vms:
            capacity += vm.capacity
        shares.set_capacity(capacity)
        self._scheduler = tasks.TaskScheduler(ledger, shares, WORKER_TTL_S)
        self._scheduler.configure(self._now, published)
        self._scheduler.set_workers(self._now, vms)
        self._scheduler.start_term(self._now, model.Epoch(1), self._now)
        for vm in vms:
            status = platform.WorkerStatus(
                model.WorkerId(vm.vm_id),
                model.Epoch(1),
                model.VmId('entry'),
                WORKER_TTL_S,
                vm.capacity,
                (),
            )
            self._scheduler.worker_status(self._now, status)

    def submit(self, count: int) -> None:
        """Insert jobs of one task."""
        for need in fleets.needs(self._rng, count):
            self._jobs += 1
            service = self._rng.random() < SERVICES
            job = model.Job(
                model.JobId(f'job-{self._jobs}'),
                model.QueueId(self._rng.choice(['urgent', 'patient'])),
                model.TeamId(f'team-{self._rng.randrange(TEAMS)}'),
                model.JobKind.SERVICE if service else model.JobKind.BATCH,
                1,
                need,
                10.0,
                True,
                model.ZoneId('zone'),
                0.0,
            )
            record = model.JobRecord(job)
            self._scheduler.job_changed(
                self._now, record, inserted_in_term=True
            )

    def end(self, count: int) -> None:
        """Let running tasks succeed."""
        self._rng.shuffle(self.running)
        for _ in range(min(count, len(self.running))):
            start = self.running.pop()
            number = self._events.get(start.worker_id, 0) + 1
            self._events[start.worker_id] = number
            event = platform.TaskEvent(
                number,
                start.task.task_id,
                start.task.attempt,
                model.TaskState.SUCCEEDED,
            )
            self._scheduler.task_event(self._now, start.worker_id, event)

    def plan(self) -> int:
        """Make one timed planning call and return its starts."""
        self._now += TICK_S
        began = time.perf_counter()
        wanted = self._scheduler.plan(self._now)
        self.call_s.append(time.perf_counter() - began)
        starts = [a for a in wanted if isinstance(a, actions.StartTask)]
        for start in starts:
            self._scheduler.start_answered(
                self._now,
                start.worker_id,
                start.task.task_id,
                start.task.attempt,
                task_starts.StartOutcome.ACCEPTED,
            )
        self.running += starts
        self._scheduler.pop_updates(self._now)
        return len(starts)


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each fleet size and a summary."""
    placements = PLACEMENTS // 10 if options.quick else PLACEMENTS
    rates = {}
    for size, running in RUNNING_BY_WORKERS.items():
        rng = random.Random(f'{options.seed}/{size}')
        record = _measure(_Fleet(size, rng), size, running, placements)
        rates[size] = float(str(record['placements_per_s']))
        yield record
    yield {
        'summary': True,
        'seed': options.seed,
        'per_s_today': rates[fleets.WORKERS_TODAY],
        'per_s_at_target': rates[fleets.WORKERS_TARGET],
        'slowdown_ratio': round(
            rates[fleets.WORKERS_TODAY] / rates[fleets.WORKERS_TARGET], 2
        ),
    }


def _measure(
    fleet: _Fleet, size: int, running: int, placements: int
) -> records.Record:
    idle = 0
    while len(fleet.running) < running and idle < MAX_IDLE_CALLS:
        fleet.submit(min(BATCH, running - len(fleet.running)))
        idle = 0 if fleet.plan() else idle + 1
    filled = len(fleet.running)
    fleet.call_s.clear()
    placed = idle = 0
    while placed < placements and idle < MAX_IDLE_CALLS:
        fleet.end(BATCH)
        fleet.submit(BATCH)
        starts = fleet.plan()
        placed += starts
        idle = 0 if starts else idle + 1
    calls_ms = [seconds * 1000 for seconds in fleet.call_s]
    return {
        'workers': size,
        'running': filled,
        'placements': placed,
        'placements_per_s': round(placed / sum(fleet.call_s)),
        'call_p50_ms': round(records.percentile(calls_ms, 50), 2),
        'call_p99_ms': round(records.percentile(calls_ms, 99), 2),
    }


def _configuration() -> configuration.Configuration:
    profiles = {
        'urgent': configuration.Profile(
            model.ProfileId('urgent'), urgency=model.Urgency.URGENT
        ),
        'patient': configuration.Profile(model.ProfileId('patient')),
    }
    service = configuration.Service(
        model.ServiceId('service'), model.ProfileId('patient')
    )
    names = [model.TeamId(f'team-{number}') for number in range(TEAMS)]
    return configuration.Configuration(
        profiles_by_id=dict(profiles),
        services_by_id={service.name: service},
        queues_by_id={
            name: configuration.Queue(
                model.QueueId(name), service.name, model.ProfileId(name)
            )
            for name in profiles
        },
        teams_by_id={name: configuration.Team(name) for name in names},
    )
