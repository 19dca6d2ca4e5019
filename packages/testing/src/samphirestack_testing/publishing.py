"""Publishes a scenario's configuration through the operators' interface."""

from collections.abc import Mapping

import aiohttp
import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_testing import daemons
from samphirestack_testing import scenario
from samphirestack_testing import topology
from samphirestack_testing import waiting

AUTHOR = 'test-cluster'
HEADERS = {'Authorization': f'Bearer {daemons.OPERATOR_TOKEN}'}
MAX_ARBITERS = 5
PUBLISH_TIMEOUT_S = 20.0


class ChangeRefused(Exception):
    """The operators' interface refused a change."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(f'status {status}: {text}')
        self.status = status


def changes_of(
    plan: scenario.Scenario,
    entries: Mapping[model.VmId, daemons.Addresses],
    zone_of_entry: Mapping[model.VmId, str],
) -> list[configuration.Change]:
    """Return the changes that publish everything but the keys."""
    return [
        *_zone_changes(plan),
        *(
            configuration.PutMember(
                configuration.Member(
                    vm_id,
                    model.ZoneId(zone_of_entry[vm_id]),
                    addresses.published_peers,
                )
            )
            for vm_id, addresses in entries.items()
        ),
        *_work_changes(plan),
    ]


def _zone_changes(plan: scenario.Scenario) -> list[configuration.Change]:
    changes: list[configuration.Change] = []
    for zone in plan.zones:
        workers = topology.vm_ids(plan, zone.name, model.VmRole.WORKER)
        arbiters = tuple(map(model.WorkerId, workers[:MAX_ARBITERS]))
        published = configuration.Zone(
            model.ZoneId(zone.name), zone.region, arbiters
        )
        changes.append(configuration.PutZone(published))
    return changes


def _work_changes(plan: scenario.Scenario) -> list[configuration.Change]:
    changes: list[configuration.Change] = []
    for profile in plan.profiles:
        fields = msgspec.structs.asdict(profile)
        changes.append(
            configuration.PutProfile(configuration.Profile(**fields))
        )
    service = configuration.Service(
        model.ServiceId(plan.upstreams.service),
        model.ProfileId(plan.profiles[0].name),
    )
    changes.append(configuration.PutService(service))
    for team in plan.teams:
        fields = msgspec.structs.asdict(team)
        changes.append(configuration.PutTeam(configuration.Team(**fields)))
    for queue in plan.queues:
        fields = msgspec.structs.asdict(queue)
        published = configuration.Queue(service=service.name, **fields)
        changes.append(configuration.PutQueue(published))
    return changes


async def publish(
    http: aiohttp.ClientSession,
    plan: scenario.Scenario,
    entries: Mapping[model.VmId, daemons.Addresses],
    zone_of_entry: Mapping[model.VmId, str],
) -> dict[str, str]:
    """Publish the scenario at the first entry and return the teams' keys."""
    changes = changes_of(plan, entries, zone_of_entry)
    keys_by_team = {}
    for team in plan.teams:
        key, text = configuration.new_key(model.TeamId(team.name))
        changes.append(configuration.PutKey(key))
        keys_by_team[team.name] = text
    url = next(iter(entries.values())).operators_url
    last_error = ''

    async def published() -> bool:
        nonlocal last_error
        try:
            await change(http, url, changes)
        except (ChangeRefused, aiohttp.ClientError, OSError) as error:
            last_error = str(error)
            return False
        return True

    try:
        await waiting.until(published, PUBLISH_TIMEOUT_S, 'first revision')
    except waiting.ConditionNotMet as error:
        raise waiting.ConditionNotMet(f'{error}: {last_error}') from None
    return keys_by_team


async def change(
    http: aiohttp.ClientSession,
    operators_url: str,
    changes: list[configuration.Change],
) -> int:
    """Apply changes to the present revision and return the new one.

    :raises ChangeRefused: the change was not accepted.
    """
    revision = await revision_of(http, operators_url)
    body = {
        'expected_revision': revision,
        'dry_run': False,
        'author': AUTHOR,
        'changes': changes,
    }
    async with http.post(
        f'{operators_url}/admin/v1/changes',
        data=msgspec.json.encode(body),
        headers=HEADERS | {'Content-Type': 'application/json'},
    ) as answer:
        if answer.status != 200:
            raise ChangeRefused(answer.status, await answer.text())
    return revision + 1


async def revision_of(http: aiohttp.ClientSession, operators_url: str) -> int:
    """Return the revision that is in force at a node.

    :raises ChangeRefused: the node did not answer with a configuration.
    """
    url = f'{operators_url}/admin/v1/configuration'
    async with http.get(url, headers=HEADERS) as answer:
        text = await answer.text()
        if answer.status != 200:
            raise ChangeRefused(answer.status, text)
    return int(msgspec.json.decode(text)['revision'])
