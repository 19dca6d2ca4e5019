"""Placement of waiting tasks and gangs on workers."""

from collections.abc import Sequence

import msgspec

from samphirestack.internal.decisions import gangs
from samphirestack.internal.decisions import placement
from samphirestack.internal.decisions import services
from samphirestack.internal.leader import task_queue
from samphirestack.internal.leader import task_state
from samphirestack.internal.leader import worker_pool
from samphirestack import model

MAX_PLACEMENTS_PER_PLAN = 256
"""Bounds the duration of a call; the next call places the rest."""

WORKERS_PER_BATCH = 150
"""Workers per task that a team may start before teams are ordered again, so
that large zones amortize the ordering over several starts."""

RESERVATION_TTL_S = 15.0
"""Time after which a reservation of freed room expires."""

MAX_BLOCKED_URGENT = 16
"""Blocked urgent tasks for which one call makes room by preemption."""

NO_ROOM = 'no worker has room for it now'
WORKERS_UNREPORTED = (
    'its team has a limit, and not all workers have reported their tasks '
    'since the zone leader changed'
)
NO_SLICE = 'the limit slice of the team is used up'
NO_GANG_ROOM = 'the workers have no room for all its tasks at once'


class Blocked(msgspec.Struct):
    """Urgent tasks and a gang that found no room in a planning call."""

    urgent_items: list[task_queue.Item] = []
    gang: task_queue.Item | None = None


