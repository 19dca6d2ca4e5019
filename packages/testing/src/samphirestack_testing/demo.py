"""Runs a deployment with its load and says what became of every request.

The last line of the output is one JSON object with the figures of
:class:`samphirestack_testing.measures.Figures`.
"""

import argparse
import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
import time

import msgspec

from samphirestack_testing import cluster
from samphirestack_testing import daemons
from samphirestack_testing import faults
from samphirestack_testing import load
from samphirestack_testing import measures
from samphirestack_testing import oracle
from samphirestack_testing import processes
from samphirestack_testing import scenario
from samphirestack_testing import waiting

PROGRESS_EVERY_S = 2.0
DEFAULT_SECONDS = 20.0
FINDINGS_SHOWN = 20
BROKEN_PROMISE = 1
CANNOT_RUN = 2
INTERRUPTED = 130


def main() -> None:
    """Run the demo; exit with 1 on a broken promise, 2 if nothing ran.

    A signal ends it with 130.
    """
    arguments = _parser().parse_args()
    plan = scenario.builtin(arguments.deployment)
    if arguments.scenario:
        plan = scenario.load(arguments.scenario)
    with contextlib.ExitStack() as stack:
        directory = arguments.keep
        if directory is None:
            directory = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory)
        path.mkdir(parents=True, exist_ok=True)
        try:
            figures = asyncio.run(
                _run_until_signal(plan, path, arguments.seconds)
            )
        except (processes.ProcessFailed, waiting.ConditionNotMet) as error:
            _say(f'the cluster did not start: {error}')
            sys.exit(CANNOT_RUN)
        except asyncio.CancelledError:
            _say('ended by a signal, nothing was checked')
            sys.exit(INTERRUPTED)
    print(msgspec.json.encode(figures).decode(), flush=True)
    broken = figures.lost + figures.doubled + figures.cut
    sys.exit(BROKEN_PROMISE if broken else 0)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument(
        '--seconds',
        type=float,
        default=DEFAULT_SECONDS,
        help='how long load is sent (default: %(default)s)',
    )
    parser.add_argument(
        '--deployment',
        choices=scenario.DEPLOYMENTS,
        default=scenario.DEPLOYMENTS[0],
        help='which deployment to run (default: %(default)s)',
    )
    parser.add_argument(
        '--scenario', metavar='FILE', help='run another scenario'
    )
    parser.add_argument(
        '--keep',
        metavar='DIRECTORY',
        help='keep settings, ledgers and logs in a directory',
    )
    return parser


async def _run_until_signal(
    plan: scenario.Scenario, directory: pathlib.Path, seconds: float
) -> measures.Figures:
    """Run; a signal ends all processes before the demo ends."""
    task = asyncio.ensure_future(run(plan, directory, seconds))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


async def run(
    plan: scenario.Scenario, directory: pathlib.Path, seconds: float
) -> measures.Figures:
    """Run a scenario and return its figures.

    :param seconds: how long load is sent.
    """
    _say(f'starting {plan.name}: {_size(plan)}')
    async with cluster.Cluster(plan, directory) as started:
        _say('all entries are ready, sending load')
        shell_file = directory / daemons.ENVIRONMENT_FILE
        _say(f'to use it from a shell: source {shell_file}')
        sender = load.Load(
            plan,
            directory,
            started.urls_by_entry,
            started.keys_by_team,
            seconds,
        )
        progress = asyncio.create_task(_show_progress(sender))
        driver = asyncio.create_task(faults.Driver(started).run())
        try:
            await sender.run()
            if driver.done():
                driver.result()
        finally:
            progress.cancel()
            driver.cancel()
        run_so_far = started.run_so_far()
    findings = oracle.check(run_so_far, plan.limits_by_team)
    _show_findings(findings)
    return measures.figures(
        plan.name, seconds, run_so_far, findings, plan.shares_by_team
    )


def _size(plan: scenario.Scenario) -> str:
    entries = sum(zone.entries for zone in plan.zones)
    workers = sum(zone.workers for zone in plan.zones)
    upstreams = sum(zone.upstreams for zone in plan.zones)
    return (
        f'{len(plan.zones)} zones, {entries} entries, {workers} workers, '
        f'{upstreams} upstreams with {plan.upstreams.slots} slots'
    )


async def _show_progress(sender: load.Load) -> None:
    started_at = time.monotonic()
    while True:
        await asyncio.sleep(PROGRESS_EVERY_S)
        now = sender.progress
        outcomes = ', '.join(
            f'{name} {count}' for name, count in sorted(now.outcomes.items())
        )
        p99_ms = sender.latency_ms.get_value_at_percentile(99)
        _say(
            f'{time.monotonic() - started_at:5.1f} s: sent {now.sent}, '
            f'in flight {now.in_flight}, {outcomes}, jobs {now.jobs}, '
            f'ended {now.jobs_ended}, p99 {p99_ms} ms'
        )


def _show_findings(findings: list[oracle.Finding]) -> None:
    for finding in findings[:FINDINGS_SHOWN]:
        _say(f'{finding.kind.value} {finding.subject}: {finding.reason}')
        for line in finding.evidence:
            _say(f'    {line}')
    if len(findings) > FINDINGS_SHOWN:
        _say(f'... and {len(findings) - FINDINGS_SHOWN} more findings')


def _say(text: str) -> None:
    print(text, flush=True)


if __name__ == '__main__':
    main()
