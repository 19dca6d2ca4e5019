"""Answers of the advice service, and the share of suitable workers."""

from collections.abc import Iterable

from samphirestack.fleet import ports
from samphirestack.fleet import tracking
from samphirestack.fleet import work
from samphirestack import model

TICKET_TRANSIT_S = 0.02
"""Least age of a ticket on arrival: the way back from the service."""

ADVICE_RETRY_DELAY_S = 0.1
"""Delay before a step is considered again after a failed call."""

INITIAL_SHARE = 0.4
SHARE_WEIGHT = 0.1
MIN_SHARE = 0.1
"""Share of suitable workers: initial value, weight of a new answer in the
moving average, and lower bound."""


class SuitableShares:
    """Estimate the share of workers that are suitable for each queue."""

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
        """Update the estimate by an answer about unknown workers.

        :param asked: number of workers that the call was about.
        :param suitable: number of them that are suitable.
        """
        if not asked:
            return
        old_share = self._share_by_queue.get(queue_id, INITIAL_SHARE)
        self._share_by_queue[queue_id] = old_share + SHARE_WEIGHT * (
            suitable / asked - old_share
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
    """Apply the result of an advice request to a step.

    :param asked_ids: workers that the request was about.
    :param advice: the answer, or ``None`` if the call failed.
    :param shares_by_queue: estimates that are updated.
    """
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
        tickets.suitable_ids[worker_id] = None
        if worker is not None and worker.restart_learned_at >= asked_at:
            # It may be a ticket for the former process.
            continue
        tickets.by_worker_id[worker_id] = (
            ticket,
            now + validity_s - TICKET_TRANSIT_S,
            worker.started_unix_ms if worker else 0,
        )
