"""Answers the calls of clients: a chain of filters, then the operation."""

import enum
import re
from typing import Protocol

import msgspec

from samphirestack import errors
from samphirestack.fleet import messages
from samphirestack.fleet import ports
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack import verdict as verdicts
from samphirestackd.fleet import clock
from samphirestackd.fleet import configuration_feed
from samphirestackd.fleet import node_context

JOB_ID = re.compile(r'[0-9a-fA-F]{16}')

FRESHNESS_MARGIN_S = 1.2
"""A configuration older than the bound for withdrawn keys less this is not
used for calls with a key: covers the way of a call and of its answer."""

RETRY_ANY_ENTRY_S = 1.0
"""Retry-After while the store is out of reach of everyone, as far as this
entry knows."""

RETRY_OTHER_ENTRY_S = 0.0
"""Retry-After while only this entry does not reach the store: clients try
again at another one, which serves them at once."""

MAX_TASKS = 20_000
"""Tasks of one job; bounds the memory that one call can take."""

MAX_UNKNOWN_JOBS = 1000
"""More than an entry takes in during an outage that clients wait out."""

QUERY_TIMEOUT_S = 0.35
"""An answer of the holder takes milliseconds; the store is asked next."""


class Operation(enum.Enum):
    """What a call asks for."""

    SUBMIT = 'submit'
    STATE = 'state'
    CANCEL = 'cancel'
    WAITING = 'waiting'


class Call(msgspec.Struct):
    """A call of a client."""

    method: str
    host: str
    path: str
    key: str
    body: bytes
    timeout_s: float | None
    """How long the client waits for the answer, if it said so."""
    queue: specs.Queue | None = None
    customer_id: model.TeamId = model.TeamId('')
    job_id: model.JobId = model.JobId('')
    operation: Operation = Operation.WAITING


class Outcome(enum.Enum):
    """Kinds of answers to clients."""

    OK = 'ok'
    ACCEPTED = 'accepted'
    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    NO_QUEUE = 'no_queue'
    NO_JOB = 'no_job'
    NOT_ALLOWED = 'not_allowed'
    TOO_LARGE = 'too_large'
    UNAVAILABLE = 'unavailable'
    """Nothing was done; the client may come back."""
    UNKNOWN = 'unknown'
    """The call may have had its effect."""


class Reply(msgspec.Struct, frozen=True):
    """The answer to a call."""

    outcome: Outcome
    verdict: verdicts.Verdict
    detail: str = ''
    state: specs.JobState | None = None
    waiting: int | None = None
    retry_after_s: float | None = None


class JobDecoder(Protocol):
    """Reads the body of a submission."""

    def __call__(self, body: bytes) -> specs.JobSpec:
        """Return the job.

        :raises errors.BadRequest: the body is no job.
        """


class HolderAccess(Protocol):
    """The holder of the term, here or at another entry."""

    def announce_job(self, row: bytes) -> None:
        """Announce a stored job."""

    def announce_cancellation(self, job_id: model.JobId) -> None:
        """Announce a stored cancellation."""

    async def state_of(
        self, job_id: model.JobId, timeout_s: float
    ) -> messages.StateReply | None:
        """Return the state of a job; ``None`` without an answer."""

    def waiting_by_queue(self, now: float) -> dict[model.QueueId, int] | None:
        """Return the jobs that have not begun; ``None`` if not known."""

    def reaches_store(self, now: float) -> bool:
        """Return whether the holder, elsewhere, lately wrote to the store."""


def _not_run(outcome: Outcome, detail: str) -> Reply:
    return Reply(outcome, verdicts.Verdict.NOT_RUN, detail)


def _unknown(detail: str) -> Reply:
    return Reply(Outcome.UNKNOWN, verdicts.Verdict.MAY_HAVE_RUN, detail)


