"""Tests of the page that is written from results."""

import pathlib

import msgspec

from samphirestack_bench import report

SUMMARY = {
    'benchmark': 'recovery',
    'summary': True,
    'seed': 3,
    'wait_s': 2.6,
    'wait_s_bound': 2.4,
    'wait_s_met': False,
    'ratio': 0.5,
}
FAULT = {
    'benchmark': 'recovery',
    'fault': 'table_down',
    'recovery_s': 1.0,
    'urgent_wait_max_s': 2.6,
}


def _store(directory: pathlib.Path, *lines: dict[str, object]) -> None:
    data = b'\n'.join(msgspec.json.encode(line) for line in lines)
    (directory / 'recovery-3.jsonl').write_bytes(data)


class TestReport:
    """The page shows what the files say."""

    def test_figures_stand_beside_bound_and_command(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a missed bound that the page doesn't show."""
        _store(tmp_path, FAULT, SUMMARY)
        written = list(report.write(report.read(tmp_path), tmp_path))
        text = (tmp_path / 'measurements.md').read_text()
        assert '`scripts/measure recovery --seed 3`' in text
        assert '| `wait_s` | 2.6 | 2.4 | **no** |' in text
        assert '| `ratio` | 0.5 | - | - |' in text
        assert all(pathlib.Path(path).stat().st_size for path in written)
        assert len(written) == 2

    def test_quick_runs_are_marked(self, tmp_path: pathlib.Path) -> None:
        """Guards against showing a quick run as a full one."""
        _store(tmp_path, FAULT, {**SUMMARY, 'quick': True})
        (result,) = report.read(tmp_path)
        assert result.command.endswith('--seed 3 --quick')

    def test_results_without_a_summary_are_left_out(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against reporting a run that was broken off."""
        _store(tmp_path, FAULT)
        assert report.read(tmp_path) == []
