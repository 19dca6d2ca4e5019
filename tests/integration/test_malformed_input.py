"""Entry processes beside malformed rows, answers and calls of others."""

import asyncio
import collections
from collections.abc import AsyncIterator
import pathlib

import msgspec
import pytest_asyncio

from samphirestack.fleet import records
from samphirestack.internal import log_limits
from samphirestack_platform_standin import deployment as deployments
from samphirestack_testing import waiting

LONGEST_WAIT_S = 40.0
MAX_WINDOWS = 2
"""Windows of the log limiter that a test touches."""

DEEP = b'{"x":' + b'[' * 60_000
MALFORMED_JSON = [
    DEEP,
    b'',
    b'\xff\xfe',
    b'[]',
    b'null',
    b'{"clock_ms":1e400}',
    b'{"clock_ms":1' + b'0' * 300 + b'}',
    b'{"rows":[{"key":5}],"version_number":-1,"more_pages":true}',
    b'{"rows":[],"version_number":1,"more_pages":true}',
]


def job(run_ms: int = 100, count: int = 2) -> dict[str, object]:
    step = {
        'count': count,
        'cpu': 1000,
        'memory_request_mb': 64,
        'estimated_ms': run_ms,
    }
    return {'specification': f'run_ms={run_ms}', 'steps': [step]}


def worker_row(**malformed: object) -> bytes:
    fields: dict[str, object] = {
        'service': deployments.SERVICE,
        'address': '127.0.0.1:9',
        'zone': 'z1',
        'state': 'ready',
        'capacity': {'cpu': 99_000, 'memory_request_mb': 99_000, 'gpu': 0},
        'labels': ['a', 'r1'],
        'machine': 'm-malformed',
        'born': 1,
    }
    fields.update(malformed)
    return msgspec.json.encode(fields)


MALFORMED_WORKERS = [
    *MALFORMED_JSON,
    worker_row(address='127.0.0.1:99999'),
    worker_row(address='127.0.0.1:0'),
    worker_row(address='127.0.0.1:-1'),
    worker_row(address='127.0.0.1'),
    worker_row(address=':80'),
    worker_row(address='no-such-name.example:80'),
    worker_row(address='127.0.0.1:9\r\nX: y'),
    worker_row(address=5),
    worker_row(born=10**30),
    worker_row(born=2**52),
    worker_row(born=-1),
    worker_row(capacity={'cpu': 10**30, 'memory_request_mb': 1, 'gpu': 0}),
    worker_row(capacity=[[[]]]),
    worker_row(state='asleep'),
    worker_row(service='unknown'),
    worker_row(remaining_ms=10**300),
]


@pytest_asyncio.fixture
async def deployment(
    tmp_path: pathlib.Path,
) -> AsyncIterator[deployments.Deployment]:
    async with deployments.Deployment(tmp_path) as one:
        for entry in one.entries:
            await waiting.until(
                lambda entry=entry: one.ready(entry), LONGEST_WAIT_S, 'entry'
            )
        await waiting.until(one.holder_name, LONGEST_WAIT_S, 'a holder')
        yield one


async def assert_serves(
    deployment: deployments.Deployment, first: int
) -> None:
    """Check that no process has ended and that jobs complete."""
    entry = deployment.entries[0]
    numbers = range(first, first + 3)
    for number in numbers:

        async def accepted(number: int = number) -> bool:
            status, _ = await deployment.call(
                entry, 'POST', f'/batch/{number:016x}', job()
            )
            return status == 200

        # An entry that was restarted may not listen yet.
        await waiting.until(accepted, LONGEST_WAIT_S, 'an accepted job')

    async def completed() -> bool:
        for number in numbers:
            status, body = await deployment.call(
                entry, 'GET', f'/batch/{number:016x}'
            )
            if status != 200 or body != {'state': 'completed'}:
                return False
        return True

    await waiting.until(completed, LONGEST_WAIT_S, 'completed jobs')
    for one in deployment.entries:
        assert one.process is not None
        assert one.process.returncode is None


def assert_few_log_lines(deployment: deployments.Deployment) -> None:
    for entry in deployment.entries:
        counts: collections.Counter[str] = collections.Counter()
        for line in entry.log_path.read_bytes().splitlines():
            # Each line is JSON: nothing writes past the log.
            fields = msgspec.json.decode(line)
            if fields['level'] in ('warning', 'error'):
                counts[fields['message_type']] += 1
        assert all(
            count <= log_limits.MAX_SUBJECTS * MAX_WINDOWS
            for count in counts.values()
        ), counts


