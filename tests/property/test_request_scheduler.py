"""Random faults against the guarantees for requests of a zone.

The state machine simulates entries, upstreams, two leaders and a network
that loses, delays and duplicates messages.  The checks use only the grants
that leaders send and the requests that entries send to upstreams:

- No upstream runs more requests than it has slots.
- No team runs more requests than its slice allows.
- No request gets a second grant while the first one is in use.
- No upstream gets a request after the leader knows that it is leaving.
- Every request is granted or refused after the faults have ended, and
  all slots are freed.
"""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.leader import requests
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts

ZONE = model.ZoneId('z')
SERVICE = model.ServiceId('s')
SLICES = {'a': 2, 'b': None}
SLOTS = {'u1': 2, 'u2': 1}
LEAVABLE = ('u1',)
ENTRIES = ('e1', 'e2')
LEADERS = ('n1', 'n2')
LEADER_TTL_S = 1.5
MAX_DELAY_S = 1.0
"""Longest delay of a message; links without traffic are closed after it."""
SETTLE_STEPS = 300


def _configuration() -> configurations.Configuration:
    urgent = configurations.Profile('urgent', model.Urgency.URGENT)
    patient = configurations.Profile('patient', max_wait_s=10.0)
    return configurations.Configuration(
        profiles_by_id={'urgent': urgent, 'patient': patient},
        services_by_id={'s': configurations.Service(SERVICE, 'patient')},
        queues_by_id={
            name: configurations.Queue(name, SERVICE, name)
            for name in ('urgent', 'patient')
        },
        teams_by_id={
            name: configurations.Team(name, limit=configurations.Limit(size))
            for name, size in SLICES.items()
        },
        members_by_id={
            name: configurations.Member(name, ZONE, f'{name}:1')
            for name in ENTRIES
        },
    )


class Request:
    """A request and its state at the entry."""

    def __init__(self, name: str, team: str, queue: str, ends: float) -> None:
        self.name, self.team, self.queue, self.ends = name, team, queue, ends
        self.attempt = 1
        self.state = 'waiting'
        self.avoid: tuple[str, ...] = ()
        self.grant: messages.Grant | None = None


