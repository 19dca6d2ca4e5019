"""Short runs of the soak test with fixed seeds."""

import pathlib

import pytest

from samphirestack_platform_standin import oracle
from samphirestack_platform_standin import soak
from samphirestack_platform_standin import workers

LOAD_S = 6.0
REGRESSION_SEEDS: tuple[int, ...] = ()
"""Seeds that found a fault, each with a line about its cause."""


class TestSoak:
    """Guards against lost or doubled work under overlapping faults."""

    @pytest.mark.parametrize('seed', [1, 2, *REGRESSION_SEEDS])
    async def test_no_seed_has_findings(
        self, tmp_path: pathlib.Path, seed: int
    ) -> None:
        run, found = await soak.soak(seed, tmp_path, LOAD_S)
        assert found == []
        assert any(200 in job.answers for job in run.jobs)


class TestOracle:
    """Guards against restarts that the soak overlooks or invents."""

    @pytest.mark.parametrize('lapses', [False, True])
    async def test_an_end_before_a_lapse_of_the_lease_is_not_known(
        self, lapses: bool
    ) -> None:
        first = workers.Run('t', 1, 'w-0', 0.0)
        worker = workers.Worker('w-0', '', [first])
        worker._records_by_run['t', 1] = first
        worker.extend_lease(worker.clock_ms + 60_000)
        worker._end_run(('t', 1), 'done')
        if lapses:
            worker._deadline_ms = 0.0
        worker.extend_lease(worker.clock_ms + 60_000)
        worker.acknowledge_ends(1)
        assert first.ended_at is not None
        second = workers.Run('t', 2, 'w-1', first.ended_at + 1.0)
        found = oracle.findings_of_task('t', [first, second])
        assert len(found) == (0 if lapses else 1)

    @pytest.mark.parametrize(
        ('ended_at', 'is_found'),
        [(13.3, False), (13.5, True), (None, True)],
    )
    def test_a_run_that_nobody_stops_is_found_after_the_bounds(
        self, ended_at: float | None, is_found: bool
    ) -> None:
        job = oracle.Job('j', {}, cancelled_at=2.0)
        run = workers.Run('j.0.0.0', 1, 'w-0', 1.0, ended_at=ended_at)
        found = oracle.unstopped(job, [run], calm_since=7.0)
        assert bool(found) == is_found

    @pytest.mark.parametrize('is_late', [False, True])
    def test_a_start_after_a_cancellation_is_found_unless_it_came_late(
        self, is_late: bool
    ) -> None:
        job = oracle.Job('j', {'specification': ''}, [200], cancelled_at=2.0)
        run = workers.Run('j.0.0.0', 1, 'w-0', 5.1, is_late=is_late)
        assert bool(oracle.findings_of(job, [run])) != is_late

    def test_a_run_of_a_job_that_was_not_cancelled_goes_on(self) -> None:
        run = workers.Run('j.0.0.0', 1, 'w-0', 1.0)
        assert not oracle.unstopped(oracle.Job('j', {}), [run], calm_since=7.0)
