"""Finds the process at the other end of a connection on loopback.

All instances connect from one address, so only the kernel can tell a stand-in
which of them it must not hear.
"""

import contextlib
import os
import pathlib
import socket

SOCKETS = pathlib.Path("/proc/net/tcp")


def is_from(raw: socket.socket, pids: list[int]) -> bool:
    """Whether the peer of a connection is one of some processes."""
    inode = _find_inode(raw.getpeername()[1], raw.getsockname()[1])
    name = f"socket:[{inode}]"
    return any(name in _list_files(pid) for pid in pids)


def _find_inode(local_port: int, remote_port: int) -> str:
    """Returns the inode of the socket between two ports, empty if none."""
    for line in SOCKETS.read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(item.rpartition(":")[2], 16) for item in fields[1:3]]
        if ports == [local_port, remote_port]:
            return fields[9]
    return ""


def _list_files(pid: int) -> set[str]:
    found = set()
    with contextlib.suppress(OSError):
        folder = f"/proc/{pid}/fd"
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                found.add(os.readlink(f"{folder}/{name}"))
    return found
