"""Cluster scheduling for unlike workloads on one shared fleet.

The public surface of the library is made of the modules in this package;
everything below :mod:`samphirestack.internal` may change at any time.
"""

__version__ = '0.1.0'
