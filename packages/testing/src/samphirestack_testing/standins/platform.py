"""Stand-in for the platform: table, object store and list of VMs.

``POST /control/platform`` takes a :class:`Control`.
"""

import asyncio
import time

from aiohttp import web
import msgspec

from samphirestack import model
from samphirestack import platform
from samphirestack_testing import ledger
from samphirestack_testing.standins import serving
from samphirestack_testing.standins import table
from samphirestack_testing.standins import vms

HANG_S = 3600.0
MAX_BODY_BYTES = 64 * 1024 * 1024


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process."""

    ready: str
    ledger: str
    vms: tuple[model.Vm, ...] = ()
    vm_lag_s: float = 0.5
    """How far the list of VMs lags behind."""
    delay_s: float = 0.001
    """Time that each call to the table or object store takes."""


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to set; a field that is left out changes nothing."""

    down: bool | None = None
    """Whether table and objects answer 503 without effect."""
    silent: bool | None = None
    """Whether table and objects take calls and never answer them."""
    delay_s: float | None = None
    lose_answers: int | None = None
    """Number of next writes that take effect and get no answer."""
    put: model.Vm | None = None
    leave: model.VmId | None = None
    remove: model.VmId | None = None


class State(msgspec.Struct, frozen=True):
    """What ``GET /control`` answers."""

    reads: int
    writes: int
    lose_answers: int


class Transaction(msgspec.Struct, frozen=True):
    """Body of ``POST /table/transact``."""

    ops: list[platform.Write]


class Versions(msgspec.Struct, frozen=True):
    """Answer to a transaction that took effect."""

    versions: list[int]


class Refusal(msgspec.Struct, frozen=True):
    """Answer to a transaction that did not take effect."""

    conflicts: list[table.Conflict]


class Platform:
    """The platform with its faults, as an application of aiohttp."""

    def __init__(
        self, listed: vms.LaggingVms, writer: ledger.Writer, delay_s: float
    ) -> None:
        self.rows = table.TableRows()
        self.vms = listed
        self._objects: dict[str, bytes] = {}
        self._writer = writer
        self._delay_s = delay_s
        self._down = False
        self._silent = False
        self._lose_answers = 0
        self._reads = 0

    def app(self) -> web.Application:
        """Return the HTTP interface."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post('/table/transact', self._transact)
        app.router.add_get('/table/{table}', self._scan)
        app.router.add_get('/table/{table}/{key:.+}', self._get)
        app.router.add_put('/objects/{name:.+}', self._put_object)
        app.router.add_get('/objects/{name:.+}', self._get_object)
        app.router.add_get('/vms', self._list_vms)
        return app

    def control(self, now: float, command: Control) -> None:
        """Set faults and change the list of VMs.

        :raises KeyError: a VM that is not listed leaves or is removed.
        """
        if command.down is not None:
            self._down = command.down
        if command.silent is not None:
            self._silent = command.silent
        if command.delay_s is not None:
            self._delay_s = command.delay_s
        if command.lose_answers is not None:
            self._lose_answers = command.lose_answers
        self._change_vms(now, command)

    def state(self) -> State:
        """Return the counters."""
        return State(self._reads, self.rows.writes, self._lose_answers)

    def _change_vms(self, now: float, command: Control) -> None:
        if command.put is not None:
            self.vms.put(now, command.put)
        if command.remove is not None:
            self.vms.remove(now, command.remove)
        if command.leave is not None:
            self.vms.leave(now, command.leave)
            self._writer.write(
                ledger.Line(
                    now,
                    ledger.Event.LEAVING,
                    ledger.Subject.VM,
                    command.leave,
                )
            )

    async def _admit(self) -> None:
        if self._silent:
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(self._delay_s)
        if self._down:
            raise web.HTTPServiceUnavailable(text='the store is down')

    async def _get(self, request: web.Request) -> web.Response:
        await self._admit()
        self._reads += 1
        info = request.match_info
        row = self.rows.get(info['table'], info['key'])
        if row is None:
            raise web.HTTPNotFound
        return serving.json_response(row)

    async def _scan(self, request: web.Request) -> web.Response:
        await self._admit()
        self._reads += 1
        prefix = request.query.get('prefix', '')
        rows = self.rows.scan(request.match_info['table'], prefix)
        return serving.json_response(rows)

    async def _transact(self, request: web.Request) -> web.Response:
        body = await serving.body_of(request, Transaction)
        await self._admit()
        try:
            versions = self.rows.transact(body.ops)
        except table.Conflicts as error:
            return serving.json_response(Refusal(error.conflicts), 409)
        self._lose_answer(request)
        return serving.json_response(Versions(versions))

    def _lose_answer(self, request: web.Request) -> None:
        if self._lose_answers <= 0:
            return
        self._lose_answers -= 1
        if request.transport is not None:
            request.transport.abort()

    async def _put_object(self, request: web.Request) -> web.Response:
        content = await request.read()
        await self._admit()
        self._objects[request.match_info['name']] = content
        return web.Response(status=204)

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._admit()
        content = self._objects.get(request.match_info['name'])
        if content is None:
            raise web.HTTPNotFound
        return web.Response(body=content)

    async def _list_vms(self, request: web.Request) -> web.Response:
        listed = self.vms.visible(time.monotonic())
        etag = f'"{ledger.digest_of(listed)}"'
        if request.headers.get('If-None-Match') == etag:
            return web.Response(status=304, headers={'ETag': etag})
        response = serving.json_response(listed)
        response.headers['ETag'] = etag
        return response


def create(settings: Settings) -> Platform:
    """Return the platform that the settings describe."""
    writer = ledger.Writer(settings.ledger)
    listed = vms.LaggingVms(settings.vms, settings.vm_lag_s)
    return Platform(listed, writer, settings.delay_s)


async def run(settings: Settings) -> None:
    """Serve until cancelled."""
    stand_in = create(settings)

    def apply(_: str, body: bytes) -> None:
        command = msgspec.json.decode(body, type=Control)
        stand_in.control(time.monotonic(), command)

    served = await serving.listen(stand_in.app())
    control = await serving.listen(serving.control_app(apply, stand_in.state))
    addresses = {'platform': served.address}
    serving.write_ready(
        settings.ready, serving.Ready(control.address, addresses)
    )
    await asyncio.Event().wait()


if __name__ == '__main__':
    serving.main(Settings, run)
