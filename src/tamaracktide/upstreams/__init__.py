"""Clients of upstreams: inference engines and plain services."""
