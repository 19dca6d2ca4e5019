"""The configuration that an entry follows."""

import asyncio

import pytest

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
