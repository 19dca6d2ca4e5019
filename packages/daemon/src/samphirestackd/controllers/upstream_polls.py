"""Polls the status of the zone's upstreams while this node leads."""

import asyncio
from collections.abc import Callable
import math

from samphirestack import errors
from samphirestack import model
from samphirestack import platform
from samphirestackd import context as contexts
from samphirestackd import interfaces

MAX_PARALLEL_POLLS = 16
"""Concurrent status calls; enough that a few unresponsive upstreams do not
delay the others."""

POLL_TIMEOUT_S = 2.0
"""Timeout of one status call, longer than the client's own deadline."""

StatusHandler = Callable[
    [model.UpstreamId, platform.UpstreamStatus | None, float], None
]


class UpstreamPolls:
    """Runs one polling task per upstream during a term.

    :param on_status: called after each poll with the status, or ``None`` if
        there was none, and a time before which the call was certainly not
        sent.
    """

    def __init__(
        self, context: contexts.Context, on_status: StatusHandler
    ) -> None:
        self._context = context
        self._on_status = on_status
        self._call_slots = asyncio.Semaphore(MAX_PARALLEL_POLLS)
        self._term: interfaces.Term | None = None
        self._address_by_id: dict[model.UpstreamId, str] = {}
        self._task_by_id: dict[model.UpstreamId, asyncio.Task[None]] = {}

    def set_term(self, term: interfaces.Term | None) -> None:
        """Start polling, or stop if ``term`` is ``None``."""
        self._term = term
        self._stop(list(self._task_by_id))
        if term is not None:
            self._start(list(self._address_by_id))

    def set_upstreams(self, vms: list[model.Vm]) -> None:
        """Replace the upstreams to poll and their addresses."""
        listed = {model.UpstreamId(vm.vm_id): vm.address for vm in vms}
        former = self._address_by_id
        self._address_by_id = listed
        self._stop(
            [
                upstream_id
                for upstream_id in former
                if listed.get(upstream_id) != former[upstream_id]
            ]
        )
        if self._term is not None:
            self._start(
                [name for name in listed if name not in self._task_by_id]
            )

    def close(self) -> None:
        """Stop all polling."""
        self.set_term(None)

    def _start(self, upstream_ids: list[model.UpstreamId]) -> None:
        for upstream_id in upstream_ids:
            self._task_by_id[upstream_id] = asyncio.create_task(
                self._poll_forever(
                    upstream_id, self._address_by_id[upstream_id]
                )
            )

    def _stop(self, upstream_ids: list[model.UpstreamId]) -> None:
        for upstream_id in upstream_ids:
            task = self._task_by_id.pop(upstream_id, None)
            if task is not None:
                task.cancel()

    async def _poll_forever(
        self, upstream_id: model.UpstreamId, address: str
    ) -> None:
        # The client lets concurrent callers share one call.  Only a call that
        # follows the end of another one was certainly sent after that end.
        sent_after = -math.inf
        while self._term is not None:
            async with self._call_slots:
                status, has_ended = await self._poll(address)
                ended_at = self._context.clock()
            self._on_status(upstream_id, status, sent_after)
            pause_s = self._pause_s(status is not None, sent_after, ended_at)
            sent_after = ended_at if has_ended else -math.inf
            await asyncio.sleep(pause_s)

    async def _poll(
        self, address: str
    ) -> tuple[platform.UpstreamStatus | None, bool]:
        """Return the status and whether the call is known to have ended."""
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                return await self._context.upstreams.status(address), True
        except errors.SamphireError:
            return None, True
        except TimeoutError:
            return None, False

    def _pause_s(self, answered: bool, sent_after: float, now: float) -> float:
        """Return the pause before the next call.

        A new leader needs a status from after ``grant_from`` before it can
        grant slots, so it polls without a pause from then on until it has one.
        """
        interval_s = self._context.settings.timing.upstream_poll_s
        if self._term is None or not answered:
            return interval_s
        grant_from = self._term.grant_from
        if now < grant_from:
            return min(interval_s, grant_from - now)
        return interval_s if sent_after >= grant_from else 0.0
