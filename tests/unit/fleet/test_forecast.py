"""When a gang will have room."""

import random

from samphirestack.fleet import beliefs
from samphirestack.fleet import forecast
from samphirestack.fleet import packing
from samphirestack.fleet import specs
from samphirestack.fleet import work
from samphirestack import model
from samphirestack_testing import fleet_world as worlds


def make_room(name: str, ends: list[tuple[float, int]]) -> packing.Room:
    """Return a worker whose runs end at given times, with their sizes."""
    belief = beliefs.Belief(worlds.make_worker(name))
    for number, (end, cpu) in enumerate(ends):
        step = worlds.make_step(
            size=model.Resources(cpu, 100), estimate_s=10.0
        )
        job = work.Job(worlds.make_job(number, [step]), 0.0, 0.0)
        (step_run,) = job.begin_occurrence()
        belief.add(
            beliefs.Run(
                step_run.tasks[0],
                1,
                belief.entry.worker_id,
                beliefs.RunState.CONFIRMED,
                end - 10.0,
            )
        )
    return packing.Room(belief)


def first_fit_by_trying(
    spec: specs.StepSpec, rooms: list[packing.Room]
) -> float | None:
    """Return the first end after which a gang fits, by looking at all."""
    ends = sorted(
        forecast.expected_end(0.0, run)
        for room in rooms
        for run in room.belief.runs_by_key.values()
    )
    for at in ends:
        total = 0
        for room in rooms:
            cpu = room.cpu + sum(
                run.task.step.spec.size.millicores
                for run in room.belief.runs_by_key.values()
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
            rooms = [
                make_room(
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
            found = forecast.first_fit(0.0, spec, rooms)
            expected = first_fit_by_trying(spec, rooms)
            assert (found[0] if found else None) == expected

    def test_no_more_workers_are_kept_than_it_takes(self) -> None:
        rooms = [
            make_room(f'w{number}', [(5.0 + number, 9000)])
            for number in range(6)
        ]
        rooms.append(make_room('empty', []))
        spec = worlds.make_step(8, gang=True, size=model.Resources(4000, 100))
        found = forecast.first_fit(0.0, spec, rooms)
        assert found is not None
        assert found[0] == 5.0
        assert {room.belief.entry.worker_id for room in found[1]} == {
            'w0',
            'empty',
        }

    def test_what_never_fits_is_not_waited_for(self) -> None:
        rooms = [make_room('w', [(5.0, 9000)])]
        spec = worlds.make_step(8, gang=True, size=model.Resources(4000, 100))
        assert forecast.first_fit(0.0, spec, rooms) is None
