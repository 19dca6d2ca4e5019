"""Writes the pages of the documentation that follow from the code.

Run by ``scripts/docs``.  A test compares the pages with what the functions
here return, so a changed setting or metric needs a new run.
"""

import ast
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import inspect
import json
import pathlib

import msgspec

from samphirestack import settings
from samphirestack_testing import alerts
from samphirestackd import metrics

CONFIGURATION_PAGE = 'configuration.md'
METRICS_PAGE = 'metrics.md'
NOTE = '<!-- Written by scripts/docs; change the code, then run it. -->'
REQUIRED = 'required'
COUNT = 'count'
NONE = '–'  # noqa: RUF001
UNITS = {'seconds': 's', 'bytes': 'bytes'}
"""Unit by the part of a metric's name that says it."""


def main() -> None:
    """Write both pages into the folder ``docs``."""
    for name, content in pages().items():
        path = pathlib.Path('docs') / name
        path.write_text(content)
        print(f'{path} was written')


def pages() -> dict[str, str]:
    """Return the content of each generated page by its file name."""
    return {
        CONFIGURATION_PAGE: configuration_page(),
        METRICS_PAGE: metrics_page(),
    }


def configuration_page() -> str:
    """Return the page on the settings of the daemon."""
    docstrings = _field_docstrings()
    lines = [
        '# Settings of the daemon',
        '',
        NOTE,
        '',
        'One TOML file for each daemon. `samphirestackd check FILE` reports '
        'a missing or unknown key, or a value that can not be used.',
    ]
    for table in msgspec.structs.fields(settings.Settings):
        lines += _section(table, docstrings)
    return '\n'.join(lines) + '\n'


def _section(
    table: msgspec.structs.FieldInfo, docstrings: dict[tuple[str, str], str]
) -> Iterator[str]:
    kind = table.type
    yield from ('', f'## [{table.encode_name}]', '')
    yield from (_markdown(inspect.getdoc(kind) or ''), '')
    rows = [
        (
            f'`{field.encode_name}`',
            _type_name(field.type),
            _default(field),
            _markdown(docstrings[kind.__name__, field.name]),
        )
        for field in msgspec.structs.fields(kind)
    ]
    yield from _table(('key', 'type', 'default', 'meaning'), rows)


def _field_docstrings() -> dict[tuple[str, str], str]:
    """Return the docstring below each field by class and field.

    Python keeps no docstrings of fields, so they are read from the source.
    """
    found = {}
    tree = ast.parse(inspect.getsource(settings))
    for node in tree.body:
        if not isinstance(node, ast.ClassDef):
            continue
        for field, text in zip(node.body, node.body[1:], strict=False):
            match field, text:
                case (
                    ast.AnnAssign(target=ast.Name(id=name)),
                    ast.Expr(value=ast.Constant(value=str(docstring))),
                ):
                    found[node.name, name] = inspect.cleandoc(docstring)
    return found


def _markdown(docstring: str) -> str:
    """Return the text of a docstring with code marked as in Markdown."""
    return docstring.replace('``', '`')


def _type_name(kind: object) -> str:
    if kind == tuple[str, ...]:
        return 'list of strings'
    names = {str: 'string', int: 'integer', float: 'number', bool: 'boolean'}
    return names[kind] if isinstance(kind, type) else str(kind)


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return REQUIRED
    return f'`{json.dumps(field.default)}`'


def metrics_page() -> str:
    """Return the page on the metrics and the suggested alerts."""
    rows = [
        (
            f'`{metric.name}`',
            metric.kind.value,
            unit_of(metric),
            ', '.join(f'`{label}`' for label in metric.labels),
            metric.help,
        )
        for metric in metrics.METRICS
    ]
    lines = [
        '# Metrics',
        '',
        NOTE,
        '',
        "Each node serves its metrics at `/metrics` of the operators' "
        'address, with the operator token. A label keeps at most '
        f'{metrics.MAX_LABEL_VALUES} values; further ones count as '
        f'`{metrics.OTHER}`.',
        '',
        *_table(('name', 'type', 'unit', 'labels', 'meaning'), rows),
        '',
        '## Suggested alerts',
        '',
        'One for each promise in section 1 of the [design](design.md).',
    ]
    for number, alert in enumerate(alerts.ALERTS, start=1):
        lines += _alert_section(number, alert)
    return '\n'.join(lines) + '\n'


def unit_of(metric: metrics.Metric) -> str:
    """Return the unit that the name of a metric states."""
    stem = metric.name.removesuffix('_total')
    for ending, unit in UNITS.items():
        if stem.endswith(f'_{ending}'):
            return unit
    return COUNT if metric.kind is metrics.Kind.COUNTER else NONE


def _alert_section(number: int, alert: alerts.Alert) -> Iterator[str]:
    yield from ('', f'{number}. **{alert.promise}.** {alert.reason}')
    if alert.expression:
        yield from ('', '       ' + alert.expression)
        yield from ('', f'   Fires after {alert.hold}.')


def _table(
    columns: Sequence[str], rows: Iterable[Sequence[str]]
) -> Iterator[str]:
    yield _row(columns)
    yield _row(['---'] * len(columns))
    for row in rows:
        yield _row([cell.replace('\n', ' ') or NONE for cell in row])


def _row(cells: Sequence[str]) -> str:
    return '| ' + ' | '.join(cells) + ' |'


if __name__ == '__main__':
    main()