class TestMalformedRows:
    """Guards against a row of another writer that ends its readers."""

    async def test_rows_of_workers(
        self, deployment: deployments.Deployment
    ) -> None:
        for _ in range(3):
            for number, row in enumerate(MALFORMED_WORKERS):
                deployment.store.put('servers', f'malformed-{number}', row)
                deployment.store.put('servers', f'malformed {number}\r\n', row)
            await asyncio.sleep(0.2)
        await assert_serves(deployment, 1)
        # A new holder reads the whole table.
        name = deployment.holder_name()
        for entry in deployment.entries:
            if entry.name == name:
                await entry.stop(deployments.signal.SIGKILL)
                await entry.start()
        await assert_serves(deployment, 10)
        assert_few_log_lines(deployment)

    async def test_rows_of_all_other_tables(
        self, deployment: deployments.Deployment
    ) -> None:
        store = deployment.store
        deep = b'\x81\xa1x' + b'\x91' * 60_000
        malformed = [
            *MALFORMED_JSON,
            deep,
            msgspec.msgpack.encode({'term': 2**63}),
        ]
        for number, row in enumerate(malformed):
            job_id = f'{0xFFFF + number:016x}'
            store.put('op', f'malformed-{number}', row)
            store.put('op', f'wave/{number}', row)
            store.put('upkeep', str(number), row)
            store.put('status', str(number), row)
            store.put('progress', job_id, row)
            part = records.job_part(job_id)
            store.put_in_part('jobs', part, job_id, row)
            status, _ = await deployment.call(
                deployment.entries[0], 'GET', f'/batch/{job_id}'
            )
            assert status in (200, 503)
        store.put(
            'op',
            'wave/1',
            b'{"wave":1,"machines":["m-w-0"],"deadline_s":60,"max_count":1}',
        )
        await assert_serves(deployment, 1)
        for number, row in enumerate(malformed):
            store.put('term', 'fleet', row)
            await assert_serves(deployment, 10 + 3 * number)
        assert_few_log_lines(deployment)


class TestMalformedAnswers:
    """Guards against an answer that ends its caller or floods its log."""

    async def test_a_worker_the_store_and_the_advice_service(
        self, deployment: deployments.Deployment
    ) -> None:
        number = 1
        for malformed in (
            *MALFORMED_JSON,
            b'{"clock_ms":5,"born":1' + b'0' * 25 + b'}',
            b'{"clock_ms":5,"born":1,"running":[["x.0.0.\xc2\xb2",1,"",0]]}',
            b'{"clock_ms":5,"born":1,"ended":[[1' + b'0' * 30 + b']]}',
        ):
            deployment.workers[0].malformed_report = malformed
            deployment.advisor.malformed_answers += [malformed] * 10
            deployment.store.malformed_answers.append(malformed)
            await assert_serves(deployment, number)
            number += 3
        assert_few_log_lines(deployment)


class TestMalformedCalls:
    """Guards against a call that isn't refused with a status of 4xx."""

    async def _raw(self, address: str, data: bytes) -> bytes:
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(LONGEST_WAIT_S):
                writer.write(data)
                return await reader.readline()
        finally:
            writer.close()

    async def test_they_are_refused(
        self, deployment: deployments.Deployment
    ) -> None:
        entry = deployment.entries[0]
        step = b'{"specification":"x","steps":[{"count":1,%s}]}'
        bodies = [
            *(malformed for malformed in MALFORMED_JSON if malformed != DEEP),
            DEEP,
            b'{"specification":"x","steps":' + b'[' * 60_000,
            step % b'"cpu":1%s' % (b'0' * 30),
            step % b'"cpu":18446744073709551615',
            step % b'"cpu":-1',
            step % b'"estimated_ms":-1',
            step % b'"estimated_ms":1e300',
            step % b'"anti_affinity":1%s' % (b'0' * 30),
            step % b'"after":[99999999999999999999]',
            b'{"specification":"x","steps":[{"count":1}],"repetitions":1%s}'
            % (b'0' * 30),
            b'{"specification":"x","steps":[{"count":1}],"start_at_ms":1e300}',
            b'{"specification":"\\ud800","steps":[{"count":1}]}',
            b'x' * 5_000_000,
        ]
        head = (
            b'POST /batch/%016x HTTP/1.1\r\nHost: jobs.example\r\n'
            b'Api-Key: key-1\r\nContent-Length: %d\r\n\r\n'
        )
        requests = [
            head % (number, len(body)) + body
            for number, body in enumerate(bodies)
        ]
        get = b'GET /batch/%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n'
        requests += [
            get % (1, b'[::', b''),
            get % (1, b'jobs.example:99999', b''),
            get % (1, b'\xff\xfe', b''),
            get % (1, b'jobs.example', b'Api-Key: \xff\r\n'),
            get % (1, b'jobs.example', b'Request-Deadline-Ms: \xb2\r\n') + b'',
            b'GET /batch/\xff%%ff%%00 HTTP/1.1\r\nHost: jobs.example\r\n'
            b'Api-Key: key-1\r\n\r\n',
            b'\x00\x01\x02 no HTTP\r\n\r\n',
        ]
        for request in requests:
            line = await self._raw(entry.front, request)
            assert line.split(b' ')[1][:1] == b'4', (request[:200], line)
        await assert_serves(deployment, 1000)
        assert_few_log_lines(deployment)
