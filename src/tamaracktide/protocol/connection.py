"""An open connection of the inner protocol."""

import contextlib

import anyio
import websockets
import websockets.asyncio.connection

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import codec
from tamaracktide.protocol import messages
from tamaracktide.protocol import settings as protocol_settings

MIN_PROTOCOL_VERSION = 1
GOODBYE_TIMEOUT_S = 1.0

_CLOSE_OK = 1000
_CLOSE_ERROR = 1002
_CLOSE_TOO_LARGE = 1009


class CountingSocket(websockets.asyncio.connection.Connection):
    """A WebSocket that counts the bytes it receives.

    Attributes:
        received_bytes: Bytes received, also of incomplete messages.
    """

    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Counts bytes as they arrive."""
        self.received_bytes += len(data)
        super().data_received(data)


class Connection:
    """Sends and receives typed messages over a WebSocket.

    Attributes:
        peer: First message of the peer.
        version: Negotiated protocol version.
        sent: Number of messages sent.
    """

    __slots__ = (
        "_complete_bytes",
        "_settings",
        "_socket",
        "peer",
        "sent",
        "version",
    )

    def __init__(
        self,
        socket: CountingSocket,
        settings: protocol_settings.InnerSettings,
    ) -> None:
        """Wraps an open WebSocket; `exchange_hello` must be called next."""
        self._socket = socket
        self._complete_bytes = 0
        self._settings = settings
        self.peer = messages.Hello(
            version=0, instance="", incarnation="", role="", zone=""
        )
        self.version = 0
        self.sent = 0

    @property
    def received_bytes(self) -> int:
        """Bytes received, also of incomplete messages."""
        return self._socket.received_bytes

    @property
    def pending_bytes(self) -> int:
        """Bytes received since the last message that was taken."""
        return self.received_bytes - self._complete_bytes

    async def send(self, message: messages.Message) -> None:
        """Sends one message.

        Raises:
            errors.ProtocolError: The connection is closed, or the message
                exceeds the size limit (`MESSAGE_TOO_LARGE`).
        """
        await self.send_encoded(
            codec.encode_message(message), type(message).__name__
        )

    async def send_encoded(self, data: bytes, name: str = "message") -> None:
        """Sends one message that is already encoded.

        Args:
            data: The encoded message.
            name: Its name in the error.

        Raises:
            errors.ProtocolError: As for `send`.
        """
        if len(data) > self._settings.max_message_bytes:
            raise errors.ProtocolError(
                result_codes.ResultCode.MESSAGE_TOO_LARGE,
                f"{name} of {len(data)} bytes exceeds "
                f"{self._settings.max_message_bytes}",
            )
        try:
            await self._socket.send(data)
            self.sent += 1
        except websockets.ConnectionClosed as error:
            raise self._make_closed_error(error) from error

    async def receive(self) -> messages.Message:
        """Returns the next message, skipping those of unknown numbers.

        Raises:
            errors.ProtocolError: The connection is closed, the peer sent a
                `Goodbye` (whose code the error has), or the peer sent a
                malformed message; the connection is then closed with the
                code of the error.
        """
        while True:
            data = await self._receive_bytes()
            self._complete_bytes = self.received_bytes
            try:
                message = codec.decode_message(data)
            except errors.ProtocolError as error:
                await self.close(error.code, error.detail)
                raise
            if isinstance(message, messages.Goodbye):
                await self._close_socket(_CLOSE_OK)
                raise _make_goodbye_error(message)
            if message is not None:
                return message

    async def close(
        self,
        code: result_codes.ResultCode = result_codes.ResultCode.OK,
        detail: str = "",
    ) -> None:
        """Sends a `Goodbye` with a code and closes; idempotent."""
        goodbye = messages.Goodbye(code=code, detail=detail)
        with (
            anyio.move_on_after(GOODBYE_TIMEOUT_S),
            contextlib.suppress(errors.ProtocolError),
        ):
            await self.send(goodbye)
        failed = code != result_codes.ResultCode.OK
        await self._close_socket(_CLOSE_ERROR if failed else _CLOSE_OK)

    async def exchange_hello(
        self, hello: messages.Hello, *, first: bool
    ) -> None:
        """Exchanges the first messages and negotiates the version.

        Args:
            hello: First message of this side.
            first: Whether this side sends first, as the client does.

        Raises:
            errors.ProtocolError: The peer does not respond in time, sends
                another message first or supports no common version; the
                connection is closed.
        """
        try:
            with anyio.fail_after(self._settings.handshake_timeout_s):
                await self._negotiate_version(hello, first=first)
        except TimeoutError as error:
            await self.close(result_codes.ResultCode.PEER_UNREACHABLE)
            raise errors.ProtocolError(
                result_codes.ResultCode.PEER_UNREACHABLE,
                "peer sent no Hello within the handshake timeout",
            ) from error
        except errors.ProtocolError as error:
            await self.close(error.code, error.detail)
            raise

    async def _negotiate_version(
        self, hello: messages.Hello, *, first: bool
    ) -> None:
        if first:
            await self.send(hello)
        peer = await self.receive()
        if not isinstance(peer, messages.Hello):
            raise errors.ProtocolError(
                result_codes.ResultCode.MALFORMED_MESSAGE,
                f"received {type(peer).__name__} before Hello",
            )
        version = min(hello.version, peer.version)
        if version < MIN_PROTOCOL_VERSION:
            raise errors.ProtocolError(
                result_codes.ResultCode.VERSION_MISMATCH,
                f"{peer.instance} supports version {peer.version}, minimum "
                f"supported is {MIN_PROTOCOL_VERSION}",
            )
        if not first:
            await self.send(hello)
        self.peer = peer
        self.version = version

    async def _receive_bytes(self) -> bytes:
        try:
            data = await self._socket.recv(decode=False)
        except websockets.ConnectionClosed as error:
            raise self._make_closed_error(error) from error
        return data

    async def _close_socket(self, code: int) -> None:
        with anyio.move_on_after(GOODBYE_TIMEOUT_S, shield=True):
            await self._socket.close(code)

    def _make_closed_error(
        self, error: websockets.ConnectionClosed
    ) -> errors.ProtocolError:
        close_frames = (error.sent, error.rcvd)
        if any(
            frame and frame.code == _CLOSE_TOO_LARGE for frame in close_frames
        ):
            return errors.ProtocolError(
                result_codes.ResultCode.MESSAGE_TOO_LARGE,
                f"message exceeds {self._settings.max_message_bytes} bytes",
            )
        return errors.ProtocolError(
            result_codes.ResultCode.PEER_UNREACHABLE,
            f"connection to {self.peer.instance or 'peer'} closed: {error}",
        )


def _make_goodbye_error(goodbye: messages.Goodbye) -> errors.ProtocolError:
    try:
        code = result_codes.ResultCode(goodbye.code)
    except ValueError:
        code = result_codes.ResultCode.PEER_UNREACHABLE
    return errors.ProtocolError(
        code,
        goodbye.detail
        or f"peer closed the connection with code {goodbye.code}",
    )
