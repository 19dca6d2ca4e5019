"""Selection of the waiting request that gets the next free slot."""

from samphirestack.internal.decisions import fairshare
from samphirestack.internal.decisions import limits
from samphirestack.internal.decisions import queueing
from samphirestack.internal.decisions import routing
from samphirestack.internal.decisions import waiting_requests
from samphirestack.internal.leader import holds
from samphirestack import model

_PassedOver = list[tuple[model.TeamId, fairshare.Reason]]


class Granter:
    """Chooses requests and their upstreams, and records the used slots.

    :param zone: first part of the grant ids ``zone/epoch/number``, which
        are unique across zones and terms.
    """

    def __init__(
        self,
        zone: model.ZoneId,
        pool: routing.UpstreamPool,
        table: holds.HoldTable,
        ledger: limits.TeamLedger,
        shares: fairshare.ShareTracker,
    ) -> None:
        self._zone = zone
        self._pool = pool
        self._holds = table
        self._ledger = ledger
        self._shares = shares
        self._granted = 0
        self._chosen_upstream: model.UpstreamId | None = None

    def grant_next(
        self, now: float, epoch: model.Epoch, queue: queueing.RequestQueue
    ) -> holds.Hold | None:
        """Grant one free slot if possible, and return its hold."""
        for service in queue.services():
            if not self._pool.has_free(service):
                continue
            hold = self._grant_one(now, epoch, queue, service)
            if hold is not None:
                return hold
        return None

    def is_at_limit(self, team: model.TeamId) -> bool:
        """Return whether the slice of a team allows no further request."""
        return not self._ledger.allows(team, 1, holds.NO_RESOURCES)

    def record_refusal(
        self, now: float, waiting: waiting_requests.WaitingRequest, reason: str
    ) -> None:
        """Add an audit record of a request that got no slot."""
        self._shares.record(
            fairshare.AuditRecord(
                now,
                waiting.team,
                waiting.request_id,
                False,
                reason,
                self._shares.rank(waiting.team),
            )
        )

    def _grant_one(
        self,
        now: float,
        epoch: model.Epoch,
        queue: queueing.RequestQueue,
        service: model.ServiceId,
    ) -> holds.Hold | None:
        passed_over: _PassedOver = []
        classes = list(queue.candidates(service))
        for index, choice in enumerate(classes):
            order = self._order(now, choice.teams, passed_over)
            for position, team in enumerate(order):
                waiting = queue.first_match(
                    service, choice.urgent, team, self._finds_upstream
                )
                if waiting is None:
                    passed_over.append((team, fairshare.Reason.AVOIDED))
                    continue
                teams_after = order[position + 1 :]
                passed_over += [
                    (item, fairshare.Reason.SHARE) for item in teams_after
                ]
                passed_over += _teams_of_later_classes(classes[index + 1 :])
                queue.start(waiting)
                return self._add_hold(now, epoch, waiting, passed_over)
        return None

    def _order(
        self,
        now: float,
        teams: tuple[model.TeamId, ...],
        passed_over: _PassedOver,
    ) -> list[model.TeamId]:
        """Order teams by share, without those that are at their limit.

        A team at its limit gets no credit for the time that it waits.
        """
        allowed = []
        for team in teams:
            if self.is_at_limit(team):
                passed_over.append((team, fairshare.Reason.LIMIT))
            else:
                allowed.append(team)
        return self._shares.order(now, allowed)

    def _finds_upstream(
        self, waiting: waiting_requests.WaitingRequest
    ) -> bool:
        self._chosen_upstream = self._pool.choose(
            waiting.service,
            waiting.avoid,
            self._holds.excluded_for(waiting.request_id),
        )
        return self._chosen_upstream is not None

    def _add_hold(
        self,
        now: float,
        epoch: model.Epoch,
        waiting: waiting_requests.WaitingRequest,
        passed_over: _PassedOver,
    ) -> holds.Hold | None:
        upstream_id = self._chosen_upstream
        if upstream_id is None or not self._ledger.try_acquire(
            waiting.team, 1, holds.NO_RESOURCES
        ):
            raise AssertionError(
                'a grant was made without a free slot or room in the slice'
            )
        self._record(now, waiting, passed_over)
        self._granted += 1
        hold = holds.Hold(
            grant_id=model.GrantId(f'{self._zone}/{epoch}/{self._granted}'),
            request_id=waiting.request_id,
            upstream_id=upstream_id,
            queue=waiting.queue,
            team=waiting.team,
            entry=waiting.entry,
            attempt=waiting.attempt,
            since=now,
            deadline=waiting.deadline,
        )
        self._holds.add(now, hold)
        return hold

    def _record(
        self,
        now: float,
        waiting: waiting_requests.WaitingRequest,
        passed_over: _PassedOver,
    ) -> None:
        named = passed_over[: fairshare.PASSED_OVER_PER_RECORD]
        self._shares.record(
            fairshare.AuditRecord(
                now,
                waiting.team,
                waiting.request_id,
                True,
                'urgent' if waiting.is_urgent else 'patient',
                self._shares.rank(waiting.team),
                tuple(
                    fairshare.PassedOver(team, reason, self._shares.rank(team))
                    for team, reason in named
                ),
            )
        )


def _teams_of_later_classes(classes: list[queueing.Candidates]) -> _PassedOver:
    """Return teams with requests of a later class and why they wait."""
    return [
        (
            team,
            fairshare.Reason.TURN
            if choice.urgent
            else fairshare.Reason.PATIENT,
        )
        for choice in classes
        for team in choice.teams[: fairshare.PASSED_OVER_PER_RECORD]
    ]
