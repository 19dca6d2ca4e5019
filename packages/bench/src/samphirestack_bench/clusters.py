"""Plans of small clusters of real processes, and figures of their runs."""

from collections.abc import Iterable
import pathlib
import tempfile
from typing import NamedTuple

import msgspec

from samphirestack_bench import records
from samphirestack_testing import ledger
from samphirestack_testing import oracle
from samphirestack_testing import scenario
from samphirestack_testing import trial

URGENT_BOUND_S = 2.4
"""Stated target: urgent work starts within this time."""
BASE = 'small'
UPSTREAMS_PER_ZONE = 4
URGENT_QUEUE = 'closure-notices'
PATIENT_QUEUE = 'reroute-plans'
NOT_BROKEN = (ledger.Outcome.ANSWERED, ledger.Outcome.REFUSED_NOT_RUN)


class Slot(msgspec.Struct, frozen=True):
    """Time that one request held a slot, in seconds."""

    team: str
    start: float
    end: float


class _Key(NamedTuple):
    place: str
    request: str


def base(options: records.Options, proxied: bool = False) -> scenario.Scenario:
    """Return a cluster of 3 zones without load.

    :param proxied: whether zones can be cut off.
    """
    if options.scenario:
        plan = scenario.load(options.scenario)
    else:
        plan = scenario.builtin(BASE)
    zones = tuple(
        msgspec.structs.replace(zone, upstreams=UPSTREAMS_PER_ZONE)
        for zone in plan.zones
    )
    return msgspec.structs.replace(
        plan,
        seed=options.seed,
        zones=zones,
        network=scenario.Network(proxied),
        arrivals=(),
        jobs=(),
        faults=(),
    )


def slots(plan: scenario.Scenario) -> int:
    """Return the number of slots of all upstreams."""
    return plan.upstreams.slots * sum(zone.upstreams for zone in plan.zones)


async def run(
    plan: scenario.Scenario, disturb: trial.Disturbance | None = None
) -> trial.Result:
    """Run the load and the faults of a plan in a temporary directory."""
    with tempfile.TemporaryDirectory() as directory:
        return await trial.run(plan, pathlib.Path(directory), disturb)


def first_starts(lines: Iterable[ledger.Line]) -> dict[str, float]:
    """Return the time of the first start at an upstream by call."""
    started: dict[str, float] = {}
    for line in lines:
        if line.call and line.event is ledger.Event.START:
            present = started.get(line.call, line.at_s)
            started[line.call] = min(present, line.at_s)
    return started


def waits(run_: oracle.Run, urgent: bool) -> list[float]:
    """Return the seconds from sending to the first start at an upstream.

    Calls that never started have no wait.
    """
    started = first_starts(run_.lines)
    return [
        started[call.call] - call.sent_at_s
        for call in run_.calls
        if call.urgent is urgent and call.call in started
    ]


def slot_times(lines: Iterable[ledger.Line]) -> list[Slot]:
    """Return when each request held a slot at an upstream."""
    opened: dict[_Key, float] = {}
    found = []
    for line in lines:
        if line.subject is not ledger.Subject.REQUEST:
            continue
        key = _Key(line.place, line.id)
        if line.event is ledger.Event.START:
            opened[key] = line.at_s
        elif line.event is ledger.Event.END and key in opened:
            found.append(Slot(line.team, opened.pop(key), line.at_s))
    return found


def distribution(values: list[float]) -> dict[str, float]:
    """Return p50, p99 and maximum, or nothing for no values."""
    if not values:
        return {}
    return {
        'p50': round(records.percentile(values, 50), 4),
        'p99': round(records.percentile(values, 99), 4),
        'max': round(max(values), 4),
    }


def broken(run_: oracle.Run, urgent: bool) -> int:
    """Return the calls neither answered nor refused as not run."""
    return sum(
        call.urgent is urgent and call.outcome not in NOT_BROKEN
        for call in run_.calls
    )


def refusals(run_: oracle.Run) -> dict[str, float]:
    """Return the number of calls not answered by outcome and code."""
    counted: dict[str, float] = {}
    for call in run_.calls:
        if call.outcome is not ledger.Outcome.ANSWERED:
            name = f'{call.outcome.value}/{call.code}'
            counted[name] = counted.get(name, 0) + 1
    return counted


def findings(result: trial.Result) -> dict[str, float]:
    """Return the number of the oracle's findings by kind."""
    counted: dict[str, float] = {}
    for finding in result.findings:
        kind = finding.kind.value
        counted[kind] = counted.get(kind, 0) + 1
    return counted
