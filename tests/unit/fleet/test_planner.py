"""Placement and order of tasks, and requests for advice."""

import msgspec
from samphirestack.fleet import actions
from samphirestack.fleet import planner
from samphirestack.fleet import ports
from samphirestack.fleet import specs

from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
ADVICE = specs.AdvicePolicy(0.3, 0.004, 2.0)


class NoAdviceCallers:
    """Callers of which none is available."""

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        del urgent, expected_s
        return False


def plan_requests(
    world: worlds.World, now: float
) -> list[actions.RequestAdvice]:
    return [
        action
        for action in world.plan(now)
        if isinstance(action, actions.RequestAdvice)
    ]


def advise(
    world: worlds.World,
    now: float,
    ask: actions.RequestAdvice,
    suitable: list[str],
) -> None:
    world.scheduler.handle_advice_result(
        now,
        now - 0.1,
        ask.step_id,
        ask.worker_ids,
        ports.Advice({model.WorkerId(name): f't-{name}' for name in suitable}),
    )


class TestConstraints:
    """Guards against starts on workers that do not meet the constraints."""

    def _two_racks(self) -> worlds.World:
        return worlds.World(
            [
                worlds.make_worker('a', labels=('x', 'r1'), rack='r1'),
                worlds.make_worker('b', labels=('y', 'r2'), rack='r2'),
            ]
        )

    def test_a_label_is_required(self) -> None:
        world = self._two_racks()
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(3, label='y')]))
        starts = world.plan_starts(0.1)
        assert {start.worker.worker_id for start in starts} == {'b'}
        assert len(starts) == 3

    def test_tasks_prefer_the_rack_of_their_data(self) -> None:
        world = self._two_racks()
        step = worlds.make_step(2, data_rack='r2')
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.plan_starts(0.1)
        assert {start.worker.worker_id for start in starts} == {'b'}

    def test_the_limit_of_tasks_per_worker_holds(self) -> None:
        world = self._two_racks()
        step = worlds.make_step(5, max_per_worker=1)
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.plan_starts(0.1)
        assert sorted(start.worker.worker_id for start in starts) == ['a', 'b']

    def test_a_single_rack_gang_is_not_spread_over_racks(self) -> None:
        world = worlds.World(
            [
                worlds.make_worker('a', 3000, rack='r1'),
                worlds.make_worker('b', 3000, rack='r2'),
                worlds.make_worker('c', 3000, rack='r2'),
            ]
        )
        step = worlds.make_step(5, gang=True, single_rack=True)
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.plan_starts(0.1)
        assert {start.worker.worker_id for start in starts} == {'b', 'c'}

    def test_a_task_that_fits_on_no_worker_waits(self) -> None:
        world = self._two_racks()
        step = worlds.make_step(1, size=model.Resources(99_000, 1))
        world.accept(0.0, worlds.make_job(1, [step]))
        assert world.plan(0.1) == []


class TestSchedules:
    """Guards against occurrences that start early or are skipped."""

    def test_occurrences_start_when_they_are_due(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job = worlds.make_job(
            1,
            repetitions=3,
            first_due_unix_s=worlds.UNIX_AT_ZERO_S + 5.0,
            interval_s=10.0,
        )
        job_id = world.accept(0.0, job)
        assert world.plan_starts(4.9) == []
        for number, due in enumerate((5.0, 15.0, 25.0)):
            starts = world.start_all(due + 0.01)
            assert [start.order.task_id for start in starts] == [
                f'{job_id}.{number}.0.0'
            ]
            order = starts[0].order
            end = (number + 1, order.task_id, order.run, DONE)
            world.report(due + 1, 'a', ended=[end])
        world.store_changes()
        assert (
            world.scheduler.jobs.state_of(job_id) is specs.JobState.COMPLETED
        )


class TestOrder:
    """Guards against a wrong order of steps under overload."""

    def test_urgent_work_starts_first(self) -> None:
        world = worlds.World([worlds.make_worker('a', 1000)])
        world.accept(0.0, worlds.make_job(1))
        urgent = worlds.make_queue('urgent', priority=0)
        job_id = world.accept(0.0, worlds.make_job(2, queue=urgent))
        starts = world.plan_starts(0.1)
        assert [start.order.task_id.split('.')[0] for start in starts] == [
            job_id
        ]

    def test_steps_that_can_be_in_time_precede_late_ones(self) -> None:
        world = worlds.World([worlds.make_worker('a', 1000)])
        world.accept(0.0, worlds.make_job(1))
        job = msgspec.structs.replace(
            worlds.make_job(2), accepted_unix_s=worlds.UNIX_AT_ZERO_S + 4.0
        )
        fresh = world.accept(4.0, job)
        starts = world.plan_starts(4.1)
        assert [start.order.task_id.split('.')[0] for start in starts] == [
            fresh
        ]

    def test_jobs_beyond_the_share_of_a_customer_are_marked(self) -> None:
        customers = [
            specs.Customer(model.TeamId(name), 1.0, model.Resources())
            for name in ('flood', 'calm')
        ]
        world = worlds.World(
            [worlds.make_worker('a', 1000)],
            worlds.make_configuration(customers=customers),
        )
        for number in range(40):
            world.accept(0.0, worlds.make_job(number, customer='flood'))
        over = [
            job
            for job in world.scheduler.jobs.active_by_id.values()
            if job.over_share
        ]
        assert len(over) == 20
        calm = world.accept(0.1, worlds.make_job(99, customer='calm'))
        job = world.scheduler.jobs.active_by_id[calm]
        assert not job.over_share

    def test_small_tasks_do_not_use_the_reservation_of_a_gang(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000)])
        world.accept(
            0.0,
            worlds.make_job(
                1,
                [worlds.make_step(1, size=model.Resources(2000, 10))],
            ),
        )
        assert len(world.start_all(0.1)) == 1
        gang = worlds.make_step(4, gang=True, estimate_s=1.0)
        world.accept(0.2, worlds.make_job(2, [gang]))
        patient = worlds.make_queue('patient', stretch=50.0)
        world.accept(
            0.2,
            worlds.make_job(
                3, [worlds.make_step(2, estimate_s=3.0)], queue=patient
            ),
        )
        assert world.plan_starts(0.3) == []


