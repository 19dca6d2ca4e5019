"""A job that was cancelled begins when a write is applied late."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

CANCEL_S = 3.0
CONTACT_S = 3.0
LATE_S = 6.0
"""Time from a lost write until it is applied."""
LOST_SHARE = 0.3
OBSERVED_S = 14.0

JOB = {
    'specification': 'run_ms=3000',
    'steps': [
        {
            'count': 2,
            'cpu': 500,
            'memory_request_mb': 64,
            'estimated_ms': 3000,
        }
    ],
}


class LosingStore:
    """Makes a store lose the answers of some writes and apply them late."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._handle = fleet.store.server._handle
        fleet.store.server._handle = self.handle
        self.job_id = ''
        """The writes of this job are lost."""
        self.writes = 0
        self.lost = 0
        self.ended_at = 0.0

    async def handle(self, method, path, query, headers, body):
        if not self.job_id or path != '/-/rows-tx':
            return await self._handle(method, path, query, headers, body)
        self.writes += 1
        if all(one['key'] != self.job_id for one in body['puts']):
            return await self._handle(method, path, query, headers, body)
        self.lost += 1
        self._fleet.record.write(f'store: a write of {self.job_id} is lost')
        self._fleet.spawn(self._apply_late(self.job_id, body))
        return fleets.NO_ANSWER

    async def _apply_late(self, job_id, body):
        await asyncio.sleep(LATE_S)
        status, _ = self._fleet.store._transact(body)
        self._fleet.record.write(
            f'store: the write of {job_id} is carried out: {status}'
        )


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(4):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        await asyncio.sleep(CONTACT_S)
        store = LosingStore(fleet)
        job_id = fleets.job_id()
        if trouble:
            store.job_id = job_id
        status, _ = await fleet.call(
            fleet.entries[0], 'POST', f'/one/{job_id}', JOB
        )
        # The disruption ends here; the client gives its job up.
        store.job_id = ''
        calm_since = time.monotonic()
        record.write(
            f'store: {store.lost} of {store.writes} writes were lost, no more'
        )
        if trouble and store.lost > LOST_SHARE * store.writes:
            raise fleets.CannotRun('too large a share of writes was lost')
        acknowledged_at = None
        for number in range(1, 9):
            entry = fleet.entries[number % len(fleet.entries)]
            status, _ = await fleet.call(entry, 'DELETE', f'/one/{job_id}')
            if status in (200, 410):
                acknowledged_at = time.monotonic()
                break
            await asyncio.sleep(0.2)
        if acknowledged_at is None:
            raise fleets.CannotRun('the cancellation was not acknowledged')
        await asyncio.sleep(OBSERVED_S)
        await fleet.call(fleet.entries[0], 'GET', f'/one/{job_id}')
        late = [
            run
            for run in fleet.runs
            if run.task.startswith(job_id)
            and run.began - acknowledged_at > CANCEL_S
            and run.began - calm_since > CONTACT_S
        ]
        if not late:
            return ''
        return (
            f'UNASKED: {len(late)} tasks of a job began '
            f'{late[0].began - acknowledged_at:.1f} s after its cancelling '
            f'was acknowledged with {status}'
        )


fleets.main(HERE, case)
