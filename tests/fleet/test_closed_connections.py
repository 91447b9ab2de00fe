"""Tests of what upstreams see of a connection that is closed within a response.

Load pattern: upstreams that keep a connection open for writing after its peer
has ended it, as servers on the streams of asyncio do, and are silent.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import sys

import anyio
import entry_instances
import fleet_cluster
import pytest

pytestmark = pytest.mark.anyio

CALLER = """
import sys
import anyio
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings
from tamaracktide.upstreams import streams

async def call():
    client = streams.StreamClient(settings.UpstreamSettings())
    await client.send(
        calls.Call(
            method="GET", address=sys.argv[1], target="/x", timeout_s=60.0
        )
    )

anyio.run(call)
"""
"""A process that sends a request and waits for the response."""

NOTICE_TIMEOUT_S = 5.0
"""Time for an upstream to notice a closed connection; a test of what it can
notice at all."""


LONG_TIMEOUT_MS = 60_000
"""Timeout of routes that does not end a request in a test."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


class HalfOpenServer:
    """Works on each request until its connection is lost.

    Attributes:
        begun: Number of requests that it has begun to work on.
        working: Connections of those that it still works on.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        self.begun = 0
        self.working: set[asyncio.BaseTransport] = set()

    def close(self) -> None:
        """Closes the connections of requests."""
        for transport in list(self.working):
            transport.close()


class Connection(asyncio.Protocol):
    """A connection to such a server.

    The end of its peer's bytes does not end it: the peer may still read.
    """

    def __init__(self, server: HalfOpenServer) -> None:
        """Starts without a request."""
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Begins to work on a request."""
        self._server.begun += 1
        self._server.working.add(self._transport)

    def eof_received(self) -> bool:
        """Keeps the connection of a request open for writing."""
        return self._transport in self._server.working

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops."""
        self._server.working.discard(self._transport)


@contextlib.asynccontextmanager
async def listen() -> AsyncIterator[tuple[HalfOpenServer, int]]:
    """Runs a half-open server; yields it and its port."""
    half_open = HalfOpenServer()
    listener = await asyncio.get_running_loop().create_server(
        lambda: Connection(half_open), fleet_cluster.HOST, 0
    )
    try:
        yield half_open, listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        half_open.close()


@contextlib.asynccontextmanager
async def run_server(
    cluster: fleet_cluster.Cluster,
) -> AsyncIterator[HalfOpenServer]:
    """Runs a half-open server of the plain service."""
    async with listen() as (half_open, port):
        server = fleet_cluster.Server("p0", port=port)
        cluster.servers[server.name] = server
        cluster.register(server)
        yield half_open


async def has_stopped(server: HalfOpenServer) -> bool:
    """Returns whether a server stops to work."""
    with anyio.move_on_after(NOTICE_TIMEOUT_S):
        while server.working:
            await anyio.sleep(0.01)
    return not server.working


async def wait_begun(server: HalfOpenServer) -> None:
    """Waits until a server works on a request."""
    while not server.begun:
        await anyio.sleep(0.01)


async def leave(
    instance: entry_instances.Instance, server: HalfOpenServer, path: str
) -> None:
    """Sends a request and leaves once the server works on it."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(instance.send, path, "r1")
        await wait_begun(server)
        tasks.cancel_scope.cancel()


def make_request(request_id: str) -> bytes:
    """Returns a request of a client."""
    lines = (
        "GET /safe/x HTTP/1.1",
        "Host: h.example",
        f"X-Request-Id: {request_id}",
        "",
        "",
    )
    return "\r\n".join(lines).encode()


@pytest.mark.parametrize("path", ["/once/x", "/safe/x"])
async def test_upstream_stops_as_the_client_leaves(path: str) -> None:
    """Guards against work that goes on after the client has left (GONE).

    A close that is no reset tells an upstream only that no more is sent.
    """
    async with (
        fleet_cluster.run_cluster() as cluster,
        run_server(cluster) as server,
        entry_instances.run_instance(cluster) as instance,
    ):
        await leave(instance, server, path)
        result = await has_stopped(server)
    assert result


@pytest.mark.parametrize("count", [2, 3])
async def test_upstream_stops_as_a_pipelining_client_leaves(count: int) -> None:
    """Guards against a client that leaves unnoticed (GONE).

    It has sent its next requests before the first one is answered. Those are
    not begun.
    """
    document = fleet_cluster.make_document()
    for route in document["Routes"]:
        route["TimeoutMs"] = LONG_TIMEOUT_MS
    async with (
        fleet_cluster.run_cluster() as cluster,
        run_server(cluster) as server,
    ):
        cluster.store.put("config", "main", document)
        await check_pipelining_client_leaves(cluster, server, count)


async def check_pipelining_client_leaves(
    cluster: fleet_cluster.Cluster, server: HalfOpenServer, count: int
) -> None:
    """Sends requests on one connection and leaves during the first one."""
    async with entry_instances.run_instance(cluster) as instance:
        host, _, port = instance.settings.caller_address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as client:
            for number in range(count):
                await client.send(make_request(f"r{number}"))
                await wait_begun(server)
        result = await has_stopped(server)
    assert result
    assert server.begun == 1


async def test_upstream_stops_as_another_one_takes_over() -> None:
    """Guards against two upstreams that work on one request (TWICE)."""
    async with (
        fleet_cluster.run_cluster() as cluster,
        run_server(cluster) as server,
    ):
        await cluster.add_server(fleet_cluster.Server("p1"))
        async with entry_instances.run_instance(cluster) as instance:
            await instance.send_at_once(4, "r")
            assert server.begun
            result = await has_stopped(server)
    assert result


async def test_upstream_stops_as_the_process_ends() -> None:
    """Guards against work for a process that has ended by itself (TWICE)."""
    async with listen() as (server, port):
        address = f"{fleet_cluster.HOST}:{port}"
        async with await anyio.open_process(
            [sys.executable, "-c", CALLER, address]
        ) as process:
            await wait_begun(server)
            process.kill()
            await process.wait()
        result = await has_stopped(server)
    assert result
