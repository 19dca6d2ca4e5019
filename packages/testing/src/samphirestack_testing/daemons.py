"""Settings files and commands of the daemons of a test cluster."""

from collections.abc import Mapping
import json
import pathlib
import shlex
import socket
import sys

import msgspec

from samphirestack import model
from samphirestack import settings
from samphirestack_testing import scenario
from samphirestack_testing.standins import serving

OPERATOR_TOKEN = 'operator-token-of-the-test-cluster'
TOKEN_FILE = 'operator-token'
CLIENT_FILE = 'client.toml'
ENVIRONMENT_FILE = 'environment.sh'


class Addresses(msgspec.Struct, frozen=True):
    """Where a daemon listens, and where others find its peer socket."""

    callers: str
    operators: str
    peers: str
    published_peers: str

    @property
    def callers_url(self) -> str:
        """Base URL of the callers' interface."""
        return f'http://{self.callers}'

    @property
    def operators_url(self) -> str:
        """Base URL of the operators' interface."""
        return f'http://{self.operators}'


def command(path: pathlib.Path) -> list[str]:
    """Return the command that runs a daemon."""
    return [sys.executable, '-m', 'samphirestackd.main', 'run', str(path)]


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that are free at the moment.

    Another process can take one before it is used, so whoever uses them
    must be ready to ask again.
    """
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((serving.LOOPBACK, 0))
        return [
            f'{serving.LOOPBACK}:{opened.getsockname()[1]}'
            for opened in sockets
        ]
    finally:
        for opened in sockets:
            opened.close()


def make_settings(
    plan: scenario.Scenario,
    zone: str,
    vm_id: model.VmId,
    addresses: Addresses,
    platform_url: str,
    seeds: tuple[str, ...],
    directory: pathlib.Path,
) -> settings.Settings:
    """Return the checked settings of one daemon.

    :raises errors.SettingsError: the scenario's timing can't be used.
    """
    path = str(directory / f'{vm_id}.toml')
    return settings.from_data(
        path,
        {
            'node': {'vm_id': vm_id, 'zone': zone},
            'listen': {
                'callers': addresses.callers,
                'operators': addresses.operators,
                'peers': addresses.peers,
            },
            'platform': {
                'table_url': platform_url,
                'objects_url': platform_url,
                'vms_url': platform_url,
            },
            'cluster': {'seeds': list(seeds)},
            'security': {'operator_token_file': str(directory / TOKEN_FILE)},
            'timing': plan.timing,
            'log': {'file': str(directory / f'{vm_id}.events.jsonl')},
        },
    )


def write_settings(path: pathlib.Path, values: settings.Settings) -> None:
    """Write settings as TOML.

    The strings, numbers, booleans and lists of JSON that occur here are
    valid TOML as they are.
    """
    sections = msgspec.to_builtins(values)
    lines = []
    for section, content in sections.items():
        lines.append(f'[{section}]')
        lines += [
            f'{key} = {json.dumps(value)}' for key, value in content.items()
        ]
    path.write_text('\n'.join(lines) + '\n')


def write_client_files(
    directory: pathlib.Path,
    addresses_by_entry: Mapping[model.VmId, Addresses],
) -> None:
    """Write the file of the operators' client and a file for shells.

    A shell that sources the second one can use ``samphirestack`` without
    options, and ``$CALLERS`` as base URL of the first entry.
    """
    directory = directory.resolve()
    operators = [own.operators for own in addresses_by_entry.values()]
    first = next(iter(addresses_by_entry.values()))
    client_file = directory / CLIENT_FILE
    client_file.write_text(
        f'addresses = {json.dumps(operators)}\n'
        f'token_file = {json.dumps(str(directory / TOKEN_FILE))}\n'
    )
    programs = pathlib.Path(sys.executable).parent
    (directory / ENVIRONMENT_FILE).write_text(
        f'export SAMPHIRESTACK_CLIENT_CONFIG={shlex.quote(str(client_file))}\n'
        f'export CALLERS={shlex.quote(first.callers_url)}\n'
        f'export PATH={shlex.quote(str(programs))}:"$PATH"\n'
    )
