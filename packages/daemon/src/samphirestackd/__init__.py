"""The samphirestack entry daemon."""
