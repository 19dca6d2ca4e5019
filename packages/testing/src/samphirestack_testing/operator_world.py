"""A node's operator interface over fakes."""

from typing import Any

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestack_testing import asgi
from samphirestack_testing import entry_world as fakes
from samphirestackd import admin
from samphirestackd import dispatch

TOKEN = 'a-token-of-operators'
HEADERS = {'Authorization': f'Bearer {TOKEN}'}


class Parts:
    """Fakes of all parts, which note what they are asked."""

    def __init__(self, world: fakes.World) -> None:
        self.world = world
        self.leads = True
        self.drained = 0
        self.kept_events: list[dict[str, Any]] = []

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
        changed = configuration.apply(
            current, changes, author=author, wall_time_s=0.0
        )
        if not dry_run:
            self.world.view.current = changed
        return changed

    async def history(self, limit: int) -> list[dict[str, Any]]:
        return [{'revision': limit}]

    def since(self, number: int, limit: int) -> list[dict[str, Any]]:
        return self.kept_events[number : number + limit]

    def render(self) -> tuple[bytes, str]:
        return b'requests 1\n', 'text/plain'

    def explain_job(self, job_id: str) -> str | None:
        return 'It waits.' if self.leads else None

    def explain_share(self, team: str) -> object | None:
        return {'team': team} if self.leads else None

    def worker_states(self) -> dict[model.VmId, str]:
        return {model.VmId('w1'): 'leased'}

    def drain(self) -> None:
        self.drained += 1


class Admin:
    """A node's operator interface over fakes."""

    def __init__(self) -> None:
        self.world = fakes.World()
        self.parts = Parts(self.world)
        self.dispatcher = dispatch.create(self.world.context, fakes.FAST)
        parts = admin.Dependencies(
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
