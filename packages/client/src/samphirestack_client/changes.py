"""Send changes of the configuration and print their effect."""

from collections.abc import Sequence

import msgspec

from samphirestack import configuration
from samphirestack_client import api as apis
from samphirestack_client import differences
from samphirestack_client import options


class AcceptedChange(msgspec.Struct):
    """Answer of a node to a change."""

    revision: int
    dry_run: bool
    configuration: configuration.Configuration


class Report(msgspec.Struct):
    """Effect of a change."""

    revision: int
    dry_run: bool
    differences: list[differences.Difference]


class _ChangeRequest(msgspec.Struct):
    expected_revision: int
    changes: Sequence[configuration.Change]
    author: str
    dry_run: bool


async def send(
    api: apis.Api,
    current: configuration.Configuration,
    changes: Sequence[configuration.Change],
    change: options.ChangeOptions,
) -> Report:
    """Send changes to a node and return their effect.

    :param current: the configuration that the command has read.
    :raises failures.Conflict: the revision is not the expected one.
    """
    expected = change.expect_revision
    if expected is None:
        expected = current.revision
    if not changes:
        return Report(current.revision, change.dry_run, [])
    body = _ChangeRequest(
        expected, changes, change.named_author, change.dry_run
    )
    accepted = await api.send('POST', '/changes', AcceptedChange, body)
    return Report(
        accepted.revision,
        change.dry_run,
        differences.between(current, accepted.configuration),
    )


def show(report: Report, common: options.Common) -> None:
    """Print the effect of a change."""
    output = common.output
    if output.as_json:
        output.json(report)
        return
    differences.show(report.differences, output)
    if not report.differences:
        output.text('Nothing to change.', report)
    elif report.dry_run:
        output.text(
            f'Revision {report.revision} would be accepted; nothing was '
            'changed.',
            report,
        )
    else:
        output.text(f'Revision {report.revision} was accepted.', report)


async def apply(
    changes: Sequence[configuration.Change],
    change: options.ChangeOptions,
    common: options.Common,
) -> None:
    """Apply changes to the current configuration and print the effect."""
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        report = await send(api, current, changes, change)
    show(report, common)
