"""What commands print: tables for people, JSON for programs."""

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
"""Width of tables that do not go to a terminal."""

WALL_CLOCK_SUFFIX = '_at_s'
FIELD = 'field'
FIELD_COLUMNS = (FIELD, 'value')
"""Columns of a table that shows one record, a field a line."""

DECIMALS = 3
NONE = '–'  # noqa: RUF001


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
        shown = table.Table(box=None, pad_edge=False)
        for number, column in enumerate(columns):
            # The name in the first column is needed whole to be copied.
            shown.add_column(column, overflow='fold', no_wrap=number == 0)
        for row in rows:
            names = (FIELD, row[0]) if columns == FIELD_COLUMNS else columns
            pairs = zip(names, row, strict=True)
            shown.add_row(*(_cell_of(str(name), item) for name, item in pairs))
        self._console.print(shown)

    def fields(self, value: msgspec.Struct) -> None:
        """Print one record, a field a line."""
        names = value.__struct_fields__
        self.rows(
            FIELD_COLUMNS,
            [(name, getattr(value, name)) for name in names],
            value,
        )

    def text(self, line: str, data: object) -> None:
        """Print a sentence, or ``data`` as JSON."""
        if self.as_json:
            self.json(data)
        else:
            self._console.print(line, markup=False, soft_wrap=True)

    def json(self, data: object) -> None:
        """Print a value as indented JSON."""
        encoded = msgspec.json.encode(data)
        sys.stdout.write(msgspec.json.format(encoded, indent=2).decode())
        sys.stdout.write('\n')


def _cell_of(column: str, value: object) -> str:
    if column.endswith(WALL_CLOCK_SUFFIX) and isinstance(value, float):
        moment = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return moment.isoformat(' ', 'seconds')
    return cell(value)


def cell(value: object) -> str:
    """Return a value as the text of a table cell."""
    if value is None or value == '' or value == ():
        return NONE
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, float):
        return f'{round(value, DECIMALS):g}'
    if isinstance(value, dict):
        return ', '.join(f'{key}={cell(val)}' for key, val in value.items())
    if isinstance(value, list | tuple):
        return ', '.join(cell(item) for item in value)
    if isinstance(value, msgspec.Struct):
        return ', '.join(
            f'{name}={cell(getattr(value, name))}'
            for name in value.__struct_fields__
        )
    return str(value)


def print_failure(failure: failures.ClientFailure, as_json: bool) -> None:
    """Print a failure on the error stream."""
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
