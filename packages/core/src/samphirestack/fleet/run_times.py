"""Run times learned from runs that ended well.

This answers declared run times that are often far off, on which forecasts and
reservations rest.  What is learned is a factor on the
declared time.  Where declarations are mostly noise, the factor falls as they
rise, so that the result approaches the usual time of such tasks.

Factors are learned for each queue, each kind of step in it, and each customer
of such a kind.  Each level shrinks towards the one above it, and the highest
one towards the declaration, as far as it has few samples.  Older samples fade
out.  Spread and tail are histograms of the ratio between a run time and its
expectation.
"""

from collections.abc import Sequence
import math

import msgspec

from samphirestack.fleet import records
from samphirestack.fleet import work
from samphirestack.internal import decoding
from samphirestack import model

TABLE = 'run_times'
KEY = 'fleet'

WINDOW = 100.0
"""Total weight of the samples that count."""

SHRINKAGE = 8.0
"""Weight of samples at which a level counts as much as the one above it."""

RIDGE = 2.0
"""Spread of declared times, in squared logarithms, below which the factor
depends little on them."""

MIN_TAIL_WEIGHT = 5.0
"""Weight of samples from which a histogram is used."""

MAX_LOG_FACTOR = math.log(64.0)
BUCKETS_PER_OCTAVE = 4
BUCKET_WIDTH = math.log(2.0) / BUCKETS_PER_OCTAVE
BUCKET_RANGE = round(MAX_LOG_FACTOR / BUCKET_WIDTH)
"""Buckets below the expectation, and above it."""

MAX_ENCODED_BYTES = records.MAX_ROW_BYTES * 3 // 4
"""Part of the store's limit for rows."""

ARRAY_HEAD_BYTES = 5
MAX_QUEUES = 64
MAX_KINDS = 128
MAX_CUSTOMERS = 256
"""Levels of each sort; beyond, the one that was not used for longest goes."""


class _LevelRow(msgspec.Struct, frozen=True, array_like=True):
    key: tuple[str, ...]
    """Queue, kind of step and customer, as far as the level names them."""
    sums: tuple[
        decoding.Amount,
        decoding.Number,
        decoding.Number,
        decoding.Amount,
        decoding.Number,
    ]
    buckets: dict[decoding.Count, decoding.Amount]


class _Level:
    """Weighted sums of one level.

    Samples are pairs of the logarithm of the declared time and that of the
    factor.
    """

    __slots__ = (
        'buckets',
        'declared',
        'declared_squared',
        'factor',
        'mean_cache',
        'product',
        'weight',
    )

    def __init__(self) -> None:
        self.weight = 0.0
        self.declared = 0.0
        self.factor = 0.0
        self.declared_squared = 0.0
        self.product = 0.0
        self.buckets: dict[int, float] = {}
        """Weights by number of the bucket."""
        self.mean_cache: float | None = None

    def add(self, declared: float, factor: float, weight: float) -> None:
        keep = math.exp(-weight / WINDOW)
        self.weight = self.weight * keep + weight
        self.declared = self.declared * keep + weight * declared
        self.factor = self.factor * keep + weight * factor
        self.declared_squared = (
            self.declared_squared * keep + weight * declared * declared
        )
        self.product = self.product * keep + weight * declared * factor

    def add_residual(self, residual: float, weight: float) -> None:
        keep = math.exp(-weight / WINDOW)
        for number in self.buckets:
            self.buckets[number] *= keep
        number = round(residual / BUCKET_WIDTH) + BUCKET_RANGE
        number = max(0, min(2 * BUCKET_RANGE, number))
        self.buckets[number] = self.buckets.get(number, 0.0) + weight
        self.mean_cache = None

    def log_factor(self, declared: float, above: float) -> float:
        """Return the expected logarithm of the factor.

        :param above: what the level above expects.
        """
        if self.weight <= 0:
            return above
        share = self.weight / (self.weight + SHRINKAGE)
        return share * self.own_log_factor(declared) + (1 - share) * above

    def own_log_factor(self, declared: float) -> float:
        """Return what the samples of the level alone say."""
        mean_declared = self.declared / self.weight
        mean_factor = self.factor / self.weight
        spread = max(
            0.0, self.declared_squared - self.declared * mean_declared
        )
        slope = (self.product - self.factor * mean_declared) / (spread + RIDGE)
        slope = max(-1.0, min(0.0, slope))
        return mean_factor + slope * (declared - mean_declared)

    def row(self, key: tuple[str, ...]) -> _LevelRow:
        """Return what is stored of the level."""
        sums = (
            self.weight,
            self.declared,
            self.factor,
            self.declared_squared,
            self.product,
        )
        return _LevelRow(key, sums, self.buckets)

    @property
    def has_tail(self) -> bool:
        return sum(self.buckets.values()) >= MIN_TAIL_WEIGHT

    def mean_residual(self) -> float:
        """Return the mean ratio between a run time and its expectation."""
        if self.mean_cache is None:
            self.mean_cache = sum(
                weight * _bucket_ratio(number)
                for number, weight in self.buckets.items()
            ) / sum(self.buckets.values())
        return self.mean_cache

    def quantile_residual(self, q: float) -> float:
        """Return the ratio that a share ``q`` of the run times is within."""
        wanted = q * sum(self.buckets.values())
        for number in sorted(self.buckets):
            wanted -= self.buckets[number]
            if wanted <= 0:
                break
        return _bucket_ratio(number)


