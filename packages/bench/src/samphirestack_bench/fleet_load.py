"""Jobs of three kinds that fill a fleet, for experiments with policies.

The kinds follow the users' sheets of the grown deployments: short urgent
jobs, wide patient ones and heavy gangs that few workers suit.
"""

import math
import random

import msgspec

from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model

SERVICE = model.ServiceId('service')
CUSTOMER = model.TeamId('customer')
SHEET_WORKERS = 176
"""Workers for which the sheets give the rates."""

WORKER_MILLICORES = 16_000

GANG_SHARE = 0.5
"""A gang takes this share of the workers that suit it at most, so that each
can be done."""

FIXED_WORTH = 0.3
MAX_WORTH = 4.0
"""A job is worth 0.3 of its kind's worth and 0.7 of it in proportion to its
work, at most four times that of its kind."""

LATE_WORTH = 0.2
LATE_FACTOR = 3.0
"""Share of the worth between one and three objectives."""

ADVISED_WORKERS = 30
"""The objective allows for a call for advice on so many workers a step."""


class Spread(msgspec.Struct, frozen=True):
    """A lognormal figure with an upper bound."""

    mean: float
    sigma: float
    most: float

    def draw(self, rng: random.Random) -> float:
        """Return a value."""
        value = rng.lognormvariate(
            math.log(self.mean) - self.sigma**2 / 2, self.sigma
        )
        return min(self.most, value)


class Kind(msgspec.Struct, frozen=True):
    """A kind of job, with its rate at ``SHEET_WORKERS`` workers."""

    name: str
    per_s: float
    worth: float
    tasks: Spread
    work_s: Spread
    millicores: Spread
    memory_mb: Spread
    steps: float
    gang: float
    """Share of jobs whose tasks must start together."""
    estimate_error: float
    suitable: float
    """Share of workers that may run a step."""
    queue: specs.Queue


def _queue(
    name: str,
    priority: int,
    stretch: float,
    target_s: float,
    advice: specs.AdvicePolicy,
) -> specs.Queue:
    return specs.Queue(
        model.QueueId(name),
        SERVICE,
        'host',
        f'/{name}/',
        priority=priority,
        max_attempts=4,
        stretch=stretch,
        latency_target_s=target_s,
        advice=advice,
    )


KINDS = (
    Kind(
        'gang',
        2.68,
        10.5,
        Spread(20, 0.8, 120),
        Spread(4.0, 0.5, 10.0),
        Spread(4500, 0.4, 7600),
        Spread(8100, 0.5, 16_000),
        1.2,
        1.0,
        0.2,
        0.3,
        _queue('gang', 1, 2.2, 1.0, specs.AdvicePolicy(0.35, 0.005, 2.0)),
    ),
    Kind(
        'wide',
        4.48,
        3.94,
        Spread(25, 0.8, 150),
        Spread(2.7, 0.5, 6.8),
        Spread(1700, 0.45, 5200),
        Spread(2500, 0.6, 7500),
        1.5,
        0.0,
        0.9,
        0.45,
        _queue('wide', 2, 4.0, 3.0, specs.AdvicePolicy(0.1, 0.0014, 2.0)),
    ),
    Kind(
        'urgent',
        62.5,
        0.396,
        Spread(3.2, 0.8, 19),
        Spread(0.64, 0.5, 1.6),
        Spread(2500, 0.45, 7400),
        Spread(3600, 0.6, 11_000),
        1.0,
        0.3,
        0.2,
        0.7,
        _queue('urgent', 0, 1.5, 0.25, specs.AdvicePolicy(0.007, 0.0001, 2.0)),
    ),
)


class Arrival(msgspec.Struct, frozen=True):
    """A job that will be handed in."""

    at: float
    kind: Kind
    record: records.JobRecord
    work_s_by_step: tuple[float, ...]
    """True run time of a step's tasks on a worker of usual speed."""
    objective_s: float
    core_s: float
    worth: float

    def earned(self, took_s: float) -> float:
        """Return what the job earns if it ends after a time."""
        if took_s <= self.objective_s:
            return self.worth
        if took_s <= LATE_FACTOR * self.objective_s:
            return LATE_WORTH * self.worth
        return 0.0


def arrivals(
    rng: random.Random,
    workers: int,
    length_s: float,
    load: float,
    burst: float,
) -> list[Arrival]:
    """Return the jobs of a day.

    :param load: rates in multiples of the sheets'.
    :param burst: factor on the rate of gangs in the middle eighth.
    """
    result: list[Arrival] = []
    for kind in KINDS:
        rate = kind.per_s * load * workers / SHEET_WORKERS
        at = 0.0
        while True:
            middle = 0.45 * length_s < at < 0.575 * length_s
            factor = burst if middle and kind.name == 'gang' else 1.0
            at += rng.expovariate(rate * factor)
            if at >= length_s:
                break
            number = len(result) + 1
            result.append(_arrival(rng, kind, at, number, workers))
    result.sort(key=lambda arrival: arrival.at)
    return result


def _arrival(
    rng: random.Random, kind: Kind, at: float, number: int, workers: int
) -> Arrival:
    size = model.Resources(
        max(100, int(kind.millicores.draw(rng))),
        max(64, int(kind.memory_mb.draw(rng))),
    )
    gang = rng.random() < kind.gang
    most = int(
        GANG_SHARE
        * kind.suitable
        * workers
        * (WORKER_MILLICORES // size.millicores)
    )
    steps = []
    works = []
    core_s = 0.0
    count_of_steps = 1 + (rng.random() < kind.steps - 1)
    for position in range(count_of_steps):
        work_s = max(0.05, kind.work_s.draw(rng))
        count = max(1, round(kind.tasks.draw(rng)))
        if gang:
            count = max(1, min(count, most))
        works.append(work_s)
        core_s += work_s * count * size.millicores / 1000
        error = rng.lognormvariate(0.0, kind.estimate_error / 2)
        steps.append(
            specs.StepSpec(
                count,
                size=size,
                estimate_s=work_s * error,
                gang=gang,
                after=(position - 1,) if position else (),
            )
        )
    record = records.JobRecord(
        model.JobId(f'{number:016x}'),
        kind.queue,
        CUSTOMER,
        at,
        specs.JobSpec('payload', tuple(steps)),
    )
    advice = kind.queue.advice
    assert advice is not None
    chain_s = sum(works) + len(works) * (
        advice.base_s + advice.per_worker_s * ADVISED_WORKERS
    )
    usual = (
        kind.tasks.mean
        * kind.work_s.mean
        * kind.millicores.mean
        / 1000
        * kind.steps
    )
    share = FIXED_WORTH + (1 - FIXED_WORTH) * core_s / usual
    return Arrival(
        at,
        kind,
        record,
        tuple(works),
        kind.queue.stretch * chain_s + kind.queue.latency_target_s,
        core_s,
        kind.worth * min(MAX_WORTH, share),
    )


def bound(jobs: list[Arrival], cores: float, length_s: float) -> float:
    """Return what no scheduler can exceed.

    All work counts as divisible and any core-second of the day as usable
    for any job, so that the densest jobs are done first.  The day ends with
    the last objective.
    """
    ends = max(job.at + job.objective_s for job in jobs)
    left = cores * max(length_s, ends)
    earned = 0.0
    for job in sorted(jobs, key=lambda job: -job.worth / job.core_s):
        share = min(1.0, left / job.core_s)
        earned += share * job.worth
        left -= share * job.core_s
    return earned
