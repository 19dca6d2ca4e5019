"""Submissions that an entry hands over to the holder of the term.

This answers a store that turns some entries away while it serves others: an
urgent job that comes to such an entry can't wait until its caller has tried
another one.  The holder decides and stores as for a call of its own; the
entry passes its reply on.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from samphirestack.fleet import messages
from samphirestack import verdict as verdicts
from samphirestackd.fleet import edge
from samphirestackd.fleet import node_context
from samphirestackd import logs

MAX_PENDING = 64
"""Submissions that one entry has handed over and that have no reply yet."""

MAX_SERVED = 256
"""Submissions of all entries that the holder serves at once."""

MAX_BODY_BYTES = 512 * 1024
"""Larger bodies would come near the limit of a message."""

TIMEOUT_S = 1.0
"""Time for a reply, after which the outcome is unknown.  A write of the
holder without an answer is repeated once within it."""


MAX_WRITE_S = 0.1
"""A holder whose writes take longer can't store a job sooner than this entry:
the store is slow for both."""


def is_holder_fast(write_s: float | None) -> bool:
    """Return whether a holder stores a submission sooner than a retry would.

    :param write_s: how long its last write took; ``None`` if it takes no
        submissions.
    """
    return write_s is not None and write_s <= MAX_WRITE_S


class Sender:
    """Hands submissions over and awaits the replies.

    :param send: sends to the holder; returns whether there is a connection.
    """

    def __init__(self, send: Callable[[messages.Message], bool]) -> None:
        self._send = send
        self._last_number = 0
        self._waiters_by_number: dict[
            int, asyncio.Future[messages.SubmissionReply]
        ] = {}

    async def submit(self, call: edge.Call) -> edge.Reply | None:
        """Hand a submission over.

        :return: the holder's reply, one of an unknown outcome if none came in
            time, or ``None`` if nothing was sent.
        """
        if (
            len(self._waiters_by_number) >= MAX_PENDING
            or len(call.body) > MAX_BODY_BYTES
        ):
            return None
        self._last_number += 1
        number = self._last_number
        waiter: asyncio.Future[messages.SubmissionReply] = (
            asyncio.get_running_loop().create_future()
        )
        request = messages.SubmissionRequest(
            number, call.method, call.host, call.path, call.key, call.body
        )
        if not self._send(request):
            return None
        self._waiters_by_number[number] = waiter
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return _to_reply(await waiter)
        except TimeoutError:
            return edge.Reply(
                edge.Outcome.UNKNOWN,
                verdicts.Verdict.MAY_HAVE_RUN,
                'the holder of the term did not answer',
            )
        finally:
            del self._waiters_by_number[number]

    def handle_reply(self, message: messages.SubmissionReply) -> None:
        """Pass the holder's reply on to the call that waits for it."""
        waiter = self._waiters_by_number.get(message.number)
        if waiter is not None and not waiter.done():
            waiter.set_result(message)


class Server:
    """Serves submissions that entries hand over to this process.

    :param serve: handles a call as if a client had sent it here.
    :param send: sends to the entry with a connection identity.
    """

    def __init__(
        self,
        context: node_context.Context,
        serve: Callable[[edge.Call], Awaitable[edge.Reply]],
        send: Callable[[bytes, messages.Message], None],
    ) -> None:
        self._context = context
        self._serve = serve
        self._send = send
        self._tasks: set[asyncio.Task[None]] = set()

    def handle_request(
        self,
        identity: bytes,
        message: messages.SubmissionRequest,
        holds_term: bool,
    ) -> None:
        """Serve a submission and send the reply once it is known.

        :param holds_term: whether this process holds the term.  Otherwise it
            refuses, so that the entry doesn't wait in vain.
        """
        if not holds_term:
            self._refuse(identity, message, 'another entry holds the term')
            return
        if len(self._tasks) >= MAX_SERVED:
            logs.limited_warning('handover.refused', '', 'too many at once')
            self._refuse(
                identity, message, 'the holder serves too many submissions'
            )
            return
        task = asyncio.create_task(self._answer(identity, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _refuse(
        self,
        identity: bytes,
        message: messages.SubmissionRequest,
        detail: str,
    ) -> None:
        self._send(
            identity,
            messages.SubmissionReply(
                message.number,
                edge.Outcome.UNAVAILABLE.value,
                verdicts.Verdict.NOT_RUN.value,
                detail,
                edge.RETRY_ANY_ENTRY_S,
            ),
        )

    async def _answer(
        self, identity: bytes, message: messages.SubmissionRequest
    ) -> None:
        reply = await self._serve(
            edge.Call(
                message.method,
                message.host,
                message.path,
                message.key,
                message.body,
                None,
                handed_over=True,
            )
        )
        self._context.metrics.handed_over.inc({'outcome': reply.outcome.value})
        self._send(
            identity,
            messages.SubmissionReply(
                message.number,
                reply.outcome.value,
                reply.verdict.value,
                reply.detail,
                reply.retry_after_s,
            ),
        )


def _to_reply(message: messages.SubmissionReply) -> edge.Reply:
    """Return the reply in a message.

    One with an outcome that this version doesn't know counts as unknown.
    """
    try:
        return edge.Reply(
            edge.Outcome(message.outcome),
            verdicts.Verdict(message.verdict),
            message.detail,
            retry_after_s=message.retry_after_s,
        )
    except ValueError:
        return edge.Reply(
            edge.Outcome.UNKNOWN,
            verdicts.Verdict.MAY_HAVE_RUN,
            f'the holder answered with {message.outcome!r}',
        )
