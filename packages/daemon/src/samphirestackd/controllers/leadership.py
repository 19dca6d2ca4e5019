"""Drives the election of this zone and tracks leaders of other zones."""

import asyncio
from collections.abc import Callable
import functools

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal import leadership
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack import settings as settings_types
from samphirestackd.controllers import leaders
from samphirestackd import interfaces
from samphirestackd import logs
from samphirestackd import peers

TICK_S = 0.05
PROBE_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.3
MAX_CALLS_PER_WORKER = 2
"""A second call may succeed while the first hangs; more would pile up."""

SILENT_AFTER_TTLS = 2
"""Number of leader TTLs without an answer after which an arbiter is only asked
for its epoch.  Lease calls that take effect although their answers are lost
would keep the worker's lease alive while its tasks are placed again
elsewhere."""

TermHandler = Callable[[interfaces.Term | None], None]


class LeadershipController:
    """Implements ``LeaderDirectory`` and ``OwnTerms``.

    It must be created before the components that send reports to a new leader,
    so that a term of this node ends before they report.

    :param agent_at: returns a client of the agent at an address.
    """

    def __init__(
        self,
        settings: settings_types.Settings,
        clock: Callable[[], float],
        links: peers.PeerLinks,
        vms: interfaces.VmDirectory,
        events: interfaces.EventSink,
        agent_at: Callable[[str], platform.WorkerAgent],
    ) -> None:
        timing = settings.timing
        self._settings = settings
        self._clock = clock
        self._links = links
        self._vms = vms
        self._events = events
        self._agent_at = agent_at
        self._election = leadership.Leadership(
            settings.vm_id,
            clock(),
            leadership.Timing(
                timing.leader_ttl_s,
                timing.leader_renew_s,
                timing.worker_ttl_s,
                timing.peer_timeout_s,
            ),
        )
        self._leaders = leaders.LeaderTable(self._is_alive)
        self._term_handlers: list[TermHandler] = []
        self._notified_term: leadership.LeaderTerm | None = None
        self._calls_by_worker: dict[model.WorkerId, int] = {}
        self._unanswered_since: dict[model.WorkerId, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._next_probe_at = 0.0
        links.on_pong(self._on_pong)
        links.subscribe(messages.Ping, self._on_ping)
        links.subscribe(messages.LeaderChanged, self._on_leader_changed)
        links.subscribe(messages.HeldReport, self._on_held_report)

    def set_configuration(self, current: configuration.Configuration) -> None:
        """Use the arbiters of a new configuration."""
        zone = current.zones_by_id.get(self._settings.zone)
        self._election.set_arbiters(() if zone is None else zone.arbiters)

    def leader_of(self, zone: model.ZoneId) -> interfaces.Leader | None:
        """Return the leader with the highest epoch seen, if it is alive."""
        return self._leaders.leader_of(zone)

    def is_valid_leader(self, now: float) -> bool:
        """Return whether this node leads its zone and may act now."""
        return self._election.may_act(now)

    def on_leader_change(self, handler: leaders.LeaderHandler) -> None:
        """Call ``handler`` when the leader of a zone changes."""
        self._leaders.on_change(handler)

    def on_term(self, handler: TermHandler) -> None:
        """Call ``handler`` with each new term, and ``None`` at its end.

        The handlers are called again with the same epoch if ``grant_from`` is
        moved to an earlier time.
        """
        self._term_handlers.append(handler)

    def fenced_off(self, epoch: model.Epoch) -> None:
        """Report that an agent refused this node's epoch."""
        self._election.record_agent_epoch(self._clock(), epoch)

    def advertised_leader(self) -> tuple[model.VmId, model.Epoch]:
        """Return the leader and epoch that this node's heartbeats report.

        The leader is empty if none is known.
        """
        known = self._election.leader(self._clock())
        return known or (model.VmId(''), self._election.highest_epoch)

    def highest_epoch(self) -> model.Epoch:
        """Return the highest epoch of the zone that this node has seen."""
        return self._election.highest_epoch

    async def run(self) -> None:
        """Take part in the election until cancelled."""
        try:
            while True:
                self._step(self._clock())
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._tasks:
                task.cancel()

    async def drain(self) -> None:
        """Resign, and send a heartbeat to inform the peers at once."""
        self._election.resign(self._clock())
        self._notify_changes()
        self._links.heartbeat_now()

    def _step(self, now: float) -> None:
        call = self._election.tick(now)
        self._notify_changes()
        if call is not None:
            for worker in call.workers:
                self._start_lease_call(worker, call.epoch)
        silent = self._election.silent_leader(now)
        if silent is not None and now >= self._next_probe_at:
            self._next_probe_at = now + PROBE_INTERVAL_S
            self._spawn(self._probe(silent))

    def _notify_changes(self) -> None:
        term = self._election.term
        if term != self._notified_term:
            self._notify_term(self._notified_term, term)
        known = self._election.leader(self._clock())
        own_zone = self._settings.zone
        leader = None if known is None else interfaces.Leader(*known)
        self._leaders.set_own(own_zone, leader)
        self._leaders.notify_changes()

    def _notify_term(
        self,
        before: leadership.LeaderTerm | None,
        term: leadership.LeaderTerm | None,
    ) -> None:
        self._notified_term = term
        if before is not None and (term is None or term.epoch != before.epoch):
            self._events.record('leader.term_ended', epoch=before.epoch)
            self._call_handlers(None)
        if term is None:
            return
        if before is None or before.epoch != term.epoch:
            self._events.record('leader.term_began', epoch=term.epoch)
            self._links.broadcast(
                messages.LeaderChanged(self._settings.vm_id, term.epoch)
            )
        self._call_handlers(
            interfaces.Term(
                term.epoch, term.grant_from, term.restart_lost_after
            )
        )

    def _call_handlers(self, term: interfaces.Term | None) -> None:
        for handler in self._term_handlers:
            logs.guard(functools.partial(handler, term))

    def _start_lease_call(
        self, worker: model.WorkerId, epoch: model.Epoch
    ) -> None:
        vm = self._vms.vms_by_id().get(model.VmId(worker))
        running = self._calls_by_worker.get(worker, 0)
        if vm is None or running >= MAX_CALLS_PER_WORKER:
            return
        self._calls_by_worker[worker] = running + 1
        agent = self._agent_at(vm.address)
        if self._is_silent_arbiter(worker):
            epoch = leadership.PROBE_EPOCH
        self._spawn(self._request_lease(worker, agent, epoch))

    def _is_silent_arbiter(self, worker: model.WorkerId) -> bool:
        if self._election.term is None:
            return False
        now = self._clock()
        since = self._unanswered_since.get(worker, now)
        ttl_s = self._settings.timing.leader_ttl_s
        return now - since > SILENT_AFTER_TTLS * ttl_s

    async def _request_lease(
        self,
        worker: model.WorkerId,
        agent: platform.WorkerAgent,
        epoch: model.Epoch,
    ) -> None:
        sent_at = self._clock()
        self._unanswered_since.setdefault(worker, sent_at)
        ttl_s = self._settings.timing.worker_ttl_s
        try:
            await agent.lease(self._settings.vm_id, epoch, ttl_s, False)
        except errors.FencedOff as error:
            self._unanswered_since.pop(worker, None)
            held = model.Epoch(error.epoch)
            self._election.record_rejected_lease(
                self._clock(), worker, held, epoch
            )
        except errors.SamphireError as error:
            logs.debug('lease.failed', worker=worker, reason=error.message)
        else:
            self._unanswered_since.pop(worker, None)
            self._election.record_granted_lease(
                self._clock(), worker, epoch, sent_at
            )
        finally:
            self._calls_by_worker[worker] -= 1
        self._notify_changes()

    async def _probe(self, vm_id: model.VmId) -> None:
        """Check whether the port of a silent node refuses connections."""
        peer = self._links.peers_by_id().get(vm_id)
        if peer is None:
            return
        host, _, port = peer.address.rpartition(':')
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            self._election.record_refused_connection(vm_id)
            self._notify_changes()
        except (OSError, ValueError):
            return
        else:
            writer.close()

    def _spawn(self, coroutine: object) -> None:
        assert asyncio.iscoroutine(coroutine)
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_alive(self, vm_id: model.VmId) -> bool:
        return vm_id == self._settings.vm_id or self._links.is_alive(vm_id)

    def _on_pong(
        self, sender: model.VmId, pong: messages.Pong, sent_at: float
    ) -> None:
        self._observe_leader(
            sender, pong.zone, pong.leader, pong.epoch, pong.draining
        )

    def _on_ping(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Ping)
        self._observe_leader(
            sender,
            message.zone,
            message.leader,
            message.epoch,
            message.draining,
        )

    def _on_leader_changed(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.LeaderChanged)
        peer = self._links.peers_by_id().get(sender)
        if peer is not None:
            self._observe_leader(
                sender, peer.zone, message.leader, message.epoch, False
            )

    def _on_held_report(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.HeldReport)
        self._election.record_held_report(self._clock(), sender, message.epoch)
        self._notify_changes()

    def _observe_leader(
        self,
        sender: model.VmId,
        zone: model.ZoneId,
        leader: model.VmId,
        epoch: model.Epoch,
        draining: bool,
    ) -> None:
        if sender == self._settings.vm_id:
            return
        if zone == self._settings.zone:
            now = self._clock()
            self._election.record_heartbeat(
                now, sender, leader, epoch, draining
            )
            self._notify_changes()
        else:
            self._leaders.observe(zone, sender, leader, epoch)
