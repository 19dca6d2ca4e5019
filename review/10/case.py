"""A task that lasts crashes one worker after the other without end."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

WORKERS = 6
CRASHES = 3
MORE_STARTS = 3
OBSERVED_S = 40.0
LONG_MS = 12_000


def body(specification, count, **fields):
    step = {
        'count': count,
        'cpu': 500,
        'memory_request_mb': 64,
        'estimated_ms': 1000,
    }
    return {'specification': specification, 'steps': [dict(step, **fields)]}


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(WORKERS):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        deadly = fleets.job_id()
        crash = ';crash_ms=1000' if trouble else ''
        await fleet.submit(
            deadly,
            body(f'lasts;startup_ms=500{crash}', 1, long_running=True),
            '/one/',
            'key-1',
        )
        ordinary = fleets.job_id()
        await fleet.submit(
            ordinary,
            body(f'run_ms={LONG_MS}', 12),
            '/two/',
            'key-2',
        )
        for _ in range(int(OBSERVED_S / 5)):
            await asyncio.sleep(5)
            for prefix, job_id, key in (
                ('/one/', deadly, 'key-1'),
                ('/two/', ordinary, 'key-2'),
            ):
                await fleet.call(
                    fleet.entries[0], 'GET', f'{prefix}{job_id}', key=key
                )
        task = f'{deadly}.0.0.0'
        crashes = [
            at
            for at, _, runs in fleet.crashes
            if any(name == task for name, _ in runs)
        ]
        starts = [run.began for run in fleet.runs if run.task == task]
        lost = sum(
            run.how == 'gone'
            for run in fleet.runs
            if run.task.startswith(ordinary)
        )
        record.write(f'runs of the ordinary job lost by crashes: {lost}')
        if len(crashes) < CRASHES:
            return ''
        later = sum(at > crashes[CRASHES - 1] for at in starts)
        if later < MORE_STARTS:
            return ''
        return (
            f'BUDGET: a task was started {later} times more after {CRASHES} '
            f'workers had crashed under it; {len(crashes)} crashes in all, '
            f'{lost} runs of another job were lost with them'
        )


fleets.main(HERE, case)
