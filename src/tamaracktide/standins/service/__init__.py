"""Stand-in plain service, and the HTTP plumbing that stand-ins share."""