class RunTimes:
    """Learned run times."""

    def __init__(self) -> None:
        self._levels_by_key: dict[tuple[str, ...], _Level] = {}
        """Levels by queue, kind of step and customer, those used last at the
        end."""
        self._counts = [0, 0, 0]
        self.has_changes = False
        """Whether anything was learned since it was last encoded."""

    def expected_s(
        self,
        queue_id: model.QueueId,
        step: str,
        customer_id: model.TeamId,
        declared_s: float,
    ) -> float:
        """Return the mean run time to expect, in seconds.

        :param step: see ``step_key``.
        """
        levels = self._levels(queue_id, step, customer_id)
        usual_s = self._usual_s(levels, declared_s)
        tail = _tail_of(levels)
        return usual_s * tail.mean_residual() if tail else usual_s

    def quantile_s(
        self,
        queue_id: model.QueueId,
        step: str,
        customer_id: model.TeamId,
        declared_s: float,
        q: float,
    ) -> float:
        """Return the time within which a share of the runs end, in seconds.

        Without enough samples it is the expected time.

        :param step: see ``step_key``.
        :param q: the share, from 0 to 1.
        """
        levels = self._levels(queue_id, step, customer_id)
        usual_s = self._usual_s(levels, declared_s)
        tail = _tail_of(levels)
        return usual_s * tail.quantile_residual(q) if tail else usual_s

    def record(
        self,
        queue_id: model.QueueId,
        step: str,
        customer_id: model.TeamId,
        declared_s: float,
        real_s: float,
        weight: float = 1.0,
    ) -> None:
        """Learn from a run that ended well.

        :param step: see ``step_key``.
        :param weight: of the run; the tasks of one step resemble each other.
        """
        declared_s = max(work.MIN_ESTIMATE_S, declared_s)
        declared = math.log(declared_s)
        factor = _limited(math.log(max(real_s, 1e-3)) - declared)
        levels = [self._use(key) for key in _keys(queue_id, step, customer_id)]
        for level in levels:
            level.add(declared, factor, weight)
        # The declaration has no part in it: the gap that was there before
        # anything was learned is no spread.
        usual = levels[0].own_log_factor(declared)
        for level in levels[1:]:
            usual = level.log_factor(declared, usual)
        for level in levels[:-1]:
            level.add_residual(factor - _limited(usual), weight)
        self.has_changes = True

    def _usual_s(self, levels: Sequence[_Level], declared_s: float) -> float:
        declared_s = max(work.MIN_ESTIMATE_S, declared_s)
        return declared_s * math.exp(_log_factor(levels, math.log(declared_s)))

    def _levels(
        self, queue_id: str, step: str, customer_id: str
    ) -> list[_Level]:
        """Return the known levels, the highest first."""
        found = []
        for key in _keys(queue_id, step, customer_id):
            level = self._levels_by_key.get(key)
            if level is not None:
                found.append(level)
        return found

    def _use(self, key: tuple[str, ...]) -> _Level:
        """Return a level, which then counts as the one used last."""
        level = self._levels_by_key.pop(key, None)
        if level is None:
            self._make_room(len(key))
            self._counts[len(key) - 1] += 1
            level = _Level()
        self._levels_by_key[key] = level
        return level

    def _make_room(self, length: int) -> None:
        limit = (MAX_QUEUES, MAX_KINDS, MAX_CUSTOMERS)[length - 1]
        if self._counts[length - 1] < limit:
            return
        oldest = next(key for key in self._levels_by_key if len(key) == length)
        del self._levels_by_key[oldest]
        self._counts[length - 1] -= 1

    def encode(self) -> bytes:
        """Return the bytes to store, ``MAX_ENCODED_BYTES`` at most.

        What was used least recently is left out beyond that.
        """
        self.has_changes = False
        rows: list[msgspec.Raw] = []
        size = ARRAY_HEAD_BYTES
        for key, level in reversed(self._levels_by_key.items()):
            row = msgspec.msgpack.encode(level.row(key))
            size += len(row)
            if size > MAX_ENCODED_BYTES:
                break
            rows.append(msgspec.Raw(row))
        rows.reverse()
        return msgspec.msgpack.encode(rows)


