"""Records that benchmarks print as JSON lines."""

from collections.abc import Iterator
import importlib
import pkgutil
import statistics
from typing import cast
from typing import Protocol

import msgspec

from samphirestack_bench import benchmarks

Value = str | int | float | bool | None | list[float] | dict[str, float]
Record = dict[str, Value]
"""One printed line: names of figures, with their unit, to values."""


class Options(msgspec.Struct, frozen=True):
    """What the command line says about a run."""

    seed: int = 1
    scenario: str | None = None
    """Path of a scenario file for benchmarks with real processes."""
    quick: bool = False
    """Smaller sizes and fewer repetitions, for tests of the benchmarks."""


class Benchmark(Protocol):
    """Interface of the modules in :mod:`samphirestack_bench.benchmarks`."""

    DESCRIPTION: str

    def run(self, options: Options) -> Iterator[Record]:
        """Yield records, the summary last."""


def names() -> list[str]:
    """Return the names of all benchmarks."""
    return sorted(
        module.name for module in pkgutil.iter_modules(benchmarks.__path__)
    )


def find(name: str) -> Benchmark:
    """Return the benchmark called ``name``.

    :raises LookupError: there is none.
    """
    if name not in names():
        raise LookupError(
            f'benchmark {name!r} does not exist; use one of '
            + ', '.join(names())
        )
    module = importlib.import_module(f'{benchmarks.__name__}.{name}')
    return cast(Benchmark, module)


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of non-empty ``values``."""
    ordered = sorted(values)
    rank = round(percent / 100 * (len(ordered) - 1))
    return ordered[rank]


def median(values: list[float]) -> float:
    """Return the median of non-empty ``values``."""
    return statistics.median(values)


def figure(record: Record, name: str) -> float:
    """Return a figure of a record.

    :raises TypeError: it is not a number.
    """
    value = record[name]
    if not isinstance(value, int | float):
        raise TypeError(f'{name} is {value!r}, but must be a number')
    return float(value)


def require_at_most(record: Record, name: str, bound: float) -> None:
    """Add the upper bound of a figure, and whether it is met."""
    record[f'{name}_bound'] = bound
    record[f'{name}_met'] = figure(record, name) <= bound


def require_at_least(record: Record, name: str, bound: float) -> None:
    """Add the lower bound of a figure, and whether it is met."""
    record[f'{name}_bound'] = bound
    record[f'{name}_met'] = figure(record, name) >= bound
