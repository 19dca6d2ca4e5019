"""A few large jobs of one client end every process that schedules."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standin2'))
import fleet as fleets  # noqa: E402

MEMORY_MB = 300
RESTART_S = 0.5
LARGE_JOBS = 24
OBSERVED_S = 60.0
ORDINARY_EVERY_S = 2.0
TASK_MS = 1000


def memory_mb(pid):
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0.0
    for line in status.splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


async def keep_within_memory(fleet, entry, kills, peaks):
    """Do what the platform does: kill above the limit and start again."""
    while True:
        await asyncio.sleep(0.05)
        used = memory_mb(entry.process.pid)
        peaks[entry.name] = max(used, peaks.get(entry.name, 0.0))
        if used <= MEMORY_MB:
            continue
        kills.append(entry.name)
        fleet.record.write(f'{entry.name} uses {used:.0f} MB of {MEMORY_MB}')
        entry.send_signal(fleets.SIGKILL)
        await entry.process.wait()
        await asyncio.sleep(RESTART_S)
        await entry.start()


async def submit_large(fleet, kills):
    """Submit large jobs, in turn, until the first process is ended."""
    body = {
        'specification': f'run_ms={TASK_MS}',
        'steps': [
            {
                'count': 10_000,
                'cpu': 1000,
                'memory_request_mb': 64,
                'estimated_ms': TASK_MS,
            }
        ]
        * 2,
    }
    for _ in range(LARGE_JOBS):
        try:
            await fleet.submit(fleets.job_id(), body)
        except fleets.CannotRun:
            if not kills:
                raise
        if kills:
            return


async def submit_ordinary(fleet):
    """Submit small jobs of another tenant and return their ids."""
    accepted = {}
    body = {
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
    until = time.monotonic() + OBSERVED_S
    number = 0
    while time.monotonic() < until:
        number += 1
        job_id = fleets.job_id()
        entry = fleet.entries[number % len(fleet.entries)]
        status, _ = await fleet.call(
            entry, 'POST', f'/two/{job_id}', body, 'key-2', limit_s=1
        )
        if status == 200:
            accepted[job_id] = time.monotonic()
        await asyncio.sleep(ORDINARY_EVERY_S)
    return accepted


async def case(record, trouble):
    async with fleets.Fleet(record, entries=3) as fleet:
        fleet.configure()
        for number in range(8):
            await fleet.add_worker(number)
        await fleet.start_entries()
        await fleet.wait_holder()
        await asyncio.sleep(1)
        fleet.note_start = lambda run, body: fleet.runs.append(run)
        fleet.note_end = lambda run: None
        kills, peaks = [], {}
        for entry in fleet.entries:
            fleet.spawn(keep_within_memory(fleet, entry, kills, peaks))
        if trouble:
            await submit_large(fleet, kills)
        accepted = await submit_ordinary(fleet)
        await asyncio.sleep(4)
        done = {
            run.task.split('.')[0] for run in fleet.runs if run.how == 'done'
        }
        unfinished = [job_id for job_id in accepted if job_id not in done]
        record.write(f'peaks of memory in MB: {peaks}')
        record.write(f'ended by the platform: {kills}')
        record.write(
            f'ordinary jobs accepted: {len(accepted)}, of them not run: '
            f'{len(unfinished)}'
        )
        if not kills:
            return ''
        return (
            f'Fault: {len(kills)} times a process exceeded {MEMORY_MB} MB '
            f'and was ended; {len(unfinished)} of {len(accepted)} ordinary '
            'jobs that were accepted have not run'
        )


fleets.main(HERE, case)
