"""What the gateway needs of the tables and the instance list."""

from collections.abc import Mapping
from typing import Protocol

from tamaracktide.core import tables


class TablesSource(Protocol):
    """Holds the tables in force."""

    @property
    def tables(self) -> tables.Tables:
        """The newest snapshot."""
        ...

    def offer_head(self, data: bytes) -> bool:
        """Takes a head from a peer; returns whether it is newer."""
        ...

    def offer_shards(self, shards: Mapping[str, bytes]) -> None:
        """Takes shards from a peer."""
        ...

    def list_missing_shards(self) -> list[str]:
        """Returns the hashes that the newest head still lacks."""
        ...


class Instance(Protocol):
    """An entry of the instance list."""

    @property
    def id(self) -> str:
        """Instance id."""
        ...

    @property
    def role(self) -> str:
        """`gateway`, `scheduler`, `engine` or `service`."""
        ...

    @property
    def zone(self) -> str:
        """Availability zone."""
        ...

    @property
    def address(self) -> str:
        """`IP:PORT` of its HTTP."""
        ...

    @property
    def inner_address(self) -> str:
        """`IP:PORT` of the inner protocol, empty where there is none."""
        ...

    @property
    def state(self) -> str:
        """`live` or `leaving`."""
        ...


class InstanceSource(Protocol):
    """Reads the instance list."""

    async def list(self) -> tuple[Instance, ...]:
        """Returns all instances.

        Raises:
            errors.PlatformUnavailableError: No certain answer came.
        """
        ...
