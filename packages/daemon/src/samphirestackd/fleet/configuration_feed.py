"""Feed of the operator's configuration and its age."""

import asyncio
from collections.abc import Callable

from samphirestack import errors
from samphirestack.fleet import evacuation
from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack.fleet import upkeep
from samphirestack import model
from samphirestackd.fleet import clock
from samphirestackd.fleet import node_context
from samphirestackd.fleet import table_reader
from samphirestackd import logs

FEED_WAIT_S = 1.0
"""Longest wait of a feed call.  Each answer, even an empty one, confirms that
the configuration is current."""

RETRY_AFTER_S = 0.15
REREAD_INTERVAL_S = 4.0
"""Interval of full reads: the feed can miss changes for a while when the
store drops its history."""


class ConfigurationFeed:
    """Follows the configuration, the upkeep waves and the evacuations.

    :param evacuation_s: bound of ``evacuation.Evacuations``.
    """

    def __init__(
        self,
        store: ports.RowStore,
        registry: node_context.Registry,
        evacuation_s: float = float('inf'),
    ) -> None:
        self._store = store
        self._registry = registry
        self.configuration: specs.FleetConfiguration | None = None
        self.waves_by_number: dict[int, upkeep.ReceivedWave] = {}
        self.evacuations = evacuation.Evacuations(evacuation_s)
        self._newest_version = 0
        """Highest version of a row that was read."""
        self._extra_read: asyncio.Task[None] | None = None
        self.answered_at = float('-inf')
        """Time of the last answer of the store."""
        self.on_store_recovered: Callable[[], None] = lambda: None
        """Called when the store answers again after a failure."""
        self.confirmed_at = float('-inf')
        """When the last request was sent whose answer confirmed the
        configuration."""

    def age(self, now: float) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return now - self.confirmed_at

    def request_read(self) -> None:
        """Read the table now, beside the feed, unless such a read is going on.

        After an outage of the store, the feed may still wait for the answer
        to a call that was lost in it.
        """
        if self._extra_read is None or self._extra_read.done():
            self._extra_read = asyncio.create_task(self._read_beside_feed())

    async def _read_beside_feed(self) -> None:
        sent_at = clock.now()
        try:
            rows, version = await table_reader.read_table(
                self._store, self._registry.operator_table
            )
        except errors.PlatformError as error:
            logs.debug('operator.read_failed', reason=error.message)
            await asyncio.sleep(RETRY_AFTER_S)
            return
        self._apply_table(rows, version)
        self._confirm(sent_at)

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        try:
            await self._follow()
        finally:
            if self._extra_read is not None:
                self._extra_read.cancel()

    async def _follow(self) -> None:
        version: int | None = None
        read_at = float('-inf')
        failing = False
        while True:
            sent_at = clock.now()
            try:
                if version is None or sent_at - read_at > REREAD_INTERVAL_S:
                    rows, version = await table_reader.read_table(
                        self._store, self._registry.operator_table
                    )
                    read_at = sent_at
                    self._apply_table(rows, version)
                else:
                    # After a failure, the first call does not wait for
                    # changes, so that recovery is detected at once.
                    page = await self._store.feed(
                        self._registry.operator_table,
                        version,
                        0.0 if failing else FEED_WAIT_S,
                    )
                    if page is None:
                        self.answered_at = clock.now()
                        version = None
                        # The store may drop its history again and again.
                        await asyncio.sleep(RETRY_AFTER_S)
                        continue
                    self._apply(page.rows)
                    version = table_reader.next_feed_version(page, version)
                    if page.more:
                        self.answered_at = clock.now()
                        continue
            except errors.PlatformError as error:
                if not failing:
                    logs.warning('store.lost', reason=error.message)
                failing = True
                await asyncio.sleep(RETRY_AFTER_S)
                continue
            if failing:
                logs.info('store.regained')
                failing = False
                self.on_store_recovered()
            self._confirm(sent_at)

    def _confirm(self, sent_at: float) -> None:
        """Record that the answer to a request confirmed what is known."""
        self.answered_at = clock.now()
        self.confirmed_at = max(self.confirmed_at, sent_at)
        self.evacuations.confirmed_at = self.confirmed_at

    def _apply_table(self, rows: list[ports.StoredRow], version: int) -> None:
        """Apply all rows of the table.

        An evacuation without a row has ended while the feed missed changes.
        Rows that are older than what was read before tell nothing of
        evacuations.
        """
        known = self._newest_version
        if version < known:
            logs.warning('operator.outdated', version=version, known=known)
            self._apply(rows, is_outdated=True)
        else:
            self.evacuations.retain(self._apply(rows))

    def _apply(
        self, rows: list[ports.StoredRow], is_outdated: bool = False
    ) -> set[model.ZoneId]:
        """Apply changed rows; return the zones that they evacuate."""
        zones = set()
        for row in rows:
            self._newest_version = max(self._newest_version, row.version)
            try:
                zone = self._registry.evacuated_zone(row)
                if zone is None:
                    self._apply_row(row)
                elif is_outdated:
                    continue
                elif row.removed:
                    self.evacuations.end(zone)
                else:
                    self.evacuations.begin(clock.now(), zone)
                    zones.add(zone)
            except Exception as error:
                # The other rows, and the feed, go on.
                logs.unexpected('operator.bad_row', row.key, error)
        return zones

    def _apply_row(self, row: ports.StoredRow) -> None:
        if row.removed:
            return
        wave = self._registry.wave(row)
        if wave is not None:
            known = self.waves_by_number.get(wave.number)
            if known is None or known.wave != wave:
                self.waves_by_number[wave.number] = upkeep.ReceivedWave(
                    wave, clock.now()
                )
            return
        found = self._registry.configuration(row)
        if found is None:
            return
        current = self.configuration
        if current is None or found.version > current.version:
            self.configuration = found
            logs.info(
                'configuration.applied',
                version=found.version,
                queues=len(found.queues_by_id),
                customers=len(found.customers_by_id),
            )
