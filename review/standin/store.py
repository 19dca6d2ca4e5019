"""Stand-in for the platform's metadata store, after PROTOCOL."""

import asyncio
import base64
import collections
import time

from standin import http

ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
PAGE_ROWS = 500
ANSWER_S = 0.004
"""Time of an answer."""
TRANSACTION_S = 0.003
WRITES_PER_S = 600


class Store:
    """Rows of any table; one counter numbers the transactions.

    Each caller has an address of its own, so that a case can disturb the
    calls of one machine only.
    """

    def __init__(self, record):
        self._record = record
        self.version = 0
        self.rows = {}
        self._history = []
        self._changed = asyncio.Event()
        self._written_at = collections.deque()
        self._servers = []
        self.is_down = False
        """Whether no call is answered or done."""
        self.slow = 1.0
        """Factor of the time that answers take."""
        self.disturb = None
        """Called with caller, request; its result replaces the answer."""
        self.writes_by_caller = collections.Counter()
        self.refused_by_caller = collections.Counter()

    async def listen(self, caller, ip, port):
        """Serve one caller at an address of its own."""
        async def handle(request):
            return await self._handle(caller, request)

        server = http.Server(handle)
        await server.start(ip, port)
        self._servers.append(server)

    async def stop(self):
        """Close all connections."""
        for server in self._servers:
            await server.stop()

    # Writes of the operator and the workers

    def put(self, table, key, value):
        """Write a row as the operator or a worker."""
        self._apply([(table, '', key, value)])

    def remove(self, table, key):
        """Remove a row as the platform."""
        self._apply([(table, '', key, None)])

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self._history.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    async def _handle(self, caller, request):
        if self.is_down:
            return http.NO_ANSWER
        if self.disturb is not None:
            result = await self.disturb(caller, request)
            if result is not None:
                return result
        await asyncio.sleep(ANSWER_S * self.slow)
        if request.path == '/-/rows-tx':
            return await self.transact(caller, request)
        if request.path == '/-/rows-get':
            return self._get(request)
        if request.path == '/-/rows-feed':
            return await self._feed(request)
        return 404, {}

    def _is_over_rate(self):
        now = time.monotonic()
        while self._written_at and now - self._written_at[0] > 1.0:
            self._written_at.popleft()
        self._written_at.append(now)
        return len(self._written_at) > WRITES_PER_S

    async def transact(self, caller, request):
        """Perform a transaction."""
        self.writes_by_caller[caller] += 1
        if self._is_over_rate():
            return 429, {}
        body = request.json()
        conditions = body.get('expected_revision', [])
        puts = body.get('puts', [])
        removals = body.get('removals', [])
        entries = [*conditions, *puts, *removals]
        too_large = [
            (row['table'], row['key'], len(base64.b64decode(row['value'])))
            for row in puts
            if len(base64.b64decode(row['value'])) > ROW_BYTES
        ]
        if (
            too_large
            or len(entries) > MAX_ENTRIES
            or len(request.body) > MAX_CALL_BYTES
            or any(row['table'] in ('op', 'servers') for row in puts)
        ):
            if not self.refused_by_caller[caller]:
                self._record.write(
                    f'store refuses a write of {caller} with 400: rows over '
                    f'{ROW_BYTES} bytes {too_large}, {len(entries)} entries, '
                    f'{len(request.body)} bytes'
                )
            self.refused_by_caller[caller] += 1
            return 400, {}
        await asyncio.sleep(TRANSACTION_S * self.slow)
        return self.apply(conditions, puts, removals)

    def apply(self, conditions, puts, removals):
        """Apply a transaction if its conditions hold."""
        for row in conditions:
            _, version = self.rows.get(_key(row), ('', 0))
            if version != row['version_number']:
                return 412, {
                    'rows': [
                        self._row(*_key(one)[1:], *self.rows[_key(one)])
                        for one in conditions
                        if _key(one) in self.rows
                    ],
                    **self._times(),
                }
        self._apply(
            [(*_key(row), row['value']) for row in puts]
            + [(*_key(row), None) for row in removals]
        )
        return 200, self._times()

    def _times(self):
        return {
            'version_number': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }

    def _row(self, part, key, value, version):
        return {
            'part': part,
            'key': key,
            'value': value,
            'version_number': version,
        }

    def _get(self, request):
        query = request.query
        first, end = query.get('from', ''), query.get('target', '')
        found = sorted(
            (key, value, version)
            for (table, part, key), (value, version) in self.rows.items()
            if table == query['table']
            and part == query.get('part', '')
            and key >= first
            and (not end or key < end)
        )
        page = found[:PAGE_ROWS]
        return 200, {
            'rows': [self._row(query.get('part', ''), *row) for row in page],
            'more_pages': len(found) > len(page),
            **self._times(),
        }

    async def _feed(self, request):
        query = request.query
        after = int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            rows = []
            for version, table, key, value in reversed(self._history):
                if version <= after:
                    break
                if table == query['table']:
                    row = {'key': key, 'version_number': version}
                    if value is None:
                        row['removed'] = True
                    else:
                        row['value'] = value
                    rows.append(row)
            rows.reverse()
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {'rows': rows, **self._times()}
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass
            if self.is_down:
                return http.NO_ANSWER


def _key(row):
    return row['table'], row.get('part', ''), row['key']
