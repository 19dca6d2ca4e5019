"""Commands on teams, their limits and shares."""

from typing import Annotated
from typing import Any
from typing import Literal

import cyclopts
import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_client import api as apis
from samphirestack_client import changes
from samphirestack_client.commands import listing
from samphirestack_client import failures
from samphirestack_client import options

MILLICORES = 1000

app = cyclopts.App(name='team', help='Teams with shares, limits and rates.')
share_app = cyclopts.App(
    name='share', help='Shares of teams when the fleet is full.'
)

Dimension = Literal['running', 'cpus', 'memory-mb', 'accelerators']
_LIMIT_FIELDS_BY_DIMENSION = {
    'running': 'running',
    'cpus': 'millicores',
    'memory-mb': 'memory_mb',
    'accelerators': 'accelerators',
}


class Quota(msgspec.Struct):
    """Limits of a team, and its standing in each zone that answers."""

    team: str
    limit: configuration.Limit
    share: float
    calls_per_s: float
    standings: list[dict[str, Any]]


@app.command(
    name='list', help_epilogue=options.examples('samphirestack team list')
)
async def list_(*, common: options.Common = options.COMMON) -> None:
    """List all teams."""
    await listing.show('teams_by_id', common)


@app.command(
    help_epilogue=options.examples(
        'samphirestack team put harbour --share 2 --limit-running 400',
        'samphirestack team put harbour --unlimited running',
    )
)
async def put(
    name: str,
    *,
    share: float | None = None,
    calls_per_s: float | None = None,
    limit_running: int | None = None,
    limit_cpus: float | None = None,
    limit_memory_mb: int | None = None,
    limit_accelerators: int | None = None,
    unlimited: Annotated[
        tuple[Dimension, ...], cyclopts.Parameter(negative='')
    ] = (),
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Create a team or change the given fields of it.

    Parameters
    ----------
    name
        Name of the team.
    share
        Weight relative to other teams when the fleet is full.
    calls_per_s
        Calls a second that one entry VM accepts from it.
    limit_running
        Bound on requests and tasks that run at a time in the whole fleet.
    limit_cpus
        Bound on processors in use.
    limit_memory_mb
        Bound on memory in use, in MB.
    limit_accelerators
        Bound on accelerators in use.
    unlimited
        Dimension whose bound is removed; may be given repeatedly.
    """
    cpus = None if limit_cpus is None else round(limit_cpus * MILLICORES)
    limits = {
        'running': limit_running,
        'millicores': cpus,
        'memory_mb': limit_memory_mb,
        'accelerators': limit_accelerators,
    }
    given = {key: val for key, val in limits.items() if val is not None}
    removed_limits = dict.fromkeys(
        _LIMIT_FIELDS_BY_DIMENSION[dimension] for dimension in unlimited
    )
    if given.keys() & removed_limits.keys():
        raise failures.WrongUsage(
            'a dimension is both limited and unlimited',
            'Give either its limit or --unlimited.',
        )
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        before = current.teams_by_id.get(name)
        base = before or configuration.Team(model.TeamId(name))
        value = msgspec.structs.replace(
            base,
            share=base.share if share is None else share,
            calls_per_s=(
                base.calls_per_s if calls_per_s is None else calls_per_s
            ),
            limit=msgspec.structs.replace(
                base.limit, **given, **removed_limits
            ),
        )
        wanted = [] if value == before else [configuration.PutTeam(value)]
        report = await changes.send(api, current, wanted, change)
    changes.show(report, common)


@app.command(
    help_epilogue=options.examples('samphirestack team retire harbour')
)
async def retire(
    name: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Remove a team together with its keys.

    Parameters
    ----------
    name
        Name of the team.
    """
    retired = configuration.RetireTeam(model.TeamId(name))
    await changes.apply([retired], change, common)


@share_app.command(
    help_epilogue=options.examples('samphirestack share explain harbour')
)
async def explain(
    team: str, *, common: options.Common = options.COMMON
) -> None:
    """Show a team's standing and the newest decisions that name it.

    Each zone leader among the given nodes answers for its zone.

    Parameters
    ----------
    team
        Name of the team.
    """
    async with common.connect() as api:
        found = await api.get_all(
            f'/shares/{apis.quote_path_segment(team)}', dict[str, Any]
        )
    if common.json:
        common.output.json(found)
        return
    for standing in found:
        records = standing.pop('records', [])
        common.output.rows(('field', 'value'), standing.items(), None)
        columns = list(records[0]) if records else []
        rows = [[record.get(key) for key in columns] for record in records]
        if rows:
            common.output.rows(columns, rows, None)


async def quota(team: str, *, common: options.Common = options.COMMON) -> None:
    """Show the limits of a team and what it uses.

    Parameters
    ----------
    team
        Name of the team.
    """
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        known = current.teams_by_id.get(team)
        if known is None:
            raise failures.ClientFailure(
                f'team {team!r} does not exist',
                'List the teams with "samphirestack team list".',
            )
        try:
            standings = await api.get_all(
                f'/shares/{apis.quote_path_segment(team)}', dict[str, Any]
            )
        except failures.ClientFailure:
            # Still shows the limits when no zone leader answers.
            standings = []
    for standing in standings:
        standing.pop('records', None)
    common.output.fields(
        Quota(team, known.limit, known.share, known.calls_per_s, standings)
    )
