"""Commands of the operators' command line, a module per group."""
