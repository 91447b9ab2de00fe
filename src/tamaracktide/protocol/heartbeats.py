"""Heartbeats over a connection and detection of unresponsive peers."""

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
    """The part of a connection that heartbeats use."""

    @property
    def peer(self) -> messages.Hello:
        """First message of the peer."""

    @property
    def received_bytes(self) -> int:
        """Bytes received, also of incomplete messages."""

    @property
    def sent(self) -> int:
        """Number of messages sent."""

    async def send(self, message: messages.Message) -> None:
        """Sends one message."""

    async def close(
        self, code: result_codes.ResultCode, detail: str = ""
    ) -> None:
        """Sends a `Goodbye` with a code and closes."""


class InactivityTimer:
    """Measures the time without bytes from a peer.

    Bytes count, not messages: a large message takes longer than the timeout on
    a narrow link. The time between two updates counts as at most two heartbeat
    periods: a process that was paused itself must process the messages of its
    peers before it treats them as unresponsive.
    """

    __slots__ = ("_received", "_settings", "_updated_at", "seconds")

    def __init__(
        self, settings: protocol_settings.InnerSettings, now: float
    ) -> None:
        """Creates a timer at zero seconds."""
        self._settings = settings
        self._updated_at = now
        self._received = -1
        self.seconds = 0.0

    def update(self, received: int, now: float) -> bool:
        """Updates the timer; returns whether the timeout has passed.

        Args:
            received: Number of bytes received so far.
            now: Current time in seconds.
        """
        elapsed = min(
            now - self._updated_at, 2 * self._settings.heartbeat_period_s
        )
        self._updated_at = now
        if received != self._received:
            self._received = received
            self.seconds = 0.0
            return False
        self.seconds += elapsed
        return self.seconds >= self._settings.heartbeat_timeout_s


async def keep_alive(
    link: Link,
    settings: protocol_settings.InnerSettings,
    read_loads: LoadsReader = tuple,
) -> None:
    """Sends heartbeats until the connection closes or the peer times out.

    No heartbeat is sent in a period in which other messages were sent, unless
    there are loads to send.

    The caller must receive messages concurrently.

    Args:
        link: The connection.
        settings: Period and timeout.
        read_loads: Returns the loads to send with the next heartbeat.

    Raises:
        errors.ProtocolError: The connection closed, or the peer timed out
            (`PEER_UNREACHABLE`), in which case the connection is closed.
    """
    inactivity = InactivityTimer(settings, anyio.current_time())
    sent = link.sent
    for sequence in itertools.count():
        loads = read_loads()
        if loads or link.sent == sent:
            heartbeat = messages.Heartbeat(sequence=sequence, loads=loads)
            with anyio.move_on_after(settings.heartbeat_timeout_s):
                await link.send(heartbeat)
        sent = link.sent
        await anyio.sleep(settings.heartbeat_period_s)
        if inactivity.update(link.received_bytes, anyio.current_time()):
            detail = (
                f"no bytes from {link.peer.instance} "
                f"for {inactivity.seconds:g} s"
            )
            code = result_codes.ResultCode.PEER_UNREACHABLE
            await link.close(code, detail)
            raise errors.ProtocolError(code, detail)
