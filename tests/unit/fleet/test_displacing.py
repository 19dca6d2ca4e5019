"""Displacement of checkpointed runs by urgent steps and gangs."""

from collections.abc import Iterable

import msgspec
import pytest
from samphirestack.fleet import actions
from samphirestack.fleet import displacing
from samphirestack.fleet import ordering
from samphirestack.fleet import ports
from samphirestack.fleet import specs

from samphirestack import model
from samphirestack_testing import fleet_world as worlds

CHECKPOINT = specs.Checkpoint('saved')
PATIENT = worlds.make_queue('patient', priority=2, stretch=10.0)
GANGS = worlds.make_queue('gangs', priority=1, stretch=2.0)
URGENT = worlds.make_queue(
    'urgent', priority=0, stretch=1.5, latency_target_s=0.25
)
ADVICE = specs.AdvicePolicy(0.05, 0.0001, 2.0)
STEP = worlds.make_step(checkpoints=True, estimate_s=20.0)
URGENT_STEP = worlds.make_step(estimate_s=2.0)


class FullFleet:
    """Workers of four cores on which runs of jobs take all room.

    :param jobs: started in this order at 0 s.
    :param percent: progress of their runs at 1 s.
    """

    def __init__(
        self,
        jobs: Iterable[tuple[specs.Queue, specs.StepSpec, str]],
        percent: float = 5.0,
        workers: int = 1,
        customers: Iterable[specs.Customer] = (),
        queues: Iterable[specs.Queue] = (),
    ) -> None:
        self.job_count = 0
        self.ended_by_worker: dict[str, int] = {}
        self.world = worlds.World(
            [
                worlds.make_worker(f'w{number}', 4000)
                for number in range(workers)
            ],
            worlds.make_configuration(
                [PATIENT, GANGS, URGENT, *queues], customers
            ),
        )
        self.job_ids = [
            self.accept(0.0, queue, step, customer)
            for queue, step, customer in jobs
        ]
        self.world.start_all(0.0)
        self.report(1.0, percent)

    def accept(
        self,
        now: float,
        queue: specs.Queue,
        step: specs.StepSpec,
        customer: str = 'team',
    ) -> model.JobId:
        self.job_count += 1
        job = worlds.make_job(self.job_count, [step], queue, customer)
        job = msgspec.structs.replace(
            job, accepted_unix_s=worlds.UNIX_AT_ZERO_S + now
        )
        return self.world.accept(now, job)

    def report(
        self,
        now: float,
        percent: float = 5.0,
        stopped: Iterable[actions.Stop] = (),
    ) -> None:
        """Let all workers report; the stopped runs have ended."""
        stopped_keys = {(stop.task_id, stop.run) for stop in stopped}
        workers = self.world.scheduler.workers_by_id
        for worker_id, worker in list(workers.items()):
            number = self.ended_by_worker.get(worker_id, 0)
            running = []
            ended = []
            for task_id, run in worker.runs_by_key:
                key = (task_id, specs.RunNumber(run))
                if key in stopped_keys:
                    number += 1
                    reason = specs.EndReason.STOPPED
                    ended.append(
                        specs.EndRow(number, *key, reason, CHECKPOINT)
                    )
                else:
                    running.append(specs.RunningRow(*key, CHECKPOINT, percent))
            self.ended_by_worker[worker_id] = number
            report = specs.WorkerReport(
                now * 1000, 1, tuple(running), tuple(ended)
            )
            self.world.scheduler.apply_report(now, now, worker_id, report)

    def plan_stops(self, now: float) -> list[actions.Stop]:
        return [
            action
            for action in self.world.plan(now)
            if isinstance(action, actions.Stop)
            and action.reason == displacing.REASON
        ]

    def stopped_jobs(self, now: float) -> list[str]:
        return [stop.task_id.split('.')[0] for stop in self.plan_stops(now)]

    def started_jobs(self, now: float) -> list[str]:
        return [
            start.order.task_id.split('.')[0]
            for start in self.world.start_all(now)
        ]


