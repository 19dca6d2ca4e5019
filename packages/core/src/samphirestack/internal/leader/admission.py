"""Admission of requests to the queue of a zone, and refusal of requests."""

from collections.abc import Callable

from samphirestack import configuration as configurations
from samphirestack.internal.decisions import queueing
from samphirestack.internal.decisions import routing
from samphirestack.internal.decisions import waiting_requests
from samphirestack.internal.leader import deferred_requests
from samphirestack.internal.leader import outbox as outboxes
from samphirestack.internal import messages
from samphirestack import model


class Admission:
    """Queues, defers or refuses requests as the configuration requires."""

    def __init__(
        self,
        zone: model.ZoneId,
        pool: routing.UpstreamPool,
        outbox: outboxes.Outbox,
        max_waiting: int,
    ) -> None:
        self._zone = zone
        self._pool = pool
        self._outbox = outbox
        self._max_waiting = max_waiting
        self._configuration = configurations.Configuration()
        self._deferred = deferred_requests.DeferredRequests()
        self.queue = queueing.RequestQueue(max_waiting)

    def clear(self) -> None:
        """Discard all requests; another node queues them now."""
        self.queue = queueing.RequestQueue(self._max_waiting)
        self._deferred.clear()

    def configure(self, configuration: configurations.Configuration) -> None:
        """Apply a configuration.

        Requests of retired queues and teams are refused.  The others are
        queued again, in the order that their profiles now require.
        """
        former = self._configuration
        self._configuration = configuration
        self._refuse_retired(former)
        if (
            former.profiles_by_id != configuration.profiles_by_id
            or former.services_by_id != configuration.services_by_id
            or former.queues_by_id != configuration.queues_by_id
        ):
            self._requeue_all()

    def admit(
        self, now: float, sender: model.VmId, slot: messages.RequestSlot
    ) -> None:
        """Queue a request, or defer or refuse it if it can't be queued."""
        queue = self._configuration.queues_by_id.get(slot.queue)
        if queue is None:
            self.defer(now, sender, slot)
            return
        if self._pool.has_no_upstream(queue.service):
            self._outbox.refuse(
                sender,
                slot.request_id,
                'no_capacity',
                self._no_upstream_reason(queue.service),
            )
            return
        self._add(
            queue,
            request_id=slot.request_id,
            entry=sender,
            team=slot.team,
            enqueued_at=now - slot.waited_s,
            deadline=now + slot.deadline_in_s,
            attempt=slot.attempt,
            avoid=slot.avoid,
        )

    def defer(
        self, now: float, sender: model.VmId, slot: messages.RequestSlot
    ) -> None:
        """Keep a request that can't be queued yet, or refuse it if full."""
        if not self._deferred.add(
            deferred_requests.DeferredRequest(now, sender, slot)
        ):
            self._outbox.refuse(
                sender,
                slot.request_id,
                'queue_full',
                f'{deferred_requests.MAX_DEFERRED} requests wait for the '
                f'start of the zone leader',
            )

    def pop_deferred(
        self, predicate: Callable[[deferred_requests.DeferredRequest], bool]
    ) -> list[deferred_requests.DeferredRequest]:
        """Remove and return the deferred requests that match."""
        return self._deferred.pop_where(predicate)

    def cancel(
        self, sender: model.VmId, request_id: model.RequestId
    ) -> waiting_requests.WaitingRequest | None:
        """Remove a request of ``sender``; return it if it was queued."""
        self._deferred.remove(request_id)
        waiting = self.queue.get(request_id)
        if waiting is None or waiting.entry != sender:
            return None
        return self.queue.remove(request_id)

    def entry_lost(self, entry: model.VmId) -> None:
        """Remove all requests of an entry."""
        self.queue.remove_entry(entry)
        self._deferred.pop_where(lambda item: item.sender == entry)

    def max_duration_s(self, queue_id: model.QueueId) -> float:
        """Return the longest time in seconds that a request may take."""
        queue = self._configuration.queues_by_id.get(queue_id)
        if queue is None:
            return configurations.Profile(model.ProfileId('')).deadline_s
        return self._configuration.profile_of(queue).deadline_s

    def clean_up(
        self, now: float, is_known: Callable[[model.VmId], bool]
    ) -> None:
        """Refuse requests that can't get a slot any more.

        :param is_known: whether an entry has reported in this term.
        """
        for item in self._deferred.pop_where(
            lambda item: item.is_overdue(now)
        ):
            self._refuse_deferred(
                item,
                'deadline_exceeded',
                f'zone {self._zone!r} had no ready leader in time',
            )
        for item in self._deferred.pop_where(
            lambda item: item.is_unknown(now) and is_known(item.sender)
        ):
            self._refuse_deferred(
                item, 'not_found', f'queue {item.slot.queue!r} does not exist'
            )
        for service in self.queue.services():
            if self._pool.has_no_upstream(service):
                self._refuse_service(service)

    def _add(
        self,
        queue: configurations.Queue,
        *,
        request_id: model.RequestId,
        entry: model.VmId,
        team: model.TeamId,
        enqueued_at: float,
        deadline: float,
        attempt: int,
        avoid: tuple[model.UpstreamId, ...],
    ) -> None:
        profile = self._configuration.profile_of(queue)
        waiting = waiting_requests.WaitingRequest(
            request_id=request_id,
            entry=entry,
            queue=queue.name,
            service=queue.service,
            profile=profile.name,
            team=team,
            urgency=profile.urgency,
            enqueued_at=enqueued_at,
            deadline=deadline,
            promote_at=enqueued_at + profile.max_wait_s,
            attempt=attempt,
            avoid=avoid,
        )
        shed = self.queue.add(waiting, profile.max_queued)
        if shed is not None:
            self._outbox.refuse_waiting(
                shed,
                'queue_full',
                f'too many requests of team {shed.team!r} and profile '
                f'{shed.profile!r} wait in zone {self._zone!r}',
            )

    def _requeue_all(self) -> None:
        for item in self.queue.remove_where(lambda _: True):
            self._add(
                self._configuration.queues_by_id[item.queue],
                request_id=item.request_id,
                entry=item.entry,
                team=item.team,
                enqueued_at=item.enqueued_at,
                deadline=item.deadline,
                attempt=item.attempt,
                avoid=item.avoid,
            )

    def _refuse_retired(self, former: configurations.Configuration) -> None:
        present = self._configuration
        queues = former.queues_by_id.keys() - present.queues_by_id.keys()
        teams = former.teams_by_id.keys() - present.teams_by_id.keys()
        if not queues and not teams:
            return
        for waiting in self.queue.remove_where(
            lambda item: item.queue in queues or item.team in teams
        ):
            if waiting.queue in queues:
                reason = f'queue {waiting.queue!r} was retired'
                self._outbox.refuse_waiting(waiting, 'not_found', reason)
            else:
                reason = f'team {waiting.team!r} was retired'
                self._outbox.refuse_waiting(waiting, 'unauthorized', reason)

    def _refuse_service(self, service: model.ServiceId) -> None:
        for waiting in self.queue.remove_where(
            lambda item: item.service == service
        ):
            self._outbox.refuse_waiting(
                waiting, 'no_capacity', self._no_upstream_reason(service)
            )

    def _refuse_deferred(
        self, item: deferred_requests.DeferredRequest, code: str, reason: str
    ) -> None:
        self._outbox.refuse(item.sender, item.slot.request_id, code, reason)

    def _no_upstream_reason(self, service: model.ServiceId) -> str:
        return f'zone {self._zone!r} has no upstream of service {service!r}'
