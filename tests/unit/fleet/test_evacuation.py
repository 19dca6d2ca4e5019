"""Evacuation of zones in the fleet scheduler and by the holder."""

from collections.abc import Iterable

import msgspec
import pytest

from samphirestack.fleet import actions
from samphirestack.fleet import evacuation
from samphirestack.fleet import ports
from samphirestack.fleet import specs
from samphirestack import model
from samphirestack_platform import registry
from samphirestack_platform import settings
from samphirestack_testing import fleet_world as worlds
from samphirestackd.fleet import evacuation_reporter
from samphirestackd.fleet import metrics
from samphirestackd import logs

NORTH = model.ZoneId('north')
SOUTH = model.ZoneId('south')
EAST = model.ZoneId('east')
BOUND_S = 5.0


def worker_in(
    zone: model.ZoneId, name: str, **fields: object
) -> specs.WorkerEntry:
    entry = worlds.make_worker(name, **fields)  # type: ignore[arg-type]
    return msgspec.structs.replace(entry, zone=zone)


def make_world(zones: Iterable[model.ZoneId] = (NORTH, SOUTH)) -> worlds.World:
    """Return a world with one worker in each zone, named like the zone."""
    return worlds.World([worker_in(zone, zone) for zone in zones])


def worker_ids(planned: Iterable[actions.Start]) -> list[str]:
    return [start.worker.worker_id for start in planned]


def stops(planned: Iterable[actions.Action]) -> list[actions.Stop]:
    return [one for one in planned if isinstance(one, actions.Stop)]


def report_progress(
    world: worlds.World,
    now: float,
    starts: Iterable[actions.Start],
    percent: float,
) -> None:
    """Let each worker list all its runs."""
    running: dict[str, list[tuple[str, int]]] = {}
    for start in starts:
        running.setdefault(start.worker.worker_id, []).append(
            (start.order.task_id, start.order.run)
        )
    for worker_id, rows in running.items():
        world.report(now, worker_id, rows, percent=percent)


class TestStarts:
    """Guards against a run that starts in an evacuated zone."""

    def test_nothing_starts_in_the_zone_until_it_is_taken_back(self) -> None:
        world = make_world([NORTH])
        world.scheduler.evacuations.begin(0.0, NORTH)
        world.accept(0.0, worlds.make_job(1))
        assert world.plan_starts(0.1) == []
        world.scheduler.evacuations.end(NORTH)
        assert worker_ids(world.plan_starts(0.2)) == [NORTH]

    def test_work_starts_in_the_other_zones(self) -> None:
        world = make_world()
        world.scheduler.evacuations.begin(0.0, NORTH)
        step = worlds.make_step(3, size=model.Resources(8000, 1000))
        world.accept(0.0, worlds.make_job(1, [step]))
        assert worker_ids(world.plan_starts(0.1)) == [SOUTH, SOUTH]

    def test_a_start_that_waits_to_be_sent_is_withdrawn(self) -> None:
        world = make_world([NORTH])
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        world.scheduler.evacuations.begin(0.2, NORTH)
        assert not world.send_start(0.2, start)
        assert not world.scheduler.workers_by_id[
            start.worker.worker_id
        ].runs_by_key
        job = world.scheduler.jobs.active_by_id[job_id]
        assert len(job.steps_by_key[0, 0].waiting) == 1

    def test_two_zones_are_evacuated_at_once(self) -> None:
        world = make_world([NORTH, SOUTH, EAST])
        for zone in (NORTH, SOUTH):
            world.scheduler.evacuations.begin(0.0, zone)
        step = worlds.make_step(3, size=model.Resources(16_000, 1000))
        world.accept(0.0, worlds.make_job(1, [step]))
        assert worker_ids(world.start_all(0.1)) == [EAST]
        world.scheduler.evacuations.end(NORTH)
        assert worker_ids(world.start_all(0.2)) == [NORTH]

    def test_a_request_that_is_taken_back_at_once_leaves_no_trace(
        self,
    ) -> None:
        world = make_world([NORTH])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.plan_starts(0.1)
        world.scheduler.evacuations.begin(0.2, NORTH)
        world.scheduler.evacuations.end(NORTH)
        assert world.send_start(0.3, start)

    def test_a_worker_that_registers_in_the_zone_gets_no_work(self) -> None:
        world = make_world([SOUTH])
        world.scheduler.evacuations.begin(0.0, NORTH)
        world.scheduler.update_worker(1.0, worker_in(NORTH, 'new'))
        world.report(1.0, 'new')
        step = worlds.make_step(2, size=model.Resources(16_000, 1000))
        world.accept(1.0, worlds.make_job(1, [step]))
        assert worker_ids(world.plan_starts(1.1)) == [SOUTH]

    def test_a_zone_without_workers_does_no_harm(self) -> None:
        world = make_world([SOUTH])
        world.scheduler.evacuations.begin(0.0, model.ZoneId('nowhere'))
        world.accept(0.0, worlds.make_job(1))
        assert worker_ids(world.plan_starts(0.1)) == [SOUTH]

    def test_no_advice_is_requested_about_the_zone(self) -> None:
        world = make_world()
        world.scheduler.evacuations.begin(0.0, NORTH)
        queue = worlds.make_queue(advice=specs.AdvicePolicy(0.1, 0.01, 2.0))
        world.accept(0.0, worlds.make_job(1, queue=queue))
        (request,) = world.plan(0.1)
        assert isinstance(request, actions.RequestAdvice)
        assert request.worker_ids == (SOUTH,)


