"""What the parts of the fleet daemon share."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack.fleet import upkeep
from samphirestack import model
from samphirestackd.fleet import decision_log
from samphirestackd.fleet import metrics


class Bounds(msgspec.Struct, frozen=True):
    """Bounds that the platform sets, in seconds."""

    max_lease_s: float
    """Longest lease that workers accept."""
    revocation_s: float
    """A withdrawn key must not work longer than this."""
    drain_s: float
    """Time to finish after a signal to stop."""
    upkeep_s: float
    """Time that a machine is away for its upkeep."""
    status_s: float
    """How long callers may ask about an ended job."""


class Registry(Protocol):
    """Decodes the rows that operators and workers write."""

    workers_table: str
    operator_table: str

    def worker(self, row: ports.StoredRow) -> specs.WorkerEntry | None:
        """Return a worker, or ``None`` for a row that names none."""

    def configuration(
        self, row: ports.StoredRow
    ) -> specs.FleetConfiguration | None:
        """Return a configuration, or ``None`` for another row."""

    def wave(self, row: ports.StoredRow) -> upkeep.Wave | None:
        """Return a wave of upkeep, or ``None`` for another row."""

    def wave_status(self, number: int, completed: bool) -> ports.Put:
        """Return the row that tells the operator how a wave stands."""


class Context(msgspec.Struct):
    """Parts that are made once for the process."""

    vm_id: model.VmId
    zone: model.ZoneId
    strength: float
    """How well this VM can hold the term; see ``term.strength``."""
    bounds: Bounds
    store: ports.RowStore
    workers: ports.WorkerPort
    advisor: ports.Advisor
    machines: ports.Machines
    registry: Registry
    log: decision_log.DecisionLog
    metrics: metrics.Metrics
    configuration: Callable[[], specs.FleetConfiguration | None]
    waves: Callable[[], dict[int, upkeep.Wave]]
