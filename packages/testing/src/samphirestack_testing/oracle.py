"""Checks the promises of section 1 of the design page after a run.

The oracle reads only the ledgers of stand-ins and the records of callers,
and shares no code with the decisions that it checks.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import pathlib

import msgspec

from samphirestack import configuration
from samphirestack import model
from samphirestack_testing import ledger

Event = ledger.Event
LEAVING_GRACE_S = 4.0
"""Time after which a leaving upstream must receive no new work."""
EVIDENCE_LINES = 6
"""Lines of evidence that a finding shows at most."""


class Kind(enum.Enum):
    """A promise that was broken."""

    LOST = 'lost'
    DOUBLED = 'doubled'
    CUT = 'cut'
    UNTRUE_REFUSAL = 'untrue_refusal'
    OVERCOMMITTED = 'overcommitted'
    TWO_PLACES = 'two_places'
    OVER_LIMIT = 'over_limit'
    LEAVING_STARTED = 'leaving_started'


class Finding(msgspec.Struct, frozen=True):
    """One broken promise with the lines that show it."""

    kind: Kind
    subject: str
    """The call, job, task, worker, upstream or team."""
    reason: str
    evidence: tuple[str, ...]


class Run(msgspec.Struct, frozen=True):
    """Everything that was written down during a run."""

    lines: list[ledger.Line] = []
    calls: list[ledger.CallRecord] = []
    jobs: list[ledger.JobRecord] = []


def read_run(
    ledgers: Iterable[pathlib.Path],
    calls: Iterable[pathlib.Path] = (),
    jobs: Iterable[pathlib.Path] = (),
) -> Run:
    """Return the content of files of lines, call records and job records."""
    return Run(
        _ordered(
            line for path in ledgers for line in ledger.read(path, ledger.Line)
        ),
        [
            call
            for path in calls
            for call in ledger.read(path, ledger.CallRecord)
        ],
        [job for path in jobs for job in ledger.read(path, ledger.JobRecord)],
    )


def check(
    run: Run, limits_by_team: Mapping[str, configuration.Limit]
) -> list[Finding]:
    """Return every broken promise that the run shows.

    :param limits_by_team: the highest limit that each team had.
    """
    lines = _ordered(run.lines)
    return [
        *_check_calls(lines, run.calls),
        *_check_jobs(lines, run.jobs),
        *_check_workers(lines),
        *_check_places(lines),
        *_check_limits(lines, limits_by_team),
        *_check_leaving(lines),
    ]


def _ordered(lines: Iterable[ledger.Line]) -> list[ledger.Line]:
    """Return the lines by time.

    What ends at the moment at which something else starts makes room for
    it; what ends at the moment of its own start comes after the start.
    """
    every = list(lines)
    starts = {_attempt_of(line) for line in every if line.event is Event.START}

    def key(line: ledger.Line) -> tuple[float, int]:
        if line.event is Event.START:
            return line.at_s, 1
        ends_at_start = line.event is Event.END and _attempt_of(line) in starts
        return line.at_s, 2 if ends_at_start else 0

    return sorted(every, key=key)


def _attempt_of(line: ledger.Line) -> tuple[str, str, int, float]:
    return line.place, line.id, line.attempt, line.at_s


def _finding(
    kind: Kind, subject: str, reason: str, evidence: Iterable[msgspec.Struct]
) -> Finding:
    texts = [msgspec.json.encode(line).decode() for line in evidence]
    return Finding(kind, subject, reason, tuple(texts[-EVIDENCE_LINES:]))


def _check_calls(
    lines: list[ledger.Line], calls: list[ledger.CallRecord]
) -> list[Finding]:
    lines_by_call: dict[str, list[ledger.Line]] = {}
    for line in lines:
        if line.call:
            lines_by_call.setdefault(line.call, []).append(line)
    findings = []
    for call in calls:
        findings += _check_call(call, lines_by_call.get(call.call, []))
    return findings


def _check_call(
    call: ledger.CallRecord, lines: list[ledger.Line]
) -> list[Finding]:
    starts = [line for line in lines if line.event is Event.START]
    ends = [line for line in lines if line.event is Event.END]
    evidence = [*lines, call]
    found: list[tuple[Kind, str]] = []
    if call.outcome is ledger.Outcome.NO_ANSWER:
        found.append((Kind.LOST, 'the caller got no answer'))
    if len(starts) > 1 and not call.idempotent:
        found.append(
            (Kind.DOUBLED, f'not idempotent, but started {len(starts)} times')
        )
    if call.outcome is ledger.Outcome.REFUSED_NOT_RUN and starts:
        found.append(
            (Kind.UNTRUE_REFUSAL, 'refused as not run, but an upstream ran it')
        )
    if call.outcome is ledger.Outcome.ANSWERED:
        found += _check_answer(call, ends)
    return [
        _finding(kind, call.call, reason, evidence) for kind, reason in found
    ]


def _check_answer(
    call: ledger.CallRecord, ends: list[ledger.Line]
) -> list[tuple[Kind, str]]:
    if not ends:
        return [(Kind.LOST, 'answered, but no upstream finished it')]
    if call.digest not in {line.digest for line in ends}:
        return [(Kind.CUT, "the answer differs from the upstream's")]
    return []


def _check_jobs(
    lines: list[ledger.Line], jobs: list[ledger.JobRecord]
) -> list[Finding]:
    lines_by_job: dict[str, list[ledger.Line]] = {}
    for line in lines:
        if line.job:
            lines_by_job.setdefault(line.job, []).append(line)
    findings = []
    for job in jobs:
        if job.job:
            findings += _check_job(job, lines_by_job.get(job.job, []))
    return findings


def _check_job(
    job: ledger.JobRecord, lines: list[ledger.Line]
) -> list[Finding]:
    findings = []
    lines_by_task: dict[str, list[ledger.Line]] = {}
    for line in lines:
        lines_by_task.setdefault(line.id, []).append(line)
    service = job.kind == model.JobKind.SERVICE.value
    finished = 0
    for task, own in lines_by_task.items():
        successes = _count(own, model.TaskState.SUCCEEDED)
        finished += min(successes, 1)
        resumed = _count(own, model.TaskState.CHECKPOINTED)
        starts = sum(line.event is Event.START for line in own)
        repeated = not job.idempotent and starts > 1 + resumed
        if not service and (successes > 1 or repeated):
            reason = f'started {starts} times, finished {successes} times'
            findings.append(_finding(Kind.DOUBLED, task, reason, own))
    succeeded = job.state == model.JobState.SUCCEEDED.value
    if succeeded and not service and finished < job.tasks:
        reason = f'{finished} of {job.tasks} tasks finished'
        findings.append(_finding(Kind.LOST, job.job, reason, [*lines, job]))
    if job.state == 'not_found':
        reason = 'accepted, but unknown later'
        findings.append(_finding(Kind.LOST, job.job, reason, [*lines, job]))
    return findings


def _count(lines: list[ledger.Line], state: model.TaskState) -> int:
    return sum(
        line.event is Event.END and line.outcome == state.value
        for line in lines
    )


def _check_workers(lines: list[ledger.Line]) -> list[Finding]:
    capacity: dict[str, model.Resources] = {}
    used: dict[str, model.Resources] = {}
    reported: set[str] = set()
    findings = []
    for line in lines:
        if line.subject is not ledger.Subject.TASK:
            continue
        place = line.place
        if line.event is Event.OFFERED:
            capacity[place] = line.resources
        used[place] = _step(used.get(place, model.Resources()), line)
        if place in reported or place not in capacity:
            continue
        if not used[place].fits_in(capacity[place]):
            reported.add(place)
            reason = f'{used[place]} used of {capacity[place]}'
            findings.append(
                _finding(Kind.OVERCOMMITTED, place, reason, [line])
            )
    return findings


def _step(used: model.Resources, line: ledger.Line) -> model.Resources:
    if line.event is Event.START:
        return used + line.resources
    if line.event is Event.END:
        return used - line.resources
    return used


def _check_places(lines: list[ledger.Line]) -> list[Finding]:
    running: dict[str, list[ledger.Line]] = {}
    findings = []
    for line in lines:
        if line.subject is not ledger.Subject.TASK or not line.id:
            continue
        present = running.setdefault(line.id, [])
        if line.event is Event.START:
            if present:
                reason = f'runs at {present[0].place} and {line.place}'
                findings.append(
                    _finding(
                        Kind.TWO_PLACES, line.id, reason, [*present, line]
                    )
                )
            present.append(line)
        elif line.event is Event.END:
            running[line.id] = [
                start for start in present if not _ends(line, start)
            ]
    return findings


def _ends(end: ledger.Line, start: ledger.Line) -> bool:
    return end.place == start.place and end.attempt == start.attempt


class _TeamUse:
    """What a team has running."""

    def __init__(self) -> None:
        self.running = 0
        self.resources = model.Resources()

    def step(self, line: ledger.Line) -> None:
        """Count a start or an end."""
        if line.event is Event.START:
            self.running += 1
        elif line.event is Event.END:
            self.running -= 1
        self.resources = _step(self.resources, line)

    def excess(self, limit: configuration.Limit) -> str:
        """Return a text on the first dimension above the limit, if any."""
        pairs = (
            ('running', self.running, limit.running),
            ('millicores', self.resources.millicores, limit.millicores),
            ('memory_mb', self.resources.memory_mb, limit.memory_mb),
            ('accelerators', self.resources.accelerators, limit.accelerators),
        )
        for name, value, bound in pairs:
            if bound is not None and value > bound:
                return f'{value} {name}, limit {bound}'
        return ''


def _check_limits(
    lines: list[ledger.Line],
    limits_by_team: Mapping[str, configuration.Limit],
) -> list[Finding]:
    use_by_team = {team: _TeamUse() for team in limits_by_team}
    reported: set[str] = set()
    findings = []
    for line in lines:
        use = use_by_team.get(line.team)
        if use is None:
            continue
        use.step(line)
        reason = use.excess(limits_by_team[line.team])
        if reason and line.team not in reported:
            reported.add(line.team)
            findings.append(
                _finding(Kind.OVER_LIMIT, line.team, reason, [line])
            )
    return findings


def _check_leaving(lines: list[ledger.Line]) -> list[Finding]:
    leaving: dict[str, ledger.Line] = {}
    findings = []
    for line in lines:
        if line.event is Event.LEAVING:
            leaving.setdefault(line.place, line)
        said = leaving.get(line.place)
        if said is None or line.event is not Event.START:
            continue
        if line.subject is not ledger.Subject.REQUEST:
            continue
        late_s = line.at_s - said.at_s
        if late_s > LEAVING_GRACE_S:
            reason = f'work started {late_s:.2f} s after it began to leave'
            findings.append(
                _finding(
                    Kind.LEAVING_STARTED, line.place, reason, [said, line]
                )
            )
    return findings
