"""Servers that write their responses byte by byte, on real sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import socket

import fleet_cluster

from tamaracktide import sockets

Respond = Callable[
    [str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
"""Responds to the request with an id."""

MAX_QUEUED = 4
"""Connections that fill the queue of a listening socket."""


@dataclasses.dataclass(slots=True, eq=False)
class RawServer:
    """A server whose responses a test scripts.

    Attributes:
        respond: Responds to a request.
        runs: Ids of the requests that arrived, in order.
        listener: Its listening socket; closed, it refuses connections.
        writers: Its open connections.
        max_accepted: Connections after which it resets all further ones.
        handlers: Tasks that handle its connections.
    """

    respond: Respond
    runs: list[str] = dataclasses.field(default_factory=list)
    listener: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = dataclasses.field(default_factory=set)
    max_accepted: int = 1000
    handlers: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles the requests of one connection."""
        self.max_accepted -= 1
        if self.max_accepted < 0:
            _reset(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self.handlers.add(task)
        task.add_done_callback(self.handlers.discard)
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    target, request_id = await _read_request(reader)
                    if target == "/report":
                        writer.write(_make_report())
                        continue
                    self.runs.append(request_id)
                    await self.respond(request_id, reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self) -> None:
        """Closes its listening socket and all connections."""
        self.stop_listening()
        for writer in self.writers:
            writer.transport.abort()
        handlers = list(self.handlers)
        for task in handlers:
            task.cancel()
        await asyncio.gather(*handlers, return_exceptions=True)
        # A transport closes its socket in the next iteration of the loop.
        await asyncio.sleep(0)

    def kill_after(self, seconds: float) -> None:
        """Ends the process: its listening socket and its connections.

        The kernel closes them one after the other; those that nobody has
        accepted are reset.
        """
        asyncio.get_running_loop().call_later(seconds, self._kill)

    def _kill(self) -> None:
        self.stop_listening()
        for writer in self.writers:
            _reset(writer)

    def stop_listening(self) -> None:
        """Refuses new connections, as after the end of the process."""
        assert self.listener is not None
        self.listener.close()

    def stop_answering(self) -> list[socket.socket]:
        """Leaves new connections unanswered, as after the end of the machine.

        Returns:
            What must be closed: a listening socket whose queue is full.
        """
        assert self.listener is not None
        address = self.listener.sockets[0].getsockname()
        self.stop_listening()
        opened = [socket.create_server(address, backlog=0)]
        for _ in range(MAX_QUEUED):
            opened.append(socket.socket())
            opened[-1].setblocking(False)
            opened[-1].connect_ex(address)
        return opened

    def start_again(self) -> socket.socket:
        """Ends and starts again at once; returns its new listening socket."""
        assert self.listener is not None
        address = self.listener.sockets[0].getsockname()
        self.stop_listening()
        return socket.create_server(address)


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info("socket")
    opened.setsockopt(*sockets.RESET_ON_CLOSE)
    writer.transport.abort()


def _make_report() -> bytes:
    """Returns a response that tells the start of the registered process."""
    report = {"Sequence": 0, "born": fleet_cluster.Server("").born}
    body = json.dumps(report).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Reads a request with a body of known length.

    Returns:
        Its target and its id.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (
            line.partition(b":") for line in head.split(b"\r\n")[1:]
        )
    }
    await reader.readexactly(int(headers.get(b"content-length", b"0")))
    target = head.split(b" ", 2)[1].decode()
    return target, headers.get(b"x-request-id", b"").decode()


@contextlib.asynccontextmanager
async def run_server(
    cluster: fleet_cluster.Cluster,
    name: str,
    respond: Respond,
    *,
    is_engine: bool = False,
) -> AsyncIterator[RawServer]:
    """Runs a server and registers it, an engine with one adapter."""
    server = RawServer(respond)
    server.listener = await asyncio.start_server(
        server.handle, fleet_cluster.HOST, 0
    )
    registered = fleet_cluster.Server(
        name,
        slots=3 if is_engine else 0,
        adapters={"a1": 1} if is_engine else {},
        port=server.listener.sockets[0].getsockname()[1],
    )
    cluster.servers[name] = registered
    cluster.register(registered)
    try:
        yield server
    finally:
        await server.close()


def make_head(request_id: str, *lines: str, status: str = "200 OK") -> bytes:
    """Returns the head of a signed response."""
    head = (
        f"HTTP/1.1 {status}",
        f"X-Request-Id: {request_id}",
        "X-Response-Signature: 1.2.3",
        *lines,
        "",
        "",
    )
    return "\r\n".join(head).encode()
