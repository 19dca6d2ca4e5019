"""Interfaces of the components that the operator API depends on."""

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
    """The newest events of this process, held in memory."""

    def since(self, number: int, limit: int) -> Sequence[object]:
        """Return events numbered above ``number``, oldest first, for JSON.

        Each has ``number``, ``clock`` (Lamport), ``at_s`` (wall clock),
        ``node``, ``kind`` and the fields of its kind.
        """


class Metrics(Protocol):
    """The metrics of this process."""

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in text format and its content type."""


class LeaderState(Protocol):
    """Scheduler state that is available while this node leads its zone."""

    def explain_job(self, job_id: model.JobId) -> str | None:
        """Return why a job waits, or its progress.

        ``None`` if this node does not lead.
        """

    def explain_share(self, team: model.TeamId) -> object | None:
        """Return a team's fair-share state, for JSON.

        ``None`` if this node does not lead.
        """

    def worker_states(self) -> Mapping[model.VmId, str]:
        """Return the name of the state of each worker of the zone."""


class Dependencies(msgspec.Struct, frozen=True):
    """The components that the handlers use."""

    configurator: Configurator
    events: EventLog
    metrics: Metrics
    leader_state: LeaderState
    start_drain: Callable[[], None]
    """Starts the graceful shutdown and returns at once."""
    configuration_age_s: Callable[[], float] = lambda: 0.0
    """Seconds since the configuration was last confirmed as current."""
