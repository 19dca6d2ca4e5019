"""Commands on availability zones."""

from typing import Annotated

import cyclopts
import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_client import api as apis
from samphirestack_client import changes
from samphirestack_client.commands import edits
from samphirestack_client.commands import listing
from samphirestack_client import failures
from samphirestack_client import options

app = cyclopts.App(name='zone', help='Availability zones.')


@app.command(
    name='list', help_epilogue=options.examples('samphirestack zone list')
)
async def list_(*, common: options.Common = options.COMMON) -> None:
    """List all availability zones."""
    await listing.show('zones_by_id', common)


@app.command(
    help_epilogue=options.examples(
        'samphirestack zone put arree --arbiter arree-w1 --arbiter arree-w2'
    )
)
async def put(
    name: str,
    *,
    region: str | None = None,
    arbiter: Annotated[
        tuple[str, ...] | None, cyclopts.Parameter(negative='')
    ] = None,
    found_again: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Create a zone or change the given fields of it.

    Parameters
    ----------
    name
        Name of the zone.
    region
        Region that it belongs to.
    arbiter
        Worker that arbitrates its leadership; may be given repeatedly. Only
        allowed for a zone without arbiters: afterwards the nodes replace
        arbiters whose machines are gone.
    found_again
        Revoke the declaration that the zone is lost.
    """
    if arbiter is not None:
        await _check_arbiters(name, arbiter, common)
    await edits.put(
        name,
        'zones_by_id',
        lambda: configuration.Zone(model.ZoneId(name)),
        configuration.PutZone,
        {
            'region': region,
            'arbiters': arbiter,
            'lost': False if found_again else None,
        },
        change,
        common,
    )


async def _check_arbiters(
    name: str, wanted: tuple[str, ...], common: options.Common
) -> None:
    """Refuse to replace arbiters, since the nodes would ignore it.

    :raises failures.ClientFailure: the zone has other arbiters.
    """
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
    zone = current.zones_by_id.get(name)
    if zone is not None and zone.arbiters and zone.arbiters != wanted:
        raise failures.ClientFailure(
            f'zone {name!r} has the arbiters {", ".join(zone.arbiters)}, and '
            'only the nodes may replace them',
            'The nodes replace an arbiter a minute after the platform '
            'removed it from the list of VMs.',
        )


@app.command(
    name='declare-lost',
    help_epilogue=options.examples(
        'samphirestack zone declare-lost arree --yes'
    ),
)
async def declare_lost(
    name: str,
    *,
    yes: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Declare that nothing runs in a zone any more.

    Its jobs are then started again in other zones, and its parts of the
    teams' limits are used there. If something still runs in the zone, work
    runs twice and limits are exceeded.

    Parameters
    ----------
    name
        Name of the zone.
    yes
        Confirm that all machines of the zone are known to be down.
    """
    if not yes and not change.dry_run:
        raise failures.WrongUsage(
            f'declaring zone {name!r} lost needs --yes',
            'Make sure that all its machines are down, then add --yes.',
        )
    await _set(name, 'lost', True, change, common)


@app.command(
    help_epilogue=options.examples('samphirestack zone evacuate arree')
)
async def evacuate(
    name: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Start no more tasks in a zone.

    Tasks that run there go on until they end. New jobs get another home zone
    if one is large enough; those that wait in this zone wait until it is
    readmitted.

    Parameters
    ----------
    name
        Name of the zone.
    """
    await _set(name, 'evacuated', True, change, common)


@app.command(
    help_epilogue=options.examples('samphirestack zone readmit arree')
)
async def readmit(
    name: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Start tasks again in a zone that was evacuated.

    Parameters
    ----------
    name
        Name of the zone.
    """
    await _set(name, 'evacuated', False, change, common)


async def _set(
    name: str,
    field: str,
    value: bool,
    change: options.ChangeOptions,
    common: options.Common,
) -> None:
    """Publish one field of an existing zone.

    :raises failures.ClientFailure: the zone does not exist.
    """
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        zone = current.zones_by_id.get(name)
        if zone is None:
            raise failures.ClientFailure(
                f'zone {name!r} does not exist',
                'List the zones with "samphirestack zone list".',
            )
        changed = msgspec.structs.replace(zone, **{field: value})
        wanted = [] if changed == zone else [configuration.PutZone(changed)]
        report = await changes.send(api, current, wanted, change)
    changes.show(report, common)
