"""A job whose progress is larger than a row of the store may be."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin import cluster  # noqa: E402

LARGE_TASKS = 6000
LARGE_CPU = 50
SMALL_CPU = 500
MINIONS = 24
CAPACITY = 16_000 * MINIONS
LARGE_RUN_MS = 60_000
SMALL_JOBS = 40
GAP_S = 0.5
FINISH_S = 14
SAMPLE_S = 3.0
LARGE_ID = 'f' * 16


async def case(record, trouble):
    """Return whether LOST was broken."""
    world = cluster.Cluster(record, entries=2, kinds=('a',) * MINIONS)
    small = [f'{number + 1:016x}' for number in range(SMALL_JOBS)]
    try:
        await world.start()
        for number, job_id in enumerate(small):
            job = cluster.job(500, count=2, cpu=SMALL_CPU)
            await world.submit(job_id, job, 't-two')
            if trouble and number == 10:
                large = cluster.job(
                    LARGE_RUN_MS, LARGE_TASKS, cpu=LARGE_CPU, memory_mb=32
                )
                await world.submit(LARGE_ID, large, 't-one')
                record.say(f'a job of {LARGE_TASKS} tasks was handed in')
            await asyncio.sleep(GAP_S)
        record.say('the traffic has ended')
        await asyncio.sleep(FINISH_S)
        lost, in_use = await idle_jobs(world, record, small)
        record.say(
            f'{len(world.accepted)} jobs accepted; {len(lost)} of the small '
            f'ones had nothing running for {SAMPLE_S} s though they were not '
            f'completed; writes by entry {dict(world.store.writes_by_caller)}'
            f', refused {dict(world.store.refused_by_caller)}'
        )
        return bool(lost) and in_use < CAPACITY / 2
    finally:
        await world.stop()


async def idle_jobs(world, record, job_ids):
    """Return the accepted jobs that do nothing for SAMPLE_S.

    The second result is what all tasks together have in use then.
    """
    begun = cluster.time.monotonic()
    idle = []
    for job_id in job_ids:
        if job_id not in world.accepted:
            continue
        if await world.state(job_id, 't-two') not in ('completed',):
            idle.append(job_id)
    await asyncio.sleep(SAMPLE_S)
    result = []
    for job_id in idle:
        runs = [run for run in world.runs if run.task.startswith(job_id)]
        ran = [
            run
            for run in runs
            if run.ended_at is None or run.ended_at > begun
        ]
        if await world.state(job_id, 't-two') != 'completed' and not ran:
            result.append(job_id)
    used = sum(
        LARGE_CPU if run.task.startswith(LARGE_ID) else SMALL_CPU
        for run in world.runs
        if run.ended_at is None
    )
    record.say(f'in use: {used} of {CAPACITY}')
    return result, used


cluster.main(case)
