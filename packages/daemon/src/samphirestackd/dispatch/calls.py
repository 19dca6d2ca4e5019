"""Sends of requests to upstreams, with detection of lost calls."""

import asyncio

from samphirestack import errors
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.dispatch import grants
from samphirestackd.dispatch import records
from samphirestackd.dispatch import timings as timing_types

MAX_CONSECUTIVE_MISSES = 2
"""Consecutive status answers that do not list the request, after which the
send is abandoned.  A single one may race with the answer to the call."""

MAX_CONSECUTIVE_FAILURES = 3
"""Consecutive status queries without an answer, after which the send is
abandoned.  Each of them takes a second or more."""

DEADLINE_SLACK_S = 1.0
"""Time past the deadline after which the call is cancelled.  The upstream
client enforces the deadline itself, since it knows the verdict; this is the
fallback."""


class Sender:
    """Sends requests under grants and releases each grant afterwards."""

    def __init__(
        self,
        context: contexts.Context,
        timings: timing_types.Timings,
        held_grants: grants.HeldGrants,
    ) -> None:
        self._context = context
        self._timings = timings
        self._held_grants = held_grants

    async def send(
        self, record: records.Record, held_grant: grants.HeldGrant
    ) -> platform.UpstreamAnswer:
        """Send once, release the grant and return the complete answer.

        :raises errors.SamphireError: with the verdict of this send.
        """
        verdict = verdicts.Verdict.NOT_RUN
        watch = _StatusWatch(self._context, self._timings, record, held_grant)
        try:
            record.mark_sent()
        except errors.SamphireError:
            self._held_grants.release(held_grant, verdict)
            raise
        # Any exit without a definite outcome means that the request may
        # have run.
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        try:
            answer = await self._call(record, held_grant, watch)
            verdict = verdicts.Verdict.RAN
            return answer
        except errors.SamphireError as error:
            verdict = error.verdict
            raise
        finally:
            record.mark_send_ended(verdict)
            self._held_grants.release(
                held_grant,
                verdict,
                failed=verdict is not verdicts.Verdict.RAN,
                leaving=watch.leaving,
            )

    async def _call(
        self,
        record: records.Record,
        held_grant: grants.HeldGrant,
        watch: '_StatusWatch',
    ) -> platform.UpstreamAnswer:
        call = record.call
        grant = held_grant.grant
        remaining_s = record.deadline_at - self._context.clock()
        if remaining_s <= 0:
            raise errors.DeadlineExceeded(
                f'request {call.request_id!r} was granted a slot after its '
                'deadline'
            )
        try:
            async with asyncio.timeout(
                remaining_s + DEADLINE_SLACK_S
            ) as scope:
                watch.start(scope)
                try:
                    return await self._context.upstreams.work(
                        grant.address,
                        call.request_id,
                        call.team,
                        grant.epoch,
                        call.body,
                        remaining_s,
                    )
                finally:
                    watch.stop()
        except TimeoutError:
            raise errors.UpstreamFailed(
                f'upstream {grant.upstream_id!r} stopped responding to '
                f'request {call.request_id!r}'
            ) from None
        except errors.UpstreamFailed as error:
            if self._context.clock() < record.deadline_at:
                raise
            raise errors.DeadlineExceeded(
                error.message, verdict=error.verdict
            ) from error


class _StatusWatch:
    """Polls the upstream's status while a call has no answer.

    The status is queried on a new connection, since the connection of the
    call may be dead.
    """

    def __init__(
        self,
        context: contexts.Context,
        timings: timing_types.Timings,
        record: records.Record,
        held_grant: grants.HeldGrant,
    ) -> None:
        self._context = context
        self._period_s = timings.silent_after_s
        self._request_id = record.call.request_id
        self._held_grant = held_grant
        self._scope: asyncio.Timeout | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self.leaving = False

    def start(self, scope: asyncio.Timeout) -> None:
        """Start polling; ``scope`` times out when the call is lost."""
        self._scope = scope
        self._timer = asyncio.get_running_loop().call_later(
            self._period_s, self._start_task
        )

    def stop(self) -> None:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start_task(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        misses = 0
        failures = 0
        while (
            misses < MAX_CONSECUTIVE_MISSES
            and failures < MAX_CONSECUTIVE_FAILURES
        ):
            listed = await self._is_listed()
            misses = misses + 1 if listed is False else 0
            failures = failures + 1 if listed is None else 0
            if (
                misses < MAX_CONSECUTIVE_MISSES
                and failures < MAX_CONSECUTIVE_FAILURES
            ):
                await asyncio.sleep(self._period_s)
        self._context.events.record(
            'request.lost',
            request_id=self._request_id,
            upstream_id=self._held_grant.grant.upstream_id,
            misses=misses,
        )
        if self._scope is not None:
            self._scope.reschedule(asyncio.get_running_loop().time())

    async def _is_listed(self) -> bool | None:
        """Return whether the upstream lists the request as active.

        ``None`` means that the upstream did not answer.
        """
        try:
            status = await self._context.upstreams.status(
                self._held_grant.grant.address
            )
        except errors.UpstreamFailed:
            return None
        self.leaving = self.leaving or status.leaving
        return any(
            active.request_id == self._request_id for active in status.active
        )
