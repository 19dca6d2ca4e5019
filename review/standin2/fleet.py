"""Stand-ins for the review: store, workers, machines, clients and entries.

They follow the users' pages (PROTOCOL and DEPLOY) and use the standard library
only.  The stand-ins run in this process; the entries are started as separate
processes with the command of ``deploy/system.toml``.  Each entry has a
loopback address of its own, since all of them use the same port for metrics.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_HOLD_MS = 6000
LISTED_ENDS = 500
HEARTBEAT_S = 1.5
STORE_CALL_S = 0.004
STOP_S = 0.05
NO_ANSWER = object()
"""A handler returns it to keep the connection open without an answer."""


class Record:
    """What was sent, answered and run; printed and kept in record.txt."""

    def __init__(self, path):
        self._file = path.open('w')
        self._began = time.monotonic()

    def write(self, text):
        line = f'{time.monotonic() - self._began:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def close(self):
        self._file.close()


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = b''
    if headers.get('content-length'):
        body = await reader.readexactly(int(headers['content-length']))
    return first, headers, body


class Server:
    """An HTTP server that passes requests to a handler.

    :param handle: called with method, path, query, headers and the decoded
        body; returns status and body, or ``NO_ANSWER``.
    """

    def __init__(self, handle, address):
        self._handle = handle
        self.address = address
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=2**22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def stop(self):
        """Stop listening and break off all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                answer = await self._handle(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    json.loads(body) if body else None,
                )
                if answer is NO_ANSWER:
                    await reader.read()
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json'
                    f'\r\ncontent-length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self._record = record
        self.version = 0
        self.rows = {}
        self._history = []
        self._changed = asyncio.Event()
        self.server = Server(self._handle, '127.0.0.1:0')

    def put(self, table, key, value):
        """Write a row as the operator or a worker does."""
        self._apply([((table, '', key), json.dumps(value).encode())])

    def remove(self, table, key):
        if (table, '', key) in self.rows:
            self._apply([((table, '', key), None)])

    def get(self, table, key, part=''):
        row = self.rows.get((table, part, key))
        return None if row is None else row[0]

    def _apply(self, changes):
        self.version += 1
        for key, value in changes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _fields(self):
        return {
            'version_number': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_CALL_S)
        if path == '/-/rows-tx':
            return self._transact(body)
        if path == '/-/rows-get':
            return self._read(query)
        if path == '/-/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _transact(self, body):
        conditions = body.get('expected_revision') or []
        puts = body.get('puts') or []
        removals = body.get('removals') or []
        if any(
            one['table'] in ('op', 'servers') for one in [*puts, *removals]
        ):
            return 403, {}
        failed = False
        found = []
        for one in conditions:
            row = self.rows.get(_key(one))
            if row is not None:
                found.append(_row(_key(one)[2], row[0], row[1]))
            failed |= one['version_number'] != (row[1] if row else 0)
        if failed:
            return 412, {'rows': found}
        changes = [(_key(one), base64.b64decode(one['value'])) for one in puts]
        changes += [(_key(one), None) for one in removals]
        self._apply(changes)
        return 200, self._fields()

    def _read(self, query):
        first, end = query.get('from', ''), query.get('target', '')
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == query['table']
            and part == query.get('part', '')
            and key >= first
            and (not end or key < end)
        )
        page, size = [], 0
        for one in found[: int(query.get('limit', 500))]:
            size += 2 * len(one[1]) + 300
            if page and size > 1_000_000:
                break
            page.append(one)
        return 200, {
            'rows': [_row(*one) for one in page],
            'more_pages': len(found) > len(page),
            **self._fields(),
        }

    async def _feed(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            rows = [
                _row(key[2], value, version)
                for version, key, value in self._history
                if version > after and key[0] == query['table']
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows, **self._fields()}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()


def _key(one):
    return one['table'], one.get('part', ''), one['key']


def _row(key, value, version):
    if value is None:
        return {'key': key, 'version_number': version, 'removed': True}
    encoded = base64.b64encode(value).decode()
    return {'key': key, 'version_number': version, 'value': encoded}


def fields_of(specification):
    """Return the settings of a task in the text of its job."""
    return dict(
        part.partition('=')[::2] for part in specification.split(';') if part
    )


class Run:
    """A run on a worker, as the worker saw it."""

    def __init__(self, task, number, worker):
        self.task = task
        self.number = number
        self.worker = worker
        self.began = time.monotonic()
        self.ended = None
        self.how = ''
        self.startup_s = 0.0
        self.length_s = None
        """Time until the run ends by itself; a task that lasts has none."""

    def percent(self, now):
        """Return the progress, which the worker lists."""
        if self.length_s is None:
            return 100 if self.is_at_work(now) else 50
        return min(99, int(100 * (now - self.began) / self.length_s))

    def is_at_work(self, now):
        """Return whether a task that lasts serves its users."""
        return self.ended is None and now - self.began >= self.startup_s


class Worker:
    """One life of a machine.

    The text of a job says what its tasks do: ``run_ms`` and ``how`` the
    length and the end of a run; ``lasts`` a task that runs until it is
    stopped, and ``startup_ms`` how long it needs to be at work.
    """

    def __init__(self, fleet, worker_id, machine, cpu=16000, rack='r1'):
        self.fleet = fleet
        self.worker_id = worker_id
        self.machine = machine
        self.cpu = cpu
        self.rack = rack
        self.state = 'ready'
        self.alive = True
        self.born = int(time.time() * 1000)
        self._origin = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self.running = {}
        self._timers = {}
        self._ended = []
        self._ends = 0
        self._last_run = {}
        self._changed = asyncio.Event()
        self._sequence = 0
        self._beat = None
        self.server = Server(self._handle, '127.0.0.1:0')

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._origin) * 1000) + 1

    async def start(self):
        await self.server.start()
        self._beat = asyncio.create_task(self._send_heartbeats())

    async def leave(self, remove_after_s):
        """End at once, as by a crash, a loss or an upkeep."""
        self.alive = False
        await self.server.stop()
        self._beat.cancel()
        for key in list(self.running):
            self._end(key, 'gone')
        await asyncio.sleep(remove_after_s)
        self.fleet.store.remove('servers', self.worker_id)

    async def _send_heartbeats(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self._sequence += 1
        self.fleet.store.put(
            'servers',
            self.worker_id,
            {
                'service': self.fleet.service,
                'address': self.server.address,
                'zone': 'z1',
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'cold_remaining_ms': 0,
                'sequence': self._sequence,
                'capacity': {
                    'cpu': self.cpu,
                    'memory_request_mb': 32768,
                    'gpu': 0,
                },
                'labels': ['a', self.rack],
                'machine': self.machine,
                'born': self.born,
            },
        )

    async def _handle(self, method, path, query, headers, body):
        if headers.get('expected-instance', self.worker_id) != self.worker_id:
            return 421, {}
        if body.get('fencing_token', 0) < self._fence:
            return 409, {'clock_ms': self.clock_ms, 'reason': 'fence'}
        self._fence = body.get('fencing_token', 0)
        if path == '/-/run-start':
            return self._start(body)
        if path == '/-/run-stop':
            return await self._stop(body)
        if path == '/-/hold':
            return await self._hold(body)
        if path == '/-/pace':
            return 200, {'clock_ms': self.clock_ms}
        return 404, {}

    def _refuse(self, reason):
        return 409, {'clock_ms': self.clock_ms, 'reason': reason}

    def _start(self, body):
        key = body['task'], body['run']
        deadline_ms = body['deadline_ms']
        if deadline_ms < self.clock_ms:
            return self._refuse('late')
        self._extend(deadline_ms)
        if key in self.running:
            return 200, {'clock_ms': self.clock_ms}
        if body['run'] <= self._last_run.get(body['task'], 0):
            return self._refuse('old')
        self._last_run[body['task']] = body['run']
        run = Run(*key, self)
        fields = fields_of(body['specification'])
        run.startup_s = float(fields.get('startup_ms', 0)) / 1000
        self.running[key] = run
        self.fleet.note_start(run, body)
        if 'crash_ms' in fields:
            asyncio.get_running_loop().call_later(
                float(fields['crash_ms']) / 1000, self._crash_under, key
            )
            return 200, {'clock_ms': self.clock_ms}
        length_s = float(fields.get('run_ms', 100)) / 1000
        how = fields.get('how', 'done')
        if self.fleet.fate is not None:
            length_s, how = self.fleet.fate(run)
        if 'lasts' not in fields:
            run.length_s = length_s
        if 'lasts' not in fields or self.fleet.ends_by_itself(run):
            self._timers[key] = asyncio.get_running_loop().call_later(
                length_s, self._end, key, how
            )
        return 200, {'clock_ms': self.clock_ms}

    def _crash_under(self, key):
        if self.alive and key in self.running:
            self.fleet.crash(self, back_after_s=2.0)

    def _extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        if deadline_ms > self._deadline_ms:
            self._deadline_ms = deadline_ms
            asyncio.get_running_loop().call_later(
                (deadline_ms - self.clock_ms) / 1000 + 0.01, self._lapse
            )

    def _lapse(self):
        if self.alive and self.clock_ms >= self._deadline_ms:
            for key in list(self.running):
                self._end(key, 'lapsed')

    def _end(self, key, how):
        run = self.running.pop(key, None)
        timer = self._timers.pop(key, None)
        if timer is not None:
            timer.cancel()
        if run is None:
            return
        run.ended = time.monotonic()
        run.how = how
        self._ends += 1
        self._ended.append([self._ends, *key, how, ''])
        self.fleet.note_end(run)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _stop(self, body):
        key = body['task'], body['run']
        self._last_run[key[0]] = max(key[1], self._last_run.get(key[0], 0))
        if key in self.running:
            self.fleet.note_stop_order(self.running[key])
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, key, 'stopped'
            )
        return 200, {'clock_ms': self.clock_ms}

    async def _hold(self, body):
        if 'deadline_ms' in body:
            self._extend(body['deadline_ms'])
        seen = [one for one in self._ended if one[0] <= body['last_seen']]
        self.fleet.note_acknowledged(seen)
        self._ended = self._ended[len(seen) :]
        until = time.monotonic() + min(2000, body.get('wait_ms', 0)) / 1000
        while not self._ended and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until - time.monotonic()):
                    await self._changed.wait()
        now = time.monotonic()
        return 200, {
            'clock_ms': self.clock_ms,
            'born': self.born,
            'running': [
                [*key, '', run.percent(now), 0]
                for key, run in self.running.items()
            ],
            'ended': self._ended[:LISTED_ENDS],
        }


