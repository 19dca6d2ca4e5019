"""State of the requests held by this entry."""

import enum

import msgspec

from samphirestack import configuration
from samphirestack import errors
from samphirestack import model
from samphirestack import verdict as verdicts

MICROSECONDS = 1_000_000


class Call(msgspec.Struct, frozen=True):
    """A validated and authorized request from the edge."""

    request_id: model.RequestId
    queue: configuration.Queue
    profile: configuration.Profile
    team: model.TeamId
    body: bytes
    idempotent: bool
    deadline_s: float
    idempotency_key: str = ''


class Answer(msgspec.Struct, frozen=True):
    """The complete answer of an upstream to a call."""

    request_id: model.RequestId
    status: int
    body: bytes


class RequestInfo(msgspec.Struct, frozen=True):
    """State of a request as callers see it."""

    request_id: model.RequestId
    state: model.RequestState
    verdict: verdicts.Verdict


class VerdictRank(enum.IntEnum):
    """Order of verdicts; the highest one applies to the whole request."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


_RANK_BY_VERDICT = {
    verdicts.Verdict.NOT_RUN: VerdictRank.NOT_RUN,
    verdicts.Verdict.MAY_HAVE_RUN: VerdictRank.MAY_HAVE_RUN,
    verdicts.Verdict.RAN: VerdictRank.RAN,
}
_VERDICT_BY_STATE = {
    model.RequestState.SENT: verdicts.Verdict.MAY_HAVE_RUN,
    model.RequestState.ANSWERED: verdicts.Verdict.RAN,
}


class Record:
    """State of one request over all its attempts.

    Change the state only through the methods: they keep the verdict
    consistent and refuse a second send of a non-idempotent request.
    """

    __slots__ = (
        'attempts',
        'avoid',
        'call',
        'cancelled',
        'code',
        'deadline_at',
        'ended_verdict',
        'last_slot_request_number',
        'received_at',
        'row_version',
        'state',
        'unresolved_sends',
        'used_grant_ids',
    )

    def __init__(self, call: Call, now: float) -> None:
        self.call = call
        self.state = model.RequestState.RECEIVED
        self.received_at = now
        self.deadline_at = now + call.deadline_s
        self.last_slot_request_number = 0
        self.attempts = 0
        self.avoid: tuple[model.UpstreamId, ...] = ()
        self.used_grant_ids: set[model.GrantId] = set()
        self.cancelled = False
        self.code = ''
        """Code of the error returned to the caller, empty if there is none."""
        self.unresolved_sends = 0
        """Number of sends in progress."""
        self.ended_verdict = verdicts.Verdict.NOT_RUN
        """Highest verdict of the sends that have ended."""
        self.row_version = 0
        """Version of the idempotency row, 0 if there is none."""

    @property
    def verdict(self) -> verdicts.Verdict:
        """Whether the request ran, as far as is known now."""
        if self.unresolved_sends:
            return verdicts.Verdict.MAY_HAVE_RUN
        present = _VERDICT_BY_STATE.get(self.state, verdicts.Verdict.NOT_RUN)
        return _higher_ranked(present, self.ended_verdict)

    def next_slot_request_number(self, wall_time_s: float) -> int:
        """Return the number of the next slot request.

        Leaders discard a lower number as a late message.  Numbers based on
        the wall clock also increase when a caller resends the same request
        id through another entry.

        :param wall_time_s: Unix time in seconds.
        """
        self.last_slot_request_number = max(
            self.last_slot_request_number + 1, int(wall_time_s * MICROSECONDS)
        )
        return self.last_slot_request_number

    def info(self) -> RequestInfo:
        """Return the state that callers see."""
        return RequestInfo(self.call.request_id, self.state, self.verdict)

    def mark_waiting(self) -> None:
        """Enter WAITING, unless a send is in progress."""
        if not self.unresolved_sends:
            self.state = model.RequestState.WAITING

    def mark_granted(self) -> None:
        """Enter GRANTED, unless a send is in progress."""
        if not self.unresolved_sends:
            self.state = model.RequestState.GRANTED

    def mark_sent(self) -> None:
        """Enter SENT; must be called before each send.

        :raises errors.AlreadyDispatched: the request is not idempotent and
            may have run in an earlier send.
        :raises errors.Cancelled: the request was cancelled.
        """
        if self.cancelled:
            raise errors.Cancelled(
                f'request {self.call.request_id!r} was cancelled'
            )
        not_run = self.verdict is verdicts.Verdict.NOT_RUN
        if not not_run and not self.call.idempotent:
            raise errors.AlreadyDispatched(
                f'request {self.call.request_id!r} may have run and is not '
                'idempotent, so it is not sent again'
            )
        self.state = model.RequestState.SENT
        self.unresolved_sends += 1
        self.attempts += 1

    def mark_send_ended(self, verdict: verdicts.Verdict) -> None:
        """Record the verdict of a send that has ended."""
        self.unresolved_sends -= 1
        self.ended_verdict = _higher_ranked(self.ended_verdict, verdict)
        if verdict is verdicts.Verdict.RAN:
            self.state = model.RequestState.ANSWERED
        elif (
            not self.unresolved_sends and self.state is model.RequestState.SENT
        ):
            self.state = model.RequestState.RECEIVED

    def mark_failed(self, error: errors.SamphireError) -> None:
        """Enter CANCELLED or REFUSED, unless the request was answered."""
        self.code = error.code
        if self.state is model.RequestState.ANSWERED:
            return
        self.state = (
            model.RequestState.CANCELLED
            if isinstance(error, errors.Cancelled)
            else model.RequestState.REFUSED
        )


def _higher_ranked(
    one: verdicts.Verdict, other: verdicts.Verdict
) -> verdicts.Verdict:
    if _RANK_BY_VERDICT[one] >= _RANK_BY_VERDICT[other]:
        return one
    return other
