"""Plots of benchmark results as PNG files."""

from collections.abc import Callable
from collections.abc import Sequence
import pathlib

from matplotlib import axes
from matplotlib import figure as figures
import msgspec

from samphirestack_bench import clusters
from samphirestack_bench import records

Draw = Callable[[list[records.Record], pathlib.Path], None]
SIZE_IN = (10.0, 4.5)
TALL_IN = (11.0, 7.5)
DPI = 110
COLUMNS = 3
SHARE_TOP_PERCENT = 65
"""Leaves room for the legend above the lines."""
MILLISECOND = 0.001


class WaitRow(msgspec.Struct, frozen=True):
    """What is plotted of a record of ``waiting``."""

    load: float
    kind: str = msgspec.field(name='class')
    quantiles_s: list[float] = []


class ShareRow(msgspec.Struct, frozen=True):
    """What is plotted of a record of ``share``."""

    by: str
    of_seed: int
    begin_s: float
    entitled_s: dict[str, float]
    received_s: dict[str, float]


class RecoveryRow(msgspec.Struct, frozen=True):
    """What is plotted of a record of ``recovery``."""

    fault: str
    recovery_s: float
    urgent_wait_max_s: float


def waiting(lines: list[records.Record], path: pathlib.Path) -> None:
    """Plot the waiting times of both classes as distributions."""
    rows = msgspec.convert(lines[:-1], list[WaitRow])
    figure = figures.Figure(figsize=SIZE_IN, layout='constrained')
    panels = figure.subplots(1, 2, sharex=True, sharey=True)
    for panel, kind in zip(panels, ('urgent', 'patient'), strict=True):
        for row in rows:
            if row.kind == kind and row.quantiles_s:
                steps = len(row.quantiles_s) - 1
                parts = [100 * i / steps for i in range(steps + 1)]
                waits = [max(MILLISECOND, wait) for wait in row.quantiles_s]
                panel.step(
                    waits, parts, where='post', label=f'{row.load:.0%} load'
                )
        panel.axvline(clusters.URGENT_BOUND_S, color='black', ls='--', lw=0.8)
        panel.set(
            title=f'{kind} (dashed: bound of urgent work)',
            xscale='log',
            xlabel='wait until start (s)',
            ylabel='requests started (%)',
        )
        panel.grid(alpha=0.3)
        panel.legend(loc='lower right')
    figure.savefig(path, dpi=DPI)


def share(lines: list[records.Record], path: pathlib.Path) -> None:
    """Plot received slot time per team and window for the first seed."""
    rows = msgspec.convert(lines[:-1], list[ShareRow])
    seed = min(row.of_seed for row in rows)
    kinds = list(dict.fromkeys(row.by for row in rows))
    figure = figures.Figure(figsize=TALL_IN, layout='constrained')
    rows_of_panels = -(-len(kinds) // COLUMNS)
    panels = list(figure.subplots(rows_of_panels, COLUMNS, squeeze=False).flat)
    for panel in panels:
        panel.set_axis_off()
    for panel, kind in zip(panels, kinds, strict=False):
        chosen = [
            row for row in rows if row.by == kind and row.of_seed == seed
        ]
        panel.set_axis_on()
        _draw_teams(panel, chosen)
        panel.set(
            title=kind,
            xticks=[row.begin_s for row in chosen],
            xlabel='begin of 10 s window (s)',
            ylabel='slot time (%)',
            ylim=(0, SHARE_TOP_PERCENT),
        )
        panel.legend(fontsize='small', loc='upper center', ncols=COLUMNS)
    figure.suptitle('Received part of the slot time (dashed: entitled)')
    figure.savefig(path, dpi=DPI)


def _draw_teams(panel: axes.Axes, rows: Sequence[ShareRow]) -> None:
    begins = [row.begin_s for row in rows]
    for team in rows[0].entitled_s:
        totals = [sum(row.received_s.values()) for row in rows]
        received = [
            100 * row.received_s[team] / total
            for row, total in zip(rows, totals, strict=True)
        ]
        entitled = [
            100 * row.entitled_s[team] / total
            for row, total in zip(rows, totals, strict=True)
        ]
        (line,) = panel.plot(begins, received, marker='o', label=team)
        panel.plot(begins, entitled, ls='--', color=line.get_color(), lw=0.8)


def recovery(lines: list[records.Record], path: pathlib.Path) -> None:
    """Plot the time to normal service and the longest wait per fault."""
    rows = msgspec.convert(lines[:-1], list[RecoveryRow])
    figure = figures.Figure(figsize=SIZE_IN, layout='constrained')
    panel = figure.subplots()
    places = range(len(rows))
    height = 0.35
    panel.barh(
        [place - height / 2 for place in places],
        [row.recovery_s for row in rows],
        height,
        label='time to normal service',
    )
    panel.barh(
        [place + height / 2 for place in places],
        [row.urgent_wait_max_s for row in rows],
        height,
        label='longest urgent wait',
    )
    panel.axvline(
        clusters.URGENT_BOUND_S, color='black', ls='--', lw=0.8, label='2.4 s'
    )
    panel.set_yticks(list(places), [row.fault for row in rows])
    panel.invert_yaxis()
    panel.set(xlabel='seconds')
    panel.legend()
    figure.savefig(path, dpi=DPI)


BY_BENCHMARK: dict[str, Draw] = {
    'waiting': waiting,
    'share': share,
    'recovery': recovery,
}
