"""HTTP handlers of jobs."""

from typing import Annotated
import urllib.parse

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestackd.dispatch import jobs
from samphirestackd.edge import bodies
from samphirestackd.edge import exchange as exchanges

ACCEPTED = 202
MAX_TASKS = 10_000
MAX_WAIT_S = 60.0
MILLICORES = 1000

_Amount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class ResourcesBody(msgspec.Struct, forbid_unknown_fields=True):
    """Resources that each task needs."""

    cpus: Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    memory_mb: _Amount = 0
    accelerators: _Amount = 0


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a job submission."""

    kind: model.JobKind
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    resources: ResourcesBody
    run_time_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    idempotent: bool = False
    payload: object = None


class JobAccepted(msgspec.Struct, frozen=True):
    """Answer to an accepted job."""

    job_id: model.JobId


class JobView(msgspec.Struct, frozen=True):
    """State of a job as callers see it."""

    job_id: model.JobId
    queue: model.QueueId
    team: model.TeamId
    kind: model.JobKind
    state: model.JobState
    tasks: int
    succeeded: int
    failed: int
    reason: str
    home_zone: model.ZoneId


_decoder = msgspec.json.Decoder(JobBody)


class JobHandlers:
    """Handlers of ``/v1/queues/{queue}/jobs`` and ``/v1/jobs``."""

    def __init__(
        self, manager: jobs.JobManager, reader: bodies.BodyReader
    ) -> None:
        self._manager = manager
        self._bodies = reader

    async def submit(self, exchange: exchanges.Exchange) -> None:
        """Accept a job and answer with its id."""
        await self._bodies.read(exchange)
        try:
            body = bodies.decode(_decoder, exchange.body)
            job_id = await self._manager.submit(_job_of(exchange, body))
        finally:
            self._bodies.release(exchange)
        await exchange.answer(JobAccepted(job_id), ACCEPTED)

    async def show(self, exchange: exchanges.Exchange) -> None:
        """Answer with the current state of a job."""
        record = await self._find(exchange)
        await exchange.answer(view_of(record))

    async def wait(self, exchange: exchanges.Exchange) -> None:
        """Answer when the job has ended or the timeout expires."""
        timeout_s = _timeout_of(exchange)
        record = await self._find(exchange)
        record = await self._manager.wait(
            record.job.job_id, record.job.team, timeout_s
        )
        await exchange.answer(view_of(record))

    async def cancel(self, exchange: exchanges.Exchange) -> None:
        """Request cancellation of a job and answer with its state."""
        record = await self._find(exchange)
        record = await self._manager.cancel(record.job.job_id, record.job.team)
        await exchange.answer(view_of(record), ACCEPTED)

    async def _find(self, exchange: exchanges.Exchange) -> model.JobRecord:
        job_id = model.JobId(exchange.path['job_id'])
        record = await self._manager.find(job_id, exchange.team)
        if exchange.team is None and not _is_open(exchange, record):
            raise errors.Unauthorized(
                'a job of a keyed queue is shown only to its team'
            )
        return record


def view_of(record: model.JobRecord) -> JobView:
    """Return the part of a job row that callers see."""
    job = record.job
    return JobView(
        job.job_id,
        job.queue,
        job.team,
        job.kind,
        record.state,
        job.tasks,
        record.succeeded,
        record.failed,
        record.reason,
        job.home_zone,
    )


def _is_open(exchange: exchanges.Exchange, record: model.JobRecord) -> bool:
    queue = exchange.configuration.queues_by_id.get(record.job.queue)
    return queue is not None and queue.open


def _job_of(exchange: exchanges.Exchange, body: JobBody) -> jobs.JobRequest:
    need = body.resources
    millicores = max(1, round(need.cpus * MILLICORES))
    return jobs.JobRequest(
        queue=exchange.require_queue(),
        team=exchange.require_team(),
        kind=body.kind,
        tasks=body.tasks,
        resources=model.Resources(
            millicores, need.memory_mb, need.accelerators
        ),
        run_time_s=body.run_time_s,
        idempotent=body.idempotent,
        payload=body.payload,
    )


def _timeout_of(exchange: exchanges.Exchange) -> float:
    query = urllib.parse.parse_qs(exchange.query.decode('latin-1'))
    text = query.get('timeout_s', ['30'])[0]
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_WAIT_S:
        raise errors.BadRequest(
            f'timeout_s must be a number from 0 to {MAX_WAIT_S:g}'
        )
    return value
