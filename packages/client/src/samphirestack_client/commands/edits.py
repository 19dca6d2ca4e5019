"""Changes of single objects, based on their current fields."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec

from samphirestack import configuration
from samphirestack_client import api as apis
from samphirestack_client import changes
from samphirestack_client import failures
from samphirestack_client import options

_T = TypeVar('_T', bound=msgspec.Struct)


async def put(
    name: str,
    collection: str,
    new: Callable[[], _T],
    wrap: Callable[[_T], configuration.Change],
    fields: dict[str, Any],
    change: options.ChangeOptions,
    common: options.Common,
    clear: tuple[str, ...] = (),
) -> None:
    """Create an object or replace the given fields of it.

    :param new: returns the object to create if none has the name.
    :param wrap: returns the change that puts the object.
    :param fields: new value by field; ``None`` keeps the current one.
    :param clear: fields that become ``None``.
    """
    async with common.connect() as api:
        current = await apis.fetch_configuration(api)
        before = getattr(current, collection).get(name)
        given = {key: val for key, val in fields.items() if val is not None}
        base = new() if before is None else before
        given |= dict.fromkeys(clear)
        value = msgspec.structs.replace(base, **given)
        wanted = [] if value == before else [wrap(value)]
        report = await changes.send(api, current, wanted, change)
    changes.show(report, common)


def required(value: str | None, option: str, name: str) -> str:
    """Return the value of an option that a new object requires.

    :raises failures.WrongUsage: it is missing.
    """
    if value is None:
        raise failures.WrongUsage(
            f'{name!r} does not exist, and creating it requires {option}',
            f'Add {option}, or correct the name.',
        )
    return value
