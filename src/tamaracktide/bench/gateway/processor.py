"""CPU time of a process, read from `/proc`."""

import os
import pathlib

USER_FIELD = 11
SYSTEM_FIELD = 12


def read_processor_s(pid: int) -> float:
    """Returns a process's user plus system CPU time, 0 if `pid` is 0."""
    if not pid:
        return 0.0
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")
