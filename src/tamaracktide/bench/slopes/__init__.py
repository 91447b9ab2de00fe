"""Scaling of memory, CPU time, bytes and calls with the size of the input."""
