"""Suggested alerts for the promises in section 1 of the design page.

An alert is a Prometheus expression over the metrics of the daemons.  Where
no metric shows a breach, the entry says what checks the promise instead.
"""

import msgspec


class Alert(msgspec.Struct, frozen=True):
    """The suggested alert for one promise."""

    promise: str
    expression: str = ''
    """Prometheus expression; empty if no metric can show a breach."""
    hold: str = ''
    """How long the expression must hold before the alert fires."""
    reason: str = ''
    """What the alert shows, and what it can not show."""


_ORACLE = 'The oracle of `scripts/demo` checks it against the ledgers.'

ALERTS = (
    Alert(
        'No VM is overcommitted',
        reason='None: the agents enforce it and their commitments are not '
        f'exported by the entries. {_ORACLE}',
    ),
    Alert(
        'No task runs in two places at once',
        'sum by (zone) (samphirestack_leader) > 1',
        '5s',
        'A zone with two valid leaders could place a task twice. Add the '
        'label `zone` when the targets are configured. It is an early sign: '
        f'agents reject the lower epoch. {_ORACLE}',
    ),
    Alert(
        'Work only for the team whose key was presented',
        'samphirestack_configuration_age_seconds > 4 '
        'and samphirestack_configuration_fresh == 1',
        '0s',
        'A node that takes keyed work with a confirmation older than the '
        'bound could accept a revoked key.',
    ),
    Alert(
        'No team has more running than its upper limit',
        reason='None: use of teams is not a metric. '
        f'`samphirestack quota TEAM` shows it. {_ORACLE}',
    ),
    Alert(
        'Every caller receives the complete response to its own request',
        'rate(samphirestack_requests_ended_total'
        '{verdict="may_have_run"}[5m]) > 0',
        '5m',
        'Callers whose outcome is unknown got no response. A response that '
        f'went to the wrong caller shows in no metric. {_ORACLE}',
    ),
    Alert(
        'A refusal that says "not run" is true',
        reason='None: only the upstream knows whether the request ran. '
        f'{_ORACLE}',
    ),
    Alert(
        'A non-idempotent request runs at most once',
        reason='None: retries are counted, but not whether the request was '
        f'idempotent. {_ORACLE}',
    ),
    Alert(
        'A leaving upstream receives no new work after 4 s',
        'samphirestack_vm_list_age_seconds > 4',
        '10s',
        'Without the list of VMs, nodes learn of a leaving upstream from '
        'its status only.',
    ),
    Alert(
        'A graceful shutdown cuts off no in-flight request',
        'samphirestack_events_total{kind="node.draining"} '
        'unless ignoring (kind) '
        'samphirestack_events_total{kind="node.drained"}',
        '2m',
        'A drain that has not ended. A stopped process is no longer '
        'scraped, so look for `node.drained` with `complete` false in the '
        'logs too.',
    ),
    Alert(
        'An accepted configuration is in force everywhere within 4 s and '
        'never reverts',
        'max(samphirestack_configuration_revision) '
        '- min(samphirestack_configuration_revision) > 0 '
        'or resets(samphirestack_configuration_revision[5m]) > 0',
        '4s',
        'A node is behind the others, or its revision fell while it ran. '
        'A new VM begins at revision 0, which is no fault. The scrape '
        'interval must be below 4 s for this bound to be seen.',
    ),
)
"""One entry for each promise, in the order of the design page."""
