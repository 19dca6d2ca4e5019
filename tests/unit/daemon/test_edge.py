"""Tests of the callers' interface."""

import asyncio
import contextlib

import msgspec
import pytest
import uvicorn

from samphirestack import configuration
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import asgi
from samphirestack_testing import entry_world as fakes
from samphirestackd import dispatch
from samphirestackd import edge
from samphirestackd.edge import server

WORK = '/v1/queues/work/requests'
FREE = '/v1/queues/free/requests'
BODY = {'payload': {'a': 1}}


class _Node:
    """An entry with its ASGI application."""

    def __init__(self, grant: bool = True, **bounds: int) -> None:
        self.world = fakes.World()
        self.world.context = msgspec.structs.replace(
            self.world.context, settings=fakes.a_settings(**bounds)
        )
        if grant:
            self.world.grant_always()
        self.dispatcher = dispatch.create(self.world.context, fakes.FAST)
        self.app = edge.create_app(self.world.context, self.dispatcher)
        self.headers = {
            'Authorization': f'Bearer {self.world.key}',
            'Samphirestack-Team': 'a',
        }

    async def call(
        self,
        path: str = WORK,
        body: object = BODY,
        method: str = 'POST',
        **options: object,
    ) -> asgi.Reply:
        options.setdefault('headers', self.headers)
        return await asgi.call(self.app, method, path, body, **options)

    def apply_change(self, change: configuration.Change) -> None:
        self.world.view.current = configuration.apply(
            self.world.view.current, [change], author='', wall_time_s=0.0
        )


