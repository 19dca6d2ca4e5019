"""Sizes and run times learned from lagging usage reports.

Declared values are often far off.  Learned run times decide about backfill;
a learned size raises what is committed for a task, but never lowers it
below the declaration, so that nothing is overcommitted.
"""

import bisect
import collections
import math

from samphirestack import model

MAX_SAMPLES = 128
"""Most recent samples per team and queue."""

MIN_SAMPLES = 8
"""Samples below which the declaration is used."""

QUANTILE = 0.95
MARGIN = 1.2
"""Factor on the quantile, since the next task may be the largest yet."""

UNLIMITED_S = math.inf
"""Run time of tasks that end only when they are stopped."""


class Samples:
    """The most recent values, with their quantile."""

    __slots__ = ('_ordered', '_recent')

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque()
        self._ordered: list[float] = []

    def add(self, value: float) -> None:
        """Add a value and forget the oldest beyond the bound."""
        self._recent.append(value)
        bisect.insort(self._ordered, value)
        if len(self._recent) > MAX_SAMPLES:
            oldest = self._recent.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def estimate(self) -> float | None:
        """Return the high quantile with its margin, if enough is known."""
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
    """Learned values per team and queue."""

    def __init__(self) -> None:
        self._by_source: dict[
            tuple[model.TeamId, model.QueueId], _Learned
        ] = {}

    def record_run_time(self, job: model.Job, run_time_s: float) -> None:
        """Learn from the run time of a task that succeeded."""
        self._learned(job).run_time_s.add(run_time_s)

    def record_peak_usage(self, job: model.Job, peak: model.Resources) -> None:
        """Learn from the peak use that an agent reported for a task."""
        learned = self._learned(job)
        learned.millicores.add(peak.millicores)
        learned.memory_mb.add(peak.memory_mb)

    def run_time_s(self, job: model.Job) -> float:
        """Return how long a task of ``job`` is expected to run.

        Without enough samples the declaration with the margin is used.
        """
        if job.kind is model.JobKind.SERVICE:
            return UNLIMITED_S
        learned = self._by_source.get((job.team, job.queue))
        known = learned.run_time_s.estimate() if learned else None
        return job.run_time_s * MARGIN if known is None else known

    def need(
        self, job: model.Job, largest: model.Resources
    ) -> model.Resources:
        """Return what to commit for a task of ``job``.

        :param largest: capacity that the result must not exceed unless the
            declaration does.
        """
        learned = self._by_source.get((job.team, job.queue))
        if learned is None:
            return job.resources
        declared = job.resources
        return model.Resources(
            _raised(
                declared.millicores,
                learned.millicores.estimate(),
                largest.millicores,
            ),
            _raised(
                declared.memory_mb,
                learned.memory_mb.estimate(),
                largest.memory_mb,
            ),
            declared.accelerators,
        )

    def _learned(self, job: model.Job) -> _Learned:
        return self._by_source.setdefault((job.team, job.queue), _Learned())


def _raised(declared: int, known: float | None, largest: int) -> int:
    if known is None:
        return declared
    return max(declared, min(math.ceil(known), largest))
