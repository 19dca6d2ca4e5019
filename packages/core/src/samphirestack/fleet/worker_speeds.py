"""Relative speeds of workers, seen from the progress of their runs.

The progress of a run is compared with that of other runs of its step, or
else of its queue, so that wrong estimates cancel out.  The speed of a worker
is the median of its recent comparisons.

This answers loads in which gangs, which wait for their slowest member, and
urgent tasks share workers that differ in speed or become slow for seconds.
"""

import collections
import math
import statistics

from samphirestack.fleet import ordering
from samphirestack.fleet import packing
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack import model

MIN_SPEED = 0.1
MAX_SPEED = 2.0
"""Bounds of a speed; the usual one is 1."""

SAMPLE_S = 0.9
MAX_SAMPLE_S = 2.0
MIN_PROGRESS_PERCENT = 5.0
"""A worker is looked at in the first interval.  A run is compared once it made
this progress, and after the second time in any case."""

MAX_RUNS = 6
"""Runs of one worker that are followed at a time; more would tell little."""

MAX_AGE_S = 20.0
"""Age at which a comparison no longer counts."""

MAX_COMPARISONS = 9
"""Comparisons of one worker that are kept, the latest ones."""

MIN_COMPARISONS = 3
"""Runs from which a worker is judged; with fewer it counts as usual."""

MIN_REFERENCES = 3
"""Samples of a step, or of a queue, that a run is compared with at least.
Steps of fewer tasks are compared within their queue."""

REFERENCE_WEIGHT = 0.1
"""Least weight of a new sample in the mean of a step or a queue."""

MAX_QUEUES = 256
MAX_STEPS = 1024
"""Bounds of the means that are kept; the oldest are forgotten first."""

SLOW_SPEED = 0.8
"""Speed below which gangs and urgent tasks avoid a worker."""

SLOW_PENALTY = 3.0
"""Score of a worker that stands still.  One at SLOW_SPEED scores a fifth of
it; a rack far from the data weighs more than three times as much."""


_RunKey = tuple[model.TaskId, int]
_Samples = dict[_RunKey, tuple[float, float]]
"""Time and progress at the last sample of each run."""


class _Mean:
    """Moving average that begins as the plain one."""

    __slots__ = ('count', 'value')

    def __init__(self) -> None:
        self.count = 0
        self.value = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(REFERENCE_WEIGHT, 1 / self.count)
        self.value += weight * (value - self.value)


