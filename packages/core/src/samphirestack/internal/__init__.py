"""Implementation modules without a stable interface."""
