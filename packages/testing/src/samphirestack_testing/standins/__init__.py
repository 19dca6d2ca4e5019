"""Stand-ins for the platform, worker agents and upstreams."""
