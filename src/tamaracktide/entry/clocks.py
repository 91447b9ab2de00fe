"""Clocks of an entry instance."""

import time


def read_boot_time() -> float:
    """Returns seconds of a clock that keeps running during a suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
