"""Tests of the operators' interface."""

import pytest

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestackd import admin
from samphirestackd import dispatch
from tests.unit.daemon import asgi
from tests.unit.daemon import fakes

TOKEN = 'a-token-of-operators'
HEADERS = {'Authorization': f'Bearer {TOKEN}'}


class _Parts:
    """Fakes of all parts, which note what they are asked."""

    def __init__(self, world: fakes.World) -> None:
        self.world = world
        self.leads = True
        self.drained = 0

    async def change(
        self,
        changes: list[configuration.Change],
        expected_revision: int,
        author: str,
        dry_run: bool,
    ) -> configuration.Configuration:
        current = self.world.view.current
        if expected_revision != current.revision:
            raise errors.Conflict('another change came first')
        return configuration.apply(
            current, changes, author=author, wall_time_s=0.0
        )

    async def history(self, limit: int) -> list[int]:
        return [limit]

    def since(self, number: int, limit: int) -> list[dict]:
        return [{'number': number + 1}]

    def render(self) -> tuple[bytes, str]:
        return b'requests 1\n', 'text/plain'

    def explain_job(self, job_id: str) -> str | None:
        return 'It waits.' if self.leads else None

    def explain_share(self, team: str) -> object | None:
        return {'team': team} if self.leads else None

    def worker_states(self) -> dict[str, str]:
        return {'w1': 'leased'}

    def drain(self) -> None:
        self.drained += 1


class _Admin:
    """A node's operator interface over fakes."""

    def __init__(self) -> None:
        self.world = fakes.World()
        self.parts = _Parts(self.world)
        self.dispatcher = dispatch.create(self.world.context, fakes.FAST)
        parts = admin.Parts(
            self.parts, self.parts, self.parts, self.parts, self.parts.drain
        )
        self.app = admin.create_app(
            self.world.context, self.dispatcher, parts, TOKEN
        )

    async def call(
        self,
        path: str,
        method: str = 'GET',
        body: object = b'',
        query: str = '',
    ) -> asgi.Reply:
        return await asgi.call(
            self.app, method, f'/admin/v1{path}', body, HEADERS, query
        )


class TestAdmin:
    """Operators see and change things; nobody else does."""

    @pytest.mark.parametrize(
        'header', ['', 'Bearer', 'Bearer wrong', f'Basic {TOKEN}', TOKEN]
    )
    async def test_wrong_token_is_refused(self, header: str) -> None:
        # Guards against changes by anyone who reaches the port.
        node = _Admin()
        headers = {'Authorization': header}
        for path in ('/admin/v1/configuration', '/metrics', '/none'):
            reply = await asgi.call(node.app, 'GET', path, b'', headers)
            assert reply.status == 401

    async def test_configuration_hides_key_verifiers(self) -> None:
        # Guards against verifiers that end up in scripts and logs.
        node = _Admin()
        (key,) = node.world.current.keys_by_id.values()
        reply = await node.call('/configuration')
        assert reply.data['revision'] == 1
        assert key.digest not in reply.content.decode()

    async def test_change_is_applied_at_the_expected_revision(self) -> None:
        # Guards against a change based on what is no longer there.
        node = _Admin()
        change = {'type': 'put_team', 'team': {'name': 'c'}}
        body = {'expected_revision': 1, 'changes': [change], 'author': 'x'}
        reply = await node.call('/changes', 'POST', body)
        assert (reply.status, reply.data['revision']) == (200, 2)
        body['expected_revision'] = 7
        reply = await node.call('/changes', 'POST', body)
        assert (reply.status, reply.data['code']) == (409, 'conflict')

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            {'expected_revision': 1, 'changes': []},
            {'expected_revision': -1, 'changes': [{'type': 'put_team'}]},
            {'expected_revision': 1, 'changes': [{'type': 'other'}]},
            {
                'expected_revision': 1,
                'changes': [
                    {'type': 'put_team', 'team': {'name': 'c', 'shares': 2}}
                ],
            },
        ],
    )
    async def test_malformed_change_is_refused(self, body: object) -> None:
        # Guards against a misspelled field that is silently dropped.
        reply = await _Admin().call('/changes', 'POST', body)
        assert (reply.status, reply.data['code']) == (400, 'bad_request')

    async def test_nodes_and_workers_are_listed(self) -> None:
        # Guards against a view that leaves out the answering node.
        node = _Admin()
        node.world.vms.vms = {
            'w1': model.Vm('w1', 'a', model.VmRole.WORKER, 'arree')
        }
        nodes = (await node.call('/nodes')).data
        assert [one['vm_id'] for one in nodes if one['answering']] == [
            fakes.OWN
        ]
        assert [one['vm_id'] for one in nodes if one['leads']] == [
            fakes.LEADER
        ]
        (worker,) = (await node.call('/workers')).data
        assert worker['state'] == 'leased'

    async def test_job_is_listed_explained_and_cancelled(self) -> None:
        # Guards against explanations from nodes that know nothing.
        node = _Admin()
        queue = node.world.current.queues_by_id['work']
        job_id = await node.dispatcher.jobs.submit(
            dispatch.jobs.JobRequest(
                queue,
                'a',
                model.JobKind.BATCH,
                1,
                model.Resources(1),
                1.0,
                True,
            )
        )
        (job,) = (await node.call('/jobs', query='team=a')).data
        assert job['job_id'] == job_id
        assert (await node.call('/jobs', query='team=b')).data == []
        path = f'/jobs/{job_id}'
        assert (await node.call(path)).data['job']['team'] == 'a'
        why = await node.call(f'{path}/explain')
        assert why.data['explanation'] == 'It waits.'
        node.parts.leads = False
        why = await node.call(f'{path}/explain')
        assert why.data['code'] == 'no_leader'
        assert fakes.LEADER in why.data['hint']
        assert (await node.call(path, 'DELETE')).status == 202

    async def test_other_questions_reach_their_parts(self) -> None:
        # Guards against routes that are not connected.
        node = _Admin()
        assert (await node.call('/shares/a')).data == {'team': 'a'}
        assert (await node.call('/shares/none')).status == 404
        assert (await node.call('/history', query='limit=3')).data == [3]
        assert (await node.call('/history', query='limit=x')).status == 400
        events = await node.call('/events', query='since=4')
        assert events.data == [{'number': 5}]
        assert (await node.call('/drain', 'POST')).status == 202
        assert node.parts.drained == 1
        metrics = await asgi.call(node.app, 'GET', '/metrics', b'', HEADERS)
        assert metrics.content == b'requests 1\n'
        assert (await node.call('/drain')).status == 400

    def test_short_token_is_refused(self, tmp_path: object) -> None:
        # Guards against a token that can be guessed.
        path = tmp_path / 'token'
        path.write_text('short')
        settings = fakes.a_settings(token_file=str(path))
        with pytest.raises(errors.SettingsError):
            admin.read_token(settings)
        path.write_text(TOKEN + '\n')
        assert admin.read_token(settings) == TOKEN
