"""A service whose tasks fail keeps the whole fleet from starting work."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

WORKERS = 8
SERVICES = 4
TASKS = 2
FINISH_S = 14.0
AFTER_LAST_RUN_S = 6.0
IDLE_S = 3.0
ORDINARY_AT_S = 36.0

SERVICE = {
    'specification': 'lasts;startup_ms=300;run_ms=150;how=failed',
    'steps': [
        {
            'count': TASKS,
            'cpu': 500,
            'memory_request_mb': 64,
            'estimated_ms': 1000,
            'long_running': True,
        }
    ],
}
ORDINARY = {
    'specification': 'run_ms=100',
    'steps': [
        {
            'count': 1,
            'cpu': 500,
            'memory_request_mb': 64,
            'estimated_ms': 100,
        }
    ],
}


def longest_idle(runs, until):
    """Return the longest time without a run, between and after the runs."""
    runs = sorted(runs, key=lambda run: run.began)
    ends = [run.ended for run in runs]
    begins = [run.began for run in runs[1:]] + [until]
    return max(
        (
            begin - end
            for end, begin in zip(ends, begins, strict=True)
            if end is not None
        ),
        default=0.0,
    )


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(WORKERS):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        fleet.ends_by_itself = lambda run: trouble
        began = time.monotonic()
        services = [fleets.job_id() for _ in range(SERVICES)]
        for job_id in services:
            await fleet.submit(job_id, SERVICE, '/one/', 'key-1')
        await asyncio.sleep(began + ORDINARY_AT_S - time.monotonic())
        ordinary = fleets.job_id()
        await fleet.submit(ordinary, ORDINARY, '/two/', 'key-2')
        record.write('the traffic ends')
        await asyncio.sleep(FINISH_S)
        await fleet.call(
            fleet.entries[0], 'GET', f'/two/{ordinary}', key='key-2'
        )
        await asyncio.sleep(IDLE_S)
        now = time.monotonic()
        broken = []
        if not any(run.task.startswith(ordinary) for run in fleet.runs):
            broken.append(
                f'the job {ordinary} of another tenant has not begun '
                f'{FINISH_S + IDLE_S:.0f} s after the end of the traffic'
            )
        idle_s = max(
            longest_idle(
                [
                    run
                    for run in fleet.runs
                    if run.task == f'{job_id}.0.0.{index}'
                ],
                now,
            )
            for job_id in services
            for index in range(TASKS)
        )
        if idle_s > AFTER_LAST_RUN_S + IDLE_S:
            broken.append(
                f'a task that lasts has not run for {idle_s:.0f} s after a run'
            )
        # All tasks together need 4.5 of 128 cores, and no tenant has a limit.
        return 'LOST: ' + '; '.join(broken) if broken else ''


fleets.main(HERE, case)
