"""Learned disturbance between tasks that share a worker, by image.

Each report of a worker is a sample of how its tasks fare next to each other:
the tail latency of a serving task against its target, and the progress of
any other task against its estimate.  For each image a linear model explains
these samples by the neighbours' loads, and forgets within seconds.  Where it
is sure that an image disturbs another, tasks of the two are kept apart while
there is room.

This answers loads in which tasks of some images slow down those of others on
the same worker, by amounts that change within seconds.  Steps without an
image take no part.
"""

from collections.abc import Mapping
import math

import msgspec

from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack import model

MAX_IMAGES = 64
MAX_NEIGHBOURS = 16
"""Bounds of the model: images, and neighbours that are told apart for each.
The least recently seen are forgotten first."""

HALF_LIFE_S = 8.0
"""Time in which a sample loses half of its weight as evidence."""

MAX_EVIDENCE = 32.0
"""Bound of the evidence for a pair, so that a pair that was kept apart is
tried again after two half-lives."""

MIN_EVIDENCE = 8.0
"""Weight of samples with the neighbour, and of samples without it, from which
a pair is judged."""

KEPT_EVIDENCE = 6.0
"""Weight of samples below which a judgement is forgotten."""

MIN_EFFECT = 0.2
KEPT_EFFECT = 0.1
"""Effect from which a neighbour counts as disturbing, and below which it no
longer does, as a share of the target or of the run time."""

MIN_SIGNAL = 0.85
"""Least effect in multiples of the deviation that the model leaves
unexplained."""

STEP = 0.25
"""Share of an error by which one sample corrects the model."""

ERROR_WEIGHT = 0.1
"""Weight of a new sample in the moving averages."""

MAX_SLOWNESS = 4.0
"""Bound of a sample, so that single outliers teach little."""

SAMPLE_INTERVAL_S = 0.4
"""Least time between samples of one run; loads are averages of half a
second."""

MIN_PROGRESS_PERCENT = 5.0
MAX_PROGRESS_S = 2.0
"""Progress is judged after so much of it or after this time."""

MIN_SHARE = 0.001
MAX_LOAD = 2.0
"""Least load of a neighbour that counts, as a share of the worker, and bound
of its load in multiples of its usual one."""

READY_PERCENT = 100.0
"""Progress that a long-running task reports once it serves."""

SEPARATION_PENALTY = 2.0
MAX_PENALTY = 4.0
"""Score of a worker with a disturbing neighbour: above all differences in
leftover capacity, below that of a rack far from the data."""

REPORT_INTERVAL_S = 5.0
"""Least time between reports about one pair."""


class Change(msgspec.Struct, frozen=True):
    """A pair of images that begins or ceases to be kept apart."""

    victim: str
    neighbour: str
    disturbs: bool
    effect: float
    """Slowdown at the neighbour's usual load, as a share of the target or of
    the run time."""
    evidence: float
    """Weight of the samples of the pair."""


class _Pair:
    """Effect of one image on another."""

    __slots__ = (
        'contrast',
        'contrast_at',
        'disturbs',
        'effect',
        'evidence',
        'mean_share',
        'reported',
        'reported_at',
        'seen_at',
        'worker_ids',
    )

    def __init__(self, now: float, share: float) -> None:
        self.effect = 0.0
        """At the usual load of the neighbour."""
        self.evidence = 0.0
        self.seen_at = now
        self.contrast = 0.0
        """Weight of samples without the neighbour."""
        self.contrast_at = now
        self.mean_share = share
        """Usual load of the neighbour as a share of a worker."""
        self.worker_ids: tuple[model.WorkerId, ...] = ()
        """The last two workers that the pair was seen on."""
        self.disturbs = False
        self.reported = False
        self.reported_at = float('-inf')

    def current_evidence(self, now: float) -> float:
        return self.evidence * _decay(now - self.seen_at)

    def current_contrast(self, now: float) -> float:
        return self.contrast * _decay(now - self.contrast_at)

    def add_contrast(self, now: float) -> None:
        self.contrast = min(MAX_EVIDENCE, self.current_contrast(now) + 1.0)
        self.contrast_at = now

    def add_sample(
        self, now: float, worker_id: model.WorkerId, share: float
    ) -> None:
        self.evidence = min(MAX_EVIDENCE, self.current_evidence(now) + 1.0)
        self.seen_at = now
        self.mean_share += ERROR_WEIGHT * (share - self.mean_share)
        if worker_id not in self.worker_ids:
            self.worker_ids = (*self.worker_ids[-1:], worker_id)

    def effect_at(self, share: float) -> float:
        """Return the effect of a load that is a share of a worker.

        The load varies, so that it counts as the usual one at least.
        """
        return self.effect * max(1.0, share / self.mean_share)


