"""A short run of the soak with fixed seeds."""

import pathlib

import pytest

from samphirestack_platform_standin import soak

LOAD_S = 6.0
REGRESSION_SEEDS: tuple[int, ...] = ()
"""Seeds that failed once, each with a line on its cause."""


class TestSoak:
    """Guards against broken promises under overlapping faults."""

    @pytest.mark.parametrize('seed', [1, 2, *REGRESSION_SEEDS])
    async def test_no_promise_is_broken(
        self, tmp_path: pathlib.Path, seed: int
    ) -> None:
        one, found = await soak.soak(seed, tmp_path, LOAD_S)
        assert found == []
        assert any(200 in job.answers for job in one.jobs)
