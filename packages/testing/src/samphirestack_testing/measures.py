"""Figures of a run, counted from ledgers and callers' records only."""

from collections.abc import Mapping

from hdrh import histogram
import msgspec

from samphirestack_testing import ledger
from samphirestack_testing import oracle

MICROSECONDS = 1_000_000
LONGEST_WAIT_US = 600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
WINDOW_S = 2.0
"""Length of the windows in which use is compared with shares."""
FULL = 0.95
"""Part of the slots in use from which the fleet counts as full."""


class Figures(msgspec.Struct, frozen=True):
    """What the demo prints as its last line."""

    deployment: str
    seconds: float
    sent: int
    answered: int
    refused_not_run: int
    may_have_run: int
    no_answer: int
    jobs_accepted: int
    jobs_refused: int
    jobs_succeeded: int
    jobs_unfinished: int
    tasks_started: int
    lost: int
    doubled: int
    cut: int
    other_findings: int
    """Broken promises of any other kind."""
    urgent_wait_p50_s: float
    urgent_wait_p99_s: float
    """Time from sending to the start at the upstream."""
    share_error_max: float
    """Largest distance of a team's part of the slots from its share, over
    windows in which the fleet was full and the team had calls waiting."""
    full_windows: int


def figures(
    deployment: str,
    seconds: float,
    run: oracle.Run,
    findings: list[oracle.Finding],
    shares_by_team: Mapping[str, float],
) -> Figures:
    """Count the figures of a run."""
    outcomes = [call.outcome for call in run.calls]
    kinds = [finding.kind for finding in findings]
    named = (oracle.Kind.LOST, oracle.Kind.DOUBLED, oracle.Kind.CUT)
    waits = urgent_waits(run)
    share_error, windows = share_error_max(run, shares_by_team)
    accepted = [job for job in run.jobs if job.job]
    succeeded = sum(job.state == 'succeeded' for job in accepted)
    open_states = ('waiting', 'running')
    return Figures(
        deployment=deployment,
        seconds=seconds,
        sent=len(outcomes),
        answered=outcomes.count(ledger.Outcome.ANSWERED),
        refused_not_run=outcomes.count(ledger.Outcome.REFUSED_NOT_RUN),
        may_have_run=outcomes.count(ledger.Outcome.MAY_HAVE_RUN),
        no_answer=outcomes.count(ledger.Outcome.NO_ANSWER),
        jobs_accepted=len(accepted),
        jobs_refused=len(run.jobs) - len(accepted),
        jobs_succeeded=succeeded,
        jobs_unfinished=sum(job.state in open_states for job in accepted),
        tasks_started=sum(
            line.event is ledger.Event.START
            and line.subject is ledger.Subject.TASK
            for line in run.lines
        ),
        lost=kinds.count(oracle.Kind.LOST),
        doubled=kinds.count(oracle.Kind.DOUBLED),
        cut=kinds.count(oracle.Kind.CUT),
        other_findings=sum(kind not in named for kind in kinds),
        urgent_wait_p50_s=_percentile(waits, 50),
        urgent_wait_p99_s=_percentile(waits, 99),
        share_error_max=round(share_error, 4),
        full_windows=windows,
    )


def urgent_waits(run: oracle.Run) -> histogram.HdrHistogram:
    """Return the waits of urgent calls until their first start, in us."""
    waits = histogram.HdrHistogram(1, LONGEST_WAIT_US, SIGNIFICANT_DIGITS)
    started = _first_starts(run)
    for call in run.calls:
        start = started.get(call.call)
        if call.urgent and start is not None:
            wait_us = int((start - call.sent_at_s) * MICROSECONDS)
            waits.record_value(min(max(wait_us, 1), LONGEST_WAIT_US))
    return waits


def share_error_max(
    run: oracle.Run, shares_by_team: Mapping[str, float]
) -> tuple[float, int]:
    """Return the largest distance from the shares and the full windows."""
    slots = sum(
        line.slots
        for line in run.lines
        if line.event is ledger.Event.OFFERED
        and line.subject is ledger.Subject.VM
    )
    if not run.calls or not slots:
        return 0.0, 0
    started = _first_starts(run)
    intervals = _intervals(run)
    begin = min(call.sent_at_s for call in run.calls)
    end = max(call.ended_at_s for call in run.calls)
    worst, windows = 0.0, 0
    while begin + WINDOW_S <= end:
        until = begin + WINDOW_S
        used = _used(intervals, begin, until)
        if sum(used.values()) >= FULL * slots * WINDOW_S:
            windows += 1
            waiting = _waiting_teams(run, started, begin, until)
            worst = max(worst, _error(used, waiting, shares_by_team))
        begin = until
    return worst, windows


def _percentile(waits: histogram.HdrHistogram, percentile: float) -> float:
    return float(waits.get_value_at_percentile(percentile) / MICROSECONDS)


def _first_starts(run: oracle.Run) -> dict[str, float]:
    started: dict[str, float] = {}
    for line in run.lines:
        if line.call and line.event is ledger.Event.START:
            started.setdefault(line.call, line.at_s)
    return started


class _Interval(msgspec.Struct, frozen=True):
    team: str
    start: float
    end: float


def _intervals(run: oracle.Run) -> list[_Interval]:
    open_starts: dict[tuple[str, str], float] = {}
    intervals = []
    for line in run.lines:
        key = (line.place, line.id)
        if line.subject is not ledger.Subject.REQUEST:
            continue
        if line.event is ledger.Event.START:
            open_starts[key] = line.at_s
        elif line.event is ledger.Event.END and key in open_starts:
            start = open_starts.pop(key)
            intervals.append(_Interval(line.team, start, line.at_s))
    return intervals


def _used(
    intervals: list[_Interval], begin: float, until: float
) -> dict[str, float]:
    used: dict[str, float] = {}
    for interval in intervals:
        overlap = min(interval.end, until) - max(interval.start, begin)
        if overlap > 0:
            used[interval.team] = used.get(interval.team, 0.0) + overlap
    return used


def _waiting_teams(
    run: oracle.Run, started: dict[str, float], begin: float, until: float
) -> set[str]:
    """Return the teams with a call that waited over the whole window."""
    return {
        call.team
        for call in run.calls
        if call.sent_at_s <= begin
        and started.get(call.call, call.ended_at_s) >= until
    }


def _error(
    used: Mapping[str, float],
    waiting: set[str],
    shares_by_team: Mapping[str, float],
) -> float:
    """Return the largest distance among the waiting teams.

    Teams without waiting calls get what they ask for, so only the rest of
    the slots is divided by share.
    """
    total = sum(used.get(team, 0.0) for team in waiting)
    shares = sum(shares_by_team[team] for team in waiting)
    if not total:
        return 0.0
    return max(
        abs(used.get(team, 0.0) / total - shares_by_team[team] / shares)
        for team in waiting
    )