_decode_rows = decoding.msgpack_decoder(list[_LevelRow])


def decode(data: bytes) -> RunTimes:
    """Read what ``RunTimes.encode`` returned.

    :raises msgspec.DecodeError: the bytes are no such value.
    """
    result = RunTimes()
    for row in _decode_rows(data):
        if not 1 <= len(row.key) <= 3:
            raise msgspec.ValidationError(f'{row.key} is no level')
        if any(number > 2 * BUCKET_RANGE for number in row.buckets):
            raise msgspec.ValidationError(f'{row.key} has unknown buckets')
        level = result._use(row.key)
        (
            level.weight,
            level.declared,
            level.factor,
            level.declared_squared,
            level.product,
        ) = row.sums
        level.buckets = dict(row.buckets)
    return result


def step_key(number: int, gang: bool) -> str:
    """Return the kind of a step.

    A gang takes as long as its slowest member, so its times are apart.
    """
    return f'{number}g' if gang else str(number)


def apply_to(times: RunTimes, job: work.Job) -> None:
    """Let a job expect what was learned."""
    job.expected_s_by_step = [
        max(
            work.MIN_ESTIMATE_S,
            times.expected_s(*_source(job, number), step.estimate_s),
        )
        for number, step in enumerate(job.spec.steps)
    ]


def quantile_of(times: RunTimes, step: work.StepRun, q: float) -> float:
    """Return the time within which a share of a step's tasks end."""
    source = _source(step.job, step.number)
    return times.quantile_s(*source, step.spec.estimate_s, q)


def record_run(times: RunTimes, step: work.StepRun, real_s: float) -> None:
    """Learn from a run of a task, or of a gang, that ended well."""
    weight = 1.0 if step.spec.gang else 1.0 / step.spec.count
    source = _source(step.job, step.number)
    times.record(*source, step.spec.estimate_s, real_s, weight)


def _source(
    job: work.Job, number: int
) -> tuple[model.QueueId, str, model.TeamId]:
    return (
        job.queue.queue_id,
        step_key(number, job.spec.steps[number].gang),
        job.customer_id,
    )


def _keys(
    queue_id: str, step: str, customer_id: str
) -> tuple[tuple[str, ...], ...]:
    return (
        (queue_id,),
        (queue_id, step),
        (queue_id, step, customer_id),
    )


def _log_factor(levels: Sequence[_Level], declared: float) -> float:
    result = 0.0
    for level in levels:
        result = level.log_factor(declared, result)
    return _limited(result)


def _tail_of(levels: Sequence[_Level]) -> _Level | None:
    for level in reversed(levels):
        if level.has_tail:
            return level
    return None


def _limited(log_factor: float) -> float:
    return max(-MAX_LOG_FACTOR, min(MAX_LOG_FACTOR, log_factor))


def _bucket_ratio(number: int) -> float:
    return math.exp((number - BUCKET_RANGE) * BUCKET_WIDTH)
