"""In-memory fakes of what the dispatcher and the edge are built from."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import time
from typing import Any
from typing import cast

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import settings
from samphirestackd import context as contexts
from samphirestackd.dispatch import records
from samphirestackd.dispatch import timings
from samphirestackd import interfaces

OWN = model.VmId('arree-1')
LEADER = model.VmId('arree-2')
OTHER_LEADER = model.VmId('menez-1')
ZONE = model.ZoneId('arree')
OTHER_ZONE = model.ZoneId('menez')
FAST = timings.Timings(
    resend_s=0.03,
    resend_max_s=0.06,
    spill_after_s=0.05,
    cancel_batch_s=0.001,
    release_retry_s=0.01,
    silent_after_s=0.02,
    retry_pause_s=0.001,
)


class Links:
    """Links that keep what is sent and deliver what a test says."""

    own_id = OWN

    def __init__(self) -> None:
        self.sent: list[tuple[model.VmId, messages.AnyMessage]] = []
        self.handlers: dict[type, list[interfaces.Handler]] = {}
        self.dead: set[model.VmId] = set()
        self.on_send: Callable[[model.VmId, messages.AnyMessage], None] = (
            lambda to, message: None
        )
        self.changed = asyncio.Event()

    def send(self, to: model.VmId, message: messages.AnyMessage) -> bool:
        if to in self.dead:
            return False
        self.sent.append((to, message))
        self.changed.set()
        self.on_send(to, message)
        return True

    def subscribe(self, kind: type, handler: interfaces.Handler) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def peers_by_id(self) -> dict[model.VmId, interfaces.Peer]:
        pairs = ((LEADER, ZONE), (OTHER_LEADER, OTHER_ZONE))
        return {
            vm_id: interfaces.Peer(
                vm_id, zone, '', True, False, True, model.Revision(1)
            )
            for vm_id, zone in pairs
        }

    def deliver(self, sender: model.VmId, message: Any) -> None:
        """Hand a message over as if it came from another node."""
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)

    def of(self, kind: type, to: model.VmId | None = None) -> list[Any]:
        """Return the sent messages of a type, in order."""
        return [
            message
            for target, message in self.sent
            if isinstance(message, kind) and to in (None, target)
        ]

    async def until(
        self, kind: type, to: model.VmId | None = None, count: int = 1
    ) -> list[Any]:
        """Wait until so many messages of a kind were sent to a node."""
        async with asyncio.timeout(5):
            while len(self.of(kind, to)) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.of(kind, to)


class Leaders:
    """Leaders of the zones, as a test sets them."""

    def __init__(self) -> None:
        self.by_zone: dict[model.ZoneId, interfaces.Leader] = {}
        self.handlers: list[Any] = []

    def leader_of(self, zone: model.ZoneId) -> interfaces.Leader | None:
        return self.by_zone.get(zone)

    def is_valid_leader(self, now: float) -> bool:
        return False

    def on_leader_change(self, handler: object) -> None:
        self.handlers.append(handler)

    def set(
        self, zone: model.ZoneId, vm_id: model.VmId | None, epoch: int = 1
    ) -> None:
        """Change the leader of a zone, or take it away, and tell all."""
        leader = vm_id and interfaces.Leader(vm_id, model.Epoch(epoch))
        if leader:
            self.by_zone[zone] = leader
        else:
            self.by_zone.pop(zone, None)
        for handler in self.handlers:
            handler(zone, leader or None)


class View:
    """A configuration that a test sets."""

    def __init__(self, current: configuration.Configuration) -> None:
        self.current = current
        self.fresh = True

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    def on_change(self, handler: object) -> None:
        return None


class Events:
    """Keeps recorded events."""

    def __init__(self) -> None:
        self.kinds: list[str] = []
        self.fields: list[dict[str, object]] = []

    def record(self, kind: str, **fields: object) -> None:
        self.kinds.append(kind)
        self.fields.append(fields)


class Vms:
    """A list of VMs that a test sets."""

    def __init__(self) -> None:
        self.vms: dict[model.VmId, model.Vm] = {}

    def vms_by_id(self) -> dict[model.VmId, model.Vm]:
        return self.vms

    def on_vms(self, handler: object) -> None:
        return None


class Table:
    """A table in memory whose next transactions a test can break."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], platform.Row] = {}
        self.faults: list[Exception] = []
        self.lost_responses = 0
        self.down = False

    async def get(self, table: str, key: str) -> platform.Row | None:
        if self.down:
            raise errors.StoreUnavailable('down')
        return self.rows.get((table, key))

    async def scan(self, table: str, prefix: str) -> list[platform.Row]:
        return [
            row
            for (name, key), row in sorted(self.rows.items())
            if name == table and key.startswith(prefix)
        ]

    async def transact(self, writes: Sequence[platform.Write]) -> list[int]:
        if self.down:
            raise errors.StoreUnavailable('down')
        if self.faults:
            raise self.faults.pop(0)
        (write,) = writes
        key = (write.table, write.key)
        version = self.rows[key].version if key in self.rows else 0
        if write.expect is not None and write.expect != version:
            raise errors.TransactionConflict({key: version})
        if write.value is None:
            self.rows.pop(key, None)
        else:
            value = msgspec.json.decode(msgspec.json.encode(write.value))
            self.rows[key] = platform.Row(write.key, value, version + 1)
        if self.lost_responses:
            self.lost_responses -= 1
            raise errors.OutcomeUnknown('no response')
        return [version + 1]


