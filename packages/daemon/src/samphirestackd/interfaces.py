"""Interfaces between the components of the daemon."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model

Handler = Callable[[model.VmId, messages.AnyMessage], None]


class Peer(msgspec.Struct, frozen=True):
    """Another daemon, with the state from its last answered heartbeat."""

    vm_id: model.VmId
    zone: model.ZoneId
    address: str
    alive: bool
    draining: bool
    fresh: bool
    revision: model.Revision


class Leader(msgspec.Struct, frozen=True):
    """The leader of a zone, as known to this node."""

    vm_id: model.VmId
    epoch: model.Epoch


class PeerLinks(Protocol):
    """Links to all other daemons.

    Sending never blocks.  A message to a peer that can't be reached is
    dropped; a sender that needs an answer sets a deadline.  Messages to the
    node itself are delivered as well.
    """

    @property
    def own_id(self) -> model.VmId:
        """Name of this VM."""

    def send(self, to: model.VmId, message: messages.AnyMessage) -> bool:
        """Send a message without blocking.

        :return: false if the peer is unknown or dead, or its queue is full.
        """

    def subscribe(
        self, kind: type[messages.Message], handler: Handler
    ) -> None:
        """Call ``handler`` with the sender for each message of a type."""

    def peers_by_id(self) -> dict[model.VmId, Peer]:
        """Return all known peers except this node."""


class ConfigurationView(Protocol):
    """The configuration that this node applies."""

    @property
    def current(self) -> configuration.Configuration:
        """The newest known configuration."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the revision is known to be the newest one."""

    def on_change(
        self, handler: Callable[[configuration.Configuration], None]
    ) -> None:
        """Call ``handler`` after each change of the configuration."""


class LeaderDirectory(Protocol):
    """Which node leads each availability zone."""

    def leader_of(self, zone: model.ZoneId) -> Leader | None:
        """Return the leader with the highest known epoch, if it is alive."""

    def is_valid_leader(self, now: float) -> bool:
        """Return whether this node leads its zone and may act now."""

    def on_leader_change(
        self, handler: Callable[[model.ZoneId, Leader | None], None]
    ) -> None:
        """Call ``handler`` when the leader of a zone changes."""


class EventSink(Protocol):
    """Recorder of events for operators."""

    def record(self, kind: str, **fields: str | int | float | bool) -> None:
        """Record an event.

        :param kind: name of the event, such as ``request.sent``.
        :param fields: ids and numbers; never keys, tokens or bodies.
        """


class Term(msgspec.Struct, frozen=True):
    """A term of this node as zone leader; times are monotonic seconds."""

    epoch: model.Epoch
    grant_from: float
    """Time from which slots may be granted and tasks started."""
    restart_lost_after: float
    """Time from which tasks are no longer running on workers that have not
    answered since the start of the term."""


class OwnTerms(Protocol):
    """Notification of the terms in which this node leads its zone."""

    def on_term(self, handler: Callable[[Term | None], None]) -> None:
        """Call ``handler`` with each new term, and ``None`` at its end."""

    def fenced_off(self, epoch: model.Epoch) -> None:
        """Report that an agent refused this node's epoch for a higher one."""


class VmDirectory(Protocol):
    """The platform's list of VMs as last read, retained during outages."""

    def vms_by_id(self) -> dict[model.VmId, model.Vm]:
        """Return all VMs of all zones; empty before the first read."""

    def on_vms(
        self, handler: Callable[[dict[model.VmId, model.Vm]], None]
    ) -> None:
        """Call ``handler`` after each read that changed the list."""


class Component(Protocol):
    """A part of the daemon that runs as a task until shutdown."""

    async def run(self) -> None:
        """Run until cancelled."""

    async def drain(self) -> None:
        """Accept no new work and return when nothing is in flight."""
