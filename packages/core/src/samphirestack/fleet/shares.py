"""Resource usage of customers and their entitled rates of jobs."""

from collections.abc import Mapping

from samphirestack.fleet import specs
from samphirestack import model

RATE_WINDOW_S = 5.0
"""Burst size in seconds: a customer may submit its rate times this at once."""

MIN_BURST_JOBS = 20.0
"""Minimum burst size, for customers with a low rate."""


class Usage:
    """Resources in use by each customer, for the check of its limit."""

    def __init__(self) -> None:
        self._cpu_by_customer: dict[model.TeamId, int] = {}
        self._memory_by_customer: dict[model.TeamId, int] = {}
        self._gpu_by_customer: dict[model.TeamId, int] = {}

    def add(self, customer_id: model.TeamId, size: model.Resources) -> None:
        """Add the resources of a run."""
        self._change(customer_id, size, 1)

    def remove(self, customer_id: model.TeamId, size: model.Resources) -> None:
        """Subtract the resources of a run."""
        self._change(customer_id, size, -1)

    def _change(
        self, customer_id: model.TeamId, size: model.Resources, sign: int
    ) -> None:
        for amounts, amount in (
            (self._cpu_by_customer, size.millicores),
            (self._memory_by_customer, size.memory_mb),
            (self._gpu_by_customer, size.accelerators),
        ):
            amounts[customer_id] = amounts.get(customer_id, 0) + sign * amount

    @property
    def millicores_by_customer(self) -> Mapping[model.TeamId, int]:
        """Return the processors in use by each customer."""
        return self._cpu_by_customer

    def headroom(
        self,
        customer: specs.Customer | None,
        size: model.Resources,
        customer_id: model.TeamId,
    ) -> int:
        """Return how many more tasks of a size the customer may start.

        A customer that is not configured has no limit.
        """
        task_count = 1_000_000
        if customer is None:
            return task_count
        for limit, in_use, amount in (
            (
                customer.limit.millicores,
                self._cpu_by_customer.get(customer_id, 0),
                size.millicores,
            ),
            (
                customer.limit.memory_mb,
                self._memory_by_customer.get(customer_id, 0),
                size.memory_mb,
            ),
            (
                customer.limit.accelerators,
                self._gpu_by_customer.get(customer_id, 0),
                size.accelerators,
            ),
        ):
            if limit and amount:
                task_count = min(task_count, max(0, limit - in_use) // amount)
        return task_count


class JobRates:
    """Token bucket for each customer that marks jobs beyond its rate.

    Marked jobs run when there is spare capacity; they don't delay the jobs
    of other customers.
    """

    def __init__(self) -> None:
        self._tokens_by_customer: dict[model.TeamId, float] = {}
        self._filled_at_by_customer: dict[model.TeamId, float] = {}

    def count_job(
        self,
        now: float,
        customer_id: model.TeamId,
        customers_by_id: Mapping[model.TeamId, specs.Customer],
    ) -> bool:
        """Count a new job; return whether it exceeds the customer's rate."""
        tokens = self._tokens(now, customer_id, customers_by_id)
        if tokens is None:
            return False
        self._filled_at_by_customer[customer_id] = now
        if tokens < 1:
            self._tokens_by_customer[customer_id] = tokens
            return True
        self._tokens_by_customer[customer_id] = tokens - 1
        return False

    def would_exceed(
        self,
        now: float,
        customer_id: model.TeamId,
        customers_by_id: Mapping[model.TeamId, specs.Customer],
    ) -> bool:
        """Return whether a new job would exceed the customer's rate."""
        tokens = self._tokens(now, customer_id, customers_by_id)
        return tokens is not None and tokens < 1

    def _tokens(
        self,
        now: float,
        customer_id: model.TeamId,
        customers_by_id: Mapping[model.TeamId, specs.Customer],
    ) -> float | None:
        """Return the tokens of a customer, or ``None`` if it has no rate."""
        customer = customers_by_id.get(customer_id)
        if customer is None or customer.weight <= 0:
            return None
        burst = max(MIN_BURST_JOBS, customer.weight * RATE_WINDOW_S)
        filled_at = self._filled_at_by_customer.get(customer_id, now)
        tokens = self._tokens_by_customer.get(customer_id, burst)
        return min(burst, tokens + (now - filled_at) * customer.weight)
