"""Exchanges cluster state among peers to reduce reads of the platform.

`instance_list` keeps the newest version of the instance list, `bootstrap`
fetches it and the tables from a peer, and `update_filters` limits digests to
changes.
"""
