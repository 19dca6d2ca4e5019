"""Time per request decision, and how it grows with the waiting requests.

A zone is full, and requests of all teams wait.  Then requests end and
others arrive one by one.  One decision is a release, the grant that follows
from it and the queueing of a new request.
"""

from collections.abc import Iterator
import random
import time

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.leader import outgoing
from samphirestack.internal.leader import requests
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestack_bench import records

DESCRIPTION = 'time per request decision, from 100 to 10,000 waiting'

WAITING = (100, 1_000, 10_000)
TEAMS = (6, 100)
UPSTREAMS = 24
SLOTS = 8
DECISIONS = 20_000
STEP_S = 0.0002
"""Simulated time between two decisions."""

ZONE = model.ZoneId('zone')
ENTRY = model.VmId('entry')
SERVICE = model.ServiceId('service')
QUEUES = ('urgent', 'patient')


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each number of teams and a summary."""
    decisions = DECISIONS // 10 if options.quick else DECISIONS
    by_size = {
        (teams, waiting): _measure(teams, waiting, decisions, options.seed)
        for teams in TEAMS
        for waiting in WAITING
    }
    for record in by_size.values():
        yield {**record}
    few, many = by_size[100, WAITING[0]], by_size[100, WAITING[-1]]
    yield {
        'summary': True,
        'seed': options.seed,
        'per_s_at_target': many['per_s'],
        'growth_ratio': round(many['mean_us'] / few['mean_us'], 3),
    }


def _measure(
    teams: int, waiting: int, decisions: int, seed: int
) -> dict[str, float]:
    zone = _Zone(teams, random.Random(f'{seed}/{teams}/{waiting}'))
    zone.fill(UPSTREAMS * SLOTS + waiting)
    started = time.process_time()
    for _ in range(decisions):
        zone.decide()
    mean_us = (time.process_time() - started) / decisions * 1e6
    return {
        'teams': teams,
        'waiting': waiting,
        'decisions': decisions,
        'mean_us': round(mean_us, 2),
        'per_s': round(1e6 / mean_us),
    }


class _Zone:
    """A scheduler whose upstreams are always full."""

    def __init__(self, teams: int, rng: random.Random) -> None:
        self._rng = rng
        self._now = 1000.0
        self._asked = 0
        self._teams = [model.TeamId(f'team{n}') for n in range(teams)]
        self._granted: list[messages.Grant] = []
        self._scheduler = requests.RequestScheduler(
            ENTRY, ZONE, limits.TeamLedger(), fairshare.ShareTracker()
        )
        self._scheduler.configure(self._now, _configuration(self._teams))
        self._scheduler.set_upstreams(
            self._now, [_upstream(n) for n in range(UPSTREAMS)]
        )
        self._scheduler.start_term(self._now, model.Epoch(1), self._now)
        self._send(messages.HeldReport(model.Epoch(1), ()))

    def fill(self, count: int) -> None:
        """Queue requests and let the first ones take all slots."""
        for _ in range(count):
            self._ask()
        idle = platform.UpstreamStatus(SLOTS, (), False)
        for number in range(UPSTREAMS):
            name = model.UpstreamId(_upstream(number).vm_id)
            self._scheduler.upstream_status(self._now, name, idle)
        self._keep(self._scheduler.tick(self._now))

    def decide(self) -> None:
        """End a request, which starts another one, and queue a new one."""
        self._now += STEP_S
        index = self._rng.randrange(len(self._granted))
        self._granted[index], self._granted[-1] = (
            self._granted[-1],
            self._granted[index],
        )
        grant = self._granted.pop()
        ran = verdicts.Verdict.RAN
        self._send(
            messages.Release(grant.grant_id, grant.request_id, ran, False, 0.1)
        )
        self._ask()

    def _ask(self) -> None:
        self._asked += 1
        self._send(
            messages.RequestSlot(
                model.RequestId(f'request{self._asked}'),
                model.QueueId(self._rng.choice(QUEUES)),
                self._rng.choice(self._teams),
                waited_s=0.0,
                deadline_in_s=300.0,
                attempt=1,
                idempotent=True,
            )
        )

    def _send(self, message: messages.AnyMessage) -> None:
        self._keep(self._scheduler.handle(self._now, ENTRY, message))

    def _keep(self, items: list[outgoing.Outgoing]) -> None:
        for item in items:
            if isinstance(item.message, messages.Grant):
                self._granted.append(item.message)


def _configuration(
    teams: list[model.TeamId],
) -> configurations.Configuration:
    urgent = configurations.Profile(
        model.ProfileId('urgent'), model.Urgency.URGENT
    )
    patient = configurations.Profile(model.ProfileId('patient'))
    service = configurations.Service(SERVICE, patient.name)
    return configurations.Configuration(
        profiles_by_id={'urgent': urgent, 'patient': patient},
        services_by_id={SERVICE: service},
        queues_by_id={
            name: configurations.Queue(
                model.QueueId(name), SERVICE, model.ProfileId(name)
            )
            for name in QUEUES
        },
        teams_by_id={
            team: configurations.Team(team, share=1.0 + index % 3)
            for index, team in enumerate(teams)
        },
    )


def _upstream(number: int) -> model.Vm:
    return model.Vm(
        model.VmId(f'upstream{number}'),
        f'upstream{number}:80',
        model.VmRole.UPSTREAM,
        ZONE,
        service=SERVICE,
        slots=SLOTS,
    )
