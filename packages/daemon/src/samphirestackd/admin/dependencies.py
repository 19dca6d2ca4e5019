"""What the operators' interface needs of the other parts of the daemon."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

import msgspec

from samphirestack import configuration
from samphirestack import model


class Configurator(Protocol):
    """Changes the published configuration."""

    async def change(
        self,
        changes: list[configuration.Change],
        expected_revision: int,
        author: str,
        dry_run: bool,
    ) -> configuration.Configuration:
        """Apply changes and return the configuration that follows.

        :raises errors.Conflict: another change came first.
        :raises errors.InvalidChange: the result would not be valid.
        :raises errors.StoreUnavailable: nothing was changed.
        :raises errors.OutcomeUnknown: the change may be accepted.
        """

    async def history(self, limit: int) -> Sequence[object]:
        """Return the newest accepted changes, newest first, for JSON."""


class EventLog(Protocol):
    """The events of this process that are kept in memory."""

    def since(self, number: int, limit: int) -> Sequence[object]:
        """Return events numbered above ``number``, oldest first, for JSON.

        Each has ``number``, ``clock`` (Lamport), ``at_s`` (wall clock),
        ``node`` and ``kind``, and its other fields beside them.
        """


class Metrics(Protocol):
    """The metrics of this process."""

    def render(self) -> tuple[bytes, str]:
        """Return the text of all metrics and its content type."""


class LeaderState(Protocol):
    """What this node knows while it leads its zone."""

    def explain_job(self, job_id: model.JobId) -> str | None:
        """Return why a job waits or what it does.

        ``None`` if this node does not lead.
        """

    def explain_share(self, team: model.TeamId) -> object | None:
        """Return a team's standing for JSON.

        ``None`` if this node does not lead.
        """

    def worker_states(self) -> Mapping[model.VmId, str]:
        """Return the state of each worker of the zone in a word."""


class Dependencies(msgspec.Struct, frozen=True):
    """The other parts, and what this node does when asked to drain."""

    configurator: Configurator
    events: EventLog
    metrics: Metrics
    leader_state: LeaderState
    start_drain: Callable[[], None]
    """Begins the graceful shutdown and returns at once."""
    configuration_age_s: Callable[[], float] = lambda: 0.0
    """Seconds since the configuration was last known to be current."""
