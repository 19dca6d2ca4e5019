"""Tests of events, redaction, logs and metrics."""

import os

import msgspec
import pytest

from samphirestack import configuration
from samphirestack import model
from samphirestackd import events
from samphirestackd import lamport
from samphirestackd import logs
from samphirestackd import metrics
from samphirestackd import redaction


@pytest.fixture
def log():
    return events.EventLog('a', 3, lamport.LamportClock())


def read(log, since=0, limit=10):
    return [msgspec.json.decode(raw) for raw in log.since(since, limit)]


class TestEventLog:
    """Guards against unbounded memory and gaps that readers can't detect."""

    def test_newest_events_are_kept_with_their_numbers(self, log):
        for number in range(5):
            log.record('k', value=number)
        assert [event['number'] for event in read(log)] == [3, 4, 5]
        assert [event['value'] for event in read(log, 3, 1)] == [3]
        assert read(log, 5) == []
        assert read(log, 9) == []

    def test_clock_grows_with_each_event(self, log):
        log.record('k')
        log.record('k')
        first, second = read(log)
        assert second['clock'] > first['clock']

    def test_fields_can_not_replace_number_and_clock(self, log):
        log.record('k', number=77, clock=77)
        assert read(log)[0]['number'] == 1


class TestRedaction:
    """Guards against keys, tokens and bodies in logs and events."""

    def test_key_text_is_removed_from_any_field(self, log):
        _, text = configuration.new_key(model.TeamId('t'))
        log.record('k', reason=f'bad {text}', header=f'Bearer {text}')
        secret = text.partition('.')[2]
        assert secret not in msgspec.json.encode(log.since(0, 9)).decode()

    def test_named_secrets_and_unknown_objects_are_removed(self):
        redacted = redaction.redact(
            {'token': 'x', 'deep': {'Payload': 'x'}, 'raw': b'x', 'n': [1]}
        )
        assert 'x' not in str(redacted.values())
        assert redacted['n'] == [1]


class TestLineWriter:
    """Guards against logging that blocks or stops the daemon."""

    def test_lines_are_written(self, tmp_path):
        writer = logs.LineWriter(str(tmp_path / 'log'))
        writer.start()
        writer.put(b'one\n')
        writer.put(b'two\n')
        writer.stop()
        assert (tmp_path / 'log').read_bytes() == b'one\ntwo\n'

    def test_missing_directory_loses_lines_only(self, tmp_path):
        writer = logs.LineWriter(str(tmp_path / 'no' / 'log'))
        writer.start()
        writer.put(b'one\n')
        writer.stop()
        assert writer.dropped == 1

    def test_pipe_without_reader_does_not_block(self, tmp_path):
        path = tmp_path / 'pipe'
        os.mkfifo(path)
        reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
        writer = logs.LineWriter(str(path))
        writer.start()
        for _ in range(2 * logs.MAX_QUEUED_LINES):
            writer.put(b'x' * 100)
        assert writer.dropped > 0
        os.close(reader)
        writer.stop()

    def test_destination_writes_the_level_and_drops_lower_ones(self):
        lines = []
        writer = logs.LineWriter('-')
        writer.put = lines.append
        send = logs.Destination(writer, 'warning', 'a')
        send({'message_type': 'm', 'level': 'info'})
        send({'message_type': 'eliot:traceback', 'reason': 'r'})
        assert [msgspec.json.decode(line)['level'] for line in lines] == [
            'error'
        ]


class TestMetrics:
    """Guards against unbounded label values and misnamed metrics."""

    def test_label_values_are_bounded(self):
        registry = metrics.Metrics()
        for number in range(300):
            registry.count_event('request.received', {'queue': f'q{number}'})
        text = registry.render()[0].decode()
        lines = [line for line in text.splitlines() if 'queue="' in line]
        assert len(lines) == metrics.MAX_LABEL_VALUES + 1
        assert 'queue="other"} 200' in text

    def test_names_follow_the_conventions(self):
        for metric in metrics.METRICS:
            is_counter = metric.kind is metrics.Kind.COUNTER
            assert metric.name.endswith('_total') == is_counter, metric.name

    def test_sources_are_sampled_at_each_rendering(self):
        registry = metrics.Metrics()
        values = iter([1.0, 2.0])
        registry.add_source(
            lambda: iter(
                [metrics.Sample('samphirestack_leader', next(values))]
            )
        )
        assert b'samphirestack_leader 1.0' in registry.render()[0]
        assert b'samphirestack_leader 2.0' in registry.render()[0]
