"""Tests of the oracle: it finds planted faults and nothing else."""

import pathlib

import msgspec
import pytest

from samphirestack import configuration
from samphirestack import model
from samphirestack_testing import ledger
from samphirestack_testing import measures
from samphirestack_testing import oracle

Event = ledger.Event
Outcome = ledger.Outcome
REQUEST = ledger.Subject.REQUEST
TASK = ledger.Subject.TASK
VM = ledger.Subject.VM
CORE = model.Resources(1000, 10)
NO_LIMITS: dict[str, configuration.Limit] = {}


def _work(
    start: float,
    end: float,
    call: str = 'c',
    place: str = 'u',
    team: str = 't',
) -> list[ledger.Line]:
    names = {'id': call, 'call': call, 'team': team}
    return [
        ledger.Line(start, Event.START, REQUEST, place, **names),
        ledger.Line(end, Event.END, REQUEST, place, **names, digest='d'),
    ]


def _task(
    start: float,
    end: float,
    place: str = 'w',
    attempt: int = 1,
    outcome: str = 'succeeded',
) -> list[ledger.Line]:
    line = ledger.Line(
        start,
        Event.START,
        TASK,
        place,
        id='j/0',
        attempt=attempt,
        team='t',
        job='j',
        resources=CORE,
    )
    ended = msgspec.structs.replace(
        line, at_s=end, event=Event.END, outcome=outcome
    )
    return [line, ended]


def _call(
    outcome: Outcome = Outcome.ANSWERED,
    digest: str = 'd',
    idempotent: bool = False,
) -> ledger.CallRecord:
    return ledger.CallRecord(
        'c', 't', 'q', True, idempotent, 0.5, 2.0, outcome, 1, digest=digest
    )


def _job(
    state: str = 'succeeded', idempotent: bool = True
) -> ledger.JobRecord:
    return ledger.JobRecord(
        'j', 't', 'q', 'batch', 1, idempotent, 0.0, 9.0, state
    )


def _kinds(
    run: oracle.Run, limits: dict[str, configuration.Limit] = NO_LIMITS
) -> list[str]:
    return [finding.kind.value for finding in oracle.check(run, limits)]


WORKER = ledger.Line(0.0, Event.OFFERED, TASK, 'w', resources=CORE)
LEAVING = ledger.Line(1.0, Event.LEAVING, VM, 'u')
DONE = _work(1.0, 2.0)
REPEATED = [*DONE, *_work(3.0, 4.0)]
LIMITS = {'t': configuration.Limit(running=1)}


