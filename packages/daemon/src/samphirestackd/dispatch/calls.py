"""One send of a request to an upstream, watched for silence."""

import asyncio

from samphirestack import errors
from samphirestack import platform
from samphirestack import verdict as verdicts
from samphirestackd import context as contexts
from samphirestackd.dispatch import grants
from samphirestackd.dispatch import records
from samphirestackd.dispatch import timings as timing_types

MAX_CONSECUTIVE_MISSES = 2
"""Status answers in a row without the request, after which the connection
is dropped; one alone may cross with an answer on its way."""

MAX_CONSECUTIVE_FAILURES = 3
"""Status queries in a row without any answer, after which the upstream is
given up; each of them takes a second or more."""

DEADLINE_SLACK_S = 1.0
"""The client of the upstream keeps the deadline itself, since it knows the
verdict; the call is cut off from outside only if that fails."""


class Sender:
    """Sends requests under grants and reports how each send ended."""

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
        """Send once and return the whole answer; the grant is given back.

        :raises errors.SamphireError: with the verdict of this send.
        """
        verdict = verdicts.Verdict.NOT_RUN
        watch = _StatusWatch(self._context, self._timings, record, held_grant)
        try:
            record.mark_sent()
        except errors.SamphireError:
            self._held_grants.release(held_grant, verdict)
            raise
        # Any exit that proves nothing else leaves the request in doubt.
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
                f'request {call.request_id!r} was granted a slot too late'
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
                f'upstream {grant.upstream_id!r} went silent on request '
                f'{call.request_id!r}'
            ) from None
        except errors.UpstreamFailed as error:
            if self._context.clock() < record.deadline_at:
                raise
            raise errors.DeadlineExceeded(
                error.message, verdict=error.verdict
            ) from error


class _StatusWatch:
    """Asks the upstream about a request whose call is silent.

    The status is asked on a new connection, since the connection of the
    call may have gone silent for ever.
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
        """Start to watch; a lost call ends ``scope``."""
        self._scope = scope
        self._timer = asyncio.get_running_loop().call_later(
            self._period_s, self._start_task
        )

    def stop(self) -> None:
        """End the watch."""
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
        """Return whether the upstream works on it, ``None`` if unknown."""
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
