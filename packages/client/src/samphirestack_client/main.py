"""Entry point of the operators' command line."""

from collections.abc import Sequence
import sys

import cyclopts

from samphirestack_client.commands import config
from samphirestack_client.commands import explain
from samphirestack_client.commands import fleet
from samphirestack_client.commands import job
from samphirestack_client.commands import key
from samphirestack_client.commands import profile
from samphirestack_client.commands import queue
from samphirestack_client.commands import service
from samphirestack_client.commands import story
from samphirestack_client.commands import team
from samphirestack_client.commands import zone
from samphirestack_client import failures
from samphirestack_client import options
from samphirestack_client import output
from samphirestack_client.timeline import command as timeline

INTERRUPTED = 130

HELP = """Operate a samphirestack cell.

Each command accepts --json, --address and --token-file. Commands that
change the configuration accept --dry-run and --expect-revision.
"""
EXIT_CODES = """**Exit codes**

0 done, 1 failed or refused, 2 wrong usage, 3 conflict with another
change, 4 no node answered, 5 token missing or wrong."""


def create_app() -> cyclopts.App:
    """Return the command line with all commands."""
    app = cyclopts.App(
        name='samphirestack',
        help=HELP,
        help_epilogue=EXIT_CODES,
        help_format='markdown',
        version_flags=[],
    )
    groups = (config, profile, service, queue, team, key, job, zone)
    for group in groups:
        app.command(group.app)
    app.command(team.share_app)
    singles = (
        (team.quota, 'samphirestack quota harbour'),
        (fleet.nodes, 'samphirestack nodes'),
        (fleet.workers, 'samphirestack workers --zone arree'),
        (fleet.drain, 'samphirestack drain 10.0.0.4:8001'),
        (job.jobs, 'samphirestack jobs --team harbour --state waiting'),
        (timeline.timeline, timeline.EXAMPLE),
        (story.story, story.EXAMPLE),
        (explain.explain, explain.EXAMPLE),
    )
    for function, example in singles:
        app.command(function, help_epilogue=options.examples(example))
    return app


def run(arguments: Sequence[str]) -> int:
    """Run a command and return its exit code."""
    try:
        create_app()(
            list(arguments),
            exit_on_error=False,
            print_error=True,
            result_action='return_value',
        )
    except cyclopts.CycloptsError:
        return int(failures.ExitCode.USAGE)
    except failures.ClientFailure as failure:
        output.print_failure(failure, '--json' in arguments)
        return int(failure.exit_code)
    except KeyboardInterrupt:
        return INTERRUPTED
    return int(failures.ExitCode.DONE)


def main() -> None:
    """Run the command line of this process."""
    sys.exit(run(sys.argv[1:]))


if __name__ == '__main__':
    main()