class TestAge:
    """Guards against a start beside a request that is not known yet."""

    def _world(self) -> worlds.World:
        world = make_world([NORTH])
        world.scheduler.evacuations = evacuation.Evacuations(BOUND_S)
        world.accept(0.0, worlds.make_job(1))
        return world

    def test_nothing_starts_before_the_requests_were_read(self) -> None:
        world = self._world()
        assert world.plan_starts(0.1) == []
        world.scheduler.evacuations.confirmed_at = 0.1
        assert len(world.plan_starts(0.2)) == 1

    def test_nothing_starts_while_the_requests_are_too_old(self) -> None:
        world = self._world()
        world.scheduler.evacuations.confirmed_at = 0.0
        assert world.plan_starts(BOUND_S - 0.5) == []
        world.scheduler.evacuations.confirmed_at = BOUND_S - 0.5
        assert len(world.plan_starts(BOUND_S - 0.4)) == 1

    def test_a_start_that_waited_too_long_is_withdrawn(self) -> None:
        world = self._world()
        world.scheduler.evacuations.confirmed_at = 0.0
        (start,) = world.plan_starts(0.1)
        assert not world.send_start(BOUND_S - 0.5, start)

    def test_a_short_bound_permits_starts(self) -> None:
        evacuations = evacuation.Evacuations(0.8)
        evacuations.confirmed_at = 0.0
        assert evacuations.permits_starts(0.4)
        assert not evacuations.permits_starts(0.5)

    def test_without_a_bound_the_age_does_not_count(self) -> None:
        assert evacuation.Evacuations().permits_starts(1e9)


