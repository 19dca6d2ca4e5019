"""Where tasks start, in which order, and when advice is asked for."""

import msgspec
from samphirestack.fleet import actions
from samphirestack.fleet import ports
from samphirestack.fleet import specs

from samphirestack import model
from samphirestack_testing import fleet_world as worlds

DONE = specs.EndReason.DONE
ADVICE = specs.AdvicePolicy(0.3, 0.004, 2.0)


class NoAdviceCallers:
    """All entries are busy with calls for advice."""

    def reserve(self, urgent: bool, expected_s: float) -> bool:
        del urgent, expected_s
        return False


def asks(world: worlds.World, now: float) -> list[actions.RequestAdvice]:
    return [
        one
        for one in world.plan(now)
        if isinstance(one, actions.RequestAdvice)
    ]


def advise(
    world: worlds.World,
    now: float,
    ask: actions.RequestAdvice,
    good: list[str],
) -> None:
    world.scheduler.handle_advice_result(
        now,
        now - 0.1,
        ask.step_id,
        ask.worker_ids,
        ports.Advice({model.WorkerId(one): f't-{one}' for one in good}),
    )


class TestConstraints:
    """Guards against starts where a step must not run."""

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
        starts = world.starts(0.1)
        assert {one.worker.worker_id for one in starts} == {'b'}
        assert len(starts) == 3

    def test_tasks_run_near_their_data_while_there_is_room(self) -> None:
        world = self._two_racks()
        step = worlds.make_step(2, data_rack='r2')
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.starts(0.1)
        assert {one.worker.worker_id for one in starts} == {'b'}

    def test_no_more_than_allowed_run_on_one_worker(self) -> None:
        world = self._two_racks()
        step = worlds.make_step(5, max_per_worker=1)
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.starts(0.1)
        assert sorted(one.worker.worker_id for one in starts) == ['a', 'b']

    def test_a_gang_for_one_rack_is_not_spread(self) -> None:
        world = worlds.World(
            [
                worlds.make_worker('a', 3000, rack='r1'),
                worlds.make_worker('b', 3000, rack='r2'),
                worlds.make_worker('c', 3000, rack='r2'),
            ]
        )
        step = worlds.make_step(5, gang=True, single_rack=True)
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.starts(0.1)
        assert {one.worker.worker_id for one in starts} == {'b', 'c'}

    def test_a_task_that_fits_nowhere_waits(self) -> None:
        world = self._two_racks()
        step = worlds.make_step(1, size=model.Resources(99_000, 1))
        world.accept(0.0, worlds.make_job(1, [step]))
        assert world.plan(0.1) == []


class TestSchedules:
    """Guards against occurrences that start early or are left out."""

    def test_occurrences_start_when_they_are_due(self) -> None:
        world = worlds.World([worlds.make_worker('a')])
        job = worlds.make_job(
            1,
            repetitions=3,
            first_due_unix_s=worlds.UNIX + 5.0,
            interval_s=10.0,
        )
        job_id = world.accept(0.0, job)
        assert world.starts(4.9) == []
        for number, due in enumerate((5.0, 15.0, 25.0)):
            starts = world.started(due + 0.01)
            assert [one.order.task_id for one in starts] == [
                f'{job_id}.{number}.0.0'
            ]
            order = starts[0].order
            end = (number + 1, order.task_id, order.run, DONE)
            world.report(due + 1, 'a', ended=[end])
        world.store()
        assert (
            world.scheduler.jobs.state_of(job_id) is specs.JobState.COMPLETED
        )


class TestOrder:
    """Plays more work than there is room for."""

    def test_urgent_work_goes_first(self) -> None:
        world = worlds.World([worlds.make_worker('a', 1000)])
        world.accept(0.0, worlds.make_job(1))
        urgent = worlds.make_queue('urgent', priority=0)
        job_id = world.accept(0.0, worlds.make_job(2, queue=urgent))
        starts = world.starts(0.1)
        assert [one.order.task_id.split('.')[0] for one in starts] == [job_id]

    def test_what_can_be_in_time_goes_before_what_is_late(self) -> None:
        world = worlds.World([worlds.make_worker('a', 1000)])
        world.accept(0.0, worlds.make_job(1))
        job = msgspec.structs.replace(
            worlds.make_job(2), accepted_unix_s=worlds.UNIX + 4.0
        )
        fresh = world.accept(4.0, job)
        starts = world.starts(4.1)
        assert [one.order.task_id.split('.')[0] for one in starts] == [fresh]

    def test_a_flood_of_one_customer_waits_behind_the_others(self) -> None:
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

    def test_small_tasks_do_not_take_the_room_of_a_gang(self) -> None:
        world = worlds.World([worlds.make_worker('a', 4000)])
        world.accept(
            0.0,
            worlds.make_job(
                1,
                [worlds.make_step(1, size=model.Resources(2000, 10))],
            ),
        )
        assert len(world.started(0.1)) == 1
        gang = worlds.make_step(4, gang=True, estimate_s=1.0)
        world.accept(0.2, worlds.make_job(2, [gang]))
        patient = worlds.make_queue('patient', stretch=50.0)
        world.accept(
            0.2,
            worlds.make_job(
                3, [worlds.make_step(2, estimate_s=3.0)], queue=patient
            ),
        )
        assert world.starts(0.3) == []