class _Victim:
    """Model of how tasks of one image fare, by their neighbours."""

    __slots__ = ('base', 'pairs', 'seen_at', 'square_error')

    def __init__(self, now: float, slowness: float) -> None:
        self.base = slowness
        """Expected slowness without neighbours."""
        self.square_error = 0.0
        self.pairs: dict[str, _Pair] = {}
        self.seen_at = now


class Interference:
    """Learns which images disturb which others during one term."""

    def __init__(self) -> None:
        self._victims: dict[str, _Victim] = {}
        self._disturbing: dict[tuple[str, str], _Pair] = {}
        self._unreported: dict[tuple[str, str], _Pair] = {}
        self._kept_apart_count = 0

    @property
    def pair_count(self) -> int:
        """Number of pairs with an estimate."""
        return sum(len(victim.pairs) for victim in self._victims.values())

    @property
    def disturbing_count(self) -> int:
        """Number of pairs that are kept apart."""
        return len(self._disturbing)

    def observe(self, now: float, worker: tracking.TrackedWorker) -> None:
        """Learn from a report that was just applied to a worker."""
        if not any(
            run.task.step.spec.image for run in worker.runs_by_key.values()
        ):
            return
        shares = None
        for run in worker.runs_by_key.values():
            image = run.task.step.spec.image
            slowness = _sample(now, worker, run) if image else None
            if slowness is None:
                continue
            if shares is None:
                shares = _shares_by_image(worker)
            others = dict(shares)
            others[image] -= _share(worker, run)
            self._learn(now, worker.entry.worker_id, image, slowness, others)

    def penalty(
        self, now: float, spec: specs.StepSpec
    ) -> packing.Penalty | None:
        """Return what a worker's neighbours add to its score for a step.

        :return: ``None`` if the step is to be kept apart from no image.
        """
        if not self._disturbing or not spec.image:
            return None
        disturbed = {}
        disturbing = {}
        for (victim, neighbour), pair in list(self._disturbing.items()):
            if pair.current_evidence(now) < KEPT_EVIDENCE:
                self._set_disturbs(victim, neighbour, pair, False)
                continue
            if neighbour == spec.image:
                disturbed[victim] = pair
            if victim == spec.image:
                disturbing[neighbour] = pair
        if not disturbed and not disturbing:
            return None

        def penalty(candidate: packing.Candidate) -> float:
            capacity = candidate.worker.entry.capacity
            own_share = spec.size.millicores / max(1, capacity.millicores)
            if candidate.image_shares is None:
                candidate.image_shares = _shares_by_image(candidate.worker)
            effect = 0.0
            for image, share in candidate.image_shares.items():
                if image in disturbed:
                    effect += disturbed[image].effect_at(own_share)
                if image in disturbing:
                    effect += disturbing[image].effect_at(share)
            if effect < KEPT_EFFECT:
                return 0.0
            return min(MAX_PENALTY, SEPARATION_PENALTY + effect)

        return penalty

    def record_kept_apart(self) -> None:
        """Count a placement that an estimate changed."""
        self._kept_apart_count += 1

    def take_kept_apart_count(self) -> int:
        """Return how many placements were changed since the last call."""
        count = self._kept_apart_count
        self._kept_apart_count = 0
        return count

    def take_changes(self, now: float) -> list[Change]:
        """Return the changes of judgement that are due to be reported."""
        changes = []
        for (victim, neighbour), pair in list(self._unreported.items()):
            if pair.disturbs == pair.reported:
                del self._unreported[victim, neighbour]
            elif now - pair.reported_at >= REPORT_INTERVAL_S:
                del self._unreported[victim, neighbour]
                pair.reported = pair.disturbs
                pair.reported_at = now
                changes.append(
                    Change(
                        victim,
                        neighbour,
                        pair.disturbs,
                        pair.effect,
                        pair.current_evidence(now),
                    )
                )
        return changes

    def _learn(
        self,
        now: float,
        worker_id: model.WorkerId,
        image: str,
        slowness: float,
        shares: dict[str, float],
    ) -> None:
        """Correct the model of an image by one sample.

        The correction is the normalized one of least mean squares, so that
        each neighbour takes a part of the error that grows with its load.
        """
        victim = self._victim(now, image, slowness)
        present = [name for name in shares if shares[name] >= MIN_SHARE]
        present.sort(key=lambda name: -shares[name])
        del present[MAX_NEIGHBOURS:]
        self._add_pairs(now, image, victim, {n: shares[n] for n in present})
        loads = {}
        for name in present:
            pair = victim.pairs[name]
            pair.add_sample(now, worker_id, shares[name])
            loads[name] = min(MAX_LOAD, shares[name] / pair.mean_share)
        error = slowness - victim.base
        error -= sum(
            victim.pairs[name].effect * load for name, load in loads.items()
        )
        correction = (
            STEP * error / (1.0 + sum(load**2 for load in loads.values()))
        )
        victim.base += correction
        victim.square_error += ERROR_WEIGHT * (error**2 - victim.square_error)
        for name, pair in victim.pairs.items():
            if name in loads:
                pair.effect += correction * loads[name]
            else:
                pair.add_contrast(now)
            self._judge(now, image, name, victim, pair)

    def _judge(
        self,
        now: float,
        image: str,
        neighbour: str,
        victim: _Victim,
        pair: _Pair,
    ) -> None:
        deviation = math.sqrt(victim.square_error)
        if pair.disturbs:
            disturbs = (
                pair.effect >= KEPT_EFFECT
                and pair.current_evidence(now) >= KEPT_EVIDENCE
            )
        else:
            disturbs = (
                pair.effect >= max(MIN_EFFECT, MIN_SIGNAL * deviation)
                and pair.current_evidence(now) >= MIN_EVIDENCE
                and pair.current_contrast(now) >= MIN_EVIDENCE
                and len(pair.worker_ids) > 1
            )
        if disturbs != pair.disturbs:
            self._set_disturbs(image, neighbour, pair, disturbs)

    def _set_disturbs(
        self, victim: str, neighbour: str, pair: _Pair, disturbs: bool
    ) -> None:
        pair.disturbs = disturbs
        if disturbs:
            self._disturbing[victim, neighbour] = pair
        else:
            self._disturbing.pop((victim, neighbour), None)
        self._unreported[victim, neighbour] = pair

    def _victim(self, now: float, image: str, slowness: float) -> _Victim:
        victim = self._victims.get(image)
        if victim is None:
            if len(self._victims) >= MAX_IMAGES:
                oldest = _least_recent(self._victims)
                for neighbour in self._victims.pop(oldest).pairs:
                    self._forget(oldest, neighbour)
            victim = self._victims[image] = _Victim(now, slowness)
        victim.seen_at = now
        return victim

    def _add_pairs(
        self,
        now: float,
        image: str,
        victim: _Victim,
        shares: dict[str, float],
    ) -> None:
        """Make room for the neighbours that are present, and add them."""
        absent = {
            name: pair
            for name, pair in victim.pairs.items()
            if name not in shares
        }
        while len(absent) + len(shares) > MAX_NEIGHBOURS:
            oldest = _least_recent(absent)
            del absent[oldest]
            del victim.pairs[oldest]
            self._forget(image, oldest)
        for name, share in shares.items():
            if name not in victim.pairs:
                victim.pairs[name] = _Pair(now, share)

    def _forget(self, victim: str, neighbour: str) -> None:
        self._disturbing.pop((victim, neighbour), None)
        self._unreported.pop((victim, neighbour), None)


