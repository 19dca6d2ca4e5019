"""A small request that shows whether an entry serves."""

import aiohttp

from samphirestack_testing import balancer
from samphirestack_testing import callers
from samphirestack_testing import ledger
from samphirestack_testing import scenario

DEADLINE_S = 5.0


async def is_answered(
    plan: scenario.Scenario,
    http: aiohttp.ClientSession,
    url: str,
    keys_by_team: dict[str, str],
) -> bool:
    """Return whether a request at an entry is answered.

    If so, the entry has the published configuration and its zone has a
    leader that grants slots.  The request has no name, so that no record
    or finding counts it.
    """
    entries = balancer.Balancer({'': url}, http)
    sender = callers.Callers(http, entries, keys_by_team)
    queue = plan.queues[0].name
    probe = callers.Call(
        name='',
        team=plan.teams[0].name,
        queue=queue,
        urgent=plan.is_urgent(queue),
        idempotent=True,
        work_s=0.0,
        deadline_s=DEADLINE_S,
    )
    record = await sender.call(probe)
    return record.outcome is ledger.Outcome.ANSWERED
