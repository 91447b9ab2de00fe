"""TCP streams of the calls to upstreams.

The streams of anyio pause and resume reading around every chunk, which costs
more system calls than the chunk itself. These read ahead up to a limit instead.
"""

import asyncio
from collections.abc import Iterable
import math
import select
import socket
from typing import Any

import anyio
import httpcore

from tamaracktide import sockets

MAX_READ_AHEAD_BYTES = 64 << 10
"""Received bytes above which reading pauses until they are consumed."""

UNREAD_TIMEOUT_S = 0.01
"""Time in which the loop reads what has arrived before a timeout."""


def _has_event(opened: socket.socket, event: int) -> bool:
    """Whether an event, an error or a reset of a socket is pending."""
    poll = select.poll()
    poll.register(opened, event)
    return bool(poll.poll(0))


class _Receiver(asyncio.Protocol):
    """Collects what a connection receives and tracks its state.

    Attributes:
        transport: The connection.
        buffer: Received bytes.
        is_ended: Whether the peer has closed the connection, or it is lost.
        error: Why it is lost, None if it was closed.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.is_ended = False
        self.error: Exception | None = None
        self.transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._waiter: asyncio.Future[None] | None = None
        self._deadline = math.inf
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > MAX_READ_AHEAD_BYTES and self.transport:
            self.transport.pause_reading()
        self._wake_reader()
        self._writable.set()

    def eof_received(self) -> bool:
        self.is_ended = True
        self._wake_reader()
        self._writable.set()
        # The connection stays open until `aclose`.
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_ended = True
        self.error = exc
        if isinstance(exc, TimeoutError):
            # ETIMEDOUT; the time-outs of reads and writes are the same class.
            self.error = ConnectionAbortedError(*exc.args)
        self._wake_reader()
        self._writable.set()
        if self._timer is not None:
            self._timer.cancel()

    def pause_writing(self) -> None:
        if not (self.buffer or self.is_ended):
            self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def read(self, max_bytes: int, timeout: float | None) -> bytes:
        """Returns received bytes, empty at the end; may raise `error`.

        Raises:
            TimeoutError: None arrived in time, in seconds.
        """
        while not self.buffer:
            if self.error is not None:
                raise self.error
            if self.is_ended:
                return b""
            await self._wait_received(timeout)
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        if self.transport is not None and not self.transport.is_reading():
            self.transport.resume_reading()
        return data

    async def wait_readable(self) -> bool:
        """Waits until `read` would not wait; returns whether bytes arrived."""
        while not (self.buffer or self.is_ended or self.error):
            await self._wait_received(None)
        return bool(self.buffer)

    async def _wait_received(self, timeout: float | None) -> None:
        self._waiter = self._loop.create_future()
        if timeout is not None:
            self._set_deadline(self._loop.time() + timeout)
        try:
            await self._waiter
        finally:
            self._waiter = None
            self._deadline = math.inf

    def _set_deadline(self, deadline: float) -> None:
        """Starts the timer, unless it already ends in time.

        A timer that ends before the deadline is started again then. A stream
        of short pauses so needs one timer per time-out, not one per pause.
        """
        self._deadline = deadline
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(deadline, self._check_deadline)

    def _check_deadline(self) -> None:
        self._timer = None
        if self._waiter is None or self._deadline == math.inf:
            return
        if self._loop.time() < self._deadline:
            self._set_deadline(self._deadline)
        elif self._has_unread():
            # Timers expire first after a pause of the process.
            self._set_deadline(self._loop.time() + UNREAD_TIMEOUT_S)
        elif not self._waiter.done():
            self._waiter.set_exception(TimeoutError("no data in time"))

    def _has_unread(self) -> bool:
        """Whether the kernel has bytes or an end that the loop has not read."""
        if self.transport is None:
            return False
        opened: socket.socket = self.transport.get_extra_info("socket")
        return opened.fileno() >= 0 and _has_event(opened, select.POLLIN)

    @property
    def is_writable(self) -> bool:
        """Whether more may be written without waiting."""
        return self.error is None and self._writable.is_set()

    async def wait_writable(self) -> None:
        """Waits until most is sent or something arrives; may raise `error`.

        A peer may respond before it has read what was written.
        """
        await self._writable.wait()
        if self.error is not None:
            raise self.error


class Stream(httpcore.AsyncNetworkStream):
    """A TCP stream that reads ahead."""

    __slots__ = ("_receiver", "_transport")

    def __init__(
        self, transport: asyncio.Transport, receiver: _Receiver
    ) -> None:
        """Wraps an open connection."""
        self._transport = transport
        self._receiver = receiver

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns received bytes, empty at the end of the stream.

        Raises:
            httpcore.ReadTimeout: None arrived in time, in seconds.
            httpcore.ReadError: The connection is broken.
        """
        try:
            return await self._receiver.read(max_bytes, timeout)
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    async def wait_readable(self) -> bool:
        """Waits until bytes have arrived or the stream has ended.

        Returns:
            Whether bytes have arrived.
        """
        return await self._receiver.wait_readable()

    def is_readable(self) -> bool:
        """Whether bytes or the end have arrived, read by the loop or not."""
        if self.get_extra_info("is_readable"):
            return True
        return _has_event(self.get_extra_info("socket"), select.POLLIN)

    @property
    def is_ended(self) -> bool:
        """Whether the loop has read the end."""
        return self._receiver.is_ended

    def has_ended(self) -> bool:
        """Whether the end has arrived, read by the loop or not."""
        opened: socket.socket = self.get_extra_info("socket")
        if self._receiver.is_ended or opened.fileno() < 0:
            return True
        return _has_event(opened, select.POLLRDHUP)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends bytes, in the background once the peer responds.

        Raises:
            httpcore.WriteTimeout: They were not taken in time, in seconds.
            httpcore.WriteError: The connection is broken.
        """
        if not buffer:
            return
        if self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        try:
            self._transport.write(buffer)
            if not self._receiver.is_writable:
                with anyio.fail_after(timeout):
                    await self._receiver.wait_writable()
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes still wait to be sent."""
        return self._transport.get_write_buffer_size() > 0

    def end_on_close(self) -> None:
        """Has `aclose` end a connection that it would reset."""
        opened: socket.socket = self._transport.get_extra_info("socket")
        # The socket of a connection that is lost already has no descriptor.
        if opened.fileno() >= 0:
            opened.setsockopt(*sockets.END_ON_CLOSE)

    async def aclose(self) -> None:
        """Closes the connection; bytes that are not sent yet are discarded."""
        self._transport.abort()

    def get_extra_info(self, info: str) -> Any:  # noqa: ANN401
        """Returns what httpcore asks about a connection.

        `is_readable` tells that an idle connection is unusable: its peer has
        closed it or sent bytes that belong to no response.
        """
        match info:
            case "is_readable":
                receiver = self._receiver
                return bool(receiver.buffer) or receiver.is_ended
            case "socket":
                return self._transport.get_extra_info("socket")
            case "client_addr":
                return self._transport.get_extra_info("sockname")
            case "server_addr":
                return self._transport.get_extra_info("peername")
        return None


class Backend(httpcore.AsyncNetworkBackend):
    """Opens TCP streams that read ahead."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> Stream:
        """Opens a connection.

        Raises:
            httpcore.ConnectTimeout: It did not open in time, in seconds.
            httpcore.ConnectError: It was refused or is unreachable.
        """
        source = None if local_address is None else (local_address, 0)
        try:
            with anyio.fail_after(timeout):
                (
                    transport,
                    receiver,
                ) = await asyncio.get_running_loop().create_connection(
                    _Receiver,
                    host,
                    port,
                    family=socket.AF_INET,
                    local_addr=source,
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        opened: socket.socket = transport.get_extra_info("socket")
        for option in socket_options or ():
            opened.setsockopt(*option)
        return Stream(transport, receiver)

    async def sleep(self, seconds: float) -> None:
        """Pauses between two connection attempts."""
        await anyio.sleep(seconds)
