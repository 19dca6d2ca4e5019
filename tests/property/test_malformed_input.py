"""Input of other writers: rows, bodies and answers of any content.

Each decoder must return a value or its one error, and what it returns must
be usable: scheduled, stored again and sent.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import copy
from typing import Any
from typing import TypeVar

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from samphirestack import errors
from samphirestack.fleet import messages
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_platform import advice
from samphirestack_platform import jobs
from samphirestack_platform import machines
from samphirestack_platform import registry
from samphirestack_platform import store as stores
from samphirestack_platform import workers
from samphirestack_testing import fleet_world as worlds
from samphirestackd import http_client

T = TypeVar('T')

DEEP_JSON = b'{"x":' + b'[' * 100_000
DEEP_MSGPACK = b'\x81\xa1x' + b'\x91' * 100_000
W0 = model.WorkerId('w0')
TASK = f'{1:016x}.0.0.0'

_malformed_values = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(
        [
            -1,
            0,
            2**31,
            2**53 + 1,
            2**63,
            2**64,
            10**30,
            1e308,
            -1e308,
            '',
            '\x00',
            '1.2.3.4:99999',
            '1.2.3.4:0',
            ':8080',
            'a' * 300 + ':80',
            '1.2.3.4:80\r\nX: y',
            f'{1:016x}.0.0.²',
            '9' * 5000,
            [],
            {},
            [[[[]]]],
            [1, 2, 3, 4, 5],
        ]
    ),
    st.text(max_size=5),
    st.integers(),
    st.floats(allow_nan=False, allow_infinity=False),
)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    found = [path]
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += _paths(inner, (*path, key))
    return found


@st.composite
def _malformed_versions(draw: st.DrawFn, valid: Any) -> Any:
    """Return a valid value in which one or two parts are replaced."""
    value = copy.deepcopy(valid)
    for _ in range(draw(st.integers(1, 2))):
        path = draw(st.sampled_from(_paths(value)))
        if not path:
            return copy.deepcopy(draw(_malformed_values))
        parent = value
        for key in path[:-1]:
            parent = parent[key]
        if draw(st.integers(0, 4)) == 0:
            del parent[path[-1]]
        else:
            parent[path[-1]] = copy.deepcopy(draw(_malformed_values))
    return value


def _json(valid: Any) -> st.SearchStrategy[bytes]:
    return st.one_of(
        _malformed_versions(valid).map(msgspec.json.encode),
        st.binary(max_size=30),
        st.just(DEEP_JSON),
        st.just(msgspec.json.encode(valid)),
    )


def _msgpack(valid: Any) -> st.SearchStrategy[bytes]:
    def encode(value: Any) -> bytes:
        try:
            return msgspec.msgpack.encode(value)
        except OverflowError:
            return b'\xff'

    builtin = msgspec.to_builtins(valid)
    return st.one_of(
        _malformed_versions(builtin).map(encode),
        st.binary(max_size=30),
        st.just(DEEP_MSGPACK),
    )


def run(call: Coroutine[Any, Any, T]) -> T:
    return asyncio.run(call)


class Client:
    """HTTP client whose server answers with one body."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self.response = http_client.Response()
        self.response.body = body
        self.response.status = status
        self.calls = 0

    async def call(self, *arguments: Any, **more: Any) -> http_client.Response:
        del arguments, more
        self.calls += 1
        assert self.calls < 100
        return self.response

    def forget(self, address: str) -> None:
        pass


def fuzzed(function: Callable[..., None]) -> Callable[..., None]:
    return settings(max_examples=250, deadline=None, derandomize=True)(
        function
    )


def use(world: worlds.World) -> None:
    """Decide and store after a malformed input, as the holder does."""
    for now in (1.0, 3.0):
        world.plan(now)
        changes = world.store_changes(now)
        for put in changes.puts:
            records.decode_progress(put.value)


WORKER = {
    'service': worlds.SERVICE,
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v',
    'slots': 8,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'capacity': {'cpu': 16000, 'memory_request_mb': 32000, 'gpu': 0},
    'labels': ['a', 'r1'],
    'machine': 'm',
    'born': 1,
    'remaining_ms': 5.0,
    'sequence': 1,
}
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'q',
            'host': 'h',
            'prefix': '/q/',
            'service': 's',
            'priority': 1,
            'max_attempts': 2,
            'stretch': 2.0,
            'target_latency_ms': 100,
            'advice': {'decision_ms': 5, 'each_ms': 0.1, 'validity_ms': 9},
        }
    ],
    'services': [{'name': 's', 'enforces_capacity': False}],
    'tenants': [
        {
            'name': 't',
            'api_keys': ['k'],
            'weight': 1,
            'max_count': {'cpu': 0, 'memory_request_mb': 0, 'gpu': 0},
        }
    ],
    'limits': {'max_body_bytes': 1000},
}
WAVE = {'wave': 1, 'machines': ['m'], 'deadline_s': 9, 'max_count': 1}