class Machines:
    """The platform's interface for machines, without a check of fences."""

    def __init__(self, fleet, maintenance_s):
        self._fleet = fleet
        self._maintenance_s = maintenance_s
        self.states = {}
        self.orders = []
        """Time, machine, holder, token and wave of each order received."""
        self.done = set()
        self.on_order = lambda machine: None
        self.silent = False
        """Whether orders get no answer; they are executed nevertheless."""
        self.server = Server(self._handle, '127.0.0.1:0')

    async def _handle(self, method, path, query, headers, body):
        if path == '/-/machines':
            return 200, {
                'machines': [
                    {
                        'machine': machine,
                        'pool': self._fleet.service,
                        'state': state,
                        'zone': 'z1',
                    }
                    for machine, state in self.states.items()
                ]
            }
        machine = body['machine']
        order = (
            time.monotonic(),
            machine,
            headers.get('duty-holder', ''),
            int(headers.get('fencing-token', 0)),
            body['wave'],
        )
        self.orders.append(order)
        self._fleet.record.write(
            f'machines: upkeep of {machine} ordered by {order[2]} with token '
            f'{order[3]}'
        )
        self.on_order(machine)
        if (machine, body['wave']) not in self.done:
            if self.states[machine] != 'up':
                return 409, {'reason': 'busy'}
            self.done.add((machine, body['wave']))
            self.states[machine] = 'upkeep'
            await self._fleet.begin_upkeep(machine, self._maintenance_s)
        if self.silent:
            return NO_ANSWER
        return 200, {}


