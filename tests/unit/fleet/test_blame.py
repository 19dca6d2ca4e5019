"""Which workers get no work because of failures of tasks."""

import itertools

from samphirestack.fleet import actions
from samphirestack.fleet import specs
from samphirestack.fleet import stalls
from samphirestack import model
from samphirestack_testing import fleet_world as worlds

FAILED = specs.EndReason.FAILED
WORKERS = 8


class FailingFleet:
    """Workers on which the tasks of one customer fail after each start."""

    def __init__(self) -> None:
        self.world = worlds.World(
            [worlds.make_worker(f'w{number}') for number in range(WORKERS)]
        )
        self._job_numbers = itertools.count(1)
        self._last_ends: dict[model.WorkerId, int] = {}

    def submit(self, customer: str, **fields: object) -> model.JobId:
        count = 2 if customer == 'failing' else 1
        record = worlds.make_job(
            next(self._job_numbers),
            [worlds.make_step(count, **fields)],
            customer=customer,
        )
        return self.world.accept(0.0, record)

    def step(self, now: float) -> list[actions.Start]:
        """Start what may start, and let the failing tasks fail."""
        starts = self.world.start_all(now)
        for start in starts:
            task = self.world.scheduler.jobs.find_task(start.order.task_id)
            if task is None or task.step.job.customer_id != 'failing':
                continue
            worker_id = start.worker.worker_id
            number = self._last_ends.get(worker_id, 0) + 1
            self._last_ends[worker_id] = number
            self.world.report(
                now + 0.1,
                worker_id,
                ended=[(number, start.order.task_id, start.order.run, FAILED)],
            )
        return starts

    def starts_of_others(self, now: float) -> bool:
        """Return whether a job of another customer starts."""
        job_id = self.submit('other')
        return any(
            start.order.task_id.startswith(job_id) for start in self.step(now)
        )


class TestTasksThatFailAnywhere:
    """Guards against a customer whose tasks keep all workers from others."""

    def test_services_that_fail_at_startup_close_no_worker(self) -> None:
        fleet = FailingFleet()
        for _ in range(4):
            fleet.submit('failing', long_running=True)
        for number in range(200):
            fleet.step(1.0 + 0.2 * number)
            if number % 10 == 9:
                assert fleet.starts_of_others(1.1 + 0.2 * number)

    def test_ordinary_jobs_that_always_fail_close_no_worker(self) -> None:
        fleet = FailingFleet()
        for number in range(120):
            fleet.submit('failing')
            fleet.step(1.0 + 0.25 * number)
            # Beside them nothing ever succeeds.
        usable = [
            worker_id
            for worker_id in fleet.world.scheduler.workers_by_id
            if fleet.world.scheduler.quarantine.accepts(31.1, worker_id)
        ]
        assert len(usable) >= WORKERS / 2
        assert fleet.starts_of_others(31.2)

    def test_a_worker_that_fails_all_is_closed(self) -> None:
        fleet = FailingFleet()
        scheduler = fleet.world.scheduler
        worker_id = model.WorkerId('w0')
        number = 0
        for round_number in range(40):
            now = 1.0 + round_number
            fleet.submit('other')
            for start in fleet.world.start_all(now):
                fails = start.worker.worker_id == worker_id
                number += 1
                fleet.world.report(
                    now + 0.1,
                    start.worker.worker_id,
                    ended=[
                        (
                            number,
                            start.order.task_id,
                            start.order.run,
                            FAILED if fails else specs.EndReason.DONE,
                        )
                    ],
                )
        assert not scheduler.quarantine.accepts(41.0, worker_id) or (
            scheduler.quarantine.is_quarantined(worker_id)
        )


class TestTasksThatStandStill:
    """Guards against stalled tasks of one job that close all workers."""

    def test_half_of_the_workers_stay_in_use(self) -> None:
        world = worlds.World(
            [worlds.make_worker(f'w{number}', 1000) for number in range(4)]
        )
        world.accept(0.0, worlds.make_job(1, [worlds.make_step(4)]))
        starts = world.start_all(0.1)
        late = 60.0 + stalls.MIN_STILL_S
        for now in (1.0, late):
            for start in starts:
                world.report(
                    now,
                    start.worker.worker_id,
                    [(start.order.task_id, start.order.run)],
                )
        avoided = [
            worker
            for worker in world.scheduler.workers_by_id.values()
            if worker.avoid_until > late
        ]
        assert 0 < len(avoided) <= 2


class TestMalformedOrders:
    """Guards against an order that each worker refuses and is blamed for."""

    def test_they_close_no_worker(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        world.answer_start(0.2, start, specs.StartOutcome.MALFORMED)
        world.accept(0.2, worlds.make_job(2))
        assert world.plan_starts(0.25)