class TestRows:
    """Guards against a row that ends a process or stops the following."""

    @fuzzed
    @given(_json(WORKER), st.text(max_size=20))
    @example(msgspec.json.encode(dict(WORKER, address='10.0.0.1:99999')), 'w')
    @example(msgspec.json.encode(dict(WORKER, born=10**400)), 'w')
    @example(DEEP_JSON, 'w')
    def test_workers(self, value: bytes, key: str) -> None:
        entry = registry.Registry().worker(ports.StoredRow(key, value, 1))
        if entry is None:
            return
        host, _, port = entry.address.rpartition(':')
        assert host.count('.') == 3
        assert 0 < int(port) < 65536
        assert '\n' not in entry.worker_id + entry.address
        world = worlds.World([worlds.make_worker('w0'), entry])
        world.accept(0.0, worlds.make_job(1))
        use(world)

    @fuzzed
    @given(_json(CONFIGURATION))
    @example(DEEP_JSON)
    def test_configurations(self, value: bytes) -> None:
        row = ports.StoredRow('config', value, 1)
        found = registry.Registry().configuration(row)
        if found is not None:
            assert found.route('other', '/') is None or found.queues_by_id

    @fuzzed
    @given(_json(WAVE))
    @example(DEEP_JSON)
    def test_waves(self, value: bytes) -> None:
        row = ports.StoredRow('wave/1', value, 1)
        found = registry.Registry().wave(row)
        if found is not None:
            put = registry.Registry().wave_status(found.number, False)
            assert len(put.key) < 200

    @fuzzed
    @given(st.text(max_size=20), st.binary(max_size=20), st.booleans())
    @example('', b'', False)
    @example('a/b', b'\xff', True)
    def test_evacuations(self, zone: str, value: bytes, removed: bool) -> None:
        row = ports.StoredRow(f'evacuate/{zone}', value, 1, removed)
        assert registry.Registry().evacuated_zone(row) == (zone or None)
        other = ports.StoredRow(f'evacuate{zone}', value, 1, removed)
        if not zone.startswith('/'):
            assert registry.Registry().evacuated_zone(other) is None

    @fuzzed
    @given(_msgpack(worlds.make_job(1)))
    @example(DEEP_MSGPACK)
    def test_jobs(self, value: bytes) -> None:
        world = worlds.World([worlds.make_worker('w0')])
        try:
            record = records.decode_stored_job(f'{1:016x}', value)
        except msgspec.DecodeError:
            return
        world.scheduler.load_job(1.0, worlds.UNIX_AT_ZERO_S, record, None)
        use(world)

    @fuzzed
    @given(
        _msgpack(
            records.JobProgress(
                {'0.0': [0]},
                {'0.0.0': [1]},
                {'0.0.0': {1: records.TaskCrash(W0, True)}},
                {'0.0.0': (2, 'w0')},
            )
        )
    )
    @example(DEEP_MSGPACK)
    def test_progress(self, value: bytes) -> None:
        world = worlds.World([worlds.make_worker('w0')])
        try:
            progress = records.decode_progress(value)
            world.scheduler.load_job(
                1.0, worlds.UNIX_AT_ZERO_S, worlds.make_job(1), progress
            )
        except (msgspec.DecodeError, ValueError):
            # The holder sets the job aside.
            assert not world.scheduler.jobs.active_by_id
        use(world)

    @fuzzed
    @given(_msgpack(records.TermRecord(3, model.VmId('b'), 'life', 'a:1')))
    @example(DEEP_MSGPACK)
    def test_the_term(self, value: bytes) -> None:
        try:
            record = records.decode_stored_term(value, 10)
        except msgspec.DecodeError:
            return
        assert record.term <= 10


class TestBodies:
    """Guards against a submission that is not refused at once."""

    @fuzzed
    @given(
        _json(
            {
                'specification': 'x',
                'steps': [
                    {
                        'count': 2,
                        'cpu': 500,
                        'memory_request_mb': 100,
                        'gpu': 0,
                        'estimated_ms': 900,
                        'anti_affinity': 1,
                        'may_miss': 1,
                        'target_ms': 5,
                    },
                    {'count': 1, 'cpu': 1, 'after': [0]},
                ],
                'repetitions': 1,
                'start_at_ms': 1e9,
                'interval_ms': 1000,
            }
        )
    )
    @example(DEEP_JSON)
    def test_jobs(self, body: bytes) -> None:
        try:
            spec = jobs.decode_job(body)
        except errors.BadRequest:
            return
        record = msgspec.structs.replace(worlds.make_job(1), spec=spec)
        stored = records.decode_job(records.encode(record))
        world = worlds.World([worlds.make_worker('w0')])
        world.accept(0.0, stored)
        use(world)


