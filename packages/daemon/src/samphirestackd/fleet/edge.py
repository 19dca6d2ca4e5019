"""Handling of client calls: a chain of filters, then the operation."""

import asyncio
import enum
import re
from typing import Any
from typing import Protocol

import msgspec

from samphirestack import errors
from samphirestack.fleet import memory
from samphirestack.fleet import messages
from samphirestack.fleet import ordering
from samphirestack.fleet import ports
from samphirestack.fleet import progress_rows
from samphirestack.fleet import records
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack import verdict as verdicts
from samphirestackd.fleet import clock
from samphirestackd.fleet import configuration_feed
from samphirestackd.fleet import node_context
from samphirestackd import logs

JOB_ID = re.compile(r'[0-9a-fA-F]{16}')

FRESHNESS_MARGIN_S = 1.2
"""Margin below the time within which withdrawn keys must stop working, for the
transit of a call and its answer.  Calls with a key are refused if the
configuration is older than the difference."""

RETRY_ANY_ENTRY_S = 1.0
"""Retry-After while no entry is known to reach the store."""

RETRY_OTHER_ENTRY_S = 0.0
"""Retry-After while the holder reaches the store and this entry does not:
clients retry at another entry, which serves them at once."""

RETRY_NO_MEMORY_S = 5.0
"""Retry-After of a customer whose jobs occupy too much memory; in this time
some of them end."""

MAX_UNKNOWN_JOBS = 1000
"""Limit of remembered jobs whose storing has an unknown outcome; more than an
entry receives during an outage that clients wait out."""

QUERY_TIMEOUT_S = 0.35
"""Time after which a query to the holder, which answers within milliseconds,
is late.  The store is queried then."""

LATE_ANSWER_S = 1.5
"""Time after which a query to the holder has failed."""


class Operation(enum.Enum):
    """Operation that a call requests."""

    SUBMIT = 'submit'
    STATE = 'state'
    CANCEL = 'cancel'
    WAITING = 'waiting'


class HolderAnswer(enum.Enum):
    """What the holder of the term said about the state of a job."""

    NONE = 'none'
    """It is unknown or unreachable, or was too slow."""
    UNKNOWN_JOB = 'unknown_job'
    """It doesn't know the job, or not yet: it still loads the jobs."""
    KNOWN_JOB = 'known_job'


OPERATIONS = {
    'POST': Operation.SUBMIT,
    'GET': Operation.STATE,
    'DELETE': Operation.CANCEL,
}
"""Operation on a job by method."""


class Call(msgspec.Struct):
    """A call of a client."""

    method: str
    host: str
    path: str
    key: str
    body: bytes
    """Of a body that is too large, only the first bytes."""
    timeout_s: float | None
    """Time for which the client waits, if the call states it."""
    queue: specs.Queue | None = None
    customer_id: model.TeamId = model.TeamId('')
    job_id: model.JobId = model.JobId('')
    operation: Operation = Operation.WAITING
    handed_over: bool = False
    """Whether another entry handed the call over to this one."""
    holder_answer: HolderAnswer | None = None
    """Set once the holder was asked for the state of the job."""


class Outcome(enum.Enum):
    """Kind of a reply to a client."""

    OK = 'ok'
    ACCEPTED = 'accepted'
    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    NO_QUEUE = 'no_queue'
    NO_JOB = 'no_job'
    ID_TAKEN = 'id_taken'
    NOT_ALLOWED = 'not_allowed'
    TOO_LARGE = 'too_large'
    UNAVAILABLE = 'unavailable'
    """The call had no effect; the client may retry."""
    UNKNOWN = 'unknown'
    """The call may have taken effect."""


