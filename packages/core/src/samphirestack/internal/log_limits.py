"""Limit of log lines about inputs that fail again and again."""

WINDOW_S = 60.0
"""Time for which a line about the same subject is not repeated."""

MAX_SUBJECTS = 20
"""Lines of one kind in a window, about different subjects."""


class _Window:
    __slots__ = ('began_at', 'subjects', 'suppressed')

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.subjects: set[str] = set()
        self.suppressed = 0


class LogLimiter:
    """Admits one line for each kind and subject in a window of time.

    Its memory is bounded by the number of kinds.
    """

    def __init__(self) -> None:
        self._windows_by_kind: dict[str, _Window] = {}

    def admit(self, now: float, kind: str, subject: str) -> int | None:
        """Return whether a line may be written.

        :param now: seconds on a monotonic clock.
        :param subject: what the line is about, such as the key of a row.
        :return: number of lines of this kind that were suppressed in the
            window before, or ``None`` to suppress this one.
        """
        window = self._windows_by_kind.get(kind)
        suppressed = 0
        if window is None or now - window.began_at >= WINDOW_S:
            if window is not None:
                suppressed = window.suppressed
            window = self._windows_by_kind[kind] = _Window(now)
        if subject in window.subjects or len(window.subjects) >= MAX_SUBJECTS:
            window.suppressed += 1
            return None
        window.subjects.add(subject)
        return suppressed
