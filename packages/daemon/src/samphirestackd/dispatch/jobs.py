"""Jobs at this entry: acceptance, state, cancellation and waiting.

A job is accepted once its row is in the table.  The entry chooses the job
id, so that a write whose outcome is unknown can be read back.
"""

import asyncio
import time
import uuid

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack.internal.leader import task_intake
from samphirestack.internal import messages
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd.dispatch import sizes

TABLE = 'jobs'
WRITE_ATTEMPTS = 3
CANCEL_ATTEMPTS = 4
CANCEL_PAUSE_S = 0.25
MIN_POLL_S = 0.1
MAX_POLL_S = 2.0
MAX_POLLS_PER_S = 50
"""Limit on reads per second for all callers that wait for jobs at this
entry.  The table sustains about 2,000 reads per second for all entries and
leaders."""

ID_SEPARATOR = '--'
"""Separates the home zone from the rest of a job id."""


class JobRequest(msgspec.Struct, frozen=True):
    """A validated and authorized job from the edge."""

    queue: configuration.Queue
    team: model.TeamId
    kind: model.JobKind
    tasks: int
    resources: model.Resources
    run_time_s: float
    idempotent: bool
    payload: object = None


class JobManager:
    """Accepts, finds, awaits and cancels jobs."""

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._waiter_count = 0

    async def submit(self, request: JobRequest) -> model.JobId:
        """Insert the row of a job and return its id.

        :raises errors.ImpossibleSize: no zone could ever run the job.
        :raises errors.StoreUnavailable: the job was not accepted.
        :raises errors.OutcomeUnknown: the job may have been accepted.
        """
        job = self._new_job(request)
        await self._insert(job)
        self._context.events.record(
            'job.accepted',
            job_id=job.job_id,
            team=job.team,
            queue=job.queue,
            tasks=job.tasks,
        )
        self._send_to_leader(job.home_zone, messages.JobWork(job.job_id))
        return job.job_id

    async def find(
        self, job_id: model.JobId, team: model.TeamId | None
    ) -> model.JobRecord:
        """Return the row of a job.

        :param team: the team that must own the job, ``None`` for any team.
        :raises errors.NotFound: the team has no such job.
        :raises errors.StoreUnavailable: the table does not answer.
        """
        _, record = await self._find_row(job_id, team)
        return record

    async def wait(
        self, job_id: model.JobId, team: model.TeamId, timeout_s: float
    ) -> model.JobRecord:
        """Return the row of a job once it is final or the timeout expires."""
        deadline = self._context.clock() + timeout_s
        pause_s = MIN_POLL_S
        self._waiter_count += 1
        try:
            while True:
                record = await self.find(job_id, team)
                remaining_s = deadline - self._context.clock()
                if record.state.is_final or remaining_s <= 0:
                    return record
                min_pause_s = self._waiter_count / MAX_POLLS_PER_S
                await asyncio.sleep(
                    min(max(pause_s, min_pause_s), remaining_s)
                )
                pause_s = min(pause_s * 2, MAX_POLL_S)
        finally:
            self._waiter_count -= 1

    async def cancel(
        self, job_id: model.JobId, team: model.TeamId | None
    ) -> model.JobRecord:
        """Cancel a job and return its final row.

        The leader of the home zone is asked first, since it writes the rows
        of a wave of cancellations in batches.  This entry writes the row if
        the leader has not done so in time.

        :raises errors.NoLeader: the leader could not be reached.
        :raises errors.OutcomeUnknown: the job may have been cancelled.
        """
        sent = False
        for _ in range(CANCEL_ATTEMPTS):
            record = await self.find(job_id, team)
            if record.state.is_final:
                return record
            zone = record.job.home_zone
            message = messages.JobWork(job_id, cancel=True)
            sent = self._send_to_leader(zone, message) or sent
            await asyncio.sleep(CANCEL_PAUSE_S)
        if not sent:
            raise errors.NoLeader(
                f'the leader of zone {zone!r}, the home of job {job_id!r}, '
                'could not be reached; the job was not cancelled'
            )
        for _ in range(WRITE_ATTEMPTS):
            row, record = await self._find_row(job_id, team)
            if record.state.is_final:
                return record
            await self._write_cancelled(row, record)
        record = await self.find(job_id, team)
        if record.state.is_final:
            return record
        raise errors.OutcomeUnknown(
            f'the table did not confirm that job {job_id!r} is cancelled'
        )

    async def scan(self, zone: model.ZoneId) -> list[model.JobRecord]:
        """Return the readable rows of all jobs whose home is a zone.

        :raises errors.StoreUnavailable: the table does not answer.
        """
        try:
            rows = await self._context.table.scan(TABLE, f'{zone}/')
        except errors.PlatformError as error:
            raise errors.StoreUnavailable(error.message) from error
        records = (_decode_record(row) for row in rows)
        return [record for record in records if record is not None]

    async def _find_row(
        self, job_id: model.JobId, team: model.TeamId | None
    ) -> tuple[platform.Row, model.JobRecord]:
        for zone in self._zones_to_search(job_id):
            row = await self._read(zone, job_id)
            if row is None:
                continue
            record = _decode_record(row)
            if record is None:
                raise errors.SamphireError(
                    f'the row of job {job_id!r} cannot be decoded'
                )
            if team is None or record.job.team == team:
                return row, record
        raise errors.NotFound(f'job {job_id[:128]!r} does not exist')

    async def _write_cancelled(
        self, row: platform.Row, record: model.JobRecord
    ) -> None:
        """Try to make a row final; the caller reads what became of it."""
        cancelled = msgspec.structs.replace(
            record,
            state=model.JobState.CANCELLED,
            reason=task_intake.CANCELLED,
        )
        value = model.job_to_row(cancelled)
        write = platform.Write(TABLE, row.key, row.version, value)
        try:
            await self._context.table.transact([write])
        except (errors.TransactionConflict, errors.OutcomeUnknown):
            return
        self._send_to_leader(
            record.job.home_zone, messages.JobWork(record.job.job_id)
        )

    def _new_job(self, request: JobRequest) -> model.Job:
        current = self._context.view.current
        team = current.teams_by_id.get(request.team)
        home = sizes.choose_home_zone(
            request.kind,
            request.tasks,
            request.resources,
            self._context.settings.zone,
            self._context.vms.vms_by_id(),
            configuration.Limit() if team is None else team.limit,
            [
                zone.name
                for zone in current.zones_by_id.values()
                if zone.evacuated
            ],
        )
        name = f'{home}{ID_SEPARATOR}{uuid.uuid4().hex}'
        return model.Job(
            job_id=model.JobId(name),
            queue=request.queue.name,
            team=request.team,
            kind=request.kind,
            tasks=request.tasks,
            resources=request.resources,
            run_time_s=request.run_time_s,
            idempotent=request.idempotent,
            home_zone=home,
            submitted_at_s=time.time(),
            payload=request.payload,
        )

    async def _insert(self, job: model.Job) -> None:
        value = model.job_to_row(model.JobRecord(job))
        key = f'{job.home_zone}/{job.job_id}'
        write = platform.Write(TABLE, key, 0, value)
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._context.table.transact([write])
                return
            except errors.TransactionConflict:
                # The id is unique, so an earlier attempt has inserted the row.
                return
            except errors.OutcomeUnknown:
                if await self._is_inserted(job):
                    return
        raise errors.OutcomeUnknown(
            f'the table did not confirm job {job.job_id!r}',
            hint='Ask for the job by the id in the message before you send '
            'it again.',
        )

    async def _is_inserted(self, job: model.Job) -> bool:
        try:
            row = await self._read(job.home_zone, job.job_id)
        except errors.StoreUnavailable:
            return False
        return row is not None

    async def _read(
        self, zone: model.ZoneId, job_id: model.JobId
    ) -> platform.Row | None:
        try:
            return await self._context.table.get(TABLE, f'{zone}/{job_id}')
        except errors.PlatformError as error:
            raise errors.StoreUnavailable(error.message) from error

    def _zones_to_search(self, job_id: model.JobId) -> list[model.ZoneId]:
        """Return the zones that may hold the row, most likely first.

        Another zone takes over the rows of a lost zone.

        :raises errors.NotFound: the id names no known zone.
        """
        first = model.ZoneId(job_id.rpartition(ID_SEPARATOR)[0])
        zones = self._context.view.current.zones_by_id
        if first not in zones and first != self._context.settings.zone:
            raise errors.NotFound(f'job {job_id[:128]!r} does not exist')
        if first in zones and zones[first].lost:
            return [
                first,
                *(zone for zone in map(model.ZoneId, zones) if zone != first),
            ]
        return [first]

    def _send_to_leader(
        self, zone: model.ZoneId, message: messages.JobWork
    ) -> bool:
        leader = self._context.leaders.leader_of(zone)
        if leader is None:
            # A new leader will read all rows of its zone.
            return False
        return self._context.links.send(leader.vm_id, message)


def _decode_record(row: platform.Row) -> model.JobRecord | None:
    """Return the job in a row, ``None`` if the row is malformed."""
    try:
        return model.job_from_row(row.value)
    except msgspec.ValidationError:
        return None