class Upstreams:
    """An upstream client whose answers a test scripts."""

    def __init__(self) -> None:
        self.outcomes: list[object] = []
        self.sent: list[tuple[str, str, bytes]] = []
        self.active: tuple[platform.ActiveRequest, ...] = ()
        self.status_error: Exception | None = None
        self.statuses = 0
        self.arrived = asyncio.Event()
        self.asked = asyncio.Event()

    async def work(
        self,
        address: str,
        request_id: str,
        team: str,
        epoch: int,
        body: bytes,
        deadline_s: float,
    ) -> platform.UpstreamAnswer:
        self.sent.append((address, request_id, body))
        self.arrived.set()
        outcome: Any = self.outcomes.pop(0) if self.outcomes else b'"ok"'
        if isinstance(outcome, asyncio.Event):
            await outcome.wait()
            outcome = b'"late"'
        if isinstance(outcome, Exception):
            raise outcome
        return platform.UpstreamAnswer(200, outcome)

    async def until_statuses(self, count: int) -> None:
        """Wait until the status was asked for so many times."""
        async with asyncio.timeout(5):
            while self.statuses < count:
                self.asked.clear()
                await self.asked.wait()

    async def status(self, address: str) -> platform.UpstreamStatus:
        self.statuses += 1
        self.asked.set()
        if self.status_error is not None:
            raise self.status_error
        return platform.UpstreamStatus(8, self.active, False)


class World:
    """All fakes together, and grants on demand."""

    def __init__(self, **profile: Any) -> None:
        self.current, self.key = a_configuration(**profile)
        self.links = Links()
        self.leaders = Leaders()
        self.leaders.set(ZONE, LEADER)
        self.view = View(self.current)
        self.events = Events()
        self.vms = Vms()
        self.table = Table()
        self.upstreams = Upstreams()
        self.granted = 0
        self.context = contexts.Context(
            settings=a_settings(),
            clock=time.monotonic,
            links=self.links,
            view=self.view,
            leaders=self.leaders,
            terms=cast(interfaces.OwnTerms, None),
            vms=self.vms,
            events=self.events,
            table=self.table,
            agent_at=cast(Callable[[str], platform.WorkerAgent], None),
            upstreams=self.upstreams,
        )

    def grant_always(self) -> None:
        """Grant every question at once."""

        def answer(to: model.VmId, message: object) -> None:
            if isinstance(message, messages.RequestSlot):
                self.links.deliver(to, self.grant(message.request_id))

        self.links.on_send = answer

    def grant(
        self, request_id: str = 'r1', epoch: int = 1, grant_id: str = ''
    ) -> messages.Grant:
        """Return a new grant."""
        self.granted += 1
        return messages.Grant(
            model.RequestId(request_id),
            model.GrantId(grant_id or f'g{self.granted}'),
            model.UpstreamId(f'u{self.granted}'),
            f'10.0.0.{self.granted}:80',
            model.Epoch(epoch),
        )

    def call(self, **changes: Any) -> records.Call:
        """Return a non-idempotent call of team a on queue work."""
        queue = self.current.queues_by_id['work']
        call = records.Call(
            request_id=model.RequestId('r1'),
            queue=queue,
            profile=self.current.profile_of(queue),
            team=model.TeamId('a'),
            body=b'{}',
            idempotent=False,
            deadline_s=5.0,
        )
        return msgspec.structs.replace(call, **changes)


def a_settings(token_file: str = 'token', **edge: int) -> settings.Settings:
    """Return settings of an entry with other bounds of the edge."""
    return settings.from_data(
        'test.toml',
        {
            'node': {'vm_id': OWN, 'zone': ZONE},
            'listen': {
                'callers': '127.0.0.1:8000',
                'operators': '127.0.0.1:8001',
                'peers': '127.0.0.1:8002',
            },
            'platform': dict.fromkeys(
                ('table_url', 'objects_url', 'vms_url'), 'http://127.0.0.1:1'
            ),
            'security': {'operator_token_file': token_file},
            'edge': edge,
        },
    )


def a_configuration(
    **profile: Any,
) -> tuple[configuration.Configuration, str]:
    """Return queues ``work`` (keyed) and ``free`` (open) and team a's key."""
    key, secret = configuration.new_key(model.TeamId('a'))
    name = model.ProfileId('p')
    service = configuration.Service(model.ServiceId('s'), name)
    work = configuration.Queue(model.QueueId('work'), service.name)
    free = configuration.Queue(model.QueueId('free'), service.name, open=True)
    changes: list[configuration.Change] = [
        configuration.PutProfile(configuration.Profile(name, **profile)),
        configuration.PutService(service),
        *(
            configuration.PutTeam(configuration.Team(model.TeamId(team)))
            for team in ('a', 'b', 'public')
        ),
        configuration.PutQueue(work),
        configuration.PutQueue(free),
        configuration.PutKey(key),
        configuration.PutZone(configuration.Zone(ZONE)),
        configuration.PutZone(configuration.Zone(OTHER_ZONE)),
    ]
    empty = configuration.Configuration()
    made = configuration.apply(empty, changes, author='t', wall_time_s=0.0)
    return made, secret
