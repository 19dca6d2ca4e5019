"""Addresses of the nodes and the operator token.

Options of the command line take precedence over environment variables, and
these over the file ``~/.config/samphirestack/client.toml``.
"""

from collections.abc import Mapping
import os
import pathlib
import tomllib

import msgspec

from samphirestack_client import failures

ADDRESSES_VARIABLE = 'SAMPHIRESTACK_ADDRESSES'
TOKEN_FILE_VARIABLE = 'SAMPHIRESTACK_TOKEN_FILE'
CONFIG_VARIABLE = 'SAMPHIRESTACK_CLIENT_CONFIG'
DEFAULT_FILE = '~/.config/samphirestack/client.toml'
DEFAULT_TIMEOUT_S = 5.0
SETTINGS_HINT = (
    'Use --address and --token-file, set SAMPHIRESTACK_ADDRESSES and '
    f'SAMPHIRESTACK_TOKEN_FILE, or write both to {DEFAULT_FILE}.'
)


class FileContent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the client's configuration file."""

    addresses: tuple[str, ...] = ()
    token_file: str = ''
    timeout_s: float = DEFAULT_TIMEOUT_S


class ClientSettings(msgspec.Struct, frozen=True):
    """Settings that a command needs to reach the nodes."""

    addresses: tuple[str, ...]
    """Operators' addresses of the nodes as ``ip:port``."""
    token: str
    timeout_s: float


def load(
    addresses: tuple[str, ...],
    token_file: str,
    timeout_s: float | None,
    environment: Mapping[str, str] | None = None,
) -> ClientSettings:
    """Return the settings of a command.

    :raises failures.WrongUsage: a setting is missing or not valid.
    """
    variables = os.environ if environment is None else environment
    file_content = _read_file(variables)
    selected = (
        addresses
        or tuple(
            variables.get(ADDRESSES_VARIABLE, '').replace(',', ' ').split()
        )
        or file_content.addresses
    )
    if not selected:
        raise failures.WrongUsage('no node address is set', SETTINGS_HINT)
    for address in selected:
        _check_address(address)
    path = (
        token_file
        or variables.get(TOKEN_FILE_VARIABLE, '')
        or file_content.token_file
    )
    return ClientSettings(
        selected, _read_token(path), timeout_s or file_content.timeout_s
    )


def _read_file(variables: Mapping[str, str]) -> FileContent:
    configured_path = variables.get(CONFIG_VARIABLE, '')
    path = pathlib.Path(configured_path or DEFAULT_FILE).expanduser()
    if not configured_path and not path.exists():
        return FileContent()
    return read_toml(path, FileContent)


def read_toml(path: pathlib.Path, kind: type[FileContent]) -> FileContent:
    """Return the typed content of a TOML file.

    :raises failures.WrongUsage: the file can't be read or is not valid.
    """
    try:
        data = tomllib.loads(path.read_text())
        return msgspec.convert(data, kind)
    except (OSError, UnicodeDecodeError) as error:
        raise failures.WrongUsage(
            f'{path} can not be read: {error}', SETTINGS_HINT
        ) from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise failures.WrongUsage(
            f'{path} is not valid: {error}',
            'Allowed keys are addresses, token_file and timeout_s.',
        ) from None


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise failures.WrongUsage(
            f'address {address!r} must be ip:port',
            'It is listen.operators in the settings of the daemon.',
        )


def _read_token(path: str) -> str:
    if not path:
        raise failures.WrongUsage('no token file is set', SETTINGS_HINT)
    try:
        token = pathlib.Path(path).expanduser().read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise failures.WrongUsage(
            f'token file {path} can not be read: {error}', SETTINGS_HINT
        ) from None
    if not token or not token.isascii() or not token.isprintable():
        raise failures.WrongUsage(
            f'token file {path} must hold one line of ASCII text',
            SETTINGS_HINT,
        )
    return token
