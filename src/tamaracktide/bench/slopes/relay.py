"""A TCP relay on loopback that counts the bytes it forwards."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc

CHUNK_BYTES = 65536
HOST = "127.0.0.1"


class Relay:
    """Forwards connections to one address.

    Attributes:
        up_bytes: Bytes forwarded to the address.
        down_bytes: Bytes forwarded back to the clients.
    """

    def __init__(self, address: str) -> None:
        """Creates a relay to `IP:PORT`."""
        self.up_bytes = 0
        self.down_bytes = 0
        self._host, _, self._port = address.rpartition(":")

    async def forward(self, client_stream: anyio.abc.SocketStream) -> None:
        """Forwards one connection until either side closes it."""
        async with (
            client_stream,
            await anyio.connect_tcp(
                self._host, int(self._port)
            ) as server_stream,
            anyio.create_task_group() as tasks,
        ):

            async def forward_upstream() -> None:
                async for chunk in client_stream:
                    self.up_bytes += len(chunk)
                    await server_stream.send(chunk)
                tasks.cancel_scope.cancel()

            tasks.start_soon(forward_upstream)
            async for chunk in server_stream:
                self.down_bytes += len(chunk)
                await client_stream.send(chunk)
            tasks.cancel_scope.cancel()

    async def handle(self, client_stream: anyio.abc.SocketStream) -> None:
        """Forwards one connection and ignores connection errors."""
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError, OSError
        ):
            await self.forward(client_stream)


@contextlib.asynccontextmanager
async def run_relay(address: str) -> AsyncIterator[tuple[str, Relay]]:
    """Runs a relay to an address while the context is open.

    Yields:
        The `IP:PORT` on which the relay listens, and the relay.
    """
    relay = Relay(address)
    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, relay.handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"{HOST}:{port}", relay
        tasks.cancel_scope.cancel()
