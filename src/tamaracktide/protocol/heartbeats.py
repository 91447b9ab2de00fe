"""Sends heartbeats over a connection and judges the peer's silence."""

from collections.abc import Callable
import itertools

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

LoadsReader = Callable[[], tuple[messages.CellLoad, ...]]


class Silence:
    """Adds up how long a peer has been silent.

    A gap between two readings counts as at most two periods: a process that
    was paused itself must hear its peers before it judges them.
    """

    __slots__ = ("_at", "_received", "_settings", "seconds")

    def __init__(
        self, settings: protocol_settings.InnerSettings, now: float
    ) -> None:
        """Starts with a silence of zero seconds."""
        self._settings = settings
        self._at = now
        self._received = -1
        self.seconds = 0.0

    def update(self, received: int, now: float) -> bool:
        """Returns whether the peer has been silent for too long.

        Args:
            received: Count of messages received so far.
            now: Present time, seconds.
        """
        elapsed = min(now - self._at, 2 * self._settings.heartbeat_period_s)
        self._at = now
        if received != self._received:
            self._received = received
            self.seconds = 0.0
            return False
        self.seconds += elapsed
        return self.seconds >= self._settings.heartbeat_timeout_s


async def keep_alive(
    opened: connection.Connection,
    settings: protocol_settings.InnerSettings,
    read_loads: LoadsReader = tuple,
) -> None:
    """Sends heartbeats until the connection closes or falls silent.

    The caller must go on receiving meanwhile.

    Args:
        opened: The connection.
        settings: Period and timeout.
        read_loads: Returns the loads to send along.

    Raises:
        errors.ProtocolError: The connection closed, or the peer was silent
            (`PEER_UNREACHABLE`); it is closed then.
    """
    silence = Silence(settings, anyio.current_time())
    for sequence in itertools.count():
        heartbeat = messages.Heartbeat(sequence=sequence, loads=read_loads())
        with anyio.move_on_after(settings.heartbeat_timeout_s):
            await opened.send(heartbeat)
        await anyio.sleep(settings.heartbeat_period_s)
        if silence.update(opened.received, anyio.current_time()):
            detail = f"{opened.peer.instance} silent for {silence.seconds:g} s"
            code = result_codes.ResultCode.PEER_UNREACHABLE
            await opened.close(code, detail)
            raise errors.ProtocolError(code, detail)
