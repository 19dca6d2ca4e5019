"""The daemon's HTTP clients and the stand-ins understand each other."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from samphirestack import errors
from samphirestack import model
from samphirestack_testing import ledger
from samphirestack_testing.standins import serving
from samphirestack_testing.standins import upstreams
from samphirestack_testing import waiting
from samphirestackd import upstream_http

CONNECTIONS = 8
DEADLINE_S = 10.0
EPOCH = model.Epoch(1)
TEAM = model.TeamId('coast')
Mode = upstreams.Mode


class TestUpstreamClient:
    """The verdict of the client is what the upstream's ledger says."""

    @pytest.fixture(name='client')
    async def _client(
        self,
    ) -> AsyncIterator[upstream_http.HttpUpstreamClient]:
        client = upstream_http.HttpUpstreamClient(lambda _: CONNECTIONS)
        yield client
        await client.close()

    @pytest.fixture(name='upstream')
    def _upstream(self) -> upstreams.Upstream:
        vm = model.Vm(
            model.VmId('u'),
            '',
            model.VmRole.UPSTREAM,
            model.ZoneId('arree'),
            slots=1,
            connections=CONNECTIONS,
        )
        return upstreams.Upstream(vm, ledger.Writer(''))

    @pytest.fixture(name='address')
    async def _address(
        self, upstream: upstreams.Upstream
    ) -> AsyncIterator[str]:
        listener = await serving.listen(upstream.app())
        yield listener.address
        await listener.close()

    @staticmethod
    async def _work(
        client: upstream_http.HttpUpstreamClient,
        address: str,
        name: str,
        body: bytes = b'{}',
    ) -> int:
        request_id = model.RequestId(name)
        answer = await client.work(
            address, request_id, TEAM, EPOCH, body, DEADLINE_S
        )
        return answer.status

    async def test_refusal_of_a_full_upstream_has_not_run(
        self,
        client: upstream_http.HttpUpstreamClient,
        upstream: upstreams.Upstream,
        address: str,
    ) -> None:
        """Guards against refusals that the client does not trust."""
        body = b'{"work_s": 0.5}'
        first = asyncio.create_task(self._work(client, address, 'r1', body))
        await waiting.until(lambda: upstream.active, DEADLINE_S, 'active')
        status = await client.status(address)
        assert [entry.request_id for entry in status.active] == ['r1']
        with pytest.raises(errors.UpstreamRefused):
            await self._work(client, address, 'r2')
        assert await first == 200

    @pytest.mark.parametrize(
        'mode',
        [
            Mode.BREAK_BEFORE,
            Mode.BREAK_DURING,
            Mode.BREAK_AFTER,
            Mode.TRUNCATE,
        ],
    )
    async def test_broken_call_may_have_run(
        self,
        client: upstream_http.HttpUpstreamClient,
        upstream: upstreams.Upstream,
        address: str,
        mode: Mode,
    ) -> None:
        """Guards against a broken call that counts as not run."""
        upstream.set_faults(0.0, upstreams.Faults(mode))
        with pytest.raises(errors.UpstreamFailed) as caught:
            await self._work(client, address, 'r1')
        assert not isinstance(caught.value, errors.UpstreamRefused)
