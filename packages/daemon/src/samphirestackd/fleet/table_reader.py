"""Reads of whole tables, which the store returns in pages."""

from samphirestack import errors
from samphirestack.fleet import ports


async def read_page(
    store: ports.RowStore, table: str, first: str, part: str = ''
) -> ports.Page:
    """Return the page of a table that begins at a key.

    :raises errors.PlatformError: no answer, or one that makes no progress.
    """
    page = await store.read(table, first, part=part)
    if page.more and (not page.rows or page.rows[-1].key < first):
        raise errors.StoreUnavailable(
            f'a page of {table} from {first!r} has more to come and no rows'
        )
    return page


async def read_table(
    store: ports.RowStore, table: str, part: str = ''
) -> tuple[list[ports.StoredRow], int]:
    """Return all rows of a part and the version that all of them reflect.

    Rows on later pages may reflect a newer version.

    :raises errors.PlatformError: no answer.
    """
    page = await read_page(store, table, '', part)
    rows = list(page.rows)
    version = page.version
    while page.more:
        page = await read_page(store, table, following_key(page), part)
        rows.extend(page.rows)
    return rows, version


def following_key(page: ports.Page) -> str:
    """Return the key from which the page after this one is read."""
    return page.rows[-1].key + '\x00'


def next_feed_version(page: ports.Page, after: int) -> int:
    """Return the version after which to continue a feed.

    An incomplete page may end in the middle of a transaction, whose rows have
    one version; it is then read again from its start.

    :param after: version after which the page was read.
    """
    if not page.more or not page.rows:
        return page.version
    last = page.rows[-1].version
    return last - 1 if last - 1 > after else last
