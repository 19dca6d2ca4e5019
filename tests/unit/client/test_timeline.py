"""Tests of the timeline over all processes."""

import json
import pathlib

import pytest

from samphirestack_client import main
from samphirestack_client.timeline import events
from samphirestack_client.timeline import page


def _event(clock: int, node: str, number: int, **fields: object) -> dict:
    return {
        'clock': clock,
        'node': node,
        'number': number,
        'kind': 'request.sent',
        'at_s': 100.0 - clock,
        **fields,
    }


class TestTimeline:
    """Events are merged in causal order, whatever the wall clocks say."""

    def test_lamport_clock_orders_and_duplicates_go(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        # Guards against sorting by wall clocks, which disagree, and against
        # showing an event twice if two files hold it.
        first = [_event(5, 'a', 2), _event(1, 'a', 1)]
        second = [_event(3, 'b', 1), _event(1, 'a', 1)]
        files = []
        for name, content in (('a', first), ('b', second)):
            path = tmp_path / name
            noise = ['not json', '{"message": "started"}', '[1]', '']
            path.write_text('\n'.join(noise + list(map(json.dumps, content))))
            files.append(str(path))
        assert main.run(['timeline', *files]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [json.loads(line)['clock'] for line in lines] == [1, 3, 5]

    def test_line_of_a_log_is_the_same_event(self) -> None:
        # Guards against events without a time and against duplicates when
        # events of logs and of nodes are merged.
        event = events.parse(_event(1, 'a', 1, team='t', monotonic_s=5.0))
        line = _event(1, 'a', 1, team='t', monotonic_s=5.0, level='info')
        line |= {'timestamp': line.pop('at_s'), 'message_type': 'event'}
        assert events.parse(line) == event

    @pytest.mark.parametrize(
        ('selection', 'numbers'),
        [
            ({'request': 'r'}, [1]),
            ({'job': 'j'}, [2, 3]),
            ({'team': 't'}, [1, 2]),
            ({'worker': 'w'}, [3]),
            ({'kind': 'job'}, []),
            ({'since_s': 98.0}, [1, 2]),
            ({'until_s': 98.0}, [2, 3]),
        ],
    )
    def test_filters(self, selection: dict, numbers: list[int]) -> None:
        # Guards against a filter that drops matching events.
        found = [
            events.parse(_event(1, 'a', 1, request_id='r', team='t')),
            events.parse(_event(2, 'a', 2, job_id='j', team='t')),
            events.parse(
                _event(3, 'a', 3, fields={'task_id': 'j/0', 'worker_id': 'w'})
            ),
        ]
        merged = events.merge(found, events.Selection(**selection))
        assert [event.number for event in merged] == numbers

    def test_page_has_a_column_per_process_and_escapes(self) -> None:
        # Guards against script injection through fields of an event.
        found = [
            events.parse(_event(1, 'a', 1, team='<script>')),
            events.parse(_event(2, '<b>', 1)),
        ]
        text = page.render(found)
        assert text.count('<th>') == 4
        assert 'team=&lt;script&gt;' in text
        assert '<th>&lt;b&gt;</th>' in text
        assert 'http' not in text.replace('html', '')

    def test_table_shows_a_line_for_each_event(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        # Guards against a table without the fields of an event.
        log = tmp_path / 'log'
        log.write_text(json.dumps(_event(1, 'node-1', 1, request_id='r')))
        assert main.run(['timeline', str(log), '--table']) == 0
        heading, line = capsys.readouterr().out.splitlines()
        assert heading.split()[0] == 'recorded_at_s'
        assert 'node-1  request.sent  request_id=r' in line

    def test_page_is_written(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        # Guards against exit code 0 although the page was not written.
        log = tmp_path / 'log'
        log.write_text(json.dumps(_event(1, 'a', 1)))
        target = tmp_path / 'out.html'
        assert main.run(['timeline', str(log), '--html', str(target)]) == 0
        assert 'request.sent' in target.read_text()
        missing = str(tmp_path / 'none' / 'out.html')
        assert main.run(['timeline', str(log), '--html', missing]) == 2
        assert main.run(['timeline', str(tmp_path / 'none')]) == 2
