"""Benchmarks and reports of samphirestack."""
