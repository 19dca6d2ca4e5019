"""Time from a fault to normal service, and what the fault cost.

Each fault happens in a cluster of its own under urgent and patient requests
and jobs.  An urgent call that waits 2.4 s or longer, never starts or gets no
answer is late.  Service is normal again from the last late call on.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import time

import msgspec

from samphirestack import model
from samphirestack_bench import clusters
from samphirestack_bench import records
from samphirestack_testing import cluster
from samphirestack_testing import ledger
from samphirestack_testing import oracle
from samphirestack_testing import scenario
from samphirestack_testing import trial

DESCRIPTION = 'time from a fault to normal service, and what it cost'

Kind = scenario.FaultKind
FAULT_AT_S = 3.0
FAULT_END_S = 9.0
DURATION_S = 15.0
QUICK_DURATION_S = 11.0
URGENT_PER_S = 40.0
PATIENT_PER_S = 40.0
WORK_S = 0.2
JOBS_PER_S = 2.0
RUN_TIME_S = 1.0
TEAMS = ('coast', 'gritting')


class Outcome(msgspec.Struct, frozen=True):
    """What one fault did."""

    recovery_s: float
    """Time from the fault to the sending of the last late urgent call."""
    late: int
    wait_max_s: float
    """Longest wait of an urgent call that ended after the fault."""
    late_by_entry: dict[str, float] = {}
    """Late calls by the entry of their last attempt."""


def faults(zone: str) -> tuple[scenario.Fault, ...]:
    """Return the measured faults, each of which hits a part of ``zone``."""
    upstream = scenario.vm_id(zone, model.VmRole.UPSTREAM, 0)
    worker = scenario.vm_id(zone, model.VmRole.WORKER, 0)
    return (
        _fault(Kind.KILL_LEADER, zone),
        _fault(Kind.PAUSE_LEADER, zone),
        _fault(Kind.TABLE_DOWN, ''),
        _fault(Kind.CUT_ZONE, zone),
        _fault(Kind.CUT_PLATFORM, zone),
        _fault(Kind.UPSTREAM_FAULT, upstream, 'silent_before'),
        _fault(Kind.WORKER_UNREACHABLE, worker),
    )


def _fault(kind: Kind, target: str, mode: str = '') -> scenario.Fault:
    return scenario.Fault(kind, FAULT_AT_S, FAULT_END_S, target, mode)


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield a record for each fault and a summary."""
    plan = plan_for(options)
    chosen = faults(plan.zones[0].name)
    if options.quick:
        chosen = chosen[:1]
    summary: records.Record = {'summary': True, 'seed': options.seed}
    for fault in chosen:
        record = asyncio.run(_measure(plan, fault))
        yield record
        summary.update(judged(record))
    yield summary


def judged(record: records.Record) -> records.Record:
    """Return the figures of a fault for the summary, with their bounds."""
    name = record['fault']
    bound = clusters.URGENT_BOUND_S
    longest = record['urgent_wait_max_s']
    return {
        f'{name}_recovery_s': record['recovery_s'],
        f'{name}_late_urgent': record['late_urgent'],
        f'{name}_urgent_wait_max_s': longest,
        f'{name}_urgent_wait_max_s_bound': bound,
        f'{name}_urgent_wait_max_s_met': (
            isinstance(longest, float) and longest < bound
        ),
        f'{name}_not_answered': record['not_answered'],
        f'{name}_requests_redone': record['requests_redone'],
        f'{name}_tasks_redone': record['tasks_redone'],
        f'{name}_findings': record['findings'],
        f'{name}_findings_bound': 0,
        f'{name}_findings_met': not record['findings'],
    }


def plan_for(options: records.Options) -> scenario.Scenario:
    """Return a plan with requests and jobs at about a third of the slots."""
    plan = clusters.base(options, proxied=True)
    rates = {
        clusters.URGENT_QUEUE: URGENT_PER_S,
        clusters.PATIENT_QUEUE: PATIENT_PER_S,
    }
    return msgspec.structs.replace(
        plan,
        duration_s=QUICK_DURATION_S if options.quick else DURATION_S,
        arrivals=tuple(
            scenario.Arrivals(
                queue,
                team,
                rate / len(TEAMS),
                WORK_S,
                idempotent=team == TEAMS[0],
            )
            for queue, rate in rates.items()
            for team in TEAMS
        ),
        jobs=(
            scenario.Jobs(
                clusters.PATIENT_QUEUE,
                TEAMS[0],
                model.JobKind.BATCH,
                JOBS_PER_S,
                run_time_s=RUN_TIME_S,
            ),
        ),
    )


async def _measure(
    plan: scenario.Scenario, fault: scenario.Fault
) -> records.Record:
    began: list[float] = []

    leader = ''

    async def note_begin(started: cluster.Cluster) -> None:
        nonlocal leader
        began.append(time.monotonic())
        leader = await started.leader_of(plan.zones[0].name) or ''

    plan = msgspec.structs.replace(plan, faults=(fault,))
    result = await clusters.run(plan, note_begin)
    found = outcome(result.run, began[0] + fault.at_s)
    return {
        'fault': fault.kind.value,
        'mode': fault.mode,
        'lasts_s': FAULT_END_S - FAULT_AT_S,
        'recovery_s': found.recovery_s,
        'late_urgent': found.late,
        'late_by_entry': found.late_by_entry,
        'leader': leader,
        'urgent_wait_max_s': found.wait_max_s,
        'calls': len(result.run.calls),
        'not_answered': clusters.refusals(result.run),
        'requests_redone': redone(result.run.lines, ledger.Subject.REQUEST),
        'tasks_redone': redone(result.run.lines, ledger.Subject.TASK),
        'jobs': _jobs(result.run),
        'findings': len(result.findings),
        'findings_by_kind': clusters.findings(result),
        'evidence': '; '.join(_evidence(result)),
    }


def outcome(run_: oracle.Run, fault_at: float) -> Outcome:
    """Return the recovery after a fault at a monotonic time."""
    started = clusters.first_starts(run_.lines)
    late = []
    by_entry: dict[str, float] = {}
    longest = 0.0
    for call in run_.calls:
        begin = started.get(call.call)
        if not call.urgent or call.ended_at_s < fault_at:
            continue
        wait = call.ended_at_s if begin is None else begin
        wait -= call.sent_at_s
        longest = max(longest, wait)
        answered = call.outcome is ledger.Outcome.ANSWERED
        if wait >= clusters.URGENT_BOUND_S or not answered:
            late.append(max(0.0, call.sent_at_s - fault_at))
            by_entry[call.entry] = by_entry.get(call.entry, 0) + 1
    return Outcome(
        round(max(late, default=0.0), 3),
        len(late),
        round(longest, 3),
        by_entry,
    )


def redone(lines: Iterable[ledger.Line], subject: ledger.Subject) -> int:
    """Return the number of starts after the first one of the same work."""
    starts = [
        (line.call or line.id)
        for line in lines
        if line.event is ledger.Event.START and line.subject is subject
    ]
    return len(starts) - len(set(starts))


def _jobs(run_: oracle.Run) -> dict[str, float]:
    counted: dict[str, float] = {}
    for job in run_.jobs:
        name = job.state or f'refused/{job.code}'
        counted[name] = counted.get(name, 0) + 1
    return counted


def _evidence(result: trial.Result) -> list[str]:
    """Return at most three findings in full."""
    return [
        f'{item.kind.value} {item.subject}: {item.reason}'
        for item in result.findings[:3]
    ]
