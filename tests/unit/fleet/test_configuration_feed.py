"""The configuration that an entry follows."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from samphirestack import errors
from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack.fleet import upkeep
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestack_testing import waiting
from samphirestackd.fleet import clock
from samphirestackd.fleet import configuration_feed

TIMEOUT_S = 10.0


class Registry:
    """Registry whose rows hold the version of a configuration."""

    operator_table = 'operator'
    workers_table = 'workers'

    def wave(self, row: ports.StoredRow) -> upkeep.Wave | None:
        del row

    def evacuated_zone(self, row: ports.StoredRow) -> model.ZoneId | None:
        zone = row.key.removeprefix('empty/')
        return None if zone == row.key else model.ZoneId(zone)

    def configuration(self, row: ports.StoredRow) -> specs.FleetConfiguration:
        queues = [worlds.make_queue()]
        return specs.FleetConfiguration(
            int(row.value), queues, [], [], {}, 10_000
        )


class ReplayingStore:
    """Store that answers with given versions, one after the other."""

    def __init__(self, versions: list[int]) -> None:
        self.versions = versions

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        del table, first, end, part
        version = self.versions.pop(0)
        row = ports.StoredRow('config', str(version).encode(), version, False)
        return ports.Page([row], version, False)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        del table, after, wait_s
        if not self.versions:
            await asyncio.Event().wait()
        return None


class TestVersions:
    """Guards against a withdrawn key that works again.

    A store that has dropped its history can answer with an old version.
    """

    async def test_an_older_version_is_not_applied(self) -> None:
        store = ReplayingStore([3, 7, 5])
        feed = configuration_feed.ConfigurationFeed(store, Registry())  # type: ignore[arg-type]
        running = asyncio.create_task(feed.run())
        try:
            await waiting.until(
                lambda: not store.versions, TIMEOUT_S, 'all answers'
            )
            await asyncio.sleep(0)
            assert feed.configuration is not None
            assert feed.configuration.version == 7
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class TestPages:
    """Guards against a configuration on a later page that is not applied."""

    async def test_the_configuration_on_the_last_page_is_applied(self) -> None:
        store = row_store.QuietRowStore()
        store.page_rows = 2
        puts = [
            ports.Put('operator', f'{number}', str(number).encode())
            for number in range(1, 8)
        ]
        await store.transact([], puts)
        feed = configuration_feed.ConfigurationFeed(store, Registry())  # type: ignore[arg-type]
        running = asyncio.create_task(feed.run())
        try:
            await waiting.until(
                lambda: feed.configuration is not None,
                TIMEOUT_S,
                'a configuration',
            )
            assert feed.configuration is not None
            assert feed.configuration.version == 7
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class WaveRegistry(Registry):
    """Registry whose rows hold the deadline of a wave."""

    def wave(self, row: ports.StoredRow) -> upkeep.Wave | None:
        return upkeep.Wave(1, ('m1',), float(row.value), 1)


class TestWaves:
    """Guards against a deadline that moves with each read of the wave."""

    def test_a_wave_keeps_the_time_of_its_receipt(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        feed = configuration_feed.ConfigurationFeed(
            row_store.MemoryRowStore(),
            WaveRegistry(),  # type: ignore[arg-type]
        )
        received = []
        for now, deadline in ((1.0, b'30'), (5.0, b'30'), (9.0, b'60')):
            monkeypatch.setattr(clock, 'now', lambda now=now: now)
            feed._apply([ports.StoredRow('wave/1', deadline, 1)])
            received.append(feed.waves_by_number[1].received_at)
        assert received == [1.0, 1.0, 9.0]


NORTH = model.ZoneId('north')
SOUTH = model.ZoneId('south')


@contextlib.asynccontextmanager
async def running_feed(
    store: ports.RowStore, evacuation_s: float = float('inf')
) -> AsyncIterator[configuration_feed.ConfigurationFeed]:
    feed = configuration_feed.ConfigurationFeed(
        store,
        Registry(),  # type: ignore[arg-type]
        evacuation_s,
    )
    running = asyncio.create_task(feed.run())
    try:
        yield feed
        # A feed that failed did so before the test ended it.
        assert not running.done()
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


class HangingFeedStore(row_store.MemoryRowStore):
    """Store whose feed never answers."""

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> ports.Page | None:
        del table, after, wait_s
        await asyncio.Event().wait()
        return None


class OutdatedStore(row_store.MemoryRowStore):
    """Store whose second read of the table is of its first version."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read(
        self, table: str, first: str = '', end: str = '', part: str = ''
    ) -> ports.Page:
        self.reads += 1
        if self.reads == 2:
            return ports.Page([ports.StoredRow('config', b'1', 1)], 1)
        return await super().read(table, first, end, part)


