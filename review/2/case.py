"""More ends than a minion lists at once, while the store is slow."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin import cluster  # noqa: E402

JOBS = 18
TASKS = 50
RUN_MS = 6000
SLOW_X = 60.0
SLOW_S = 4.5


async def case(record, trouble):
    """Return whether TWICE was broken."""
    world = cluster.Cluster(record, entries=2, kinds=('a', 'a'))
    try:
        await world.start()
        job = cluster.job(RUN_MS, count=TASKS, cpu=16, memory_mb=16)
        for number in range(JOBS):
            await world.submit(f'{number + 1:016x}', job)
            await asyncio.sleep(0.02)
        while not world.runs:
            await asyncio.sleep(0.05)
        first = world.runs[0]
        while cluster.time.monotonic() < first.due_at - 0.3:
            await asyncio.sleep(0.05)
        record.say(f'{len(world.runs)} runs were started so far')
        if trouble:
            world.store.slow = SLOW_X
            record.say(f'the store is {SLOW_X:.0f} times as slow')
            await asyncio.sleep(SLOW_S)
            world.store.slow = 1.0
            record.say('the store is as fast as before')
        await asyncio.sleep(16)
        for number in range(JOBS):
            await world.state(f'{number + 1:016x}')
        broken = cluster.broken_twice(record, world.runs)
        record.say(
            f'{len(world.runs)} runs of {JOBS * TASKS} tasks; '
            f'TWICE was broken {broken} times'
        )
        return broken > 0
    finally:
        await world.stop()


cluster.main(case)
