"""The published configuration: what operators create, change and retire.

A configuration is an immutable value with a revision.  Operators send a
list of changes with the revision that these are based on; :func:`apply`
returns the next configuration or raises, and never changes its argument.
"""

import hashlib
import hmac
import secrets
from typing import TypeVar

import msgspec

from samphirestack import errors
from samphirestack import model

SCHEMA_VERSION = 1
KEY_SECRET_BYTES = 24


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Scheduling parameters of one kind of work."""

    name: model.ProfileId
    urgency: model.Urgency = model.Urgency.PATIENT
    deadline_s: float = 60.0
    """Time within which a request must be answered; callers can ask for a
    shorter one."""
    max_wait_s: float = 300.0
    """Waiting time after which patient work gets the priority of urgent
    work."""
    max_queued: int = 10_000
    """Bound on waiting requests per team in one availability zone."""
    max_attempts: int = 3
    """Bound on attempts of one idempotent request or one task."""
    preemptible: bool = True
    """Whether running tasks may be stopped for urgent work."""
    checkpoint: bool = False
    """Whether tasks can save their progress before they are stopped."""
    hedge_after_s: float | None = None
    """Time without an answer after which an idempotent request is sent a
    second time; ``None`` to never do so."""


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that upstreams run, and the profile of its requests."""

    name: model.ServiceId
    profile: model.ProfileId


