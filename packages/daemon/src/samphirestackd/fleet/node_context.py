"""Dependencies that the components of the fleet daemon share."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from samphirestack.fleet import evacuation
from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack.fleet import upkeep
from samphirestack import model
from samphirestackd.fleet import decision_log
from samphirestackd.fleet import metrics


class Bounds(msgspec.Struct, frozen=True):
    """Time limits that the platform sets, in seconds."""

    max_lease_s: float
    """Longest lease that workers accept."""
    revocation_s: float
    """Time within which a withdrawn key must stop working."""
    drain_s: float
    """Time that a process has to finish after a signal to stop."""
    upkeep_s: float
    """Time for which a machine is down during its upkeep."""
    status_s: float
    """Time for which clients may query the state of an ended job."""
    evacuation_s: float = float('inf')
    """Time after the evacuation of a zone from which nothing may start
    there; infinite if none is stated."""


class Registry(Protocol):
    """Decodes the rows that operators and workers write to the store."""

    workers_table: str
    operator_table: str

    def worker(self, row: ports.StoredRow) -> specs.WorkerEntry | None:
        """Return the worker of a row, or ``None`` if the row is no worker."""

    def configuration(
        self, row: ports.StoredRow
    ) -> specs.FleetConfiguration | None:
        """Return the configuration in a row, or ``None`` for other rows."""

    def wave(self, row: ports.StoredRow) -> upkeep.Wave | None:
        """Return the upkeep wave in a row, or ``None`` for other rows."""

    def evacuated_zone(self, row: ports.StoredRow) -> model.ZoneId | None:
        """Return the zone of an evacuation, or ``None`` for other rows.

        The row may be removed, and then has no value.
        """

    def wave_status(self, number: int, completed: bool) -> ports.Put:
        """Return the row that shows the operator the state of a wave."""


class Context(msgspec.Struct):
    """Objects of which a process has one instance."""

    vm_id: model.VmId
    zone: model.ZoneId
    strength: float
    """Capacity of this VM for holding the term; see ``term.strength``."""
    bounds: Bounds
    store: ports.RowStore
    workers: ports.WorkerPort
    advisor: ports.Advisor
    machines: ports.Machines
    registry: Registry
    log: decision_log.DecisionLog
    metrics: metrics.Metrics
    configuration: Callable[[], specs.FleetConfiguration | None]
    waves: Callable[[], dict[int, upkeep.ReceivedWave]]
    memory_bytes: float = float('inf')
    """Memory that the VM gives this process."""
    evacuations: Callable[[], evacuation.Evacuations] = evacuation.Evacuations
    refresh_evacuations: Callable[[], None] = lambda: None
    """Reads the evacuations without waiting for their feed."""
