"""Questions for a slot, and what a refusal of one means."""

import asyncio

from samphirestack import errors
from samphirestack.internal import messages
from samphirestack import model
from samphirestackd.dispatch import grants
from samphirestackd.dispatch import records


class SlotRequest:
    """A slot that a request waits for."""

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
        """Id of the request that waits."""
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
        """Return the zone that was asked through this leader, if any."""
        for zone, asked in self.leaders_by_zone.items():
            if asked == leader:
                return zone
        return None

    def fail(self, error: errors.SamphireError) -> None:
        """End the wait, unless it has ended."""
        if not self.future.done():
            self.future.set_exception(error)


def deadline_error(slot_request: SlotRequest) -> errors.SamphireError:
    """Return the error of a question that outlived its request."""
    if slot_request.leaders_by_zone:
        return errors.DeadlineExceeded(
            f'request {slot_request.request_id!r} got no slot before its '
            'deadline'
        )
    return errors.NoLeader(
        'no zone leader could be asked for request '
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
    """Return the error that a leader's refusal stands for."""
    kind = _ERRORS_BY_CODE.get(refusal.code, errors.NoCapacity)
    return kind(refusal.reason or f'the zone leader said {refusal.code}')