class TestUnexpectedErrors:
    """Guards against calls without an answer after an error in a handler."""

    async def test_the_caller_gets_an_error_body(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        node = _Node()

        def fail(*arguments: object) -> None:
            raise ZeroDivisionError

        monkeypatch.setattr(node.dispatcher, 'submit', fail)
        reply = await node.call()
        assert reply.status == 500
        assert reply.data['verdict'] == 'may_have_run'


class TestFilters:
    """Each filter refuses with its error code and verdict."""

    @pytest.mark.parametrize(
        ('headers', 'why'),
        [
            ({}, 'no key'),
            ({'Authorization': 'Basic x'}, 'other scheme'),
            ({'Authorization': 'Bearer x.y'}, 'unknown key'),
            ({'Samphirestack-Team': 'b'}, "another team's key"),
            ({'Samphirestack-Team': ''}, 'no team'),
        ],
    )
    async def test_wrong_key_is_refused(
        self, headers: dict[str, str], why: str
    ) -> None:
        # Guards against work for a team whose key was not presented.
        node = _Node()
        merged = node.headers | headers if headers else {}
        reply = await node.call(headers=merged)
        assert (reply.status, reply.data['code']) == (401, 'unauthorized')
        assert reply.data['verdict'] == 'not_run'
        assert node.world.key not in reply.content.decode()
        assert not node.world.upstreams.sent

    async def test_withdrawn_key_stops_working(self) -> None:
        # Guards against a key that outlives its withdrawal.
        node = _Node()
        key_id = model.KeyId(node.world.key.partition('.')[0])
        node.apply_change(configuration.WithdrawKey(key_id))
        assert (await node.call()).status == 401

    async def test_stale_node_refuses_keyed_and_serves_open_queues(
        self,
    ) -> None:
        # Guards against accepting keys that may have been withdrawn.
        node = _Node()
        node.world.view.fresh = False
        reply = await node.call()
        assert (reply.status, reply.data['code']) == (
            503,
            'configuration_stale',
        )
        assert (await node.call(FREE, headers={})).status == 200

    async def test_team_that_the_queue_does_not_name_is_refused(self) -> None:
        # Guards against use of a queue reserved for other teams.
        node = _Node()
        queue = configuration.Queue('work', 's', teams=('b',))
        node.apply_change(configuration.PutQueue(queue))
        assert (await node.call()).status == 401

    async def test_rate_is_bounded_with_retry_after(self) -> None:
        # Guards against a team that floods an entry.
        node = _Node()
        team = configuration.Team('a', calls_per_s=2.0)
        node.apply_change(configuration.PutTeam(team))
        replies = [await node.call() for _ in range(3)]
        assert [reply.status for reply in replies] == [200, 200, 429]
        assert replies[2].headers[b'retry-after'] == b'1'

    @pytest.mark.parametrize('announced', [True, False])
    async def test_large_body_is_refused(self, announced: bool) -> None:
        # Guards against bodies that exhaust memory, also without a length.
        node = _Node(max_body_bytes=100)
        pieces = [b'x' * 60, b'x' * 60, b'x' * 60]
        headers = dict(node.headers)
        if announced:
            headers['Content-Length'] = '180'
        reply = await node.call(body=pieces, headers=headers)
        assert (reply.status, reply.data['code']) == (413, 'body_too_large')

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'[]',
            b'{"payload":',
            {'payload': 1, 'idempotant': True},
            {'payload': 1, 'deadline_s': 0},
            {'payload': 1, 'request_id': 'a\r\nb'},
            {'payload': 1, 'request_id': ''},
        ],
    )
    async def test_malformed_body_is_refused(self, body: object) -> None:
        # Guards against defaults taken for a misspelled field, and against
        # ids that would break a header.
        reply = await _Node().call(body=body)
        assert (reply.status, reply.data['code']) == (400, 'bad_request')

    async def test_entry_refuses_requests_over_its_limit(self) -> None:
        # Guards against an unbounded number of waiting requests.
        node = _Node(grant=False, max_waiting=1)
        first = asyncio.create_task(node.call())
        await node.world.links.until(messages.RequestSlot)
        reply = await node.call()
        assert (reply.status, reply.data['code']) == (503, 'queue_full')
        first.cancel()

    async def test_draining_node_is_not_ready(self) -> None:
        # Guards against calls sent to a node that is shutting down.
        node = _Node()
        assert (await node.call('/readyz', method='GET')).status == 200
        await node.dispatcher.drain()
        assert (await node.call('/readyz', method='GET')).status == 503
        assert (await node.call()).data['code'] == 'shutting_down'
        assert (await node.call('/healthz', method='GET')).status == 200

    @pytest.mark.parametrize(
        ('method', 'path', 'status'),
        [
            ('POST', '/v1/queues/none/requests', 404),
            ('GET', '/nowhere', 404),
            ('PUT', WORK, 400),
            ('GET', '/v1/requests/none', 404),
            ('GET', '/v1/jobs/none', 404),
        ],
    )
    async def test_unknown_names_are_refused(
        self, method: str, path: str, status: int
    ) -> None:
        # Guards against a plain-text answer where callers expect an error.
        reply = await _Node().call(path, method=method)
        assert reply.status == status
        assert set(reply.data) == {
            'code',
            'message',
            'hint',
            'verdict',
            'request_id',
        }


