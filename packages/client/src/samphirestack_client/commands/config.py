"""Commands on the whole configuration."""

import pathlib
from typing import Annotated
from typing import Any

import cyclopts

from samphirestack_client import api as apis
from samphirestack_client import changes
from samphirestack_client import differences
from samphirestack_client import documents
from samphirestack_client import options

app = cyclopts.App(
    name='config', help='Show, compare and change the whole configuration.'
)


@app.command(
    help_epilogue=options.examples(
        'samphirestack config show', 'samphirestack config show --json'
    )
)
async def show(*, common: options.Common = options.COMMON) -> None:
    """Show the configuration that is in force at the first node."""
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
    if common.json:
        common.output.json(current)
        return
    rows = [
        (name.removesuffix('s_by_id'), len(getattr(current, name)), names)
        for name in differences.COLLECTIONS
        for names in [sorted(getattr(current, name))]
    ]
    common.output.text(
        f'Revision {current.revision}, changed by {current.author}', None
    )
    common.output.rows(('object', 'count', 'names'), rows, None)


@app.command(
    help_epilogue=options.examples('samphirestack config history --limit 5')
)
async def history(
    *, limit: int = 20, common: options.Common = options.COMMON
) -> None:
    """Show the newest accepted changes.

    Parameters
    ----------
    limit
        How many changes to show.
    """
    async with common.connect() as api:
        found = await api.get('/history', list[dict[str, Any]], limit=limit)
    columns = list(dict.fromkeys(name for entry in found for name in entry))
    rows = [[entry.get(name) for name in columns] for entry in found]
    common.output.rows(columns or ['revision'], rows, found)


@app.command(
    help_epilogue=options.examples('samphirestack config diff cell.toml')
)
async def diff(
    file: pathlib.Path,
    *,
    prune: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    common: options.Common = options.COMMON,
) -> None:
    """Show what applying a file would change, checked by a node.

    Parameters
    ----------
    file
        TOML file with tables such as [profiles.urgent] and [teams.a].
    prune
        Retire objects that the file does not name, of the kinds it has.
    """
    change = options.ChangeOptions(dry_run=True)
    await _apply(file, prune, change, common)


@app.command(
    help_epilogue=options.examples(
        'samphirestack config apply cell.toml --dry-run',
        'samphirestack config apply cell.toml --prune --expect-revision 41',
    )
)
async def apply(
    file: pathlib.Path,
    *,
    prune: Annotated[bool, cyclopts.Parameter(negative='')] = False,
    change: options.ChangeOptions = options.CHANGE,
    common: options.Common = options.COMMON,
) -> None:
    """Put the objects of a file into the configuration, all or none.

    Parameters
    ----------
    file
        TOML file with tables such as [profiles.urgent] and [teams.a].
    prune
        Retire objects that the file does not name, of the kinds it has.
    """
    await _apply(file, prune, change, common)


async def _apply(
    file: pathlib.Path,
    prune: bool,
    change: options.ChangeOptions,
    common: options.Common,
) -> None:
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        wanted = documents.read_changes(file, current, prune)
        report = await changes.send(api, current, wanted, change)
    changes.show(report, common)
