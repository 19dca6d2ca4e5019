"""A whole test cluster as processes on loopback ports.

The stand-ins choose their ports themselves.  Daemons need their ports in
their settings, so free ones are looked up and the daemons are started again
with others if another process was faster.
"""

import asyncio
import functools
import pathlib
import signal
from types import TracebackType

import aiohttp
import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_testing import daemons
from samphirestack_testing import faultproxy
from samphirestack_testing import oracle
from samphirestack_testing import probing
from samphirestack_testing import processes
from samphirestack_testing import publishing
from samphirestack_testing import scenario
from samphirestack_testing.standins import platform
from samphirestack_testing.standins import serving
from samphirestack_testing.standins import upstreams
from samphirestack_testing.standins import workers
from samphirestack_testing import topology
from samphirestack_testing import waiting

START_TIMEOUT_S = 30.0
START_ATTEMPTS = 3
CALL_TIMEOUT_S = 10.0
PORT_CLASH = 'address already in use'
PLATFORM = 'platform'
WORKERS = 'workers'
UPSTREAMS = 'upstreams'
PEER_PROXIES = 'peer-proxies'
PLATFORM_PROXIES = 'platform-proxies'


class Cluster:
    """All processes of a scenario; use it with ``async with``.

    :param directory: for settings, ledgers and logs; must exist.
    """

    def __init__(
        self, plan: scenario.Scenario, directory: pathlib.Path
    ) -> None:
        self.plan = plan
        self.directory = directory
        self.processes = processes.Processes(directory)
        self.keys_by_team: dict[str, str] = {}
        self.entries: dict[model.VmId, daemons.Addresses] = {}
        self._ready: dict[str, serving.Ready] = {}
        self._zone_of_entry = topology.entry_zones(plan)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.http = aiohttp.ClientSession(timeout=timeout)

    async def __aenter__(self) -> 'Cluster':
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """End all processes."""
        await self.http.close()
        await asyncio.to_thread(self.processes.stop_all)

    @property
    def urls_by_entry(self) -> dict[str, str]:
        """Base URL of the callers' interface by entry."""
        return {
            str(vm_id): addresses.callers_url
            for vm_id, addresses in self.entries.items()
        }

    def entries_of(self, zone: str) -> list[model.VmId]:
        """Return the entries of a zone."""
        return [
            vm_id for vm_id, own in self._zone_of_entry.items() if own == zone
        ]

    def run_so_far(self) -> oracle.Run:
        """Return the ledgers and callers' records as they are now."""
        return oracle.read_run(
            sorted(self.directory.glob('*.ledger')),
            sorted(self.directory.glob('calls*.jsonl')),
            sorted(self.directory.glob('jobs*.jsonl')),
        )

    def stand_in_ports(self) -> dict[str, set[int]]:
        """Return the ports that each stand-in or proxy listens on."""
        return {
            name: {
                int(address.rpartition(':')[2])
                for address in ready.addresses_by_id.values()
            }
            for name, ready in self._ready.items()
        }

    async def control(self, process: str, name: str, body: object) -> None:
        """Send a command to the control interface of a stand-in."""
        url = f'http://{self._ready[process].control}/control/{name}'
        data = msgspec.json.encode(body)
        async with self.http.post(url, data=data) as answer:
            if answer.status != 200:
                raise RuntimeError(f'{url}: {await answer.text()}')

    async def platform_control(self, command: platform.Control) -> None:
        """Set faults of the platform."""
        await self.control(PLATFORM, PLATFORM, command)

    async def leader_of(self, zone: str) -> model.VmId | None:
        """Return the owner of most workers of a zone.

        The agents are asked, so that the answer does not depend on what a
        daemon believes.
        """
        url = f'http://{self._ready[WORKERS].control}/control'
        async with self.http.get(url) as answer:
            holders = msgspec.json.decode(
                await answer.read(), type=dict[str, workers.Holder]
            )
        names = topology.vm_ids(self.plan, zone, model.VmRole.WORKER)
        owners = [holders[name].owner for name in names]
        for owner in set(owners) - {''}:
            if owners.count(owner) * 2 > len(owners):
                return owner
        return None

    async def wait_for_leader(
        self, zone: str, other_than: model.VmId | None = None
    ) -> model.VmId:
        """Wait until a zone has a leader and return it."""
        found: list[model.VmId] = []

        async def has_leader() -> bool:
            leader = await self.leader_of(zone)
            if leader is None or leader == other_than:
                return False
            found.append(leader)
            return True

        await waiting.until(has_leader, START_TIMEOUT_S, f'leader of {zone}')
        return found[0]

    def kill(self, vm_id: model.VmId) -> None:
        """Kill a daemon with SIGKILL."""
        self.processes.by_name[vm_id].kill()

    def signal(self, vm_id: model.VmId, number: signal.Signals) -> None:
        """Send a signal to a daemon."""
        self.processes.by_name[vm_id].signal(number)

    def restart(self, vm_id: model.VmId) -> None:
        """Start a daemon that has ended, with its old settings."""
        self.processes.by_name[vm_id].start()

    async def cut_zone(self, zone: str, cut: bool) -> None:
        """Cut or heal all links between a zone and the others."""
        inside = set(self.entries_of(zone))
        outside = set(self.entries) - inside
        faults = faultproxy.Faults(cut=cut)
        for vm_id in self.entries:
            hit = outside if vm_id in inside else inside
            command = faultproxy.Command(faults, tuple(sorted(hit)))
            await self.control(PEER_PROXIES, vm_id, command)

    async def cut_platform(self, zone: str, cut: bool) -> None:
        """Cut or heal the connections of a zone to the platform."""
        command = faultproxy.Command(faultproxy.Faults(cut=cut))
        await self.control(PLATFORM_PROXIES, zone, command)

    async def change(
        self, changes: list[configuration.Change], entry: model.VmId
    ) -> int:
        """Apply changes to the present revision at an entry."""
        return await publishing.change(
            self.http, self.entries[entry].operators_url, changes
        )

    async def _start(self) -> None:
        await self._start_workers_and_upstreams()
        for attempt in range(START_ATTEMPTS):
            self._choose_addresses()
            await self._start_proxies_and_platform()
            self._start_daemons()
            try:
                await self._wait_for_daemons('/healthz')
                break
            except (processes.ProcessFailed, waiting.ConditionNotMet):
                if attempt + 1 == START_ATTEMPTS or not self._port_clash():
                    raise
                self._kill_daemons()
        self.keys_by_team = await publishing.publish(
            self.http, self.plan, self.entries, self._zone_of_entry
        )
        daemons.write_client_files(self.directory, self.entries)
        await self._wait_for_daemons('/readyz')
        for vm_id in self.entries:
            answered = functools.partial(
                probing.is_answered,
                self.plan,
                self.http,
                self.entries[vm_id].callers_url,
                self.keys_by_team,
            )
            await waiting.until(answered, START_TIMEOUT_S, f'{vm_id} serves')

    async def _start_workers_and_upstreams(self) -> None:
        self._ready[WORKERS] = await self.processes.start_stand_in(
            WORKERS,
            'standins.workers',
            workers.Settings(
                self._path('workers.ready'),
                self._path('workers.ledger'),
                topology.vms(self.plan, model.VmRole.WORKER),
                self.plan.workers.usage_lag_s,
            ),
        )
        self._ready[UPSTREAMS] = await self.processes.start_stand_in(
            UPSTREAMS,
            'standins.upstreams',
            upstreams.Settings(
                self._path('upstreams.ready'),
                self._path('upstreams.ledger'),
                topology.vms(self.plan, model.VmRole.UPSTREAM),
            ),
        )

    def _choose_addresses(self) -> None:
        ports = iter(daemons.free_addresses(3 * len(self._zone_of_entry)))
        for vm_id in self._zone_of_entry:
            callers, operators, peers = next(ports), next(ports), next(ports)
            self.entries[vm_id] = daemons.Addresses(
                callers, operators, peers, peers
            )

    async def _start_proxies_and_platform(self) -> None:
        for name in (PEER_PROXIES, PLATFORM_PROXIES, PLATFORM):
            if name in self.processes.by_name:
                self.processes.by_name[name].kill()
        if self.plan.network.proxied:
            await self._start_peer_proxies()
        await self._start_platform()
        if self.plan.network.proxied:
            await self._start_platform_proxies()

    async def _start_peer_proxies(self) -> None:
        sources = tuple(self.entries)
        routes = tuple(
            faultproxy.Route(vm_id, addresses.peers, sources)
            for vm_id, addresses in self.entries.items()
        )
        ready = await self._start_proxies(PEER_PROXIES, routes)
        for vm_id, addresses in self.entries.items():
            self.entries[vm_id] = msgspec.structs.replace(
                addresses, published_peers=ready.addresses_by_id[vm_id]
            )

    async def _start_platform_proxies(self) -> None:
        target = self._ready[PLATFORM].addresses_by_id[PLATFORM]
        routes = tuple(
            faultproxy.Route(zone.name, target) for zone in self.plan.zones
        )
        await self._start_proxies(PLATFORM_PROXIES, routes)

    async def _start_proxies(
        self, name: str, routes: tuple[faultproxy.Route, ...]
    ) -> serving.Ready:
        settings = faultproxy.Settings(self._path(f'{name}.ready'), routes)
        ready = await self.processes.start_stand_in(
            name, 'faultproxy', settings
        )
        self._ready[name] = ready
        return ready

    async def _start_platform(self) -> None:
        addresses = {
            **self._ready[WORKERS].addresses_by_id,
            **self._ready[UPSTREAMS].addresses_by_id,
            **{
                str(vm_id): own.published_peers
                for vm_id, own in self.entries.items()
            },
        }
        listed = tuple(
            msgspec.structs.replace(vm, address=addresses[vm.vm_id])
            for role in model.VmRole
            for vm in topology.vms(self.plan, role)
        )
        settings = platform.Settings(
            self._path('platform.ready'),
            self._path('platform.ledger'),
            listed,
            self.plan.platform.vm_lag_s,
            self.plan.platform.delay_s,
        )
        self._ready[PLATFORM] = await self.processes.start_stand_in(
            PLATFORM, 'standins.platform', settings
        )

    def _platform_url(self, zone: str) -> str:
        name, key = PLATFORM, PLATFORM
        if self.plan.network.proxied:
            name, key = PLATFORM_PROXIES, zone
        return f'http://{self._ready[name].addresses_by_id[key]}'

    def _start_daemons(self) -> None:
        token = self.directory / daemons.TOKEN_FILE
        token.write_text(daemons.OPERATOR_TOKEN)
        token.chmod(0o600)
        for vm_id, zone in self._zone_of_entry.items():
            seeds = tuple(
                own.published_peers
                for other, own in self.entries.items()
                if other != vm_id
            )
            path = self.directory / f'{vm_id}.toml'
            values = daemons.make_settings(
                self.plan,
                zone,
                vm_id,
                self.entries[vm_id],
                self._platform_url(zone),
                seeds,
                self.directory,
            )
            daemons.write_settings(path, values)
            self.processes.start(vm_id, daemons.command(path))

    def _kill_daemons(self) -> None:
        for vm_id in self.entries:
            self.processes.by_name[vm_id].kill()

    def _port_clash(self) -> bool:
        return any(
            PORT_CLASH in self.processes.by_name[vm_id].output().lower()
            for vm_id in self.entries
        )

    async def _wait_for_daemons(self, path: str) -> None:
        for vm_id in self.entries:
            await self.wait_for_entry(vm_id, path)

    async def wait_for_entry(self, vm_id: model.VmId, path: str) -> None:
        """Wait until an entry answers 200 on a path, such as ``/readyz``."""
        url = self.entries[vm_id].callers_url + path

        async def answers() -> bool:
            self.processes.by_name[vm_id].check()
            try:
                async with self.http.get(url) as answer:
                    return answer.status == 200
            except (aiohttp.ClientError, OSError, TimeoutError):
                return False

        await waiting.until(answers, START_TIMEOUT_S, f'{vm_id} {path}')

    def _path(self, name: str) -> str:
        return str(self.directory / name)
