"""Output of commands: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import enum
import sys

import msgspec
from rich import console
from rich import table

from samphirestack_client import failures

PIPE_COLUMNS = 200
"""Width of tables if standard output is not a terminal."""

WALL_CLOCK_SUFFIX = '_at_s'
FIELD = 'field'
FIELD_COLUMNS = (FIELD, 'value')
"""Columns of a table that shows one record with one field per row."""

DECIMALS = 3
EMPTY_CELL = '–'  # noqa: RUF001


class Output:
    """Prints results as tables or as JSON.

    :param as_json: whether programs read the output.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        width = None if sys.stdout.isatty() else PIPE_COLUMNS
        self._console = console.Console(highlight=False, width=width)

    def rows(
        self,
        columns: Sequence[str],
        rows: Iterable[Sequence[object]],
        data: object,
    ) -> None:
        """Print rows as a table, or ``data`` as JSON."""
        if self.as_json:
            self.json(data)
            return
        result_table = table.Table(box=None, pad_edge=False)
        for number, column in enumerate(columns):
            # Operators copy the name in the first column into other commands,
            # so it must not wrap.
            result_table.add_column(
                column, overflow='fold', no_wrap=number == 0
            )
        for row in rows:
            names = (FIELD, row[0]) if columns == FIELD_COLUMNS else columns
            pairs = zip(names, row, strict=True)
            result_table.add_row(
                *(_format_cell(str(name), item) for name, item in pairs)
            )
        self._console.print(result_table)

    def fields(self, value: msgspec.Struct) -> None:
        """Print one record with one field per row, or as JSON."""
        names = value.__struct_fields__
        self.rows(
            FIELD_COLUMNS,
            [(name, getattr(value, name)) for name in names],
            value,
        )

    def text(self, line: str, data: object) -> None:
        """Print a line of text, or ``data`` as JSON."""
        if self.as_json:
            self.json(data)
        else:
            self._console.print(line, markup=False, soft_wrap=True)

    def json(self, data: object) -> None:
        """Print a value as indented JSON."""
        encoded = msgspec.json.encode(data)
        sys.stdout.write(msgspec.json.format(encoded, indent=2).decode())
        sys.stdout.write('\n')


def _format_cell(column: str, value: object) -> str:
    if column.endswith(WALL_CLOCK_SUFFIX) and isinstance(value, float):
        moment = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return moment.isoformat(' ', 'seconds')
    return format_value(value)


def format_value(value: object) -> str:
    """Return a value as the text of a table cell."""
    if value is None or value == '' or value == ():
        return EMPTY_CELL
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, float):
        return f'{round(value, DECIMALS):g}'
    if isinstance(value, dict):
        return ', '.join(
            f'{key}={format_value(val)}' for key, val in value.items()
        )
    if isinstance(value, list | tuple):
        return ', '.join(format_value(item) for item in value)
    if isinstance(value, msgspec.Struct):
        return ', '.join(
            f'{name}={format_value(getattr(value, name))}'
            for name in value.__struct_fields__
        )
    return str(value)


def print_failure(failure: failures.ClientFailure, as_json: bool) -> None:
    """Print a failure to standard error."""
    if as_json:
        body = {
            'error': failure.message,
            'hint': failure.hint,
            'exit_code': int(failure.exit_code),
        }
        sys.stderr.write(msgspec.json.encode(body).decode() + '\n')
        return
    sys.stderr.write(f'error: {failure.message}\n')
    if failure.hint:
        sys.stderr.write(f'next:  {failure.hint}\n')
