"""Tests of the demo as a program."""

import asyncio
import os
import pathlib
import signal
import sys

import pytest

from samphirestack_testing import demo


class TestSignals:
    """A demo in the background can be ended."""

    def test_signal_ends_it_without_a_traceback(
        self,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        # Guards against a traceback that looks like a fault.
        async def run(*arguments: object) -> None:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.Event().wait()

        monkeypatch.setattr(demo, 'run', run)
        monkeypatch.setattr(sys, 'argv', ['demo', '--keep', str(tmp_path)])
        with pytest.raises(SystemExit) as ended:
            demo.main()
        assert ended.value.code == demo.INTERRUPTED
        assert 'ended by a signal' in capsys.readouterr().out
