"""The answer to a claim of the term is lost and the other entry is gone."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standin import cluster  # noqa: E402
from standin import http  # noqa: E402

CUT_S = 4.0
JOBS_BEFORE = 10
JOBS_AFTER = 20
GAP_S = 0.5
FINISH_S = 14
SAMPLE_S = 3.0


async def case(record, trouble):
    """Return whether LOST was broken."""
    world = cluster.Cluster(record, entries=2)
    store = world.store
    loop = asyncio.get_running_loop()
    cut_until = [0.0]

    async def cut_at_claim(caller, request):
        """Partition the survivor from the store as its claim is answered."""
        if caller != survivor.name:
            return None
        if loop.time() < cut_until[0]:
            return http.NO_ANSWER
        body = request.json() if request.path == '/-/rows-tx' else {}
        claims = any(row['table'] == 'term' for row in body.get('puts', []))
        if not claims or cut_until[0]:
            return None
        status, _ = await store.transact(caller, request)
        record.say(
            f'the claim of {caller} was done ({status}) and is not answered; '
            f'{caller} is partitioned from the store for {CUT_S} s'
        )
        cut_until[0] = loop.time() + CUT_S
        return http.NO_ANSWER

    try:
        await world.start()
        name = world.holder()
        holder = next(one for one in world.entries if one.name == name)
        survivor = next(one for one in world.entries if one.name != name)
        for number in range(JOBS_BEFORE):
            await world.submit(f'{number + 1:016x}', cluster.job(300))
            await asyncio.sleep(GAP_S)
        if trouble:
            store.disturb = cut_at_claim
        await holder.kill()
        await asyncio.sleep(CUT_S + 6.0)
        # From here on nothing is disturbed; one of two machines is lost.
        for number in range(JOBS_AFTER):
            await world.submit(
                f'{number + 100:016x}', cluster.job(300), entries=[survivor]
            )
            await asyncio.sleep(GAP_S)
        record.say('the traffic has ended')
        await asyncio.sleep(FINISH_S)
        idle = [
            job_id
            for job_id in world.accepted
            if await world.state(job_id, entry=survivor) != 'completed'
        ]
        before = len(world.runs)
        await asyncio.sleep(SAMPLE_S)
        idle = [
            job_id
            for job_id in idle
            if await world.state(job_id, entry=survivor) != 'completed'
        ]
        record.say(
            f'{len(world.accepted)} jobs accepted, {len(idle)} not completed;'
            f' {len(world.runs) - before} runs started in {SAMPLE_S} s, '
            f'{survivor.name} ready: {await survivor.is_ready()}'
        )
        return bool(idle) and len(world.runs) == before
    finally:
        await world.stop()


cluster.main(case)
