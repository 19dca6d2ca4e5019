"""The operators' command line of samphirestack."""
