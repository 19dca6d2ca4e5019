"""Options that commands share."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import getpass
from typing import Annotated

import cyclopts

from samphirestack_client import api as apis
from samphirestack_client import output as outputs
from samphirestack_client import settings

_NO_NEGATIVE = cyclopts.Parameter(negative='')


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class Common:
    """Options of every command."""

    json: Annotated[bool, _NO_NEGATIVE] = False
    """Print JSON for programs instead of tables."""
    address: Annotated[tuple[str, ...], _NO_NEGATIVE] = ()
    """Operators' address of a node as ip:port; may be given repeatedly.
    Otherwise SAMPHIRESTACK_ADDRESSES or the client's file."""
    token_file: str = ''
    """File with the operator token. Otherwise SAMPHIRESTACK_TOKEN_FILE or
    the client's file."""
    timeout_s: float | None = None
    """Seconds to wait for a node."""

    @property
    def output(self) -> outputs.Output:
        """Output in the selected format."""
        return outputs.Output(self.json)

    @contextlib.asynccontextmanager
    async def connect(self) -> AsyncIterator[apis.Api]:
        """Load the settings and connect to the nodes."""
        loaded = settings.load(self.address, self.token_file, self.timeout_s)
        async with apis.connect(loaded) as api:
            yield api


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True)
class ChangeOptions:
    """Options of every command that changes the configuration."""

    dry_run: Annotated[bool, _NO_NEGATIVE] = False
    """Check the change at a node and show it, but do not apply it."""
    expect_revision: int | None = None
    """Apply the change only to this revision. Otherwise to the one that the
    command reads first."""
    author: str = ''
    """Who makes the change, for the history. Otherwise the user's name."""

    @property
    def named_author(self) -> str:
        """Author for the history: the option or the name of the user."""
        if self.author:
            return self.author
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return 'unknown'


COMMON = Common()
CHANGE = ChangeOptions()


def examples(*lines: str) -> str:
    """Return the part of a help text that shows how to use a command."""
    return '\n\n'.join(['**Examples**', *(f'`{line}`' for line in lines)])