class Entry:
    """An entry process, started as the deploy file says."""

    def __init__(self, fleet, name, number):
        self.name = name
        self.ip = fleet.address(number)
        self.front = f'{self.ip}:8183'
        self._fleet = fleet
        self._path = fleet.folder / f'{name}.toml'
        self._log = (fleet.folder / f'{name}.log').open('ab')
        self.process = None

    def configure(self, store, machines, limits):
        """Write the settings file as DEPLOY.md shows it."""
        self._path.write_text(
            f"""node_name = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "z1"
region = "reg"
internal_port_range = [7420, 7435]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1500
contracts = ["base", "sched", "tenants", "quota", "platform", "upkeep"]
orders = "call"
[listen]
front = "{self.front}"
ready = "{self.ip}:8184"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
file_descriptors = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_timeout_ms = 3000
ack_timeout_ms = 4000
drain_timeout_ms = 2000
grace_period_s = 6
config_apply_ms = 2000
revocation_ms = 5000
max_hold_ms = 6000
stop_timeout_ms = 400
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
notice_ms = 4500
maintenance_s = 2
require_fencing = false
lease_ms = 3000
[platform]
address = "{store}"
form = "table"
[cloud_api]
address = "{machines}"
{limits}"""
        )

    async def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['SAMPHIRESTACK_BOOT'] = str(self._path)
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self._fleet.record.write(f'entry {self.name} started')

    def send_signal(self, number):
        self._fleet.record.write(f'entry {self.name} gets {number.name}')
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self._log.close()


