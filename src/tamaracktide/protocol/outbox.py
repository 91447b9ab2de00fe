"""Queue of outgoing messages, for callers that cannot block."""

import anyio

from tamaracktide.protocol import connection
from tamaracktide.protocol import messages


class Outbox:
    """A bounded FIFO queue of messages to send on a connection."""

    __slots__ = ("_connection", "_receive", "_send")

    def __init__(self, opened: connection.Connection, max_queued: int) -> None:
        """Creates an empty queue; `run` sends the messages."""
        self._connection = opened
        self._send, self._receive = anyio.create_memory_object_stream[
            messages.Message | bytes
        ](max_queued)

    def put(self, message: messages.Message | bytes) -> bool:
        """Queues a message; returns False if the queue is full or closed.

        A message for several connections can be encoded once by
        `codec.encode_message` and queued as bytes.
        """
        try:
            self._send.send_nowait(message)
        except (
            anyio.WouldBlock,
            anyio.ClosedResourceError,
            anyio.BrokenResourceError,
        ):
            return False
        return True

    def close(self) -> None:
        """Discards queued messages; later messages are rejected."""
        self._send.close()
        self._receive.close()

    async def run(self) -> None:
        """Sends queued messages until cancelled.

        Raises:
            errors.ProtocolError: The connection closed.
        """
        async for message in self._receive:
            if isinstance(message, bytes):
                await self._connection.send_encoded(message)
            else:
                await self._connection.send(message)