class Queue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue to which callers send work for a service."""

    name: model.QueueId
    service: model.ServiceId
    profile: model.ProfileId | None = None
    """Overrides the profile of the service; ``None`` to use that one."""
    open: bool = False
    """Whether work without a key is accepted and counted for ``open_team``."""
    open_team: model.TeamId = model.TeamId('public')
    teams: tuple[model.TeamId, ...] = ()
    """Teams that may use the queue; all if empty."""


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Upper bound on the running work of a team in the whole fleet.

    ``None`` means that the dimension is not limited.  A request counts as
    one unit of ``running`` and uses no resources of its own.
    """

    running: int | None = None
    millicores: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team with its share, its limit and its call rate."""

    name: model.TeamId
    share: float = 1.0
    """Weight relative to the other teams when the fleet is full."""
    limit: Limit = Limit()
    calls_per_s: float = 1000.0
    """Calls per second that one entry VM accepts from the team."""


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The verifier of a team key; the secret itself is never stored.

    ``digest`` is the hexadecimal SHA-256 of salt and secret.  Secrets have
    192 random bits, so a slow password hash would not add security.
    """

    key_id: model.KeyId
    team: model.TeamId
    salt: str
    digest: str

    def matches(self, secret: str) -> bool:
        """Compare ``secret`` with the digest of the key in constant time."""
        return hmac.compare_digest(_digest(self.salt, secret), self.digest)


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone and the workers that are its arbiters.

    A majority of the arbiters grants the leases that make a node the leader
    of the zone.
    """

    name: model.ZoneId
    region: str = ''
    arbiters: tuple[model.WorkerId, ...] = ()
    lost: bool = False
    """Set by an operator who knows that nothing runs in the zone any more."""
    evacuated: bool = False
    """Set by an operator while no tasks may start in the zone."""


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry VM on the roster.

    A majority of the roster can confirm that a node's configuration is the
    newest.
    """

    vm_id: model.VmId
    zone: model.ZoneId
    address: str


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One revision of everything that operators publish."""

    revision: model.Revision = model.Revision(0)
    author: str = ''
    changed_at_s: float = 0.0
    """Wall-clock time of the change; for display only."""
    profiles_by_id: dict[str, Profile] = {}
    services_by_id: dict[str, Service] = {}
    queues_by_id: dict[str, Queue] = {}
    teams_by_id: dict[str, Team] = {}
    keys_by_id: dict[str, Key] = {}
    zones_by_id: dict[str, Zone] = {}
    members_by_id: dict[str, Member] = {}
    schema: int = SCHEMA_VERSION

    def profile_of(self, queue: Queue) -> Profile:
        """Return the profile that applies to work on ``queue``."""
        service = self.services_by_id[queue.service]
        return self.profiles_by_id[queue.profile or service.profile]

    def verify_key(self, presented: str) -> model.TeamId | None:
        """Return the team of a key, or ``None`` if the key is not valid.

        :param presented: ``<key id>.<secret>`` as sent by the caller.
        """
        key_id, _, secret = presented.partition('.')
        key = self.keys_by_id.get(key_id)
        if key is None or not key.matches(secret):
            return None
        return key.team


class PutProfile(msgspec.Struct, frozen=True, tag='put_profile'):
    """Create or replace a profile."""

    profile: Profile


class RetireProfile(msgspec.Struct, frozen=True, tag='retire_profile'):
    """Remove a profile that nothing refers to."""

    name: model.ProfileId


class PutService(msgspec.Struct, frozen=True, tag='put_service'):
    """Create or replace a service."""

    service: Service


class RetireService(msgspec.Struct, frozen=True, tag='retire_service'):
    """Remove a service that no queue refers to."""

    name: model.ServiceId


class PutQueue(msgspec.Struct, frozen=True, tag='put_queue'):
    """Create or replace a queue."""

    queue: Queue


class RetireQueue(msgspec.Struct, frozen=True, tag='retire_queue'):
    """Remove a queue; work that waits in it is refused."""

    name: model.QueueId


class PutTeam(msgspec.Struct, frozen=True, tag='put_team'):
    """Create or replace a team."""

    team: Team


class RetireTeam(msgspec.Struct, frozen=True, tag='retire_team'):
    """Remove a team together with its keys."""

    name: model.TeamId


class PutKey(msgspec.Struct, frozen=True, tag='put_key'):
    """Add a key of a team, or replace one with the same id."""

    key: Key


class WithdrawKey(msgspec.Struct, frozen=True, tag='withdraw_key'):
    """Remove a key, so that calls with it are rejected."""

    key_id: model.KeyId


class PutZone(msgspec.Struct, frozen=True, tag='put_zone'):
    """Create or replace an availability zone."""

    zone: Zone


class PutMember(msgspec.Struct, frozen=True, tag='put_member'):
    """Add an entry VM to the roster or replace its entry."""

    member: Member


class RemoveMember(msgspec.Struct, frozen=True, tag='remove_member'):
    """Remove an entry VM from the roster."""

    vm_id: model.VmId


Change = (
    PutProfile
    | RetireProfile
    | PutService
    | RetireService
    | PutQueue
    | RetireQueue
    | PutTeam
    | RetireTeam
    | PutKey
    | WithdrawKey
    | PutZone
    | PutMember
    | RemoveMember
)

_PUT_FIELDS = {
    PutProfile: ('profiles_by_id', 'profile', 'name'),
    PutService: ('services_by_id', 'service', 'name'),
    PutQueue: ('queues_by_id', 'queue', 'name'),
    PutTeam: ('teams_by_id', 'team', 'name'),
    PutKey: ('keys_by_id', 'key', 'key_id'),
    PutZone: ('zones_by_id', 'zone', 'name'),
    PutMember: ('members_by_id', 'member', 'vm_id'),
}
_REMOVE_FIELDS = {
    RetireProfile: ('profiles_by_id', 'name'),
    RetireService: ('services_by_id', 'name'),
    RetireQueue: ('queues_by_id', 'name'),
    RetireTeam: ('teams_by_id', 'name'),
    WithdrawKey: ('keys_by_id', 'key_id'),
    RemoveMember: ('members_by_id', 'vm_id'),
}

_T = TypeVar('_T')


def apply(
    current: Configuration,
    changes: list[Change],
    *,
    author: str,
    wall_time_s: float,
) -> Configuration:
    """Return the configuration that follows ``current``.

    :param changes: applied in order; either all or none take effect.
    :param wall_time_s: Unix time of the change, in seconds.
    :raises errors.NotFound: an object to be removed does not exist.
    :raises errors.InvalidChange: the result would not be valid.
    """
    collections: dict[str, dict[str, object]] = {}
    for change in changes:
        _apply_one(current, collections, change)
    updated = msgspec.structs.replace(
        current,
        revision=model.Revision(current.revision + 1),
        author=author,
        changed_at_s=wall_time_s,
        **collections,
    )
    validate(updated)
    return updated


def _apply_one(
    current: Configuration,
    collections: dict[str, dict[str, object]],
    change: Change,
) -> None:
    put = _PUT_FIELDS.get(type(change))
    if put is not None:
        field, attribute, key_attribute = put
        value = getattr(change, attribute)
        _copied_collection(current, collections, field)[
            getattr(value, key_attribute)
        ] = value
        return
    field, attribute = _REMOVE_FIELDS[type(change)]
    name = getattr(change, attribute)
    collection = _copied_collection(current, collections, field)
    if name not in collection:
        kind = field.removesuffix('s_by_id')
        raise errors.NotFound(f'{kind} {name!r} does not exist')
    del collection[name]
    if isinstance(change, RetireTeam):
        _remove_team_keys(current, collections, change.name)


def _copied_collection(
    current: Configuration,
    collections: dict[str, dict[str, object]],
    field: str,
) -> dict[str, object]:
    if field not in collections:
        collections[field] = dict(getattr(current, field))
    return collections[field]


def _remove_team_keys(
    current: Configuration,
    collections: dict[str, dict[str, object]],
    team: model.TeamId,
) -> None:
    keys = _copied_collection(current, collections, 'keys_by_id')
    for key_id, key in list(keys.items()):
        if isinstance(key, Key) and key.team == team:
            del keys[key_id]


def validate(configuration: Configuration) -> None:
    """Check that all values are in range and all references resolve.

    :raises errors.InvalidChange: a value is out of range.
    :raises errors.InUse: an object refers to one that does not exist.
    """
    for profile in configuration.profiles_by_id.values():
        _validate_profile(profile)
    for team in configuration.teams_by_id.values():
        _validate_team(team)
    for service in configuration.services_by_id.values():
        _require_reference(
            service.profile,
            configuration.profiles_by_id,
            f'service {service.name!r} runs under profile',
        )
    for queue in configuration.queues_by_id.values():
        _validate_queue(configuration, queue)
    for key in configuration.keys_by_id.values():
        _require_reference(
            key.team,
            configuration.teams_by_id,
            f'key {key.key_id!r} belongs to team',
        )


def _validate_profile(profile: Profile) -> None:
    owner = f'profile {profile.name!r}'
    _validate_name(owner, profile.name)
    _require_positive(owner, 'deadline_s', profile.deadline_s)
    _require_positive(owner, 'max_wait_s', profile.max_wait_s)
    _require_positive(owner, 'max_queued', profile.max_queued)
    _require_positive(owner, 'max_attempts', profile.max_attempts)
    if profile.hedge_after_s is not None:
        _require_positive(owner, 'hedge_after_s', profile.hedge_after_s)


def _validate_team(team: Team) -> None:
    owner = f'team {team.name!r}'
    _validate_name(owner, team.name)
    _require_positive(owner, 'share', team.share)
    _require_positive(owner, 'calls_per_s', team.calls_per_s)
    for field in team.limit.__struct_fields__:
        value = getattr(team.limit, field)
        if value is not None and value < 0:
            raise errors.InvalidChange(
                f'{owner}: limit.{field} is {value}, but must be at least 0'
            )


def _validate_queue(configuration: Configuration, queue: Queue) -> None:
    owner = f'queue {queue.name!r}'
    _validate_name(owner, queue.name)
    _require_reference(
        queue.service, configuration.services_by_id, f'{owner} uses service'
    )
    if queue.profile is not None:
        _require_reference(
            queue.profile,
            configuration.profiles_by_id,
            f'{owner} uses profile',
        )
    for team in queue.teams:
        _require_reference(
            team, configuration.teams_by_id, f'{owner} allows team'
        )
    if queue.open:
        _require_reference(
            queue.open_team,
            configuration.teams_by_id,
            f'{owner} charges open work to team',
        )


def _validate_name(owner: str, name: str) -> None:
    allowed = set('abcdefghijklmnopqrstuvwxyz0123456789._-')
    if not name or len(name) > 63 or set(name) - allowed:
        raise errors.InvalidChange(
            f'{owner}: the name must be 1 to 63 characters of a-z, 0-9, '
            f'".", "_" and "-"'
        )


def _require_positive(owner: str, field: str, value: float) -> None:
    if not value > 0:
        raise errors.InvalidChange(
            f'{owner}: {field} is {value}, but must be greater than 0'
        )


def _require_reference(
    name: str, collection: dict[str, _T], subject: str
) -> None:
    if name not in collection:
        raise errors.InUse(
            f'{subject} {name!r}, which would not exist after the change',
            hint='Create what is missing first, or change or retire what '
            'refers to it.',
        )


def new_key(team: model.TeamId) -> tuple[Key, str]:
    """Return a new key of ``team`` and the text that callers send.

    The text is ``<key id>.<secret>``; the secret can't be recovered from the
    key.
    """
    key_id = model.KeyId(f'k{secrets.token_hex(6)}')
    secret = secrets.token_urlsafe(KEY_SECRET_BYTES)
    salt = secrets.token_hex(8)
    key = Key(key_id, team, salt, _digest(salt, secret))
    return key, f'{key_id}.{secret}'


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(f'{salt}:{secret}'.encode()).hexdigest()
