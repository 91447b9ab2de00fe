"""TCP socket options that detect dead connections."""

import socket
import struct

KEEPALIVE_IDLE_S = 1
"""Idle time before the first probe; a lost peer must be detected in seconds."""

KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

USER_TIMEOUT_MS = 3000
"""Time after which unacknowledged data closes the connection."""

KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
"""Socket options of every outgoing connection."""

RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
"""Has the kernel reset a connection, also as the process is killed."""

END_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))
"""Has the kernel end a connection in the usual way."""
