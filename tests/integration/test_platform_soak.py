"""Short runs of the soak test with fixed seeds."""

import pathlib

import pytest

from samphirestack_platform_standin import soak

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
