"""Lamport clock of this process."""


class LamportClock:
    """Counter that orders events causally over all processes."""

    def __init__(self) -> None:
        self._value = 0

    @property
    def value(self) -> int:
        """The current value."""
        return self._value

    def tick(self) -> int:
        """Advance for an event of this process and return the value."""
        self._value += 1
        return self._value

    def observe(self, value: int) -> None:
        """Advance beyond the value of a received message."""
        self._value = max(self._value, value) + 1
