"""Commands on queues."""

from typing import Annotated

import cyclopts

from samphirestack import configuration
from samphirestack import model
from samphirestack_client import changes
from samphirestack_client.commands import edits
from samphirestack_client.commands import listing
from samphirestack_client import options

app = cyclopts.App(name='queue', help='Queues: where callers send work.')


@app.command(
    name='list', help_epilogue=options.examples('samphirestack queue list')
)
async def list_(*, common: options.Common = options.COMMON) -> None:
    """List all queues."""
    await listing.show('queues_by_id', common)


@app.command(
    help_epilogue=options.examples(
        'samphirestack queue put notices --service fermeture --team harbour',
        'samphirestack queue put public --service fermeture --open',
    )
)
async def put(
    name: str,
    *,
    service: str | None = None,
    profile: str | None = None,
    open: bool | None = None,
    open_team: str | None = None,
    team: Annotated[
        tuple[str, ...] | None, cyclopts.Parameter(negative='')
    ] = None,
    all_teams: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Create a queue or change the given fields of it.

    Parameters
    ----------
    name
        Name of the queue.
    service
        Service that answers its requests.
    profile
        Profile that replaces the one of the service.
    open
        Whether work is accepted without a key.
    open_team
        Team that work on an open queue is charged to.
    team
        Team that may use the queue; may be given repeatedly.
    all_teams
        Let all teams use the queue.
    """

    def new() -> configuration.Queue:
        needed = edits.required(service, '--service', name)
        return configuration.Queue(
            model.QueueId(name), model.ServiceId(needed)
        )

    await edits.put(
        name,
        'queues_by_id',
        new,
        configuration.PutQueue,
        {
            'service': service,
            'profile': profile,
            'open': open,
            'open_team': open_team,
            'teams': () if all_teams else team,
        },
        change,
        common,
    )


@app.command(
    help_epilogue=options.examples('samphirestack queue retire public')
)
async def retire(
    name: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Remove a queue; work that waits in it is refused as not run.

    Parameters
    ----------
    name
        Name of the queue.
    """
    retired = configuration.RetireQueue(model.QueueId(name))
    await changes.apply([retired], change, common)
