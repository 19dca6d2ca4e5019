"""What unused slices of a partitioned zone cost in utilization.

The limit of a team is split evenly.  The partitioned zones use a part of
their slices; the other zones have more work than their slices allow.
"""

from collections.abc import Iterator

from samphirestack import configuration
from samphirestack.internal.decisions import limits
from samphirestack import model
from samphirestack_bench import records

DESCRIPTION = 'utilization lost to the slices of partitioned zones'

ZONES = (3, 9)
LIMIT = 900
"""Running requests and tasks of a team over the fleet."""
USED_PARTS = (0.0, 0.25, 0.5, 0.75, 1.0)
TEAM = model.TeamId('team')
NOTHING = model.Resources()


def run(options: records.Options) -> Iterator[records.Record]:
    """Yield one record for each number of zones and use, and a summary."""
    summary: records.Record = {
        'summary': True,
        'seed': options.seed,
        'lost_bound': None,
    }
    for zones in ZONES:
        for used in USED_PARTS:
            lost = lost_part(LIMIT, zones, 1, used)
            yield {
                'zones': zones,
                'partitioned': 1,
                'used_part': used,
                'lost_part': lost,
            }
        summary[f'lost_idle_zone_of_{zones}'] = lost_part(LIMIT, zones, 1, 0)
        summary[f'lost_half_used_zone_of_{zones}'] = lost_part(
            LIMIT, zones, 1, 0.5
        )
    summary['lost_idle_region_of_3_zones_of_9'] = lost_part(LIMIT, 9, 3, 0)
    yield summary


def lost_part(
    limit: int, zones: int, partitioned: int, used_part: float
) -> float:
    """Return which part of a limit nobody can use.

    :param partitioned: the number of zones that are cut off.
    :param used_part: what those zones use of their own slices.
    """
    names = [model.ZoneId(f'zone{number}') for number in range(zones)]
    whole = configuration.Limit(running=limit)
    slices_by_zone = limits.split_evenly(whole, names)
    running = 0
    for index, zone in enumerate(names):
        share = slices_by_zone[zone]
        asked = limit
        if index < partitioned:
            asked = round(used_part * (share.running or 0))
        running += _started(share, asked)
    return round(1 - running / limit, 4)


def _started(share: configuration.Limit, asked: int) -> int:
    """Return how many of the requests a zone starts within its slice."""
    ledger = limits.TeamLedger()
    ledger.set_slice(TEAM, share)
    return sum(ledger.try_acquire(TEAM, 1, NOTHING) for _ in range(asked))
