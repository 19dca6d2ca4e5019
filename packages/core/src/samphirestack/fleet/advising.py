"""What the advice service said, and how many workers suit a queue."""

from collections.abc import Iterable

from samphirestack.fleet import ports
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack import model

TICKET_TRANSIT_S = 0.02
"""A ticket is older than its arrival here by at least the way back."""

ADVICE_RETRY_DELAY_S = 0.1
"""After a call for advice that failed."""

INITIAL_SHARE = 0.4
SHARE_WEIGHT = 0.1
MIN_SHARE = 0.1
"""Share of suitable workers: first guess, weight of a new answer, bound."""


class SuitableShares:
    """Learns for each queue how many of its workers are suitable."""

    def __init__(self) -> None:
        self._share_by_queue: dict[model.QueueId, float] = {}

    def share(self, queue_id: model.QueueId) -> float:
        """Return the expected share of suitable workers."""
        return max(
            MIN_SHARE, self._share_by_queue.get(queue_id, INITIAL_SHARE)
        )

    def observe(
        self, queue_id: model.QueueId, asked: int, suitable: int
    ) -> None:
        """Learn from one answer about workers that were not known."""
        if not asked:
            return
        before = self._share_by_queue.get(queue_id, INITIAL_SHARE)
        self._share_by_queue[queue_id] = before + SHARE_WEIGHT * (
            suitable / asked - before
        )


def apply_advice(
    now: float,
    asked_at: float,
    step: work.StepRun,
    asked_ids: Iterable[model.WorkerId],
    advice: ports.Advice | None,
    workers_by_id: dict[model.WorkerId, tracking.TrackedWorker],
    shares_by_queue: SuitableShares,
) -> None:
    """Take the answer of the advice service over into a step."""
    tickets = step.tickets
    tickets.call_expires_at = 0.0
    tickets.next_check_at = 0.0
    if advice is None:
        step.blocked_until = now + ADVICE_RETRY_DELAY_S
        return
    policy = step.job.queue.advice
    validity_s = policy.validity_s if policy else 0.0
    new_ids = set(asked_ids) - tickets.asked_ids
    shares_by_queue.observe(
        step.job.queue.queue_id,
        len(new_ids),
        len(new_ids & advice.tickets_by_worker_id.keys()),
    )
    tickets.asked_ids |= new_ids
    for worker_id, ticket in advice.tickets_by_worker_id.items():
        worker = workers_by_id.get(worker_id)
        tickets.suitable_ids.add(worker_id)
        tickets.by_worker_id[worker_id] = (
            ticket,
            now + validity_s - TICKET_TRANSIT_S,
            worker.started_unix_ms if worker else 0,
        )
