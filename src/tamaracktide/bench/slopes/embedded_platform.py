"""The stand-in platform inside this process, with its rate limits enabled."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
import httpcore
import msgspec

from tamaracktide.object_api import objects
from tamaracktide.object_api import settings as client_settings
from tamaracktide.standins.platform import app
from tamaracktide.standins.platform import limits
from tamaracktide.standins.platform import settings as platform_settings
from tamaracktide.standins.service import server
from tamaracktide.standins.service import web

TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """A running platform.

    Attributes:
        address: The `IP:PORT` on which the platform serves.
    """

    address: str

    @contextlib.asynccontextmanager
    async def open_clients(
        self, count: int
    ) -> AsyncIterator[list[objects.ObjectClient]]:
        """Opens clients, each with its own connections.

        Yields:
            The clients; they are closed when the context ends.
        """
        clients = [
            objects.ObjectClient(
                client_settings.PlatformSettings(
                    address=self.address, timeout_s=TIMEOUT_S
                )
            )
            for _ in range(count)
        ]
        try:
            yield clients
        finally:
            for client in clients:
                with anyio.CancelScope(shield=True):
                    await client.close()

    async def read_counters(self) -> limits.Counters:
        """Returns the counters of the calls that the platform has received."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                "GET", f"http://{self.address}/admin/counters"
            )
        return msgspec.json.decode(response.content, type=limits.Counters)


@contextlib.asynccontextmanager
async def run_platform() -> AsyncIterator[Platform]:
    """Serves an empty platform while the context is open.

    Yields:
        The platform.
    """
    settings = platform_settings.PlatformSettings(address="127.0.0.1:0")
    platform_app = app.Platform(settings, anyio.current_time())
    async with server.run_embedded(
        web.make_app(platform_app.handle)
    ) as address:
        yield Platform(address)
