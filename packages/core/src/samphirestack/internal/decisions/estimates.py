"""Task sizes and run times estimated from usage reports.

Declared values are often far off.  Estimated run times are used for
backfilling.  An estimated size can raise what is committed for a task above
the declaration, but never lowers it, so that workers are not overcommitted.
"""

import bisect
import collections
import math

from samphirestack import model

MAX_SAMPLES = 128
"""Recent samples that are kept for each value of a team and queue."""

MIN_SAMPLES = 8
"""Below this number of samples the declared value is used."""

QUANTILE = 0.95
MARGIN = 1.2
"""Factor on the quantile, since the next task may exceed all samples."""

UNLIMITED_S = math.inf
"""Run time of tasks that end only when they are stopped."""


class Samples:
    """A sliding window of samples with a quantile estimate."""

    __slots__ = ('_ordered', '_recent')

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, value: float) -> None:
        """Add a value; beyond ``MAX_SAMPLES`` the oldest is discarded."""
        self._recent.append(value)
        bisect.insort(self._ordered, value)
        if len(self._recent) > MAX_SAMPLES:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def estimate(self) -> float | None:
        """Return the quantile with its margin.

        ``None`` if there are fewer than ``MIN_SAMPLES`` samples.
        """
        count = len(self._ordered)
        if count < MIN_SAMPLES:
            return None
        rank = min(count - 1, math.ceil(QUANTILE * count) - 1)
        return self._ordered[rank] * MARGIN


class _Learned:
    __slots__ = ('memory_mb', 'millicores', 'run_time_s')

    def __init__(self) -> None:
        self.run_time_s = Samples()
        self.millicores = Samples()
        self.memory_mb = Samples()


class Estimates:
    """Estimates per team and queue."""

    def __init__(self) -> None:
        self._by_source: dict[
            tuple[model.TeamId, model.QueueId], _Learned
        ] = {}

    def record_run_time(self, job: model.Job, run_time_s: float) -> None:
        """Add the run time of a task that succeeded, in seconds."""
        self._learned(job).run_time_s.add(run_time_s)

    def record_peak_usage(self, job: model.Job, peak: model.Resources) -> None:
        """Add the peak use that an agent reported for a task."""
        learned = self._learned(job)
        learned.millicores.add(peak.millicores)
        learned.memory_mb.add(peak.memory_mb)

    def run_time_s(self, job: model.Job) -> float:
        """Return how long a task of ``job`` is expected to run, in seconds.

        Without enough samples this is the declared run time with the margin.
        """
        if job.kind is model.JobKind.SERVICE:
            return UNLIMITED_S
        learned = self._by_source.get((job.team, job.queue))
        estimate = learned.run_time_s.estimate() if learned else None
        return job.run_time_s * MARGIN if estimate is None else estimate

    def need(
        self, job: model.Job, largest: model.Resources
    ) -> model.Resources:
        """Return the resources to commit for a task of ``job``.

        :param largest: capacity that an estimate is capped at; a larger
            declaration is kept.
        """
        learned = self._by_source.get((job.team, job.queue))
        if learned is None:
            return job.resources
        declared = job.resources
        return model.Resources(
            _raise_to_estimate(
                declared.millicores,
                learned.millicores.estimate(),
                largest.millicores,
            ),
            _raise_to_estimate(
                declared.memory_mb,
                learned.memory_mb.estimate(),
                largest.memory_mb,
            ),
            declared.accelerators,
        )

    def _learned(self, job: model.Job) -> _Learned:
        return self._by_source.setdefault((job.team, job.queue), _Learned())


def _raise_to_estimate(
    declared: int, estimate: float | None, largest: int
) -> int:
    if estimate is None:
        return declared
    return max(declared, min(math.ceil(estimate), largest))
