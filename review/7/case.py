"""Tasks that are done run again: the progress of their job was not stored."""

import asyncio
import collections
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

OCCURRENCES = 950
SHORT_TASKS = 18
LONG_TASKS = 3
SHORT_S = 0.1
LONG_S = 150.0
FAIL_ONCE = {0, 2}
FAIL_TWICE = {4}
"""Indexes of short tasks that fail at their first, or first two, attempts."""
WORK_S = 80.0
POLL_S = 4.0
AFTER_S = 12.0
SHOWN = 20


def late_job():
    """Return a scheduled job that is handed in late: all of it is due."""

    def step(count, run_s, **fields):
        return {
            'count': count,
            'memory_request_mb': 1,
            'estimated_ms': int(run_s * 1000),
            **fields,
        }

    return {
        'specification': 'short and long tasks',
        'steps': [
            step(SHORT_TASKS, SHORT_S, cpu=1000),
            step(LONG_TASKS, LONG_S, cpu=1, anti_affinity=1),
        ],
        'repetitions': OCCURRENCES,
        'start_at_ms': int(time.time() * 1000) - OCCURRENCES * 1000,
        'interval_ms': 1000,
    }


def fate(task, attempt):
    """Return the length and the end of an attempt of a task."""
    _, _, step, index = task.split('.')
    if step == '1':
        failing = index == '0' and attempt == 1
        return (SHORT_S, 'failed') if failing else (LONG_S, 'done')
    failures = (int(index) in FAIL_ONCE) + 2 * (int(index) in FAIL_TWICE)
    return SHORT_S, 'failed' if attempt <= failures else 'done'


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(8):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        await asyncio.sleep(1)
        attempts = collections.Counter()
        noted_at = {}
        """When the end as done of each task was taken note of."""
        again = []

        def note_start(run, body):
            attempts[run.task] += 1
            fleet.runs.append(run)
            if run.task not in noted_at:
                return
            again.append(run)
            if len(again) <= SHOWN:
                record.write(
                    f'{run.worker.worker_id}: start of {run.task} run '
                    f'{run.number}; an earlier run had ended done, which was '
                    f'taken note of {run.began - noted_at[run.task]:.1f} s '
                    'before'
                )

        def note_acknowledged(ends):
            for _, task, _, how, _ in ends:
                if how == 'done':
                    noted_at.setdefault(task, time.monotonic())

        fleet.fate = lambda run: fate(run.task, attempts[run.task])
        fleet.note_start = note_start
        fleet.note_end = lambda run: None
        fleet.note_acknowledged = note_acknowledged
        job_id = fleets.job_id()
        await fleet.submit(job_id, late_job())
        until = time.monotonic() + WORK_S
        known = 0
        while time.monotonic() < until:
            await asyncio.sleep(POLL_S)
            row = fleet.store.get('progress', job_id) or b''
            record.write(
                f'runs: {len(fleet.runs)}, ended done and taken note of: '
                f'{len(noted_at)}, row of the progress: {len(row)} bytes'
            )
            if fleet.runs and known == len(fleet.runs):
                break
            known = len(fleet.runs)
        await fleet.call(fleet.entries[0], 'GET', f'/one/{job_id}')
        if trouble:
            holder = fleet.holder()
            holder.send_signal(fleets.SIGTERM)
            await holder.process.wait()
            await holder.start()
        await asyncio.sleep(AFTER_S)
        await fleet.call(fleet.entries[0], 'GET', f'/one/{job_id}')
        record.write(f'runs: {len(fleet.runs)}, after their end: {len(again)}')
        if not again:
            return ''
        return (
            f'TWICE: {len(again)} starts of tasks that had ended done, which '
            'had been taken note of'
        )


fleets.main(HERE, case)
