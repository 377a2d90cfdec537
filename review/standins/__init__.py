"""Stand-ins of the platform, its minions and requesters, for the review."""