class TestPlantedFaults:
    """Each broken promise is found under its own name."""

    @pytest.mark.parametrize(
        ('expected', 'lines', 'call'),
        [
            ([], DONE, _call()),
            ([], REPEATED, _call(idempotent=True)),
            ([], DONE, _call(Outcome.MAY_HAVE_RUN)),
            (['lost'], [], _call()),
            (['lost'], DONE, _call(Outcome.NO_ANSWER)),
            (['doubled'], REPEATED, _call()),
            (['cut'], DONE, _call(digest='other')),
            (['untrue_refusal'], DONE, _call(Outcome.REFUSED_NOT_RUN)),
        ],
    )
    def test_calls(
        self,
        expected: list[str],
        lines: list[ledger.Line],
        call: ledger.CallRecord,
    ) -> None:
        """Guards against an oracle that passes a broken call."""
        assert _kinds(oracle.Run(lines, [call])) == expected

    @pytest.mark.parametrize(
        ('expected', 'lines', 'job'),
        [
            ([], _task(1, 2), _job()),
            (['lost'], [], _job()),
            (['lost'], [], _job('not_found')),
            (['doubled'], _task(1, 2) + _task(3, 4, attempt=2), _job()),
            (
                ['doubled'],
                _task(1, 2, outcome='failed') + _task(3, 4, attempt=2),
                _job(idempotent=False),
            ),
            (
                [],
                _task(1, 2, outcome='checkpointed') + _task(3, 4, attempt=2),
                _job(idempotent=False),
            ),
        ],
    )
    def test_jobs(
        self,
        expected: list[str],
        lines: list[ledger.Line],
        job: ledger.JobRecord,
    ) -> None:
        """Guards against an oracle that passes a broken job."""
        assert _kinds(oracle.Run(lines, jobs=[job])) == expected

    def test_task_in_two_places(self) -> None:
        lines = _task(1, 3) + _task(2, 4, place='v', outcome='stopped')
        assert _kinds(oracle.Run(lines)) == ['two_places']

    def test_overcommitted_worker(self) -> None:
        other = [
            msgspec.structs.replace(line, id='k/0') for line in _task(2, 4)
        ]
        lines = [WORKER, *_task(1, 3), *other]
        assert _kinds(oracle.Run(lines)) == ['overcommitted']

    def test_end_makes_room_for_a_start_at_the_same_time(self) -> None:
        """Guards against false reports of back-to-back work."""
        lines = [*_work(2, 3, 'b'), *_work(1, 2, 'a')]
        assert _kinds(oracle.Run(lines), LIMITS) == []

    def test_task_that_fails_at_once_has_ended(self) -> None:
        """Guards against false reports of tasks without duration."""
        failed = _task(1, 1, outcome='failed')
        lines = [WORKER, *failed, *_task(1.5, 3, attempt=2)]
        assert _kinds(oracle.Run(lines)) == []

    def test_team_above_its_limit_over_requests_and_tasks(self) -> None:
        lines = _work(1, 3) + _task(2, 4)
        found = oracle.check(oracle.Run(lines), LIMITS)
        assert [finding.kind.value for finding in found] == ['over_limit']
        assert '"j/0"' in found[0].evidence[0]

    @pytest.mark.parametrize(
        ('start', 'expected'), [(4.9, []), (5.1, ['leaving_started'])]
    )
    def test_work_started_at_a_leaving_upstream(
        self, start: float, expected: list[str]
    ) -> None:
        lines = [LEAVING, *_work(start, start + 1)]
        assert _kinds(oracle.Run(lines)) == expected


class TestLedgerFiles:
    """Ledgers survive the death of their writer."""

    def test_cut_last_line_is_left_out(self, tmp_path: pathlib.Path) -> None:
        """Guards against a ledger that a kill makes unreadable."""
        path = tmp_path / 'ledger'
        writer = ledger.Writer(str(path))
        writer.write(LEAVING)
        writer.close()
        path.write_bytes(path.read_bytes() + b'{"at_s":')
        assert ledger.read(path, ledger.Line) == [LEAVING]

    def test_digest_ignores_the_way_through_json(self) -> None:
        """Guards against answers that look cut because they were parsed."""
        line = _work(1.0, 2.0)[0]
        parsed = msgspec.json.decode(msgspec.json.encode(line))
        assert ledger.digest_of(line) == ledger.digest_of(parsed)


class TestMeasures:
    """Waits and shares are counted from ledgers."""

    def test_urgent_wait_runs_from_sending_to_start(self) -> None:
        run = oracle.Run(DONE, [_call()])
        found = measures.figures('armor', 1.0, run, [], {})
        assert found.urgent_wait_p99_s == pytest.approx(0.5, rel=0.01)

    def test_share_error_of_a_starved_team(self) -> None:
        """Guards against a starved team that no figure shows."""
        size = ledger.Line(0.0, Event.OFFERED, VM, 'u', slots=1)
        lines = [size, *_work(0.0, 4.0, 'a', team='greedy')]
        calls = [
            msgspec.structs.replace(
                _call(), call=call, team=team, sent_at_s=0.0, ended_at_s=9.0
            )
            for call, team in (('b', 'greedy'), ('c', 'starved'))
        ]
        error, windows = measures.share_error_max(
            oracle.Run(lines, calls), {'greedy': 1.0, 'starved': 1.0}
        )
        assert (error, windows) == (0.5, 2)