class Edge:
    """Handles the calls of clients at one entry."""

    def __init__(
        self,
        context: node_context.Context,
        feed: configuration_feed.ConfigurationFeed,
        holder: HolderAccess,
        decode_job: JobDecoder,
    ) -> None:
        self._context = context
        self._configuration_feed = feed
        self._holder = holder
        self._decode_job = decode_job
        self._store_failed_at = float('-inf')
        self._unknown_job_ids: dict[model.JobId, None] = {}
        """Jobs whose storing had no answer, oldest first."""
        self._filters = (
            self._require_configuration,
            self._find_queue,
            self._check_key,
            self._find_operation,
        )

    async def handle(self, call: Call) -> Reply:
        """Answer a call."""
        started_at = clock.now()
        reply = None
        for check in self._filters:
            reply = check(call)
            if reply is not None:
                break
        if reply is None:
            reply = await self._run(call)
        took_s = clock.now() - started_at
        metrics = self._context.metrics
        labels = {
            'operation': call.operation.value,
            'outcome': reply.outcome.value,
        }
        metrics.calls.inc(labels)
        metrics.call_time.observe({'operation': call.operation.value}, took_s)
        if call.operation is not Operation.STATE or (
            reply.outcome is not Outcome.OK
        ):
            configuration = self._configuration_feed.configuration
            self._context.log.write(
                'call.answered',
                operation=call.operation.value,
                job_id=call.job_id,
                queue=call.queue.queue_id if call.queue else '',
                customer=call.customer_id,
                outcome=reply.outcome.value,
                verdict=reply.verdict.value,
                detail=reply.detail,
                took_s=round(took_s, 4),
                version=configuration.version if configuration else 0,
                version_age_s=round(
                    self._configuration_feed.age(started_at), 3
                ),
            )
        return reply

    # Filters

    def _require_configuration(self, call: Call) -> Reply | None:
        if self._configuration_feed.configuration is None:
            return self._unavailable('this node has no configuration yet')
        return None

    def _find_queue(self, call: Call) -> Reply | None:
        configuration = self._configuration_feed.configuration
        assert configuration is not None
        call.queue = configuration.route(call.host, call.path)
        if call.queue is None:
            return _not_run(Outcome.NO_QUEUE, 'no queue has this address')
        return None

    def _check_key(self, call: Call) -> Reply | None:
        configuration = self._configuration_feed.configuration
        assert configuration is not None
        assert call.queue is not None
        age_s = self._configuration_feed.age(clock.now())
        bound_s = self._context.bounds.revocation_s - FRESHNESS_MARGIN_S
        customer_id = configuration.customer_ids_by_key.get(call.key)
        if customer_id is not None:
            call.customer_id = customer_id
        if call.queue.open_to_all:
            return None
        if age_s > bound_s:
            return self._unavailable('the configuration may be out of date')
        if customer_id is None:
            return _not_run(Outcome.UNAUTHORIZED, 'the key is not known')
        return None

    def _find_operation(self, call: Call) -> Reply | None:
        assert call.queue is not None
        rest = call.path[len(call.queue.prefix) :].strip('/')
        if not rest:
            if call.method != 'GET':
                return _not_run(Outcome.NOT_ALLOWED, 'the job has no id')
            call.operation = Operation.WAITING
            return None
        operation = {
            'POST': Operation.SUBMIT,
            'GET': Operation.STATE,
            'DELETE': Operation.CANCEL,
        }.get(call.method)
        if operation is None:
            return _not_run(Outcome.NOT_ALLOWED, 'the method has no meaning')
        call.operation = operation
        if JOB_ID.fullmatch(rest) is None:
            return _not_run(
                Outcome.BAD_REQUEST, 'a job id has 16 hexadecimal digits'
            )
        call.job_id = model.JobId(rest)
        return None

    # Operations

    async def _run(self, call: Call) -> Reply:
        needs_store = call.operation in (Operation.SUBMIT, Operation.CANCEL)
        if needs_store and self._is_store_unreachable():
            return self._refuse(call, 'the store can not be reached')
        try:
            if call.operation is Operation.SUBMIT:
                return await self._submit(call)
            if call.operation is Operation.CANCEL:
                return await self._cancel(call)
            if call.operation is Operation.STATE:
                return await self._state(call)
        except errors.StoreUnavailable as error:
            self._store_failed_at = clock.now()
            return self._refuse(call, error.message)
        except errors.OutcomeUnknown as error:
            self._store_failed_at = clock.now()
            self._unknown_job_ids[call.job_id] = None
            if len(self._unknown_job_ids) > MAX_UNKNOWN_JOBS:
                del self._unknown_job_ids[next(iter(self._unknown_job_ids))]
            return _unknown(error.message)
        return self._count_waiting(call)

    def _unavailable(self, detail: str) -> Reply:
        """Refuse a call that any entry may answer later."""
        elsewhere = self._holder.reaches_store(clock.now())
        return Reply(
            Outcome.UNAVAILABLE,
            verdicts.Verdict.NOT_RUN,
            detail,
            retry_after_s=RETRY_OTHER_ENTRY_S
            if elsewhere
            else RETRY_ANY_ENTRY_S,
        )

    def _refuse(self, call: Call, detail: str) -> Reply:
        """Refuse a call that did nothing.

        A job that this entry may have stored on an earlier call can still
        run, so that its refusal does not say otherwise.
        """
        if call.job_id in self._unknown_job_ids:
            return _unknown(detail)
        return self._unavailable(detail)

    def _is_store_unreachable(self) -> bool:
        """Return whether a call would only wait for the store.

        After a failed call, others are refused at once until the
        configuration was confirmed again, which is tried all the while.
        """
        return self._store_failed_at > self._configuration_feed.answered_at

    async def _submit(self, call: Call) -> Reply:
        configuration = self._configuration_feed.configuration
        assert configuration is not None
        assert call.queue is not None
        if len(call.body) > configuration.max_body_bytes:
            return _not_run(Outcome.TOO_LARGE, 'the body is too large')
        try:
            spec = self._decode_job(call.body)
        except errors.BadRequest as error:
            return _not_run(Outcome.BAD_REQUEST, error.message)
        if sum(step.count for step in spec.steps) > MAX_TASKS:
            return _not_run(Outcome.BAD_REQUEST, 'the job has too many tasks')
        record = records.JobRecord(
            call.job_id,
            call.queue,
            call.customer_id,
            clock.unix_now(),
            spec,
        )
        row = records.encode(record)
        try:
            await self._insert(call.job_id, row)
        except errors.TransactionConflict:
            return Reply(
                Outcome.ACCEPTED, verdicts.Verdict.RAN, 'accepted before'
            )
        self._holder.announce_job(row)
        return Reply(Outcome.ACCEPTED, verdicts.Verdict.RAN)

    async def _insert(self, job_id: model.JobId, row: bytes) -> None:
        """Store a job; again if the first try's outcome is unknown.

        The row is absent before, so that a second try adds nothing.
        """
        part = records.job_part(job_id)
        condition = ports.Condition(records.JOBS_TABLE, job_id, 0)
        put = ports.Put(records.JOBS_TABLE, job_id, row)
        try:
            await self._context.store.transact([condition], [put], (), part)
        except errors.OutcomeUnknown:
            try:
                await self._context.store.transact(
                    [condition], [put], (), part
                )
            except errors.TransactionConflict:
                self._holder.announce_job(row)
                raise
            except errors.StoreUnavailable as error:
                raise errors.OutcomeUnknown(error.message) from error

    async def _read_job(
        self, job_id: model.JobId
    ) -> tuple[records.JobRecord, int] | None:
        page = await self._context.store.read(
            records.JOBS_TABLE,
            job_id,
            job_id + '\x00',
            records.job_part(job_id),
        )
        for row in page.rows:
            if row.key == job_id:
                return records.decode_job(row.value), row.version
        return None

    async def _cancel(self, call: Call) -> Reply:
        found = await self._read_job(call.job_id)
        if found is None or not self._owns(call, found[0].customer_id):
            return _not_run(Outcome.NO_JOB, 'there is no such job')
        if found[0].ended_as is not None:
            return Reply(
                Outcome.OK, verdicts.Verdict.RAN, state=found[0].ended_as
            )
        condition = ports.Condition(records.JOBS_TABLE, call.job_id, found[1])
        put = ports.Put(
            records.JOBS_TABLE, call.job_id + records.CANCEL_SUFFIX, b'1'
        )
        try:
            await self._context.store.transact(
                [condition], [put], (), records.job_part(call.job_id)
            )
        except errors.TransactionConflict:
            # The job's row only changes after its end.
            return Reply(Outcome.OK, verdicts.Verdict.RAN, 'it had ended')
        self._holder.announce_cancellation(call.job_id)
        return Reply(Outcome.OK, verdicts.Verdict.RAN)

    def _owns(self, call: Call, customer_id: model.TeamId | None) -> bool:
        return (
            not call.customer_id
            or not customer_id
            or (call.customer_id == customer_id)
        )

    async def _state(self, call: Call) -> Reply:
        reply = await self._holder.state_of(call.job_id, QUERY_TIMEOUT_S)
        if reply is not None and reply.state is not None:
            if not self._owns(call, reply.customer_id):
                return _not_run(Outcome.NO_JOB, 'there is no such job')
            return Reply(Outcome.OK, verdicts.Verdict.RAN, state=reply.state)
        if self._is_store_unreachable():
            return self._unavailable(
                'the state of the job is not known at present'
            )
        found = await self._read_job(call.job_id)
        if found is None or not self._owns(call, found[0].customer_id):
            return _not_run(Outcome.NO_JOB, 'there is no such job')
        state = found[0].ended_as or await self._stored_state(call.job_id)
        return Reply(Outcome.OK, verdicts.Verdict.RAN, 'from store', state)

    async def _stored_state(self, job_id: model.JobId) -> specs.JobState:
        """Return the state of a job by what the holder stored of it."""
        page = await self._context.store.read(
            records.PROGRESS_TABLE, job_id, job_id + '\x00'
        )
        if not page.rows:
            return specs.JobState.QUEUED
        progress = records.decode_progress(page.rows[0].value)
        if progress.ended is not None and progress.ended.ended_as is not None:
            return progress.ended.ended_as
        return specs.JobState.RUNNING

    def _count_waiting(self, call: Call) -> Reply:
        assert call.queue is not None
        waiting = self._holder.waiting_by_queue(clock.now())
        if waiting is None:
            return self._unavailable('the number of waiting jobs is not known')
        return Reply(
            Outcome.OK,
            verdicts.Verdict.RAN,
            waiting=waiting.get(call.queue.queue_id, 0),
        )
