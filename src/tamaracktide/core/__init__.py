"""Decisions without I/O: an event and a time go in, typed actions come out.

Clock readings (seconds, monotonic unless a name ends in `_unix_s`) and random
numbers are passed in by the caller.
"""
