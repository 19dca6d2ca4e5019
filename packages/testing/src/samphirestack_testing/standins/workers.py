"""Process with the agents of several workers.

``POST /control/{worker id}`` takes the :class:`agent.Faults` of a worker;
the name ``all`` stands for every worker of the process.
"""

import asyncio
import time

from aiohttp import web
import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestack_testing import ledger
from samphirestack_testing.standins import agent
from samphirestack_testing.standins import serving

HANG_S = 3600.0
MAX_POLL_S = 60.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the process; addresses of the VMs are left empty."""

    ready: str
    ledger: str
    vms: tuple[model.Vm, ...]
    usage_lag_s: float = 2.0


class Lease(msgspec.Struct, frozen=True):
    """Body of ``POST /lease``."""

    owner: model.VmId
    epoch: model.Epoch
    ttl_s: float
    with_tasks: bool = False


class Start(msgspec.Struct, frozen=True):
    """Body of ``POST /tasks``."""

    epoch: model.Epoch
    task: platform.TaskStart


class Command(msgspec.Struct, frozen=True):
    """Body of a call about one task."""

    epoch: model.Epoch
    percent: int = 100


class Refusal(msgspec.Struct, frozen=True):
    """Body of an answer with status 404 or 409."""

    code: str
    message: str
    worker: str
    epoch: model.Epoch
    owner: model.VmId


class Holder(msgspec.Struct, frozen=True):
    """The owner of a worker with its epoch, as ``GET /control`` tells."""

    owner: model.VmId
    epoch: model.Epoch


class AgentServer:
    """HTTP interface of one agent."""

    def __init__(self, served: agent.Agent) -> None:
        self.agent = served
        self._changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Return the HTTP interface."""
        app = web.Application(middlewares=[self._guard])
        app.router.add_post('/lease', self._lease)
        app.router.add_post('/tasks', self._start)
        app.router.add_post('/tasks/{id:.+}/{verb}', self._command)
        app.router.add_get('/events', self._events)
        app.router.add_get('/usage', self._usage)
        return app

    async def run(self) -> None:
        """End tasks and the lease when they are due, until cancelled."""
        while True:
            async with self._changed:
                now = time.monotonic()
                seen = len(self.agent.events)
                self.agent.advance(now)
                if len(self.agent.events) != seen:
                    self._changed.notify_all()
                due = self.agent.next_due()
                timeout = None if due == float('inf') else due - now
                try:
                    async with asyncio.timeout(timeout):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    @web.middleware
    async def _guard(
        self, request: web.Request, handler: object
    ) -> web.StreamResponse:
        faults = self.agent.faults
        if faults.unreachable:
            await asyncio.sleep(HANG_S)
        if faults.answer_delay_s:
            await asyncio.sleep(faults.answer_delay_s)
        try:
            response: web.StreamResponse = await handler(request)  # type: ignore[operator]
        except errors.SamphireError as error:
            return self._refusal(error)
        if request.method == 'POST':
            async with self._changed:
                self._changed.notify_all()
        return response

    def _refusal(self, error: errors.SamphireError) -> web.Response:
        body = Refusal(
            error.code,
            error.message,
            self.agent.worker_id,
            self.agent.epoch,
            self.agent.owner,
        )
        return serving.json_response(body, error.http_status)

    async def _lease(self, request: web.Request) -> web.Response:
        body = await serving.body_of(request, Lease)
        status = self.agent.lease(
            time.monotonic(),
            body.owner,
            body.epoch,
            body.ttl_s,
            body.with_tasks,
        )
        return serving.json_response(status)

    async def _start(self, request: web.Request) -> web.Response:
        body = await serving.body_of(request, Start)
        self.agent.start(time.monotonic(), body.epoch, body.task)
        return serving.json_response({}, 201)

    async def _command(self, request: web.Request) -> web.Response:
        body = await serving.body_of(request, Command)
        now = time.monotonic()
        task_id = model.TaskId(request.match_info['id'])
        verb = request.match_info['verb']
        if verb == 'checkpoint':
            self.agent.checkpoint(now, body.epoch, task_id)
        elif verb == 'throttle':
            self.agent.throttle(now, body.epoch, task_id, body.percent)
        elif verb == 'stop':
            self.agent.stop(now, body.epoch, task_id)
        else:
            raise web.HTTPNotFound
        return serving.json_response({})

    async def _events(self, request: web.Request) -> web.Response:
        since = int(request.query.get('since', '0'))
        timeout_s = float(request.query.get('timeout_s', '0'))
        deadline = time.monotonic() + min(timeout_s, MAX_POLL_S)
        while True:
            now = time.monotonic()
            found = self.agent.events_after(now, since)
            if found or now >= deadline:
                return serving.json_response(found)
            async with self._changed:
                try:
                    async with asyncio.timeout(deadline - now):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _usage(self, _: web.Request) -> web.Response:
        return serving.json_response(self.agent.usage(time.monotonic()))


class Workers:
    """The agents of a process by worker id."""

    def __init__(self, settings: Settings) -> None:
        writer = ledger.Writer(settings.ledger)
        checkpoints: dict[model.TaskId, float] = {}
        self.servers_by_id = {
            vm.vm_id: AgentServer(
                agent.Agent(vm, writer, checkpoints, settings.usage_lag_s)
            )
            for vm in settings.vms
        }
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> dict[str, str]:
        """Start to serve and return the address of each worker."""
        addresses = {}
        for vm_id, server in self.servers_by_id.items():
            server.agent.offer(time.monotonic())
            self._tasks.append(asyncio.create_task(server.run()))
            listener = await serving.listen(server.app())
            addresses[str(vm_id)] = listener.address
        return addresses

    def control(self, name: str, body: bytes) -> None:
        """Set the faults of one worker or of ``all``.

        :raises KeyError: there is no such worker.
        """
        faults = msgspec.json.decode(body, type=agent.Faults)
        chosen = [model.VmId(name)]
        if name == 'all':
            chosen = list(self.servers_by_id)
        for vm_id in chosen:
            self.servers_by_id[vm_id].agent.faults = faults

    def state(self) -> dict[str, Holder]:
        """Return who holds the lease of each worker."""
        return {
            str(vm_id): Holder(server.agent.owner, server.agent.epoch)
            for vm_id, server in self.servers_by_id.items()
        }


async def run(settings: Settings) -> None:
    """Serve until cancelled."""
    workers = Workers(settings)
    addresses = await workers.start()
    control = await serving.listen(
        serving.control_app(workers.control, workers.state)
    )
    serving.write_ready(
        settings.ready, serving.Ready(control.address, addresses)
    )
    await asyncio.Event().wait()


if __name__ == '__main__':
    serving.main(Settings, run)
