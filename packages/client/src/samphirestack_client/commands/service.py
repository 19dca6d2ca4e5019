"""Commands on services."""

import cyclopts

from samphirestack import configuration
from samphirestack import model
from samphirestack_client import changes
from samphirestack_client.commands import edits
from samphirestack_client.commands import listing
from samphirestack_client import options

app = cyclopts.App(
    name='service', help='Services and the profiles that they run under.'
)


@app.command(
    name='list', help_epilogue=options.examples('samphirestack service list')
)
async def list_(*, common: options.Common = options.COMMON) -> None:
    """List all services."""
    await listing.show('services_by_id', common)


@app.command(
    help_epilogue=options.examples(
        'samphirestack service put dispatch --profile sheet'
    )
)
async def put(
    name: str,
    *,
    profile: str | None = None,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Create a service or select another profile for it.

    Parameters
    ----------
    name
        Name of the service, as the platform's list of VMs has it.
    profile
        Profile that its work runs under.
    """

    def new() -> configuration.Service:
        needed = edits.required(profile, '--profile', name)
        return configuration.Service(
            model.ServiceId(name), model.ProfileId(needed)
        )

    await edits.put(
        name,
        'services_by_id',
        new,
        configuration.PutService,
        {'profile': profile},
        change,
        common,
    )


@app.command(
    help_epilogue=options.examples('samphirestack service retire dispatch')
)
async def retire(
    name: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Remove a service that no queue refers to.

    Parameters
    ----------
    name
        Name of the service.
    """
    retired = configuration.RetireService(model.ServiceId(name))
    await changes.apply([retired], change, common)
