"""Stand-in plain service and the HTTP code that all stand-ins share."""
