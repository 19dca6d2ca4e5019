"""Pace of what grows with the fleet."""

from samphirestack.fleet import pacing
from samphirestack.fleet import specs
from samphirestack.fleet import term as terms
from samphirestack_testing import fleet_world as worlds
from samphirestackd.fleet import node


class TestHoldPace:
    """Guards against a rate of hold calls that grows with the fleet."""

    def test_small_fleets_keep_the_shortest_wait(self) -> None:
        for count in (24, 176, 270):
            pace = pacing.hold_pace(count, 1.0)
            assert pace.wait_s == pacing.MIN_HOLD_WAIT_S
            assert not pace.idle_pause_s

    def test_the_rate_of_idle_workers_is_bounded(self) -> None:
        for count in (600, 1100, 1500, 3000):
            pace = pacing.hold_pace(count, 1.0)
            rate = count / (pace.wait_s + pace.idle_pause_s)
            assert rate <= pacing.IDLE_HOLDS_PER_S * 1.001

    def test_a_weak_holder_calls_less_often(self) -> None:
        strong = pacing.hold_pace(1000, 2.0)
        weak = pacing.hold_pace(1000, 0.5)
        assert weak.wait_s + weak.idle_pause_s > strong.wait_s

    def test_a_lease_outlives_a_takeover(self) -> None:
        shortest_lease_s = 6.0
        left_s = shortest_lease_s - pacing.hold_pace(1_000_000, 0.1).wait_s
        assert left_s > terms.TAKEOVER_AFTER_S + 2.0

    def test_a_worker_with_work_or_news_is_not_idle(self) -> None:
        world = worlds.World([worlds.make_worker('w')])
        (worker,) = world.scheduler.workers_by_id.values()
        assert worker.is_idle
        job_id = world.accept(0.0, worlds.make_job(1))
        (start,) = world.start_all(0.0)
        assert not worker.is_idle
        done = specs.EndReason.DONE
        world.report(1.0, 'w', ended=[(1, start.order.task_id, 1, done)])
        assert not worker.runs_by_key
        assert not worker.is_idle
        world.store_changes(1.0)
        assert world.scheduler.jobs.is_known(job_id)
        assert worker.end_to_acknowledge(1.0) == 1
        assert not worker.is_idle
        world.report(1.1, 'w', acknowledged_end=1)
        assert worker.end_to_acknowledge(1.1) == 0
        assert worker.is_idle


class TestPingInterval:
    """Guards against pings that occupy a holder with hundreds of entries."""

    def test_small_systems_ping_often(self) -> None:
        for count in (1, 9, 45, 97):
            interval_s = pacing.ping_interval_s(count)
            assert interval_s == pacing.MIN_PING_INTERVAL_S

    def test_the_rate_of_all_pings_is_bounded(self) -> None:
        for count in (100, 300, 330):
            rate = count / pacing.ping_interval_s(count)
            assert rate <= pacing.MAX_PINGS_PER_S * 1.001

    def test_counts_of_waiting_jobs_do_not_expire_between_pings(self) -> None:
        interval_s = pacing.ping_interval_s(1119)
        assert interval_s == pacing.MAX_PING_INTERVAL_S
        assert interval_s < node.MAX_WAITING_COUNTS_AGE_S


class TestCheckInterval:
    """Guards against checks of all runs that occupy a small holder."""

    def test_it_grows_with_the_fleet(self) -> None:
        shortest = pacing.CHECK_INTERVAL_S
        assert pacing.check_interval_s(24) == shortest
        assert pacing.check_interval_s(270) == shortest
        assert pacing.check_interval_s(3000) == 10 * shortest