class TestAnswers:
    """The caller gets the upstream's complete answer."""

    @pytest.mark.parametrize(
        ('content', 'answer', 'encoding'),
        [
            (b'{"x": [1]}', {'x': [1]}, None),
            (b'', None, None),
            (b'plain', 'plain', 'text'),
            (b'\xff\x00', '/wA=', 'base64'),
        ],
    )
    async def test_any_content_is_passed_on(
        self, content: bytes, answer: object, encoding: str | None
    ) -> None:
        # Guards against an answer that breaks the JSON around it.
        node = _Node()
        node.world.upstreams.outcomes = [content]
        reply = await node.call(body=BODY | {'request_id': 'mine'})
        assert reply.data['request_id'] == 'mine'
        assert reply.data['verdict'] == 'ran'
        assert reply.data['answer'] == answer
        assert reply.data.get('encoding') == encoding
        assert node.world.upstreams.sent[0][1:] == ('mine', b'{"a": 1}')

    async def test_disconnected_caller_cancels_a_waiting_request(self) -> None:
        # Guards against work for disconnected callers.
        node = _Node(grant=False)
        gone = asyncio.Event()
        task = asyncio.create_task(node.call(gone=gone))
        await node.world.links.until(messages.RequestSlot)
        gone.set()
        assert (await task).data['code'] == 'cancelled'
        await node.world.links.until(messages.CancelSlots)

    async def test_disconnected_caller_does_not_cancel_a_sent_request(
        self,
    ) -> None:
        # Guards against aborting a running request.
        node = _Node()
        gate = asyncio.Event()
        node.world.upstreams.outcomes = [gate]
        active = platform.ActiveRequest('r', 'a')
        node.world.upstreams.active = (active,)
        gone = asyncio.Event()
        gone.set()
        body = BODY | {'request_id': 'r'}
        task = asyncio.create_task(node.call(body=body, gone=gone))
        # By the fifth status query the connection is watched.
        await node.world.upstreams.until_statuses(5)
        gate.set()
        assert (await task).data['answer'] == 'late'

    async def test_state_and_cancellation_of_a_request(self) -> None:
        # Guards against showing a request to another team.
        node = _Node(grant=False)
        task = asyncio.create_task(node.call(body=BODY | {'request_id': 'r'}))
        await node.world.links.until(messages.RequestSlot)
        path = '/v1/requests/r'
        other = await node.call(path, b'', 'DELETE', headers={})
        assert other.status == 404
        shown = await node.call(path, b'', 'GET')
        assert shown.data['state'] == 'waiting'
        cancelled = await node.call(path, b'', 'DELETE')
        assert cancelled.data['verdict'] == 'not_run'
        assert (await task).status == 409

    async def test_job_is_accepted_shown_and_waited_for(self) -> None:
        # Guards against a job that can't be found under its id.
        node = _Node()
        job = {'kind': 'batch', 'tasks': 2, 'resources': {'cpus': 0.5}}
        reply = await node.call('/v1/queues/work/jobs', job)
        assert reply.status == 202
        path = f'/v1/jobs/{reply.data["job_id"]}'
        assert (await node.call(path, b'', 'GET')).data['tasks'] == 2
        assert (await node.call(path, b'', 'GET', headers={})).status == 401
        waited = await node.call(
            f'{path}/wait', b'', 'GET', query='timeout_s=0'
        )
        assert waited.data['state'] == 'waiting'
        refused = await node.call(
            f'{path}/wait', b'', 'GET', query='timeout_s=nan'
        )
        assert refused.status == 400


class TestServer:
    """The server limits connections and headers."""

    async def _exchange(self, node: _Node, *pieces: bytes) -> list[bytes]:
        config = edge.server_config(
            node.app, '127.0.0.1:1', node.world.context.settings.edge
        )
        running = uvicorn.Server(config)
        config.load()
        running.lifespan = config.lifespan_class(config)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: config.http_protocol_class(
                config=config,
                server_state=running.server_state,
                app_state={},
            ),
            '127.0.0.1',
            0,
        )
        answers = []
        streams = []
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            for piece in pieces:
                stream = await asyncio.open_connection('127.0.0.1', port)
                streams.append(stream)
                with contextlib.suppress(OSError):
                    stream[1].write(piece)
                    await stream[1].drain()
                async with asyncio.timeout(5):
                    answers.append(await stream[0].read(400))
            for _, writer in streams:
                writer.close()
        return answers

    async def test_connection_over_the_bound_gets_an_error_body(self) -> None:
        # Guards against an unbounded number of connections.
        node = _Node(max_connections=1)
        call = b'GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n'
        first, second = await self._exchange(node, call, call)
        assert first.startswith(b'HTTP/1.1 200')
        assert second.startswith(b'HTTP/1.1 503')
        assert b'"verdict":"not_run"' in second

    async def test_endless_header_is_refused(self) -> None:
        # Guards against headers that exhaust memory.
        endless = b'x' * (server.MAX_HEADER_BYTES + 1)
        call = b'GET /healthz HTTP/1.1\r\nhost: ' + endless
        (answer,) = await self._exchange(_Node(), call)
        assert answer.startswith(b'HTTP/1.1 400 Bad Request')
        assert b'"code":"bad_request"' in answer
