"""Stand-in for a minion that runs tasks, after PROTOCOL.

``run_ms=N`` in the specification sets the duration of a run.  With
``mean_ms=N`` the tasks last: each run goes on until it is stopped or fails by
itself, after N milliseconds on average.
"""

import asyncio
import base64
import json
import random
import time

from standin import http

MAX_HOLD_MS = 6000
STOP_S = 0.1
"""Time that a stop takes; the page has 400 ms at most."""
HEARTBEAT_S = 1.5
LISTED_ENDS = 500
TICK_S = 0.02
STARTUP_S = 0.5


class Run:
    """One run, for the checks."""

    def __init__(
        self, task, run, worker, started_at, duration_s, lasts=False
    ):
        self.task = task
        self.run = run
        self.worker = worker
        self.started_at = started_at
        self.due_at = started_at + duration_s
        self.duration_s = duration_s
        self.lasts = lasts
        self.ended_at = None
        self.how = ''
        self.end_number = 0
        self.noted_at = None
        """When ``last_seen`` reached the end, unless the lease had lapsed."""


def _length(fields):
    """Return the seconds after which a run ends, and whether it lasts."""
    if 'mean_ms' not in fields:
        return float(fields['run_ms']) / 1000, False
    mean_s = float(fields['mean_ms']) / 1000
    if not mean_s:
        return float('inf'), True
    return random.expovariate(1 / mean_s), True


def _percent(run, now):
    """Return the progress of a run; one that lasts starts up in 0.5 s."""
    at_work_s = now - run.started_at
    if run.lasts:
        return 100 if at_work_s > STARTUP_S else 50
    return int(100 * at_work_s / run.duration_s)


class Worker:
    """One minion."""

    def __init__(self, worker_id, ip, port, store, record, runs, service,
                 labels, cpu=16_000, memory_mb=32_768):
        self.worker_id = worker_id
        self.address = f'{ip}:{port}'
        self._ip, self._port = ip, port
        self._store = store
        self._record = record
        self.runs = runs
        self._service = service
        self._labels = labels
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.machine = f'm-{worker_id}'
        self.is_cut = False
        """Whether the calls of the system don't reach the minion."""
        self.born = int(time.time() * 1000)
        self._origin = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0.0
        self._active = {}
        self._last_run = {}
        self._ends = []
        self._end_count = 0
        self._last_lapse = 0
        self._sequence = 0
        self._changed = asyncio.Event()
        self._server = http.Server(self._handle)
        self._tasks = []

    @property
    def clock_ms(self):
        """Return the minion's steady clock."""
        return int((time.monotonic() - self._origin) * 1000) + 1

    async def start(self):
        """Listen, register and run."""
        await self._server.start(self._ip, self._port)
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]

    async def stop(self):
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await self._server.stop()

    def registration(self):
        """Return what the minion says of itself."""
        return {
            'service': self._service,
            'address': self.address,
            'zone': 'arree',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'capacity': {
                'cpu': self.cpu,
                'memory_request_mb': self.memory_mb,
                'gpu': 0,
            },
            'labels': self._labels,
            'machine': self.machine,
            'born': self.born,
            'clock_ms': self.clock_ms,
        }

    async def _beat(self):
        while True:
            if not self._store.is_down:
                self._sequence += 1
                value = json.dumps(self.registration()).encode()
                self._store.put(
                    'servers',
                    self.worker_id,
                    base64.b64encode(value).decode(),
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if self._active and self.clock_ms > self._deadline_ms:
                for run in list(self._active.values()):
                    self._end(run, 'lapsed', now)
                self._last_lapse = self._end_count
            for run in list(self._active.values()):
                if now >= run.due_at:
                    self._end(run, 'failed' if run.lasts else 'done', now)

    def _end(self, run, how, now):
        del self._active[run.task, run.run]
        run.ended_at = now
        run.how = how
        self._end_count += 1
        run.end_number = self._end_count
        self._ends.append(run)
        self._record.write(
            f'{self.worker_id} ends {run.task} run {run.run}: {how}'
        )
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _handle(self, request):
        if self.is_cut:
            return http.NO_ANSWER
        expected = request.headers.get('expected-instance', self.worker_id)
        if expected != self.worker_id:
            return 421, {'clock_ms': self.clock_ms}
        body = request.json()
        if body.get('fencing_token', 0) < self._fence:
            return self._refuse('fence')
        self._fence = body.get('fencing_token', 0)
        if request.path == '/-/run-start':
            return self._start(body)
        if request.path == '/-/run-stop':
            return self._stop(body)
        if request.path == '/-/hold':
            return await self._hold(body)
        if request.path == '/-/pace':
            return 200, {'clock_ms': self.clock_ms}
        return 404, {}

    def _refuse(self, reason):
        return 409, {'clock_ms': self.clock_ms, 'reason': reason}

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        if self._deadline_ms < self.clock_ms:
            self._last_lapse = self._end_count
        self._deadline_ms = max(
            self._deadline_ms,
            min(float(deadline_ms), self.clock_ms + MAX_HOLD_MS),
        )

    def _start(self, body):
        key = (body['task'], body['run'])
        if float(body['deadline_ms']) <= self.clock_ms:
            return self._refuse('late')
        self._extend(body['deadline_ms'])
        if key not in self._active:
            if key[1] <= self._last_run.get(key[0], 0):
                return self._refuse('old')
            self._last_run[key[0]] = key[1]
            fields = dict(
                part.partition('=')[::2]
                for part in body['specification'].split(';')
            )
            run = Run(*key, self, time.monotonic(), *_length(fields))
            self.runs.append(run)
            self._active[key] = run
            self._record.write(
                f'{self.worker_id} starts {key[0]} run {key[1]}'
            )
        return 200, {'clock_ms': self.clock_ms}

    def _stop(self, body):
        key = (body['task'], body['run'])
        self._last_run[key[0]] = max(key[1], self._last_run.get(key[0], 0))
        run = self._active.get(key)
        if run is not None:
            asyncio.get_running_loop().call_later(
                STOP_S, self._end_stopped, run
            )
        return 200, {'clock_ms': self.clock_ms}

    def _end_stopped(self, run):
        if (run.task, run.run) in self._active:
            self._end(run, 'stopped', time.monotonic())

    async def _hold(self, body):
        self._extend(body.get('deadline_ms'))
        now = time.monotonic()
        last_seen = body['last_seen']
        kept = []
        for run in self._ends:
            if run.end_number > last_seen:
                kept.append(run)
            elif run.end_number > self._last_lapse and run.noted_at is None:
                run.noted_at = now
        self._ends = kept
        until = now + min(2.0, body.get('wait_ms', 0) / 1000)
        while not self._ends:
            left = until - time.monotonic()
            if left <= 0:
                break
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
        if self.is_cut:
            return http.NO_ANSWER
        now = time.monotonic()
        return 200, {
            'clock_ms': self.clock_ms,
            'born': self.born,
            'running': [
                [
                    run.task,
                    run.run,
                    '',
                    _percent(run, now),
                    0.0,
                ]
                for run in self._active.values()
            ],
            'ended': [
                [run.end_number, run.task, run.run, run.how, '']
                for run in self._ends[:LISTED_ENDS]
            ],
        }
