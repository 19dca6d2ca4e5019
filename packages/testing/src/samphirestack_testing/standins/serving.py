"""What the processes of all stand-ins share: listening and readiness."""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import signal
from typing import TypeVar

from aiohttp import web
import msgspec

LOOPBACK = '127.0.0.1'
T = TypeVar('T', bound=msgspec.Struct)


class Ready(msgspec.Struct, frozen=True):
    """Content of the file that a process writes when it serves."""

    control: str
    """Address of the control interface."""
    addresses_by_id: dict[str, str]


class Listener:
    """An HTTP server on a port that the system assigns."""

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self.runner = runner
        self.address = address

    async def close(self) -> None:
        """Stop listening and break open connections off."""
        await self.runner.cleanup()


async def listen(app: web.Application, port: int = 0) -> Listener:
    """Serve ``app`` on a loopback port; 0 lets the system choose."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, port, backlog=512)
    await site.start()
    host, bound = runner.addresses[0][:2]
    return Listener(runner, f'{host}:{bound}')


def json_response(value: object, status: int = 200) -> web.Response:
    """Return a JSON answer; structs are encoded by their fields."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


async def body_of(request: web.Request, kind: type[T]) -> T:
    """Return the decoded body or answer 400."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from None


def control_app(
    apply: Callable[[str, bytes], object],
    state: Callable[[], object],
) -> web.Application:
    """Return the control interface of a process.

    :param apply: called with the name in the path and the body of
        ``POST /control/{name}``; what it returns is the answer.
    :param state: what ``GET /control`` answers.
    """

    async def post(request: web.Request) -> web.Response:
        try:
            result = apply(request.match_info['name'], await request.read())
        except (KeyError, ValueError) as error:
            raise web.HTTPBadRequest(text=repr(error)) from None
        return json_response(result)

    async def get(_: web.Request) -> web.Response:
        return json_response(state())

    app = web.Application()
    app.router.add_post('/control/{name}', post)
    app.router.add_get('/control', get)
    return app


def write_ready(path: str, ready: Ready) -> None:
    """Write the readiness file in one step, so that it is never partial."""
    target = pathlib.Path(path)
    partial = target.with_suffix('.partial')
    partial.write_bytes(msgspec.json.encode(ready))
    partial.rename(target)


def main(kind: type[T], run: Callable[[T], Awaitable[None]]) -> None:
    """Read ``--settings FILE`` as JSON of ``kind`` and run until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--settings', required=True, metavar='FILE')
    path = parser.parse_args().settings
    settings = msgspec.json.decode(pathlib.Path(path).read_bytes(), type=kind)

    async def until_stopped() -> None:
        task = asyncio.ensure_future(run(settings))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        await asyncio.wait([task])
        if not task.cancelled():
            task.result()

    asyncio.run(until_stopped())
