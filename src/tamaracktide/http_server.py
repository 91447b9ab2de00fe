"""HTTP server for daemons that handle signals themselves."""

from collections.abc import Iterator
import contextlib
import signal
import socket

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from tamaracktide.gateway import asgi
from tamaracktide.observability import logs

MAX_PIPELINED_REQUESTS = 16
"""Requests on a connection, with the one in progress, above which no more is
read from it."""


class Connection(httptools_impl.HttpToolsProtocol):
    """A connection whose end is noticed also behind pipelined requests.

    Otherwise nothing is read behind the first of them, and the end of the
    connection is told to the last of them, which has not begun.
    """

    _unanswered: tuple[httptools_impl.RequestResponseCycle, ...] = ()

    def on_headers_complete(self) -> None:
        """Begins or queues a request; called by the parser."""
        super().on_headers_complete()
        earlier = [c for c in self._unanswered if not c.response_complete]
        self._unanswered = (*earlier, self.cycle)
        if self.pipeline and len(self._unanswered) <= MAX_PIPELINED_REQUESTS:
            self.flow.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells all requests that the client has left."""
        super().connection_lost(exc)
        for cycle in self._unanswered:
            if not cycle.response_complete:
                cycle.disconnected = True
                cycle.message_event.set()


class CancellableServer(uvicorn.Server):
    """A server that closes its listening sockets when it is cancelled."""

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serves; also closes the listening sockets when cancelled."""
        try:
            await super().serve(sockets)
        finally:
            for server in getattr(self, "servers", ()):
                server.close()


class Server(CancellableServer):
    """A uvicorn server without signal handlers and without periodic wake-ups.

    Its main loop waits for `should_exit` instead of checking it ten times a
    second, which matters to a process with several servers.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        """Creates a server; `serve` starts it."""
        self._exit = anyio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server ends; it cannot be reset."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit.set()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open, or still sending."""
        return len(self.server_state.connections)

    async def main_loop(self) -> None:
        """Waits until the server ends."""
        # Sets the default headers, which contain no date.
        await self.on_tick(0)
        await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures no signals."""
        yield


def make_server(
    app: asgi.App, host: str, port: int, keep_alive_s: float
) -> Server:
    """Creates a server for an application.

    Args:
        app: The ASGI application.
        host: IP address to listen on.
        port: Port to listen on.
        keep_alive_s: Time after which an idle connection is closed.
    """
    return Server(
        uvicorn.Config(
            app,
            host=host,
            port=port,
            http=Connection,
            loop="asyncio",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=int(keep_alive_s),
            backlog=2048,
        )
    )


async def wait_for_stop() -> None:
    """Waits for SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logs.bind(signal=int(number)).info("shutdown started")
            return