class TestRunningWork:
    """Guards against work of an evacuated zone that is lost or held up."""

    def _run(
        self, step: specs.StepSpec, percent: float = 10.0
    ) -> tuple[worlds.World, list[actions.Start]]:
        """Start a step in the north, which is then evacuated at 1 s."""
        world = make_world([NORTH])
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.start_all(0.1)
        assert len(starts) == step.count
        world.scheduler.update_worker(0.5, worker_in(SOUTH, SOUTH))
        world.report(0.5, SOUTH)
        report_progress(world, 1.0, starts, percent)
        world.scheduler.evacuations.begin(1.0, NORTH)
        return world, starts

    def test_long_work_with_checkpoints_moves(self) -> None:
        step = worlds.make_step(estimate_s=20.0, checkpoints=True)
        world, (start,) = self._run(step)
        (stop,) = stops(world.plan(1.1))
        assert stop.reason == evacuation.STOP_REASON
        assert stop.task_id == start.order.task_id
        ends = [(1, stop.task_id, stop.run, specs.EndReason.STOPPED)]
        world.report(1.5, NORTH, ended=ends)
        assert worker_ids(world.plan_starts(1.6)) == [SOUTH]

    def test_work_that_ends_soon_stays(self) -> None:
        step = worlds.make_step(estimate_s=20.0, checkpoints=True)
        world, _ = self._run(step, percent=90.0)
        for now in (1.1, 3.0):
            assert stops(world.plan(now)) == []

    def test_work_that_is_almost_done_stays_after_the_drain_time(
        self,
    ) -> None:
        step = worlds.make_step(estimate_s=20.0, checkpoints=True)
        world, starts = self._run(step, percent=90.0)
        late = 1.0 + evacuation.DRAIN_S + 1.0
        report_progress(world, late, starts, 94.0)
        assert len(stops(world.plan(late))) == 1
        world, starts = self._run(step, percent=90.0)
        report_progress(world, late, starts, 96.0)
        assert stops(world.plan(late)) == []

    def test_work_without_checkpoints_ends_where_it_is(self) -> None:
        world, _ = self._run(worlds.make_step(estimate_s=20.0))
        for now in (1.1, 9.0):
            assert stops(world.plan(now)) == []

    def test_work_stays_while_there_is_no_other_zone(self) -> None:
        step = worlds.make_step(estimate_s=20.0, checkpoints=True)
        world, _ = self._run(step)
        world.scheduler.evacuations.begin(1.0, SOUTH)
        assert stops(world.plan(1.1)) == []
        world.scheduler.evacuations.end(SOUTH)
        assert len(stops(world.plan(1.3))) == 1

    def test_work_goes_on_once_the_zone_is_taken_back(self) -> None:
        step = worlds.make_step(estimate_s=20.0, checkpoints=True)
        world, _ = self._run(step)
        world.scheduler.evacuations.end(NORTH)
        assert stops(world.plan(1.1)) == []

    def test_long_running_tasks_move_one_by_one(self) -> None:
        step = worlds.make_step(3, long_running=True, max_unavailable=1)
        world, starts = self._run(step, percent=100.0)
        (stop,) = stops(world.plan(1.1))
        assert stops(world.plan(1.3)) == []
        rest = [one for one in starts if one.order.task_id != stop.task_id]
        ends = [(1, stop.task_id, stop.run, specs.EndReason.STOPPED)]
        running = [(one.order.task_id, one.order.run) for one in rest]
        world.report(1.5, NORTH, running, ends, percent=100.0)
        (moved,) = world.start_all(1.6)
        assert moved.worker.worker_id == SOUTH
        assert stops(world.plan(1.8)) == []
        moved_run = (moved.order.task_id, moved.order.run)
        world.report(2.0, SOUTH, [moved_run], percent=100.0)
        assert len(stops(world.plan(2.2))) == 1


class TestGangs:
    """Guards against a gang of which an evacuation takes some members."""

    def _run(
        self, percent: float, **fields: object
    ) -> tuple[worlds.World, list[actions.Start]]:
        """Start a gang in two zones, of which one is then evacuated."""
        world = make_world([NORTH, SOUTH])
        step = worlds.make_step(
            2,
            size=model.Resources(9000, 1000),
            gang=True,
            estimate_s=20.0,
            **fields,
        )
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.start_all(0.1)
        assert sorted(worker_ids(starts)) == [NORTH, SOUTH]
        world.scheduler.update_worker(0.5, worker_in(EAST, EAST))
        world.report(0.5, EAST)
        report_progress(world, 1.0, starts, percent)
        world.scheduler.evacuations.begin(1.0, NORTH)
        return world, starts

    def test_a_long_gang_moves_as_a_whole(self) -> None:
        world, starts = self._run(10.0, checkpoints=True)
        found = stops(world.plan(1.1))
        assert {stop.task_id for stop in found} == {
            start.order.task_id for start in starts
        }
        for start in starts:
            order = start.order
            end = (1, order.task_id, order.run, specs.EndReason.STOPPED)
            world.report(1.5, start.worker.worker_id, ended=[end])
        again = world.plan_starts(1.6)
        assert sorted(worker_ids(again)) == [EAST, SOUTH]
        assert len({start.order.run for start in again}) == 1

    def test_a_gang_that_ends_soon_stays(self) -> None:
        world, _ = self._run(90.0, checkpoints=True)
        assert stops(world.plan(1.1)) == []

    def test_a_gang_without_checkpoints_ends_where_it_is(self) -> None:
        world, _ = self._run(10.0)
        for now in (1.1, 9.0):
            assert stops(world.plan(now)) == []

    def test_a_withdrawn_member_takes_the_others_along(self) -> None:
        world = make_world()
        step = worlds.make_step(2, size=model.Resources(9000, 1), gang=True)
        world.accept(0.0, worlds.make_job(1, [step]))
        starts = world.plan_starts(0.1)
        world.scheduler.evacuations.begin(0.2, NORTH)
        sent = {
            start.worker.worker_id: world.send_start(0.2, start)
            for start in sorted(
                starts, key=lambda one: one.worker.worker_id == NORTH
            )
        }
        assert sent == {SOUTH: True, NORTH: False}
        (stop,) = stops(world.plan(0.3))
        assert stop.worker.worker_id == SOUTH


