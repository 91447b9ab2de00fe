"""Structured logs, Prometheus metrics and traces."""
