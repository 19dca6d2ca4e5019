"""When a gang will have room."""

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
    """Return a worker whose runs end at given times, with their sizes."""
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


def first_fit_by_trying(
    spec: specs.StepSpec, candidates: list[packing.Candidate]
) -> float | None:
    """Return the first end after which a gang fits, by looking at all."""
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


class TestFirstFit:
    """Guards against room that is kept for the wrong moment or workers."""

    def test_it_is_the_first_end_after_which_the_gang_fits(self) -> None:
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
            expected = first_fit_by_trying(spec, candidates)
            assert (found[0] if found else None) == expected

    def test_no_more_workers_are_kept_than_it_takes(self) -> None:
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

    def test_what_never_fits_is_not_waited_for(self) -> None:
        candidates = [make_candidate('w', [(5.0, 9000)])]
        spec = worlds.make_step(8, gang=True, size=model.Resources(4000, 100))
        assert forecast.earliest_fit(0.0, spec, candidates) is None