class CannotRun(Exception):
    """The case could not run."""


class Fleet:
    """A small deployment on loopback addresses."""

    service = 'svc'
    host = 'jobs.example'
    key = 'key-1'

    def __init__(self, record, entries=3, maintenance_s=2.0):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._net = random.randrange(10, 240), random.randrange(1, 250)
        self.store = Store(record)
        self.machines = Machines(self, maintenance_s)
        self.workers = {}
        self.runs = []
        self.stop_orders = []
        self.crashes = []
        """Time, worker and runs of each crash."""
        self.entries = [
            Entry(self, f'entry-{number}', number)
            for number in range(1, entries + 1)
        ]
        self.ends_by_itself = lambda run: False
        self.on_start = lambda run: None
        self.fate = None
        """Returns length and end of a run, in place of its job's text."""
        self.note_acknowledged = lambda ends: None
        """Called with the rows of ends that were taken note of."""
        self._tasks = set()

    def address(self, number):
        return f'127.{self._net[0]}.{self._net[1]}.{number}'

    async def __aenter__(self):
        await self.store.server.start()
        await self.machines.server.start()
        return self

    async def __aexit__(self, *_):
        for entry in self.entries:
            await entry.end()
        for worker in self.workers.values():
            worker.alive = False
            worker._beat.cancel()
            await worker.server.stop()
        for task in self._tasks:
            task.cancel()
        await self.machines.server.stop()
        await self.store.server.stop()
        if os.environ.get('KEEP'):
            print('logs:', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, version=1, max_cpu=0):
        """Write the operator's configuration."""
        route = {
            'host': self.host,
            'kind': 'unsafe',
            'target_latency_ms': 1000,
            'service': self.service,
            'max_attempts': 3,
            'stretch': 2.0,
            'public': False,
        }
        self.store.put(
            'op',
            'config',
            {
                'version': version,
                'routes': [
                    dict(route, name='r-one', prefix='/one/', priority=1),
                    dict(route, name='r-two', prefix='/two/', priority=0),
                ],
                'services': [
                    {'name': self.service, 'enforces_capacity': False}
                ],
                'limits': {'max_body_bytes': 262144},
                'tenants': [
                    {
                        'name': name,
                        'api_keys': [key],
                        'weight': 10,
                        'max_count': {
                            'cpu': max_cpu,
                            'memory_request_mb': 0,
                            'gpu': 0,
                        },
                    }
                    for name, key in (('team', 'key-1'), ('other', 'key-2'))
                ],
            },
        )

    async def add_worker(self, number, cpu=16000):
        machine = f'm-{number}'
        worker = Worker(
            self, f'w-{number}-{os.urandom(3).hex()}', machine, cpu
        )
        self.workers[worker.worker_id] = worker
        self.machines.states[machine] = 'up'
        await worker.start()
        return worker

    def worker_on(self, machine):
        for worker in self.workers.values():
            if worker.alive and worker.machine == machine:
                return worker
        return None

    async def begin_upkeep(self, machine, maintenance_s):
        """Take a machine down: all that runs on it ends at once."""
        worker = self.worker_on(machine)
        runs = sorted(key[0] for key in worker.running) if worker else []
        self.record.write(f'machines: {machine} goes down; it runs {runs}')
        if worker is not None:
            await worker.leave(0.0)

        async def come_back():
            await asyncio.sleep(maintenance_s)
            await self.add_worker(
                machine.removeprefix('m-'), worker.cpu if worker else 16000
            )
            self.record.write(f'machines: {machine} is up again')

        self.spawn(come_back())

    def crash(self, worker, back_after_s=None):
        """Crash a worker; its machine has another one later, or none."""
        self.crashes.append((time.monotonic(), worker, set(worker.running)))
        self.record.write(
            f'{worker.worker_id} ({worker.machine}): crash under '
            f'{sorted(worker.running)}'
        )
        worker.alive = False
        self.machines.states[worker.machine] = 'down'
        self.spawn(worker.leave(3 * HEARTBEAT_S))

        async def come_back():
            await asyncio.sleep(back_after_s)
            await self.add_worker(
                worker.machine.removeprefix('m-'), worker.cpu
            )

        if back_after_s is not None:
            self.spawn(come_back())

    def spawn(self, call):
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start_entries(self, limits=''):
        for entry in self.entries:
            entry.configure(
                self.store.server.address, self.machines.server.address, limits
            )
            await entry.start()
        for entry in self.entries:
            await self.wait_ready(entry)

    async def wait_ready(self, entry, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _ = await self.http(
                f'{entry.ip}:8184', 'GET', '/-/readiness'
            )
            if status == 200:
                return
            if entry.process.returncode is not None:
                raise CannotRun(f'{entry.name} ended by itself')
            await asyncio.sleep(0.1)
        raise CannotRun(f'{entry.name} is not ready')

    def holder(self):
        """Return the entry that the row of the term names, if any."""
        row = self.store.get('term', 'fleet') or b''
        for entry in self.entries:
            if entry.name.encode() in row:
                return entry
        return None

    async def wait_holder(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            found = self.holder()
            if found is not None:
                return found
            await asyncio.sleep(0.1)
        raise CannotRun('no entry holds the term')

    async def http(
        self, address, method, path, body=None, headers=(), limit_s=4
    ):
        """Return status and decoded body; status 0 without an answer."""
        host, _, port = address.rpartition(':')
        data = b'' if body is None else json.dumps(body).encode()
        lines = [
            f'{method} {path} HTTP/1.1',
            *headers,
            f'content-length: {len(data)}',
            'connection: close',
        ]
        if not headers:
            lines.insert(1, f'host: {address}')
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
                first, _, content = await read_message(reader)
                return int(first.split(' ')[1]), (
                    json.loads(content) if content else None
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, None
        finally:
            if writer is not None:
                writer.close()

    async def call(
        self,
        entry,
        method,
        path,
        body=None,
        key='key-1',
        limit_s=4,
        quiet=False,
    ):
        """Call an entry as a client."""
        status, content = await self.http(
            entry.front,
            method,
            path,
            body,
            [f'host: {self.host}', f'api-key: {key}'],
            limit_s,
        )
        if not quiet:
            shown = content if status == 200 else status
            self.record.write(
                f'client: {method} {path} at {entry.name}: {status} {shown}'
            )
        return status, content

    async def submit(self, job_id, body, prefix='/one/', key='key-1', tries=8):
        """Submit a job, trying one entry after the other, until a 2xx."""
        for number in range(tries):
            entry = self.entries[number % len(self.entries)]
            if entry.process is None or entry.process.returncode is not None:
                continue
            status, _ = await self.call(
                entry, 'POST', f'{prefix}{job_id}', body, key
            )
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f'the job {job_id} was not accepted')

    def note_start(self, run, body):
        self.runs.append(run)
        self.record.write(
            f'{run.worker.worker_id} ({run.worker.machine}): start of '
            f'{run.task} run {run.number}, token {body["fencing_token"]}'
        )
        self.on_start(run)

    def note_end(self, run):
        self.record.write(
            f'{run.worker.worker_id} ({run.worker.machine}): end of '
            f'{run.task} run {run.number}: {run.how}'
        )

    def note_stop_order(self, run):
        self.stop_orders.append((time.monotonic(), run))
        self.record.write(
            f'{run.worker.worker_id} ({run.worker.machine}): stop order for '
            f'{run.task} run {run.number}'
        )


def job_id():
    return os.urandom(8).hex()


def main(folder, case):
    """Run a case and exit with 1 if it broke the rule, 0 if not, else 2.

    :param case: called with the record and whether to bring about the
        disruption; returns what broke the rule, or an empty text.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.write(f'disruption: {"yes" if trouble else "no"}')

    async def run():
        # Calls in progress are cancelled at the end, which asyncio reports.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(112):
            return await case(record, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # a case that can't run is no result
        record.write(f'cannot run: {type(error).__name__}: {error}')
        print('cannot run:', type(error).__name__, error)
        record.close()
        sys.exit(2)
    record.write(f'result: {broken or "the rule held"}')
    print(broken or 'the rule held')
    record.close()
    sys.exit(1 if broken else 0)


SIGKILL, SIGTERM = signal.SIGKILL, signal.SIGTERM
SIGSTOP, SIGCONT = signal.SIGSTOP, signal.SIGCONT
