"""TCP streams of the calls to upstreams.

The streams of anyio pause and resume reading around every chunk, which costs
more system calls than the chunk itself. These read ahead up to a limit instead.
"""

import asyncio
from collections.abc import Iterable
import socket
from typing import Any

import anyio
import httpcore

MAX_READ_AHEAD_BYTES = 64 << 10
"""Received bytes above which reading pauses until they are consumed."""


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
        self._received = anyio.Event()
        self._writable = anyio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if len(self.buffer) > MAX_READ_AHEAD_BYTES and self.transport:
            self.transport.pause_reading()
        self._received.set()

    def eof_received(self) -> bool:
        self.is_ended = True
        self._received.set()
        # The connection stays open until `aclose`.
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_ended = True
        self.error = exc
        self._received.set()
        self._writable.set()

    def pause_writing(self) -> None:
        self._writable = anyio.Event()

    def resume_writing(self) -> None:
        self._writable.set()

    async def read(self, max_bytes: int) -> bytes:
        """Returns received bytes, empty at the end; may raise `error`."""
        while not self.buffer:
            if self.error is not None:
                raise self.error
            if self.is_ended:
                return b""
            self._received = anyio.Event()
            await self._received.wait()
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        if self.transport is not None and not self.transport.is_reading():
            self.transport.resume_reading()
        return data

    async def wait_writable(self) -> None:
        """Waits until most of what was written is sent; may raise `error`."""
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
        if self._receiver.buffer:
            return await self._receiver.read(max_bytes)
        try:
            with anyio.fail_after(timeout):
                return await self._receiver.read(max_bytes)
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends bytes.

        Raises:
            httpcore.WriteTimeout: They were not taken in time, in seconds.
            httpcore.WriteError: The connection is broken.
        """
        if not buffer:
            return
        if self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        try:
            with anyio.fail_after(timeout):
                self._transport.write(buffer)
                await self._receiver.wait_writable()
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

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
