"""Commands on profiles."""

from typing import Annotated

import cyclopts

from samphirestack import configuration
from samphirestack import model
from samphirestack_client import changes
from samphirestack_client.commands import edits
from samphirestack_client.commands import listing
from samphirestack_client import options

app = cyclopts.App(
    name='profile', help='Profiles: how a kind of work is treated.'
)


@app.command(
    name='list', help_epilogue=options.examples('samphirestack profile list')
)
async def list_(*, common: options.Common = options.COMMON) -> None:
    """List all profiles."""
    await listing.show('profiles_by_id', common)


@app.command(
    help_epilogue=options.examples(
        'samphirestack profile put notice --urgency urgent --deadline-s 10',
        'samphirestack profile put sweep --max-wait-s 120 --dry-run',
    )
)
async def put(
    name: str,
    *,
    urgency: model.Urgency | None = None,
    deadline_s: float | None = None,
    max_wait_s: float | None = None,
    max_queued: int | None = None,
    max_attempts: int | None = None,
    preemptible: bool | None = None,
    checkpoint: bool | None = None,
    hedge_after_s: float | None = None,
    no_hedge: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Create a profile or change the given fields of it.

    Parameters
    ----------
    name
        Name of the profile.
    urgency
        Class of work; urgent work is started first.
    deadline_s
        Seconds within which a request must be answered.
    max_wait_s
        Seconds after which patient work is ordered like urgent work.
    max_queued
        Bound on waiting requests per team and zone.
    max_attempts
        Bound on attempts of one idempotent request or one task.
    preemptible
        Whether running tasks may be stopped for urgent work.
    checkpoint
        Whether tasks can save their progress before they are stopped.
    hedge_after_s
        Seconds of silence after which an idempotent request is sent again.
    no_hedge
        Never send a request a second time because of silence.
    """
    fields = {
        'urgency': urgency,
        'deadline_s': deadline_s,
        'max_wait_s': max_wait_s,
        'max_queued': max_queued,
        'max_attempts': max_attempts,
        'preemptible': preemptible,
        'checkpoint': checkpoint,
        'hedge_after_s': hedge_after_s,
    }
    await edits.put(
        name,
        'profiles_by_id',
        lambda: configuration.Profile(model.ProfileId(name)),
        configuration.PutProfile,
        fields,
        change,
        common,
        clear=('hedge_after_s',) if no_hedge else (),
    )


@app.command(
    help_epilogue=options.examples('samphirestack profile retire sweep')
)
async def retire(
    name: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Remove a profile that nothing refers to.

    Parameters
    ----------
    name
        Name of the profile.
    """
    retired = configuration.RetireProfile(model.ProfileId(name))
    await changes.apply([retired], change, common)
