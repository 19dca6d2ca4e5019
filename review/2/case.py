"""One tenant sends many times its usual: tasks that are done together."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin import cluster  # noqa: E402

USUAL_JOBS = 5
HOT_X = 7.5
TASKS = 50
CPU = 8
MEMORY_MB = 12
DONE_AFTER_S = 12.0
"""All tasks are done at about this time after the first job: they wait for
the same event."""


async def case(record, trouble):
    """Return whether TWICE was broken."""
    world = cluster.Cluster(record, entries=2, kinds=('a', 'a'))
    jobs = int(USUAL_JOBS * HOT_X) if trouble else USUAL_JOBS
    ids = [f'{number + 1:016x}' for number in range(jobs)]
    try:
        await world.start()
        done_at = time.monotonic() + DONE_AFTER_S
        for job_id in ids:
            left_ms = round((done_at - time.monotonic()) * 1000)
            job = cluster.job(left_ms, TASKS, cpu=CPU, memory_mb=MEMORY_MB)
            await world.submit(job_id, job)
        record.say(f'{jobs} jobs of {TASKS} tasks were handed in')
        await asyncio.sleep(done_at + 14 - time.monotonic())
        for job_id in ids:
            await world.state(job_id)
        broken = cluster.broken_twice(record, world.runs)
        at_once = max(
            sum(
                run.worker is worker and run.run == 1 for run in world.runs
            )
            for worker in world.workers
        )
        record.say(
            f'{len(world.runs)} runs of {jobs * TASKS} tasks, up to {at_once} '
            f'of them on one minion; TWICE was broken {broken} times'
        )
        return broken > 0
    finally:
        await world.stop()


cluster.main(case)
