"""Platform clients: failures with a certain and an unknown outcome."""

import asyncio
import socket

from aiohttp import web
import pytest

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestack_testing.standins import serving
from samphirestackd import platform_http

TIMEOUT_S = 0.3
CONNECTED_TIMEOUT_S = 3.0
"""Deadline of calls that must reach the server before they time out, also
while this process gets no processor time for a while."""

WRITE = platform.Write('t', 'zone/key', 0, {'a': 1})


class Server:
    """Server that answers every call with the result of ``answer``.

    ``None`` aborts the connection and ``'hang'`` delays the answer.
    """

    def __init__(self):
        self.calls = []
        self.connections = set()
        self.answer = lambda: web.json_response({})

    async def handle(self, request):
        self.calls.append((request.method, request.path, dict(request.query)))
        self.connections.add(id(request.transport))
        answer = self.answer()
        if answer is None:
            request.transport.abort()
        elif answer == 'hang':
            await asyncio.sleep(60)
        return answer


@pytest.fixture
async def server():
    built = Server()
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', built.handle)
    listener = await serving.listen(app)
    built.address = listener.address
    yield built
    await listener.close()


@pytest.fixture
async def table(server):
    client = platform_http.HttpTable(f'http://{server.address}', TIMEOUT_S)
    yield client
    await client.close()


@pytest.fixture
async def patient_table(server):
    client = platform_http.HttpTable(
        f'http://{server.address}', CONNECTED_TIMEOUT_S
    )
    yield client
    await client.close()


@pytest.fixture
async def agent(server):
    agents = platform_http.Agents(TIMEOUT_S)
    yield agents.at(server.address)
    await agents.close()


def status(code, /, **body):
    return lambda: web.json_response(body, status=code)


class TestTable:
    """Guards against writes whose outcome is reported wrongly."""

    async def test_refused_connection_is_certainly_not_written(self):
        with socket.create_server(('127.0.0.1', 0)) as free:
            address = free.getsockname()
        client = platform_http.HttpTable(
            f'http://{address[0]}:{address[1]}', TIMEOUT_S
        )
        with pytest.raises(errors.StoreUnavailable):
            await client.transact([WRITE])
        await client.close()

    @pytest.mark.parametrize(
        'answer',
        [
            lambda: None,
            lambda: 'hang',
            status(500),
            status(504),
            lambda: web.Response(text='no json'),
        ],
    )
    async def test_failure_after_sending_is_unknown(
        self, server, patient_table, answer
    ):
        server.answer = answer
        with pytest.raises(errors.OutcomeUnknown):
            await patient_table.transact([WRITE])
        assert len(server.calls) == 1

    @pytest.mark.parametrize('code', [400, 503])
    async def test_refusal_of_the_platform_is_certain(
        self, server, table, code
    ):
        server.answer = status(code)
        with pytest.raises(errors.StoreUnavailable):
            await table.transact([WRITE])

    async def test_conflict_names_the_present_versions(self, server, table):
        row = {'table': 't', 'key': 'k', 'version': 7}
        server.answer = status(409, conflicts=[row])
        with pytest.raises(errors.TransactionConflict) as caught:
            await table.transact([WRITE])
        assert caught.value.conflicts == {('t', 'k'): 7}

    async def test_missing_row_differs_from_an_outage(self, server, table):
        server.answer = status(404)
        assert await table.get('t', 'zone/key') is None
        assert server.calls[0][:2] == ('GET', '/table/t/zone/key')
        server.answer = status(503)
        with pytest.raises(errors.StoreUnavailable):
            await table.get('t', 'zone/key')

    async def test_new_connection_after_a_time_out(self, server, table):
        server.answer = lambda: 'hang'
        with pytest.raises(errors.StoreUnavailable):
            await table.get('t', 'k')
        server.answer = status(404)
        for _ in range(2):
            await table.get('t', 'k')
        assert len(server.connections) == 2


class TestAgent:
    """Guards against refusals by an agent that are treated as failures."""

    async def test_lower_epoch_is_fenced_off(self, server, agent):
        server.answer = status(
            409, code='fenced_off', worker='w', epoch=5, owner='b'
        )
        with pytest.raises(errors.FencedOff) as caught:
            await agent.lease(model.VmId('a'), model.Epoch(4), 10.0, False)
        assert (caught.value.epoch, caught.value.owner) == (5, 'b')

    async def test_start_that_was_refused_has_not_started(self, server, agent):
        start = platform.TaskStart(
            'j/0', 1, 'j', 'team', model.Resources(), 1.0
        )
        server.answer = status(409, code='worker_refused', message='full')
        with pytest.raises(errors.WorkerRefused):
            await agent.start(model.Epoch(1), start)
        server.answer = lambda: None
        with pytest.raises(errors.OutcomeUnknown):
            await agent.start(model.Epoch(1), start)

    async def test_long_poll_may_outlast_the_usual_deadline(
        self, server, agent
    ):
        server.answer = lambda: web.json_response([])
        assert await agent.events(3, 2.0) == []
        assert server.calls[0][2] == {'since': '3', 'timeout_s': '2.0'}


class TestVmList:
    """Guards against repeated transfers of a large, unchanged list."""

    async def test_unchanged_list_is_not_sent_again(self, server):
        client = platform_http.HttpVmList(
            f'http://{server.address}', TIMEOUT_S
        )
        row = {'vm_id': 'v', 'address': '', 'role': 'entry', 'zone': 'z'}
        server.answer = lambda: web.json_response(
            [row], headers={'ETag': '"1"'}
        )
        first = await client.list_vms()
        server.answer = lambda: web.Response(status=304)
        assert await client.list_vms() == first
        await client.close()
