"""The VMs of a scenario."""

from samphirestack import model
from samphirestack_testing import scenario


def vm_ids(
    plan: scenario.Scenario, zone: str, role: model.VmRole
) -> list[model.VmId]:
    """Return the names of the VMs of a role in a zone."""
    own = scenario.by_name(plan.zones)[zone]
    counts = {
        model.VmRole.ENTRY: own.entries,
        model.VmRole.WORKER: own.workers,
        model.VmRole.UPSTREAM: own.upstreams,
    }
    return [scenario.vm_id(zone, role, index) for index in range(counts[role])]


def entry_zones(plan: scenario.Scenario) -> dict[model.VmId, str]:
    """Return the zone of each entry VM."""
    return {
        vm_id: zone.name
        for zone in plan.zones
        for vm_id in vm_ids(plan, zone.name, model.VmRole.ENTRY)
    }


def vms(plan: scenario.Scenario, role: model.VmRole) -> tuple[model.Vm, ...]:
    """Return the VMs of a role, without addresses."""
    return tuple(
        _vm(plan, zone.name, role, index, vm_id)
        for zone in plan.zones
        for index, vm_id in enumerate(vm_ids(plan, zone.name, role))
    )


def _vm(
    plan: scenario.Scenario,
    zone: str,
    role: model.VmRole,
    index: int,
    vm_id: model.VmId,
) -> model.Vm:
    zone_id = model.ZoneId(zone)
    if role is model.VmRole.WORKER:
        rack = model.RackId(f'rack-{index // plan.workers.per_rack}')
        capacity = plan.workers.capacity
        return model.Vm(vm_id, '', role, zone_id, rack=rack, capacity=capacity)
    if role is model.VmRole.UPSTREAM:
        return model.Vm(
            vm_id,
            '',
            role,
            zone_id,
            service=model.ServiceId(plan.upstreams.service),
            slots=plan.upstreams.slots,
            connections=plan.upstreams.connections,
        )
    return model.Vm(vm_id, '', role, zone_id)
