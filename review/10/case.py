"""A late acknowledgement makes a restarted worker forget ends unread."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

WORKERS = 8
"""One of them crashes: a share of .125, of .14 at most."""
LATE_SHARE = 0.055
"""Largest share of calls to workers that get no answer."""
MIN_LAST_SEEN = 30
CRASH_AFTER_S = 0.3
DOWN_S = 0.2
SILENT_FROM_S = 1.3
"""Time after the restart from which hold calls get no answer."""
LATE_S = 2.5
BEFORE_S = 5.0
AFTER_S = 15.0
TASK_MS = 150
SUBMIT_INTERVAL_S = 0.08

JOB = {
    'specification': f'run_ms={TASK_MS}',
    'steps': [
        {
            'count': 8,
            'cpu': 8000,
            'memory_request_mb': 64,
            'estimated_ms': TASK_MS,
        }
    ],
}


class LateHold:
    """Delays a hold call of a worker that restarts meanwhile.

    Shortly before it is carried out, hold calls to the new process get no
    answer either and are not carried out in the time of the script.
    """

    def __init__(self, fleet, worker):
        self._fleet = fleet
        self._worker = worker
        self._delayed = False
        self._silent_from = float('inf')
        self.armed = False
        self.is_over = False
        self.calls = 0
        """Calls from the delayed one until it is carried out."""
        self.unanswered = 0
        for other in fleet.workers.values():
            if other is not worker:
                self._count_calls(other)
        self._wrap(worker)

    def _count_calls(self, worker):
        real = worker.server._handle

        async def handle(*arguments):
            self.calls += self._delayed and not self.is_over
            return await real(*arguments)

        worker.server._handle = handle

    def _wrap(self, worker):
        real = worker.server._handle

        async def handle(method, path, query, headers, body):
            during = self._delayed and not self.is_over
            if path != '/-/hold':
                self.calls += during
                return await real(method, path, query, headers, body)
            if (
                self.armed
                and not self._delayed
                and body['last_seen'] >= MIN_LAST_SEEN
            ):
                self._delayed = True
                self.calls += 1
                self.unanswered += 1
                self._fleet.record.write(
                    f'{worker.worker_id}: a hold call with last_seen '
                    f'{body["last_seen"]} is delayed'
                )
                self._fleet.spawn(self._carry_out_late(dict(body)))
                return fleets.NO_ANSWER
            self.calls += during
            if during and time.monotonic() >= self._silent_from:
                self.unanswered += 1
                self._fleet.record.write(
                    f'{worker.worker_id}: a hold call with last_seen '
                    f'{body["last_seen"]} gets no answer'
                )
                return fleets.NO_ANSWER
            return await real(method, path, query, headers, body)

        worker.server._handle = handle

    async def _carry_out_late(self, body):
        delayed_at = time.monotonic()
        await asyncio.sleep(CRASH_AFTER_S)
        successor = await self._restart()
        self._silent_from = time.monotonic() + SILENT_FROM_S
        await asyncio.sleep(delayed_at + LATE_S - time.monotonic())
        self._fleet.record.write(
            f'{successor.worker_id}: the hold call is carried out; ends '
            f'listed from now on would be {successor._ended}'
        )
        await successor._handle(
            'POST', '/-/hold', {}, {}, dict(body, wait_ms=0)
        )
        self.is_over = True

    async def _restart(self):
        """Crash the worker and start it again under its id and address."""
        worker = self._worker
        self._fleet.record.write(f'{worker.worker_id}: crash')
        worker.alive = False
        worker._beat.cancel()
        await worker.server.stop()
        for key in list(worker.running):
            worker._end(key, 'gone')
        await asyncio.sleep(DOWN_S)
        successor = fleets.Worker(
            self._fleet, worker.worker_id, worker.machine, worker.cpu
        )
        successor.server.address = worker.server.address
        self._fleet.workers[worker.worker_id] = successor
        self._wrap(successor)
        await successor.start()
        self._fleet.record.write(f'{worker.worker_id}: started again')
        return successor


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(WORKERS):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        await asyncio.sleep(3)
        noted_at = {}
        """When the end as done of each task was taken note of."""
        again = []
        note_start = fleet.note_start

        def note(run, body):
            note_start(run, body)
            if run.task in noted_at:
                again.append(run)
                record.write(
                    f'{run.task} starts again; an earlier run had ended '
                    'done, which was taken note of '
                    f'{run.began - noted_at[run.task]:.1f} s before'
                )

        def note_acknowledged(ends):
            for _, task, _, how, _ in ends:
                if how == 'done':
                    noted_at.setdefault(task, time.monotonic())

        fleet.note_start = note
        fleet.note_acknowledged = note_acknowledged
        late = LateHold(fleet, next(iter(fleet.workers.values())))
        end_at = time.monotonic() + BEFORE_S + AFTER_S
        arm_at = time.monotonic() + BEFORE_S
        number = 0
        # The jobs fill the workers until the disruption is over.
        while not late.is_over and time.monotonic() < end_at - AFTER_S / 2:
            late.armed = trouble and time.monotonic() >= arm_at
            number += 1
            await fleet.call(
                fleet.entries[number % len(fleet.entries)],
                'POST',
                f'/one/{fleets.job_id()}',
                JOB,
                quiet=True,
            )
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        record.write(f'of {late.calls} calls {late.unanswered} got no answer')
        if trouble and not late.is_over:
            raise fleets.CannotRun('no hold call was delayed')
        if late.unanswered > LATE_SHARE * late.calls:
            raise fleets.CannotRun('too large a share got no answer')
        await asyncio.sleep(end_at - time.monotonic())
        if not again:
            return ''
        return (
            f'TWICE: {len(again)} tasks were started again after their runs '
            'had ended done, which had been taken note of'
        )


fleets.main(HERE, case)
