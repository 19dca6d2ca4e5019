"""Selection of upstreams by exact slot counts and circuit breakers.

:class:`UpstreamPool` holds the upstreams of one zone.  Each used slot is
counted with :meth:`UpstreamPool.occupy_slot` and
:meth:`UpstreamPool.release_slot`, whether it belongs to a grant or to a
request that the upstream reports without a known grant.
"""

from collections.abc import Collection
from collections.abc import Iterable
import enum

import msgspec

from samphirestack import model
from samphirestack import platform

FAILURES_TO_OPEN = 5
"""Consecutive failures that open the circuit breaker of an upstream."""

FIRST_OPEN_S = 1.0
LONGEST_OPEN_S = 30.0
"""The time that a breaker stays open doubles from the first bound to the
longest while the upstream keeps failing."""

MISSED_POLLS = 2
"""Consecutive status calls without an answer that exclude an upstream; a
single call can time out on a busy upstream."""


class BreakerState(enum.Enum):
    """State of the circuit breaker of one upstream."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'
    """One trial request at a time is let through."""


class Breaker:
    """Circuit breaker of one upstream."""

    __slots__ = ('_failures', '_pause_s', 'open_until', 'state')

    def __init__(self) -> None:
        self.state = BreakerState.CLOSED
        self.open_until = 0.0
        self._failures = 0
        self._pause_s = FIRST_OPEN_S

    def record(self, now: float, failed: bool) -> None:
        """Record the result of an attempt."""
        if not failed:
            self.state = BreakerState.CLOSED
            self._failures = 0
            self._pause_s = FIRST_OPEN_S
            return
        self._failures += 1
        if self.state is BreakerState.HALF_OPEN or (
            self.state is BreakerState.CLOSED
            and self._failures >= FAILURES_TO_OPEN
        ):
            self._open(now)

    def try_half_open(self, now: float) -> bool:
        """Half-open a breaker whose pause is over.

        :returns: whether the state changed.
        """
        if self.state is BreakerState.OPEN and now >= self.open_until:
            self.state = BreakerState.HALF_OPEN
            return True
        return False

    def _open(self, now: float) -> None:
        self.state = BreakerState.OPEN
        self.open_until = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, LONGEST_OPEN_S)


class _Upstream:
    """State of one upstream.

    ``indexed_slots`` is the number of available slots under which the
    upstream is in the index, 0 if it is not there.  ``has_current_status``
    is false until a status is known that shows the grants of former leaders.
    """

    __slots__ = (
        'breaker',
        'has_current_status',
        'indexed_slots',
        'listed',
        'listed_leaving',
        'missed_polls',
        'reports_leaving',
        'slots',
        'unlisted_since',
        'used_slots',
        'vm',
    )

    def __init__(self, vm: model.Vm) -> None:
        self.vm = vm
        self.slots = vm.slots
        self.used_slots = 0
        self.listed = True
        self.listed_leaving = False
        self.unlisted_since = 0.0
        self.reports_leaving = False
        self.missed_polls = 0
        self.has_current_status = False
        self.indexed_slots = 0
        self.breaker = Breaker()

    @property
    def is_healthy(self) -> bool:
        """Whether the upstream may get new requests if a slot is free."""
        return (
            self.listed
            and not self.listed_leaving
            and not self.reports_leaving
            and self.missed_polls < MISSED_POLLS
            and self.breaker.state is not BreakerState.OPEN
        )

    def available_slots(self) -> int:
        """Return the number of slots that new requests may use."""
        if not (self.has_current_status and self.is_healthy):
            return 0
        free = max(0, self.slots - self.used_slots)
        if self.breaker.state is BreakerState.HALF_OPEN:
            return min(free, 1) if not self.used_slots else 0
        return free


class Capacity(msgspec.Struct, frozen=True):
    """Slots of all healthy upstreams of a zone."""

    slots: int
    free: int


class UpstreamPool:
    """All upstreams of one zone with exact counts of their slots.

    Upstreams are indexed by service and number of available slots.
    """

    def __init__(self) -> None:
        self._upstreams_by_id: dict[model.UpstreamId, _Upstream] = {}
        self._index_by_service: dict[
            model.ServiceId, dict[int, dict[model.UpstreamId, None]]
        ] = {}
        self._open_breakers: set[model.UpstreamId] = set()
        self._listed_services: set[model.ServiceId] | None = None

    def set_upstreams(self, now: float, vms: Iterable[model.Vm]) -> None:
        """Replace the list of upstreams; VMs of other roles are ignored.

        An upstream that is not listed any more keeps its counts until
        :meth:`remove_unlisted`, in case the platform's list is incomplete
        for a moment.
        """
        present = {
            model.UpstreamId(vm.vm_id): vm
            for vm in vms
            if vm.role is model.VmRole.UPSTREAM
        }
        self._listed_services = {vm.service for vm in present.values()}
        for upstream_id, vm in present.items():
            self._update(upstream_id, vm)
        for upstream_id, upstream in self._upstreams_by_id.items():
            if upstream_id not in present and upstream.listed:
                upstream.listed = False
                upstream.unlisted_since = now
            self._reindex(upstream_id)

    def record_status(
        self,
        upstream_id: model.UpstreamId,
        status: platform.UpstreamStatus | None,
        is_current: bool,
    ) -> None:
        """Record the answer to a status call.

        :param status: ``None`` if no answer came.
        :param is_current: whether the call was sent late enough for the
            status to show everything that a former leader granted.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            return
        if status is None:
            upstream.missed_polls += 1
        else:
            upstream.missed_polls = 0
            upstream.slots = status.slots
            upstream.reports_leaving = status.leaving
            upstream.has_current_status = (
                upstream.has_current_status or is_current
            )
        self._reindex(upstream_id)

    def require_status(self) -> None:
        """Withhold all slots until each upstream's next current status."""
        for upstream_id, upstream in self._upstreams_by_id.items():
            upstream.has_current_status = False
            self._reindex(upstream_id)

    def mark_leaving(self, upstream_id: model.UpstreamId) -> None:
        """Withhold the slots of an upstream that is shutting down."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is not None:
            upstream.reports_leaving = True
            self._reindex(upstream_id)

    def record_result(
        self, now: float, upstream_id: model.UpstreamId, failed: bool
    ) -> None:
        """Record the result of an attempt in the circuit breaker."""
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.breaker.record(now, failed)
        if upstream.breaker.state is BreakerState.OPEN:
            self._open_breakers.add(upstream_id)
        self._reindex(upstream_id)

    def update_breakers(self, now: float) -> None:
        """Half-open the breakers whose pause is over."""
        for upstream_id in list(self._open_breakers):
            if self._upstreams_by_id[upstream_id].breaker.try_half_open(now):
                self._open_breakers.discard(upstream_id)
                self._reindex(upstream_id)

    def occupy_slot(self, upstream_id: model.UpstreamId) -> None:
        """Count a slot as used, even if none is available.

        An upstream that is not known yet is added as unlisted.
        """
        if upstream_id not in self._upstreams_by_id:
            self._upstreams_by_id[upstream_id] = _Upstream(
                _placeholder(upstream_id)
            )
            self._upstreams_by_id[upstream_id].listed = False
        self._upstreams_by_id[upstream_id].used_slots += 1
        self._reindex(upstream_id)

    def release_slot(self, upstream_id: model.UpstreamId) -> None:
        """Count a slot as free again."""
        self._upstreams_by_id[upstream_id].used_slots -= 1
        self._reindex(upstream_id)

    def choose(
        self,
        service: model.ServiceId,
        avoid: Collection[model.UpstreamId] = (),
        excluded: Collection[model.UpstreamId] = (),
    ) -> model.UpstreamId | None:
        """Return the upstream with the most available slots, if any.

        :param avoid: upstreams that are not chosen while the service has
            another healthy one, even if that one has no free slot now.
        :param excluded: upstreams that are never chosen.
        """
        fallback = None
        offers = self._index_by_service.get(service, {})
        for free in sorted(offers, reverse=True):
            for upstream_id in offers[free]:
                if upstream_id in excluded:
                    continue
                if upstream_id not in avoid:
                    return upstream_id
                fallback = fallback or upstream_id
        if fallback is None or self._has_other_healthy(
            service, avoid, excluded
        ):
            return None
        return fallback

    def has_free(self, service: model.ServiceId) -> bool:
        """Return whether any slot of the service is available."""
        return bool(self._index_by_service.get(service))

    def has_no_upstream(self, service: model.ServiceId) -> bool:
        """Return whether the list of VMs has no upstream of a service.

        Returns false before the first list.
        """
        listed = self._listed_services
        return listed is not None and service not in listed

    def address(self, upstream_id: model.UpstreamId) -> str:
        """Return the address of an upstream, empty if it is not known."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return upstream.vm.address if upstream else ''

    def used_slots(self, upstream_id: model.UpstreamId) -> int:
        """Return the number of slots in use at an upstream."""
        upstream = self._upstreams_by_id.get(upstream_id)
        return upstream.used_slots if upstream else 0

    def unlisted_since(self, upstream_id: model.UpstreamId) -> float | None:
        """Return when an upstream disappeared from the list of VMs.

        ``None`` if it is listed or not known.
        """
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None or upstream.listed:
            return None
        return upstream.unlisted_since

    def remove_unlisted(self, before: float) -> None:
        """Remove unused upstreams that were unlisted before a time."""
        for upstream_id, upstream in list(self._upstreams_by_id.items()):
            if upstream.listed or upstream.used_slots:
                continue
            if upstream.unlisted_since < before:
                self._remove_from_index(upstream_id, upstream)
                self._open_breakers.discard(upstream_id)
                del self._upstreams_by_id[upstream_id]

    def capacity(self) -> Capacity:
        """Return the total and available slots of healthy upstreams."""
        healthy = [
            item for item in self._upstreams_by_id.values() if item.is_healthy
        ]
        return Capacity(
            sum(upstream.slots for upstream in healthy),
            sum(upstream.indexed_slots for upstream in healthy),
        )

    def _update(self, upstream_id: model.UpstreamId, vm: model.Vm) -> None:
        upstream = self._upstreams_by_id.get(upstream_id)
        if upstream is None:
            upstream = _Upstream(vm)
            self._upstreams_by_id[upstream_id] = upstream
        elif upstream.vm != vm:
            self._remove_from_index(upstream_id, upstream)
            if upstream.vm.address != vm.address:
                upstream.slots = vm.slots
                upstream.has_current_status = False
            upstream.vm = vm
        upstream.listed = True
        upstream.listed_leaving = vm.state is model.VmState.LEAVING

    def _has_other_healthy(
        self,
        service: model.ServiceId,
        avoid: Collection[model.UpstreamId],
        excluded: Collection[model.UpstreamId],
    ) -> bool:
        return any(
            upstream.vm.service == service
            and upstream.is_healthy
            and upstream_id not in avoid
            and upstream_id not in excluded
            for upstream_id, upstream in self._upstreams_by_id.items()
        )

    def _reindex(self, upstream_id: model.UpstreamId) -> None:
        """Update the place of an upstream in the index."""
        upstream = self._upstreams_by_id[upstream_id]
        self._remove_from_index(upstream_id, upstream)
        free = upstream.available_slots()
        if not free:
            return
        offers = self._index_by_service.setdefault(upstream.vm.service, {})
        offers.setdefault(free, {})[upstream_id] = None
        upstream.indexed_slots = free

    def _remove_from_index(
        self, upstream_id: model.UpstreamId, upstream: _Upstream
    ) -> None:
        if not upstream.indexed_slots:
            return
        offers = self._index_by_service[upstream.vm.service]
        del offers[upstream.indexed_slots][upstream_id]
        if not offers[upstream.indexed_slots]:
            del offers[upstream.indexed_slots]
        upstream.indexed_slots = 0


def _placeholder(upstream_id: model.UpstreamId) -> model.Vm:
    """Return a VM record for an upstream that was never listed."""
    return model.Vm(
        model.VmId(upstream_id), '', model.VmRole.UPSTREAM, model.ZoneId('')
    )
