"""What commands print: tables for people, JSON for programs."""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import sys

import msgspec
from rich import console
from rich import table

from samphirestack_client import failures

NONE = '–'  # noqa: RUF001


class Output:
    """Prints results as tables or as JSON.

    :param as_json: whether programs read the output.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._console = console.Console(highlight=False)

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
        shown = table.Table(*columns, box=None, pad_edge=False)
        for row in rows:
            shown.add_row(*(cell(value) for value in row))
        self._console.print(shown)

    def fields(self, value: msgspec.Struct) -> None:
        """Print one record, a field a line."""
        names = value.__struct_fields__
        self.rows(
            ('field', 'value'),
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


def cell(value: object) -> str:
    """Return a value as the text of a table cell."""
    if value is None or value == '' or value == ():
        return NONE
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, float):
        return f'{value:g}'
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
