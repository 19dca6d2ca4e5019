"""What the holder shows operators of evacuations."""

from collections.abc import Set

from samphirestack.fleet import scheduler as schedulers
from samphirestack import model
from samphirestackd.fleet import metrics
from samphirestackd import logs

COUNT_INTERVAL_S = 0.5
"""Interval between counts of the runs in evacuated zones."""


class EvacuationReporter:
    """Logs the beginnings and ends of evacuations and counts their runs.

    Its lines are few, and don't count for the limit of the decision log.
    """

    def __init__(
        self,
        scheduler: schedulers.FleetScheduler,
        process_metrics: metrics.Metrics,
    ) -> None:
        self._scheduler = scheduler
        self._metrics = process_metrics
        self._runs_by_zone: dict[model.ZoneId, int] = {}
        """Number of runs in each evacuated zone at the last count."""
        self._counted_at = float('-inf')

    def update(self, now: float) -> None:
        """Report what changed since the last call."""
        begun_at_by_zone = self._scheduler.evacuations.begun_at_by_zone
        if not self._runs_by_zone and not begun_at_by_zone:
            return
        ended = self._runs_by_zone.keys() - begun_at_by_zone.keys()
        begun = begun_at_by_zone.keys() - self._runs_by_zone.keys()
        is_count_due = now - self._counted_at >= COUNT_INTERVAL_S
        if not (ended or begun or is_count_due):
            return
        self._counted_at = now
        run_counts_by_zone = self._count_runs(ended | begun_at_by_zone.keys())
        for zone in sorted(ended):
            self._forget(zone)
            logs.info(
                'evacuation.ended',
                zone=zone,
                workers=len(run_counts_by_zone[zone]),
            )
        for zone, begun_at in begun_at_by_zone.items():
            workers = len(run_counts_by_zone[zone])
            runs = sum(run_counts_by_zone[zone])
            if zone in begun:
                _report_begun(zone, workers, runs)
            elif workers and not runs and self._runs_by_zone[zone]:
                logs.info(
                    'evacuation.emptied',
                    zone=zone,
                    took_s=round(now - begun_at, 3),
                )
            self._runs_by_zone[zone] = runs
            if workers:
                self._metrics.evacuated_runs.set({'zone': zone}, runs)
        self._metrics.evacuated_zones.set({}, len(self._runs_by_zone))

    def close(self) -> None:
        """Show no evacuations any more, at the end of the term."""
        for zone in list(self._runs_by_zone):
            self._forget(zone)
        self._metrics.evacuated_zones.set({}, 0)

    def _forget(self, zone: model.ZoneId) -> None:
        if self._runs_by_zone.pop(zone):
            self._metrics.evacuated_runs.set({'zone': zone}, 0)

    def _count_runs(
        self, zones: Set[model.ZoneId]
    ) -> dict[model.ZoneId, list[int]]:
        """Return the number of runs on each worker of each of the zones."""
        result: dict[model.ZoneId, list[int]] = {zone: [] for zone in zones}
        for worker in self._scheduler.workers_by_id.values():
            if worker.entry.zone in result:
                result[worker.entry.zone].append(len(worker.runs_by_key))
        return result


def _report_begun(zone: model.ZoneId, workers: int, runs: int) -> None:
    logs.info('evacuation.begun', zone=zone, workers=workers, runs=runs)
    if not workers:
        logs.limited_warning(
            'evacuation.unknown_zone', zone, 'no worker is in this zone'
        )
