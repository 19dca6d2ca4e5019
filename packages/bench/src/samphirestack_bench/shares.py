"""Slot time that teams are entitled to and receive, by window."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from samphirestack_bench import clusters

WINDOW_S = 10.0
"""Window of the fair shares in section 5 of the design page."""
ERROR_BOUND = 0.01
"""Stated target: largest error as a part of the entitled slot time."""


class Window(msgspec.Struct, frozen=True):
    """What teams got within one window, in seconds of slot time."""

    begin_s: float
    received: dict[str, float]
    entitled: dict[str, float]
    utilization: float

    @property
    def error(self) -> float:
        """Largest distance from the entitled time, as a part of it."""
        return max(
            abs(self.received[team] - entitled) / entitled
            for team, entitled in self.entitled.items()
        )


def windows(
    slots: Collection[clusters.Slot],
    shares_by_team: Mapping[str, float],
    capacity: int,
    begin: float,
    end: float,
) -> Iterator[Window]:
    """Yield the whole windows between two times.

    The slot time in use is divided by share; every team is backlogged.

    :param capacity: the number of slots.
    """
    whole = sum(shares_by_team.values())
    count = int((end - begin) / WINDOW_S + 1e-9)
    for index in range(count):
        start = begin + index * WINDOW_S
        received = _received(slots, shares_by_team, start)
        used = sum(received.values())
        if not used:
            continue
        yield Window(
            round(index * WINDOW_S, 3),
            received,
            {
                team: used * share / whole
                for team, share in shares_by_team.items()
            },
            used / (capacity * WINDOW_S),
        )


def _received(
    slots: Collection[clusters.Slot],
    shares_by_team: Mapping[str, float],
    start: float,
) -> dict[str, float]:
    received = dict.fromkeys(shares_by_team, 0.0)
    for slot in slots:
        overlap = min(slot.end, start + WINDOW_S) - max(slot.start, start)
        if overlap > 0 and slot.team in received:
            received[slot.team] += overlap
    return received
