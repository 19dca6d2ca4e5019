"""Differences between two configurations."""

from collections.abc import Sequence

import msgspec

from samphirestack import configuration
from samphirestack_client import output as outputs

COLLECTIONS = (
    'profiles_by_id',
    'services_by_id',
    'queues_by_id',
    'teams_by_id',
    'keys_by_id',
    'zones_by_id',
    'members_by_id',
)


class Difference(msgspec.Struct, frozen=True):
    """A field that differs; an object that is new or gone has no field."""

    kind: str
    name: str
    field: str
    before: object
    after: object


def between(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Difference]:
    """Return what ``after`` changes, ordered by kind, name and field."""
    found: list[Difference] = []
    for collection in COLLECTIONS:
        kind = collection.removesuffix('s_by_id')
        old = getattr(before, collection)
        new = getattr(after, collection)
        for name in sorted(old.keys() | new.keys()):
            found += _of_object(kind, name, old.get(name), new.get(name))
    return found


def _of_object(
    kind: str,
    name: str,
    old: msgspec.Struct | None,
    new: msgspec.Struct | None,
) -> list[Difference]:
    if old is None or new is None:
        return [Difference(kind, name, '', old, new)]
    return [
        Difference(kind, name, field, getattr(old, field), getattr(new, field))
        for field in new.__struct_fields__
        if getattr(old, field) != getattr(new, field)
    ]


def show(found: Sequence[Difference], output: outputs.Output) -> None:
    """Print differences."""
    if not found and not output.as_json:
        return
    output.rows(
        ('', 'object', 'name', 'field', 'before', 'after'),
        [
            (
                _sign(one),
                one.kind,
                one.name,
                one.field,
                one.before,
                one.after,
            )
            for one in found
        ],
        found,
    )


def _sign(one: Difference) -> str:
    if one.field:
        return '~'
    return '+' if one.before is None else '-'
