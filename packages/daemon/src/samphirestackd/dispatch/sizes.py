"""Choice of a job's home zone and refusal of jobs that can never run."""

from collections.abc import Collection
from collections.abc import Mapping

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model

_FIELDS = ('millicores', 'memory_mb', 'accelerators')


def choose_home_zone(
    kind: model.JobKind,
    tasks: int,
    resources: model.Resources,
    own_zone: model.ZoneId,
    vms_by_id: Mapping[model.VmId, model.Vm],
    limit: configuration.Limit,
    evacuated: Collection[model.ZoneId] = (),
) -> model.ZoneId:
    """Return the home zone of a new job, preferably the own zone.

    Task sizes are compared with the full capacity of the workers.

    :param vms_by_id: VMs listed by the platform; without any worker the
        size can't be checked, and the own zone is returned.
    :param evacuated: zones that are chosen only if no other is large enough.
    :raises errors.ImpossibleSize: no zone could ever run the job, or the
        team's limit never allows it.
    """
    _check_limit(kind, tasks, resources, limit)
    capacities_by_zone: dict[model.ZoneId, list[model.Resources]] = {}
    for vm in vms_by_id.values():
        if vm.role is model.VmRole.WORKER:
            capacities_by_zone.setdefault(vm.zone, []).append(vm.capacity)
    if not capacities_by_zone:
        return own_zone
    zones = sorted(
        capacities_by_zone,
        key=lambda zone: (zone in evacuated, zone != own_zone),
    )
    needed = tasks if kind is model.JobKind.GANG else 1
    largest_count = 0
    for zone in zones:
        count = _task_capacity(resources, capacities_by_zone[zone])
        if count >= needed:
            return zone
        largest_count = max(largest_count, count)
    raise errors.ImpossibleSize(
        _impossible_size_reason(resources, needed, largest_count)
    )


def _task_capacity(
    resources: model.Resources, capacities: list[model.Resources]
) -> int:
    """Return the number of such tasks that fit on empty workers."""
    return sum(
        _task_capacity_of(resources, capacity) for capacity in capacities
    )


def _task_capacity_of(
    resources: model.Resources, capacity: model.Resources
) -> int:
    counts = [
        getattr(capacity, field) // getattr(resources, field)
        for field in _FIELDS
        if getattr(resources, field) > 0
    ]
    return min(counts, default=1)


def _impossible_size_reason(
    resources: model.Resources, needed: int, largest_count: int
) -> str:
    size = (
        f'{resources.millicores / 1000:g} cores, {resources.memory_mb} MB '
        f'and {resources.accelerators} accelerators'
    )
    if needed == 1:
        return f'no worker has {size}'
    return (
        f'a gang of {needed} tasks with {size} each fits into no zone; '
        f'the largest zone has room for {largest_count}'
    )


def _check_limit(
    kind: model.JobKind,
    tasks: int,
    resources: model.Resources,
    limit: configuration.Limit,
) -> None:
    """Raise if the job needs more at once than the team's limit allows."""
    concurrent_tasks = tasks if kind is model.JobKind.GANG else 1
    needs = {field: getattr(resources, field) for field in _FIELDS}
    needs['running'] = 1
    for field, need in needs.items():
        allowed = getattr(limit, field)
        if allowed is not None and need * concurrent_tasks > allowed:
            raise errors.ImpossibleSize(
                f'the job needs {need * concurrent_tasks} {field} at once, '
                f'but the limit of the team is {allowed}',
                hint='Ask an operator to raise the limit of the team.',
            )
