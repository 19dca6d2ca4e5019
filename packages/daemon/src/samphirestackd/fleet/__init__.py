"""The daemon of a fleet: intake at every entry, one holder of the term."""
