"""Tests of streams without framing whose engine is killed between two events.

Load pattern: responses with neither a length nor chunks. The kernel of a killed
process ends its connections without a reset, as that of one that is done.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

import entry_instances
import fleet_cluster
import httpcore
import pytest
import raw_upstreams

pytestmark = pytest.mark.anyio

EVENTS = 10
"""Events of a complete stream."""

EVENTS_BEFORE_KILL = 3
REQUEST_ID = "r1"
HEAD = b"""HTTP/1.1 200 OK\r
X-Request-Id: %s\r
X-Response-Signature: 1.2.3\r
Content-Type: text/event-stream\r
\r
"""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


class KilledEngine(asyncio.Protocol):
    """A connection to an engine that is killed within its first stream."""

    def __init__(self, kill: Callable[[], None]) -> None:
        """Starts without a request.

        Args:
            kill: Closes the listening socket of the engine.
        """
        self._kill = kill

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers a call with 404, and a request with a part of its stream."""
        if data.startswith(b"GET"):
            self._transport.write(raw_upstreams.make_response(404))
            return
        self._transport.write(HEAD % REQUEST_ID.encode())
        for number in range(1, EVENTS_BEFORE_KILL + 1):
            self._transport.write(b"id: %d\ndata: t\n\n" % number)
        self._kill()
        self._transport.close()


@contextlib.asynccontextmanager
async def run_killed_engine(
    cluster: fleet_cluster.Cluster,
) -> AsyncIterator[None]:
    """Runs an engine that is killed within its first stream."""
    listener: asyncio.Server = await asyncio.get_running_loop().create_server(
        lambda: KilledEngine(listener.close), fleet_cluster.HOST, 0
    )
    port = listener.sockets[0].getsockname()[1]
    server = fleet_cluster.Server("e1", slots=3, port=port, adapters={"a1": 1})
    cluster.servers[server.name] = server
    cluster.register(server)
    try:
        yield
    finally:
        listener.close()


async def test_stream_of_a_killed_engine_does_not_look_complete() -> None:
    """Guards against a stream that ends before its last event (ORDER)."""
    events = EVENTS
    async with (
        fleet_cluster.run_cluster() as cluster,
        run_killed_engine(cluster),
    ):
        await cluster.add_server(
            fleet_cluster.Server(
                "e2", slots=3, adapters={"a1": 1}, events=EVENTS
            ),
            "z2",
        )
        async with entry_instances.run_instance(cluster) as instance:
            with contextlib.suppress(httpcore.RemoteProtocolError):
                response = await instance.generate(REQUEST_ID)
                events = response.content.count(b"\n\n")
    assert events == EVENTS