class Cause(enum.Enum):
    """Why a call was refused or has an unknown outcome."""

    NO_CONFIGURATION = 'no_configuration'
    OUTDATED_CONFIGURATION = 'outdated_configuration'
    STORE_UNREACHABLE = 'store_unreachable'
    """An earlier call got no answer of the store, and none came since."""
    STORE_FAILED = 'store_failed'
    UNREADABLE_ROW = 'unreadable_row'
    HOLDER_REFUSED = 'holder_refused'
    NO_COUNT = 'no_count'
    NO_MEMORY = 'no_memory'
    """The customer's jobs occupy too much of the holder's memory."""
    UNEXPECTED_ERROR = 'unexpected_error'


class Reply(msgspec.Struct, frozen=True):
    """The reply to a call."""

    outcome: Outcome
    verdict: verdicts.Verdict
    detail: str = ''
    state: specs.JobState | None = None
    waiting: int | None = None
    retry_after_s: float | None = None
    cause: Cause | None = None
    """Set for the outcomes UNAVAILABLE and UNKNOWN."""


class JobDecoder(Protocol):
    """Decodes the body of a submission."""

    def __call__(self, body: bytes) -> specs.JobSpec:
        """Return the job in the body.

        :raises errors.BadRequest: the body is not a valid job.
        """


class HolderAccess(Protocol):
    """Access to the holder of the term, in this process or another one."""

    def announce_job(self, row: bytes, version: int) -> None:
        """Tell the holder that a job was stored.

        :param row: encoded ``records.JobRecord``.
        :param version: of the row, or ``messages.UNKNOWN_VERSION``.
        """

    def announce_cancellation(self, job_id: model.JobId, version: int) -> None:
        """Tell the holder that the cancellation of a job was stored.

        :param version: version of its row.
        """

    async def state_of(
        self, job_id: model.JobId, timeout_s: float
    ) -> messages.StateReply | None:
        """Return the state of a job; ``None`` without an answer in time."""

    def waiting_by_queue(self, now: float) -> dict[model.QueueId, int] | None:
        """Return the number of jobs that have not begun, by queue.

        ``None`` if there is no recent number.
        """

    def reaches_store(self, now: float) -> bool:
        """Return whether a holder elsewhere recently wrote to the store."""

    def takes_submissions(self, now: float) -> bool:
        """Return whether submissions may be handed over to the holder."""

    def admit_job(self, customer_id: model.TeamId, size: int) -> bool:
        """Return whether the holder has memory for a further job.

        :param size: see ``memory.job_bytes``.
        """

    async def submit(self, call: Call) -> Reply | None:
        """Hand a submission over to the holder.

        :return: its reply, or ``None`` if nothing was sent.
        """


def _not_run(outcome: Outcome, detail: str) -> Reply:
    return Reply(outcome, verdicts.Verdict.NOT_RUN, detail)


def _accepted_earlier() -> Reply:
    return Reply(
        Outcome.ACCEPTED,
        verdicts.Verdict.RAN,
        'the job was accepted by an earlier call',
    )


def _unknown(detail: str, cause: Cause) -> Reply:
    return Reply(
        Outcome.UNKNOWN,
        verdicts.Verdict.MAY_HAVE_RUN,
        detail,
        cause=cause,
    )


def _may_access(
    call: Call, customer_id: model.TeamId | None, host: str, prefix: str
) -> bool:
    """Return whether a caller may see and cancel a job.

    A caller without a key, at a queue that is open to all, may do so at the
    path at which the job was submitted.

    :param customer_id: customer of the job, if it has one.
    :param host: of the job's queue, as the prefix.
    """
    if call.customer_id:
        return not customer_id or call.customer_id == customer_id
    return call.host == host and call.path.startswith(prefix)


def _holder_answer(reply: messages.StateReply | None) -> HolderAnswer:
    if reply is None:
        return HolderAnswer.NONE
    if reply.state is None:
        return HolderAnswer.UNKNOWN_JOB
    return HolderAnswer.KNOWN_JOB


def _may_access_record(call: Call, record: records.JobRecord) -> bool:
    return _may_access(
        call, record.customer_id, record.queue.host, record.queue.prefix
    )


