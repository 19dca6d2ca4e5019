"""Samples of the daemon's state, taken when metrics are rendered."""

from collections.abc import Iterator
import os
import pathlib
import time
from typing import Protocol

from samphirestackd.controllers import configuration
from samphirestackd.controllers import leadership
from samphirestackd import logs
from samphirestackd import metrics
from samphirestackd import peers
from samphirestackd import vms

STATM = pathlib.Path('/proc/self/statm')
RESIDENT_FIELD = 1
"""Index of the resident pages in ``statm``."""


class ObservedDaemon(Protocol):
    """Components of the daemon whose state is sampled."""

    links: peers.PeerLinks
    vms: vms.VmDirectory
    configuration: configuration.ConfigurationController
    leadership: leadership.LeadershipController


def add_sources(
    registry: metrics.Metrics, daemon: ObservedDaemon, writer: logs.LineWriter
) -> None:
    """Register a source that samples the daemon's state."""

    def sample() -> Iterator[metrics.Sample]:
        yield from _configuration_samples(daemon)
        yield from _leadership_samples(daemon)
        yield from _peer_samples(daemon)
        yield from _process_samples(writer)

    registry.add_source(sample)


def _configuration_samples(daemon: ObservedDaemon) -> Iterator[metrics.Sample]:
    now, view = time.monotonic(), daemon.configuration
    prefix = 'samphirestack_configuration'
    yield metrics.Sample(f'{prefix}_revision', view.current.revision)
    yield metrics.Sample(f'{prefix}_age_seconds', view.age_s())
    yield metrics.Sample(f'{prefix}_fresh', float(view.is_fresh(now)))
    if daemon.vms.read_at is not None:
        age_s = now - daemon.vms.read_at
        yield metrics.Sample('samphirestack_vm_list_age_seconds', age_s)


def _leadership_samples(daemon: ObservedDaemon) -> Iterator[metrics.Sample]:
    leads = daemon.leadership.is_valid_leader(time.monotonic())
    yield metrics.Sample('samphirestack_leader', float(leads))
    epoch = daemon.leadership.highest_epoch()
    yield metrics.Sample('samphirestack_leader_epoch', epoch)


def _peer_samples(daemon: ObservedDaemon) -> Iterator[metrics.Sample]:
    counts: dict[tuple[str, str], int] = {}
    for peer in daemon.links.peers_by_id().values():
        for alive in (True, False):
            key = (peer.zone, str(alive).lower())
            counts[key] = counts.get(key, 0) + (peer.alive is alive)
    for (zone, alive_text), count in counts.items():
        labels = {'zone': zone, 'alive': alive_text}
        yield metrics.Sample('samphirestack_peers', count, labels)
    for reason, dropped in daemon.links.dropped_by_reason.items():
        yield metrics.Sample(
            'samphirestack_peer_messages_dropped_total',
            dropped,
            {'reason': reason},
        )
    yield metrics.Sample(
        'samphirestack_peer_connections_reopened_total',
        daemon.links.reopened_count,
    )
    yield metrics.Sample(
        'samphirestack_peer_keys_rejected_total', daemon.links.rejected_keys
    )


def _process_samples(writer: logs.LineWriter) -> Iterator[metrics.Sample]:
    yield metrics.Sample(
        'samphirestack_log_lines_dropped_total', writer.dropped
    )
    pages = int(STATM.read_text().split()[RESIDENT_FIELD])
    yield metrics.Sample(
        'process_resident_memory_bytes', pages * os.sysconf('SC_PAGE_SIZE')
    )
    yield metrics.Sample('process_cpu_seconds_total', time.process_time())
