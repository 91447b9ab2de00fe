"""Cuts single entry instances off from the upstreams of the tests."""

import asyncio
from collections.abc import Iterable
import enum

import anyio
import fleet_cluster
import httpcore

from tamaracktide.upstreams import network


class Cut(enum.Enum):
    """How the connections to upstreams behave.

    Attributes:
        NONE: They work.
        RESET: Open ones are reset, new ones are refused.
        SILENT: Neither open nor new ones get an answer.
        REFUSED: Open ones live on, new ones are refused.
    """

    NONE = "none"
    RESET = "reset"
    SILENT = "silent"
    REFUSED = "refused"


class Backend(network.Backend):
    """Opens connections of one instance, which can be cut off."""

    def __init__(self, cluster: fleet_cluster.Cluster) -> None:
        """Starts without a cut."""
        self._cluster = cluster
        self._cut = Cut.NONE
        self._transports: list[asyncio.Transport] = []

    def set_cut(self, cut: Cut) -> None:
        """Begins or ends a cut from all servers."""
        self._cut = cut
        for transport in self._transports:
            match cut:
                case Cut.RESET:
                    transport.abort()
                case Cut.SILENT:
                    transport.pause_reading()
                case Cut.NONE | Cut.REFUSED:
                    pass
        if cut is Cut.NONE:
            self._transports.clear()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> network.Stream:
        """Opens a connection, unless it is one to a server that is cut off."""
        servers = self._cluster.servers.values()
        if port not in {server.port for server in servers}:
            return await super().connect_tcp(host, port, timeout)
        match self._cut:
            case Cut.RESET | Cut.REFUSED:
                error = ConnectionRefusedError(111, "cut")
                raise httpcore.ConnectError(str(error)) from error
            case Cut.SILENT:
                await anyio.sleep(timeout or float("inf"))
                raise httpcore.ConnectTimeout("cut")
            case Cut.NONE:
                stream = await super().connect_tcp(host, port, timeout)
                self._transports.append(stream._transport)
                return stream
