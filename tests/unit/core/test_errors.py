"""Tests of the exception hierarchy."""

import pytest

from samphirestack import errors


class TestPlatformErrors:
    """What calls to the platform raise has one base."""

    @pytest.mark.parametrize(
        'kind',
        [
            errors.StoreUnavailable,
            errors.TransactionConflict,
            errors.OutcomeUnknown,
            errors.FencedOff,
            errors.WorkerRefused,
        ],
    )
    def test_base(self, kind: type[errors.SamphireError]) -> None:
        """Guards against a table outage that ends a controller's loop."""
        assert issubclass(kind, errors.PlatformError)
