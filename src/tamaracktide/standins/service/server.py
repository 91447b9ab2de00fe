"""Runs the ASGI application of a stand-in on one address until SIGTERM."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Generator
import contextlib
import math
import signal
import socket
import types

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

from tamaracktide import http_server

KEEP_ALIVE_S = 300
CANCEL_GRACE_S = 1
EMBEDDED_STOP_TIMEOUT_S = 0.1
LOOPBACK_IP = "127.0.0.1"
START_POLL_S = 0.01

App = Callable[..., Awaitable[None]]


class Connection(httptools_impl.HttpToolsProtocol):
    """An HTTP connection that injected faults can abort or stall.

    The ASGI scope of each request holds it in `scope["state"]["connection"]`.
    """

    def on_message_begin(self) -> None:
        """Stores the connection in the request's ASGI scope."""
        super().on_message_begin()
        self.scope["state"]["connection"] = self

    def abort(self) -> None:
        """Closes the connection immediately, discarding buffered data."""
        self.transport.abort()

    def stall(self) -> None:
        """Stops all transfer permanently but leaves the connection open."""
        if self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        self.transport.pause_reading()
        self.flow.pause_writing()

    def list_other_connections(self) -> list["Connection"]:
        """Returns the server's open connections except this one."""
        return [
            connection
            for connection in self.connections
            if isinstance(connection, Connection) and connection is not self
        ]


def _split_address(address: str) -> tuple[str, int]:
    """Returns host and port of `HOST:PORT`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Server(http_server.CancellableServer):
    """A server that aborts connections still open at the stop timeout."""

    def __init__(self, app: App, stop_timeout_s: float) -> None:
        """Builds a server that is not yet bound to an address."""
        config = uvicorn.Config(
            app,
            http=Connection,
            ws="none",
            lifespan="off",
            log_level="warning",
            access_log=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            timeout_graceful_shutdown=math.ceil(stop_timeout_s)
            + CANCEL_GRACE_S,
        )
        super().__init__(config)
        self._stop_timeout_s = stop_timeout_s

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Shuts down once all requests have finished or been aborted."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._abort_remaining_connections)
            await super().shutdown(sockets)
            tasks.cancel_scope.cancel()

    async def _abort_remaining_connections(self) -> None:
        await anyio.sleep(self._stop_timeout_s)
        for connection in list(self.server_state.connections):
            if isinstance(connection, Connection):
                connection.abort()


class _EmbeddedServer(_Server):
    """A server that leaves signal handling to the enclosing program."""

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Installs no signal handlers."""
        yield


def _ignore_signal(_number: int, _frame: types.FrameType | None) -> None:
    """Does nothing, so the process exits normally after the shutdown."""


async def serve(app: App, address: str, stop_timeout_s: float) -> None:
    """Serves until SIGTERM or SIGINT.

    Args:
        app: The ASGI application.
        address: `HOST:PORT` to listen on.
        stop_timeout_s: Time allowed for requests in progress at shutdown.
    """
    signal.signal(signal.SIGTERM, _ignore_signal)
    signal.signal(signal.SIGINT, _ignore_signal)
    http_server = _Server(app, stop_timeout_s)
    http_server.config.host, http_server.config.port = _split_address(address)
    await http_server.serve()


@contextlib.asynccontextmanager
async def run_embedded(app: App) -> AsyncIterator[str]:
    """Serves on a free loopback port until the context exits.

    Yields:
        The address as `IP:PORT`.
    """
    listener = socket.create_server((LOOPBACK_IP, 0))
    embedded = _EmbeddedServer(app, EMBEDDED_STOP_TIMEOUT_S)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(embedded.serve, [listener])
        while not embedded.started:
            await anyio.sleep(START_POLL_S)
        try:
            yield f"{LOOPBACK_IP}:{listener.getsockname()[1]}"
        finally:
            embedded.should_exit = True
