"""One scheduler for a whole fleet of workers.

Jobs made of steps are kept in the platform's store; one entry VM at a time
holds the term in which it decides for all workers.  Everything here is pure:
no I/O, and the present time is an argument.
"""
