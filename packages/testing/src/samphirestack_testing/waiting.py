"""Waiting for conditions in place of fixed sleeps."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import inspect
import time

POLL_S = 0.05


class ConditionNotMet(Exception):
    """A condition did not hold within its deadline."""


async def until(
    condition: Callable[[], object | Awaitable[object]],
    timeout_s: float,
    what: str,
) -> None:
    """Wait until ``condition`` returns something true.

    :param condition: a function or a coroutine function.
    :param what: names the condition in the error.
    :raises ConditionNotMet: it does not hold after ``timeout_s``.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if inspect.isawaitable(result):
            result = await result
        if result:
            return
        if time.monotonic() >= deadline:
            raise ConditionNotMet(f'not within {timeout_s} s: {what}')
        await asyncio.sleep(POLL_S)
