"""Explanations of where a job would start now."""

from collections.abc import Callable

import msgspec
import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import explaining
from samphirestack.fleet import planner
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestackd.fleet import explanations

A = model.WorkerId('a')
HUGE = model.Resources(99_000, 1)


def explain(
    world: worlds.World, now: float, job: records.JobRecord
) -> tuple[explaining.StepExplanation, ...]:
    unix_now = worlds.UNIX_AT_ZERO_S + now
    job = msgspec.structs.replace(job, accepted_unix_s=unix_now)
    return explaining.explain(now, unix_now, world.scheduler, job).steps


def excluded(found: explaining.StepExplanation) -> dict[str, int]:
    return {item.reason: item.workers for item in found.excluded}


def two_workers() -> worlds.World:
    return worlds.World([worlds.make_worker('a'), worlds.make_worker('b')])


def unregister(world: worlds.World) -> None:
    world.scheduler.mark_worker_unregistered(A)


def drain(world: worlds.World) -> None:
    worker = world.scheduler.workers_by_id[A]
    worker.entry = msgspec.structs.replace(
        worker.entry, state=specs.WorkerState.DRAINING
    )


def close(world: worlds.World) -> None:
    world.scheduler.workers_by_id[A].closed_for_upkeep = True


def avoid(world: worlds.World) -> None:
    world.scheduler.workers_by_id[A].avoid_until = 9.0


def put_on_probation(world: worlds.World) -> None:
    world.scheduler.workers_by_id[A].probation_run_count = 1


def quarantine(world: worlds.World) -> None:
    for number in range(3):
        world.scheduler.quarantine.record_failure(
            0.0, A, model.JobId(str(number))
        )


def evacuate(world: worlds.World) -> None:
    worker = world.scheduler.workers_by_id[A]
    worker.entry = msgspec.structs.replace(
        worker.entry, zone=model.ZoneId('left')
    )
    world.scheduler.evacuations.begin(0.0, model.ZoneId('left'))


def relabel(world: worlds.World) -> None:
    worker = world.scheduler.workers_by_id[A]
    worker.entry = msgspec.structs.replace(worker.entry, labels=())


def shrink(world: worlds.World) -> None:
    worker = world.scheduler.workers_by_id[A]
    worker.entry = worlds.with_capacity(
        worker.entry, model.Resources(999, 1000)
    )


def fill(world: worlds.World) -> None:
    world.scheduler.workers_by_id[A].free_cpu = 999


EXCLUSIONS = [
    (unregister, planner.Exclusion.UNREGISTERED),
    (drain, planner.Exclusion.DRAINING),
    (close, planner.Exclusion.UPKEEP),
    (evacuate, planner.Exclusion.EVACUATED),
    (quarantine, planner.Exclusion.QUARANTINED),
    (avoid, planner.Exclusion.AVOIDED),
    (put_on_probation, planner.Exclusion.UNSETTLED),
    (relabel, planner.Exclusion.LABEL),
    (shrink, planner.Exclusion.TOO_SMALL),
    (fill, planner.Exclusion.NO_ROOM),
]


