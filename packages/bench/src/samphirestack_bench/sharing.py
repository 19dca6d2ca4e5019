"""Simulated zones in which every team always has requests waiting.

Each policy decides whose request takes a slot that became free.  Time is
simulated; work times are drawn anew for each start.
"""

from collections import deque
import heapq
import random
from typing import Protocol

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.leader import outgoing
from samphirestack.internal.leader import requests
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestack_bench import clusters

SHARES = {
    'a': 1.0,
    'b': 1.0,
    'c': 2.0,
    'd': 2.0,
    'e': 4.0,
    'f': 7.0,
}
"""They don't divide the slots evenly."""
MEAN_WORK_S = {'a': 0.4, 'b': 0.1, 'c': 0.2, 'd': 0.1, 'e': 0.2, 'f': 0.1}
"""Long and short work, so that counting requests is not enough."""
UPSTREAMS = 24
SLOTS = 8
CAPACITY = UPSTREAMS * SLOTS
BACKLOG = 200
"""Waiting requests of each team."""
TICK_S = 0.05
STATUS_S = 0.5
START_S = 1000.0
ENTRY = model.VmId('entry')
ZONE = model.ZoneId('zone')
QUEUE = model.QueueId('queue')
SERVICE = model.ServiceId('service')
PROFILE = model.ProfileId('profile')


class Policy(Protocol):
    """Chooses which team's request takes a free slot."""

    def start(self, team: str) -> None:
        """Count a started request."""

    def end(self, team: str) -> None:
        """Count an ended request."""

    def next_team(self) -> str | None:
        """Return the team whose request starts next, if any may."""


class Fifo:
    """Starts requests in the order of their arrival.

    Each team replaces a started request by a new one at the end.
    """

    def __init__(self, rng: random.Random) -> None:
        waiting = [team for team in SHARES for _ in range(BACKLOG)]
        rng.shuffle(waiting)
        self._waiting = deque(waiting)

    def start(self, team: str) -> None:
        """Queue the next request of the team."""
        self._waiting.append(team)

    def end(self, team: str) -> None:
        """Do nothing."""

    def next_team(self) -> str | None:
        """Return the team of the oldest request."""
        return self._waiting.popleft()


class StaticShares:
    """Gives each team a fixed number of slots, rounded down."""

    def __init__(self) -> None:
        whole = sum(SHARES.values())
        self._free = {
            team: int(CAPACITY * share / whole)
            for team, share in SHARES.items()
        }

    def start(self, team: str) -> None:
        """Take a slot of the team."""
        self._free[team] -= 1

    def end(self, team: str) -> None:
        """Give a slot of the team back."""
        self._free[team] += 1

    def next_team(self) -> str | None:
        """Return a team with a free slot of its own."""
        return next((team for team, free in self._free.items() if free), None)


def simulate_policy(
    policy: Policy, seconds: float, rng: random.Random
) -> list[clusters.Slot]:
    """Return the slot times under a baseline policy."""
    ends: list[tuple[float, int, str]] = []
    slots: list[clusters.Slot] = []
    now = 0.0
    while now < seconds:
        while len(ends) < CAPACITY:
            team = policy.next_team()
            if team is None:
                break
            policy.start(team)
            end = now + rng.expovariate(1 / MEAN_WORK_S[team])
            slots.append(clusters.Slot(team, now, end))
            heapq.heappush(ends, (end, len(slots), team))
        now, _, team = heapq.heappop(ends)
        policy.end(team)
    return slots


