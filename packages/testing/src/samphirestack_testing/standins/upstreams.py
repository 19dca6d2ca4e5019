"""Process with several upstreams that answer requests.

``POST /control/{upstream id}`` takes the :class:`Faults` of an upstream;
the name ``all`` stands for every upstream of the process.
"""

import asyncio
import enum
import time

from aiohttp import web
import msgspec

from samphirestack import model
from samphirestack import platform
from samphirestack_testing import ledger
from samphirestack_testing.standins import serving

HANG_S = 3600.0
FILLER = 'x' * 200
VERDICT_HEADER = 'Samphirestack-Verdict'
REQUEST_ID_HEADER = 'Samphirestack-Request-Id'
TEAM_HEADER = 'Samphirestack-Team'


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process; addresses of the VMs are left empty."""

    ready: str
    ledger: str
    vms: tuple[model.Vm, ...]


class Mode(enum.Enum):
    """What happens to a request that a fault hits."""

    NONE = 'none'
    BREAK_BEFORE = 'break_before'
    """The connection breaks and the request does not run."""
    BREAK_DURING = 'break_during'
    """The connection breaks when half of the work is done."""
    BREAK_AFTER = 'break_after'
    """The request runs and the connection breaks before the answer."""
    TRUNCATE = 'truncate'
    """The request runs and the connection breaks within the answer."""
    SILENT_BEFORE = 'silent_before'
    """The request does not run and the connection stays open."""
    SILENT_AFTER = 'silent_after'
    """The request runs, no answer is sent, the connection stays open."""
    FAIL = 'fail'
    """The request runs and is answered with status 500."""


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How an upstream misbehaves."""

    mode: Mode = Mode.NONE
    every: int = 1
    """The fault hits each ``every``-th request."""
    slowdown: float = 1.0
    """Factor on the work time."""
    leaving: bool = False
    """Refuse all requests and say so in the status."""


class Work(msgspec.Struct, frozen=True):
    """What the payload of a request asks for."""

    call: str = ''
    work_s: float = 0.0


class Answer(msgspec.Struct, frozen=True):
    """Body of an answer."""

    request_id: str
    call: str
    upstream: str
    filler: str = FILLER


