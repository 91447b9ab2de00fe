"""Stand-in platform: object API, instance list and weight store."""
