"""Page and plots from the results of benchmarks: ``scripts/measure report``.

Only what is in the result files is reported.  A figure ``x`` of a summary is
judged by the fields ``x_bound`` and ``x_met`` beside it.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib

import msgspec

from samphirestack_bench import plots
from samphirestack_bench import records

PAGE = 'measurements.md'
PLOTS = 'plots'
BOUND = '_bound'
CAUSES = {
    'leader_kb_per_s': 'Two fifths of it go to the agents of the arbiters and '
    'other workers, a quarter to peers and a sixth to upstreams; '
    'docs/CAPACITY.md names what has to change.',
    'pause_leader_urgent_wait_max_s': 'Calls that were sent to the paused '
    'entry itself hang until it wakes up: the load balancer needs about 1 s '
    'to notice, and these callers wait for their answer. Calls through the '
    'other entries of the zone start as designed.',
    'core_3_zones_error_max': 'Use in other zones is known a second late; '
    'the error is that of a team with 3.76 of 64 slots in a zone, in a few '
    'windows.',
    'fifo_error_max': 'A baseline: it serves teams in order of arrival.',
    'static_error_max': 'A baseline: shares are rounded to whole slots.',
}
"""Why figures miss their bound, as traces have shown."""
MET = '_met'
HIDDEN = ('summary', 'benchmark', 'seed', 'quick')
INTRODUCTION = """# Measurements

This page is written by `scripts/measure report` from `results/*.jsonl`. All
processes run on one shared machine over loopback, so times include its other
load. A figure without a bound has no stated target.
"""


class Result(msgspec.Struct, frozen=True):
    """The records of one result file."""

    name: str
    seed: int
    quick: bool
    lines: list[records.Record]

    @property
    def summary(self) -> records.Record:
        """The last record."""
        return self.lines[-1]

    @property
    def command(self) -> str:
        """The command that made the result."""
        command = f'scripts/measure {self.name} --seed {self.seed}'
        return command + ' --quick' if self.quick else command


class Figure(msgspec.Struct, frozen=True):
    """A figure of a summary with its bound."""

    name: str
    value: records.Value
    bound: records.Value = None
    met: records.Value = None


def read(directory: pathlib.Path) -> list[Result]:
    """Return the complete results in a directory, by name and seed."""
    found = []
    for path in sorted(directory.glob('*.jsonl')):
        name, _, seed = path.stem.rpartition('-')
        lines = [
            msgspec.json.decode(line)
            for line in path.read_bytes().splitlines()
        ]
        if lines and lines[-1].get('summary'):
            quick = bool(lines[-1].get('quick'))
            found.append(Result(name, int(seed), quick, lines))
    return found


def figures(summary: records.Record) -> list[Figure]:
    """Return the figures of a summary."""
    return [
        Figure(name, value, summary.get(name + BOUND), summary.get(name + MET))
        for name, value in summary.items()
        if name not in HIDDEN and not name.endswith((BOUND, MET))
    ]


def write(results: Iterable[Result], docs: pathlib.Path) -> Iterator[str]:
    """Write the page and the plots; yield the path of each file."""
    directory = docs / PLOTS
    directory.mkdir(parents=True, exist_ok=True)
    sections = [INTRODUCTION]
    for result in results:
        section = section_of(result)
        draw = plots.BY_BENCHMARK.get(result.name)
        if draw is not None:
            path = directory / f'{result.name}-{result.seed}.png'
            draw(result.lines, path)
            section += f'\n![{result.name}]({PLOTS}/{path.name})\n'
            yield str(path)
        sections.append(section)
    page = docs / PAGE
    page.write_text('\n'.join(sections))
    yield str(page)


def section_of(result: Result) -> str:
    """Return the part of the page about one result."""
    description = records.find(result.name).DESCRIPTION
    lines = [
        f'## {result.name}, seed {result.seed}',
        '',
        f'{description[0].upper()}{description[1:]}: `{result.command}`.',
        '',
        '| figure | value | bound | met |',
        '|---|---|---|---|',
    ]
    for figure in figures(result.summary):
        lines.append(
            f'| `{figure.name}` | {_text(figure.value)} '
            f'| {_text(figure.bound)} | {_verdict(figure.met)} |'
        )
    for figure in figures(result.summary):
        if figure.met is False and figure.name in CAUSES:
            lines += ['', f'`{figure.name}`: {CAUSES[figure.name]}']
    return '\n'.join(lines) + '\n'


def _text(value: records.Value) -> str:
    if value is None:
        return '-'
    if value in ({}, []):
        return 'none'
    if isinstance(value, dict):
        return ', '.join(f'{key} {_text(item)}' for key, item in value.items())
    if isinstance(value, list):
        return ', '.join(_text(item) for item in value)
    return str(value)


def _verdict(met: records.Value) -> str:
    if met is None:
        return '-'
    return 'yes' if met else '**no**'
