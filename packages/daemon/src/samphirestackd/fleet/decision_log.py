"""Rate-limited log of scheduling decisions."""

from samphirestackd.fleet import clock
from samphirestackd import logs

LINES_PER_S = 400.0
"""Sustained rate: about three lines for each task at the users' present peak
load."""

BURST_LINES = 1200.0


class DecisionLog:
    """Writes one log line per decision, limited by a token bucket.

    Lines above the limit are dropped and counted; the next line that is
    written has the count in its field ``suppressed_before``.
    """

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._filled_at = clock.now()
        self.suppressed = 0

    def write(self, kind: str, /, **fields: object) -> None:
        """Log a decision with its inputs and its outcome.

        :param kind: kind of the log line.
        """
        now = clock.now()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S
        )
        self._filled_at = now
        if self._tokens < 1:
            self.suppressed += 1
            return
        self._tokens -= 1
        if self.suppressed:
            fields['suppressed_before'] = self.suppressed
            self.suppressed = 0
        logs.info(kind, **fields)
