"""Views of nodes, workers and configuration for the operator API."""

from collections.abc import Mapping

import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestackd.admin import dependencies as dependency_types
from samphirestackd import context as contexts


class NodeView(msgspec.Struct, frozen=True):
    """An entry VM as the answering node sees it."""

    vm_id: model.VmId
    zone: model.ZoneId
    address: str
    alive: bool
    draining: bool
    fresh: bool
    revision: int
    leads: bool
    answering: bool = False
    """Whether this is the node that answers."""
    age_s: float | None = None
    """Seconds since its configuration was confirmed as current; known for the
    answering node only."""


class WorkerView(msgspec.Struct, frozen=True):
    """A worker of any zone."""

    vm_id: model.VmId
    zone: model.ZoneId
    rack: model.RackId
    address: str
    listed: model.VmState
    """State in the platform's list."""
    capacity: model.Resources
    state: str = ''
    """State at the zone leader; empty if another node leads."""


def redacted(
    current: configuration.Configuration,
) -> configuration.Configuration:
    """Return a configuration without the verifiers of keys."""
    keys = {
        key_id: msgspec.structs.replace(key, salt='', digest='')
        for key_id, key in current.keys_by_id.items()
    }
    return msgspec.structs.replace(current, keys_by_id=keys)


def nodes(
    context: contexts.Context, draining: bool, age_s: float
) -> list[NodeView]:
    """Return all known entry VMs, ordered by zone and name."""
    own = NodeView(
        vm_id=context.settings.vm_id,
        zone=context.settings.zone,
        address=context.settings.listen.peers,
        alive=True,
        draining=draining,
        fresh=context.view.is_fresh(context.clock()),
        revision=context.view.current.revision,
        leads=_leads(context, context.settings.zone, context.settings.vm_id),
        answering=True,
        age_s=age_s,
    )
    others = [
        NodeView(
            vm_id=peer.vm_id,
            zone=peer.zone,
            address=peer.address,
            alive=peer.alive,
            draining=peer.draining,
            # The last heartbeat of a dead node is outdated.
            fresh=peer.alive and peer.fresh,
            revision=peer.revision,
            leads=_leads(context, peer.zone, peer.vm_id),
        )
        for peer in context.links.peers_by_id().values()
    ]
    return sorted([own, *others], key=lambda node: (node.zone, node.vm_id))


def _leads(
    context: contexts.Context, zone: model.ZoneId, vm_id: model.VmId
) -> bool:
    leader = context.leaders.leader_of(zone)
    return leader is not None and leader.vm_id == vm_id


def workers(
    context: contexts.Context, leader_state: dependency_types.LeaderState
) -> list[WorkerView]:
    """Return all workers, ordered by zone and name."""
    states: Mapping[model.VmId, str] = leader_state.worker_states()
    views = [
        WorkerView(
            vm_id=vm.vm_id,
            zone=vm.zone,
            rack=vm.rack,
            address=vm.address,
            listed=vm.state,
            capacity=vm.capacity,
            state=states.get(vm.vm_id, ''),
        )
        for vm in context.vms.vms_by_id().values()
        if vm.role is model.VmRole.WORKER
    ]
    return sorted(views, key=lambda view: (view.zone, view.vm_id))