class Upstream:
    """One upstream with slots and connections."""

    def __init__(self, vm: model.Vm, writer: ledger.Writer) -> None:
        self.vm = vm
        self.faults = Faults()
        self.active: list[platform.ActiveRequest] = []
        self.listener: serving.Listener | None = None
        self._writer = writer
        self._count = 0

    def app(self) -> web.Application:
        """Return the HTTP interface."""
        app = web.Application()
        app.router.add_post('/work', self._work)
        app.router.add_get('/status', self._status)
        return app

    def offer(self, now: float) -> None:
        """Write the size of the upstream to the ledger."""
        self._write(now, ledger.Event.OFFERED, slots=self.vm.slots)

    def set_faults(self, now: float, faults: Faults) -> None:
        """Replace the faults."""
        if faults.leaving and not self.faults.leaving:
            self._write(now, ledger.Event.LEAVING)
        self.faults = faults

    async def _status(self, _: web.Request) -> web.Response:
        status = platform.UpstreamStatus(
            self.vm.slots, tuple(self.active), self.faults.leaving
        )
        return serving.json_response(status)

    async def _work(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self._must_refuse():
            return self._refuse(request)
        mode = self._mode()
        if mode is Mode.BREAK_BEFORE:
            return _break_off(request)
        if mode is Mode.SILENT_BEFORE:
            await asyncio.sleep(HANG_S)
        answer = await self._run(request, _work_of(body), mode)
        if mode is Mode.SILENT_AFTER:
            await asyncio.sleep(HANG_S)
        if mode in (Mode.BREAK_AFTER, Mode.BREAK_DURING):
            return _break_off(request)
        response = serving.json_response(
            answer, 500 if mode is Mode.FAIL else 200
        )
        response.headers[REQUEST_ID_HEADER] = answer.request_id
        if mode is Mode.TRUNCATE:
            return await _truncate(request, response)
        return response

    def _must_refuse(self) -> bool:
        connections = 0
        if self.listener is not None and self.listener.runner.server:
            connections = len(self.listener.runner.server.connections)
        return (
            self.faults.leaving
            or len(self.active) >= self.vm.slots
            or 0 < self.vm.connections < connections
        )

    def _refuse(self, request: web.Request) -> web.Response:
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        self._write(time.monotonic(), ledger.Event.REFUSED, id=request_id)
        headers = {VERDICT_HEADER: 'not-run', REQUEST_ID_HEADER: request_id}
        return web.Response(status=503, headers=headers)

    def _mode(self) -> Mode:
        self._count += 1
        if self._count % self.faults.every:
            return Mode.NONE
        return self.faults.mode

    async def _run(
        self, request: web.Request, work: Work, mode: Mode
    ) -> Answer:
        """Do the work; it goes on if the caller's connection breaks."""
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        team = request.headers.get(TEAM_HEADER, '')
        entry = platform.ActiveRequest(
            model.RequestId(request_id), model.TeamId(team)
        )
        answer = Answer(request_id, work.call, self.vm.vm_id)
        self.active.append(entry)
        self._write(
            time.monotonic(),
            ledger.Event.START,
            id=request_id,
            team=team,
            call=work.call,
        )
        try:
            part = 0.5 if mode is Mode.BREAK_DURING else 1.0
            await asyncio.sleep(work.work_s * self.faults.slowdown * part)
        finally:
            self.active.remove(entry)
            self._write(
                time.monotonic(),
                ledger.Event.END,
                id=request_id,
                team=team,
                call=work.call,
                outcome=mode.value,
                digest=ledger.digest_of(answer),
            )
        return answer

    def _write(
        self, at: float, event: ledger.Event, **fields: str | int
    ) -> None:
        subject = ledger.Subject.REQUEST
        if event in (ledger.Event.OFFERED, ledger.Event.LEAVING):
            subject = ledger.Subject.VM
        self._writer.write(
            ledger.Line(at, event, subject, self.vm.vm_id, **fields)  # type: ignore[arg-type]
        )


def _work_of(body: bytes) -> Work:
    """Return what the payload asks for; another payload asks for nothing."""
    try:
        return msgspec.json.decode(body, type=Work)
    except msgspec.MsgspecError:
        return Work()


def _break_off(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def _truncate(
    request: web.Request, whole: web.Response
) -> web.StreamResponse:
    body = whole.body if isinstance(whole.body, bytes) else b''
    partial = web.StreamResponse(status=whole.status)
    partial.content_length = len(body)
    await partial.prepare(request)
    await partial.write(body[: len(body) // 2])
    if request.transport is not None:
        request.transport.close()
    return partial


class Upstreams:
    """The upstreams of a process by id."""

    def __init__(self, settings: Settings) -> None:
        writer = ledger.Writer(settings.ledger)
        self.by_id = {vm.vm_id: Upstream(vm, writer) for vm in settings.vms}

    async def start(self) -> dict[str, str]:
        """Start to serve and return the address of each upstream."""
        addresses = {}
        for vm_id, upstream in self.by_id.items():
            upstream.offer(time.monotonic())
            upstream.listener = await serving.listen(upstream.app())
            addresses[str(vm_id)] = upstream.listener.address
        return addresses

    def control(self, name: str, body: bytes) -> None:
        """Set the faults of one upstream or of ``all``.

        :raises KeyError: there is no such upstream.
        """
        faults = msgspec.json.decode(body, type=Faults)
        chosen = [model.VmId(name)]
        if name == 'all':
            chosen = list(self.by_id)
        for vm_id in chosen:
            self.by_id[vm_id].set_faults(time.monotonic(), faults)

    def state(self) -> dict[str, int]:
        """Return the number of active requests of each upstream."""
        return {
            str(vm_id): len(upstream.active)
            for vm_id, upstream in self.by_id.items()
        }


async def run(settings: Settings) -> None:
    """Serve until cancelled."""
    upstreams = Upstreams(settings)
    addresses = await upstreams.start()
    control = await serving.listen(
        serving.control_app(upstreams.control, upstreams.state)
    )
    serving.write_ready(
        settings.ready, serving.Ready(control.address, addresses)
    )
    await asyncio.Event().wait()


if __name__ == '__main__':
    serving.main(Settings, run)