class TestUrgentSteps:
    """Guards against urgent steps that wait behind patient runs."""

    def test_an_urgent_step_starts_in_a_full_fleet(self) -> None:
        fleet = FullFleet([(PATIENT, STEP, 'team')] * 4)
        urgent = fleet.accept(1.0, URGENT, URGENT_STEP)
        stops = fleet.plan_stops(1.01)
        assert len(stops) == 1
        # The run holds its room until its end is reported.
        assert not fleet.started_jobs(1.2)
        fleet.report(1.3, 6.0, stops)
        assert fleet.started_jobs(1.31) == [urgent]

    def test_the_displaced_run_resumes_from_its_checkpoint(self) -> None:
        fleet = FullFleet([(PATIENT, STEP, 'team')] * 4)
        fleet.accept(1.0, URGENT, URGENT_STEP)
        stops = fleet.plan_stops(1.01)
        fleet.report(1.3, 6.0, stops)
        (start,) = fleet.world.start_all(1.31)
        urgent_run = actions.Stop(
            start.worker, start.order.task_id, start.order.run, ''
        )
        fleet.report(3.0, 7.0, [urgent_run])
        job_id = model.JobId(start.order.task_id.split('.')[0])
        fleet.world.scheduler.cancel(3.0, job_id)
        (resumed,) = fleet.world.start_all(3.1)
        assert resumed.order.task_id == stops[0].task_id
        assert resumed.order.checkpoint == CHECKPOINT

    def test_operators_are_told_what_is_displaced(self) -> None:
        fleet = FullFleet([(PATIENT, STEP, 'team')] * 4)
        urgent = fleet.accept(1.0, URGENT, URGENT_STEP)
        (report,) = [
            action
            for action in fleet.world.plan(1.01)
            if isinstance(action, actions.ReportDisplacement)
        ]
        assert report.step_id == f'{urgent}.0.0'
        assert (report.runs, report.tasks) == (1, 1)
        assert 0 < report.lost_core_s < report.gained_core_s == 2.0

    def test_nothing_is_displaced_if_room_comes_as_soon(self) -> None:
        fleet = FullFleet([(PATIENT, STEP, 'team')] * 4, percent=90.0)
        fleet.accept(1.0, URGENT, URGENT_STEP)
        assert not fleet.plan_stops(1.01)

    def test_nothing_is_displaced_for_a_step_that_is_late_anyway(
        self,
    ) -> None:
        fleet = FullFleet([(PATIENT, STEP, 'team')] * 4)
        fleet.accept(1.0, URGENT, URGENT_STEP)
        assert not fleet.plan_stops(2.5)

    def test_nothing_is_displaced_for_patient_steps(self) -> None:
        lowest = worlds.make_queue('lowest', priority=3, stretch=10.0)
        fleet = FullFleet([(lowest, STEP, 'team')] * 4)
        fleet.accept(1.0, PATIENT, URGENT_STEP)
        assert not fleet.plan_stops(1.01)

    def test_the_room_is_free_for_all_after_a_time(self) -> None:
        jobs = [(PATIENT, STEP, f'customer-{number}') for number in range(4)]
        fleet = FullFleet(jobs)
        large = worlds.make_step(
            size=model.Resources(2000, 1000), estimate_s=2.0
        )
        fleet.accept(1.0, URGENT, large)
        stops = fleet.plan_stops(1.01)
        assert len(stops) == 2
        fleet.report(1.3, 6.0, stops[:1])
        displaced = stops[0].task_id.split('.')[0]
        assert not fleet.started_jobs(1.0 + displacing.HOLD_S)
        assert fleet.started_jobs(1.02 + displacing.HOLD_S) == [displaced]


