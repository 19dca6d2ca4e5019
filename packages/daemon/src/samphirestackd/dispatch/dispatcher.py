"""The requests of this entry, from acceptance to the complete answer."""

import asyncio
import collections

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.dispatch import attempts
from samphirestackd.dispatch import idempotency
from samphirestackd.dispatch import jobs
from samphirestackd.dispatch import records
from samphirestackd.dispatch import timings as timing_types

MAX_FINISHED_REQUESTS = 2000
"""Finished requests whose state can still be queried."""

DRAIN_POLL_S = 0.02

RequestKey = tuple[model.TeamId, model.RequestId]


class Dispatcher:
    """Runs requests: obtains slots, calls upstreams and tracks their state."""

    def __init__(
        self, context: contexts.Context, timings: timing_types.Timings
    ) -> None:
        self._context = context
        self._attempts = attempts.Attempts(context, timings)
        self._idempotency_rows = idempotency.IdempotencyRows(context)
        self.jobs = jobs.JobManager(context)
        self._records_by_id: dict[model.RequestId, records.Record] = {}
        self._finished_by_id: collections.OrderedDict[
            RequestKey, records.RequestInfo
        ] = collections.OrderedDict()
        self._request_counts_by_queue: collections.Counter[
            tuple[model.QueueId, model.TeamId]
        ] = collections.Counter()
        self._draining = False

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self._draining

    def request_count(self) -> int:
        """Return the number of requests that wait or run at this entry."""
        return len(self._records_by_id)

    def request_count_of(
        self, queue: model.QueueId, team: model.TeamId
    ) -> int:
        """Return the number of a team's requests in a queue of this entry."""
        return self._request_counts_by_queue[queue, team]

    async def run(self) -> None:
        """Wait until cancelled; requests run in the tasks of their callers."""
        await asyncio.Event().wait()

    async def drain(self) -> None:
        """Refuse new requests and return when none is in flight."""
        self._draining = True
        while True:
            if not self._is_busy():
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _is_busy(self) -> bool:
        return bool(
            self._records_by_id
            or self._attempts.in_flight()
            or self._idempotency_rows.pending_writes()
        )

    async def submit(self, call: records.Call) -> records.Answer:
        """Run a request and return the upstream's complete answer.

        :raises errors.SamphireError: with the verdict over all attempts.
        """
        self._admit(call)
        record = records.Record(call, self._context.clock())
        key = (call.queue.name, call.team)
        self._records_by_id[call.request_id] = record
        self._request_counts_by_queue[key] += 1
        try:
            return await self._submit(record)
        except errors.SamphireError as error:
            error.verdict = _final_verdict(record, error)
            record.mark_failed(error)
            raise
        except Exception as error:
            # The caller needs the verdict also after an internal error.
            wrapped = errors.SamphireError(
                f'unexpected {type(error).__name__}', verdict=record.verdict
            )
            record.mark_failed(wrapped)
            raise wrapped from error
        except asyncio.CancelledError:
            record.mark_failed(errors.Cancelled('the caller disconnected'))
            raise
        finally:
            del self._records_by_id[call.request_id]
            self._request_counts_by_queue[key] -= 1
            if not self._request_counts_by_queue[key]:
                del self._request_counts_by_queue[key]
            self._record_end(record)

    def info(
        self, request_id: model.RequestId, team: model.TeamId
    ) -> records.RequestInfo:
        """Return the state of a request of a team.

        :raises errors.NotFound: the request is not known at this entry.
        """
        record = self._records_by_id.get(request_id)
        if record is not None and record.call.team == team:
            return record.info()
        finished = self._finished_by_id.get((team, request_id))
        if finished is not None:
            return finished
        raise errors.NotFound(
            f'request {request_id!r} is not known at this entry',
            hint='Ask the entry VM that accepted it.',
        )

    def cancel(
        self, request_id: model.RequestId, team: model.TeamId
    ) -> records.RequestInfo:
        """Cancel a request that was not sent yet and return its state.

        A request that was sent goes on; its current state is returned.

        :raises errors.NotFound: the request is not known at this entry.
        """
        info = self.info(request_id, team)
        record = self._records_by_id.get(request_id)
        if record is None or record.unresolved_sends:
            return info
        record.cancelled = True
        self._attempts.slots.cancel(request_id)
        return records.RequestInfo(
            request_id, model.RequestState.CANCELLED, record.verdict
        )

    def _admit(self, call: records.Call) -> None:
        if self._draining:
            raise errors.ShuttingDown('this entry is shutting down')
        present = self._records_by_id.get(call.request_id)
        if present is not None:
            raise errors.AlreadyDispatched(
                f'request {call.request_id!r} is in progress at this entry',
                hint='Ask for its state or wait for its answer.',
            )
        if call.idempotent:
            return
        past = self._finished_by_id.get((call.team, call.request_id))
        if past is None or past.verdict is verdicts.Verdict.NOT_RUN:
            return
        if not call.idempotency_key:
            raise errors.AlreadyDispatched(
                f'request {call.request_id!r} was sent before and is not '
                'idempotent'
            )

    async def _submit(self, record: records.Record) -> records.Answer:
        call = record.call
        events = self._context.events
        events.record(
            'request.received',
            request_id=call.request_id,
            team=call.team,
            queue=call.queue.name,
        )
        if call.idempotency_key and not call.idempotent:
            return await self._submit_keyed(record)
        answer = await self._attempts.run(record, _nothing_to_prepare)
        return _answer_of(call, answer)

    async def _submit_keyed(self, record: records.Record) -> records.Answer:
        """Run a request under an idempotency row that stores its outcome."""
        call = record.call
        stored = await self._idempotency_rows.find(call)
        if stored is not None:
            record.state = model.RequestState.ANSWERED
            return stored
        try:
            answer = await self._attempts.run(
                record, self._idempotency_rows.insert
            )
        except idempotency.AnsweredBefore as error:
            record.state = model.RequestState.ANSWERED
            return error.answer
        except errors.SamphireError:
            if record.verdict is verdicts.Verdict.NOT_RUN:
                self._idempotency_rows.remove(record)
            raise
        result = _answer_of(call, answer)
        await self._idempotency_rows.complete(record, result)
        return result

    def _record_end(self, record: records.Record) -> None:
        call = record.call
        self._context.events.record(
            'request.ended',
            request_id=call.request_id,
            state=record.state.value,
            verdict=record.verdict.value,
            code=record.code,
        )
        self._finished_by_id[call.team, call.request_id] = record.info()
        if len(self._finished_by_id) > MAX_FINISHED_REQUESTS:
            self._finished_by_id.popitem(last=False)


def _final_verdict(
    record: records.Record, error: errors.SamphireError
) -> verdicts.Verdict:
    """Return the verdict over all attempts of a failed request.

    A duplicate keeps the verdict of its error, since the request that it
    repeats may have run.
    """
    if isinstance(error, errors.AlreadyDispatched):
        return error.verdict
    return record.verdict


async def _nothing_to_prepare(record: records.Record) -> None:
    return None


def _answer_of(
    call: records.Call, answer: platform.UpstreamAnswer
) -> records.Answer:
    return records.Answer(call.request_id, answer.status, answer.body)
