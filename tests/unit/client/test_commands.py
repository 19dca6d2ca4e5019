"""Tests of the command line against a node's operator interface."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import pathlib
import socket
import threading

import pytest
import uvicorn

from samphirestack import configuration
from samphirestack_client import failures
from samphirestack_client import main
from samphirestack_client import output
from samphirestack_testing import operator_world as operators
from samphirestackd import edge

Run = Callable[..., int]


class _Cell:
    """A node in a thread, and the command line that reaches it."""

    def __init__(
        self, path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.node = operators.Admin()
        self.capsys = capsys
        self.token = path / 'token'
        self.token.write_text(operators.TOKEN)
        self.address = ''

    @property
    def current(self) -> configuration.Configuration:
        return self.node.world.view.current

    def run(self, *arguments: str, address: str = '') -> int:
        return main.run(
            [
                *arguments,
                '--address',
                address or self.address,
                '--token-file',
                str(self.token),
            ]
        )

    def json(self, *arguments: str) -> object:
        self.capsys.readouterr()
        assert self.run(*arguments, '--json') == 0
        return json.loads(self.capsys.readouterr().out)

    def error(self, *arguments: str, **options: str) -> tuple[int, str]:
        code = self.run(*arguments, **options)
        return code, self.capsys.readouterr().err


@pytest.fixture
def cell(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[_Cell]:
    for name in ('ADDRESSES', 'TOKEN_FILE', 'CLIENT_CONFIG'):
        monkeypatch.delenv(f'SAMPHIRESTACK_{name}', raising=False)
    made = _Cell(tmp_path, capsys)
    settings = made.node.world.context.settings.edge
    config = edge.server_config(made.node.app, '127.0.0.1:0', settings)
    listener = socket.create_server(('127.0.0.1', 0))
    made.address = f'127.0.0.1:{listener.getsockname()[1]}'
    server = uvicorn.Server(config)
    thread = threading.Thread(target=server.run, args=([listener],))
    thread.start()
    try:
        yield made
    finally:
        server.should_exit = True
        thread.join()


class TestChanges:
    """Changes are shown, checked and applied to the expected revision."""

    def test_objects_are_put_listed_and_retired(self, cell: _Cell) -> None:
        # Guards against commands that send a wrong change.
        put = ('profile', 'put', 'q', '--urgency', 'urgent')
        assert cell.run(*put, '--hedge-after-s', '0.5') == 0
        assert cell.run('profile', 'put', 'q', '--no-hedge') == 0
        profile = cell.current.profiles_by_id['q']
        assert (profile.urgency.value, profile.hedge_after_s) == (
            'urgent',
            None,
        )
        assert cell.run('service', 'put', 'z', '--profile', 'q') == 0
        assert cell.run('queue', 'put', 'y', '--service', 'z', '--open') == 0
        assert cell.current.queues_by_id['y'].open
        assert cell.run('queue', 'put', 'y', '--team', 'a') == 0
        assert cell.current.queues_by_id['y'].teams == ('a',)
        assert cell.run('queue', 'retire', 'y') == 0
        assert cell.run('service', 'retire', 'z') == 0
        assert cell.run('profile', 'retire', 'q') == 0
        (listed,) = cell.json('profile', 'list')
        assert listed['name'] == 'p'

    def test_team_limits_can_be_set_and_lifted(self, cell: _Cell) -> None:
        # Guards against a limit in the wrong unit or dimension.
        put = ('team', 'put', 'a')
        limits = ('--limit-cpus', '1.5', '--limit-running', '7')
        assert cell.run(*put, *limits, '--share', '2') == 0
        team = cell.current.teams_by_id['a']
        assert (team.share, team.limit.millicores, team.limit.running) == (
            2.0,
            1500,
            7,
        )
        assert cell.run(*put, '--unlimited', 'cpus') == 0
        assert cell.current.teams_by_id['a'].limit.millicores is None
        code, _ = cell.error(*put, *limits, '--unlimited', 'cpus')
        assert code == 2

    def test_dry_run_changes_nothing(self, cell: _Cell) -> None:
        # Guards against a dry run that takes effect.
        report = cell.json('team', 'put', 'c', '--dry-run')
        assert (report['revision'], report['dry_run']) == (2, True)
        assert [
            difference['name'] for difference in report['differences']
        ] == ['c']
        assert cell.current.revision == 1

    def test_other_revision_is_a_conflict(self, cell: _Cell) -> None:
        # Guards against overwriting another operator's change.
        code, text = cell.error('team', 'put', 'c', '--expect-revision', '9')
        assert code == 3
        assert 'next:' in text

    def test_key_is_shown_once_and_works(self, cell: _Cell) -> None:
        # Guards against a key that does not match its verifier.
        given = cell.json('key', 'give', 'b')
        assert cell.current.verify_key(given['key']) == 'b'
        listed = cell.json('key', 'list')
        assert given['key_id'] in [key['key_id'] for key in listed]
        assert given['key'] not in json.dumps(listed)
        assert cell.run('key', 'withdraw', given['key_id']) == 0
        assert cell.current.verify_key(given['key']) is None
        assert cell.json('key', 'give', 'b', '--dry-run')['key'] == ''

    def test_key_alone_is_printed_for_scripts(self, cell: _Cell) -> None:
        # Guards against output that scripts would have to parse.
        assert cell.run('key', 'give', 'b', '--only-key') == 0
        text = cell.capsys.readouterr().out
        assert cell.current.verify_key(text.removesuffix('\n')) == 'b'

    def test_zone_is_declared_lost_only_when_confirmed(
        self, cell: _Cell
    ) -> None:
        # Guards against work that runs twice after an unintended command.
        code, text = cell.error('zone', 'declare-lost', 'menez')
        assert (code, '--yes' in text) == (2, True)
        assert cell.run('zone', 'declare-lost', 'menez', '--yes') == 0
        assert cell.current.zones_by_id['menez'].lost
        code, _ = cell.error('zone', 'declare-lost', 'none', '--yes')
        assert code == 1

    def test_zone_is_evacuated_and_readmitted(self, cell: _Cell) -> None:
        # Guards against an evacuation that is not published or not shown.
        assert cell.run('zone', 'evacuate', 'menez') == 0
        assert cell.current.zones_by_id['menez'].evacuated
        revision = cell.current.revision
        assert cell.run('zone', 'evacuate', 'menez') == 0
        assert cell.current.revision == revision
        listed = cell.json('zone', 'list')
        assert [zone['name'] for zone in listed if zone['evacuated']] == [
            'menez'
        ]
        assert cell.run('zone', 'readmit', 'menez') == 0
        assert not cell.current.zones_by_id['menez'].evacuated
        for command in ('evacuate', 'readmit'):
            code, text = cell.error('zone', command, 'none')
            assert (code, 'zone list' in text) == (1, True)

    def test_arbiters_are_given_to_a_zone_once(self, cell: _Cell) -> None:
        # Guards against reporting success for new arbiters of a zone that
        # has some, since the nodes ignore such a change.
        first = ('zone', 'put', 'new', '--arbiter', 'w1')
        assert cell.run(*first) == 0
        assert cell.run(*first, '--region', 'north') == 0
        code, text = cell.error('zone', 'put', 'new', '--arbiter', 'w2')
        assert (code, 'only the nodes may replace' in text) == (1, True)
        assert cell.current.zones_by_id['new'].arbiters == ('w1',)
        assert cell.current.zones_by_id['new'].region == 'north'

    def test_file_is_compared_and_applied(
        self, cell: _Cell, tmp_path: pathlib.Path
    ) -> None:
        # Guards against retiring objects that the file keeps.
        file = tmp_path / 'cell.toml'
        file.write_text(
            '[teams.a]\nshare = 3.0\n[teams.c]\n[queues.work]\nservice = "s"\n'
        )
        report = cell.json('config', 'diff', str(file))
        assert [
            (difference['name'], difference['field'])
            for difference in report['differences']
        ] == [('a', 'share'), ('c', '')]
        assert cell.run('config', 'apply', str(file)) == 0
        assert set(cell.current.queues_by_id) == {'work', 'free'}
        assert cell.run('config', 'apply', str(file), '--prune') == 0
        assert set(cell.current.queues_by_id) == {'work'}
        assert set(cell.current.teams_by_id) == {'a', 'c'}
        assert set(cell.current.profiles_by_id) == {'p'}
        assert cell.json('config', 'diff', str(file))['differences'] == []

    @pytest.mark.parametrize(
        'content',
        ['[teams', '[others.a]', '[teams.a]\nshares = 1', '[teams]\na = 1'],
    )
    def test_wrong_file_is_wrong_usage(
        self, cell: _Cell, tmp_path: pathlib.Path, content: str
    ) -> None:
        # Guards against silently ignoring a misspelled field.
        file = tmp_path / 'cell.toml'
        file.write_text(content)
        code, text = cell.error('config', 'apply', str(file))
        assert (code, 'next:' in text) == (2, True)


class TestViews:
    """Every view has a table and JSON."""

    @pytest.mark.parametrize(
        'command',
        [
            'config show',
            'config history',
            'profile list',
            'service list',
            'queue list',
            'team list',
            'zone list',
            'key list',
            'nodes',
            'workers',
            'jobs',
            'share explain a',
            'quota a',
        ],
    )
    def test_view_prints_a_table_and_json(
        self, cell: _Cell, command: str
    ) -> None:
        # Guards against a view that programs can't read.
        assert cell.run(*command.split()) == 0
        assert cell.capsys.readouterr().out
        cell.json(*command.split())

    def test_table_shows_whole_names_and_readable_times(
        self, cell: _Cell
    ) -> None:
        # Guards against ids that can't be copied into the next command.
        name = 'a-rather-long-name-of-a-team-that-fills-a-narrow-terminal'
        assert cell.run('team', 'put', name) == 0
        assert cell.run('team', 'list') == 0
        assert name in cell.capsys.readouterr().out
        output.Output(False).rows(('changed_at_s', 'b'), [(0.0, {'x': 1})], 0)
        shown = cell.capsys.readouterr().out
        assert '1970-01-01 00:00:00+00:00' in shown
        assert 'x=1' in shown

    def test_drain_reaches_the_named_node_only(self, cell: _Cell) -> None:
        # Guards against draining another node than the one named.
        assert cell.run('drain', cell.address, address='127.0.0.1:1') == 0
        assert cell.node.parts.drained == 1

    def test_unknown_job_fails_with_a_hint(self, cell: _Cell) -> None:
        # Guards against a failure that looks like success to a script.
        for command in ('show', 'why', 'cancel'):
            code, text = cell.error('job', command, 'arree--x')
            assert (code, 'does not exist' in text) == (1, True)

    def test_timeline_asks_for_all_pages(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a timeline that ends after the first page.
        monkeypatch.setattr(main.timeline, 'EVENTS_PER_PAGE', 2)
        cell.node.parts.kept_events = [
            {'number': number, 'clock': 9 - number, 'node': 'n', 'kind': 'k'}
            for number in range(1, 6)
        ]
        assert cell.run('timeline') == 0
        lines = cell.capsys.readouterr().out.splitlines()
        clocks = [json.loads(line)['clock'] for line in lines]
        assert clocks == [4, 5, 6, 7, 8]


class TestTables:
    """Values in tables can be read by people."""

    def test_times_and_fractions_are_readable(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        # Guards against times as seconds and against needless digits.
        rows = [('submitted_at_s', 0.0), ('age_s', 0.0758175)]
        output.Output(False).rows(output.FIELD_COLUMNS, rows, None)
        text = capsys.readouterr().out
        assert '1970-01-01 00:00:00+00:00' in text
        assert '0.076 ' in text


class TestExitCodes:
    """Scripts can tell the kinds of failure apart."""

    @pytest.mark.parametrize(
        'arguments', [['none'], ['profile', 'put'], ['nodes', '--none']]
    )
    def test_wrong_usage(
        self, arguments: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        # Guards against exit code 0 after a mistyped command.
        assert main.run(arguments) == failures.ExitCode.USAGE

    def test_no_address_says_how_to_give_one(
        self, monkeypatch: pytest.MonkeyPatch, capsys: object
    ) -> None:
        # Guards against an error without a hint what to set.
        monkeypatch.delenv('SAMPHIRESTACK_ADDRESSES', raising=False)
        monkeypatch.setenv('HOME', '/nonexistent')
        assert main.run(['nodes']) == failures.ExitCode.USAGE
        assert 'SAMPHIRESTACK_ADDRESSES' in capsys.readouterr().err

    def test_wrong_token(self, cell: _Cell) -> None:
        # Guards against reporting a wrong token as an outage.
        cell.token.write_text('another-token-of-operators')
        code, text = cell.error('nodes')
        assert (code, 'security.operator_token_file' in text) == (5, True)

    def test_refused_connection(self, cell: _Cell) -> None:
        # Guards against reporting an outage as a refused request.
        with socket.socket() as bound:
            bound.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{bound.getsockname()[1]}'
            for command in (('nodes',), ('team', 'put', 'c')):
                code, text = cell.error(*command, address=address)
                assert code == 4
                assert f'{address} does not answer: Connection refused' in text

    def test_next_node_is_asked(self, cell: _Cell) -> None:
        # Guards against commands that fail while one node is down.
        code = cell.run(
            'nodes', '--address', cell.address, address='127.0.0.1:1'
        )
        assert code == 0

    def test_settings_come_from_file_and_environment(
        self,
        cell: _Cell,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        # Guards against a file that overrides the environment.
        file = tmp_path / 'client.toml'
        file.write_text(
            f'addresses = ["127.0.0.1:1"]\ntoken_file = "{cell.token}"\n'
        )
        monkeypatch.setenv('SAMPHIRESTACK_CLIENT_CONFIG', str(file))
        assert main.run(['nodes']) == failures.ExitCode.UNREACHABLE
        monkeypatch.setenv('SAMPHIRESTACK_ADDRESSES', cell.address)
        assert main.run(['nodes']) == failures.ExitCode.DONE
        file.write_text('adresses = []\n')
        assert main.run(['nodes']) == failures.ExitCode.USAGE

    def test_each_command_has_help_with_an_example(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        # Guards against commands without documentation.
        def leaves(app: object, path: list[str]) -> Iterator[list[str]]:
            names = [name for name in app if not name.startswith('-')]
            if not names:
                yield path
            for name in names:
                yield from leaves(app[name], [*path, name])

        paths = list(leaves(main.create_app(), []))
        assert len(paths) > 25
        for path in paths:
            with contextlib.suppress(SystemExit):
                main.run([*path, '--help'])
            text = capsys.readouterr().out
            assert 'Examples' in text, path
            assert f'samphirestack {" ".join(path)}' in text, path
