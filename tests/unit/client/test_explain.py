"""Tests of the command that explains where a job would start."""

from collections.abc import Iterator
import json
import pathlib
import socket
import threading

import pytest
import uvicorn

from samphirestack.fleet import records
from samphirestack.fleet import scheduler as schedulers
from samphirestack import model
from samphirestack_client import main
from samphirestack_platform import front
from samphirestack_platform import jobs
from samphirestack_testing import fleet_world as worlds
from samphirestackd.fleet import explanations
from samphirestackd.fleet import metrics

JOB = {
    'specification': 'x',
    'steps': [
        {'count': 2, 'cpu': 1000, 'memory_request_mb': 10},
        {'count': 1, 'cpu': 1000, 'memory_request_mb': 10, 'after': [0]},
    ],
}


class _Entry:
    """An entry in a thread, which may hold the term."""

    def __init__(self) -> None:
        self.world = worlds.World([worlds.make_worker('a')])
        self.is_holder = True
        self.address = ''

    def deciding_scheduler(
        self, now: float
    ) -> schedulers.FleetScheduler | None:
        del now
        return self.world.scheduler if self.is_holder else None

    def known_holder(self) -> records.TermRecord:
        return records.TermRecord(2, model.VmId('vm-2'), 'x', '10.0.0.9:7')


@pytest.fixture
def entry() -> Iterator[_Entry]:
    made = _Entry()
    explainer = explanations.Explanations(
        made, worlds.make_configuration, jobs.decode_job
    )
    app = front.metrics_app(metrics.Metrics(), explainer)
    listener = socket.create_server(('127.0.0.1', 0))
    made.address = f'127.0.0.1:{listener.getsockname()[1]}'
    server = uvicorn.Server(
        uvicorn.Config(app, lifespan='off', log_config=None)  # type: ignore[arg-type]
    )
    thread = threading.Thread(target=server.run, args=([listener],))
    thread.start()
    try:
        yield made
    finally:
        server.should_exit = True
        thread.join()


@pytest.fixture
def job_file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'job.json'
    path.write_text(json.dumps(JOB))
    return path


def run(address: str, path: pathlib.Path, *options: str) -> int:
    values = ('--queue', 'q', '--entry', address, *options)
    return main.run(['explain', str(path), *values])


class TestExplain:
    """Guards against answers that are shown wrongly or have effects."""

    def test_steps_are_shown_as_a_table(
        self,
        entry: _Entry,
        job_file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert run(entry.address, job_file) == 0
        text = capsys.readouterr().out
        assert 'starts now on a' in text
        assert 'waits for step 0' in text
        assert not entry.world.scheduler.jobs.active_by_id

    def test_programs_read_the_whole_answer(
        self,
        entry: _Entry,
        job_file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert run(entry.address, job_file, '--json') == 0
        found = json.loads(capsys.readouterr().out)
        assert found['queue'] == 'q'
        assert found['steps'][0]['chosen'] == ['a']

    def test_the_holder_is_named_by_another_entry(
        self,
        entry: _Entry,
        job_file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        entry.is_holder = False
        assert run(entry.address, job_file) == 1
        text = capsys.readouterr().err
        assert 'does not hold the term' in text
        assert 'vm-2' in text
        assert '10.0.0.9:7' in text

    @pytest.mark.parametrize(
        ('options', 'message'),
        [
            (('--queue', 'other'), "no queue 'other'"),
            (('--customer', 'other'), "no customer 'other'"),
        ],
    )
    def test_unknown_names_are_refused(
        self,
        entry: _Entry,
        job_file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
        options: tuple[str, ...],
        message: str,
    ) -> None:
        arguments = ['explain', str(job_file), '--entry', entry.address]
        if '--queue' not in options:
            arguments += ['--queue', 'q']
        assert main.run([*arguments, *options]) == 1
        text = capsys.readouterr().err
        assert message in text
        assert 'next:' in text

    def test_a_wrong_job_is_refused(
        self,
        entry: _Entry,
        job_file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        job_file.write_text('{"steps": 1}')
        assert run(entry.address, job_file) == 2
        assert 'not a valid job' in capsys.readouterr().err

    def test_a_body_above_the_limit_is_refused(
        self,
        entry: _Entry,
        job_file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        job_file.write_text(' ' * 10_001)
        assert run(entry.address, job_file) == 1
        assert 'larger than' in capsys.readouterr().err

    def test_an_unreadable_file_is_wrong_usage(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run('127.0.0.1:1', tmp_path / 'missing') == 2
        text = capsys.readouterr().err
        assert 'cannot be read' in text
        assert 'next:' in text

    def test_an_entry_that_does_not_answer_is_reported(
        self, job_file: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run('127.0.0.1:1', job_file) == 4
        assert 'does not answer' in capsys.readouterr().err
