"""One timeline of the events of all processes."""