class TestColdWorkers:
    """Guards against work on slow workers while warm ones are free."""

    def _world(self, cold_s: float) -> worlds.World:
        return worlds.World(
            [
                worker_in(NORTH, 'small', cpu=4000, cold_s=cold_s),
                worker_in(SOUTH, 'large'),
            ]
        )

    def test_cold_workers_come_last(self) -> None:
        world = self._world(5.0)
        step = worlds.make_step(2, size=model.Resources(4000, 1000))
        world.accept(0.0, worlds.make_job(1, [step]))
        assert worker_ids(world.plan_starts(0.1)) == ['large', 'large']

    def test_a_full_fleet_uses_cold_workers(self) -> None:
        world = self._world(5.0)
        step = worlds.make_step(5, size=model.Resources(4000, 1000))
        world.accept(0.0, worlds.make_job(1, [step]))
        expected = ['large'] * 4 + ['small']
        assert worker_ids(world.plan_starts(0.1)) == expected

    def test_workers_become_warm_without_another_entry(self) -> None:
        world = self._world(5.0)
        world.accept(0.0, worlds.make_job(1))
        assert worker_ids(world.plan_starts(5.1)) == ['small']

    def test_an_entry_that_is_read_again_does_not_prolong_it(self) -> None:
        world = self._world(5.0)
        world.scheduler.set_workers(4.0, world.workers)
        world.accept(4.0, worlds.make_job(1))
        assert worker_ids(world.plan_starts(5.1)) == ['small']

    def test_a_worker_that_restarts_is_cold_again(self) -> None:
        world = self._world(0.0)
        world.scheduler.update_worker(
            1.0, worker_in(NORTH, 'small', cpu=4000, cold_s=5.0)
        )
        world.accept(1.0, worlds.make_job(1))
        assert worker_ids(world.plan_starts(1.1)) == ['large']

    def test_a_gang_of_one_rack_takes_a_warm_rack(self) -> None:
        workers = [
            worker_in(NORTH, 'cold', rack='r1', cold_s=5.0),
            worker_in(SOUTH, 'warm', rack='r2'),
        ]
        world = worlds.World(workers)
        step = worlds.make_step(2, gang=True, single_rack=True)
        world.accept(0.0, worlds.make_job(1, [step]))
        assert worker_ids(world.plan_starts(0.1)) == ['warm', 'warm']

    def test_advice_is_requested_about_warm_workers_first(self) -> None:
        world = worlds.World(
            [
                worker_in(NORTH, f'{number:03}', cpu=64_000, cold_s=5.0)
                for number in range(100)
            ]
            + [worker_in(SOUTH, f's{number:02}') for number in range(30)]
        )
        queue = worlds.make_queue(advice=specs.AdvicePolicy(0.1, 0.01, 2.0))
        world.accept(0.0, worlds.make_job(1, queue=queue))
        (request,) = world.plan(0.1)
        assert isinstance(request, actions.RequestAdvice)
        assert all(one.startswith('s') for one in request.worker_ids)


class TestRequests:
    """Guards against requests that are forgotten or never end."""

    def test_a_request_keeps_its_first_time(self) -> None:
        evacuations = evacuation.Evacuations()
        evacuations.begin(1.0, NORTH)
        evacuations.begin(5.0, NORTH)
        assert evacuations.begun_at_by_zone == {NORTH: 1.0}

    def test_requests_that_are_not_retained_end(self) -> None:
        evacuations = evacuation.Evacuations()
        evacuations.begin(1.0, NORTH)
        evacuations.begin(1.0, SOUTH)
        evacuations.retain([SOUTH, EAST])
        assert evacuations.begun_at_by_zone == {SOUTH: 1.0}

    def test_a_request_that_has_no_row_may_end(self) -> None:
        evacuations = evacuation.Evacuations()
        evacuations.end(NORTH)
        assert not evacuations.covers(NORTH)


