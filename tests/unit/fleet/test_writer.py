"""Transactions of the holder of the term."""

import asyncio
from collections.abc import Sequence

from samphirestack.fleet import job_tracker
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import term as terms
from samphirestack import model
from samphirestack_testing import fleet_world as worlds
from samphirestack_testing import row_store
from samphirestackd.fleet import clock
from samphirestackd.fleet import writer as writers

TIMEOUT_S = 10.0
TRANSACTION_ENTRIES = 100
"""Limit of the platform's store."""


class CountingStore(row_store.MemoryRowStore):
    """Store that records the number of entries of each transaction."""

    def __init__(self) -> None:
        super().__init__()
        self.entry_counts: list[int] = []

    async def transact(
        self,
        conditions: Sequence[ports.Condition],
        puts: Sequence[ports.Put],
        removals: Sequence[ports.Removal] = (),
        part: str = '',
    ) -> int:
        self.entry_counts.append(len(conditions) + len(puts) + len(removals))
        return await super().transact(conditions, puts, removals, part)


class TestTransactionSize:
    """Guards against a write that the store refuses over and over."""

    async def test_many_waves_beside_many_jobs_fit(self) -> None:
        store = CountingStore()
        world = worlds.World([])
        for number in range(job_tracker.MAX_ENTRIES):
            job_id = model.JobId(f'{number:016x}')
            world.scheduler.jobs.delete_progress(job_id)
        term = terms.Term(model.VmId('vm'), 'life', 'address')
        record = records.TermRecord(1, model.VmId('vm'), 'life', 'address')
        put = ports.Put(
            records.TERM_TABLE, records.TERM_KEY, records.encode(record)
        )
        version = await store.transact([], [put])
        term.record_write(clock.now(), record, version)
        writer = writers.TermWriter(
            worlds.make_context(store),
            term,
            world.scheduler,
            lambda changes: None,
        )
        stored = writer.store(
            [ports.Put('upkeep', str(number), b'') for number in range(20)]
        )
        running = asyncio.create_task(writer.run())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await stored.wait()
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        rows = [
            key for table, _, key in store.rows_by_key if table == 'upkeep'
        ]
        assert len(rows) == 20
        assert max(store.entry_counts) <= TRANSACTION_ENTRIES
