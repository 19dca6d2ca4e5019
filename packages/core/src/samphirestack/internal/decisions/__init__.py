"""Scheduling decisions as pure functions and state.

Nothing here does I/O or reads a clock.  Functions that depend on the time
take ``now``, seconds on the monotonic clock, as an argument.
"""
