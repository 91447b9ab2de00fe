"""Client side of the inner protocol."""

import anyio
import websockets
import websockets.asyncio.client

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings


async def open_connection(
    address: str,
    hello: messages.Hello,
    settings: protocol_settings.InnerSettings,
) -> connection.Connection:
    """Connects to a peer and performs the handshake.

    Args:
        address: `IP:PORT` of the peer.
        hello: First message of this process.
        settings: Limits, timeouts and the shared token.

    Raises:
        errors.ProtocolError: The peer cannot be reached in time, rejects the
            token or supports no common protocol version.
    """
    try:
        with anyio.fail_after(settings.handshake_timeout_s):
            socket = await _connect(address, settings)
    except (OSError, TimeoutError, websockets.WebSocketException) as error:
        raise errors.ProtocolError(
            _classify(error), f"cannot connect to {address}: {error}"
        ) from error
    opened = connection.Connection(socket, settings)
    await opened.exchange_hello(hello, first=True)
    return opened


class ClientSocket(
    connection.CountingSocket, websockets.asyncio.client.ClientConnection
):
    """The client's end of a WebSocket."""


async def _connect(
    address: str, settings: protocol_settings.InnerSettings
) -> ClientSocket:
    socket = await websockets.asyncio.client.connect(
        f"ws://{address}/",
        additional_headers={"Authorization": f"Bearer {settings.token}"},
        compression=None,
        max_size=settings.max_message_bytes,
        ping_interval=None,
        open_timeout=None,
        close_timeout=connection.GOODBYE_TIMEOUT_S,
        proxy=None,
        create_connection=ClientSocket,
    )
    assert isinstance(socket, ClientSocket)
    return socket


def _classify(error: Exception) -> result_codes.ResultCode:
    match error:
        case websockets.InvalidStatus() if error.response.status_code == 401:
            return result_codes.ResultCode.UNAUTHENTICATED
    return result_codes.ResultCode.PEER_UNREACHABLE
