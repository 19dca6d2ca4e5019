"""Zones that the operator has evacuated, and what happens to their work.

This answers requests of the operator to empty an availability zone for a
while: no run starts there, and work that would last too long moves to other
zones.  Everything else ends where it is, since moving it would delay it.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from samphirestack.fleet import tracking
from samphirestack import model

STOP_REASON = 'zone is evacuated'
"""Reason to stop a run that is to go on in another zone."""

DRAIN_S = 5.0
"""Time after the request in which the work of a zone may end by itself."""

MIN_MOVED_S = 1.0
"""A run that needs less than this is left to end: a stop, a new order and the
reading of a checkpoint take about as long."""

AGE_MARGIN_S = 1.0
"""Margin by which starts are held back before the known requests are older
than the bound; an order takes up to this long until the run starts.  It is
at most half of the bound."""


class Evacuations:
    """The requests of the operator, as far as they are known.

    :param bound_s: time after a request from which no run may start in its
        zone.  Starts are held back while a request of this age could be
        unknown.  The default sets no such limit.
    """

    def __init__(self, bound_s: float = float('inf')) -> None:
        self._max_age_s = max(bound_s - AGE_MARGIN_S, bound_s / 2)
        self._begun_at_by_zone: dict[model.ZoneId, float] = {}
        self.confirmed_at = float('-inf')
        """Moment that the known requests reflect at least."""

    @property
    def begun_at_by_zone(self) -> Mapping[model.ZoneId, float]:
        """When each request that holds was first seen."""
        return self._begun_at_by_zone

    def begin(self, now: float, zone: model.ZoneId) -> None:
        """Record that a request was seen; a known one keeps its time."""
        self._begun_at_by_zone.setdefault(zone, now)

    def end(self, zone: model.ZoneId) -> None:
        """Record that a request was removed."""
        self._begun_at_by_zone.pop(zone, None)

    def retain(self, zones: Iterable[model.ZoneId]) -> None:
        """Record that all requests but those for these zones were removed."""
        kept = frozenset(zones)
        for zone in list(self._begun_at_by_zone):
            if zone not in kept:
                del self._begun_at_by_zone[zone]

    def covers(self, zone: model.ZoneId) -> bool:
        """Return whether nothing may start in a zone."""
        return zone in self._begun_at_by_zone

    def permits_starts(self, now: float) -> bool:
        """Return whether the known requests are recent enough for starts."""
        return now - self.confirmed_at <= self._max_age_s

    def should_move(
        self,
        now: float,
        worker: tracking.TrackedWorker,
        run: tracking.Run,
        workers: Iterable[tracking.TrackedWorker],
    ) -> bool:
        """Return whether a run that is at work is to go on in another zone.

        The answer for a member of a gang is meant for all its members.  For a
        long-running task, its disruption budget has a say as well.

        :param workers: all workers.
        """
        begun_at = self._begun_at_by_zone.get(worker.entry.zone)
        spec = run.task.step.spec
        if begun_at is None or run.state is not tracking.RunState.CONFIRMED:
            return False
        if not spec.long_running:
            remaining_s = spec.estimate_s * (1 - run.percent / 100)
            left_s = max(begun_at + DRAIN_S - now, MIN_MOVED_S)
            if not spec.checkpoints or remaining_s <= left_s:
                return False
        return any(
            other.entry.service == worker.entry.service
            and other.registered
            and not other.is_draining
            and not self.covers(other.entry.zone)
            for other in workers
        )
