"""Tests of the command that shows the log lines of one job."""

import json
import pathlib

import pytest

from samphirestack_client import main

JOB = '5c0e7a21d94b36f8'


def write(path: pathlib.Path, node: str, *lines: dict[str, object]) -> str:
    path.write_text(
        '\n'.join(
            ['starting', '  12.5 some prefix {"a": 1}']
            + [json.dumps({'node': node, **line}) for line in lines]
        )
    )
    return str(path)


class TestStory:
    """Guards against output that omits decisions of other entries."""

    def _logs(self, folder: pathlib.Path) -> list[str]:
        return [
            write(
                folder / 'a.log',
                'a',
                {
                    'timestamp': 3.0,
                    'message_type': 'run.ordered',
                    'task_id': f'{JOB}.0.0.1',
                    'outcome': 'started',
                },
                {
                    'timestamp': 2.0,
                    'message_type': 'worker.silent',
                    'worker': 'w1',
                },
                {'timestamp': 9.0, 'message_type': 'store.lost'},
            ),
            write(
                folder / 'b.log',
                'b',
                {
                    'timestamp': 1.0,
                    'message_type': 'call.answered',
                    'job_id': JOB,
                    'outcome': 'accepted',
                },
                {
                    'timestamp': 1.5,
                    'message_type': 'step.advised',
                    'step': f'{JOB}.0.0',
                },
                {
                    'timestamp': 1.6,
                    'message_type': 'call.answered',
                    'job_id': 'ffffffffffffffff',
                },
            ),
        ]

    def test_lines_of_all_entries_come_in_order(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main.run(['story', JOB, *self._logs(tmp_path), '--json']) == 0
        shown = json.loads(capsys.readouterr().out)
        assert [line['kind'] for line in shown] == [
            'call.answered',
            'step.advised',
            'run.ordered',
        ]

    def test_context_shows_what_changed_meanwhile(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        files = self._logs(tmp_path)
        assert main.run(['story', JOB, *files, '--context', '--json']) == 0
        kinds = [line['kind'] for line in json.loads(capsys.readouterr().out)]
        assert 'worker.silent' in kinds
        assert 'store.lost' not in kinds

    def test_an_unknown_job_is_an_error(self, tmp_path: pathlib.Path) -> None:
        assert main.run(['story', '0' * 16, *self._logs(tmp_path)]) != 0
