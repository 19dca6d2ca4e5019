"""Attempts of one request: slots, sends, retries and hedges."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from samphirestack import errors
from samphirestack.internal.decisions import retries
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.dispatch import calls
from samphirestackd.dispatch import grants
from samphirestackd.dispatch import records
from samphirestackd.dispatch import slots
from samphirestackd.dispatch import timings as timing_types

PREPARE_TIMEOUT_S = 0.8
"""Time limit for the preparation between a grant and the first send.  The
leader revokes a grant whose request has not been sent within 2 s, of which
the upstream client needs up to 1.1 s to get a connection."""

MAX_NOT_RUN_ATTEMPTS = 8
"""Limit on sends that were all refused as not run.  Without it a request
would cycle through refusing upstreams until its deadline."""

BeforeSend = Callable[[records.Record], Awaitable[None]]


class Attempts:
    """Sends requests until there is an answer or a final error."""

    def __init__(
        self,
        context: contexts.Context,
        timings: timing_types.Timings,
    ) -> None:
        self._context = context
        self._timings = timings
        self._held_grants = grants.HeldGrants(context, timings)
        self._retry_budget = retries.RetryBudget()
        self._sender = calls.Sender(context, timings, self._held_grants)
        self._send_tasks: set[asyncio.Task[platform.UpstreamAnswer]] = set()
        self.slots = slots.SlotBroker(context, timings, self._held_grants)

    def in_flight(self) -> int:
        """Return the number of held grants and running send tasks."""
        return len(self._held_grants) + len(self._send_tasks)

    async def run(
        self, record: records.Record, before_send: BeforeSend
    ) -> platform.UpstreamAnswer:
        """Return the complete answer of an upstream.

        :param before_send: awaited once, after the first grant and before
            the first send; an error ends the request as not run.
        :raises errors.SamphireError: with the verdict over all attempts.
        """
        self._retry_budget.record_request(
            self._context.clock(), record.call.queue.service
        )
        prepared = False
        while True:
            held_grant = await self._acquire(record)
            if not prepared:
                await self._prepare(record, held_grant, before_send)
                prepared = True
            try:
                return await self._send(record, held_grant)
            except errors.UpstreamFailed as error:
                if not self._may_retry(record, error):
                    raise
                self._record_retry(record, held_grant, error)
            await asyncio.sleep(self._timings.retry_pause_s * record.attempts)

    async def _acquire(self, record: records.Record) -> grants.HeldGrant:
        if record.cancelled:
            raise errors.Cancelled(
                f'request {record.call.request_id!r} was cancelled'
            )
        record.mark_waiting()
        held_grant = await self.slots.acquire(record)
        record.mark_granted()
        return held_grant

    async def _prepare(
        self,
        record: records.Record,
        held_grant: grants.HeldGrant,
        before_send: BeforeSend,
    ) -> None:
        try:
            async with asyncio.timeout(PREPARE_TIMEOUT_S):
                await before_send(record)
        except TimeoutError:
            self._held_grants.release(held_grant, verdicts.Verdict.NOT_RUN)
            raise errors.StoreUnavailable(
                f'the table did not answer within {PREPARE_TIMEOUT_S:g} s'
            ) from None
        except BaseException:
            self._held_grants.release(held_grant, verdicts.Verdict.NOT_RUN)
            raise

    async def _send(
        self, record: records.Record, held_grant: grants.HeldGrant
    ) -> platform.UpstreamAnswer:
        self._context.events.record(
            'request.sent',
            request_id=record.call.request_id,
            upstream_id=held_grant.grant.upstream_id,
            epoch=held_grant.grant.epoch,
            attempt=record.attempts + 1,
        )
        hedge_after_s = record.call.profile.hedge_after_s
        if hedge_after_s is None or not record.call.idempotent:
            return await self._sender.send(record, held_grant)
        return await self._send_hedged(record, held_grant, hedge_after_s)

    async def _send_hedged(
        self,
        record: records.Record,
        held_grant: grants.HeldGrant,
        hedge_after_s: float,
    ) -> platform.UpstreamAnswer:
        """Send, and send again if there is no answer within the delay.

        The first complete answer is returned.  The slower send is not
        cancelled, so that its slot is released only when the upstream has
        finished with it.
        """
        first = self._spawn(self._sender.send(record, held_grant))
        await asyncio.wait({first}, timeout=hedge_after_s)
        if first.done() or not self._may_hedge(record):
            return await asyncio.shield(first)
        record.avoid = (*record.avoid, held_grant.grant.upstream_id)
        second = self._spawn(self._hedge(record))
        try:
            return await _first_answer(first, second)
        finally:
            # Stops waiting for a second slot, which is no longer needed.
            self.slots.cancel(record.call.request_id)

    async def _hedge(self, record: records.Record) -> platform.UpstreamAnswer:
        held_grant = await self.slots.acquire(record)
        if record.ended_verdict is verdicts.Verdict.RAN:
            # The first send was answered before this one got a slot.
            self._held_grants.release(held_grant, verdicts.Verdict.NOT_RUN)
            raise errors.Cancelled('the request was answered before the hedge')
        self._context.events.record(
            'request.hedged',
            request_id=record.call.request_id,
            upstream_id=held_grant.grant.upstream_id,
        )
        return await self._sender.send(record, held_grant)

    def _spawn(
        self, send: Awaitable[platform.UpstreamAnswer]
    ) -> asyncio.Task[platform.UpstreamAnswer]:
        task = asyncio.ensure_future(send)
        assert isinstance(task, asyncio.Task)
        self._send_tasks.add(task)
        task.add_done_callback(self._on_send_done)
        return task

    def _on_send_done(
        self, task: asyncio.Task[platform.UpstreamAnswer]
    ) -> None:
        self._send_tasks.discard(task)
        if not task.cancelled():
            # Retrieves the exception, so that asyncio does not log it as
            # unhandled when nothing awaits the send.
            task.exception()

    def _may_hedge(self, record: records.Record) -> bool:
        return record.attempts < record.call.profile.max_attempts and (
            self._retry_budget.try_retry(
                self._context.clock(), record.call.queue.service
            )
        )

    def _may_retry(
        self, record: records.Record, error: errors.UpstreamFailed
    ) -> bool:
        call = record.call
        if self._context.clock() >= record.deadline_at:
            return False
        if not record.verdict.allows_retry(call.idempotent):
            return False
        if error.verdict is verdicts.Verdict.NOT_RUN:
            return record.attempts < MAX_NOT_RUN_ATTEMPTS
        if record.attempts >= call.profile.max_attempts:
            return False
        return self._retry_budget.try_retry(
            self._context.clock(), call.queue.service
        )

    def _record_retry(
        self,
        record: records.Record,
        held_grant: grants.HeldGrant,
        error: errors.UpstreamFailed,
    ) -> None:
        record.avoid = (*record.avoid, held_grant.grant.upstream_id)
        self._context.events.record(
            'request.retried',
            request_id=record.call.request_id,
            upstream_id=held_grant.grant.upstream_id,
            verdict=error.verdict.value,
        )


async def _first_answer(
    first: asyncio.Task[platform.UpstreamAnswer],
    second: asyncio.Task[platform.UpstreamAnswer],
) -> platform.UpstreamAnswer:
    """Return the first successful answer.

    :raises errors.SamphireError: the error of ``first`` if both fail.
    """
    pending = {first, second}
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if not task.cancelled() and task.exception() is None:
                return task.result()
    return first.result()
