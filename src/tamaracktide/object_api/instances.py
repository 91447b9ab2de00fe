"""Client of the instance list, which may be out of date."""

import dataclasses
from typing import Literal

from tamaracktide.object_api import calls
from tamaracktide.object_api import settings as platform_settings


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """An entry of the instance list.

    Attributes:
        id: Instance id.
        role: `gateway`, `scheduler`, `engine` or `service`.
        zone: Availability zone.
        address: `IP:PORT` of its HTTP server.
        inner_address: `IP:PORT` of its inner protocol; empty for none.
        state: `live` or `leaving`.
    """

    id: str
    role: str
    zone: str
    address: str
    inner_address: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListing:
    """The instance list at one version.

    Attributes:
        version: Increases with each change of the list.
        instances: All instances.
    """

    version: int
    instances: tuple[Instance, ...]


class InstanceClient:
    """Fetches the instance list."""

    def __init__(self, settings: platform_settings.PlatformSettings) -> None:
        """Creates a client without opening connections."""
        self._http_client = calls.HttpClient(settings)

    async def close(self) -> None:
        """Closes all connections."""
        await self._http_client.close()

    async def list(self) -> tuple[Instance, ...]:
        """Returns the instances that the platform currently lists.

        Raises:
            errors.PlatformUnavailableError: No conclusive response was
                received.
        """
        return (await self.read()).instances

    async def read(self) -> InstanceListing:
        """Returns the instance list with its version.

        Raises:
            errors.PlatformUnavailableError: No conclusive response was
                received.
        """
        response = await self._http_client.call("GET", "/instances")
        return calls.decode_body(response, InstanceListing)