class TestEvacuations:
    """Guards against an evacuation that is missed or never ends."""

    def _feed(self) -> configuration_feed.ConfigurationFeed:
        return configuration_feed.ConfigurationFeed(
            row_store.MemoryRowStore(),
            Registry(),  # type: ignore[arg-type]
        )

    def test_a_request_holds_until_its_row_is_removed(self) -> None:
        feed = self._feed()
        feed._apply([ports.StoredRow('empty/north', b'\xff{', 1)])
        assert feed.evacuations.covers(NORTH)
        assert not feed.evacuations.covers(SOUTH)
        feed._apply([ports.StoredRow('empty/south', b'', 2)])
        feed._apply([ports.StoredRow('empty/north', b'', 3, True)])
        assert not feed.evacuations.covers(NORTH)
        assert feed.evacuations.covers(SOUTH)

    def test_a_request_that_is_removed_at_once_never_holds(self) -> None:
        feed = self._feed()
        feed._apply([ports.StoredRow('empty/north', b'', 2, True)])
        assert not feed.evacuations.covers(NORTH)

    def test_rows_of_other_writers_are_set_aside(self) -> None:
        feed = self._feed()
        feed._apply(
            [
                ports.StoredRow('strange', b'\xff\x00', 1),
                ports.StoredRow('empty', b'north', 2),
                ports.StoredRow('empty/north', b'', 3),
                ports.StoredRow('strange', b'', 4, True),
            ]
        )
        assert feed.evacuations.begun_at_by_zone.keys() == {NORTH}

    async def test_no_start_is_permitted_before_the_first_read(self) -> None:
        store = row_store.QuietRowStore()
        store.failure = errors.StoreUnavailable('down')
        async with running_feed(store, 5.0) as feed:
            assert not feed.evacuations.permits_starts(clock.now())
            store.failure = None
            await waiting.until(
                lambda: feed.evacuations.permits_starts(clock.now()),
                TIMEOUT_S,
                'a first read',
            )

    async def test_a_request_is_known_as_early_as_a_configuration(
        self,
    ) -> None:
        store = row_store.QuietRowStore()
        store.page_rows = 1
        puts = [
            ports.Put('operator', 'config', b'1'),
            ports.Put('operator', 'empty/north', b''),
        ]
        await store.transact([], puts)
        async with running_feed(store) as feed:
            await waiting.until(
                lambda: feed.configuration is not None,
                TIMEOUT_S,
                'a configuration',
            )
            assert feed.evacuations.covers(NORTH)

    async def test_a_row_that_is_removed_during_an_outage_ends_it(
        self,
    ) -> None:
        store = row_store.MemoryRowStore()
        puts = [
            ports.Put('operator', f'empty/{zone}', b'')
            for zone in (NORTH, SOUTH)
        ]
        await store.transact([], puts)
        async with running_feed(store) as feed:
            await waiting.until(
                lambda: feed.evacuations.covers(NORTH), TIMEOUT_S, 'a request'
            )
            store.failure = errors.StoreUnavailable('down')
            del store.rows_by_key['operator', '', 'empty/north']
            store.version += 1
            store.failure = None
            await waiting.until(
                lambda: not feed.evacuations.covers(NORTH),
                TIMEOUT_S,
                'the end of the request',
            )
            assert feed.evacuations.covers(SOUTH)

    async def test_an_old_read_ends_no_request(self) -> None:
        store = OutdatedStore()
        await store.transact([], [ports.Put('operator', 'config', b'1')])
        await store.transact([], [ports.Put('operator', 'empty/north', b'')])
        async with running_feed(store) as feed:
            covered = []

            def record() -> bool:
                if store.reads >= 1 and feed.configuration is not None:
                    covered.append(feed.evacuations.covers(NORTH))
                return store.reads >= 3

            await waiting.until(record, TIMEOUT_S, 'three reads')
            assert all(covered)

    def test_an_old_read_brings_no_request_back(self) -> None:
        feed = self._feed()
        old = [ports.StoredRow('empty/north', b'', 1)]
        feed._apply_table(old, 1)
        feed._apply([ports.StoredRow('empty/north', b'', 2, True)])
        feed._apply_table(old, 1)
        assert not feed.evacuations.covers(NORTH)
        feed._apply_table(old, 3)
        assert feed.evacuations.covers(NORTH)

    async def test_a_read_beside_the_feed_does_not_wait_for_it(self) -> None:
        store = HangingFeedStore()
        await store.transact([], [ports.Put('operator', 'config', b'1')])
        async with running_feed(store, 5.0) as feed:
            await waiting.until(
                lambda: feed.configuration is not None, TIMEOUT_S, 'a read'
            )
            confirmed_at = feed.confirmed_at
            row = ports.Put('operator', 'empty/north', b'')
            await store.transact([], [row])
            store.failure = errors.StoreUnavailable('down')
            feed.request_read()
            await asyncio.sleep(0)
            store.failure = None

            def is_read() -> bool:
                feed.request_read()
                return feed.evacuations.covers(NORTH)

            await waiting.until(is_read, TIMEOUT_S, 'the request')
            assert feed.evacuations.confirmed_at > confirmed_at