class Leader:
    """A node with a scheduler that leads until ``valid_until``."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ledger = limits.TeamLedger()
        self.scheduler = requests.RequestScheduler(
            name, ZONE, self.ledger, fairshare.ShareTracker()
        )
        self.scheduler.configure(0.0, _configuration())
        for team, size in SLICES.items():
            self.ledger.set_slice(team, configurations.Limit(size))
        self.valid_until = 0.0
        self.known_leaving: set[str] = set()


class ZoneMachine(stateful.RuleBasedStateMachine):
    """A zone; each rule is an event or a fault."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.epoch = 0
        self.counter = 0
        self.packets: list[tuple[float, str, str, object]] = []
        self.leaders = {name: Leader(name) for name in LEADERS}
        self.leader_by_entry = dict.fromkeys(ENTRIES, ('n1', 0))
        self.requests_by_entry: dict[str, dict[str, Request]] = {
            e: {} for e in ENTRIES
        }
        self.active_by_upstream: dict[str, dict[str, str]] = {
            u: {} for u in SLOTS
        }
        self.leaving: set[str] = set()
        self.checked_grants: set[str] = set()
        self.list_vms()
        self.lead('n1', silent=False)
        self.progress()

    # Events and faults.

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        team=strategies.sampled_from(tuple(SLICES)),
        queue=strategies.sampled_from(('urgent', 'patient')),
        lasts_s=strategies.sampled_from((5.0, 1000.0)),
        count=strategies.integers(1, 5),
    )
    def submit(
        self, entry: str, team: str, queue: str, lasts_s: float, count: int
    ) -> None:
        for _ in range(count):
            self.counter += 1
            request = Request(
                f'r{self.counter}', team, queue, self.now + lasts_s
            )
            self.requests_by_entry[entry][request.name] = request
            self.request_slot(entry, request)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES),
        team=strategies.sampled_from(tuple(SLICES)),
    )
    def saturate(self, entry: str, team: str) -> None:
        """Fill all slots, since only then a wrong count causes a failure."""
        self.submit(entry, team, 'patient', 1000.0, 4)
        self.progress()
        self.deliver_all()

    @stateful.rule(seconds=strategies.sampled_from((0.1, 0.5, 1.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.packets = [
            item for item in self.packets if self.now - item[0] < MAX_DELAY_S
        ]
        self.tick()

    @stateful.rule(index=strategies.integers(0, 50))
    def deliver(self, index: int) -> None:
        if self.packets:
            self.deliver_packet(self.packets.pop(index % len(self.packets)))

    @stateful.rule()
    def progress(self) -> None:
        """Deliver all messages, which is the normal case."""
        self.deliver_all()
        for upstream in SLOTS:
            self.poll(upstream, True)
        self.deliver_all()
        self.wait(0.1)
        self.deliver_all()

    @stateful.rule()
    def deliver_all(self) -> None:
        while self.packets:
            self.deliver_packet(self.packets.pop(0))

    @stateful.rule(index=strategies.integers(0, 50))
    def duplicate(self, index: int) -> None:
        if self.packets:
            self.packets.append(self.packets[index % len(self.packets)])

    @stateful.rule(index=strategies.integers(0, 50))
    def lose(self, index: int) -> None:
        if self.packets:
            self.packets.pop(index % len(self.packets))

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def ask_again(self, entry: str) -> None:
        for request in self.requests_by_entry[entry].values():
            if request.state == 'waiting':
                self.request_slot(entry, request)

    @stateful.rule(
        upstream=strategies.sampled_from(tuple(SLOTS)),
        answers=strategies.booleans(),
    )
    def poll(self, upstream: str, answers: bool) -> None:
        status = platform.UpstreamStatus(
            SLOTS[upstream],
            tuple(
                platform.ActiveRequest(name, team)
                for name, team in self.active_by_upstream[upstream].items()
            ),
            upstream in self.leaving,
        )
        for leader in self.leaders.values():
            content = (upstream, status if answers else None, self.now)
            self.packets.append((self.now, upstream, leader.name, content))

    @stateful.rule(
        upstream=strategies.sampled_from(tuple(SLOTS)),
        index=strategies.integers(0, 3),
    )
    def finish(self, upstream: str, index: int) -> None:
        names = list(self.active_by_upstream[upstream])
        if names:
            name = names[index % len(names)]
            del self.active_by_upstream[upstream][name]
            self.end_attempt(name, upstream, verdicts.Verdict.RAN)

    @stateful.rule(
        upstream=strategies.sampled_from(tuple(SLOTS)),
        has_run=strategies.booleans(),
    )
    def fail(self, upstream: str, has_run: bool) -> None:
        """Break a connection, or refuse a request without running it."""
        for name in list(self.active_by_upstream[upstream])[:1]:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
            if not has_run:
                del self.active_by_upstream[upstream][name]
                verdict = verdicts.Verdict.NOT_RUN
            self.end_attempt(name, upstream, verdict)

    @stateful.rule(
        entry=strategies.sampled_from(ENTRIES), dies=strategies.booleans()
    )
    def lose_entry(self, entry: str, dies: bool) -> None:
        """Cut the link to an entry, whose sent requests may still run."""
        self.packets = [
            item for item in self.packets if entry not in item[1:3]
        ]
        if dies:
            self.requests_by_entry[entry].clear()
        for leader in self.leaders.values():
            self.send_all(leader, leader.scheduler.entry_lost(self.now, entry))

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def cancel(self, entry: str) -> None:
        for request in list(self.requests_by_entry[entry].values())[:1]:
            if request.state == 'waiting':
                del self.requests_by_entry[entry][request.name]
                message = messages.CancelSlots((request.name,))
                self.send(entry, self.leader_by_entry[entry][0], message)

    @stateful.rule(upstream=strategies.sampled_from(LEAVABLE))
    def leave(self, upstream: str) -> None:
        self.leaving.add(upstream)

    @stateful.rule()
    def list_vms(self) -> None:
        vms = [
            model.Vm(
                name,
                f'{name}:1',
                model.VmRole.UPSTREAM,
                ZONE,
                state=model.VmState.LEAVING
                if name in self.leaving
                else model.VmState.LIVE,
                service=SERVICE,
                slots=slots,
            )
            for name, slots in SLOTS.items()
        ]
        for leader in self.leaders.values():
            leader.known_leaving |= self.leaving
            leader.scheduler.set_upstreams(self.now, vms)

    @stateful.rule(
        name=strategies.sampled_from(LEADERS), silent=strategies.booleans()
    )
    def lead(self, name: str, silent: bool) -> None:
        """Start a term; a silent former leader stays valid for its lease."""
        self.epoch += 1
        delay_s = LEADER_TTL_S if silent else 0.0
        for leader in self.leaders.values():
            leader.valid_until = min(
                leader.valid_until, self.now + delay_s - 0.01
            )
        leader = self.leaders[name]
        leader.valid_until = float('inf')
        leader.scheduler.start_term(
            self.now, model.Epoch(self.epoch), self.now + delay_s
        )
        self.tick()

    # Behavior of entries, leaders and the network.

    def request_slot(self, entry: str, request: Request) -> None:
        slot = messages.RequestSlot(
            request.name,
            request.queue,
            request.team,
            0.0,
            request.ends - self.now,
            request.attempt,
            True,
            request.avoid,
        )
        self.send(entry, self.leader_by_entry[entry][0], slot)

    def send(self, sender: str, to: str, message: object) -> None:
        self.packets.append((self.now, sender, to, message))

    def send_all(self, leader: Leader, items: list) -> None:  # type: ignore[type-arg]
        for item in items:
            if isinstance(item.message, messages.Grant):
                self.check_grant(leader, item.message)
            self.send(leader.name, item.to, item.message)

    def tick(self) -> None:
        for leader in self.leaders.values():
            if self.now > leader.valid_until:
                leader.scheduler.end_term(self.now)
            self.send_all(leader, leader.scheduler.tick(self.now))

    def deliver_packet(self, packet: tuple[float, str, str, object]) -> None:
        _, sender, to, message = packet
        if to in self.requests_by_entry:
            self.handle_at_entry(to, sender, message)
            return
        leader = self.leaders[to]
        if self.now > leader.valid_until:
            leader.scheduler.end_term(self.now)
        if isinstance(message, tuple):
            upstream, status, sent_at = message
            if status is not None and status.leaving:
                leader.known_leaving.add(upstream)
            leader.scheduler.upstream_status(
                self.now, upstream, status, sent_at
            )
        else:
            self.send_all(
                leader, leader.scheduler.handle(self.now, sender, message)
            )

    def handle_at_entry(
        self, entry: str, sender: str, message: object
    ) -> None:
        if isinstance(message, messages.LeaderChanged):
            if message.epoch >= self.leader_by_entry[entry][1]:
                self.leader_by_entry[entry] = (sender, message.epoch)
                self.report(entry, sender, message.epoch)
                self.ask_again(entry)
        elif isinstance(message, messages.Refuse):
            request = self.requests_by_entry[entry].get(message.request_id)
            if request is not None and request.state == 'waiting':
                del self.requests_by_entry[entry][request.name]
        elif (
            isinstance(message, messages.Grant)
            and message.epoch >= self.leader_by_entry[entry][1]
        ):
            self.use_grant(entry, sender, message)

    def report(self, entry: str, leader: str, epoch: model.Epoch) -> None:
        grants = tuple(
            messages.HeldGrant(
                request.grant.grant_id,
                request.name,
                request.grant.upstream_id,
                request.queue,
                request.team,
                request.grant.epoch,
                request.attempt,
            )
            for request in self.requests_by_entry[entry].values()
            if request.grant is not None
        )
        self.send(entry, leader, messages.HeldReport(epoch, grants))

    def use_grant(
        self, entry: str, sender: str, grant: messages.Grant
    ) -> None:
        request = self.requests_by_entry[entry].get(grant.request_id)
        if request is not None and request.grant is not None:
            if request.grant.grant_id == grant.grant_id:
                return
        elif request is not None and grant.attempt == request.attempt:
            request.state = 'sent'
            request.grant = grant
            self.active_by_upstream[grant.upstream_id][request.name] = (
                request.team
            )
            self.check_use()
            return
        self.release(entry, sender, grant, verdicts.Verdict.NOT_RUN)

    def release(
        self,
        entry: str,
        leader: str,
        grant: messages.Grant,
        verdict: verdicts.Verdict,
        failed: bool = False,
    ) -> None:
        message = messages.Release(
            grant.grant_id, grant.request_id, verdict, failed, 0.1
        )
        self.send(entry, leader, message)

    def end_attempt(
        self, name: str, upstream: str, verdict: verdicts.Verdict
    ) -> None:
        for entry in ENTRIES:
            request = self.requests_by_entry[entry].get(name)
            if request is None or request.grant is None:
                continue
            if request.grant.upstream_id != upstream:
                continue
            failed = verdict is not verdicts.Verdict.RAN
            leader = self.leader_by_entry[entry][0]
            self.release(entry, leader, request.grant, verdict, failed)
            if not failed:
                del self.requests_by_entry[entry][name]
                continue
            request.grant = None
            request.state = 'waiting'
            request.attempt += 1
            request.avoid = (upstream,)
            self.request_slot(entry, request)

    # Checks.

    def check_grant(self, leader: Leader, grant: messages.Grant) -> None:
        if grant.grant_id in self.checked_grants:
            return
        self.checked_grants.add(grant.grant_id)
        assert grant.upstream_id not in leader.known_leaving, 'leaving'
        for entry in ENTRIES:
            request = self.requests_by_entry[entry].get(grant.request_id)
            assert request is None or request.grant is None, 'granted twice'

    def check_use(self) -> None:
        running: collections.Counter[str] = collections.Counter()
        for upstream, active in self.active_by_upstream.items():
            assert len(active) <= SLOTS[upstream], 'slot used twice'
            running.update(active.values())
        for team, size in SLICES.items():
            assert size is None or running[team] <= size, 'above the slice'

    def teardown(self) -> None:
        """End the faults and check that no request or slot is left."""
        for step in range(SETTLE_STEPS):
            self.wait(0.5)
            self.deliver_all()
            for upstream in SLOTS:
                self.poll(upstream, True)
                self.finish(upstream, 0)
            if step % 2:
                for entry in ENTRIES:
                    self.ask_again(entry)
            self.deliver_all()
        assert self.requests_by_entry == {entry: {} for entry in ENTRIES}, (
            'left waiting'
        )
        for leader in self.leaders.values():
            assert leader.ledger.usages() == [], 'slot never freed'


ZoneMachine.TestCase.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
)


class TestZone(ZoneMachine.TestCase):
    """No slot is used twice, no slice is exceeded and no request is left."""
