"""Sets of indexes of a step's tasks, in a byte for each task.

This answers steps of thousands of tasks, for which sets of numbers would
occupy eighty times as much.
"""

from collections.abc import Collection
from collections.abc import Iterator

PRESENT = b'\x01'


class IndexSet:
    """A set of the numbers below a bound, in ascending order.

    It may change while it is iterated over.

    :param full: whether it contains all numbers at first.
    """

    __slots__ = ('_count', '_flags')

    def __init__(self, bound: int, full: bool = False) -> None:
        self._flags = bytearray(PRESENT * bound if full else bound)
        self._count = bound if full else 0

    def __len__(self) -> int:
        return self._count

    def __contains__(self, index: int) -> bool:
        return bool(self._flags[index])

    def __iter__(self) -> Iterator[int]:
        index = self._flags.find(PRESENT)
        while index >= 0:
            yield index
            index = self._flags.find(PRESENT, index + 1)

    def add(self, index: int) -> None:
        """Add a number; ignore one that is in the set."""
        self._count += not self._flags[index]
        self._flags[index] = 1

    def discard(self, index: int) -> None:
        """Remove a number; ignore one that is not in the set."""
        self._count -= self._flags[index]
        self._flags[index] = 0

    def without(self, others: Collection[int]) -> Iterator[int]:
        """Yield the numbers that are not among others."""
        if not others:
            return iter(self)
        return (index for index in self if index not in others)
