"""The ``samphirestackd`` program."""

import argparse
import asyncio
import gc
import signal
import sys

import zmq

from samphirestack import errors
from samphirestack import settings as settings_types
from samphirestackd import admin
from samphirestackd import daemon as daemons
from samphirestackd import logs
from samphirestackd import peers

EXIT_SETTINGS = 2
EXIT_FAILED = 1
GC_THRESHOLD = 20_000
"""Allocations between collections of the youngest generation.  Nearly all
objects of the daemon are freed by reference counting."""


def main(arguments: list[str] | None = None) -> int:
    """Run the program and return its exit status."""
    options = _parse(arguments)
    try:
        settings = settings_types.load(options.settings)
        keys = peers.read_keys(settings.cluster)
        token = admin.read_token(settings)
    except errors.SettingsError as error:
        print(f'{error.message}\n{error.hint}', file=sys.stderr)
        return EXIT_SETTINGS
    if options.command == 'check':
        print(f'{options.settings}: the settings can be used')
        return 0
    writer = logs.start(settings.log, settings.node.vm_id)
    try:
        asyncio.run(_serve(settings, keys, token, writer))
    except (OSError, zmq.ZMQError) as error:
        print(f'the daemon can not start: {error}', file=sys.stderr)
        return EXIT_FAILED
    finally:
        writer.stop()
    return 0


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog='samphirestackd', description='The samphirestack entry daemon.'
    )
    commands = parser.add_subparsers(dest='command', required=True)
    run = commands.add_parser('run', help='serve until SIGTERM')
    run.add_argument(
        'settings_position', nargs='?', metavar='FILE', help='settings file'
    )
    run.add_argument('--settings', metavar='FILE', help='settings file')
    check = commands.add_parser('check', help='check a settings file')
    check.add_argument('settings', metavar='FILE')
    options = parser.parse_args(arguments)
    if options.command == 'run':
        options.settings = options.settings or options.settings_position
        if options.settings is None:
            run.error('--settings FILE is required')
    return options


async def _serve(
    settings: settings_types.Settings,
    keys: peers.Keys | None,
    token: str,
    writer: logs.LineWriter,
) -> None:
    daemon = daemons.Daemon(settings, keys, token, writer)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop)
    # Imported modules live until exit; exclude them from collection.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    await daemon.run()


if __name__ == '__main__':
    sys.exit(main())