class TestVictims:
    """Guards against losses that exceed the gain, and unsuitable victims."""

    @pytest.mark.parametrize(
        ('queue', 'fields'),
        [
            (PATIENT, {'checkpoints': False}),
            (PATIENT, {'filler': True}),
            (PATIENT, {'long_running': True}),
            (URGENT, {}),
        ],
    )
    def test_these_runs_are_never_displaced(
        self, queue: specs.Queue, fields: dict[str, bool]
    ) -> None:
        step = msgspec.structs.replace(
            STEP, size=model.Resources(1000, 8000), **fields
        )
        fleet = FullFleet([(queue, step, 'team')] * 4)
        fleet.accept(1.0, URGENT, URGENT_STEP)
        assert not fleet.plan_stops(1.01)

    def test_gangs_are_never_displaced(self) -> None:
        gang = worlds.make_step(
            4, gang=True, checkpoints=True, estimate_s=20.0
        )
        fleet = FullFleet([(PATIENT, gang, 'team')])
        fleet.accept(1.0, URGENT, URGENT_STEP)
        assert not fleet.plan_stops(1.01)

    def test_a_loss_above_the_gain_is_not_accepted(self) -> None:
        fleet = FullFleet([(PATIENT, STEP, 'team')] * 4)
        short = worlds.make_step(estimate_s=0.4)
        queue = worlds.make_queue('calm', priority=0, latency_target_s=5.0)
        fleet.accept(1.0, queue, short)
        assert not fleet.plan_stops(1.01)

    def test_a_loss_above_the_gain_of_a_gang_is_not_accepted(self) -> None:
        jobs = [(PATIENT, STEP, f'customer-{number}') for number in range(4)]
        fleet = FullFleet(jobs)
        gang = worlds.make_step(2, gang=True, estimate_s=0.3)
        fleet.accept(1.0, GANGS, gang)
        assert not fleet.plan_stops(1.01)

    def test_the_run_that_loses_least_is_displaced(self) -> None:
        large = msgspec.structs.replace(STEP, size=model.Resources(2000, 1000))
        fleet = FullFleet(
            [
                (PATIENT, large, 'team'),
                (PATIENT, STEP, 'team'),
                (PATIENT, STEP, 'team'),
            ]
        )
        fleet.accept(1.0, URGENT, URGENT_STEP)
        (stopped,) = fleet.stopped_jobs(1.01)
        assert stopped in fleet.job_ids[1:]

    def test_a_run_that_would_become_late_is_displaced_last(self) -> None:
        tight = worlds.make_queue(
            'tight', priority=2, stretch=1.0, latency_target_s=1.0
        )
        fleet = FullFleet(
            [
                (tight, STEP, 'team'),
                (tight, STEP, 'team'),
                (PATIENT, STEP, 'team'),
                (tight, STEP, 'team'),
            ],
            queues=[tight],
        )
        fleet.accept(1.0, URGENT, URGENT_STEP)
        assert fleet.stopped_jobs(1.01) == [fleet.job_ids[2]]

    def test_a_job_is_displaced_once(self) -> None:
        step = msgspec.structs.replace(STEP, count=4)
        fleet = FullFleet([(PATIENT, step, 'team')])
        first = fleet.accept(1.0, URGENT, URGENT_STEP)
        stops = fleet.plan_stops(1.01)
        fleet.report(1.3, 6.0, stops)
        assert fleet.started_jobs(1.31) == [first]
        fleet.accept(1.4, URGENT, URGENT_STEP)
        fleet.report(1.5, 7.0)
        assert not fleet.plan_stops(1.51)


