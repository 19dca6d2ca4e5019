"""Commands on nodes and workers."""

from collections.abc import Sequence
from typing import Any

from samphirestack_client import failures
from samphirestack_client import options

NODE_COLUMNS = (
    'vm_id',
    'zone',
    'leads',
    'alive',
    'draining',
    'fresh',
    'revision',
    'age_s',
)
WORKER_COLUMNS = ('vm_id', 'zone', 'rack', 'listed', 'state', 'capacity')


async def nodes(*, common: options.Common = options.COMMON) -> None:
    """Show all entry VMs with their revision, its age and the leaders.

    All given nodes are asked, since a node in a partition sees others as
    dead and only a node itself knows the age of its revision.
    """
    async with common.connect() as api:
        views = await api.get_all('/nodes', list[dict[str, Any]])
    by_id: dict[str, dict[str, Any]] = {}
    for node in [node for view in views for node in view]:
        name = str(node['vm_id'])
        if name not in by_id or node.get('answering'):
            by_id[name] = node
    _print(NODE_COLUMNS, [by_id[name] for name in sorted(by_id)], common)


async def workers(
    *, zone: str = '', common: options.Common = options.COMMON
) -> None:
    """Show all workers; zone leaders add the state of their workers.

    Parameters
    ----------
    zone
        Show only the workers of this zone.
    """
    async with common.connect() as api:
        views = await api.get_all('/workers', list[dict[str, Any]])
    by_id: dict[str, dict[str, Any]] = {}
    for worker in [worker for view in views for worker in view]:
        name = str(worker['vm_id'])
        if name not in by_id or worker.get('state'):
            by_id[name] = worker
    found = [by_id[name] for name in sorted(by_id)]
    if zone:
        found = [worker for worker in found if worker['zone'] == zone]
    _print(WORKER_COLUMNS, found, common)


async def drain(node: str, *, common: options.Common = options.COMMON) -> None:
    """Let one node finish its work and stop.

    The node accepts no new work and interrupts none.

    Parameters
    ----------
    node
        Operators' address of the node as ip:port; no other node is asked.
    """
    host, _, port = node.rpartition(':')
    if not host or not port.isdigit():
        raise failures.WrongUsage(
            f'{node!r} must be the ip:port of a node',
            'It is listen.operators in the settings of the daemon.',
        )
    async with common.connect() as api:
        answer = await api.send_to(node, 'POST', '/drain', dict[str, Any])
    in_flight = answer.get('in_flight', 0)
    common.output.text(
        f'{node} is draining; requests in flight: {in_flight}.', answer
    )


def _print(
    columns: Sequence[str],
    found: list[dict[str, Any]],
    common: options.Common,
) -> None:
    rows = [[item.get(column) for column in columns] for item in found]
    common.output.rows(columns, rows, found)