class Zone:
    """The request scheduler of a zone whose teams are all backlogged.

    :param upstreams: the number of upstreams in the zone.
    """

    def __init__(self, rng: random.Random, upstreams: int) -> None:
        self.slots: list[clusters.Slot] = []
        self._rng = rng
        self._now = 0.0
        self._next_status = 0.0
        self._asked = 0
        self._team_by_request: dict[str, str] = {}
        self._vms = [_upstream(number) for number in range(upstreams)]
        self._active: dict[str, dict[str, platform.ActiveRequest]] = {
            vm.vm_id: {} for vm in self._vms
        }
        self._ends: list[tuple[float, int, messages.Grant, float]] = []
        self._shares = fairshare.ShareTracker()
        self._scheduler = requests.RequestScheduler(
            ENTRY, ZONE, limits.TeamLedger(), self._shares
        )
        self._begin()

    def advance(self, until: float) -> None:
        """End the requests that end before a time and tick once."""
        while self._ends and self._ends[0][0] <= until:
            self._end_one()
        self._now = until
        if self._now >= self._next_status:
            self._next_status += STATUS_S
            self._report()
        self._take(self._scheduler.tick(START_S + self._now))

    def state(self) -> messages.ZoneState:
        """Return what the zone tells the others."""
        return self._scheduler.zone_state(START_S + self._now)

    def hear(self, name: str, state: messages.ZoneState) -> None:
        """Take over the state of another zone."""
        self._shares.set_remote(
            START_S + self._now,
            model.ZoneId(name),
            state.teams,
            state.capacity,
            state.slots,
        )

    def _begin(self) -> None:
        scheduler = self._scheduler
        scheduler.configure(START_S, _configuration())
        scheduler.set_upstreams(START_S, self._vms)
        scheduler.start_term(START_S, model.Epoch(1), START_S)
        self._send(messages.HeldReport(model.Epoch(1), ()))
        teams = [team for team in SHARES for _ in range(BACKLOG)]
        self._rng.shuffle(teams)
        for team in teams:
            self._ask(team)

    def _report(self) -> None:
        for upstream, active in self._active.items():
            status = platform.UpstreamStatus(
                SLOTS, tuple(active.values()), False
            )
            self._scheduler.upstream_status(
                START_S + self._now, model.UpstreamId(upstream), status
            )

    def _end_one(self) -> None:
        self._now, _, grant, begin = heapq.heappop(self._ends)
        request = grant.request_id
        del self._team_by_request[request]
        del self._active[grant.upstream_id][request]
        self._send(
            messages.Release(
                grant.grant_id,
                request,
                verdicts.Verdict.RAN,
                False,
                self._now - begin,
            )
        )

    def _ask(self, team: str) -> None:
        self._asked += 1
        request = model.RequestId(f'request{self._asked}')
        self._team_by_request[request] = team
        self._send(
            messages.RequestSlot(
                request,
                QUEUE,
                model.TeamId(team),
                waited_s=0.0,
                deadline_in_s=1e6,
                attempt=1,
                idempotent=True,
            )
        )

    def _send(self, message: messages.AnyMessage) -> None:
        now = START_S + self._now
        self._take(self._scheduler.handle(now, ENTRY, message))

    def _take(self, items: list[outgoing.Outgoing]) -> None:
        for item in items:
            if isinstance(item.message, messages.Grant):
                self._start(item.message)

    def _start(self, grant: messages.Grant) -> None:
        team = self._team_by_request[grant.request_id]
        work_s = self._rng.expovariate(1 / MEAN_WORK_S[team])
        self._active[grant.upstream_id][grant.request_id] = (
            platform.ActiveRequest(grant.request_id, model.TeamId(team))
        )
        end = self._now + work_s
        self.slots.append(clusters.Slot(team, self._now, end))
        heapq.heappush(self._ends, (end, len(self.slots), grant, self._now))
        self._ask(team)


def simulate_zones(
    zones: int, gossip_s: float, seconds: float, rng: random.Random
) -> list[clusters.Slot]:
    """Return the slot times under request schedulers of equal zones.

    :param gossip_s: interval in which each zone tells the others its use.
    """
    fleet = [
        Zone(random.Random(rng.random()), UPSTREAMS // zones)
        for _ in range(zones)
    ]
    next_gossip = gossip_s
    for step in range(round(seconds / TICK_S) + 1):
        now = step * TICK_S
        for zone in fleet:
            zone.advance(now)
        if now >= next_gossip:
            next_gossip += gossip_s
            _gossip(fleet)
    return [slot for zone in fleet for slot in zone.slots]


def _gossip(fleet: list[Zone]) -> None:
    states = [zone.state() for zone in fleet]
    for index, zone in enumerate(fleet):
        for other, state in enumerate(states):
            if other != index:
                zone.hear(f'zone{other}', state)


def _configuration() -> configurations.Configuration:
    profile = configurations.Profile(PROFILE, max_wait_s=1e6)
    return configurations.Configuration(
        profiles_by_id={PROFILE: profile},
        services_by_id={SERVICE: configurations.Service(SERVICE, PROFILE)},
        queues_by_id={QUEUE: configurations.Queue(QUEUE, SERVICE, PROFILE)},
        teams_by_id={
            team: configurations.Team(model.TeamId(team), share=share)
            for team, share in SHARES.items()
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
