"""Benchmark of one gateway beside the same load sent to the engines."""
