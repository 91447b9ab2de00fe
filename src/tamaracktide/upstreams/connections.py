"""Connections to upstreams, whose responses httptools parses."""

import httpcore
import httptools

from tamaracktide import http_status
from tamaracktide.core import connected_processes
from tamaracktide.core import pending_bytes
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import network

RECEIVE_BYTES = 262_144
HEADER_OVERHEAD_BYTES = 144
"""Memory of a stored header in addition to its name and value."""

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
"""Headers without which the end of the connection ends a body."""


CLOSE_MARGIN_S = 0.1
"""Time before the stated end in which a request could cross the close."""

MAX_STATED_IDLE_S = 3600


class Connection:
    """A connection and the parser state of its current response.

    Attributes:
        address: `host:port` of its peer.
        process: The process of the upstream that it leads to.
        stream: The TCP stream.
        max_pending_bytes: Maximum number of bytes that wait for a boundary.
        idle_since: When it became idle, seconds of the monotonic clock.
        stated_idle_s: Time for which its peer keeps it then, as far as stated.
        headers: Headers of the current response.
        headers_complete: Whether all of them have arrived.
        complete: Whether the current response has arrived completely.
        keep_alive: Whether another request may follow.
        has_failed: Whether the response cannot be completed.
        ended_by_close: Whether the end of the connection has completed it.
    """

    __slots__ = (
        "_body",
        "_has_body",
        "_pending",
        "address",
        "complete",
        "ended_by_close",
        "has_failed",
        "headers",
        "headers_complete",
        "idle_since",
        "keep_alive",
        "max_pending_bytes",
        "parser",
        "process",
        "stated_idle_s",
        "stream",
    )

    def __init__(
        self,
        process: connected_processes.Process,
        stream: network.Stream,
        max_pending_bytes: int,
    ) -> None:
        """Wraps an open stream.

        Args:
            process: The process that it leads to.
            stream: The TCP stream.
            max_pending_bytes: Maximum number of bytes that wait for the end of
                the headers, or of the framing of the body.
        """
        self.address = process.address
        self.process = process
        self.stream = stream
        self.max_pending_bytes = max_pending_bytes
        self._pending = pending_bytes.PendingBytes(
            max_pending_bytes, "the end of the headers, or the next body bytes"
        )
        self.idle_since = 0.0
        self.stated_idle_s: float = MAX_STATED_IDLE_S
        self.reset(has_body=True)

    def reset(self, *, has_body: bool) -> None:
        """Resets the parser state for the next response.

        Args:
            has_body: Whether the response may have a body, which that to a
                HEAD request has not.
        """
        self._has_body = has_body
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._pending.clear()
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False
        self.has_failed = False
        self.ended_by_close = False

    def on_message_begin(self) -> None:
        """Refuses a response that no request asked for; called by the parser.

        Raises:
            ValueError: The current response is complete.
        """
        if self.complete:
            raise ValueError("data after the end of the response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, drops a trailer; called by the parser.

        Raises:
            ValueError: Too much precedes the end of the headers.
        """
        self._pending.add(HEADER_OVERHEAD_BYTES)
        if self._pending.excess is not None:
            raise ValueError(self._pending.excess)
        if not self.headers_complete:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Records the end of the headers; called by the parser.

        Raises:
            ValueError: The bytes are no response.
        """
        status = self.parser.get_status_code()
        if status in http_status.INTERIM:
            return
        if status not in http_status.FINAL:
            raise ValueError(f"status {status:03}")
        self.headers_complete = True
        self.complete = not self._has_body

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body; called by the parser."""
        self._pending.clear()
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Records the end of the response; called by the parser."""
        if not self.headers_complete:
            # An interim response precedes the final one.
            self.headers.clear()
            return
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()
        self.stated_idle_s = _find_stated_idle_s(self.headers)

    def drain_body(self) -> bytes:
        """Returns and clears the body bytes received since the last call."""
        if not self._body:
            return b""
        body = b"".join(self._body)
        self._body.clear()
        return body

    async def close(self) -> None:
        """Closes the connection; resets it if its response is not complete.

        A peer that reads nothing while it works notices a reset, and no close.
        """
        if self.complete:
            self.stream.end_on_close()
        await self.stream.aclose()

    async def abort(self) -> None:
        """Resets the connection, whose peer may be at work on a request."""
        await self.stream.aclose()

    @property
    def is_usable(self) -> bool:
        """Whether an idle connection may take the next request.

        Not if it was closed or has unexpected data, or if its peer has not yet
        read the previous request, to which it has responded.
        """
        return not (self.stream.has_unsent or self.is_readable())

    def has_ended(self) -> bool:
        """Whether its end has arrived, read or not."""
        return self.stream.has_ended()

    def is_readable(self) -> bool:
        """Whether bytes or the end have arrived, read or not."""
        return self.stream.is_readable()

    async def wait_readable(self) -> bool:
        """Waits for bytes or the end; returns whether bytes have arrived."""
        return await self.stream.wait_readable()

    async def send(
        self, request: bytes, timeout_s: float
    ) -> calls.Failure | None:
        """Sends a request; returns the failure, if any.

        A peer may respond before it has received the request and close, so a
        broken connection only counts when the response is read.
        """
        try:
            await self.stream.write(request, timeout_s)
        except httpcore.WriteTimeout:
            return calls.Failure(
                calls.FailureKind.TIMEOUT,
                f"request not taken within {timeout_s:g} s",
            )
        except httpcore.WriteError:
            pass
        return None

    async def receive(self, timeout_s: float) -> calls.Failure | None:
        """Reads and parses once; returns the failure, if any."""
        failure = await self._receive(timeout_s)
        self.has_failed = failure is not None
        return failure

    async def _receive(self, timeout_s: float) -> calls.Failure | None:
        try:
            data = await self.stream.read(RECEIVE_BYTES, timeout_s)
            if not data:
                return self._end()
            body_parts = len(self._body)
            self.parser.feed_data(data)
            if len(self._body) == body_parts:
                self._pending.add(len(data))
        except httpcore.ReadTimeout:
            return calls.Failure(
                calls.FailureKind.TIMEOUT,
                f"no data received for {timeout_s:g} s",
            )
        except (
            httpcore.ReadError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if self.complete:
                self.keep_alive = False
                return None
            return self._find_excess() or calls.Failure(
                calls.FailureKind.BROKEN, f"{type(error).__name__} {error}"
            )
        return None if self.complete else self._find_excess()

    def _find_excess(self) -> calls.Failure | None:
        """Returns the failure of a response that waits for too long an end."""
        excess = self._pending.excess
        if excess is None:
            return None
        return calls.Failure(calls.FailureKind.TOO_LARGE, excess)

    def _end(self) -> calls.Failure | None:
        """Handles the end of the stream, which may end the response."""
        is_framed = any(name in FRAMING_HEADERS for name, _ in self.headers)
        if self.headers_complete and not is_framed:
            self.complete = True
            self.ended_by_close = True
            return None
        return calls.Failure(
            calls.FailureKind.BROKEN, "connection closed within the response"
        )


def _find_stated_idle_s(headers: list[tuple[bytes, bytes]]) -> float:
    """Returns for how long a peer keeps an idle connection, with a margin."""
    for name, value in headers:
        if name != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, seconds = part.strip().partition(b"=")
            if key.lower() == b"timeout" and seconds.isdigit():
                stated_s = min(MAX_STATED_IDLE_S, int(seconds))
                return stated_s - CLOSE_MARGIN_S
    return MAX_STATED_IDLE_S