class LogRecorder:
    """Keeps the log lines of evacuations."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []
        monkeypatch.setattr(logs, 'info', self._write)

    def _write(self, kind: str, /, **fields: object) -> None:
        self.lines.append((kind, fields))


class TestReporter:
    """Guards against an evacuation that an operator can't follow."""

    def _reporter(
        self, world: worlds.World
    ) -> tuple[evacuation_reporter.EvacuationReporter, metrics.Metrics]:
        shown = metrics.Metrics()
        reporter = evacuation_reporter.EvacuationReporter(
            world.scheduler, shown
        )
        return reporter, shown

    def test_an_evacuation_is_shown_from_its_begin_to_its_end(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = make_world([NORTH])
        world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.1)
        reporter, shown = self._reporter(world)
        log = LogRecorder(monkeypatch)
        reporter.update(0.5)
        assert not log.lines
        world.scheduler.evacuations.begin(1.0, NORTH)
        reporter.update(1.0)
        assert log.lines.pop() == (
            'evacuation.begun',
            {'zone': NORTH, 'workers': 1, 'runs': 1},
        )
        assert shown.evacuated_zones.get({}) == 1
        assert shown.evacuated_runs.get({'zone': NORTH}) == 1
        order = start.order
        end = (1, order.task_id, order.run, specs.EndReason.DONE)
        world.report(2.0, NORTH, ended=[end])
        reporter.update(3.0)
        assert log.lines.pop() == (
            'evacuation.emptied',
            {'zone': NORTH, 'took_s': 2.0},
        )
        world.scheduler.evacuations.end(NORTH)
        reporter.update(3.1)
        assert log.lines.pop() == (
            'evacuation.ended',
            {'zone': NORTH, 'workers': 1},
        )
        assert shown.evacuated_zones.get({}) == 0
        assert shown.evacuated_runs.get({'zone': NORTH}) == 0

    def test_a_zone_without_workers_is_shown(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        world = make_world([NORTH])
        reporter, _ = self._reporter(world)
        log = LogRecorder(monkeypatch)
        world.scheduler.evacuations.begin(1.0, EAST)
        reporter.update(1.0)
        reporter.update(9.0)
        assert log.lines == [
            ('evacuation.begun', {'zone': EAST, 'workers': 0, 'runs': 0})
        ]

    def test_the_end_of_the_term_clears_the_metrics(self) -> None:
        world = make_world([NORTH])
        world.accept(0.0, worlds.make_job(1))
        world.start_all(0.1)
        reporter, shown = self._reporter(world)
        world.scheduler.evacuations.begin(1.0, NORTH)
        reporter.update(1.0)
        reporter.close()
        assert shown.evacuated_zones.get({}) == 0
        assert shown.evacuated_runs.get({'zone': NORTH}) == 0


class TestPlatform:
    """Guards against rows and settings that are read wrongly."""

    def _worker(self, **fields: object) -> specs.WorkerEntry | None:
        values: dict[str, object] = {
            'service': 'svc',
            'address': '10.0.0.1:80',
            'zone': 'north',
            'state': 'ready',
            'capacity': {'cpu': 1000, 'memory_request_mb': 1000},
        }
        value = msgspec.json.encode(values | fields)
        return registry.Registry().worker(ports.StoredRow('w', value, 1))

    def test_the_key_alone_names_the_zone(self) -> None:
        for value in (b'', b'{"zone":"south"}', b'\xff'):
            row = ports.StoredRow('evacuate/north', value, 1)
            assert registry.Registry().evacuated_zone(row) == NORTH

    @pytest.mark.parametrize(
        'key', ['config', 'wave/1', 'evacuate', 'evacuate/', 'evacuated/z']
    )
    def test_other_rows_evacuate_nothing(self, key: str) -> None:
        row = ports.StoredRow(key, b'', 1)
        assert registry.Registry().evacuated_zone(row) is None

    def test_an_entry_says_how_long_its_worker_stays_cold(self) -> None:
        entry = self._worker(cold_remaining_ms=2500)
        assert entry is not None
        assert entry.cold_s == 2.5
        for fields in ({}, {'cold_remaining_ms': -1.0}):
            entry = self._worker(**fields)
            assert entry is not None
            assert entry.cold_s == 0.0

    def test_the_bound_is_read_from_the_settings(self) -> None:
        values: dict[str, object] = {
            'node_name': 'a',
            'ip': '10.0.0.1',
            'zone': 'north',
            'internal_port_range': [1, 2],
            'listen': {'front': 'a', 'ready': 'b'},
            'platform': {'address': 'c'},
        }
        stated = msgspec.convert(
            values | {'bounds': {'evacuation_ms': 5000}}, settings.Settings
        )
        assert stated.product_bounds().evacuation_s == BOUND_S
        silent = msgspec.convert(values, settings.Settings)
        assert silent.product_bounds().evacuation_s == float('inf')
