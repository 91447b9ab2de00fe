"""Client for streamed responses of engines, parsed by httptools.

An engine sends a chunk for each token. httpcore passes each chunk through
several layers of Python; here one read processes all chunks that have arrived.
"""

import select
import time
from typing import Self

import anyio
import anyio.abc
import httptools

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings

KEEPALIVE_EXPIRY_S = 30.0
RECEIVE_BYTES = 262_144

HeaderPairs = tuple[tuple[bytes, bytes], ...]


class _Connection:
    """A connection and the parser state of its current response."""

    __slots__ = (
        "address",
        "body",
        "complete",
        "headers",
        "headers_complete",
        "idle_since",
        "keep_alive",
        "parser",
        "stream",
    )

    def __init__(self, address: str, stream: anyio.abc.SocketStream) -> None:
        self.address = address
        self.stream = stream
        self.idle_since = 0.0
        self.reset()

    def reset(self) -> None:
        """Resets the parser state for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; called by the parser."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Records the end of the headers; called by the parser."""
        self.headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Records the end of the response; called by the parser."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def drain_body(self) -> bytes:
        """Returns and clears the body bytes received since the last call."""
        if not self.body:
            return b""
        body = b"".join(self.body)
        self.body.clear()
        return body

    def is_readable(self) -> bool:
        """Whether an idle connection has unexpected data or was closed."""
        poll = select.poll()
        socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll.register(socket, select.POLLIN)
        return bool(poll.poll(0))

    async def receive(self, timeout_s: float) -> calls.Failure | None:
        """Reads and parses once; returns the failure, if any."""
        try:
            with anyio.fail_after(timeout_s):
                data = await self.stream.receive(RECEIVE_BYTES)
            self.parser.feed_data(data)
        except TimeoutError:
            return calls.Failure(
                calls.FailureKind.TIMEOUT,
                f"no data received for {timeout_s:g} s",
            )
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            httptools.HttpParserError,
        ) as error:
            return calls.Failure(
                calls.FailureKind.BROKEN, f"{type(error).__name__} {error}"
            )
        return None


class StreamedResponse:
    """A response whose body is still arriving; it must be closed after use.

    Attributes:
        status: HTTP status code.
        headers: Pairs of lower-case header name and value.
    """

    __slots__ = ("_client", "_connection", "_timeout_s", "headers", "status")

    def __init__(
        self, client: "StreamClient", connection: _Connection, timeout_s: float
    ) -> None:
        """Wraps a connection on which the headers have arrived."""
        self._client = client
        self._connection = connection
        self._timeout_s = timeout_s
        self.status = connection.parser.get_status_code()
        self.headers = tuple(connection.headers)

    async def receive(self) -> bytes | calls.Failure:
        """Returns the next body bytes, empty at the end, or the failure."""
        while True:
            body = self._connection.drain_body()
            if body or self._connection.complete:
                return body
            failure = await self._connection.receive(self._timeout_s)
            if failure is not None:
                return failure

    async def read(self, max_bytes: int) -> calls.Response | calls.Failure:
        """Reads the body; returns the complete response or the failure."""
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self.receive()
            if isinstance(part, calls.Failure):
                return part
            if not part:
                return calls.Response(
                    self.status, self.headers, b"".join(parts)
                )
            size += len(part)
            if size > max_bytes:
                return calls.Failure(
                    calls.FailureKind.TOO_LARGE,
                    f"response body exceeds {max_bytes} bytes",
                )
            parts.append(part)

    async def close(self) -> None:
        """Makes the connection idle, or closes it if the body is incomplete."""
        connection = self._connection
        try:
            # The end of the body follows immediately after the last event.
            if not connection.complete:
                await connection.receive(calls.BODY_END_TIMEOUT_S)
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.return_connection(connection)


class StreamClient:
    """Opens streamed responses and reuses idle connections."""

    def __init__(self, settings: upstream_settings.UpstreamSettings) -> None:
        """Creates a client without opening connections."""
        self._settings = settings
        self._idle: dict[str, list[_Connection]] = {}

    async def __aenter__(self) -> Self:
        """Returns the client itself."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            await self.close_idle(address)

    async def open(
        self, call: calls.Call, *, fresh: bool = False
    ) -> StreamedResponse | calls.Failure:
        """Sends a call and returns when the response headers have arrived.

        Args:
            call: The request.
            fresh: Whether to use a new connection, which is needed when idle
                connections may be unresponsive.
        """
        connection = None if fresh else await self._find_idle(call.address)
        if connection is None:
            connected = await self._connect(call.address)
            if isinstance(connected, calls.Failure):
                return connected
            connection = connected
        response: StreamedResponse | calls.Failure | None = None
        try:
            response = await self._exchange(connection, call)
        finally:
            if not isinstance(response, StreamedResponse):
                await anyio.aclose_forcefully(connection.stream)
        return response

    async def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            await anyio.aclose_forcefully(connection.stream)

    async def return_connection(self, connection: _Connection) -> None:
        """Keeps a reusable connection as idle and closes any other."""
        if connection.keep_alive:
            connection.reset()
            connection.idle_since = time.monotonic()
            self._idle.setdefault(connection.address, []).append(connection)
            return
        await anyio.aclose_forcefully(connection.stream)

    async def _find_idle(self, address: str) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            age_s = time.monotonic() - connection.idle_since
            if age_s < KEEPALIVE_EXPIRY_S and not connection.is_readable():
                return connection
            await anyio.aclose_forcefully(connection.stream)
        return None

    async def _connect(self, address: str) -> _Connection | calls.Failure:
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(self._settings.connect_timeout_s):
                stream = await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError) as error:
            return calls.Failure(
                calls.FailureKind.UNREACHABLE,
                f"cannot connect to {address}: {error}",
            )
        return _Connection(address, stream)

    async def _exchange(
        self, connection: _Connection, call: calls.Call
    ) -> StreamedResponse | calls.Failure:
        headers = calls.make_headers(self._settings, call)
        request_line = f"{call.method} {call.target} HTTP/1.1\r\n".encode()
        header_lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
        try:
            with anyio.fail_after(call.timeout_s):
                await connection.stream.send(
                    request_line + header_lines + b"\r\n" + call.body
                )
        except (anyio.BrokenResourceError, TimeoutError) as error:
            return calls.Failure(
                calls.FailureKind.BROKEN, f"cannot send the request: {error!r}"
            )
        while not connection.headers_complete:
            failure = await connection.receive(call.timeout_s)
            if failure is not None:
                return failure
        return StreamedResponse(self, connection, call.timeout_s)
