"""Retry budgets: retries are limited to a fraction of recent requests.

Without a limit, retries multiply the load of an upstream service that is
already failing.
"""

import math

from samphirestack import model

BUDGET_FRACTION = 0.1
"""Retries allowed per recent request."""

WINDOW_S = 10.0
"""Time constant of the exponential decay of the counts."""

MINIMUM_BUDGET = 1.0
"""Retries that are allowed in a window even with few requests."""


class _Counts:
    """Exponentially decaying counts of requests and retries of a service."""

    __slots__ = ('decayed_at', 'requests', 'retries')

    def __init__(self, now: float) -> None:
        self.requests = 0.0
        self.retries = 0.0
        self.decayed_at = now

    def decay(self, now: float) -> None:
        decay_factor = math.exp(-max(0.0, now - self.decayed_at) / WINDOW_S)
        self.requests *= decay_factor
        self.retries *= decay_factor
        self.decayed_at = max(now, self.decayed_at)


class RetryBudget:
    """Limits the retries of each service."""

    def __init__(self) -> None:
        self._counts_by_service: dict[model.ServiceId, _Counts] = {}

    def record_request(self, now: float, service: model.ServiceId) -> None:
        """Count the first attempt of a request."""
        self._counts(now, service).requests += 1

    def try_retry(self, now: float, service: model.ServiceId) -> bool:
        """Count a retry and return true if the budget allows it."""
        counts = self._counts(now, service)
        budget = max(MINIMUM_BUDGET, counts.requests * BUDGET_FRACTION)
        if counts.retries >= budget:
            return False
        counts.retries += 1
        return True

    def _counts(self, now: float, service: model.ServiceId) -> _Counts:
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = _Counts(now)
            self._counts_by_service[service] = counts
        counts.decay(now)
        return counts