class WorkerSpeeds:
    """Learns how fast workers are during one term."""

    def __init__(self) -> None:
        self._steps: collections.OrderedDict[str, _Mean] = (
            collections.OrderedDict()
        )
        self._queues: collections.OrderedDict[str, _Mean] = (
            collections.OrderedDict()
        )
        self._samples: dict[model.WorkerId, tuple[float, _Samples]] = {}
        """When each worker was looked at last, and its runs then."""
        self._comparisons: dict[
            model.WorkerId,
            collections.OrderedDict[_RunKey, tuple[float, float]],
        ] = {}
        """Time and logarithm of the last comparison of each run."""
        self._slow_ids: set[model.WorkerId] = set()

    @property
    def slow_count(self) -> int:
        """Number of workers that were slow at their last comparison."""
        return len(self._slow_ids)

    def observe(self, now: float, worker: tracking.TrackedWorker) -> None:
        """Learn from a report that was just applied to a worker."""
        worker_id = worker.entry.worker_id
        observed_at, before = self._samples.get(worker_id, (now, {}))
        if before and now - observed_at < SAMPLE_S:
            return
        after: _Samples = {}
        for key, last in before.items():
            run = worker.runs_by_key.get(key)
            if run is not None and _is_comparable(worker, run):
                after[key] = self._sample(now, worker_id, key, run, last)
        if len(after) < MAX_RUNS:
            for key, run in worker.runs_by_key.items():
                if key not in after and _is_comparable(worker, run):
                    after[key] = (now, run.percent)
                    if len(after) >= MAX_RUNS:
                        break
        if after:
            self._samples[worker_id] = (now, after)
        else:
            self._samples.pop(worker_id, None)

    def _sample(
        self,
        now: float,
        worker_id: model.WorkerId,
        key: _RunKey,
        run: tracking.Run,
        last: tuple[float, float],
    ) -> tuple[float, float]:
        """Compare a run if it is due; return its last sample."""
        passed_s = now - last[0]
        progress = run.percent - last[1]
        if progress < 0:
            return now, run.percent
        if progress < MIN_PROGRESS_PERCENT and passed_s < MAX_SAMPLE_S:
            return last
        self._compare(now, worker_id, key, run, progress / passed_s)
        return now, run.percent

    def forget(self, worker_id: model.WorkerId) -> None:
        """Forget a worker that left."""
        self._samples.pop(worker_id, None)
        self._comparisons.pop(worker_id, None)
        self._slow_ids.discard(worker_id)

    def speed(self, now: float, worker_id: model.WorkerId) -> float:
        """Return the speed of a worker; the usual one is 1."""
        comparisons = self._comparisons.get(worker_id)
        if comparisons is None:
            return 1.0
        recent = [
            value
            for seen_at, value in comparisons.values()
            if now - seen_at <= MAX_AGE_S
        ]
        if len(recent) < MIN_COMPARISONS:
            return 1.0
        speed = math.exp(statistics.median(recent))
        return min(MAX_SPEED, max(MIN_SPEED, speed))

    def penalty(
        self, now: float, step: work.StepRun
    ) -> packing.Penalty | None:
        """Return what the speed of a worker adds to its score for a step.

        :return: ``None`` if the step takes workers of any speed.
        """
        if not step.spec.gang and (
            step.job.queue.priority != ordering.URGENT_PRIORITY
        ):
            return None
        if not self._comparisons:
            return None

        def penalty(candidate: packing.Candidate) -> float:
            if candidate.speed is None:
                candidate.speed = self.speed(
                    now, candidate.worker.entry.worker_id
                )
            if candidate.speed >= SLOW_SPEED:
                return 0.0
            return SLOW_PENALTY * (1 - candidate.speed)

        return penalty

    def _compare(
        self,
        now: float,
        worker_id: model.WorkerId,
        key: _RunKey,
        run: tracking.Run,
        percent_per_s: float,
    ) -> None:
        step = run.task.step
        estimate_s = max(work.MIN_ESTIMATE_S, step.spec.estimate_s)
        speed = percent_per_s / 100 * estimate_s
        value = math.log(max(MIN_SPEED / 10, speed))
        in_step = _mean(self._steps, step.id, MAX_STEPS)
        in_queue = _mean(
            self._queues, str(step.job.queue.queue_id), MAX_QUEUES
        )
        reference = in_step if step.spec.count >= MIN_REFERENCES else in_queue
        if reference.count >= MIN_REFERENCES:
            comparisons = self._comparisons.setdefault(
                worker_id, collections.OrderedDict()
            )
            comparisons[key] = (now, value - reference.value)
            comparisons.move_to_end(key)
            if len(comparisons) > MAX_COMPARISONS:
                comparisons.popitem(last=False)
            if self.speed(now, worker_id) < SLOW_SPEED:
                self._slow_ids.add(worker_id)
            else:
                self._slow_ids.discard(worker_id)
        in_step.add(value)
        in_queue.add(value)


def _mean(
    means: collections.OrderedDict[str, _Mean], key: str, limit: int
) -> _Mean:
    mean = means.get(key)
    if mean is None:
        if len(means) >= limit:
            means.popitem(last=False)
        mean = means[key] = _Mean()
    means.move_to_end(key)
    return mean


def _is_comparable(worker: tracking.TrackedWorker, run: tracking.Run) -> bool:
    """Return whether the progress of a run tells the speed of its worker."""
    spec = run.task.step.spec
    return (
        run.state is tracking.RunState.CONFIRMED
        and run.stop is None
        and not spec.long_running
        and not spec.filler
        and (not spec.data_rack or worker.entry.rack == spec.data_rack)
    )