class TestAdvice:
    """Guards against starts without a ticket and calls without use."""

    def _world(self, count: int = 4) -> worlds.World:
        return worlds.World(
            [worlds.make_worker(f'w{number}') for number in range(count)]
        )

    def _queue(self) -> specs.Queue:
        return worlds.make_queue(advice=ADVICE)

    def test_a_step_starts_only_with_tickets(self) -> None:
        world = self._world()
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = asks(world, 0.1)
        assert len(ask.worker_ids) == 4
        assert world.plan(0.2) == []
        advise(world, 0.4, ask, ['w2'])
        (start,) = world.starts(0.45)
        assert start.worker.worker_id == 'w2'
        assert start.order.ticket == 't-w2'

    def test_expired_tickets_are_not_used(self) -> None:
        world = self._world()
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = asks(world, 0.1)
        advise(world, 0.4, ask, ['w2'])
        late = world.plan(3.0)
        assert not any(isinstance(one, actions.Start) for one in late)
        (again,) = [
            one for one in late if isinstance(one, actions.RequestAdvice)
        ]
        assert again.worker_ids[0] == 'w2'

    def test_a_ticket_of_an_earlier_life_is_not_used(self) -> None:
        world = self._world(1)
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        (ask,) = asks(world, 0.1)
        advise(world, 0.4, ask, ['w0'])
        world.report(0.5, 'w0', started=2)
        assert world.starts(0.6) == []

    def test_nothing_is_asked_while_no_lane_is_free(self) -> None:
        world = self._world()
        world.accept(0.0, worlds.make_job(1, queue=self._queue()))
        assert world.scheduler.plan(0.1, NoAdviceCallers()) == []

    def test_a_wide_gang_asks_for_as_many_as_it_needs(self) -> None:
        world = self._world(90)
        step = worlds.make_step(
            60, gang=True, size=model.Resources(5000, 1000)
        )
        world.accept(0.0, worlds.make_job(1, [step], queue=self._queue()))
        (ask,) = asks(world, 0.1)
        good = [str(one) for one in ask.worker_ids][::3]
        advise(world, 0.5, ask, good)
        later = asks(world, 0.6)
        asked = set(ask.worker_ids)
        for one in later:
            asked |= set(one.worker_ids)
        assert len(asked) * 3 >= 2 * 60 or len(asked) == 90

    def test_a_gang_does_not_ask_while_it_can_not_start(self) -> None:
        """Calls that can't help would hold up the other steps."""
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
        assert asks(world, 0.1) == []
        small = worlds.make_step(2, gang=True)
        world.accept(0.2, worlds.make_job(2, [small], queue))
        assert len(asks(world, 0.3)) == 1

    def test_a_gang_without_room_asks_about_workers_that_have_some(
        self,
    ) -> None:
        """Guards against gangs that wait beside an empty half of a fleet."""
        names = [f'w{number:02}' for number in range(60)]
        queue = worlds.make_queue('q', advice=ADVICE)
        world = worlds.World(
            [worlds.make_worker(name, 4000, 64_000) for name in names],
            worlds.make_configuration([queue, worlds.make_queue('other')]),
        )
        step = worlds.make_step(4, gang=True, size=model.Resources(4000, 10))
        world.accept(0.0, worlds.make_job(1, [step], queue))
        (first,) = asks(world, 0.1)
        # More suitable ones than it needs, but all fill up meanwhile.
        good = list(first.worker_ids[:12])
        filling = worlds.make_step(
            len(first.worker_ids), size=model.Resources(4000, 10)
        )
        other = worlds.make_job(2, [filling], worlds.make_queue('other'))
        world.accept(0.2, other)
        taken = {start.worker.worker_id for start in world.started(0.2)}
        assert len(taken) == len(first.worker_ids)
        for name in set(names) - taken:
            assert name not in good
        advise(world, 0.5, first, good)
        (second,) = asks(world, 0.6)
        assert not set(second.worker_ids) & taken
        assert len(second.worker_ids) >= 4
