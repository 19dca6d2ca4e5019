"""Slices of a limit under lost, late and failed writes and takeovers.

A state machine test runs the limits controllers of three zone leaders
against one table.  The slices in the ledgers of the present leaders must
never sum to more than the limit.  Once the table works again, they must sum
to exactly the limit.
"""

import asyncio
import contextlib
import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from samphirestack import configuration as configurations
from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import entry_world
from samphirestackd.controllers import limits
from samphirestackd.controllers import team_accounting
from samphirestackd import interfaces

ZONES = ('x', 'y', 'z')
TEAM = model.TeamId('a')
NONE = model.Resources()
MODES = ('works', 'works', 'works', 'down', 'lost', 'late')


class Table:
    """A table whose writes can fail or take effect late or unanswered."""

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}
        self.mode = 'works'
        self.late: list[list[platform.Write]] = []

    async def scan(self, table: str, prefix: str) -> list[platform.Row]:
        if self.mode == 'down':
            raise errors.StoreUnavailable('down')
        return [row for key, row in self.rows.items() if prefix in key]

    async def transact(self, writes: list[platform.Write]) -> list[int]:
        if self.mode == 'down':
            raise errors.StoreUnavailable('down')
        if self.mode == 'late':
            self.late.append(list(writes))
            raise errors.OutcomeUnknown('no answer')
        self.apply(writes)
        if self.mode == 'lost':
            raise errors.OutcomeUnknown('no answer')
        return []

    def apply(self, writes: list[platform.Write]) -> None:
        for write in writes:
            row = self.rows.get(write.key)
            if write.expect != (row.version if row else 0):
                raise errors.TransactionConflict({})
        for write in writes:
            version = (write.expect or 0) + 1
            self.rows[write.key] = platform.Row(
                write.key, write.value, version
            )


class Zone:
    """The leader of one zone in one term."""

    def __init__(self, name: str, epoch: int, world: 'SliceMachine') -> None:
        self.name = name
        self.accounting = team_accounting.create_accounting()
        self.links = entry_world.Links()
        self.links.on_send = world.deliver
        self.links.peers_by_id = lambda: {  # type: ignore[method-assign]
            zone: interfaces.Peer(
                zone, zone, '', True, False, True, model.Revision(1)
            )
            for zone in ZONES
        }
        settings = msgspec.structs.replace(
            entry_world.a_settings(),
            node=msgspec.structs.replace(
                entry_world.a_settings().node, vm_id=name, zone=name
            ),
        )
        context = types.SimpleNamespace(
            settings=settings,
            clock=lambda: world.now,
            links=self.links,
            view=world.view,
            leaders=world,
            events=entry_world.Events(),
            table=world.table,
        )
        self.configure(world.view.current)
        self.controller = limits.create(context, self.accounting, self)
        self.controller.set_term(interfaces.Term(model.Epoch(epoch), 0.0, 0.0))

    def configure(self, current: configurations.Configuration) -> None:
        self.accounting.ledger.configure(current.teams_by_id)

    def zone_state(self, now: float) -> messages.ZoneState:
        used = tuple(self.accounting.ledger.usages())
        return messages.ZoneState(self.name, model.Epoch(1), 0, 0, NONE, used)

    @property
    def size(self) -> int:
        return self.accounting.ledger.slice_of(TEAM).running or 0


