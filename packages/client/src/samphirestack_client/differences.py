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
    """A changed field, or an added or removed object.

    ``field`` is empty for an added or removed object.
    """

    kind: str
    name: str
    field: str
    before: object
    after: object


def between(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Difference]:
    """Return the differences of ``after``, ordered by kind, name and field."""
    found: list[Difference] = []
    for collection in COLLECTIONS:
        kind = collection.removesuffix('s_by_id')
        old = getattr(before, collection)
        new = getattr(after, collection)
        for name in sorted(old.keys() | new.keys()):
            found += _compare_objects(kind, name, old.get(name), new.get(name))
    return found


def _compare_objects(
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
    """Print differences; print nothing if a table would be empty."""
    if not found and not output.as_json:
        return
    output.rows(
        ('', 'object', 'name', 'field', 'before', 'after'),
        [
            (
                _sign(difference),
                difference.kind,
                difference.name,
                difference.field,
                difference.before,
                difference.after,
            )
            for difference in found
        ],
        found,
    )


def _sign(difference: Difference) -> str:
    if difference.field:
        return '~'
    return '+' if difference.before is None else '-'
