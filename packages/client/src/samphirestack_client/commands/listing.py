"""Lists of configuration objects of one kind."""

from samphirestack_client import api as apis
from samphirestack_client import options


async def show(collection: str, common: options.Common) -> None:
    """Print all objects in a collection of the configuration."""
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
    found = list(getattr(current, collection).values())
    columns = found[0].__struct_fields__ if found else ('name',)
    rows = [[getattr(item, name) for name in columns] for item in found]
    common.output.rows(columns, rows, found)
