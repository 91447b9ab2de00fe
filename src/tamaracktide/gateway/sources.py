"""Interfaces to the tables and the instance list."""

from collections.abc import Mapping
from typing import Protocol

from tamaracktide.core import tables


class TablesSource(Protocol):
    """Provides the current tables and accepts newer ones from peers."""

    @property
    def tables(self) -> tables.Tables:
        """The latest complete snapshot."""
        ...

    def offer_head(self, data: bytes) -> bool:
        """Offers a head received from a peer; returns whether it is newer."""
        ...

    def offer_shards(self, shards: Mapping[str, bytes]) -> None:
        """Offers shards received from a peer."""
        ...

    def list_missing_shards(self) -> list[str]:
        """Returns the hashes of the latest head's missing shards."""
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
        """`IP:PORT` of its HTTP server."""
        ...

    @property
    def inner_address(self) -> str:
        """`IP:PORT` of its inner protocol; empty if it has none."""
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
            errors.PlatformUnavailableError: The platform gave no definite
                response.
        """
        ...
