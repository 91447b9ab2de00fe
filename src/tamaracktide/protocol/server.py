"""Server side of the inner protocol."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hmac

import anyio
import anyio.abc
import websockets.asyncio.server
import websockets.http11

from tamaracktide import errors
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

CLOSE_LIMIT_S = 0.2
"""Time for the closing handshakes of a server that is cancelled."""

Handler = Callable[[connection.Connection], Awaitable[None]]


async def serve(
    address: str,
    hello: messages.Hello,
    handler: Handler,
    settings: protocol_settings.InnerSettings,
    *,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections until cancelled, and closes them.

    Args:
        address: `IP:PORT` to listen on; port 0 lets the system choose.
        hello: First message of this process.
        handler: Called for each connection after its handshake; the
            connection is closed when the handler returns. A `ProtocolError`
            raised by the handler ends only this connection.
        settings: Limits, timeouts and the shared token.
        task_status: Reports the bound address once listening.
    """
    host, _, port = address.rpartition(":")

    async def accept(
        socket: websockets.asyncio.server.ServerConnection,
    ) -> None:
        assert isinstance(socket, connection.CountingSocket)
        opened = connection.Connection(socket, settings)
        with contextlib.suppress(errors.ProtocolError):
            await opened.exchange_hello(hello, first=False)
            await handler(opened)
            await opened.close()

    def check_token(
        socket: websockets.asyncio.server.ServerConnection,
        request: websockets.http11.Request,
    ) -> websockets.http11.Response | None:
        presented = request.headers.get("Authorization", "")
        expected = f"Bearer {settings.token}"
        # The trailing space of "Bearer " is lost in transit if the token is
        # empty.
        presented, expected = presented.strip(), expected.strip()
        if hmac.compare_digest(presented.encode(), expected.encode()):
            return None
        return socket.respond(401, "the inner token is not valid\n")

    opened_connections: set[websockets.asyncio.server.ServerConnection] = set()
    listening = await websockets.asyncio.server.serve(
        accept,
        host,
        int(port),
        process_request=check_token,
        compression=None,
        max_size=settings.max_message_bytes,
        ping_interval=None,
        open_timeout=settings.handshake_timeout_s,
        close_timeout=connection.GOODBYE_TIMEOUT_S,
        create_connection=_make_recorded_type(opened_connections),
    )
    try:
        bound = next(iter(listening.sockets)).getsockname()
        task_status.started(f"{bound[0]}:{bound[1]}")
        await anyio.sleep_forever()
    finally:
        with anyio.CancelScope(shield=True):
            await _close(listening, opened_connections)


def _make_recorded_type(
    connections: set[websockets.asyncio.server.ServerConnection],
) -> type[websockets.asyncio.server.ServerConnection]:
    """Returns a type of connections that are in a set while they are open."""

    class RecordedConnection(
        connection.CountingSocket, websockets.asyncio.server.ServerConnection
    ):
        """A connection that is recorded before its handshake."""

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            connections.add(self)
            super().connection_made(transport)

        def connection_lost(self, exc: Exception | None) -> None:
            connections.discard(self)
            super().connection_lost(exc)

    return RecordedConnection


async def _close(
    listening: websockets.asyncio.server.Server,
    connections: set[websockets.asyncio.server.ServerConnection],
) -> None:
    """Closes a server and its connections, those of silent peers by a reset."""
    listening.close()
    with anyio.move_on_after(CLOSE_LIMIT_S):
        await listening.wait_closed()
    for opened in list(connections):
        opened.transport.abort()
    with anyio.move_on_after(CLOSE_LIMIT_S):
        await listening.wait_closed()
