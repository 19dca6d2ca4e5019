"""Property tests of the callers' interface with arbitrary input."""

import asyncio
import itertools
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import uvicorn

from samphirestack_testing import asgi
from samphirestack_testing import entry_world as fakes
from samphirestackd import dispatch
from samphirestackd.dispatch import records
from samphirestackd import edge
from samphirestackd.edge import bodies
from samphirestackd.edge import requests

MAX_BODY_BYTES = 2000
VERDICTS = {'ran', 'not_run', 'may_have_run'}

_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
_fields = st.fixed_dictionaries(
    {},
    optional={
        'payload': _json,
        'idempotent': _json,
        'deadline_s': st.floats(allow_nan=False) | _json,
        'request_id': st.text(max_size=200) | _json,
        'kind': st.sampled_from(['batch', 'gang', 'service', 'x']),
        'tasks': st.integers() | _json,
        'resources': st.dictionaries(
            st.sampled_from(['cpus', 'memory_mb', 'accelerators', 'x']),
            st.integers() | st.floats(allow_nan=False),
        ),
        'run_time_s': st.floats(allow_nan=False),
    },
)
_bodies = (
    st.binary(max_size=3 * MAX_BODY_BYTES)
    | _fields.map(lambda value: json.dumps(value).encode())
    | st.integers(1, 900).map(lambda depth: b'[' * depth)
    | st.integers(1, 900).map(
        lambda depth: b'{"payload":' + b'[' * depth + b']' * depth + b'}'
    )
)
_paths = st.sampled_from(
    [
        '/v1/queues/free/requests',
        '/v1/queues/work/requests',
        '/v1/queues/free/jobs',
        '/v1/requests/x',
        '/v1/jobs/arree--x',
        '/v1/jobs/arree--x/wait',
        '/readyz',
    ]
) | st.text(max_size=60).map(lambda text: f'/v1/{text}')
_latin = st.characters(max_codepoint=255)
_headers = st.dictionaries(
    st.sampled_from(
        [
            'Authorization',
            'Samphirestack-Team',
            'Content-Length',
            'Idempotency-Key',
            'X-Other',
        ]
    ),
    st.text(_latin, max_size=40) | st.sampled_from(['Bearer a.b', '9' * 30]),
)


@given(
    method=st.sampled_from(['GET', 'POST', 'DELETE', 'PUT']),
    path=_paths,
    body=_bodies,
    cuts=st.lists(st.integers(0, MAX_BODY_BYTES), max_size=3),
    headers=_headers,
    query=st.text(_latin, max_size=30),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_any_call_gets_a_clear_answer(
    method: str,
    path: str,
    body: bytes,
    cuts: list[int],
    headers: dict[str, str],
    query: str,
) -> None:
    """Guards against crashes, refusals without a verdict and held bodies."""

    async def run() -> None:
        world = fakes.World(deadline_s=0.05)
        world.context = msgspec.structs.replace(
            world.context,
            settings=fakes.a_settings(max_body_bytes=MAX_BODY_BYTES),
        )
        world.grant_always()
        dispatcher = dispatch.create(world.context, fakes.FAST)
        app = edge.create_app(world.context, dispatcher)
        edges = [0, *sorted(cuts), len(body)]
        pieces = [body[start:end] for start, end in itertools.pairwise(edges)]
        reply = await asgi.call(app, method, path, pieces, headers, query)
        assert reply.status < 500 or reply.status in (503, 504)
        if reply.status >= 400 and path != '/readyz':
            assert reply.data['verdict'] in VERDICTS
            assert reply.data['message']
            assert len(reply.content) < 1000
        assert dispatcher.request_count() == 0
        assert all(
            len(sent) <= MAX_BODY_BYTES for *_, sent in world.upstreams.sent
        )

    asyncio.run(run())


@given(
    content=st.binary(max_size=200)
    | _json.map(lambda value: json.dumps(value).encode())
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_answer_is_embedded_as_valid_json(content: bytes) -> None:
    """Guards against an upstream that breaks out of the answer's JSON."""
    encoded = requests.encode_answer(records.Answer('r', 200, content))
    data = json.loads(encoded)
    assert set(data) <= {
        'request_id',
        'verdict',
        'status',
        'answer',
        'encoding',
    }
    assert data['verdict'] == 'ran'


@given(
    sizes=st.lists(st.integers(0, 150), max_size=8),
    broken=st.booleans(),
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_held_bytes_return_to_zero(sizes: list[int], broken: bool) -> None:
    """Guards against held bytes that leak after refused bodies."""

    class Exchange:
        body = b''

        def __init__(self) -> None:
            self.left = [b'x' * size for size in sizes]

        async def receive(self) -> dict:
            if not self.left:
                return {'type': 'http.disconnect'}
            more = broken or len(self.left) > 1
            return {
                'type': 'http.request',
                'body': self.left.pop(0),
                'more_body': more,
            }

    async def run() -> None:
        reader = bodies.BodyReader(300)
        exchange = Exchange()
        try:
            await reader.read(exchange)
        except (bodies.CallerDisconnected, bodies.errors.SamphireError):
            assert broken or not sizes or sum(sizes) > 300
        assert reader.held_bytes <= 300
        reader.release(exchange)
        assert reader.held_bytes == 0

    asyncio.run(run())


class _Transport(asyncio.Transport):
    """Records what a protocol writes."""

    def __init__(self) -> None:
        super().__init__({'peername': ('127.0.0.1', 1)})
        self.written = b''
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        return None

    resume_reading = pause_reading


_starts = st.sampled_from(
    [b'', b'POST /v1/queues/free/requests HTTP/1.1\r\nhost: x\r\n']
)
_lines = st.sampled_from(
    [
        b'\r\n',
        b'content-length: 5\r\n',
        b'transfer-encoding: chunked\r\n',
        b'5\r\nhello\r\n',
        b'0\r\n\r\n',
        b'a: ' + b'x' * 20_000,
        b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n',
    ]
)


@given(start=_starts, pieces=st.lists(_lines | st.binary(), max_size=8))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_any_bytes_on_a_connection(start: bytes, pieces: list[bytes]) -> None:
    """Guards against bytes that crash the server or exhaust memory."""

    async def run() -> None:
        world = fakes.World()
        world.grant_always()
        dispatcher = dispatch.create(world.context, fakes.FAST)
        app = edge.create_app(world.context, dispatcher)
        edge_settings = world.context.settings.edge
        config = edge.server_config(app, '127.0.0.1:1', edge_settings)
        config.load()
        state = uvicorn.Server(config).server_state
        protocol = config.http_protocol_class(config, state, {})
        transport = _Transport()
        protocol.connection_made(transport)
        for piece in [start, *pieces]:
            # A transport never hands over an empty piece.
            if piece and not transport.closed:
                protocol.data_received(piece)
                await asyncio.sleep(0)
        assert len(protocol.conn.trailing_data[0]) < 64_000
        protocol.connection_lost(None)
        if state.tasks:
            await asyncio.wait(state.tasks, timeout=5)
        assert not state.tasks
        assert transport.written[:9] in (b'', b'HTTP/1.1 ')

    asyncio.run(run())
