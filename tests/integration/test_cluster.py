"""The cluster helper ends what it starts."""

import pathlib
import sys

import pytest

from samphirestack_testing import cluster
from samphirestack_testing import daemons
from samphirestack_testing import processes
from samphirestack_testing import scenario


class TestCluster:
    """A cluster that can't start leaves nothing behind."""

    async def test_failed_start_ends_every_process(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against stand-ins that outlive a failed test."""
        broken = [sys.executable, '-c', 'raise SystemExit("no daemon")']
        monkeypatch.setattr(daemons, 'command', lambda path: broken)
        failing = cluster.Cluster(scenario.builtin('small'), tmp_path)
        with pytest.raises(processes.ProcessFailed, match='no daemon'):
            async with failing:
                pass
        started = failing.processes.by_name
        assert {'workers', 'platform', 'peer-proxies'} <= set(started)
        assert not any(process.running for process in started.values())
