"""Benchmarks of the scheduler, the gateway and their scaling."""
