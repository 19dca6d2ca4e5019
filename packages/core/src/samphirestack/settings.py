"""Settings of the daemon, read from one TOML file.

An unknown key, a missing key and a value out of range are errors that name
the file, the key, the value and what was expected.
"""

import pathlib
import tomllib

import msgspec

from samphirestack import errors
from samphirestack import model


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity of this process."""

    vm_id: str
    """Name of this VM, unique over all availability zones."""
    zone: str
    """Availability zone of this VM."""


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses to listen on, as ``ip:port``."""

    callers: str
    """Address of the callers' HTTP interface."""
    operators: str
    """Address of the operators' HTTP interface."""
    peers: str
    """Address of the interface for other daemons."""


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Addresses of the platform's services and the deadline of calls."""

    table_url: str
    """Base URL of the table service."""
    objects_url: str
    """Base URL of the object store."""
    vms_url: str
    """Base URL of the list of VMs."""
    timeout_s: float = 1.0
    """Deadline of each call to the platform, in seconds."""


class ClusterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How daemons find and authenticate each other."""

    seeds: tuple[str, ...] = ()
    """Peer addresses to try before the list of VMs is known."""
    public_key: str = ''
    """CURVE public key that all daemons share, in Z85; empty turns
    encryption off, which is allowed on loopback addresses only."""
    secret_key_file: str = ''
    """File with the CURVE secret key in Z85."""


class SecuritySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Secrets of the operators' interface."""

    operator_token_file: str
    """File with the bearer token that operators present."""


class EdgeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that are checked before any expensive work on a call."""

    max_body_bytes: int = 1_048_576
    """Largest accepted request body, in bytes."""
    max_connections: int = 2000
    """Largest number of open connections from callers."""
    max_waiting: int = 20_000
    """Largest number of requests that wait or run at this node."""


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and time-outs in seconds."""

    heartbeat_s: float = 0.33
    """Time between heartbeats inside a zone."""
    remote_heartbeat_s: float = 1.5
    """Time between heartbeats to other zones."""
    peer_timeout_s: float = 1.0
    """Time without a message after which a peer in the zone is considered
    dead."""
    remote_peer_timeout_s: float = 3.0
    """Time without a message after which a peer in another zone is
    considered dead."""
    leader_ttl_s: float = 1.5
    """How long a leader stays valid after a majority of arbiters renewed its
    lease."""
    leader_renew_s: float = 0.7
    """Time between renewals at the arbiters."""
    worker_ttl_s: float = 10.0
    """How long a worker's lease lasts without renewal."""
    worker_renew_s: float = 4.0
    """Time between renewals at workers that are not arbiters."""
    freshness_s: float = 3.0
    """Age of the last confirmation from which the configuration is considered
    stale."""
    configuration_poll_s: float = 0.5
    """Time between reads of the head revision."""
    vm_list_poll_s: float = 1.0
    """Time between reads of the list of VMs."""
    upstream_poll_s: float = 3.0
    """Time between status calls to an upstream; one that is leaving has to
    be detected within 4 s."""
    silent_after_s: float = 1.0
    """Time without an answer to a request after which the status of its
    upstream is polled."""
    drain_timeout_s: float = 60.0
    """Longest time that a graceful shutdown waits for running work."""


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination and level of logs, and the size of the event history."""

    file: str = '-'
    """Path of the log file, or ``-`` for the standard error stream."""
    level: str = 'info'
    """``debug``, ``info``, ``warning`` or ``error``."""
    events_kept: int = 20_000
    """Number of events that are kept in memory."""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a daemon."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    security: SecuritySettings
    cluster: ClusterSettings = ClusterSettings()
    edge: EdgeSettings = EdgeSettings()
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()

    @property
    def vm_id(self) -> model.VmId:
        """Name of this VM."""
        return model.VmId(self.node.vm_id)

    @property
    def zone(self) -> model.ZoneId:
        """Availability zone of this VM."""
        return model.ZoneId(self.node.zone)


LOG_LEVELS = ('debug', 'info', 'warning', 'error')


def load(path: str) -> Settings:
    """Return the checked settings in the TOML file at ``path``.

    :raises errors.SettingsError: the file can't be used.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise errors.SettingsError(
            path, '(file)', str(error), 'a readable TOML file'
        ) from None
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(
            path, '(file)', str(error), 'valid TOML'
        ) from None
    return from_data(path, data)


def from_data(path: str, data: dict[str, object]) -> Settings:
    """Return checked settings from parsed TOML.

    :param path: path of the file, for error messages.
    :raises errors.SettingsError: a value can't be used.
    """
    try:
        settings = msgspec.convert(data, Settings)
    except msgspec.ValidationError as error:
        raise _conversion_error(path, data, str(error)) from None
    _check_ranges(path, settings)
    _check_addresses(path, settings)
    _check_intervals(path, settings)
    return settings


def _conversion_error(
    path: str, data: dict[str, object], message: str
) -> errors.SettingsError:
    reason, _, location = message.partition(' - at ')
    key = location.strip('`').removeprefix('$').lstrip('.')
    value: object = data
    for part in key.split('.') if key else []:
        value = value.get(part) if isinstance(value, dict) else None
    if isinstance(value, dict):
        value = sorted(value)
    return errors.SettingsError(
        path, key or '(file)', value, _expected_text(reason)
    )


def _expected_text(reason: str) -> str:
    """Return what was expected, as derived from msgspec's message."""
    name = reason.rpartition(' ')[2]
    if 'unknown field' in reason:
        return f'without the unknown key {name}'
    if 'missing required field' in reason:
        return f'with the key {name}'
    return reason.partition(', got')[0].removeprefix('Expected ')


def _check_ranges(path: str, settings: Settings) -> None:
    for section in ('platform', 'edge', 'timing', 'log'):
        values = getattr(settings, section)
        for field in values.__struct_fields__:
            value = getattr(values, field)
            if isinstance(value, int | float) and not value > 0:
                raise errors.SettingsError(
                    path, f'{section}.{field}', value, 'greater than 0'
                )
    if settings.log.level not in LOG_LEVELS:
        raise errors.SettingsError(
            path,
            'log.level',
            settings.log.level,
            'one of ' + ', '.join(LOG_LEVELS),
        )


def _check_addresses(path: str, settings: Settings) -> None:
    for field in settings.listen.__struct_fields__:
        value = getattr(settings.listen, field)
        if not _is_address(value):
            raise errors.SettingsError(
                path, f'listen.{field}', value, 'ip:port'
            )
    for seed in settings.cluster.seeds:
        if not _is_address(seed):
            raise errors.SettingsError(path, 'cluster.seeds', seed, 'ip:port')
    local = settings.listen.peers.startswith('127.')
    if not settings.cluster.public_key and not local:
        raise errors.SettingsError(
            path,
            'cluster.public_key',
            '',
            'a CURVE key unless listen.peers is a loopback address',
        )


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(':')
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def _check_intervals(path: str, settings: Settings) -> None:
    timing = settings.timing
    pairs = (
        ('heartbeat_s', 'peer_timeout_s'),
        ('remote_heartbeat_s', 'remote_peer_timeout_s'),
        ('leader_renew_s', 'leader_ttl_s'),
        ('worker_renew_s', 'worker_ttl_s'),
        ('configuration_poll_s', 'freshness_s'),
    )
    for interval, bound in pairs:
        limit = getattr(timing, bound)
        value = getattr(timing, interval)
        if value * 2 > limit:
            raise errors.SettingsError(
                path,
                f'timing.{interval}',
                value,
                f'at most half of timing.{bound}, which is {limit}',
            )
