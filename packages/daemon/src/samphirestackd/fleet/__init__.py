"""The fleet daemon.

Every process is an entry that accepts jobs.  One of them holds the term and
schedules for the whole fleet.
"""
