"""Command line of the benchmarks: ``scripts/measure``."""

import importlib
import pathlib
import sys
from typing import Annotated

import cyclopts
import msgspec

from samphirestack_bench import records

EXIT_WRONG_USAGE = 2
RESULTS = pathlib.Path('results')
DOCS = pathlib.Path('docs')
REPORT = 'report'

app = cyclopts.App(
    name='measure',
    help='Run one benchmark and print JSON lines, the summary last.',
)


@app.default
def measure(
    name: str | None = None,
    *,
    seed: int = 1,
    scenario: str | None = None,
    quick: bool = False,
    list_names: Annotated[bool, cyclopts.Parameter(name='--list')] = False,
) -> int:
    """Run the benchmark NAME.

    Parameters
    ----------
    name:
        Name of the benchmark, or ``report`` to write the page of
        measurements from the results.
    seed:
        Seed of all random numbers.
    scenario:
        Scenario file for benchmarks with real processes.
    quick:
        Use smaller sizes.
    list_names:
        Print the names of all benchmarks and what they measure.
    """
    if list_names or name is None:
        for known in records.names():
            print(f'{known:12} {records.find(known).DESCRIPTION}')
        print(f'{REPORT:12} page and plots from the results')
        return 0 if list_names else EXIT_WRONG_USAGE
    if name == REPORT:
        _report()
        return 0
    try:
        benchmark = records.find(name)
    except LookupError as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG_USAGE
    options = records.Options(seed=seed, scenario=scenario, quick=quick)
    _print_and_keep(name, options, benchmark)
    return 0


def _print_and_keep(
    name: str, options: records.Options, benchmark: records.Benchmark
) -> None:
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}-{options.seed}.jsonl'
    with path.open('wb') as file:
        for record in benchmark.run(options):
            if options.quick:
                record['quick'] = True
            line = msgspec.json.encode({'benchmark': name, **record})
            file.write(line + b'\n')
            print(line.decode(), flush=True)


def _report() -> None:
    # Plotting libraries take time and memory that benchmarks don't need.
    report = importlib.import_module('samphirestack_bench.report')
    for path in report.write(report.read(RESULTS), DOCS):
        print(path)


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == '__main__':
    main()