class SliceMachine(stateful.RuleBasedStateMachine):
    """Changes the limit, use, leaders and table of one team's slices."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.epoch = 0
        self.revision = 0
        self.table = Table()
        self.view = entry_world.View(configurations.Configuration())
        self.zones: dict[str, Zone] = {}
        self.bound = 0
        self.use_bound = 0
        self.set_limit(10)
        for name in ZONES:
            self.take_over(name)
        self.settle()

    def leader_of(self, zone: str) -> interfaces.Leader | None:
        return interfaces.Leader(zone, model.Epoch(self.epoch))

    def is_valid_leader(self, now: float) -> bool:
        return True

    def deliver(self, to: str, message: messages.AnyMessage) -> None:
        self.zones[to].links.deliver(self.asking, message)

    @stateful.rule(name=strategies.sampled_from(ZONES))
    def take_over(self, name: str) -> None:
        self.epoch += 1
        self.zones[name] = Zone(name, self.epoch, self)

    @stateful.rule(limit=strategies.sampled_from((4, 10, 16)))
    def set_limit(self, limit: int) -> None:
        self.revision += 1
        self.view.current = configurations.Configuration(
            revision=model.Revision(self.revision),
            teams_by_id={
                TEAM: configurations.Team(
                    TEAM, limit=configurations.Limit(limit)
                )
            },
            zones_by_id={name: configurations.Zone(name) for name in ZONES},
        )
        self.bound = max(self.bound, limit)
        self.use_bound = max(self.use_bound, limit)
        for zone in self.zones.values():
            zone.configure(self.view.current)
            zone.controller.refresh()

    @stateful.rule(
        name=strategies.sampled_from(ZONES), count=strategies.integers(1, 8)
    )
    def start_work(self, name: str, count: int) -> None:
        for _ in range(count):
            self.zones[name].accounting.ledger.try_acquire(TEAM, 1, NONE)

    @stateful.rule(name=strategies.sampled_from(ZONES))
    def end_work(self, name: str) -> None:
        ledger = self.zones[name].accounting.ledger
        ledger.release(TEAM, ledger.usage(TEAM).running, NONE)

    @stateful.rule(
        name=strategies.sampled_from(ZONES),
        mode=strategies.sampled_from(MODES),
    )
    def step(self, name: str, mode: str) -> None:
        self.now += 1.0
        self.asking = name
        self.table.mode = mode
        with contextlib.suppress(errors.SamphireError):
            asyncio.run(self.zones[name].controller.step())
        self.table.mode = 'works'

    @stateful.rule(
        name=strategies.sampled_from(ZONES),
        mode=strategies.sampled_from(MODES),
    )
    def move(self, name: str, mode: str) -> None:
        """Let a zone ask the others for slices; their writes can fail."""
        self.start_work(name, 8)
        self.step(name, 'works')
        for donor in ZONES:
            if donor != name:
                self.step(donor, mode)

    @stateful.rule(
        index=strategies.integers(0, 5), reader=strategies.sampled_from(ZONES)
    )
    def arrive(self, index: int, reader: str) -> None:
        """Apply a late write, and let one zone read it before the others."""
        if self.table.late:
            writes = self.table.late.pop(index % len(self.table.late))
            with contextlib.suppress(errors.TransactionConflict):
                self.table.apply(writes)
            self.zones[reader].controller.refresh()
            self.step(reader, 'works')

    @stateful.rule()
    def read_everything(self) -> None:
        for zone in self.zones.values():
            zone.controller.refresh()

    @stateful.rule()
    def settle(self) -> None:
        for _ in range(8):
            self.read_everything()
            for name in ZONES:
                self.step(name, 'works')
        self.read_everything()
        for name in ZONES:
            self.step(name, 'works')
        limit = self.view.current.teams_by_id[TEAM].limit.running
        sizes = {name: zone.size for name, zone in self.zones.items()}
        if self.used() <= limit:
            assert sum(sizes.values()) == limit, sizes
        self.bound = limit
        self.use_bound = max(limit, self.used())

    def used(self) -> int:
        return sum(
            zone.accounting.ledger.usage(TEAM).running
            for zone in self.zones.values()
        )

    @stateful.invariant()
    def use_is_within_the_limit(self) -> None:
        assert self.used() <= self.use_bound, 'more runs than allowed'

    @stateful.invariant()
    def sum_is_within_the_limit(self) -> None:
        sizes = {name: zone.size for name, zone in self.zones.items()}
        assert sum(sizes.values()) <= self.bound, sizes

    def teardown(self) -> None:
        """Check that all of the limit is distributed after the faults."""
        self.settle()


SliceMachine.TestCase.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)


class TestSlices(SliceMachine.TestCase):
    """Slices never exceed the limit in total, and finally sum to it."""


class TestTakeover:
    """A former leader's transaction has no effect on a claimed row."""

    def test_late_move_of_a_former_leader_changes_nothing(self) -> None:
        """Fails if a new leader uses a row that it has not claimed."""
        machine = SliceMachine()
        machine.move('x', 'late')
        assert machine.table.late
        for name in ('y', 'z'):
            machine.take_over(name)
            machine.step(name, 'works')
            machine.step(name, 'works')
        machine.arrive(0, 'x')
        machine.sum_is_within_the_limit()
        machine.teardown()
