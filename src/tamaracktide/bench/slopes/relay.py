"""A TCP relay on loopback that counts the bytes it passes on."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc

CHUNK_BYTES = 65536
HOST = "127.0.0.1"


class Relay:
    """Passes connections on to one address.

    Attributes:
        up_bytes: Bytes passed towards the address.
        down_bytes: Bytes passed back.
    """

    def __init__(self, address: str) -> None:
        """Builds a relay to `IP:PORT`."""
        self.up_bytes = 0
        self.down_bytes = 0
        self._host, _, self._port = address.rpartition(":")

    async def pass_on(self, near: anyio.abc.SocketStream) -> None:
        """Serves one connection until either side ends it."""
        async with (
            near,
            await anyio.connect_tcp(self._host, int(self._port)) as far,
            anyio.create_task_group() as tasks,
        ):

            async def pass_up() -> None:
                async for chunk in near:
                    self.up_bytes += len(chunk)
                    await far.send(chunk)
                tasks.cancel_scope.cancel()

            tasks.start_soon(pass_up)
            async for chunk in far:
                self.down_bytes += len(chunk)
                await near.send(chunk)
            tasks.cancel_scope.cancel()

    async def handle(self, near: anyio.abc.SocketStream) -> None:
        """Serves one connection; a broken one ends quietly."""
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError, OSError
        ):
            await self.pass_on(near)


@contextlib.asynccontextmanager
async def run_relay(address: str) -> AsyncIterator[tuple[str, Relay]]:
    """Relays to an address while the context is open.

    Yields:
        The relay's own `IP:PORT` and the relay.
    """
    relay = Relay(address)
    listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, relay.handle)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"{HOST}:{port}", relay
        tasks.cancel_scope.cancel()
