"""A task that lasts ends by itself as done and is not started again."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

AFTER_LAST_RUN_S = 6.0
IDLE_S = 3.0
OBSERVED_S = 25.0


def lasting_job(count):
    return {
        'specification': 'lasts;startup_ms=300;run_ms=3000;how=done',
        'steps': [
            {
                'count': count,
                'cpu': 500,
                'memory_request_mb': 64,
                'estimated_ms': 1000,
                'long_running': True,
            }
        ],
    }


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(4):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        # The first run of task 0 of each job ends as done.
        fleet.ends_by_itself = lambda run: (
            trouble and run.number == 1 and run.task.endswith('.0')
        )
        counts_by_id = {fleets.job_id(): 1, fleets.job_id(): 2}
        for job_id, count in counts_by_id.items():
            await fleet.submit(job_id, lasting_job(count))
        states = {}
        until = time.monotonic() + OBSERVED_S
        while time.monotonic() < until:
            await asyncio.sleep(2)
            for job_id in counts_by_id:
                status, content = await fleet.call(
                    fleet.entries[0], 'GET', f'/one/{job_id}'
                )
                if status == 200:
                    states[job_id] = content['state']
        now = time.monotonic()
        broken = []
        for job_id, count in counts_by_id.items():
            for index in range(count):
                task = f'{job_id}.0.0.{index}'
                runs = [run for run in fleet.runs if run.task == task]
                if not runs or any(run.ended is None for run in runs):
                    continue
                last = max(runs, key=lambda run: run.ended)
                idle_s = now - last.ended
                if idle_s > AFTER_LAST_RUN_S + IDLE_S:
                    broken.append(
                        f'{task} has not run for {idle_s:.0f} s after its '
                        f'run ended {last.how}, its job is shown as '
                        f'{states.get(job_id)}'
                    )
        # 4 workers of 16 cores carry three tasks of half a core at most.
        return 'LOST: ' + '; '.join(broken) if broken else ''


fleets.main(HERE, case)
