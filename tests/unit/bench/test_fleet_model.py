"""The discrete-event model of the fleet and its load."""

import random

import pytest

from samphirestack.fleet import planner
from samphirestack_bench import fleet_load
from samphirestack_bench import fleet_model

WORKERS = 24
CORES = WORKERS * fleet_load.WORKER_MILLICORES / 1000
LENGTH_S = 5.0
HIGH_LOAD = 3.0
"""Asks for more than all cores, at the rates that the tests check."""


def play(load: float, seed: int = 3) -> list[fleet_model.Outcome]:
    jobs = fleet_load.arrivals(
        random.Random(seed), WORKERS, LENGTH_S, load, 1.0
    )
    return fleet_model.FleetModel(jobs, WORKERS, seed).run()


def share(outcomes: list[fleet_model.Outcome], name: str) -> float:
    mine = [one for one in outcomes if one.arrival.kind.name == name]
    owed = sum(one.arrival.worth for one in mine)
    return sum(one.earned for one in mine) / owed


class TestCallersAtLowLoad:
    """Guards against policies that make work wait beside free workers."""

    def test_every_job_ends_in_time(self) -> None:
        outcomes = play(0.3)
        assert all(one.ended_at is not None for one in outcomes)
        for name in ('urgent', 'wide'):
            assert share(outcomes, name) == 1.0

    def test_urgent_jobs_start_at_once(self) -> None:
        # Advice, a stored placement and the order take 50 ms.
        for one in play(0.3):
            if one.arrival.kind.name == 'urgent':
                assert one.started_at is not None
                assert one.started_at - one.arrival.at < 0.2


class TestCallersAtHighLoad:
    """Guards against policies that give everything to one kind of job."""

    def test_urgent_jobs_are_served_above_the_room_of_the_fleet(self) -> None:
        outcomes = play(HIGH_LOAD)
        asked = sum(one.arrival.core_s for one in outcomes)
        assert asked > CORES * LENGTH_S
        assert share(outcomes, 'urgent') > 0.9

    def test_gangs_are_not_starved(self) -> None:
        outcomes = play(HIGH_LOAD)
        gangs = [one for one in outcomes if one.arrival.kind.name == 'gang']
        assert gangs
        assert share(outcomes, 'gang') > 0.25


class TestBound:
    """Guards against a bound that a scheduler could exceed."""

    def test_no_day_earns_more(self) -> None:
        for load in (0.3, HIGH_LOAD):
            outcomes = play(load)
            jobs = [one.arrival for one in outcomes]
            bound = fleet_load.bound(jobs, CORES, LENGTH_S)
            assert sum(one.earned for one in outcomes) <= bound + 1e-9
            assert bound <= sum(job.worth for job in jobs) + 1e-9

    def test_a_fleet_without_time_earns_little(self) -> None:
        jobs = fleet_load.arrivals(
            random.Random(3), WORKERS, LENGTH_S, 1.0, 1.0
        )
        all_worth = sum(job.worth for job in jobs)
        assert fleet_load.bound(jobs, CORES / 100, LENGTH_S) < all_worth / 2


class TestModel:
    """Guards against experiments that do not repeat."""

    def test_a_seed_gives_the_same_day(self) -> None:
        first = [(one.started_at, one.ended_at) for one in play(1.0)]
        second = [(one.started_at, one.ended_at) for one in play(1.0)]
        assert first == second


class TestPatience:
    """Guards against gangs that are late while patient work has time left.

    The load asks for 1.4 times the cores, as after an outage of the store.
    """

    WORKERS = 176
    LENGTH_S = 10.0
    LOAD = 1.8
    TARGET = 0.83
    """Worth that the users want to be served on days with trouble."""

    def _play(self) -> list[fleet_model.Outcome]:
        jobs = fleet_load.arrivals(
            random.Random(1), self.WORKERS, self.LENGTH_S, self.LOAD, 1.8
        )
        return fleet_model.FleetModel(jobs, self.WORKERS, 1).run()

    def test_gangs_are_served_and_nobody_else_is_late(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        patient = self._play()
        monkeypatch.setattr(planner, 'PATIENT_SLACK_S', float('inf'))
        impatient = self._play()
        assert share(patient, 'gang') > share(impatient, 'gang')
        for kind in fleet_load.KINDS:
            assert share(patient, kind.name) >= self.TARGET
