"""Separation of the product from the adapter to the platform."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parents[3]

WIRE_NAMES = re.compile(
    r'Api-Key|api_keys|run-start|run-stop|rows-(tx|get|feed|parts)|blob-put'
    r'|fencing_token|last_checkpoint|memory_request_mb'
    r'|Expected-Instance|Request-Deadline-Ms|SAMPHIRESTACK_BOOT|cloud_api'
    r'|version_number|health_check_path|target_latency_ms',
    re.IGNORECASE,
)
PACKAGES = ('core', 'daemon', 'client', 'bench')
MAX_ADAPTER_SHARE = 0.2
"""Size of the adapter relative to the product; it only translates."""


class TestAdapterBoundary:
    """Guards against dependencies of the product on one platform."""

    def test_the_product_contains_no_wire_names(self) -> None:
        matches = [
            f'{path.relative_to(ROOT)}:{number}: {line.strip()}'
            for name in PACKAGES
            for path in (ROOT / 'packages' / name / 'src').rglob('*.py')
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WIRE_NAMES.search(line)
        ]
        assert matches == []

    def test_the_product_does_not_import_the_adapter(self) -> None:
        matches = [
            str(path)
            for path in (ROOT / 'packages').rglob('src/**/*.py')
            if 'samphirestack_platform' in path.read_text()
        ]
        assert matches == []

    def test_the_adapter_stays_small(self) -> None:
        def lines(*folders: pathlib.Path) -> int:
            return sum(
                len(path.read_text().splitlines())
                for folder in folders
                for path in folder.rglob('*.py')
            )

        product = lines(
            ROOT / 'packages' / 'core', ROOT / 'packages' / 'daemon'
        )
        assert lines(ROOT / 'platform') <= MAX_ADAPTER_SHARE * product
