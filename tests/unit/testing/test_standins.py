"""Tests of the stand-ins' HTTP interfaces and of the fault proxy."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket

import aiohttp
from aiohttp import web
import msgspec
import pytest

from samphirestack import model
from samphirestack_testing import faultproxy
from samphirestack_testing import ledger
from samphirestack_testing.standins import agent
from samphirestack_testing.standins import platform
from samphirestack_testing.standins import serving
from samphirestack_testing.standins import upstreams
from samphirestack_testing.standins import vms
from samphirestack_testing.standins import workers
from samphirestack_testing import waiting

Mode = upstreams.Mode
Serve = Callable[[web.Application], Awaitable[str]]
TRANSACT = '/table/transact'
DEADLINE_S = 10.0
UPSTREAM = model.Vm(
    model.VmId('u'),
    '',
    model.VmRole.UPSTREAM,
    model.ZoneId('arree'),
    slots=1,
    connections=64,
)


@pytest.fixture(name='http')
async def _http() -> AsyncIterator[aiohttp.ClientSession]:
    timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


@pytest.fixture(name='serve')
async def _serve() -> AsyncIterator[Serve]:
    """Serves applications until the end of the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def serve(app: web.Application) -> str:
            listener = await serving.listen(app)
            stack.push_async_callback(listener.close)
            return 'http://' + listener.address

        yield serve


def _put(key: str, expect: int | None, value: object) -> dict[str, object]:
    op = {'table': 't', 'key': key, 'expect': expect, 'value': value}
    return {'ops': [op]}


class TestPlatform:
    """Writes are conditional and faults do what they say."""

    @pytest.fixture(name='stand_in')
    def _stand_in(self) -> platform.Platform:
        listed = vms.LaggingVms([UPSTREAM], 1.0)
        return platform.Platform(listed, ledger.Writer(''), 0.0)

    async def test_transactions_are_conditional(
        self,
        stand_in: platform.Platform,
        http: aiohttp.ClientSession,
        serve: Serve,
    ) -> None:
        """Guards against lost updates and reused versions."""
        base = await serve(stand_in.app())
        versions = []
        for expect, value in ((0, 'a'), (None, None), (0, 'b')):
            body = _put('k/1', expect, value)
            async with http.post(base + TRANSACT, json=body) as answer:
                versions += (await answer.json())['versions']
        assert versions == sorted(set(versions))
        body = _put('k/1', 0, 'c')
        async with http.post(base + TRANSACT, json=body) as answer:
            conflicts = (await answer.json())['conflicts']
        assert conflicts[0]['version'] == versions[-1]
        async with http.get(base + '/table/t/k/1') as answer:
            assert (await answer.json())['value'] == 'b'

    async def test_lost_answer_takes_effect(
        self,
        stand_in: platform.Platform,
        http: aiohttp.ClientSession,
        serve: Serve,
    ) -> None:
        """Guards against a fault that loses the write itself."""
        base = await serve(stand_in.app())
        stand_in.control(0.0, platform.Control(lose_answers=1))
        with pytest.raises(aiohttp.ClientError):
            await http.post(base + TRANSACT, json=_put('k', 0, 1))
        assert stand_in.rows.get('t', 'k') is not None

    async def test_outage_has_no_effect_on_rows(
        self,
        stand_in: platform.Platform,
        http: aiohttp.ClientSession,
        serve: Serve,
    ) -> None:
        base = await serve(stand_in.app())
        stand_in.control(0.0, platform.Control(down=True))
        body = _put('k', 0, 1)
        async with http.post(base + TRANSACT, json=body) as answer:
            assert answer.status == 503
        assert stand_in.rows.get('t', 'k') is None

    def test_vm_list_lags(self, stand_in: platform.Platform) -> None:
        leave = platform.Control(leave=UPSTREAM.vm_id)
        stand_in.control(5.0, leave)
        assert stand_in.vms.visible(5.9)[0].state is model.VmState.LIVE
        assert stand_in.vms.visible(6.0)[0].state is model.VmState.LEAVING


class TestWorkers:
    """Agents are reachable over HTTP."""

    async def test_long_poll_ends_with_the_task(
        self, http: aiohttp.ClientSession, serve: Serve
    ) -> None:
        """Guards against events that wait for the next poll."""
        vm = model.Vm(
            model.VmId('w'),
            '',
            model.VmRole.WORKER,
            model.ZoneId('arree'),
            capacity=model.Resources(1000, 10),
        )
        server = workers.AgentServer(
            agent.Agent(vm, ledger.Writer(''), {}, 0.0)
        )
        runner = asyncio.create_task(server.run())
        base = await serve(server.app())
        lease = {'owner': 'e', 'epoch': 1, 'ttl_s': 10.0}
        task = {
            'task_id': 'j/0',
            'attempt': 1,
            'job_id': 'j',
            'team': 't',
            'resources': {'millicores': 500},
            'run_time_s': 0.05,
        }
        await http.post(base + '/lease', json=lease)
        await http.post(base + '/tasks', json={'epoch': 1, 'task': task})
        url = base + '/events?since=1&timeout_s=9'
        async with http.get(url) as answer:
            events = await answer.json()
        assert [event['state'] for event in events] == ['succeeded']
        late = {'epoch': 0}
        async with http.post(base + '/tasks/j/0/stop', json=late) as answer:
            refusal = await answer.json()
        assert (answer.status, refusal['epoch']) == (409, 1)
        runner.cancel()


