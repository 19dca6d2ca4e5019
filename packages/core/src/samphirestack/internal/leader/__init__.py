"""Schedulers of a zone leader as pure state machines."""
