"""Bound on repeated sends, so that retries can't multiply an overload."""

from samphirestack import model

RETRY_SHARE = 0.1
"""Retries and hedges allowed per recent request of a service."""

WINDOW_S = 10.0
"""What counts as recent: the present and the previous half window."""

FLOOR = 2
"""Retries allowed in any window, so that a rarely used service can
recover from a single broken connection."""


class _Counts:
    __slots__ = ('requests', 'retries')

    def __init__(self) -> None:
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Counts requests and retries per service in two half windows."""

    def __init__(self) -> None:
        self._half = 0
        self._present: dict[model.ServiceId, _Counts] = {}
        self._previous: dict[model.ServiceId, _Counts] = {}

    def note_request(self, now: float, service: model.ServiceId) -> None:
        """Count a new request."""
        self._counts(now, service).requests += 1

    def try_spend(self, now: float, service: model.ServiceId) -> bool:
        """Count a retry and return true, if the budget allows one."""
        counts = self._counts(now, service)
        previous = self._previous.get(service, _Counts())
        requests = counts.requests + previous.requests
        retries = counts.retries + previous.retries
        if retries >= max(FLOOR, requests * RETRY_SHARE):
            return False
        counts.retries += 1
        return True

    def _counts(self, now: float, service: model.ServiceId) -> _Counts:
        half = int(now / (WINDOW_S / 2))
        if half != self._half:
            adjacent = half == self._half + 1
            self._previous = self._present if adjacent else {}
            self._present = {}
            self._half = half
        counts = self._present.get(service)
        if counts is None:
            counts = self._present[service] = _Counts()
        return counts
