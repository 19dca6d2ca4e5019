"""First phase of a change: promises from a majority of the roster."""

import asyncio
from collections.abc import Callable

from samphirestack import errors
from samphirestack.internal import freshness
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd import interfaces

RESEND_INTERVAL_S = 0.3
"""Pause before members that have not answered are asked again."""

PROMISE_TIMEOUT_S = 2.0


class Proposals:
    """Requests promises for own changes and answers requests of others.

    :param gone_members: returns members that no longer exist.  They count as
        promised: a promise only keeps a member from confirming that an older
        revision is the newest, and they never confirm anything again.
    """

    def __init__(
        self,
        links: interfaces.PeerLinks,
        node_freshness: freshness.Freshness,
        clock: Callable[[], float],
        gone_members: Callable[[], set[model.VmId]],
    ) -> None:
        self._links = links
        self._freshness = node_freshness
        self._clock = clock
        self._gone_members = gone_members
        self._revision = model.Revision(0)
        self._promised: set[model.VmId] = set()
        self._refused: set[model.VmId] = set()
        self._answered = asyncio.Event()
        links.subscribe(messages.Prepare, self._on_prepare)
        links.subscribe(messages.Promise, self._on_promise)

    async def prepare(
        self, revision: model.Revision, roster: list[model.VmId]
    ) -> None:
        """Return once a majority of the roster has promised a revision.

        :raises errors.Conflict: a member knows this revision already.
        :raises errors.StoreUnavailable: there is no majority.
        """
        self._revision = revision
        self._promised, self._refused = self._gone_members(), set()
        deadline = self._clock() + PROMISE_TIMEOUT_S
        while not self._freshness.is_majority(self._promised):
            if self._refused:
                raise errors.Conflict(
                    f'revision {revision} exists already at '
                    f'{min(self._refused)!r}'
                )
            if self._clock() >= deadline:
                raise self._no_majority(roster)
            self._answered.clear()
            for member in set(roster) - self._promised:
                self._links.send(member, messages.Prepare(revision))
            await self._wait_for_answers()

    async def _wait_for_answers(self) -> None:
        try:
            async with asyncio.timeout(RESEND_INTERVAL_S):
                while not self._refused and not self._freshness.is_majority(
                    self._promised
                ):
                    await self._answered.wait()
                    self._answered.clear()
        except TimeoutError:
            return

    def _no_majority(self, roster: list[model.VmId]) -> errors.SamphireError:
        missing = sorted(set(roster) - self._promised)
        return errors.StoreUnavailable(
            f'only {len(roster) - len(missing)} of {len(roster)} entries '
            f'promised the change; no answer from {", ".join(missing)}',
            hint='Nothing was changed. Apply it at an entry that reaches '
            'more than half of the entries.',
        )

    def _on_prepare(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Prepare)
        granted = self._freshness.promise(self._clock(), message.revision)
        self._links.send(sender, messages.Promise(message.revision, granted))

    def _on_promise(
        self, sender: model.VmId, message: messages.AnyMessage
    ) -> None:
        assert isinstance(message, messages.Promise)
        if message.revision != self._revision:
            return
        (self._promised if message.granted else self._refused).add(sender)
        self._answered.set()
