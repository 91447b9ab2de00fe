"""Tests of the raw servers that other tests use."""

import asyncio
import socket

import anyio
import fleet_cluster
import pytest
import raw_servers

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Raw servers run on asyncio."""
    return "asyncio"


@pytest.mark.parametrize("sent", [b"", b"GET / HTTP/1.1\r\n\r\n"])
async def test_server_leaves_no_connection_open(sent: bytes) -> None:
    """Guards against sockets that are open after a test (KNOWN-RED 11).

    A caller connects as the test ends: its connection is idle, or its request
    is being answered.
    """

    async def respond(
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await anyio.sleep_forever()

    async with fleet_cluster.run_cluster() as cluster:
        async with raw_servers.run_server(cluster, "e1", respond) as server:
            port = cluster.servers["e1"].port
            caller = socket.create_connection((fleet_cluster.HOST, port))
            caller.sendall(sent)
            with anyio.fail_after(5.0):
                while not server.writers or (sent and not server.runs):
                    await anyio.sleep(0.01)
            accepted = [
                writer.get_extra_info("socket") for writer in server.writers
            ]
        caller.close()
        assert [opened.fileno() for opened in accepted] == [-1]
        assert not server.writers
