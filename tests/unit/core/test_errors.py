"""Tests of the exception hierarchy."""

import pytest

from samphirestack import errors


class TestPlatformErrors:
    """All errors of calls to the platform share a base class."""

    @pytest.mark.parametrize(
        'error_class',
        [
            errors.StoreUnavailable,
            errors.TransactionConflict,
            errors.OutcomeUnknown,
            errors.FencedOff,
            errors.WorkerRefused,
        ],
    )
    def test_base(self, error_class: type[errors.SamphireError]) -> None:
        """Guards against a table outage that ends a controller's loop.

        Loops that call the platform catch the base class and try again.
        """
        assert issubclass(error_class, errors.PlatformError)
