"""Services that the components of a daemon are created with."""

from collections.abc import Callable

import msgspec

from samphirestack import platform
from samphirestack import settings
from samphirestackd import interfaces


class Context(msgspec.Struct, frozen=True):
    """The services that the components of one daemon share."""

    settings: settings.Settings
    clock: Callable[[], float]
    """Monotonic time in seconds."""
    links: interfaces.PeerLinks
    view: interfaces.ConfigurationView
    leaders: interfaces.LeaderDirectory
    terms: interfaces.OwnTerms
    vms: interfaces.VmDirectory
    events: interfaces.EventSink
    table: platform.Table
    agent_at: Callable[[str], platform.WorkerAgent]
    """Returns a client of the worker agent at an address."""
    upstreams: platform.UpstreamClient
