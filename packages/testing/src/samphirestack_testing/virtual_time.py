"""Event loop whose clock skips all waiting."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar('T')


class _SkippingSelector(selectors.DefaultSelector):
    """Selector that reports how long it was asked to wait, and doesn't."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.waited_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on which timers fire in order without any delay.

    Only use it for code that waits for nothing outside of its own process.
    """

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the seconds that have been waited for so far."""
        return self._skipping.waited_s


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new loop with virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
