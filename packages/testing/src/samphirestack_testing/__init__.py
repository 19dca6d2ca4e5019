"""Stand-ins, fault proxy and load tool for tests and demos."""
