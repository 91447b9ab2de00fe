"""Benchmark that compares scheduling policies in virtual time."""
