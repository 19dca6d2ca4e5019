"""Scheduling decisions as pure code.

Nothing here does I/O or reads a clock.  Each function that decides takes
``now``, seconds on the monotonic clock, as an argument.
"""
