"""One module for each benchmark.

A benchmark module has a ``DESCRIPTION`` and a function ``run(options)``
that yields records; the last one is the summary.
"""
