"""A new holder behind a narrow link to the store."""

import asyncio
import base64
from collections.abc import AsyncIterator
import contextlib
from urllib import parse

import msgspec
import pytest

from samphirestack import errors
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack import model
from samphirestack_platform import store as stores
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestackd.fleet import clock
from samphirestackd.fleet import holder as holders
from samphirestackd import http_client

TIMEOUT_S = 20.0
PART_BYTES = 6000
BYTES_PER_S = 500_000
SLOW_BYTES_PER_S = 4000
"""An answer takes seconds."""

CHUNK_BYTES = 1000


def encode_record(number: int) -> tuple[str, bytes]:
    """Return the key and the row of an ended job."""
    job_id = model.JobId(f'{number:016x}')
    record = records.JobRecord(
        job_id,
        worlds.make_queue(),
        model.TeamId('team'),
        1.0,
        None,
        specs.JobState.COMPLETED,
        2.0,
    )
    return job_id, records.encode(record)


class NarrowStore:
    """Store whose answers share a link; each part has its own ended jobs."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._link = asyncio.Lock()
        self.job_count = 0
        self.silent = False
        """Whether answers stop after their first part."""
        self._bodies_by_part: dict[str, bytes] = {}
        for part in records.all_job_parts():
            rows = []
            size = 0
            while size < PART_BYTES:
                key, value = encode_record(self.job_count)
                self.job_count += 1
                encoded = base64.b64encode(value).decode()
                rows.append(
                    {'key': key, 'version_number': 1, 'value': encoded}
                )
                size += len(encoded)
            self._bodies_by_part[part] = msgspec.json.encode(
                {'rows': rows, 'version_number': 1}
            )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ')[1].decode()
                query = dict(parse.parse_qsl(parse.urlsplit(target).query))
                body = b'{"rows":[],"version_number":1}'
                if query.get('table') == records.JOBS_TABLE:
                    body = self._bodies_by_part[query['part']]
                await self._send(writer, body)
        writer.close()

    async def _send(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        data = head.encode() + body
        for start in range(0, len(data), CHUNK_BYTES):
            if self.silent and start:
                await asyncio.Event().wait()
            async with self._link:
                await asyncio.sleep(CHUNK_BYTES / self._bytes_per_s)
                writer.write(data[start : start + CHUNK_BYTES])
                await writer.drain()


@contextlib.asynccontextmanager
async def serving(
    bytes_per_s: float = BYTES_PER_S,
) -> AsyncIterator[tuple[NarrowStore, stores.Store]]:
    """Run a narrow store and return it with a client of it."""
    narrow = NarrowStore(bytes_per_s)
    connections: set[asyncio.Task[None]] = set()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        connections.add(task)
        try:
            await narrow.serve(reader, writer)
        finally:
            writer.close()

    listener = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    client = http_client.HttpClient()
    try:
        yield narrow, stores.Store(client, f'127.0.0.1:{port}')
    finally:
        client.close()
        listener.close()
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)


class ConcurrentReads(row_store.MemoryRowStore):
    """Store that counts the reads in progress."""

    def __init__(self) -> None:
        super().__init__()
        self._active = 0
        self.most = 0

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        self._active += 1
        self.most = max(self.most, self._active)
        await asyncio.sleep(0)
        self._active -= 1
        return await super().read(table, first, end, part)


class Registry:
    """Registry of a store without workers."""

    workers_table = 'workers'


class TestNarrowLinks:
    """Guards against a term that goes round because no holder can load."""

    async def test_a_holder_loads_all_jobs_over_a_narrow_link(
        self,
    ) -> None:
        async with serving() as (narrow, store):
            context = worlds.make_context(store)
            context.registry = Registry()  # type: ignore[assignment]
            context.strength = terms.strength(2.0, 5.0)
            term = terms.Term(model.VmId('vm'), 'life', 'address')
            record = records.TermRecord(1, model.VmId('vm'), 'life', 'address')
            term.record_write(clock.now(), record, 0)
            holder = holders.Holder(
                context,
                term,
                worlds.make_configuration(),
                lambda identity, one: None,
            )
            async with asyncio.timeout(TIMEOUT_S):
                await holder._load()
            jobs = holder.scheduler.jobs
            assert len(jobs.ended_by_id) == narrow.job_count

    @pytest.mark.parametrize(
        ('link_mbps', 'most'), [(2.0, 2), (5.0, 4), (100.0, 64)]
    )
    async def test_the_link_bounds_how_many_parts_are_read_at_once(
        self, link_mbps: float, most: int
    ) -> None:
        reads = ConcurrentReads()
        context = worlds.make_context(reads)
        context.registry = Registry()  # type: ignore[assignment]
        context.strength = terms.strength(2.0, link_mbps)
        holder = holders.Holder(
            context,
            terms.Term(model.VmId('vm'), 'life', 'address'),
            worlds.make_configuration(),
            lambda identity, one: None,
        )
        await holder._load()
        assert reads.most == most

    async def test_an_answer_may_take_long_while_it_goes_on(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(stores, 'CALL_TIMEOUT_S', 0.5)
        async with serving(SLOW_BYTES_PER_S) as (_, store):
            part = records.all_job_parts()[0]
            page = await store.read(records.JOBS_TABLE, part=part)
            assert page.rows

    async def test_an_answer_that_goes_on_too_long_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(stores, 'MAX_READ_S', 0.95)
        async with serving(SLOW_BYTES_PER_S) as (_, store):
            part = records.all_job_parts()[0]
            with pytest.raises(errors.StoreUnavailable):
                await store.read(records.JOBS_TABLE, part=part)

    async def test_a_single_row_is_not_waited_for_any_longer(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(stores, 'CALL_TIMEOUT_S', 0.5)
        async with serving(SLOW_BYTES_PER_S) as (_, store):
            part = records.all_job_parts()[0]
            with pytest.raises(errors.StoreUnavailable):
                await store.read(records.JOBS_TABLE, 'key', 'key~', part)

    async def test_an_answer_that_stops_midway_is_given_up(self) -> None:
        async with serving() as (narrow, store):
            narrow.silent = True
            part = records.all_job_parts()[0]
            with pytest.raises(errors.StoreUnavailable):
                async with asyncio.timeout(TIMEOUT_S):
                    await store.read(records.JOBS_TABLE, part=part)
