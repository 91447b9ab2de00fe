"""The daemon that owns upstreams and admits requests to them."""