class TestUpstream:
    """Refusals are true and faults break off where they say."""

    @pytest.mark.parametrize(
        ('mode', 'started'),
        [
            (Mode.BREAK_BEFORE, False),
            (Mode.BREAK_DURING, True),
            (Mode.BREAK_AFTER, True),
            (Mode.TRUNCATE, True),
        ],
    )
    async def test_break_off(
        self,
        http: aiohttp.ClientSession,
        serve: Serve,
        mode: Mode,
        started: bool,
    ) -> None:
        writer = ledger.Writer('')
        upstream = upstreams.Upstream(UPSTREAM, writer)
        base = await serve(upstream.app())
        upstream.set_faults(0.0, upstreams.Faults(mode))
        with pytest.raises(aiohttp.ClientError):
            async with http.post(base + '/work', json={}) as answer:
                await answer.read()
        assert bool(writer.lines) is started

    async def test_full_upstream_refuses(
        self, http: aiohttp.ClientSession, serve: Serve
    ) -> None:
        """Guards against more work than slots."""
        upstream = upstreams.Upstream(UPSTREAM, ledger.Writer(''))
        base = await serve(upstream.app())
        headers = {upstreams.REQUEST_ID_HEADER: 'r1'}
        first = asyncio.create_task(
            http.post(base + '/work', json={'work_s': 0.5}, headers=headers)
        )
        await waiting.until(lambda: upstream.active, DEADLINE_S, 'active')
        async with http.post(base + '/work', json={}) as second:
            assert second.headers[upstreams.VERDICT_HEADER] == 'not-run'
        answer = await first
        assert answer.headers[upstreams.REQUEST_ID_HEADER] == 'r1'


class TestProxy:
    """Faults hit the connections that they name."""

    @pytest.fixture(name='echo')
    async def _echo(self) -> AsyncIterator[str]:
        handlers: set[asyncio.Task[None]] = set()

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.current_task()
            assert task is not None
            handlers.add(task)
            try:
                while data := await reader.read(1000):
                    writer.write(data)
            except ConnectionError:
                pass
            finally:
                handlers.discard(task)
                writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        yield f'{host}:{port}'
        server.close()
        running = list(handlers)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    @staticmethod
    async def _open(
        proxy: faultproxy.Proxy,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = proxy.address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    @staticmethod
    async def _ask(
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        data: bytes,
    ) -> bytes:
        streams[1].write(data)
        try:
            async with asyncio.timeout(DEADLINE_S):
                return await streams[0].read(1000)
        except ConnectionError:
            return b''

    async def test_silence_leaves_new_connections_alone(
        self, echo: str
    ) -> None:
        """Guards against a fault that ends with a reconnection."""
        proxy = faultproxy.Proxy(echo)
        await proxy.start()
        old = await self._open(proxy)
        assert await self._ask(old, b'a') == b'a'
        proxy.apply(faultproxy.Command(silence_open=True))
        old[1].write(b'b')
        new = await self._open(proxy)
        assert await self._ask(new, b'c') == b'c'
        assert not old[0].at_eof()
        await proxy.close()

    async def test_cut_hits_one_source(self, echo: str) -> None:
        """Guards against a partition that also cuts inside the zone."""
        proxy = faultproxy.Proxy(echo, ['arree-entry-0', 'mene-entry-0'])
        await proxy.start()
        cut = faultproxy.Faults(cut=True)
        proxy.apply(faultproxy.Command(cut, ('mene-entry-0',)))
        message = msgspec.msgpack.encode('arree-entry-0')
        assert await self._ask(await self._open(proxy), message) == message
        other = msgspec.msgpack.encode('mene-entry-0')
        assert await self._ask(await self._open(proxy), other) == b''
        await proxy.close()

    async def test_truncation_and_delay(self, echo: str) -> None:
        proxy = faultproxy.Proxy(echo)
        await proxy.start()
        proxy.apply(faultproxy.Command(faultproxy.Faults(truncate_after=2)))
        streams = await self._open(proxy)
        assert await self._ask(streams, b'abcd') == b'ab'
        assert await streams[0].read(10) == b''
        slow = faultproxy.Faults(delay_s=0.5, delay_every=2)
        proxy.apply(faultproxy.Command(slow))
        delayed, direct = await self._open(proxy), await self._open(proxy)
        first = asyncio.create_task(self._ask(delayed, b'x'))
        assert await self._ask(direct, b'y') == b'y'
        assert not first.done()
        assert await first == b'x'
        await proxy.close()

    async def test_close_breaks_off_a_connection_without_a_server(
        self,
    ) -> None:
        """Guards against connections that outlive the proxy."""
        with contextlib.ExitStack() as stack:
            # The kernel leaves connects to a full backlog unanswered.
            full = stack.enter_context(
                socket.create_server(('127.0.0.1', 0), backlog=0)
            )
            host, port = full.getsockname()
            for _ in range(3):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex((host, port))
            proxy = faultproxy.Proxy(f'{host}:{port}')
            await proxy.start()
            tasks = len(asyncio.all_tasks())
            streams = await self._open(proxy)
            await waiting.until(
                lambda: len(asyncio.all_tasks()) > tasks, DEADLINE_S, 'handler'
            )
            await proxy.close()
            assert await self._ask(streams, b'a') == b''
            streams[1].close()