class TestBounds:
    """Guards against displacement at the cost of customers' shares."""

    def _customers(self, **millicores: int) -> list[specs.Customer]:
        return [
            specs.Customer(model.TeamId(name), 1.0, model.Resources(amount))
            for name, amount in millicores.items()
        ]

    def test_a_customer_at_its_limit_displaces_nothing(self) -> None:
        fleet = FullFleet(
            [(PATIENT, STEP, 'team')] * 4,
            customers=self._customers(team=4000),
        )
        fleet.accept(1.0, URGENT, URGENT_STEP)
        assert not fleet.plan_stops(1.01)

    def test_customers_over_their_share_are_displaced_first(self) -> None:
        small = msgspec.structs.replace(STEP, size=model.Resources(900, 1000))
        fleet = FullFleet(
            [(PATIENT, small, 'few')] + [(PATIENT, STEP, 'many')] * 3,
            customers=self._customers(few=0, many=0),
        )
        fleet.accept(
            1.0,
            URGENT,
            worlds.make_step(size=model.Resources(900, 1000), estimate_s=2.0),
            'other',
        )
        (stopped,) = fleet.stopped_jobs(1.01)
        assert stopped in fleet.job_ids[1:]

    def test_a_customer_over_its_share_displaces_none_below_theirs(
        self,
    ) -> None:
        fixed = msgspec.structs.replace(STEP, checkpoints=False)
        fleet = FullFleet(
            [(PATIENT, STEP, 'few')] + [(PATIENT, fixed, 'many')] * 3,
            customers=self._customers(few=0, many=0),
        )
        fleet.accept(1.0, URGENT, URGENT_STEP, 'many')
        assert not fleet.plan_stops(1.01)

    @pytest.mark.parametrize(('customers', 'expected'), [(4, 8), (1, 4)])
    def test_little_of_the_fleet_is_displaced_at_a_time(
        self, customers: int, expected: int
    ) -> None:
        jobs = [
            (PATIENT, STEP, f'customer-{number % customers}')
            for number in range(80)
        ]
        fleet = FullFleet(jobs, workers=20)
        for _ in range(80):
            fleet.accept(1.0, URGENT, URGENT_STEP)
        stops = []
        for number in range(30):
            stops += fleet.plan_stops(1.01 + 0.01 * number)
        assert len(stops) == expected


class TestGangs:
    """Guards against gangs that find no room before they are late."""

    GANG = worlds.make_step(
        2, gang=True, size=model.Resources(2000, 1000), estimate_s=5.0
    )

    def _fleet(self, queue: specs.Queue = GANGS) -> FullFleet:
        return FullFleet(
            [(PATIENT, STEP, f'customer-{number % 4}') for number in range(8)],
            workers=2,
            queues=[queue],
        )

    def test_a_gang_that_would_be_late_makes_room_as_a_whole(self) -> None:
        fleet = self._fleet()
        gang = fleet.accept(1.0, GANGS, self.GANG)
        stops = fleet.plan_stops(1.01)
        assert len(stops) == 4
        fleet.report(1.2, 6.0, stops[:3])
        assert not fleet.started_jobs(1.21)
        fleet.report(1.3, 6.0, stops[3:])
        assert fleet.started_jobs(1.31) == [gang] * 2

    def test_a_gang_that_can_wait_displaces_nothing(self) -> None:
        calm = worlds.make_queue('calm', priority=1, stretch=20.0)
        fleet = self._fleet(calm)
        fleet.accept(1.0, calm, self.GANG)
        assert not fleet.plan_stops(1.01)

    def test_nothing_is_displaced_for_a_part_of_a_gang(self) -> None:
        fleet = self._fleet()
        gang = msgspec.structs.replace(self.GANG, count=6)
        fleet.accept(1.0, GANGS, gang)
        assert not fleet.plan_stops(1.01)

    def test_other_steps_do_not_take_the_room(self) -> None:
        fleet = self._fleet()
        gang = fleet.accept(1.0, GANGS, self.GANG)
        stops = fleet.plan_stops(1.01)
        hurried = worlds.make_queue('hurried', priority=2, stretch=1.1)
        fleet.accept(1.02, hurried, worlds.make_step(estimate_s=0.2))
        fleet.report(1.2, 6.0, stops[:3])
        assert not fleet.started_jobs(1.21)
        fleet.report(1.3, 6.0, stops[3:])
        assert fleet.started_jobs(1.31)[:2] == [gang] * 2

    def test_a_gang_asks_for_tickets_before_runs_are_stopped(self) -> None:
        queue = worlds.make_queue(
            'advised', priority=1, stretch=2.0, advice=ADVICE
        )
        fleet = self._fleet(queue)
        gang = fleet.accept(1.0, queue, self.GANG)
        scheduler = fleet.world.scheduler

        def advise(now: float, planned: list[actions.Action]) -> None:
            (ask,) = [
                action
                for action in planned
                if isinstance(action, actions.RequestAdvice)
            ]
            tickets = dict.fromkeys(ask.worker_ids, 't')
            scheduler.handle_advice_result(
                now, now, ask.step_id, ask.worker_ids, ports.Advice(tickets)
            )

        advise(1.1, fleet.world.plan(1.01))
        # The tickets have expired.
        planned = fleet.world.plan(3.3)
        assert not any(isinstance(action, actions.Stop) for action in planned)
        advise(3.4, planned)
        stops = fleet.plan_stops(3.6)
        assert len(stops) == 4
        fleet.report(3.9, 6.0, stops)
        assert fleet.started_jobs(3.91) == [gang] * 2


