"""Sends heartbeats over a connection and judges the peer's silence."""

from collections.abc import Callable
import itertools
from typing import Protocol

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

LoadsReader = Callable[[], tuple[messages.CellLoad, ...]]


class Link(Protocol):
    """The part of a connection that heartbeats need."""

    @property
    def peer(self) -> messages.Hello:
        """The peer's first message."""

    @property
    def received(self) -> int:
        """Count of messages received."""

    @property
    def sent(self) -> int:
        """Count of messages sent."""

    async def send(self, message: messages.Message) -> None:
        """Sends one message."""

    async def close(
        self, code: result_codes.ResultCode, detail: str = ""
    ) -> None:
        """Says goodbye with a code and closes."""


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
    opened: Link,
    settings: protocol_settings.InnerSettings,
    read_loads: LoadsReader = tuple,
) -> None:
    """Sends heartbeats until the connection closes or falls silent.

    A connection that sent something else meanwhile needs none.

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
    sent = opened.sent
    for sequence in itertools.count():
        loads = read_loads()
        if loads or opened.sent == sent:
            heartbeat = messages.Heartbeat(sequence=sequence, loads=loads)
            with anyio.move_on_after(settings.heartbeat_timeout_s):
                await opened.send(heartbeat)
        sent = opened.sent
        await anyio.sleep(settings.heartbeat_period_s)
        if silence.update(opened.received, anyio.current_time()):
            detail = f"{opened.peer.instance} silent for {silence.seconds:g} s"
            code = result_codes.ResultCode.PEER_UNREACHABLE
            await opened.close(code, detail)
            raise errors.ProtocolError(code, detail)
