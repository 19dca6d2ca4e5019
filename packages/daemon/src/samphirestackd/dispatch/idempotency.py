"""Idempotency rows, which let callers safely resend non-idempotent requests.

A row is inserted before the request is sent, and later holds its outcome.
Each row names the submission that inserted it, so that an insert whose
response was lost can be recognized when the row is read back.
"""

import asyncio
import base64
from collections.abc import Coroutine
import hashlib
import uuid

import msgspec

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.dispatch import records

TABLE = 'idempotency'
MAX_STORED_BYTES = 256 * 1024
"""Size limit of an answer stored in a row."""

WRITE_ATTEMPTS = 5
RETRY_PAUSE_S = 0.2


class Outcome(msgspec.Struct, frozen=True):
    """Value of an idempotency row."""

    request_id: model.RequestId
    attempt: str
    """Unique name of the submission that inserted the row."""
    digest: str
    """SHA-256 of the queue and the payload."""
    done: bool = False
    status: int = 0
    answer: str = ''
    """The body in base64, since it need not be valid text."""
    kept: bool = True
    """False if the answer was too large to store."""


class AnsweredBefore(errors.SamphireError):
    """Another submission with the same key was answered first."""

    code = 'answered_before'
    default_verdict = verdicts.Verdict.RAN

    def __init__(self, answer: records.Answer) -> None:
        super().__init__(
            'a request with the same Idempotency-Key was already answered'
        )
        self.answer = answer


class IdempotencyRows:
    """Reads and writes the idempotency rows of this entry's requests."""

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._outcomes_by_id: dict[model.RequestId, Outcome] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def pending_writes(self) -> int:
        """Return the number of writes in progress in the background."""
        return len(self._tasks)

    async def find(self, call: records.Call) -> records.Answer | None:
        """Return the stored answer to an earlier submission, if any.

        :raises errors.AlreadyDispatched: the request was sent before and
            no answer is stored.
        :raises errors.BadRequest: the key belongs to another request.
        :raises errors.StoreUnavailable: the table does not answer.
        """
        row = await self._read(call)
        return None if row is None else _stored_answer(call, row)

    async def insert(self, record: records.Record) -> None:
        """Insert the row before the request is sent for the first time.

        :raises errors.AlreadyDispatched: the request was sent before and
            no answer is stored.
        :raises errors.BadRequest: the key belongs to another request.
        :raises AnsweredBefore: another submission was answered first.
        :raises errors.StoreUnavailable: the table does not answer.
        """
        call = record.call
        outcome = Outcome(call.request_id, uuid.uuid4().hex, _digest(call))
        # Set before the write, so that the row is also removed if a
        # timeout cancels the insert.
        self._outcomes_by_id[call.request_id] = outcome
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._write(record, outcome, 0)
                return
            except (errors.TransactionConflict, errors.OutcomeUnknown):
                row = await self._read(call)
            if row is None:
                # The write may still take effect; the next one detects that.
                continue
            if _decode(row).attempt == outcome.attempt:
                record.row_version = row.version
                return
            del self._outcomes_by_id[call.request_id]
            raise AnsweredBefore(_stored_answer(call, row))
        raise errors.StoreUnavailable(
            'the row of the Idempotency-Key could not be inserted'
        )

    async def complete(
        self, record: records.Record, answer: records.Answer
    ) -> None:
        """Store the answer; retry in the background on failure.

        The caller gets its answer even if it can't be stored.
        """
        outcome = self._outcomes_by_id.pop(record.call.request_id, None)
        if outcome is None:
            return
        kept = len(answer.body) <= MAX_STORED_BYTES
        body = base64.b64encode(answer.body).decode() if kept else ''
        completed = msgspec.structs.replace(
            outcome, done=True, status=answer.status, answer=body, kept=kept
        )
        try:
            await self._write(record, completed, record.row_version)
        except (errors.PlatformError, errors.StoreUnavailable):
            self._spawn(self._write_later(record, completed))

    def remove(self, record: records.Record) -> None:
        """Delete the row of a request that has not run."""
        outcome = self._outcomes_by_id.pop(record.call.request_id, None)
        if outcome is not None:
            self._spawn(self._remove_later(record.call, outcome))

    async def _remove_later(
        self, call: records.Call, outcome: Outcome
    ) -> None:
        """Delete the row if this submission inserted it."""
        key = _row_key(call)
        for attempt in range(WRITE_ATTEMPTS):
            try:
                row = await self._read(call)
                if row is None or _decode(row).attempt != outcome.attempt:
                    return
                write = platform.Write(TABLE, key, row.version, None)
                await self._context.table.transact([write])
                return
            except (errors.PlatformError, errors.StoreUnavailable):
                await asyncio.sleep(RETRY_PAUSE_S * 2**attempt)

    async def _write_later(
        self, record: records.Record, outcome: Outcome
    ) -> None:
        for attempt in range(WRITE_ATTEMPTS):
            try:
                await self._write(record, outcome, record.row_version)
                return
            except errors.TransactionConflict:
                return
            except (errors.PlatformError, errors.StoreUnavailable):
                await asyncio.sleep(RETRY_PAUSE_S * 2**attempt)
        self._context.events.record(
            'idempotency.unwritten', request_id=record.call.request_id
        )

    async def _read(self, call: records.Call) -> platform.Row | None:
        try:
            return await self._context.table.get(TABLE, _row_key(call))
        except errors.PlatformError as error:
            raise errors.StoreUnavailable(error.message) from error

    async def _write(
        self,
        record: records.Record,
        outcome: Outcome,
        expect: int,
    ) -> None:
        value = msgspec.to_builtins(outcome)
        write = platform.Write(TABLE, _row_key(record.call), expect, value)
        versions = await self._context.table.transact([write])
        record.row_version = versions[0]

    def _spawn(self, write: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(write)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _row_key(call: records.Call) -> str:
    return f'{call.team}/{call.idempotency_key}'


def _digest(call: records.Call) -> str:
    content = call.queue.name.encode() + b'\0' + call.body
    return hashlib.sha256(content).hexdigest()


def _decode(row: platform.Row) -> Outcome:
    return msgspec.convert(row.value, Outcome)


def _stored_answer(call: records.Call, row: platform.Row) -> records.Answer:
    """Return the answer stored by another submission.

    :raises errors.BadRequest: the row belongs to another request.
    :raises errors.AlreadyDispatched: the row holds no answer.
    """
    outcome = _decode(row)
    if outcome.digest != _digest(call):
        raise errors.BadRequest(
            f'Idempotency-Key {call.idempotency_key!r} was used for another '
            'request',
            hint='Use a new key for each request.',
        )
    if not outcome.done or not outcome.kept:
        raise errors.AlreadyDispatched(
            f'a request with Idempotency-Key {call.idempotency_key!r} was '
            'sent before'
            + ('' if outcome.kept else ' and its answer was too large to keep')
        )
    return records.Answer(
        call.request_id, outcome.status, base64.b64decode(outcome.answer)
    )
