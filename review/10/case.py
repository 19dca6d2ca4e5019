"""A late order begins on a restarted worker, and its task runs elsewhere."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

WORKERS = 4
CRASH_AFTER_S = 3.0
DOWN_S = 0.2
STOP_S = 0.3
"""Time that a stop takes; stop_timeout_ms is 400."""
RUN_MS = 8000
OBSERVED_S = 15.0

JOB = {
    'specification': f'run_ms={RUN_MS}',
    'steps': [
        {
            'count': 1,
            'cpu': 1000,
            'memory_request_mb': 64,
            'estimated_ms': RUN_MS,
        }
    ],
}


async def restart(fleet, worker):
    """Crash a worker and start it again under its id and address."""
    fleet.record.write(
        f'{worker.worker_id}: crash under {sorted(worker.running)}'
    )
    worker.alive = False
    worker._beat.cancel()
    await worker.server.stop()
    for key in list(worker.running):
        worker._end(key, 'gone')
    await asyncio.sleep(DOWN_S)
    successor = fleets.Worker(
        fleet, worker.worker_id, worker.machine, worker.cpu
    )
    successor.server.address = worker.server.address
    fleet.workers[worker.worker_id] = successor
    await successor.start()
    fleet.record.write(f'{worker.worker_id}: started again')
    return successor


class LateOrder:
    """Delays the first start order of a job until its worker is back."""

    def __init__(self, fleet, job_id):
        self._fleet = fleet
        self._job_id = job_id
        self._handlers_by_id = {}
        self.delayed = False
        for worker in fleet.workers.values():
            self._handlers_by_id[worker.worker_id] = worker.server._handle
            worker.server._handle = self._handler(worker)

    def _handler(self, worker):
        async def handle(method, path, query, headers, body):
            if (
                not self.delayed
                and path == '/-/run-start'
                and body['task'].startswith(self._job_id)
            ):
                self.delayed = True
                self._fleet.record.write(
                    f'{worker.worker_id}: the order of {body["task"]} run '
                    f'{body["run"]} is delayed'
                )
                order = method, path, query, headers, body
                self._fleet.spawn(self._carry_out_late(worker, order))
                return fleets.NO_ANSWER
            return await self._handlers_by_id[worker.worker_id](
                method, path, query, headers, body
            )

        return handle

    async def _carry_out_late(self, worker, order):
        delayed_at = time.monotonic()
        await asyncio.sleep(CRASH_AFTER_S)
        successor = await restart(self._fleet, worker)
        self._fleet.record.write(
            f'{worker.worker_id}: the order is carried out '
            f'{time.monotonic() - delayed_at:.1f} s late'
        )
        await successor._handle(*order)


async def case(record, trouble):
    fleets.STOP_S = STOP_S
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(WORKERS):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        await asyncio.sleep(3)
        job_id = fleets.job_id()
        if trouble:
            LateOrder(fleet, job_id)
        await fleet.submit(job_id, JOB)
        await asyncio.sleep(OBSERVED_S)
        await fleet.call(fleet.entries[0], 'GET', f'/one/{job_id}')
        for later in fleet.runs:
            for earlier in fleet.runs:
                ended = earlier.ended or time.monotonic()
                if (
                    earlier.task == later.task
                    and earlier.began < later.began < ended
                ):
                    both_s = min(ended, later.ended or ended) - later.began
                    return (
                        f'TWICE: run {later.number} of {later.task} began '
                        f'on {later.worker.machine} while run '
                        f'{earlier.number} was at work on '
                        f'{earlier.worker.machine}; both for {both_s:.2f} s'
                    )
        return ''


fleets.main(HERE, case)