class TestAfterTheSearch:
    """Guards against what a search leaves behind once it is of no use."""

    def test_a_gang_asks_about_other_workers_than_those_that_left(
        self,
    ) -> None:
        queue = worlds.make_queue(
            'advised', priority=1, stretch=2.0, advice=ADVICE
        )
        fleet = FullFleet(
            [(PATIENT, STEP, f'customer-{number % 4}') for number in range(8)],
            workers=2,
            queues=[queue],
        )
        scheduler = fleet.world.scheduler
        job_id = fleet.accept(1.0, queue, TestGangs.GANG)
        self._advise(fleet, 1.1, fleet.world.plan(1.01))
        step = scheduler.jobs.find_step(f'{job_id}.0.0')
        assert step is not None
        now = ordering.latest_start(step) - displacing.STOP_S - 0.05
        fleet.world.plan(now)
        assert step.room.wanted_ids
        for name in ('w0', 'w1'):
            scheduler.mark_worker_unregistered(model.WorkerId(name))
        for name in ('n0', 'n1', 'n2', 'n3'):
            scheduler.update_worker(now, worlds.make_worker(name, 4000))
            fleet.world.report(now, name)
        for _ in range(40):
            now += 0.1
            fleet.report(now, 20.0 + now)
            planned = fleet.world.plan(now)
            if any(
                isinstance(action, actions.Start)
                and action.order.task_id.startswith(job_id)
                for action in planned
            ):
                return
            self._advise(fleet, now, planned)
        pytest.fail('the gang never started')

    def _advise(
        self, fleet: FullFleet, now: float, planned: list[actions.Action]
    ) -> None:
        for action in planned:
            if isinstance(action, actions.RequestAdvice):
                fleet.world.scheduler.handle_advice_result(
                    now,
                    now,
                    action.step_id,
                    action.worker_ids,
                    ports.Advice(dict.fromkeys(action.worker_ids, 't')),
                )

    def test_nothing_stops_for_tasks_beyond_the_limit_of_a_customer(
        self,
    ) -> None:
        limited = specs.Customer(model.TeamId('u'), 1.0, model.Resources(1000))
        step = worlds.make_step(checkpoints=True, estimate_s=20.0)
        fleet = FullFleet(
            [(PATIENT, step, f'x{number % 8}') for number in range(160)],
            workers=40,
            customers=[limited],
        )
        wide = worlds.make_step(12, estimate_s=2.0)
        fleet.accept(1.0, URGENT, wide, 'u')
        assert len(fleet.plan_stops(1.01)) == 1

    def test_room_is_kept_while_its_step_is_blocked(self) -> None:
        fleet = FullFleet(
            [(PATIENT, STEP, f'customer-{number % 4}') for number in range(8)],
            workers=2,
        )
        job_id = fleet.accept(1.0, GANGS, TestGangs.GANG)
        stops = fleet.plan_stops(1.01)
        assert stops
        step = fleet.world.scheduler.jobs.find_step(f'{job_id}.0.0')
        assert step is not None
        step.blocked_until = 1.5
        hurried = worlds.make_queue('hurried', priority=2, stretch=1.1)
        fleet.accept(1.1, hurried, worlds.make_step(4, estimate_s=20.0))
        fleet.report(1.2, 6.0, stops)
        assert fleet.started_jobs(1.21) == []
