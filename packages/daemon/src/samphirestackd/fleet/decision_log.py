"""Log lines for decisions, bounded under load."""

from samphirestackd.fleet import clock
from samphirestackd import logs

LINES_PER_S = 400.0
"""About three lines for each task of a heavy second of today's users."""

BURST_LINES = 1200.0


class DecisionLog:
    """Writes one line for each decision, up to a rate.

    Lines beyond the rate are counted; the next line carries the count.
    """

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._filled_at = clock.now()
        self.suppressed = 0

    def write(self, kind: str, /, **fields: object) -> None:
        """Log a decision with its inputs and its outcome."""
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
