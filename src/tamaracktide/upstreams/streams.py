"""Client for streamed responses of engines, parsed by httptools.

An engine sends a chunk for each token. httpcore passes each chunk through
several layers of Python; here one read processes all chunks that have arrived.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Self

import httpcore

from tamaracktide import sockets
from tamaracktide.core import connected_processes
from tamaracktide.observability import logs
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import connections
from tamaracktide.upstreams import network
from tamaracktide.upstreams import settings as upstream_settings

KEEPALIVE_EXPIRY_S = 30.0

OnSilence = Callable[[connections.Connection], Awaitable[bool]]
"""Called when nothing has arrived on a connection for the timeout of a call.
Returns whether to go on waiting."""

OnSend = Callable[[], None]
"""Called when a connection is there and the request is about to be sent."""

Admit = Callable[[connected_processes.Process], Awaitable[bool]]
"""Decides whether a request may be sent to the process of its connection."""


async def _receive(
    connection: connections.Connection,
    timeout_s: float,
    on_silence: OnSilence | None,
) -> calls.Failure | None:
    """Reads and parses once, also after a silence that `on_silence` allows."""
    while True:
        failure = await connection.receive(timeout_s)
        if (
            failure is None
            or failure.kind is not calls.FailureKind.TIMEOUT
            or on_silence is None
            or not await on_silence(connection)
        ):
            return failure


class StreamedResponse(calls.PartialResponse):
    """A response that httptools parses."""

    __slots__ = ("_client", "_connection", "_on_silence", "_timeout_s")

    def __init__(
        self,
        client: "StreamClient",
        connection: connections.Connection,
        timeout_s: float,
        on_silence: OnSilence | None,
    ) -> None:
        """Wraps a connection on which the headers have arrived."""
        self._client = client
        self.total = client.total
        self._connection = connection
        self.set_timeout(timeout_s, on_silence)
        self.status = connection.parser.get_status_code()
        self.headers = tuple(connection.headers)

    @property
    def process(self) -> connected_processes.Process:
        """The process of the upstream that responds."""
        return self._connection.process

    @property
    def ended_by_close(self) -> bool:
        """Whether only the end of its connection tells that it is complete."""
        return self._connection.ended_by_close

    @property
    def max_pending_bytes(self) -> int:
        """Maximum number of bytes that wait for the end of an event."""
        return self._connection.max_pending_bytes

    @property
    def max_answer_bytes(self) -> int:
        """Maximum size of a body that is read completely."""
        return self._client.settings.max_answer_bytes

    def set_timeout(
        self, timeout_s: float, on_silence: OnSilence | None
    ) -> None:
        """Sets the maximum time without data and what is called after it."""
        self._timeout_s = timeout_s
        self._on_silence = on_silence

    async def receive(self) -> bytes | calls.Failure:
        """Returns the next body bytes, empty at the end, or the failure."""
        while True:
            body = self._connection.drain_body()
            if body or self._connection.complete:
                return body
            failure = await _receive(
                self._connection, self._timeout_s, self._on_silence
            )
            if failure is not None:
                return failure

    async def close(self) -> None:
        """Makes the connection idle, or closes it if the body is incomplete."""
        connection = self._connection
        try:
            # The end of the body follows immediately after the last event.
            if not connection.complete and not connection.has_failed:
                await connection.receive(calls.BODY_END_TIMEOUT_S)
        finally:
            await self._client.return_connection(connection)

    async def abort(self) -> None:
        """Resets the connection: the request has had no response on it."""
        await self._client.abort_connection(self._connection)


class StreamClient:
    """Opens streamed responses and reuses idle connections.

    Attributes:
        backend: Opens its connections.
        settings: Settings of its calls.
        total: Counts the bytes of all bodies that are being read.
    """

    def __init__(
        self,
        settings: upstream_settings.UpstreamSettings,
        backend: network.Backend | None = None,
    ) -> None:
        """Creates a client without opening connections.

        Args:
            settings: Settings of its calls.
            backend: Opens its connections.
        """
        self.backend = backend or network.Backend()
        self.settings = settings
        self.total = calls.make_total(settings)
        self._idle: dict[str, list[connections.Connection]] = {}
        self._opened: dict[str, set[connections.Connection]] = {}
        self._processes = connected_processes.ConnectedProcesses()

    async def __aenter__(self) -> Self:
        """Returns the client itself."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            await self.close_idle(address)

    async def open(
        self,
        call: calls.Call,
        *,
        fresh: bool = False,
        on_silence: OnSilence | None = None,
        admit: Admit | None = None,
        on_send: OnSend | None = None,
    ) -> StreamedResponse | calls.Failure:
        """Sends a call and returns when the response headers have arrived.

        Args:
            call: The request.
            fresh: Whether to use a new connection, which is needed when idle
                connections may be unresponsive.
            on_silence: Decides, before and within the response, whether the
                timeout of the call ends it; None for yes.
            admit: Decides whether the call is sent to the process of its
                connection; None for yes.
            on_send: Called as the call is sent, and not before.
        """
        connection = None if fresh else await self._find_idle(call.address)
        if connection is None:
            connected = await self._connect(call.address)
            if isinstance(connected, calls.Failure):
                return connected
            connection = connected
        if admit is not None and not await self._is_admitted(connection, admit):
            return calls.Failure(
                calls.FailureKind.NOT_ADMITTED,
                f"not sent to the process at {call.address}",
            )
        if on_send is not None:
            on_send()
        response: StreamedResponse | calls.Failure | None = None
        try:
            response = await self._exchange(connection, call, on_silence)
        finally:
            if not isinstance(response, StreamedResponse):
                await self.abort_connection(connection)
        return response

    async def _is_admitted(
        self, connection: connections.Connection, admit: Admit
    ) -> bool:
        """Whether a call may be sent on a connection.

        Else nothing was sent, so that a usable connection is idle again.
        """
        is_admitted = is_usable = False
        try:
            is_admitted = await admit(connection.process)
        finally:
            is_usable = connection.is_usable
            if not is_usable:
                await self._close(connection)
            elif not is_admitted:
                idle_since = connection.idle_since or time.monotonic()
                self._keep(connection, idle_since)
        return is_admitted and is_usable

    async def send(self, call: calls.Call) -> calls.Response | calls.Failure:
        """Sends a call and returns the complete response."""
        response = await self.open(call)
        if isinstance(response, calls.Failure):
            return response
        return await response.read_and_close(self.settings.max_answer_bytes)

    def count_idle(self, address: str) -> int:
        """Returns the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    async def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            await self._close(connection)

    async def return_connection(
        self, connection: connections.Connection
    ) -> None:
        """Keeps a reusable connection as idle and closes any other."""
        if not connection.keep_alive:
            await self._close(connection)
            return
        self._keep(connection, time.monotonic())
        idle = self._idle[connection.address]
        while connection.idle_since - idle[0].idle_since >= KEEPALIVE_EXPIRY_S:
            await self._close(idle.pop(0))

    async def abort_connection(
        self, connection: connections.Connection
    ) -> None:
        """Resets a connection on which a request is still unanswered."""
        self._forget(connection)
        await connection.abort()

    def _keep(
        self, connection: connections.Connection, idle_since: float
    ) -> None:
        connection.idle_since = idle_since
        self._idle.setdefault(connection.address, []).append(connection)

    async def _close(self, connection: connections.Connection) -> None:
        self._forget(connection)
        await connection.close()

    def _forget(self, connection: connections.Connection) -> None:
        """Records once that a connection has ended."""
        opened = self._opened.get(connection.address, set())
        if connection not in opened:
            return
        opened.remove(connection)
        process = connection.process
        if not self._processes.close(process):
            return
        del self._opened[connection.address]
        if process.started_ms is not None:
            logs.bind(
                address=process.address, started_ms=process.started_ms
            ).info("process of an upstream unknown: all connections ended")

    async def _find_idle(self, address: str) -> connections.Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            age_s = time.monotonic() - connection.idle_since
            max_age_s = min(KEEPALIVE_EXPIRY_S, connection.stated_idle_s)
            if age_s < max_age_s and connection.is_usable:
                return connection
            await self._close(connection)
        return None

    async def _connect(
        self, address: str
    ) -> connections.Connection | calls.Failure:
        host, _, port = address.rpartition(":")
        try:
            stream = await self.backend.connect_tcp(
                host,
                int(port),
                self.settings.connect_timeout_s,
                socket_options=(
                    *sockets.KEEPALIVE_OPTIONS,
                    sockets.RESET_ON_CLOSE,
                ),
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return calls.Failure(
                calls.FailureKind.UNREACHABLE,
                f"cannot connect to {address}: {error}",
            )
        connection = self._add(address, stream)
        await self._close_ended()
        return connection

    async def _close_ended(self) -> None:
        """Closes the idle connections that have ended, to any address."""
        ended = [
            connection
            for idle in self._idle.values()
            for connection in idle
            if connection.stream.is_ended
        ]
        for connection in ended:
            self._idle[connection.address].remove(connection)
        self._idle = {a: idle for a, idle in self._idle.items() if idle}
        for connection in ended:
            await self._close(connection)

    def _add(
        self, address: str, stream: network.Stream
    ) -> connections.Connection:
        """Returns a new connection; those that have ended say nothing of it."""
        for ended in [
            other
            for other in self._opened.get(address, ())
            if other.has_ended()
        ]:
            self._forget(ended)
        connection = connections.Connection(
            self._processes.open(address),
            stream,
            self.settings.max_pending_bytes,
        )
        self._opened.setdefault(address, set()).add(connection)
        return connection

    async def _exchange(
        self,
        connection: connections.Connection,
        call: calls.Call,
        on_silence: OnSilence | None,
    ) -> StreamedResponse | calls.Failure:
        headers = calls.make_headers(self.settings, call)
        request_line = f"{call.method} {call.target} HTTP/1.1\r\n".encode()
        header_lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
        connection.reset(has_body=call.method != "HEAD")
        failure = await connection.send(
            request_line + header_lines + b"\r\n" + call.body, call.timeout_s
        )
        if on_silence is not None:
            # The transport goes on sending while the response is awaited.
            failure = None
        while failure is None and not connection.headers_complete:
            failure = await _receive(connection, call.timeout_s, on_silence)
        foreign = call.explain_foreign(connection.headers)
        if failure is None and foreign:
            return calls.Failure(calls.FailureKind.FOREIGN, foreign)
        return failure or StreamedResponse(
            self, connection, call.timeout_s, on_silence
        )