class TestPatientSteps:
    """Guards against gangs that wait while patient steps take each worker.

    The load asks for more than the fleet has: half of it is in use, and a
    gang needs more than the other half.
    """

    GANG = worlds.make_step(
        4, gang=True, size=model.Resources(6000, 100), estimate_s=3.0
    )

    def _plan(self, step: specs.StepSpec, **queue: object) -> list[str]:
        """Return the jobs that start beside a waiting gang."""
        workers = [worlds.make_worker('a'), worlds.make_worker('b')]
        world = worlds.World(workers)
        busy = worlds.make_step(2, size=model.Resources(10_000, 100))
        world.accept(0.0, worlds.make_job(1, [busy]))
        assert len(world.start_all(0.0)) == 2
        world.accept(0.0, worlds.make_job(2, [self.GANG]))
        job = worlds.make_job(
            3, [step], queue=worlds.make_queue('other', **queue)
        )
        world.accept(0.0, job)
        return [
            start.order.task_id.split('.')[0]
            for start in world.plan_starts(0.1)
        ]

    def test_a_patient_step_leaves_room_to_a_waiting_gang(self) -> None:
        patient = worlds.make_step(size=model.Resources(1000, 100))
        assert not self._plan(patient, latency_target_s=30.0)

    def test_it_starts_once_its_slack_is_used_up(self) -> None:
        patient = worlds.make_step(
            size=model.Resources(1000, 100), estimate_s=0.1
        )
        job_id = worlds.make_job(3).job_id
        slack_s = planner.PATIENT_SLACK_S
        assert self._plan(patient, latency_target_s=slack_s - 0.5) == [job_id]

    def test_urgent_steps_never_wait_for_gangs(self) -> None:
        urgent = worlds.make_step(
            size=model.Resources(1000, 100), estimate_s=0.1
        )
        job_id = worlds.make_job(3).job_id
        assert self._plan(urgent, priority=0, latency_target_s=30.0) == [
            job_id
        ]

    def test_nothing_waits_for_a_gang_in_an_empty_fleet(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        world.accept(0.0, worlds.make_job(1, [self.GANG]))
        patient = worlds.make_step(size=model.Resources(1000, 100))
        queue = worlds.make_queue('other', latency_target_s=30.0)
        job_id = world.accept(0.0, worlds.make_job(2, [patient], queue=queue))
        assert [
            start.order.task_id.split('.')[0]
            for start in world.plan_starts(0.1)
        ] == [job_id]


class TestAdvice:
    """Guards against starts without a ticket and useless requests."""

    def _world(self, count: int = 4) -> worlds.World:
        return worlds.World(
            [worlds.make_worker(f'w{number}') for number in range(count)]
        )

    def _queue(self) -> specs.Queue:
        return worlds.make_queue(advice=ADVICE)

    def test_a_step_starts_only_with_tickets(self) -> None:
        world = self._world()
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = plan_requests(world, 0.1)
        assert len(ask.worker_ids) == 4
        assert world.plan(0.2) == []
        advise(world, 0.4, ask, ['w2'])
        (start,) = world.plan_starts(0.45)
        assert start.worker.worker_id == 'w2'
        assert start.order.ticket == 't-w2'

    def test_expired_tickets_are_not_used(self) -> None:
        world = self._world()
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = plan_requests(world, 0.1)
        advise(world, 0.4, ask, ['w2'])
        late = world.plan(3.0)
        assert not any(isinstance(action, actions.Start) for action in late)
        (again,) = [
            action
            for action in late
            if isinstance(action, actions.RequestAdvice)
        ]
        assert again.worker_ids[0] == 'w2'

    def test_a_ticket_from_before_a_restart_is_not_used(self) -> None:
        world = self._world(1)
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = plan_requests(world, 0.1)
        advise(world, 0.4, ask, ['w0'])
        world.report(0.5, 'w0', started=2)
        world.scheduler.update_worker(0.5, worlds.make_worker('w0', started=2))
        assert world.plan_starts(0.6) == []

    def test_a_ticket_requested_before_a_restart_is_not_used(self) -> None:
        world = self._world(1)
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = plan_requests(world, 0.1)
        world.report(0.35, 'w0', started=2)
        world.scheduler.update_worker(
            0.35, worlds.make_worker('w0', started=2)
        )
        advise(world, 0.4, ask, ['w0'])
        later = world.plan(0.5)
        assert not any(isinstance(action, actions.Start) for action in later)
        assert any(
            isinstance(action, actions.RequestAdvice) for action in later
        )

    def test_no_advice_is_requested_without_a_caller(self) -> None:
        world = self._world()
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        assert world.scheduler.plan(0.1, NoAdviceCallers()) == []

    def test_a_wide_gang_asks_about_enough_workers(self) -> None:
        world = self._world(90)
        step = worlds.make_step(
            60, gang=True, size=model.Resources(5000, 1000)
        )
        world.accept(0.0, worlds.make_job(1, [step], queue=self._queue()))
        (ask,) = plan_requests(world, 0.1)
        suitable = [str(worker_id) for worker_id in ask.worker_ids][::3]
        advise(world, 0.5, ask, suitable)
        later = plan_requests(world, 0.6)
        asked = set(ask.worker_ids)
        for request in later:
            asked |= set(request.worker_ids)
        assert len(asked) * 3 >= 2 * 60 or len(asked) == 90

    def test_a_gang_above_the_limit_requests_no_advice(self) -> None:
        """Guards against useless requests that delay those of other steps."""
        queue = worlds.make_queue('q', advice=ADVICE)
        limit = specs.Customer(
            model.TeamId('team'), 1.0, model.Resources(2000)
        )
        world = worlds.World(
            [worlds.make_worker('a')],
            worlds.make_configuration([queue], [limit]),
        )
        step = worlds.make_step(4, gang=True)
        world.accept(0.0, worlds.make_job(1, [step], queue))
        assert plan_requests(world, 0.1) == []
        small = worlds.make_step(2, gang=True)
        world.accept(0.2, worlds.make_job(2, [small], queue))
        assert len(plan_requests(world, 0.3)) == 1

    def test_a_gang_that_does_not_fit_asks_about_free_workers(
        self,
    ) -> None:
        """Guards against gangs that wait while half of the fleet is empty."""
        names = [f'w{number:02}' for number in range(60)]
        queue = worlds.make_queue('q', advice=ADVICE)
        world = worlds.World(
            [worlds.make_worker(name, 4000, 64_000) for name in names],
            worlds.make_configuration([queue, worlds.make_queue('other')]),
        )
        step = worlds.make_step(4, gang=True, size=model.Resources(4000, 10))
        world.accept(0.0, worlds.make_job(1, [step], queue))
        (first,) = plan_requests(world, 0.1)
        # More workers are suitable than it needs, but all become occupied.
        suitable = list(first.worker_ids[:12])
        occupying = worlds.make_step(
            len(first.worker_ids), size=model.Resources(4000, 10)
        )
        other = worlds.make_job(2, [occupying], worlds.make_queue('other'))
        world.accept(0.2, other)
        occupied = {start.worker.worker_id for start in world.start_all(0.2)}
        assert len(occupied) == len(first.worker_ids)
        for name in set(names) - occupied:
            assert name not in suitable
        advise(world, 0.5, first, suitable)
        (second,) = plan_requests(world, 0.6)
        assert not set(second.worker_ids) & occupied
        assert len(second.worker_ids) >= 4


class TestRepeatability:
    """Guards against placements that differ between runs of equal inputs."""

    def test_suitable_workers_keep_the_order_of_their_advice(self) -> None:
        names = [model.WorkerId(f'w{number * 7 % 23}') for number in range(23)]
        world = worlds.World([worlds.make_worker(name) for name in names])
        job = worlds.make_job(1, queue=worlds.make_queue(advice=ADVICE))
        job_id = world.accept(0.0, job)
        step = world.scheduler.jobs.find_step(f'{job_id}.0.0')
        assert step is not None
        world.scheduler.handle_advice_result(
            0.1, 0.0, step.id, names, ports.Advice(dict.fromkeys(names, 't'))
        )
        assert list(step.tickets.suitable_ids) == names
