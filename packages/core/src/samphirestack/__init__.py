"""Cluster scheduling for different kinds of work on one shared fleet.

The modules in this package are the public interface of the library;
everything below :mod:`samphirestack.internal` may change at any time.
"""

__version__ = '0.1.0'
