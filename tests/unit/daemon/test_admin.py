"""Tests of the operator API."""

import pytest

from samphirestack import errors
from samphirestack import model
from samphirestack_testing import asgi
from samphirestack_testing import entry_world as fakes
from samphirestack_testing import operator_world as operators
from samphirestackd import admin
from samphirestackd import dispatch


class TestAdmin:
    """Views and changes for operators, and rejection of other callers."""

    @pytest.mark.parametrize(
        'header',
        [
            '',
            'Bearer',
            'Bearer wrong',
            f'Basic {operators.TOKEN}',
            operators.TOKEN,
        ],
    )
    async def test_wrong_token_is_refused(self, header: str) -> None:
        # Guards against access without the operator token.
        node = operators.Admin()
        headers = {'Authorization': header}
        for path in ('/admin/v1/configuration', '/metrics', '/none'):
            reply = await asgi.call(node.app, 'GET', path, b'', headers)
            assert reply.status == 401

    async def test_configuration_hides_key_verifiers(self) -> None:
        # Guards against key verifiers that leak into scripts and logs.
        node = operators.Admin()
        (key,) = node.world.current.keys_by_id.values()
        reply = await node.call('/configuration')
        assert reply.data['revision'] == 1
        assert key.digest not in reply.content.decode()

    async def test_change_is_applied_at_the_expected_revision(self) -> None:
        # Guards against a change that is based on an outdated revision.
        node = operators.Admin()
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
        # Guards against a misspelled field that is silently ignored.
        reply = await operators.Admin().call('/changes', 'POST', body)
        assert (reply.status, reply.data['code']) == (400, 'bad_request')

    async def test_nodes_and_workers_are_listed(self) -> None:
        # Guards against a list that omits the answering node.
        node = operators.Admin()
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
        # Guards against explanations from a node that does not lead.
        node = operators.Admin()
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

    async def test_other_paths_reach_their_handlers(self) -> None:
        # Guards against routes that are not connected.
        node = operators.Admin()
        assert (await node.call('/shares/a')).data == {'team': 'a'}
        assert (await node.call('/shares/none')).status == 404
        assert (await node.call('/history', query='limit=3')).data == [
            {'revision': 3}
        ]
        assert (await node.call('/history', query='limit=x')).status == 400
        node.parts.kept_events = [{'number': 1}, {'number': 2}]
        events = await node.call('/events', query='since=1')
        assert events.data == [{'number': 2}]
        assert (await node.call('/drain', 'POST')).status == 202
        assert node.parts.drained == 1
        metrics = await asgi.call(
            node.app, 'GET', '/metrics', b'', operators.HEADERS
        )
        assert metrics.content == b'requests 1\n'
        assert (await node.call('/drain')).status == 400

    def test_short_token_is_refused(self, tmp_path: object) -> None:
        # Guards against a token that is short enough to guess.
        path = tmp_path / 'token'
        path.write_text('short')
        settings = fakes.a_settings(token_file=str(path))
        with pytest.raises(errors.SettingsError):
            admin.read_token(settings)
        path.write_text(operators.TOKEN + '\n')
        assert admin.read_token(settings) == operators.TOKEN
