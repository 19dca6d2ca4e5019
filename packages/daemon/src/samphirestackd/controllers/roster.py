"""Tracks absent VMs and derives changes of zones and their arbiters."""

from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from samphirestack import configuration
from samphirestack import model

GONE_AFTER_S = 60.0
"""Time without being listed by the platform, or without being reachable, after
which a VM counts as gone.  The list lags behind, so a shorter absence is not
conclusive."""

MAX_ARBITERS = 5


class AbsenceTracker:
    """Tracks since when expected VMs have been absent."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def update(
        self, now: float, expected: Collection[str], present: Collection[str]
    ) -> None:
        """Record at ``now``, in monotonic seconds, which VMs are absent."""
        missing = set(expected) - set(present)
        self._since = {vm_id: self._since.get(vm_id, now) for vm_id in missing}

    def gone(self, now: float) -> set[str]:
        """Return the VMs that have been absent for ``GONE_AFTER_S``."""
        return {
            vm_id
            for vm_id, since in self._since.items()
            if now - since >= GONE_AFTER_S
        }


def choose_arbiters(workers: list[model.Vm]) -> tuple[model.WorkerId, ...]:
    """Return up to five of a zone's workers, spread over its racks."""
    chosen: list[model.Vm] = []
    remaining = sorted(workers, key=lambda vm: (vm.rack, vm.vm_id))
    while remaining and len(chosen) < MAX_ARBITERS:
        chosen.append(_from_least_used_rack(chosen, remaining))
        remaining.remove(chosen[-1])
    return tuple(sorted(model.WorkerId(vm.vm_id) for vm in chosen))


def _from_least_used_rack(
    chosen: list[model.Vm], remaining: list[model.Vm]
) -> model.Vm:
    racks = [vm.rack for vm in chosen]
    return min(remaining, key=lambda vm: (racks.count(vm.rack), vm.vm_id))


def updated_arbiters(
    current: tuple[model.WorkerId, ...],
    workers: list[model.Vm],
    gone: Collection[str],
    may_grow: bool,
) -> tuple[model.WorkerId, ...]:
    """Return the arbiters after replacing those that no longer exist.

    A partitioned node may still lead with an older set.  Any majority of that
    set intersects any majority of the new one as long as only arbiters that no
    longer exist are replaced and the size stays the same.  The set may
    therefore grow only by one at a time, and only while no node of the zone
    uses an older one.

    :param gone: workers that no longer exist.
    :param may_grow: whether all entries of the zone use ``current``.
    """
    if not current:
        return choose_arbiters(workers)
    kept = [worker for worker in current if worker not in gone]
    by_id = {model.WorkerId(vm.vm_id): vm for vm in workers}
    chosen = [by_id[worker] for worker in kept if worker in by_id]
    spare = [vm for vm in workers if model.WorkerId(vm.vm_id) not in current]
    target_size = len(current)
    if may_grow and len(kept) == target_size and target_size < MAX_ARBITERS:
        target_size += 1
    while spare and len(kept) < target_size:
        vm = _from_least_used_rack(chosen, spare)
        spare.remove(vm)
        chosen.append(vm)
        kept.append(model.WorkerId(vm.vm_id))
    # Without a spare worker, gone arbiters stay in the set, whose size must
    # not shrink, until a worker can replace them.
    kept += [worker for worker in current if worker not in kept][
        : target_size - len(kept)
    ]
    return tuple(sorted(kept))


def preserve_arbiters(
    current: configuration.Configuration,
    changes: list[configuration.Change],
) -> list[configuration.Change]:
    """Return changes that leave existing arbiters as they are.

    Operators edit zones as a whole and may send arbiters of an older
    revision; only the rules of :func:`updated_arbiters` may change them.
    """
    return [_preserve_arbiters_in(current, change) for change in changes]


def _preserve_arbiters_in(
    current: configuration.Configuration, change: configuration.Change
) -> configuration.Change:
    if not isinstance(change, configuration.PutZone):
        return change
    known = current.zones_by_id.get(change.zone.name)
    if known is None or not known.arbiters:
        return change
    return configuration.PutZone(
        msgspec.structs.replace(change.zone, arbiters=known.arbiters)
    )


def zone_changes(
    current: configuration.Configuration,
    vms: Mapping[model.VmId, model.Vm],
    gone: Collection[str],
    may_grow: Collection[model.ZoneId],
) -> list[configuration.Change]:
    """Return the changes of zones that the list of VMs requires."""
    changes: list[configuration.Change] = []
    workers_by_zone: dict[model.ZoneId, list[model.Vm]] = {}
    for vm in vms.values():
        workers = workers_by_zone.setdefault(vm.zone, [])
        if vm.role is model.VmRole.WORKER and vm.state is model.VmState.LIVE:
            workers.append(vm)
    for name, workers in sorted(workers_by_zone.items()):
        zone = current.zones_by_id.get(name) or configuration.Zone(name)
        arbiters = updated_arbiters(
            zone.arbiters, workers, gone, name in may_grow
        )
        if arbiters != zone.arbiters or name not in current.zones_by_id:
            changes.append(
                configuration.PutZone(
                    msgspec.structs.replace(zone, arbiters=arbiters)
                )
            )
    return changes
