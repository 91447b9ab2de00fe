"""Benchmark of a gateway against the same load sent to the engines."""
