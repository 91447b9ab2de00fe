"""TCP streams for httpcore that bound the bytes before a response.

h11 bounds one head, but httpcore skips any number of interim responses.
"""

from collections.abc import Iterable
from typing import Any

import anyio
import httpcore

from tamaracktide.core import pending_bytes
from tamaracktide.upstreams import network


class HeadTooLargeError(httpcore.RemoteProtocolError):
    """Too many bytes precede the end of the headers of a response."""


class Stream(httpcore.AsyncNetworkStream):
    """A TCP stream that counts from a request to the head of its response."""

    __slots__ = ("_in_head", "_pending", "_stream")

    def __init__(self, stream: network.Stream, max_pending_bytes: int) -> None:
        """Wraps an open stream."""
        self._stream = stream
        self._pending = pending_bytes.PendingBytes(
            max_pending_bytes, "the end of the headers"
        )
        self._in_head = True

    def end_head(self) -> None:
        """Ends the count; the body has a bound of its own."""
        self._in_head = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns received bytes, empty at the end of the stream.

        Raises:
            httpcore.ReadTimeout: None arrived in time, in seconds.
            httpcore.ReadError: The connection is broken.
            HeadTooLargeError: The bound was exceeded before.
        """
        if self._in_head and self._pending.excess is not None:
            raise HeadTooLargeError(self._pending.excess)
        data = await self._stream.read(max_bytes, timeout)
        self._pending.add(len(data))
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends bytes of a request, whose response is counted.

        Raises:
            httpcore.WriteTimeout: They were not taken in time, in seconds.
            httpcore.WriteError: The connection is broken.
        """
        self._in_head = True
        self._pending.clear()
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:  # noqa: ANN401
        """Returns what httpcore asks about a connection."""
        return self._stream.get_extra_info(info)


class Backend(httpcore.AsyncNetworkBackend):
    """Opens TCP streams that bound the bytes before a response."""

    def __init__(self, max_pending_bytes: int) -> None:
        """Uses a bound for each response."""
        self._backend = network.Backend()
        self._max_pending_bytes = max_pending_bytes

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
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return Stream(stream, self._max_pending_bytes)

    async def sleep(self, seconds: float) -> None:
        """Pauses between two connection attempts."""
        await anyio.sleep(seconds)
