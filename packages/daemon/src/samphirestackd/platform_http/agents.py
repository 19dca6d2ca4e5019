"""HTTP clients of the worker agents."""

from typing import TypeVar

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd.platform_http import calls

OK_STATUSES = frozenset({200, 201, 204})
FIRST_SERVER_ERROR = 500
UNAVAILABLE = 503
FENCED_OFF = errors.FencedOff.code
REFUSED = errors.WorkerRefused.code
NOT_FOUND = errors.NotFound.code
JSON_HEADERS = {'Content-Type': 'application/json'}


class _Lease(msgspec.Struct, frozen=True):
    owner: model.VmId
    epoch: model.Epoch
    ttl_s: float
    with_tasks: bool


class _Start(msgspec.Struct, frozen=True):
    epoch: model.Epoch
    task: platform.TaskStart


class _Command(msgspec.Struct, frozen=True):
    epoch: model.Epoch
    percent: int = 100


class _Refusal(msgspec.Struct, frozen=True):
    code: str
    message: str = ''
    worker: str = ''
    epoch: int = 0
    owner: str = ''


_status_decoder = msgspec.json.Decoder(platform.WorkerStatus)
_events_decoder = msgspec.json.Decoder(list[platform.TaskEvent])
_usage_decoder = msgspec.json.Decoder(list[platform.Usage])
_refusal_decoder = msgspec.json.Decoder(_Refusal)
T = TypeVar('T')


class HttpWorkerAgent:
    """A :class:`samphirestack.platform.WorkerAgent` over HTTP."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._base = f'http://{address}'
        self._client = calls.Client(timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()

    async def lease(
        self,
        owner: model.VmId,
        epoch: model.Epoch,
        ttl_s: float,
        with_tasks: bool,
    ) -> platform.WorkerStatus:
        """Claim the worker or renew the claim.

        :raises errors.FencedOff: another owner or epoch holds it.
        :raises errors.OutcomeUnknown: the claim may have taken effect.
        :raises errors.PlatformError: the claim has certainly not taken effect.
        """
        body = await self._post(
            '/lease', _Lease(owner, epoch, ttl_s, with_tasks)
        )
        return _decode(_status_decoder, body)

    async def start(
        self, epoch: model.Epoch, task: platform.TaskStart
    ) -> None:
        """Start a task."""
        await self._post('/tasks', _Start(epoch, task))

    async def checkpoint(
        self, epoch: model.Epoch, task_id: model.TaskId
    ) -> None:
        """Save the progress of a task and stop it."""
        await self._post(f'/tasks/{task_id}/checkpoint', _Command(epoch))

    async def throttle(
        self, epoch: model.Epoch, task_id: model.TaskId, percent: int
    ) -> None:
        """Limit a task to a percentage of its processors."""
        command = _Command(epoch, percent)
        await self._post(f'/tasks/{task_id}/throttle', command)

    async def stop(self, epoch: model.Epoch, task_id: model.TaskId) -> None:
        """Stop a task at once."""
        await self._post(f'/tasks/{task_id}/stop', _Command(epoch))

    async def events(
        self, since: int, timeout_s: float
    ) -> list[platform.TaskEvent]:
        """Wait for events numbered above ``since``."""
        body = await self._get(
            '/events', timeout_s, since=str(since), timeout_s=str(timeout_s)
        )
        return _decode(_events_decoder, body)

    async def usage(self) -> list[platform.Usage]:
        """Return usage reports, which lag behind the tasks' real usage."""
        return _decode(_usage_decoder, await self._get('/usage', 0.0))

    async def _post(self, path: str, value: msgspec.Struct) -> bytes:
        url = calls.join(self._base, path)
        body = msgspec.json.encode(value)
        try:
            answer = await self._client.call('POST', url, body, JSON_HEADERS)
        except calls.NotSent as error:
            raise errors.PlatformError(str(error)) from None
        except calls.NoAnswer as error:
            raise errors.OutcomeUnknown(str(error)) from None
        if answer.status not in OK_STATUSES:
            raise _error_from(path, answer)
        return answer.body

    async def _get(self, path: str, extra_s: float, **query: str) -> bytes:
        url = calls.join(self._base, path, **query)
        try:
            answer = await self._client.call('GET', url, extra_s=extra_s)
        except (calls.NotSent, calls.NoAnswer) as error:
            raise errors.PlatformError(str(error)) from None
        if answer.status not in OK_STATUSES:
            raise _error_from(path, answer)
        return answer.body


def _error_from(path: str, answer: calls.Answer) -> errors.SamphireError:
    try:
        refusal = _refusal_decoder.decode(answer.body)
    except (msgspec.MsgspecError, RecursionError):
        refusal = _Refusal('')
    if refusal.code == FENCED_OFF:
        return errors.FencedOff(refusal.worker, refusal.epoch, refusal.owner)
    if refusal.code == REFUSED:
        return errors.WorkerRefused(refusal.message)
    if refusal.code == NOT_FOUND:
        return errors.NotFound(refusal.message)
    text = f'{path}: status {answer.status}'
    if answer.status < FIRST_SERVER_ERROR or answer.status == UNAVAILABLE:
        return errors.PlatformError(text)
    return errors.OutcomeUnknown(text)


def _decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.OutcomeUnknown(f'invalid response: {error}') from None


class Agents:
    """Clients of all worker agents, created on first use."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._agents_by_address: dict[str, HttpWorkerAgent] = {}

    def at(self, address: str) -> platform.WorkerAgent:
        """Return the client of the agent at an address."""
        agent = self._agents_by_address.get(address)
        if agent is None:
            agent = HttpWorkerAgent(address, self._timeout_s)
            self._agents_by_address[address] = agent
        return agent

    async def close_all_except(self, addresses: frozenset[str]) -> None:
        """Close the clients of agents at other addresses than these."""
        for address in set(self._agents_by_address) - addresses:
            agent = self._agents_by_address.pop(address, None)
            if agent is not None:
                await agent.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.close_all_except(frozenset())