class Edge:
    """Handles the calls of clients at one entry.

    :param feed: the operator's configuration.
    """

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
        """Jobs whose storing or cancellation has an unknown outcome, oldest
        first."""
        self._filters = (
            self._require_configuration,
            self._find_queue,
            self._check_key,
            self._check_operation,
        )

    @property
    def max_body_bytes(self) -> int:
        """Return the size of the largest body that a call may have."""
        configuration = self._configuration_feed.configuration
        return configuration.max_body_bytes if configuration else 0

    async def handle(self, call: Call) -> Reply:
        """Return the reply to a call.

        Replies are logged, except successful queries of the state of a job.
        """
        started_at = clock.now()
        reply = None
        for check in self._filters:
            reply = check(call)
            if reply is not None:
                break
        if reply is None:
            try:
                reply = await self._run(call)
            except Exception as error:
                logs.unexpected('call.failed', call.operation.value, error)
                reply = _unknown(
                    'the call failed by an unexpected error',
                    Cause.UNEXPECTED_ERROR,
                )
        took_s = clock.now() - started_at
        metrics = self._context.metrics
        labels = {
            'operation': call.operation.value,
            'outcome': reply.outcome.value,
        }
        metrics.calls.inc(labels)
        if reply.cause is not None:
            metrics.calls_refused.inc(
                {
                    'operation': call.operation.value,
                    'cause': reply.cause.value,
                }
            )
        if call.holder_answer is not None:
            metrics.state_queries.inc({'answer': call.holder_answer.value})
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
                holder=call.holder_answer.value if call.holder_answer else '',
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
            return self._unavailable(
                'this node has no configuration yet', Cause.NO_CONFIGURATION
            )
        return None

    def _find_queue(self, call: Call) -> Reply | None:
        configuration = self._configuration_feed.configuration
        assert configuration is not None
        call.queue = configuration.route(call.host, call.path)
        if call.queue is None:
            return _not_run(
                Outcome.NO_QUEUE, 'no queue has this host and path'
            )
        # A call that is refused by a later filter is logged with these.
        rest = call.path[len(call.queue.prefix) :].strip('/')
        if rest:
            call.operation = OPERATIONS.get(call.method, call.operation)
        if JOB_ID.fullmatch(rest) is not None:
            call.job_id = model.JobId(rest)
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
            return self._unavailable(
                'the configuration may be out of date',
                Cause.OUTDATED_CONFIGURATION,
            )
        if customer_id is None:
            return _not_run(Outcome.UNAUTHORIZED, 'the API key is unknown')
        return None

    def _check_operation(self, call: Call) -> Reply | None:
        assert call.queue is not None
        if call.method not in OPERATIONS:
            return _not_run(Outcome.NOT_ALLOWED, 'the method is not supported')
        if call.operation is Operation.WAITING:
            if call.method != 'GET':
                return _not_run(Outcome.NOT_ALLOWED, 'the path has no job id')
        elif not call.job_id:
            return _not_run(
                Outcome.BAD_REQUEST, 'the job id must be 16 hexadecimal digits'
            )
        return None

    # Operations

    async def _run(self, call: Call) -> Reply:
        needs_store = call.operation in (Operation.SUBMIT, Operation.CANCEL)
        if needs_store and self._is_store_unreachable():
            return await self._hand_over(
                call, 'the store is unreachable', Cause.STORE_UNREACHABLE
            )
        try:
            if call.operation is Operation.SUBMIT:
                return await self._submit(call)
            if call.operation is Operation.CANCEL:
                return await self._cancel(call)
            if call.operation is Operation.STATE:
                return await self._state(call)
        except errors.StoreUnavailable as error:
            if not isinstance(error, errors.StoreRefused):
                self._store_failed_at = clock.now()
            return await self._hand_over(
                call, error.message, Cause.STORE_FAILED
            )
        except errors.OutcomeUnknown as error:
            self._store_failed_at = clock.now()
            return await self._find_outcome(call, error.message)
        except msgspec.DecodeError as error:
            logs.limited_warning('job.bad_row', call.job_id, error)
            return self._refuse(
                call, 'the stored job cannot be read', Cause.UNREADABLE_ROW
            )
        return self._count_waiting(call)

    def _unavailable(self, detail: str, cause: Cause) -> Reply:
        """Refuse a call that had no effect and may be retried."""
        elsewhere = self._holder.reaches_store(clock.now())
        return Reply(
            Outcome.UNAVAILABLE,
            verdicts.Verdict.NOT_RUN,
            detail,
            retry_after_s=RETRY_OTHER_ENTRY_S
            if elsewhere
            else RETRY_ANY_ENTRY_S,
            cause=cause,
        )

    def _unknown_outcome(self, call: Call, detail: str, cause: Cause) -> Reply:
        self._unknown_job_ids[call.job_id] = None
        if len(self._unknown_job_ids) > MAX_UNKNOWN_JOBS:
            del self._unknown_job_ids[next(iter(self._unknown_job_ids))]
        return _unknown(detail, cause)

    def _may_hand_over(self, call: Call) -> bool:
        """Return whether the holder may serve a call that this entry can't."""
        assert call.queue is not None
        return (
            not call.handed_over
            and call.operation is Operation.SUBMIT
            and call.queue.priority == ordering.URGENT_PRIORITY
            and self._holder.takes_submissions(clock.now())
        )

    async def _hand_over(self, call: Call, detail: str, cause: Cause) -> Reply:
        """Let the holder serve a call, or refuse it.

        :param detail: why this entry can't serve it, which had no effect.
        """
        reply = None
        if self._may_hand_over(call):
            reply = await self._holder.submit(call)
        if reply is None:
            return self._refuse(call, detail, cause)
        if reply.outcome is Outcome.UNKNOWN:
            return self._unknown_outcome(
                call, reply.detail, Cause.HOLDER_REFUSED
            )
        if reply.outcome is Outcome.UNAVAILABLE:
            return self._refuse(call, reply.detail, Cause.HOLDER_REFUSED)
        return reply

    async def _find_outcome(self, call: Call, detail: str) -> Reply:
        """Let the holder store a job whose storing has an unknown outcome.

        Both writes are conditional on the absence of the row, so that only
        one of them takes effect.
        """
        if self._may_hand_over(call):
            reply = await self._holder.submit(call)
            if reply is not None and reply.outcome is Outcome.ACCEPTED:
                return reply
        return self._unknown_outcome(call, detail, Cause.STORE_FAILED)

    def _refuse(self, call: Call, detail: str, cause: Cause) -> Reply:
        """Refuse a call that had no effect.

        If an earlier call of the same job has an unknown outcome, the job may
        still run, and the reply must not state that it did not run.
        """
        if call.job_id in self._unknown_job_ids:
            return _unknown(detail, cause)
        return self._unavailable(detail, cause)

    def _is_store_unreachable(self) -> bool:
        """Return whether a call failed since the store last answered.

        While this holds, calls are refused at once instead of waiting for a
        timeout.  The feed of the configuration polls the store all the time
        and thus detects its recovery.
        """
        return self._store_failed_at > self._configuration_feed.answered_at

    async def _submit(self, call: Call) -> Reply:
        configuration = self._configuration_feed.configuration
        assert configuration is not None
        assert call.queue is not None
        if len(call.body) > configuration.max_body_bytes:
            return _not_run(
                Outcome.TOO_LARGE,
                'the body is larger than the configuration allows',
            )
        try:
            spec = self._decode_job(call.body)
        except errors.BadRequest as error:
            return _not_run(Outcome.BAD_REQUEST, error.message)
        record = records.JobRecord(
            call.job_id,
            call.queue,
            call.customer_id,
            clock.unix_now(),
            spec,
        )
        row = records.encode(record)
        if len(row) > records.MAX_ROW_BYTES:
            return _not_run(
                Outcome.TOO_LARGE,
                f'the job takes {len(row)} bytes in the store, but may take '
                f'{records.MAX_ROW_BYTES} at most',
            )
        if not self._holder.admit_job(
            call.customer_id, memory.job_bytes(spec)
        ):
            return await self._refuse_without_memory(call)
        try:
            version = await self._insert(call, row)
        except errors.TransactionConflict:
            return await self._reply_to_repeated(call)
        self._holder.announce_job(row, version)
        return Reply(Outcome.ACCEPTED, verdicts.Verdict.RAN)

    async def _reply_to_repeated(self, call: Call) -> Reply:
        """Reply to the submission of a job whose row exists."""
        try:
            found = await self._read_job(call.job_id)
        except errors.PlatformError as error:
            return self._unknown_outcome(
                call, error.message, Cause.STORE_FAILED
            )
        if found is None:
            # It has ended, and its row was removed just now.
            return _accepted_earlier()
        return self._reply_by_row(call, found[0])

    def _reply_by_row(self, call: Call, record: records.JobRecord) -> Reply:
        if record.withdrawn:
            return _not_run(
                Outcome.NO_JOB, 'the job was cancelled before it was stored'
            )
        if not _may_access_record(call, record):
            return _not_run(
                Outcome.ID_TAKEN, 'another customer has a job with this id'
            )
        return _accepted_earlier()

    async def _refuse_without_memory(self, call: Call) -> Reply:
        """Refuse a job, unless an earlier call has stored it."""
        try:
            found = await self._read_job(call.job_id)
        except errors.PlatformError as error:
            return self._unknown_outcome(
                call, error.message, Cause.STORE_FAILED
            )
        if found is not None:
            return self._reply_by_row(call, found[0])
        detail = "the customer's jobs occupy too much memory"
        if call.job_id in self._unknown_job_ids:
            return _unknown(detail, Cause.NO_MEMORY)
        return Reply(
            Outcome.UNAVAILABLE,
            verdicts.Verdict.NOT_RUN,
            detail,
            retry_after_s=RETRY_NO_MEMORY_S,
            cause=Cause.NO_MEMORY,
        )

    async def _insert(self, call: Call, row: bytes) -> int:
        """Store a job, with one retry if the outcome is unknown.

        Return the version of its row.  The holder repeats the write of a job
        that may be handed over.

        The write is conditional on the absence of the row, so that the retry
        cannot store the job twice.
        """
        job_id = call.job_id
        part = records.job_part(job_id)
        condition = ports.Condition(records.JOBS_TABLE, job_id, 0)
        put = ports.Put(records.JOBS_TABLE, job_id, row)
        try:
            return await self._context.store.transact(
                [condition], [put], (), part
            )
        except errors.OutcomeUnknown:
            if self._may_hand_over(call):
                raise
            try:
                return await self._context.store.transact(
                    [condition], [put], (), part
                )
            except errors.TransactionConflict:
                self._holder.announce_job(row, messages.UNKNOWN_VERSION)
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
                return records.decode_stored_job(
                    row.key, row.value
                ), row.version
        return None

    async def _cancel(self, call: Call) -> Reply:
        found = await self._read_job(call.job_id)
        if found is None:
            try:
                return await self._withdraw(call)
            except errors.TransactionConflict:
                # The job was stored meanwhile.
                found = await self._read_job(call.job_id)
        if (
            found is None
            or found[0].withdrawn
            or not _may_access_record(call, found[0])
        ):
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
            version = await self._context.store.transact(
                [condition], [put], (), records.job_part(call.job_id)
            )
        except errors.TransactionConflict:
            # The row of a job is only replaced after the job has ended.
            return Reply(
                Outcome.OK, verdicts.Verdict.RAN, 'the job had already ended'
            )
        self._holder.announce_cancellation(call.job_id, version)
        return Reply(Outcome.OK, verdicts.Verdict.RAN)

    async def _withdraw(self, call: Call) -> Reply:
        """Keep a job that isn't stored from being stored later.

        A write of it that got no answer may still be applied, whichever entry
        sent it.

        :raises errors.TransactionConflict: it was stored meanwhile.
        """
        assert call.queue is not None
        now = clock.unix_now()
        record = records.JobRecord(
            call.job_id,
            specs.Queue(
                call.queue.queue_id,
                call.queue.service,
                call.queue.host,
                call.queue.prefix,
            ),
            call.customer_id,
            now,
            ended_as=specs.JobState.CANCELLED,
            ended_unix_s=now,
            withdrawn=True,
        )
        await self._context.store.transact(
            [ports.Condition(records.JOBS_TABLE, call.job_id, 0)],
            [
                ports.Put(
                    records.JOBS_TABLE, call.job_id, records.encode(record)
                )
            ],
            (),
            records.job_part(call.job_id),
        )
        return _not_run(Outcome.NO_JOB, 'there is no such job')

    async def _state(self, call: Call) -> Reply:
        """Return the state of a job by the holder or the store.

        The holder is asked first.  If it is late, whichever tells the state
        first counts.
        """
        query = asyncio.create_task(
            self._holder.state_of(call.job_id, LATE_ANSWER_S)
        )
        tasks: list[asyncio.Task[Any]] = [query]
        try:
            await asyncio.wait([query], timeout=QUERY_TIMEOUT_S)
            if query.done():
                reply = self._held_state(call, query.result())
                if reply is not None:
                    return reply
            if self._is_store_unreachable():
                reply = self._held_state(call, await query)
                return reply or self._unavailable(
                    'the state is unknown while the store is unreachable',
                    Cause.STORE_UNREACHABLE,
                )
            read = asyncio.create_task(self._state_in_store(call))
            tasks.append(read)
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if not read.done() or read.exception() is not None:
                reply = self._held_state(call, await query)
                if reply is not None:
                    return reply
            return await read
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _held_state(
        self, call: Call, answer: messages.StateReply | None
    ) -> Reply | None:
        """Return the reply by an answer of the holder, if it has a state."""
        call.holder_answer = _holder_answer(answer)
        if (
            answer is None
            or answer.state is None
            or answer.host is None
            or answer.prefix is None
        ):
            return None
        if not _may_access(
            call, answer.customer_id, answer.host, answer.prefix
        ):
            return _not_run(Outcome.NO_JOB, 'there is no such job')
        return Reply(Outcome.OK, verdicts.Verdict.RAN, state=answer.state)

    async def _state_in_store(self, call: Call) -> Reply:
        found = await self._read_job(call.job_id)
        if (
            found is None
            or found[0].withdrawn
            or not _may_access_record(call, found[0])
        ):
            return _not_run(Outcome.NO_JOB, 'there is no such job')
        state = found[0].ended_as or await self._stored_state(call.job_id)
        return Reply(
            Outcome.OK, verdicts.Verdict.RAN, 'state from the store', state
        )

    async def _stored_state(self, job_id: model.JobId) -> specs.JobState:
        """Return the state of a job according to its stored progress."""
        page = await self._context.store.read(
            records.PROGRESS_TABLE, job_id, job_id + '\x00'
        )
        if not page.rows:
            return specs.JobState.QUEUED
        try:
            progress = progress_rows.decode(page.rows[0].value)
        except msgspec.DecodeError as error:
            # The row exists only once the job has begun.
            self._context.metrics.set_aside.inc({'source': 'row'})
            logs.limited_warning('progress.bad_row', job_id, error)
            return specs.JobState.RUNNING
        if progress.ended is not None and progress.ended.ended_as is not None:
            return progress.ended.ended_as
        return specs.JobState.RUNNING

    def _count_waiting(self, call: Call) -> Reply:
        assert call.queue is not None
        waiting = self._holder.waiting_by_queue(clock.now())
        if waiting is None:
            return self._unavailable(
                'the number of waiting jobs is unknown', Cause.NO_COUNT
            )
        return Reply(
            Outcome.OK,
            verdicts.Verdict.RAN,
            waiting=waiting.get(call.queue.queue_id, 0),
        )
