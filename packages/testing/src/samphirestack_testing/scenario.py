"""Scenarios: what a test cluster consists of and what happens to it.

A scenario is a TOML file; docs/scenarios.md describes every key.  An error
names the file, the key, the value and what was expected.
"""

import enum
import pathlib
import tomllib
from typing import TypeVar

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model

HINT = 'docs/scenarios.md describes every key.'
DEPLOYMENTS = ('armor', 'pilbara')
T = TypeVar('T')


class ScenarioError(errors.SettingsError):
    """A scenario file can't be used."""

    code = 'bad_scenario'
    hint = HINT


class _Checked(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all tables of a scenario."""


class Zone(_Checked, frozen=True):
    """An availability zone with its VMs."""

    name: str
    entries: int
    workers: int = 0
    upstreams: int = 0
    region: str = ''


class Workers(_Checked, frozen=True):
    """Size of every worker."""

    cpus: int = 16
    memory_mb: int = 32_768
    accelerators: int = 0
    per_rack: int = 8
    usage_lag_s: float = 2.0

    @property
    def capacity(self) -> model.Resources:
        """Capacity of one worker."""
        return model.Resources(
            self.cpus * 1000, self.memory_mb, self.accelerators
        )


class Upstreams(_Checked, frozen=True):
    """Size of every upstream."""

    service: str
    slots: int = 8
    connections: int = 64


class Platform(_Checked, frozen=True):
    """Delays of the platform."""

    vm_lag_s: float = 0.5
    delay_s: float = 0.002


class Network(_Checked, frozen=True):
    """What lies between the processes."""

    proxied: bool = False
    """Whether daemons reach each other and the platform through the fault
    proxy, which ``cut_zone`` and ``cut_platform`` need."""


class Team(_Checked, frozen=True):
    """A team, its share and its limit."""

    name: str
    share: float = 1.0
    calls_per_s: float = 1000.0
    limit: configuration.Limit = configuration.Limit()


class Profile(_Checked, frozen=True):
    """A profile as it is published."""

    name: str
    urgency: model.Urgency = model.Urgency.PATIENT
    deadline_s: float = 60.0
    max_wait_s: float = 300.0
    max_queued: int = 10_000
    max_attempts: int = 3
    preemptible: bool = True
    checkpoint: bool = False


class Queue(_Checked, frozen=True):
    """A queue and the profile of its work."""

    name: str
    profile: str
    open: bool = False
    open_team: str = 'public'


class Spread(enum.Enum):
    """Distribution of work times."""

    CONSTANT = 'constant'
    EXPONENTIAL = 'exponential'


class Arrivals(_Checked, frozen=True):
    """A stream of requests with random gaps between them."""

    queue: str
    team: str
    rate_per_s: float
    work_s: float = 0.05
    """Mean work time."""
    spread: Spread = Spread.EXPONENTIAL
    idempotent: bool = True
    idempotency_key: bool = False
    """Whether the callers send an Idempotency-Key."""
    deadline_s: float | None = None
    from_s: float = 0.0
    until_s: float | None = None


class Jobs(_Checked, frozen=True):
    """A stream of jobs with random gaps between them."""

    queue: str
    team: str
    kind: model.JobKind
    rate_per_s: float
    tasks: int = 1
    cpus: float = 1.0
    memory_mb: int = 512
    accelerators: int = 0
    run_time_s: float = 1.0
    """Declared run time."""
    real_run_time_s: float | None = None
    """Mean real run time; the declared one if missing."""
    spread: Spread = Spread.CONSTANT
    idempotent: bool = True
    from_s: float = 0.0
    until_s: float | None = None


class FaultKind(enum.Enum):
    """What goes wrong, and what its target names."""

    KILL_ENTRY = 'kill_entry'
    KILL_LEADER = 'kill_leader'
    PAUSE_LEADER = 'pause_leader'
    TABLE_DOWN = 'table_down'
    TABLE_SLOW = 'table_slow'
    CUT_ZONE = 'cut_zone'
    CUT_PLATFORM = 'cut_platform'
    UPSTREAM_LEAVES = 'upstream_leaves'
    UPSTREAM_FAULT = 'upstream_fault'
    WORKER_FAILS = 'worker_fails'
    WORKER_UNREACHABLE = 'worker_unreachable'


ZONE_FAULTS = frozenset(
    {
        FaultKind.KILL_LEADER,
        FaultKind.PAUSE_LEADER,
        FaultKind.CUT_ZONE,
        FaultKind.CUT_PLATFORM,
    }
)
PROXY_FAULTS = frozenset({FaultKind.CUT_ZONE, FaultKind.CUT_PLATFORM})
UPSTREAM_FAULTS = frozenset(
    {FaultKind.UPSTREAM_FAULT, FaultKind.UPSTREAM_LEAVES}
)
WORKER_FAULTS = frozenset(
    {FaultKind.WORKER_FAILS, FaultKind.WORKER_UNREACHABLE}
)


class Fault(_Checked, frozen=True):
    """A fault with the time at which it begins and ends."""

    kind: FaultKind
    at_s: float
    until_s: float | None = None
    """End of the fault; it lasts until the end of the run if missing."""
    target: str = ''
    """Zone, entry VM, worker or upstream."""
    mode: str = ''
    """Mode of an ``upstream_fault``."""


class Scenario(_Checked, frozen=True):
    """A cluster, its load and its faults."""

    name: str
    seed: int
    duration_s: float
    zones: tuple[Zone, ...]
    upstreams: Upstreams
    profiles: tuple[Profile, ...]
    queues: tuple[Queue, ...]
    teams: tuple[Team, ...]
    workers: Workers = Workers()
    platform: Platform = Platform()
    network: Network = Network()
    arrivals: tuple[Arrivals, ...] = ()
    jobs: tuple[Jobs, ...] = ()
    faults: tuple[Fault, ...] = ()
    timing: dict[str, float] = {}
    """Overrides of ``[timing]`` in the settings of the daemons."""

    def profile_of(self, queue: str) -> Profile:
        """Return the profile of a queue."""
        name = by_name(self.queues)[queue].profile
        return by_name(self.profiles)[name]

    def is_urgent(self, queue: str) -> bool:
        """Return whether work on a queue is urgent."""
        return self.profile_of(queue).urgency is model.Urgency.URGENT

    @property
    def limits_by_team(self) -> dict[str, configuration.Limit]:
        """Upper limit of each team."""
        return {team.name: team.limit for team in self.teams}

    @property
    def shares_by_team(self) -> dict[str, float]:
        """Weight of each team."""
        return {team.name: team.share for team in self.teams}


def by_name(values: tuple[T, ...]) -> dict[str, T]:
    """Return values by their field ``name``."""
    return {getattr(value, 'name'): value for value in values}  # noqa: B009


def vm_id(zone: str, role: model.VmRole, index: int) -> model.VmId:
    """Return the name of the ``index``-th VM of a role in a zone."""
    return model.VmId(f'{zone}-{role.value}-{index}')


def builtin(deployment: str) -> Scenario:
    """Return one of the scenarios that come with the package.

    :param deployment: one of ``DEPLOYMENTS``.
    """
    directory = pathlib.Path(__file__).parent / 'scenarios'
    return load(str(directory / f'{deployment}.toml'))


def load(path: str) -> Scenario:
    """Return the checked scenario in the TOML file at ``path``.

    :raises ScenarioError: the file can't be used.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text())
    except OSError as error:
        raise ScenarioError(
            path, '(file)', str(error), 'a readable TOML file'
        ) from None
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(path, '(file)', str(error), 'valid TOML') from None
    return from_data(path, data)


def from_data(path: str, data: dict[str, object]) -> Scenario:
    """Return a checked scenario from parsed TOML.

    :param path: named in errors.
    :raises ScenarioError: a value can't be used.
    """
    try:
        scenario = msgspec.convert(data, Scenario)
    except msgspec.ValidationError as error:
        raise _conversion_error(path, data, str(error)) from None
    for key, value, expected in _problems(scenario):
        raise ScenarioError(path, key, value, expected)
    return scenario


def _conversion_error(
    path: str, data: dict[str, object], message: str
) -> ScenarioError:
    reason, _, location = message.partition(' - at ')
    key = location.strip('`').removeprefix('$').lstrip('.')
    section = key.partition('.')[0].partition('[')[0]
    value = data.get(section, sorted(data))
    return ScenarioError(path, key or '(file)', value, reason)


_Problem = tuple[str, object, str]


def _problems(scenario: Scenario) -> list[_Problem]:
    """Return what is wrong as key, value and expectation."""
    return [
        *_range_problems(scenario),
        *_reference_problems(scenario),
        *_fault_problems(scenario),
    ]


def _range_problems(scenario: Scenario) -> list[_Problem]:
    positive: list[tuple[str, float]] = [
        ('duration_s', scenario.duration_s),
        ('zones', len(scenario.zones)),
        ('upstreams.slots', scenario.upstreams.slots),
        ('workers.cpus', scenario.workers.cpus),
        ('workers.per_rack', scenario.workers.per_rack),
    ]
    for index, zone in enumerate(scenario.zones):
        positive.append((f'zones[{index}].entries', zone.entries))
    for index, team in enumerate(scenario.teams):
        positive.append((f'teams[{index}].share', team.share))
    for index, stream in enumerate(scenario.arrivals):
        positive.append((f'arrivals[{index}].rate_per_s', stream.rate_per_s))
        positive.append((f'arrivals[{index}].work_s', stream.work_s))
    for index, jobs in enumerate(scenario.jobs):
        positive.append((f'jobs[{index}].rate_per_s', jobs.rate_per_s))
        positive.append((f'jobs[{index}].tasks', jobs.tasks))
    return [
        (key, value, 'greater than 0')
        for key, value in positive
        if not value > 0
    ]


def _reference_problems(scenario: Scenario) -> list[_Problem]:
    teams = set(by_name(scenario.teams))
    queues = set(by_name(scenario.queues))
    profiles = set(by_name(scenario.profiles))
    wanted: list[tuple[str, str, set[str]]] = []
    for index, queue in enumerate(scenario.queues):
        wanted.append((f'queues[{index}].profile', queue.profile, profiles))
        if queue.open:
            key = f'queues[{index}].open_team'
            wanted.append((key, queue.open_team, teams))
    for section in ('arrivals', 'jobs'):
        for index, stream in enumerate(getattr(scenario, section)):
            key = f'{section}[{index}]'
            wanted.append((f'{key}.queue', stream.queue, queues))
            wanted.append((f'{key}.team', stream.team, teams))
    return [
        (key, value, 'one of ' + ', '.join(sorted(allowed)))
        for key, value, allowed in wanted
        if value not in allowed
    ]


def _fault_problems(scenario: Scenario) -> list[_Problem]:
    problems: list[_Problem] = []
    for index, fault in enumerate(scenario.faults):
        key = f'faults[{index}]'
        targets = _targets(scenario, fault.kind)
        if targets and fault.target not in targets:
            expected = 'one of ' + ', '.join(sorted(targets))
            problems.append((f'{key}.target', fault.target, expected))
        if fault.kind in PROXY_FAULTS and not scenario.network.proxied:
            expected = f'true, because {key} is {fault.kind.value}'
            problems.append(('network.proxied', False, expected))
        if fault.until_s is not None and fault.until_s <= fault.at_s:
            expected = f'greater than at_s, which is {fault.at_s}'
            problems.append((f'{key}.until_s', fault.until_s, expected))
    return problems


def _targets(scenario: Scenario, kind: FaultKind) -> set[str]:
    zones = scenario.zones
    if kind in ZONE_FAULTS:
        return set(by_name(zones))
    if kind in UPSTREAM_FAULTS:
        role, counts = model.VmRole.UPSTREAM, [z.upstreams for z in zones]
    elif kind in WORKER_FAULTS:
        role, counts = model.VmRole.WORKER, [z.workers for z in zones]
    elif kind is FaultKind.KILL_ENTRY:
        role, counts = model.VmRole.ENTRY, [z.entries for z in zones]
    else:
        return set()
    return {
        str(vm_id(zone.name, role, index))
        for zone, count in zip(zones, counts, strict=True)
        for index in range(count)
    }