class Planner:
    """Chooses workers for waiting tasks; the caller starts the tasks."""

    def __init__(
        self,
        pool: worker_pool.WorkerPool,
        waiting: task_queue.WaitingWork,
        shares: task_state.Shares,
        policy: placement.PlacementPolicy,
    ) -> None:
        self._pool = pool
        self._waiting = waiting
        self._shares = shares
        self._policy = policy
        self._consecutive_urgent = 0
        self._reservations: dict[str, gangs.Reservation] = {}
        self._reservations_by_worker: dict[
            model.WorkerId, list[gangs.Reservation]
        ] = {}

    def place(
        self, now: float, all_workers_reported: bool
    ) -> tuple[list[task_state.Task], Blocked]:
        """Commit waiting work in order until nothing more can start.

        Returns the tasks in the order of placement, with those of a gang
        next to each other, and the work that found no room.

        :param all_workers_reported: whether all running tasks are known.
            Until then teams with a limit get nothing, since their tasks on
            silent workers are not counted.
        """
        self._expire_reservations(now)
        batch = 1 + len(self._pool.workers_by_id) // WORKERS_PER_BATCH
        placed: list[task_state.Task] = []
        blocked = Blocked()
        urgent, patient = self._rank_groups(now, all_workers_reported)
        while len(placed) < MAX_PLACEMENTS_PER_PLAN:
            if not urgent and not patient:
                break
            ranked = self._next_class(urgent, patient)
            team = self._shares.order(now, list(ranked))[0]
            group = ranked[team][0]
            placed_count = self._place_items(now, group, batch, placed)
            if not placed_count:
                self._record_blocked(now, group, blocked)
            self._rerank(now, ranked, team, placed_count)
            self._count_urgent(ranked is urgent, placed_count)
        return placed, blocked

    def reserve(self, reservation: gangs.Reservation) -> None:
        """Add a reservation, replacing an earlier one of the same holder."""
        self.release_reservation(reservation.holder)
        self._reservations[reservation.holder] = reservation
        for worker_id in reservation.needs_by_worker:
            self._reservations_by_worker.setdefault(worker_id, []).append(
                reservation
            )

    def reservation(self, holder: str) -> gangs.Reservation | None:
        """Return the reservation of a holder."""
        return self._reservations.get(holder)

    def reservations(self) -> Sequence[gangs.Reservation]:
        """Return all reservations."""
        return tuple(self._reservations.values())

    def reserved_on(self, worker_id: model.WorkerId) -> model.Resources:
        """Return the room that is reserved on a worker."""
        reserved = model.Resources()
        for reservation in self._reservations_by_worker.get(worker_id, ()):
            reserved += reservation.needs_by_worker[worker_id]
        return reserved

    def release_reservation(self, holder: str) -> None:
        """Remove the reservation of a holder, if there is one."""
        old = self._reservations.pop(holder, None)
        if old is None:
            return
        for worker_id in old.needs_by_worker:
            self._reservations_by_worker[worker_id].remove(old)

    def need(self, job: model.Job) -> model.Resources:
        """Return the resources to commit for a task, learned or declared.

        Tasks of a gang keep the declared size, since a larger one could
        make the gang impossible to place.
        """
        if job.kind is model.JobKind.GANG:
            return job.resources
        for capacity in self._pool.capacities:
            if job.resources.fits_in(capacity):
                need = self._pool.estimates.need(job, capacity)
                if need.fits_in(capacity):
                    return need
        return job.resources

    def _expire_reservations(self, now: float) -> None:
        for holder, reservation in list(self._reservations.items()):
            if now >= reservation.created_at + RESERVATION_TTL_S:
                self.release_reservation(holder)

    def _rank_groups(
        self, now: float, all_workers_reported: bool
    ) -> tuple['_GroupsByTeam', '_GroupsByTeam']:
        urgent: _GroupsByTeam = {}
        patient: _GroupsByTeam = {}
        for group in self._waiting.groups():
            head = group.head()
            if head is None:
                continue
            if not all_workers_reported and self._pool.is_limited(head.job):
                group.blocked_by = WORKERS_UNREPORTED
                continue
            ranked = urgent if _is_urgent(now, head) else patient
            ranked.setdefault(group.key.team, []).append(group)
        for ranked in (urgent, patient):
            for groups in ranked.values():
                groups.sort(key=_sort_key)
        return urgent, patient

    def _next_class(
        self, urgent: '_GroupsByTeam', patient: '_GroupsByTeam'
    ) -> '_GroupsByTeam':
        if not urgent:
            return patient
        due = self._consecutive_urgent >= task_queue.URGENT_STARTS_PER_PATIENT
        return patient if due and patient else urgent

    def _count_urgent(self, urgent: bool, placed_count: int) -> None:
        if not urgent:
            self._consecutive_urgent = 0
        else:
            self._consecutive_urgent += placed_count

    def _rerank(
        self,
        now: float,
        ranked: '_GroupsByTeam',
        team: model.TeamId,
        placed_count: int,
    ) -> None:
        """Move a group to its new rank, or remove it if it is blocked."""
        groups = ranked[team]
        group = groups[0]
        if not placed_count or group.head() is None:
            groups.pop(0)
        elif len(groups) > 1:
            groups.sort(key=_sort_key)
        if not groups:
            del ranked[team]

    def _place_items(
        self,
        now: float,
        group: task_queue.Group,
        batch: int,
        placed: list[task_state.Task],
    ) -> int:
        """Place up to ``batch`` items of a group and return their number."""
        placed_count = 0
        while placed_count < batch and len(placed) < MAX_PLACEMENTS_PER_PLAN:
            item = group.head()
            if item is None:
                break
            if item.task is None:
                tasks = self._place_gang(now, group, item)
            else:
                tasks = self._place_task(now, group, item.job, item.task)
            if not tasks:
                break
            group.blocked_by = ''
            group.pop()
            placed += tasks
            placed_count += 1
        return placed_count

    def _place_task(
        self,
        now: float,
        group: task_queue.Group,
        entry: task_state.JobEntry,
        task: task_state.Task,
    ) -> list[task_state.Task]:
        needs = [self.need(entry.job)]
        if needs[0] != entry.job.resources:
            needs.append(entry.job.resources)
        for need in needs:
            worker_id = self._choose(now, entry, task, need)
            if worker_id is None:
                group.blocked_by = NO_ROOM
                continue
            if not self._pool.try_acquire(task.team, 1, need):
                group.blocked_by = NO_SLICE
                continue
            task.need = need
            self._commit(now, task, worker_id)
            self.release_reservation(task.task_id)
            return [task]
        return []

    def _choose(
        self,
        now: float,
        entry: task_state.JobEntry,
        task: task_state.Task,
        need: model.Resources,
    ) -> model.WorkerId | None:
        ends_at = self._ends_at(now, entry)
        allowed = self._allowed(task.task_id, need, ends_at)
        if not task.avoid:
            return self._choose_one(entry, need, allowed)
        avoid = task.avoid
        return self._choose_one(
            entry, need, lambda w: w not in avoid and allowed(w)
        ) or self._choose_one(entry, need, allowed)

    def _ends_at(self, now: float, entry: task_state.JobEntry) -> float:
        if not entry.may_backfill:
            return task_state.NEVER_S
        return now + self._pool.estimates.run_time_s(entry.job)

    def _choose_one(
        self,
        entry: task_state.JobEntry,
        need: model.Resources,
        allowed: placement.Allowed,
    ) -> model.WorkerId | None:
        index = self._pool.index
        if not entry.is_service:
            return self._policy.choose(index, need, allowed)
        replicas = services.replicas_by_rack(
            index.state(task.worker_id).rack
            for task in entry.committed()
            if task.worker_id is not None
        )
        return self._policy.choose_spread(index, need, replicas, allowed)

    def _allowed(
        self, holder: str, need: model.Resources, ends_at: float
    ) -> placement.Allowed:
        if not self._reservations:
            return placement.any_worker
        index = self._pool.index
        by_worker = self._reservations_by_worker

        def allowed(worker_id: model.WorkerId) -> bool:
            others = by_worker.get(worker_id)
            if not others:
                return True
            free = index.state(worker_id).free
            for other in others:
                if other.holder == holder or ends_at <= other.start_at:
                    continue
                free = free - other.needs_by_worker[worker_id]
            return need.fits_in(free)

        return allowed

    def _place_gang(
        self,
        now: float,
        group: task_queue.Group,
        item: task_queue.Item,
    ) -> list[task_state.Task]:
        entry = item.job
        tasks = [
            task
            for task in entry.tasks_by_index.values()
            if task.phase is task_state.Phase.QUEUED
        ]
        need = entry.job.resources
        ends_at = self._ends_at(now, entry)
        allowed = self._allowed(entry.job.job_id, need, ends_at)
        workers = self._choose_gang(need, len(tasks), allowed)
        if workers is None:
            group.blocked_by = NO_GANG_ROOM
            return []
        team = entry.job.team
        if not self._pool.try_acquire(team, len(tasks), need * len(tasks)):
            group.blocked_by = NO_SLICE
            return []
        for task, worker_id in zip(tasks, workers, strict=True):
            task.need = need
            self._commit(now, task, worker_id)
        entry.gang_queued = False
        self.release_reservation(entry.job.job_id)
        return tasks

    def _choose_gang(
        self, need: model.Resources, count: int, allowed: placement.Allowed
    ) -> Sequence[model.WorkerId] | None:
        """Choose workers for a gang, quarantined ones only if needed."""
        index = self._pool.index
        is_quarantined = self._pool.quarantine.is_quarantined
        return self._policy.choose_gang(
            index, need, count, lambda w: not is_quarantined(w) and allowed(w)
        ) or self._policy.choose_gang(index, need, count, allowed)

    def _commit(
        self, now: float, task: task_state.Task, worker_id: model.WorkerId
    ) -> None:
        task.phase = task_state.Phase.PREPARED
        task.clear_attempt()
        self._mark_backfill(now, task, worker_id)
        self._pool.commit(now, task, worker_id)
        if self._pool.quarantine.record_placement(worker_id, task.task_id):
            self._pool.refresh_usable(now, worker_id)

    def _mark_backfill(
        self, now: float, task: task_state.Task, worker_id: model.WorkerId
    ) -> None:
        for reservation in self._reservations_by_worker.get(worker_id, ()):
            if reservation.holder in (task.task_id, _job_id(task)):
                continue
            reserved = reservation.needs_by_worker[worker_id]
            free = self._pool.index.state(worker_id).free
            if not (task.need + reserved).fits_in(free):
                task.backfill_until = reservation.start_at

    def _record_blocked(
        self, now: float, group: task_queue.Group, blocked: Blocked
    ) -> None:
        head = group.head()
        if head is None or group.blocked_by == NO_SLICE:
            return
        if head.task is None:
            if blocked.gang is None:
                blocked.gang = head
        elif _is_urgent(now, head):
            room = MAX_BLOCKED_URGENT - len(blocked.urgent_items)
            blocked.urgent_items += group.oldest(room) if room > 0 else []


_GroupsByTeam = dict[model.TeamId, list[task_queue.Group]]


def _is_urgent(now: float, item: task_queue.Item) -> bool:
    return task_queue.is_urgent(now, item.job)


def _sort_key(group: task_queue.Group) -> tuple[float, int]:
    head = group.head()
    if head is None:
        return (task_state.NEVER_S, 0)
    return (task_queue.deadline(head.job), head.number)


def _job_id(task: task_state.Task) -> str:
    return '' if task.job is None else task.job.job.job_id
