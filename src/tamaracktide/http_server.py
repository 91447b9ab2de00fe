"""HTTP server for daemons that handle signals themselves."""

from collections.abc import Iterator
import contextlib
import signal
import socket

import anyio
import uvicorn

from tamaracktide.gateway import asgi
from tamaracktide.observability import logs


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
            http="httptools",
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
