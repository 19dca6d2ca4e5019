"""Forecast of when and where a gang fits."""

import random

from samphirestack.fleet import forecast
from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack import model
from samphirestack_testing import fleet_world as worlds


def make_candidate(
    name: str, ends: list[tuple[float, int]]
) -> packing.Candidate:
    """Return a worker with a run for each expected end and size.

    :param ends: expected end and millicores of each run.
    """
    worker = tracking.TrackedWorker(worlds.make_worker(name))
    for number, (end, cpu) in enumerate(ends):
        step = worlds.make_step(
            size=model.Resources(cpu, 100), estimate_s=10.0
        )
        job = work.Job(worlds.make_job(number, [step]), 0.0, 0.0)
        (step_run,) = job.begin_occurrence()
        worker.add_run(
            tracking.Run(
                step_run.tasks[0],
                1,
                worker.entry.worker_id,
                tracking.RunState.CONFIRMED,
                end - 10.0,
            )
        )
    return packing.Candidate(worker)


def earliest_fit_by_search(
    spec: specs.StepSpec, candidates: list[packing.Candidate]
) -> float | None:
    """Return the first end after which a gang fits, by trying each end."""
    ends = sorted(
        forecast.expected_end(0.0, run)
        for candidate in candidates
        for run in candidate.worker.runs_by_key.values()
    )
    for at in ends:
        total = 0
        for candidate in candidates:
            cpu = candidate.free_cpu + sum(
                run.task.step.spec.size.millicores
                for run in candidate.worker.runs_by_key.values()
                if forecast.expected_end(0.0, run) <= at
            )
            total += min(spec.count, cpu // spec.size.millicores)
        if total >= spec.count:
            return at
    return None


class TestEarliestFit:
    """Guards against reservations of wrong workers or for a wrong moment."""

    def test_the_forecast_equals_an_exhaustive_search(self) -> None:
        rng = random.Random(7)
        for _ in range(200):
            candidates = [
                make_candidate(
                    f'w{number}',
                    [
                        (rng.uniform(0.1, 9.0), rng.choice([2000, 5000]))
                        for _ in range(rng.randrange(4))
                    ],
                )
                for number in range(rng.randrange(1, 8))
            ]
            spec = worlds.make_step(
                rng.randrange(1, 30), gang=True, size=model.Resources(4000, 1)
            )
            found = forecast.earliest_fit(0.0, spec, candidates)
            expected = earliest_fit_by_search(spec, candidates)
            assert (found[0] if found else None) == expected

    def test_the_fewest_workers_are_chosen(self) -> None:
        candidates = [
            make_candidate(f'w{number}', [(5.0 + number, 9000)])
            for number in range(6)
        ]
        candidates.append(make_candidate('empty', []))
        spec = worlds.make_step(8, gang=True, size=model.Resources(4000, 100))
        found = forecast.earliest_fit(0.0, spec, candidates)
        assert found is not None
        assert found[0] == 5.0
        assert {
            candidate.worker.entry.worker_id for candidate in found[1]
        } == {
            'w0',
            'empty',
        }

    def test_a_gang_that_never_fits_has_no_forecast(self) -> None:
        candidates = [make_candidate('w', [(5.0, 9000)])]
        spec = worlds.make_step(8, gang=True, size=model.Resources(4000, 100))
        assert forecast.earliest_fit(0.0, spec, candidates) is None

    def test_accelerators_that_never_suffice_have_no_forecast(self) -> None:
        candidates = [make_candidate('w', [(5.0, 9000)])]
        spec = worlds.make_step(
            1, gang=True, size=model.Resources(4000, 100, 1)
        )
        assert forecast.earliest_fit(0.0, spec, candidates) is None
