"""What gateways and schedulers learn from each other instead of the platform.

`instance_list` keeps the newest known instance list, `bootstrap` reads it and
the tables from a peer, `outgoing` keeps digests small.
"""
