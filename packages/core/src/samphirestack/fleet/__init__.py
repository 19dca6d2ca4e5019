"""Scheduler for a whole fleet of workers.

Jobs consist of steps and are stored in the platform's store.  One entry VM at
a time holds the term, in which it decides for all workers.  Everything here
is free of I/O, and the current time is an argument.
"""
