"""Commands on team keys."""

from typing import Annotated

import cyclopts
import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_client import api as apis
from samphirestack_client import changes
from samphirestack_client import options

app = cyclopts.App(name='key', help='Keys that teams present with work.')


class IssuedKey(msgspec.Struct):
    """A new key for a team; its text is printed only once."""

    key_id: str
    team: str
    key: str
    """Text of the key that callers present; empty on a dry run."""
    revision: int
    dry_run: bool


class ListedKey(msgspec.Struct):
    """A key without its secret."""

    key_id: str
    team: str


@app.command(
    name='list', help_epilogue=options.examples('samphirestack key list')
)
async def list_(*, common: options.Common = options.COMMON) -> None:
    """List the keys of all teams, without their secrets."""
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
    found = [
        ListedKey(key.key_id, key.team) for key in current.keys_by_id.values()
    ]
    rows = [(key.key_id, key.team) for key in found]
    common.output.rows(('key_id', 'team'), rows, found)


@app.command(
    help_epilogue=options.examples(
        'samphirestack key give harbour',
        'samphirestack key give harbour --only-key',
    )
)
async def give(
    team: str,
    *,
    only_key: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Create a key for a team and print it once.

    The secret is generated on this machine and appears only in the output;
    the nodes receive a verifier.

    Parameters
    ----------
    team
        Name of the team.
    only_key
        Print nothing but the key, for use in scripts.
    """
    key, text = configuration.new_key(model.TeamId(team))
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        report = await changes.send(
            api, current, [configuration.PutKey(key)], change
        )
    issued = IssuedKey(
        key.key_id,
        team,
        '' if change.dry_run else text,
        report.revision,
        change.dry_run,
    )
    if only_key and not common.json:
        common.output.text(issued.key, issued)
        return
    common.output.fields(issued)


@app.command(
    help_epilogue=options.examples('samphirestack key withdraw k0a1b2c3d4e5f')
)
async def withdraw(
    key_id: str,
    *,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Withdraw a key; it stops working within 4 s.

    Parameters
    ----------
    key_id
        Id of the key, the part before the dot.
    """
    withdrawn = configuration.WithdrawKey(model.KeyId(key_id))
    await changes.apply([withdrawn], change, common)