class TestSteps:
    """Guards against explanations that differ from what a plan decides."""

    def test_a_step_that_fits_names_the_workers_of_the_plan(self) -> None:
        world = two_workers()
        job = worlds.make_job(1, [worlds.make_step(20), worlds.make_step(1)])
        (first, _) = explain(world, 0.1, job)
        assert (first.tasks_starting, first.could_take_a_task) == (20, 2)
        assert first.verdict.startswith('starts now on ')
        assert first.order_class == 'in_time'
        world.accept(0.1, worlds.make_job(1, [worlds.make_step(20)]))
        planned = [start.worker.worker_id for start in world.plan_starts(0.1)]
        assert first.chosen == tuple(dict.fromkeys(planned))

    def test_later_steps_wait_for_earlier_ones(self) -> None:
        steps = [worlds.make_step(), worlds.make_step(after=(0,))]
        found = explain(two_workers(), 0.1, worlds.make_job(1, steps))
        assert found[1].waits_for_steps == (0,)
        assert found[1].verdict == 'waits for step 0'

    @pytest.mark.parametrize(('change', 'reason'), EXCLUSIONS)
    def test_an_excluded_worker_is_counted_with_its_reason(
        self,
        change: Callable[[worlds.World], None],
        reason: planner.Exclusion,
    ) -> None:
        world = two_workers()
        change(world)
        job = worlds.make_job(1, [worlds.make_step(1, label='a')])
        (found,) = explain(world, 0.1, job)
        assert excluded(found) == {reason.value: 1}
        assert (found.workers, found.could_take_a_task) == (2, 1)
        assert found.chosen == ('b',)

    def test_a_task_larger_than_all_workers_waits(self) -> None:
        job = worlds.make_job(1, [worlds.make_step(1, size=HUGE)])
        (found,) = explain(two_workers(), 0.1, job)
        assert found.chosen == ()
        assert found.verdict == (
            'waits: none of 2 workers can take a task '
            '(2 smaller than one task)'
        )

    def test_a_gang_that_does_not_fit_shows_its_forecast(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000)])
        size = model.Resources(2000, 10)
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(1, size=size)]))
        assert len(world.start_all(0.1)) == 1
        gang = worlds.make_step(4, gang=True)
        (found,) = explain(world, 0.2, worlds.make_job(2, [gang]))
        assert found.tasks_starting == 0
        assert found.gang_fits_in_s == pytest.approx(0.9)
        assert found.verdict == ('waits: the gang is expected to fit in 0.9 s')

    def test_the_reservation_of_a_waiting_gang_holds(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000)])
        size = model.Resources(2000, 10)
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(1, size=size)]))
        assert len(world.start_all(0.1)) == 1
        gang = worlds.make_step(4, gang=True, estimate_s=1.0)
        world.accept(0.2, worlds.make_job(2, [gang]))
        assert world.plan_starts(0.2) == []
        job = worlds.make_job(3, [worlds.make_step(1, estimate_s=3.0)])
        (found,) = explain(world, 0.2, job)
        assert excluded(found) == {planner.Exclusion.HELD.value: 1}
        assert (found.steps_ahead, found.tasks_starting) == (1, 0)
        world.accept(0.2, job)
        assert world.plan_starts(0.2) == []

    def test_the_limit_of_the_customer_is_shown(self) -> None:
        customer = specs.Customer(
            model.TeamId('team'), 0.0, model.Resources(2000, 0)
        )
        world = worlds.World(
            [worlds.make_worker('a')],
            worlds.make_configuration(customers=[customer]),
        )
        job = worlds.make_job(1, [worlds.make_step(3)])
        (found,) = explain(world, 0.1, job)
        assert (found.headroom, found.tasks_starting) == (2, 2)
        gang = worlds.make_job(1, [worlds.make_step(3, gang=True)])
        (found,) = explain(world, 0.1, gang)
        assert found.tasks_starting == 0
        assert "the customer's limit lets 2 tasks start" in found.verdict

    def test_with_advice_the_workers_asked_first_are_shown(self) -> None:
        queue = worlds.make_queue(advice=specs.AdvicePolicy(0.3, 0.004, 2.0))
        world = two_workers()
        job = worlds.make_job(1, queue=queue)
        (found,) = explain(world, 0.1, job)
        assert found.needs_advice
        assert 'advice service decides among 2 workers' in found.verdict
        world.accept(0.1, job)
        (request,) = [
            action
            for action in world.plan(0.1)
            if isinstance(action, actions.RequestAdvice)
        ]
        assert found.chosen == request.worker_ids

    def test_a_schedule_waits_until_it_is_due(self) -> None:
        job = worlds.make_job(
            1,
            repetitions=2,
            first_due_unix_s=worlds.UNIX_AT_ZERO_S + 5.0,
            interval_s=10.0,
        )
        (found,) = explain(two_workers(), 1.0, job)
        assert found.verdict == 'waits: it is due in 4.0 s'

    def test_a_job_over_the_share_of_its_customer_is_classified(self) -> None:
        customer = specs.Customer(model.TeamId('team'), 1.0, model.Resources())
        world = worlds.World(
            [worlds.make_worker('a')],
            worlds.make_configuration(customers=[customer]),
        )
        for number in range(20):
            (found,) = explain(world, 0.0, worlds.make_job(99))
            assert found.order_class == 'in_time'
            world.accept(0.0, worlds.make_job(number))
        (found,) = explain(world, 0.0, worlds.make_job(99))
        assert found.order_class == 'over_share'


