"""The metrics of this process.

``METRICS`` declares them as data, from which documentation is generated.
Metrics of requests and jobs count recorded events; gauges of state are
sampled when the metrics are rendered.
"""

from collections.abc import Callable
from collections.abc import Iterator
import enum

from aioprometheus import collectors
from aioprometheus import renderer
import msgspec

MAX_LABEL_VALUES = 100
"""Bound on the values of a label; further ones are counted as ``other``."""

OTHER = 'other'


class Kind(enum.Enum):
    """Type of a metric in Prometheus's terms."""

    COUNTER = 'counter'
    GAUGE = 'gauge'


class Metric(msgspec.Struct, frozen=True):
    """Declaration of one metric."""

    name: str
    kind: Kind
    help: str
    labels: tuple[str, ...] = ()
    event: str = ''
    """Kind of the events that are counted; the labels are fields of these."""


METRICS = (
    Metric(
        'samphirestack_events_total',
        Kind.COUNTER,
        'Events on the time line by kind.',
        ('kind',),
    ),
    Metric(
        'samphirestack_requests_received_total',
        Kind.COUNTER,
        'Requests that passed all filters, by queue.',
        ('queue',),
        'request.received',
    ),
    Metric(
        'samphirestack_requests_ended_total',
        Kind.COUNTER,
        'Requests by final state and verdict.',
        ('state', 'verdict'),
        'request.ended',
    ),
    Metric(
        'samphirestack_requests_sent_total',
        Kind.COUNTER,
        'Attempts sent to upstreams.',
        (),
        'request.sent',
    ),
    Metric(
        'samphirestack_requests_retried_total',
        Kind.COUNTER,
        'Further attempts after a failed one.',
        (),
        'request.retried',
    ),
    Metric(
        'samphirestack_requests_spilled_total',
        Kind.COUNTER,
        'Requests offered to other availability zones.',
        (),
        'request.spilled',
    ),
    Metric(
        'samphirestack_jobs_accepted_total',
        Kind.COUNTER,
        'Jobs whose row was written.',
        (),
        'job.accepted',
    ),
    Metric(
        'samphirestack_configuration_revision',
        Kind.GAUGE,
        'Revision in force at this node.',
    ),
    Metric(
        'samphirestack_configuration_age_seconds',
        Kind.GAUGE,
        'Time since the revision was confirmed to be the newest.',
    ),
    Metric(
        'samphirestack_configuration_fresh',
        Kind.GAUGE,
        '1 while the revision is known to be the newest, else 0.',
    ),
    Metric(
        'samphirestack_leader',
        Kind.GAUGE,
        '1 while this node leads its zone and may act, else 0.',
    ),
    Metric(
        'samphirestack_leader_epoch',
        Kind.GAUGE,
        'Highest epoch of the zone that this node has seen.',
    ),
    Metric(
        'samphirestack_peers',
        Kind.GAUGE,
        'Other entry VMs by zone and whether they answer heartbeats.',
        ('zone', 'alive'),
    ),
    Metric(
        'samphirestack_peer_messages_dropped_total',
        Kind.COUNTER,
        'Messages between entry VMs that were dropped, by reason.',
        ('reason',),
    ),
    Metric(
        'samphirestack_peer_connections_reopened_total',
        Kind.COUNTER,
        'Silent connections between entry VMs that were replaced.',
    ),
    Metric(
        'samphirestack_peer_keys_rejected_total',
        Kind.COUNTER,
        'Connections of other daemons refused for an unknown key.',
    ),
    Metric(
        'samphirestack_vm_list_age_seconds',
        Kind.GAUGE,
        "Time since the platform's list of VMs was read.",
    ),
    Metric(
        'samphirestack_log_lines_dropped_total',
        Kind.COUNTER,
        'Log lines that could not be written.',
    ),
    Metric(
        'process_resident_memory_bytes',
        Kind.GAUGE,
        'Resident memory of this process.',
    ),
    Metric(
        'process_cpu_seconds_total',
        Kind.COUNTER,
        'Processor time of this process in user and system mode.',
    ),
)


class Sample(msgspec.Struct, frozen=True):
    """A value that a source reports when metrics are rendered."""

    name: str
    value: float
    labels: dict[str, str] = {}


Source = Callable[[], Iterator[Sample]]


class Metrics:
    """All metrics in one registry."""

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._collectors_by_name: dict[
            str, collectors.Counter | collectors.Gauge
        ] = {}
        self._metrics_by_event: dict[str, Metric] = {}
        self._metrics_by_name = {metric.name: metric for metric in METRICS}
        self._values_by_label: dict[tuple[str, str], set[str]] = {}
        self._sources: list[Source] = []
        for metric in METRICS:
            kind = (
                collectors.Counter
                if metric.kind is Kind.COUNTER
                else collectors.Gauge
            )
            self._collectors_by_name[metric.name] = kind(
                metric.name, metric.help, registry=self._registry
            )
            if metric.event:
                self._metrics_by_event[metric.event] = metric

    def add_source(self, source: Source) -> None:
        """Call ``source`` for its samples whenever metrics are rendered."""
        self._sources.append(source)

    def count_event(self, kind: str, fields: dict[str, object]) -> None:
        """Count a recorded event.

        :param fields: fields of the event, from which labels are taken.
        """
        self._increment('samphirestack_events_total', {'kind': kind})
        metric = self._metrics_by_event.get(kind)
        if metric is not None:
            labels = {
                name: str(fields.get(name, '')) for name in metric.labels
            }
            self._increment(metric.name, labels)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in text format and its content type."""
        for source in self._sources:
            for sample in source():
                collector = self._collectors_by_name[sample.name]
                labels = self._bounded_labels(sample.name, sample.labels)
                collector.set_value(labels, sample.value)
        content, headers = renderer.render(self._registry, ())
        return content, headers['Content-Type']

    def _increment(self, name: str, labels: dict[str, str]) -> None:
        collector = self._collectors_by_name[name]
        collector.inc(self._bounded_labels(name, labels))

    def _bounded_labels(
        self, name: str, labels: dict[str, str]
    ) -> dict[str, str]:
        bounded = {}
        for label in self._metrics_by_name[name].labels:
            value = labels.get(label, '')
            values = self._values_by_label.setdefault((name, label), set())
            if value not in values:
                if len(values) >= MAX_LABEL_VALUES:
                    value = OTHER
                else:
                    values.add(value)
            bounded[label] = value
        return bounded
