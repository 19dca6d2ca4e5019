"""What customers use and what they are owed."""

from collections.abc import Mapping

from samphirestack.fleet import specs
from samphirestack import model

RATE_WINDOW_S = 5.0
"""Jobs that a customer may hand in at once are its rate times this."""

MIN_BURST_JOBS = 20.0
"""Small customers may hand in this many jobs at once."""


class Usage:
    """What each customer has running against its upper limit."""

    def __init__(self) -> None:
        self._cpu_by_customer: dict[model.TeamId, int] = {}
        self._memory_by_customer: dict[model.TeamId, int] = {}
        self._gpu_by_customer: dict[model.TeamId, int] = {}

    def add(self, customer_id: model.TeamId, size: model.Resources) -> None:
        """Count a run."""
        self._change(customer_id, size, 1)

    def remove(self, customer_id: model.TeamId, size: model.Resources) -> None:
        """Count the end of a run."""
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

    def headroom(
        self,
        customer: specs.Customer | None,
        size: model.Resources,
        customer_id: model.TeamId,
    ) -> int:
        """Return how many tasks of a size the customer may start."""
        most = 1_000_000
        if customer is None:
            return most
        for limit, used, amount in (
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
                most = min(most, max(0, limit - used) // amount)
        return most


class JobRates:
    """Tells which jobs go beyond what a customer is owed.

    A token bucket a customer.  Jobs beyond it run when there is room; they
    don't delay the other customers' jobs.
    """

    def __init__(self) -> None:
        self._tokens_by_customer: dict[model.TeamId, float] = {}
        self._filled_at_by_customer: dict[model.TeamId, float] = {}

    def is_over(
        self,
        now: float,
        customer_id: model.TeamId,
        customers_by_id: Mapping[model.TeamId, specs.Customer],
    ) -> bool:
        """Count a job and return whether it is beyond the share."""
        customer = customers_by_id.get(customer_id)
        if customer is None or customer.weight <= 0:
            return False
        most = max(MIN_BURST_JOBS, customer.weight * RATE_WINDOW_S)
        filled_at = self._filled_at_by_customer.get(customer_id, now)
        tokens = self._tokens_by_customer.get(customer_id, most)
        tokens = min(most, tokens + (now - filled_at) * customer.weight)
        self._filled_at_by_customer[customer_id] = now
        if tokens < 1:
            self._tokens_by_customer[customer_id] = tokens
            return True
        self._tokens_by_customer[customer_id] = tokens - 1
        return False
