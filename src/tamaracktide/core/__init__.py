"""Decision logic without I/O, which maps events and times to typed actions.

Clock readings (seconds, monotonic unless a name ends in `_unix_s`) and random
numbers are passed in as arguments.
"""
