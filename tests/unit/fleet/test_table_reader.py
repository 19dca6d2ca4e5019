"""Reads of whole tables and of feeds in pages."""

import pytest

from samphirestack import errors
from samphirestack.fleet import ports
from samphirestack_testing import row_store
from samphirestackd.fleet import table_reader


def make_page(versions: list[int], more: bool) -> ports.Page:
    rows = [ports.StoredRow('k', b'', version) for version in versions]
    return ports.Page(rows, 90, more)


class StuckStore(row_store.MemoryRowStore):
    """Store whose pages are empty and never the last."""

    async def read(self, *arguments: object, **more: object) -> ports.Page:
        return ports.Page([], 1, True)


class TestTables:
    """Guards against a first page that is taken for the whole table."""

    async def test_all_pages_are_read(self) -> None:
        store = row_store.MemoryRowStore()
        store.page_rows = 3
        puts = [ports.Put('t', f'{number:02}', b'') for number in range(10)]
        await store.transact([], puts)
        rows, version = await table_reader.read_table(store, 't')
        assert [row.key for row in rows] == [put.key for put in puts]
        assert version == 1

    async def test_pages_without_progress_are_no_answer(self) -> None:
        with pytest.raises(errors.StoreUnavailable):
            await table_reader.read_table(StuckStore(), 't')


class TestFeeds:
    """Guards against changes on a later page that are skipped."""

    def test_a_complete_page_continues_at_its_version(self) -> None:
        page = make_page([5, 7], more=False)
        assert table_reader.next_feed_version(page, 4) == 90

    def test_an_incomplete_page_continues_in_its_last_transaction(
        self,
    ) -> None:
        page = make_page([5, 7, 7], more=True)
        assert table_reader.next_feed_version(page, 4) == 6

    def test_a_page_of_one_transaction_is_not_read_for_ever(self) -> None:
        page = make_page([7, 7], more=True)
        assert table_reader.next_feed_version(page, 6) == 7
