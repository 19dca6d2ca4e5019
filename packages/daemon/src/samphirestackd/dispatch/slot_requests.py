"""Pending slot requests and the errors that end them."""

import asyncio

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd.dispatch import grants
from samphirestackd.dispatch import records


class SlotRequest:
    """One wait of a request for an upstream slot.

    The future resolves to the grant, or to the error that ended the wait.
    """

    __slots__ = (
        'attempt',
        'future',
        'leaders_by_zone',
        'record',
        'refusals_by_zone',
        'requested_at',
        'resend_at',
        'resend_s',
        'timer',
    )

    def __init__(
        self,
        record: records.Record,
        attempt: int,
        now: float,
        resend_s: float,
    ) -> None:
        self.record = record
        self.attempt = attempt
        self.requested_at = now
        self.resend_s = resend_s
        self.resend_at = now + resend_s
        self.future: asyncio.Future[grants.HeldGrant] = (
            asyncio.get_running_loop().create_future()
        )
        self.leaders_by_zone: dict[model.ZoneId, model.VmId] = {}
        self.refusals_by_zone: dict[model.ZoneId, messages.Refuse] = {}
        self.timer: asyncio.TimerHandle | None = None

    @property
    def request_id(self) -> model.RequestId:
        """Id of the waiting request."""
        return self.record.call.request_id

    @property
    def is_urgent(self) -> bool:
        """Whether the request's profile is urgent."""
        return self.record.call.profile.urgency is model.Urgency.URGENT

    @property
    def was_granted(self) -> bool:
        """Whether the wait ended with a grant."""
        return (
            self.future.done()
            and not self.future.cancelled()
            and self.future.exception() is None
        )

    def zone_of(self, leader: model.VmId) -> model.ZoneId | None:
        """Return the zone of a leader that the request was sent to, if any."""
        for zone, asked in self.leaders_by_zone.items():
            if asked == leader:
                return zone
        return None

    def fail(self, error: errors.SamphireError) -> None:
        """End the wait with an error, unless it has already ended."""
        if not self.future.done():
            self.future.set_exception(error)


def deadline_error(slot_request: SlotRequest) -> errors.SamphireError:
    """Return the error of a request whose deadline passed before a grant."""
    if slot_request.leaders_by_zone:
        return errors.DeadlineExceeded(
            f'request {slot_request.request_id!r} got no slot before its '
            'deadline'
        )
    return errors.NoLeader(
        'no zone leader was reachable for request '
        f'{slot_request.request_id!r} before its deadline'
    )


_ERRORS_BY_CODE: dict[str, type[errors.SamphireError]] = {
    kind.code: kind
    for kind in (
        errors.NoCapacity,
        errors.QueueFull,
        errors.DeadlineExceeded,
        errors.NotFound,
        errors.Unauthorized,
        errors.ShuttingDown,
        errors.Cancelled,
    )
}


def error_from_refusal(refusal: messages.Refuse) -> errors.SamphireError:
    """Return the error for a leader's refusal.

    An unknown code is treated as a lack of capacity.
    """
    kind = _ERRORS_BY_CODE.get(refusal.code, errors.NoCapacity)
    return kind(refusal.reason or f'the zone leader answered {refusal.code}')