LISTS = {
    'clock_ms': 1000,
    'born': 1,
    'running': [[TASK, 1, '', 50, 1.0]],
    'ended': [[1, TASK, 1, 'done', '']],
}


class TestAnswers:
    """Guards against an answer that its caller doesn't expect."""

    @fuzzed
    @given(_json(LISTS), st.sampled_from([200, 200, 200, 409, 500]))
    @example(DEEP_JSON, 200)
    @example(DEEP_JSON, 409)
    @example(
        msgspec.json.encode(dict(LISTS, running=[[TASK, 2**64, '', 0]])), 200
    )
    @example(
        msgspec.json.encode(
            dict(LISTS, running=[[f'{1:016x}.0.0.²', 1, '', 0]])
        ),
        200,
    )
    def test_reports(self, body: bytes, status: int) -> None:
        client = Client(body, status)
        entry = worlds.make_worker('w0')
        world = worlds.World([entry])
        world.accept(0.0, worlds.make_job(1))
        world.start_all(0.1)
        try:
            report = run(
                workers.Workers(client).hold(  # type: ignore[arg-type]
                    entry, 1, 0, None, 0.0, lambda: True
                )
            )
        except errors.PlatformError:
            return
        if specs.is_plausible_start(1.0, report.started_unix_ms):
            world.scheduler.apply_report(1.0, 0.9, W0, report)
            world.scheduler.lease_deadline(1.0, W0)
        use(world)

    @fuzzed
    @given(_json({'reason': 'fence'}), st.sampled_from([200, 409, 418]))
    @example(DEEP_JSON, 409)
    def test_orders(self, body: bytes, status: int) -> None:
        port = workers.Workers(Client(body, status))  # type: ignore[arg-type]
        entry = worlds.make_worker('w0')
        task = model.TaskId(TASK)
        order = ports.TaskOrder(
            task, specs.RunNumber(1), 'x', specs.NO_CHECKPOINT, ''
        )
        outcome = run(port.start(entry, order, 1, 1, lambda: True))
        assert isinstance(outcome, specs.StartOutcome)
        run(port.stop(entry, task, specs.RunNumber(1), 1))

    @fuzzed
    @given(
        _json(
            {
                'rows': [{'key': 'k', 'version_number': 1, 'value': 'YQ=='}],
                'version_number': 1,
                'more_pages': False,
            }
        ),
        st.sampled_from([200, 200, 410, 412, 500]),
    )
    @example(DEEP_JSON, 200)
    def test_the_store(self, body: bytes, status: int) -> None:
        store = stores.Store(Client(body, status), 'a')  # type: ignore[arg-type]
        with contextlib.suppress(errors.StoreUnavailable):
            page = run(store.read('t'))
            assert page.version >= 0
        with contextlib.suppress(errors.StoreUnavailable):
            run(store.feed('t', 1, 0.0))
        with contextlib.suppress(
            errors.OutcomeUnknown, errors.TransactionConflict
        ):
            run(store.transact([], [ports.Put('t', 'k', b'')]))

    @fuzzed
    @given(_json({'good': [['w0', 't']]}))
    @example(DEEP_JSON)
    def test_advice(self, body: bytes) -> None:
        advisor = advice.Advisor(Client(body), 'a')  # type: ignore[arg-type]
        try:
            found = run(advisor.advise('s', [W0]))
        except errors.PlatformError:
            return
        assert found.tickets_by_worker_id.keys() <= {W0}

    @fuzzed
    @given(
        _json(
            {
                'machines': [{'machine': 'm', 'state': 'up'}],
                'next_page_token': None,
            }
        )
    )
    @example(DEEP_JSON)
    @example(b'{"next_page_token": "a"}')
    def test_machines(self, body: bytes) -> None:
        port = machines.Machines(Client(body), 'a')  # type: ignore[arg-type]
        try:
            run(port.list_machines())
        except errors.PlatformError:
            return


class TestMessages:
    """Guards against a message of a peer that ends its receiver."""

    @fuzzed
    @given(_msgpack(messages.Ping(model.VmId('a'), 1, 'life', 0.5, 1.0)))
    @example(DEEP_MSGPACK)
    def test_pings(self, data: bytes) -> None:
        try:
            messages.decode(data)
        except msgspec.DecodeError:
            return


@pytest.mark.parametrize('size', [1, 100_000])
def test_each_level_of_nesting_is_refused_or_read(size: int) -> None:
    with pytest.raises(errors.BadRequest):
        jobs.decode_job(b'{"specification":"x","steps":' + b'[' * size)
