"""HTTP/1.1 on raw streams, for the stand-ins and the clients of a soak run.

A library would hide what a soak run looks for: bytes after a response, the end
of a connection, and the moment of each.
"""

from collections.abc import AsyncIterator
import dataclasses
import socket
import struct

import anyio
import anyio.abc

MAX_HEAD_BYTES = 65536
CHUNK_BYTES = 65536
CLOSED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Headers = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """First line and headers of a message; header names are lower-case."""

    line: str
    headers: Headers

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split(" ")[1])


class Connection:
    """A connection with a buffer of received bytes.

    Attributes:
        stream: The stream below.
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        """Wraps a stream."""
        self.stream = stream
        self._buffer = bytearray()

    @property
    def raw_socket(self) -> socket.socket:
        """The socket below."""
        return self.stream.extra(anyio.abc.SocketAttribute.raw_socket)

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that nobody has read."""
        return bool(self._buffer)

    async def fill(self) -> None:
        """Receives more bytes; raises one of `CLOSED` at the end."""
        self._buffer += await self.stream.receive(CHUNK_BYTES)

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        await self.stream.send(data)

    async def read_head(self) -> Head:
        """Reads a first line and headers; raises one of `CLOSED`."""
        text = await self._read_until(b"\r\n\r\n")
        line, *lines = text.decode("latin-1").split("\r\n")
        pairs = (item.partition(":") for item in lines)
        return Head(line, {k.strip().lower(): v.strip() for k, _, v in pairs})

    async def read_exactly(self, size: int) -> bytes:
        """Reads a number of bytes; raises one of `CLOSED`."""
        while len(self._buffer) < size:
            await self.fill()
        return self._take(size)

    async def read_body(self, head: Head) -> AsyncIterator[bytes]:
        """Yields the pieces of a body; raises one of `CLOSED` if it is cut."""
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await self._read_until(b"\r\n"), 16):
                yield (await self.read_exactly(size + 2))[:-2]
            await self.read_exactly(2)
        elif "content-length" in head.headers:
            yield await self.read_exactly(int(head.headers["content-length"]))
        elif " " in head.line and head.line.startswith("HTTP/"):
            while True:
                if self._buffer:
                    yield self._take(len(self._buffer))
                try:
                    await self.fill()
                except anyio.EndOfStream:
                    return

    async def _read_until(self, delimiter: bytes) -> bytes:
        while (end := self._buffer.find(delimiter)) < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise anyio.BrokenResourceError
            await self.fill()
        return self._take(end + len(delimiter))[: -len(delimiter)]

    def _take(self, size: int) -> bytes:
        taken = bytes(self._buffer[:size])
        del self._buffer[:size]
        return taken

    def set_reset(self, enabled: bool) -> None:
        """Sets whether the end of the connection or process is a reset."""
        raw = self.raw_socket
        value = struct.pack("ii", int(enabled), 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    async def close(self, *, reset: bool = False) -> None:
        """Closes the connection, with a reset if asked for."""
        if reset:
            self.set_reset(True)
        await anyio.aclose_forcefully(self.stream)


async def connect(address: str, timeout_s: float) -> Connection:
    """Opens a connection.

    Raises:
        OSError: It was refused.
        TimeoutError: It was not accepted in time.
    """
    host, _, port = address.rpartition(":")
    with anyio.fail_after(timeout_s):
        return Connection(await anyio.connect_tcp(host, int(port)))


def make_request(
    method: str, target: str, headers: Headers, body: bytes = b""
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def make_response_head(status: int, headers: Headers) -> bytes:
    """Returns the bytes of a response up to its body."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def make_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Returns the bytes of a response with a length."""
    sized = {**headers, "Content-Length": str(len(body))}
    return make_response_head(status, sized) + body


async def call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_s: float = 2.0,
    headers: Headers | None = None,
) -> tuple[int, bytes]:
    """Sends a request on a connection of its own.

    Returns:
        Status and body; status 0 if there was no complete response.
    """
    try:
        with anyio.fail_after(timeout_s):
            connection = await connect(address, timeout_s)
            try:
                request = make_request(
                    method, target, headers or {"Host": "x"}, body
                )
                await connection.send(request)
                head = await connection.read_head()
                parts = [part async for part in connection.read_body(head)]
                return head.status, b"".join(parts)
            finally:
                await connection.close()
    except (OSError, TimeoutError, *CLOSED):
        return 0, b""
