"""Metrics of the fleet daemon."""

from aioprometheus import collectors
from aioprometheus import renderer

LATENCY_BUCKETS_S = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0,
]  # fmt: skip


class Metrics:
    """All metrics of the process."""

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self.calls = self._counter(
            'samphirestack_fleet_calls_total',
            'Calls of clients by operation and status.',
        )
        self.calls_refused = self._counter(
            'samphirestack_fleet_calls_refused_total',
            'Calls of clients that were refused or have an unknown outcome, '
            'by operation and cause.',
        )
        self.state_queries = self._counter(
            'samphirestack_fleet_state_queries_total',
            'Queries of the states of jobs by what the holder of the term '
            'answered; without an answer the store is read.',
        )
        self.handed_over = self._counter(
            'samphirestack_fleet_handed_over_total',
            'Submissions that entries without the store handed over to this '
            'holder, by outcome.',
        )
        self.clients_refused = self._counter(
            'samphirestack_fleet_clients_refused_total',
            'Clients that were refused or disconnected for exceeding a '
            'limit, by listener and reason.',
        )
        self.orders = self._counter(
            'samphirestack_fleet_orders_total',
            'Orders to workers by kind and outcome.',
        )
        self.run_ends = self._counter(
            'samphirestack_fleet_run_ends_total',
            'Ends of runs by reason.',
        )
        self.jobs_ended = self._counter(
            'samphirestack_fleet_jobs_ended_total',
            'Ended jobs by queue and state.',
        )
        self.worker_crashes = self._counter(
            'samphirestack_fleet_worker_crashes_total',
            'Crashes of workers with runs, by whether a task is suspected.',
        )
        self.jobs_given_up = self._counter(
            'samphirestack_fleet_jobs_given_up_total',
            'Jobs that ended as failed because a task crashes its workers.',
        )
        self.stops_decided = self._counter(
            'samphirestack_fleet_stops_decided_total',
            'Runs that were to be stopped, by reason.',
        )
        self.copies = self._counter(
            'samphirestack_fleet_copies_total',
            'Copies of slow tasks of speculative steps that were ordered.',
        )
        self.displacements = self._counter(
            'samphirestack_fleet_displacements_total',
            'Waiting steps for which runs of lower priority were stopped.',
        )
        self.stops_overdue = self._counter(
            'samphirestack_fleet_stops_overdue_total',
            'Runs that went on for 3 s after the decision to stop them, by '
            'whether the order was sent and accepted.',
        )
        self.worker_restarts = self._counter(
            'samphirestack_fleet_worker_restarts_total',
            'Workers that were started again under their ids, by what showed '
            'it.',
        )
        self.runs_lost = self._counter(
            'samphirestack_fleet_runs_lost_total',
            'Runs that count as over without a reported end, by evidence.',
        )
        self.surplus_runs = self._counter(
            'samphirestack_fleet_surplus_runs_total',
            'Runs that workers listed although their tasks had other runs or '
            'were done.',
        )
        self.set_aside = self._counter(
            'samphirestack_fleet_set_aside_total',
            'Rows, jobs, reports and orders that raised an error, by source.',
        )
        self.placements_apart = self._counter(
            'samphirestack_fleet_placements_apart_total',
            'Placements changed to keep tasks from a disturbing neighbour.',
        )
        self.image_pairs = collectors.Gauge(
            'samphirestack_fleet_image_pairs',
            'Pairs of images whose interference is estimated by the holder, '
            'by whether they are kept apart.',
            registry=self._registry,
        )
        self.slow_workers = collectors.Gauge(
            'samphirestack_fleet_slow_workers',
            'Workers that the holder of the term found slower than others.',
            registry=self._registry,
        )
        self.deferred_jobs = collectors.Gauge(
            'samphirestack_fleet_deferred_jobs',
            'Accepted jobs that wait in the store for memory of the holder.',
            registry=self._registry,
        )
        self.free_job_memory = collectors.Gauge(
            'samphirestack_fleet_free_job_memory_bytes',
            'Memory that the holder of the term has left for jobs and runs.',
            registry=self._registry,
        )
        self.wait_time = self._histogram(
            'samphirestack_fleet_wait_seconds',
            'Time from the readiness of a step to the order of a task.',
        )
        self.call_time = self._histogram(
            'samphirestack_fleet_call_seconds',
            'Time to answer a call of a client, by operation.',
        )
        self.plan_time = self._histogram(
            'samphirestack_fleet_plan_seconds',
            'Time that a plan of the holder of the term took.',
        )
        self.evacuated_zones = self._gauge(
            'samphirestack_fleet_evacuated_zones',
            'Zones evacuated by the operator, as the holder of the term sees '
            'them.',
        )
        self.evacuated_runs = self._gauge(
            'samphirestack_fleet_evacuated_runs',
            'Runs that are still on workers of an evacuated zone, by zone.',
        )
        self.term = collectors.Gauge(
            'samphirestack_fleet_term',
            'Number of the term that this process holds; 0 if none.',
            registry=self._registry,
        )
        self.term.set({}, 0)

    def _counter(self, name: str, help_text: str) -> collectors.Counter:
        return collectors.Counter(name, help_text, registry=self._registry)

    def _gauge(self, name: str, help_text: str) -> collectors.Gauge:
        return collectors.Gauge(name, help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str) -> collectors.Histogram:
        return collectors.Histogram(
            name, help_text, registry=self._registry, buckets=LATENCY_BUCKETS_S
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and the headers of the response."""
        return renderer.render(self._registry, [])
