"""Server side of the inner protocol."""

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

Handler = Callable[[connection.Connection], Awaitable[None]]


async def serve(
    address: str,
    hello: messages.Hello,
    handler: Handler,
    settings: protocol_settings.InnerSettings,
    *,
    task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections until cancelled.

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

    async with websockets.asyncio.server.serve(
        accept,
        host,
        int(port),
        process_request=check_token,
        compression=None,
        max_size=settings.max_message_bytes,
        ping_interval=None,
        open_timeout=settings.handshake_timeout_s,
        close_timeout=connection.GOODBYE_TIMEOUT_S,
    ) as server:
        bound = next(iter(server.sockets)).getsockname()
        task_status.started(f"{bound[0]}:{bound[1]}")
        await anyio.sleep_forever()