def _decay(passed_s: float) -> float:
    return float(0.5 ** (passed_s / HALF_LIFE_S))


def _least_recent(seen: Mapping[str, _Victim | _Pair]) -> str:
    return min(seen, key=lambda name: seen[name].seen_at)


def _share(worker: tracking.TrackedWorker, run: tracking.Run) -> float:
    """Return the load of a run as a share of its worker.

    The load of a serving task is not reported; its size stands for it, and
    for that of a run that is not confirmed yet.
    """
    spec = run.task.step.spec
    millicores = float(spec.size.millicores)
    if run.load and not spec.latency_target_s:
        millicores = run.load
    return millicores / max(1, worker.entry.capacity.millicores)


def _shares_by_image(worker: tracking.TrackedWorker) -> dict[str, float]:
    shares: dict[str, float] = {}
    for run in worker.runs_by_key.values():
        image = run.task.step.spec.image
        if image:
            shares[image] = shares.get(image, 0.0) + _share(worker, run)
    return shares


def _sample(
    now: float, worker: tracking.TrackedWorker, run: tracking.Run
) -> float | None:
    """Return how slow a run was since its last sample; 1 is as wanted."""
    spec = run.task.step.spec
    if run.state is not tracking.RunState.CONFIRMED or run.stop is not None:
        return None
    passed_s = now - run.sampled_at
    if passed_s < SAMPLE_INTERVAL_S:
        return None
    if spec.latency_target_s:
        if not run.load or run.percent < READY_PERCENT:
            return None
        run.sampled_at = now
        return min(MAX_SLOWNESS, run.load / 1000 / spec.latency_target_s)
    if spec.long_running or spec.filler or _is_far(worker, spec):
        return None
    progress = run.percent - run.sampled_percent
    if progress < MIN_PROGRESS_PERCENT and passed_s < MAX_PROGRESS_S:
        return None
    is_first = run.sampled_at == float('-inf')
    run.sampled_at = now
    run.sampled_percent = run.percent
    if is_first or progress <= 0:
        return None
    estimate_s = max(work.MIN_ESTIMATE_S, spec.estimate_s)
    return min(MAX_SLOWNESS, passed_s / estimate_s / (progress / 100))


def _is_far(worker: tracking.TrackedWorker, spec: specs.StepSpec) -> bool:
    """Return whether a task is slow for the distance from its data."""
    return bool(spec.data_rack) and worker.entry.rack != spec.data_rack