class TestNoEffect:
    """Guards against explanations that change what is decided."""

    def _world(self) -> worlds.World:
        world = worlds.World(
            [worlds.make_worker('a', 4000), worlds.make_worker('b', 4000)]
        )
        for number in range(3):
            world.scheduler.quarantine.record_failure(
                -20.0, A, model.JobId(str(number))
            )
        gang = worlds.make_step(9, gang=True)
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(3)]))
        world.start_all(0.1)
        world.accept(0.2, worlds.make_job(2, [gang]))
        world.accept(0.2, worlds.make_job(3, [worlds.make_step(2)]))
        return world

    def _state(self, world: worlds.World) -> object:
        scheduler = world.scheduler
        return (
            sorted(scheduler.jobs.active_by_id),
            sorted(scheduler.jobs.ready_steps),
            dict(scheduler.usage.millicores_by_customer),
            scheduler.quarantine.probe_times(),
            [
                (worker.free_cpu, worker.free_memory, list(worker.runs_by_key))
                for worker in scheduler.workers_by_id.values()
            ],
            [
                (
                    sorted(step.waiting),
                    step.reservation.fits_at,
                    step.reservation.forecast_at,
                    step.tickets.next_check_at,
                )
                for step in scheduler.jobs.ready_steps.values()
            ],
        )

    def test_state_and_next_plan_stay_the_same(self) -> None:
        world, untouched = self._world(), self._world()
        before = self._state(world)
        jobs = [
            worlds.make_job(9, [worlds.make_step(4)]),
            worlds.make_job(9, [worlds.make_step(2, gang=True)]),
            worlds.make_job(9, [worlds.make_step(8, gang=True)]),
        ]
        for job in jobs:
            explain(world, 0.3, job)
        assert self._state(world) == before
        assert world.plan(0.3) == untouched.plan(0.3)
        assert self._state(world) == self._state(untouched)
        changes = world.store_changes(), untouched.store_changes()
        assert changes[0] == changes[1]

    def test_a_probe_of_a_quarantined_worker_is_not_used_up(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        for number in range(3):
            world.scheduler.quarantine.record_failure(
                0.0, A, model.JobId(str(number))
            )
        for _ in range(2):
            (found,) = explain(world, 11.0, worlds.make_job(1))
            assert found.chosen == (A,)
        assert world.scheduler.quarantine.accepts(11.0, A)


class _Node:
    def __init__(self, record: records.TermRecord | None) -> None:
        self._record = record

    def deciding_scheduler(self, now: float) -> None:
        del now

    def known_holder(self) -> records.TermRecord | None:
        return self._record


class TestOtherEntries:
    """Guards against answers of entries that do not hold the term."""

    def _answer(self, record: records.TermRecord | None) -> object:
        def decode(body: bytes) -> specs.JobSpec:
            raise AssertionError(body)

        explainer = explanations.Explanations(
            _Node(record), worlds.make_configuration, decode
        )
        return explainer.answer('q', '', b'')

    def test_the_holder_is_named(self) -> None:
        record = records.TermRecord(3, model.VmId('vm-2'), 'x', 'h:1')
        found = self._answer(record)
        assert isinstance(found, explanations.Refused)
        assert (found.status, found.holder, found.address) == (
            421,
            'vm-2',
            'h:1',
        )

    def test_without_a_known_holder_the_call_may_be_retried(self) -> None:
        released = records.TermRecord(
            3, model.VmId('vm-2'), 'x', 'h:1', released=True
        )
        for record in (None, released):
            found = self._answer(record)
            assert isinstance(found, explanations.Refused)
            assert found.status == 503
