"""Creation, supervision and shutdown of the daemon's components."""

import asyncio
import time
from typing import Any

import eliot

from samphirestack.internal import freshness
from samphirestack import model
from samphirestack import settings as settings_types
from samphirestackd import admin
from samphirestackd import context as contexts
from samphirestackd.controllers import config_store
from samphirestackd.controllers import configuration
from samphirestackd.controllers import leadership
from samphirestackd.controllers import requests
from samphirestackd.controllers import tasks
from samphirestackd.controllers import team_accounting
from samphirestackd import dispatch
from samphirestackd import edge
from samphirestackd import events
from samphirestackd import gauges
from samphirestackd import interfaces
from samphirestackd import lamport
from samphirestackd import leader_state
from samphirestackd import logs
from samphirestackd import metrics
from samphirestackd import peers
from samphirestackd import platform_http
from samphirestackd import serving
from samphirestackd import upstream_http
from samphirestackd import vms

COMPONENT_RESTART_DELAY_S = 1.0
"""Delay before a component that failed is run again."""

MIN_CONNECTIONS = 2
"""Minimum of the upstream client: one for requests, one for status calls."""


class Daemon:
    """The daemon of one entry VM.

    :param token: bearer token of operators.
    """

    def __init__(
        self,
        settings: settings_types.Settings,
        keys: peers.Keys | None,
        token: str,
        writer: logs.LineWriter,
    ) -> None:
        self._settings = settings
        self._stop_requests = 0
        self._stopping = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._draining = False
        self._lamport = lamport.LamportClock()
        self._freshness = freshness.Freshness(
            settings.vm_id, settings.timing.freshness_s
        )
        self.events = events.EventLog(
            settings.node.vm_id, settings.log.events_kept, self._lamport
        )
        self._metrics = metrics.Metrics()
        self.events.add_listener(self._metrics.count_event)
        self._connect_platform()
        self.links = peers.PeerLinks(
            settings, time.monotonic, self._lamport, keys, self._status
        )
        self._create_controllers()
        self.context = self._create_context()
        self._dispatcher = dispatch.create(self.context)
        self._components = self._create_components()
        gauges.add_sources(self._metrics, self, writer)
        self._servers = self._create_servers(token)

    def stop(self) -> None:
        """Drain and exit; a second call exits without completing the drain."""
        self._stop_requests += 1
        self._stopping.set()
        if self._stop_requests > 1:
            self._stop_now.set()

    async def run(self) -> None:
        """Serve until :meth:`stop` was called and the drain has ended.

        :raises OSError: an address can't be used.
        """
        self.links.listen()
        running = [
            asyncio.create_task(self._run_with_restarts(component))
            for component in self._components
        ]
        for server in self._servers:
            server.start()
        self.events.record('node.started', zone=self._settings.node.zone)
        try:
            await self._stopping.wait()
            await self._drain()
        finally:
            for server in self._servers:
                await server.stop()
            for task in running:
                task.cancel()
            await asyncio.wait(running)
            for client in self._clients:
                await client.close()

    async def _drain(self) -> None:
        self._draining = True
        self.events.record('node.draining')
        drain_tasks = [
            asyncio.create_task(component.drain())
            for component in self._components
        ]
        stop_requested = asyncio.ensure_future(self._stop_now.wait())
        all_drained = asyncio.gather(*drain_tasks, return_exceptions=True)
        waited: list[asyncio.Future[Any]] = [all_drained, stop_requested]
        await asyncio.wait(
            waited,
            timeout=self._settings.timing.drain_timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        complete = all_drained.done()
        all_drained.cancel()
        stop_requested.cancel()
        self.events.record('node.drained', complete=complete)

    async def _run_with_restarts(
        self, component: interfaces.Component
    ) -> None:
        # A component drives a state machine, which a failed step leaves
        # unchanged, so that the component can be run again.
        while True:
            try:
                await component.run()
                return
            except Exception:
                eliot.write_traceback()
                self.events.record(
                    'node.part_failed', part=type(component).__name__
                )
            await asyncio.sleep(COMPONENT_RESTART_DELAY_S)

    def _connect_platform(self) -> None:
        urls = self._settings.platform
        timeout_s = urls.timeout_s
        self._table = platform_http.HttpTable(urls.table_url, timeout_s)
        vm_list = platform_http.HttpVmList(urls.vms_url, timeout_s)
        self._agents = platform_http.Agents(timeout_s)
        self._upstreams = upstream_http.HttpUpstreamClient(
            self._max_connections_at
        )
        self._clients = (self._table, vm_list, self._agents, self._upstreams)
        self.vms = vms.VmDirectory(
            vm_list, self._settings.timing.vm_list_poll_s, time.monotonic
        )
        self._connections_by_address: dict[str, int] = {}
        self._closing_agents: asyncio.Future[None] | None = None
        self.vms.on_vms(self._handle_vms)

    def _create_controllers(self) -> None:
        common = (
            self._settings,
            time.monotonic,
            self.links,
            self.vms,
            self.events,
        )
        store = config_store.ConfigStore(self._table, time.monotonic)
        self.configuration = configuration.ConfigurationController(
            *common,
            store,
            self._freshness,
            lambda: self.links.own_address,
        )
        # Must come before all components that respond to a new leader; see
        # the class.
        self.leadership = leadership.LeadershipController(
            *common, self._agents.at
        )
        self.configuration.on_change(self.leadership.set_configuration)

    def _create_context(self) -> contexts.Context:
        return contexts.Context(
            self._settings,
            time.monotonic,
            self.links,
            self.configuration,
            self.leadership,
            self.leadership,
            self.vms,
            self.events,
            self._table,
            self._agents.at,
            self._upstreams,
        )

    def _create_components(self) -> list[interfaces.Component]:
        accounting = team_accounting.create_accounting()
        self._requests = requests.create(self.context, accounting)
        self._tasks = tasks.create(self.context, accounting)
        return [
            self.links,
            self.vms,
            self.configuration,
            self.leadership,
            self._dispatcher,
            self._requests,
            self._tasks,
        ]

    def _create_servers(self, token: str) -> list[serving.HttpServer]:
        settings = self._settings
        callers = edge.create_app(self.context, self._dispatcher)
        dependencies = admin.Dependencies(
            self.configuration,
            self.events,
            self._metrics,
            leader_state.LeaderState(self._requests, self._tasks),
            self.stop,
            self.configuration.age_s,
        )
        operators = admin.create_app(
            self.context, self._dispatcher, dependencies, token
        )
        return [
            serving.HttpServer(edge.server_config(app, address, settings.edge))
            for app, address in (
                (callers, settings.listen.callers),
                (operators, settings.listen.operators),
            )
        ]

    def _status(self) -> peers.NodeStatus:
        leader, epoch = self.leadership.advertised_leader()
        return peers.NodeStatus(
            self._freshness.revision,
            self._freshness.promised,
            leader,
            epoch,
            self._draining,
            self._freshness.is_fresh(time.monotonic()),
        )

    def _handle_vms(self, listed: dict[model.VmId, model.Vm]) -> None:
        self.links.set_vms(listed)
        entries = sum(vm.role is model.VmRole.ENTRY for vm in listed.values())
        self._closing_agents = asyncio.ensure_future(
            self._agents.close_all_except(
                frozenset(
                    vm.address
                    for vm in listed.values()
                    if vm.role is model.VmRole.WORKER
                )
            )
        )
        self._connections_by_address = {
            vm.address: max(MIN_CONNECTIONS, vm.connections // max(1, entries))
            for vm in listed.values()
            if vm.role is model.VmRole.UPSTREAM
        }

    def _max_connections_at(self, address: str) -> int:
        return self._connections_by_address.get(address, MIN_CONNECTIONS)
