"""Tests of links between instances that are narrower than what they carry."""

import anyio
import narrow_links
import pytest

import deployment
from tamaracktide import errors
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings

pytestmark = pytest.mark.anyio

SETTINGS = protocol_settings.InnerSettings(
    token="secret",
    max_message_bytes=1 << 20,
    heartbeat_period_s=0.05,
    heartbeat_timeout_s=0.3,
)
HELLO = messages.Hello(
    version=1, instance="n1", incarnation="i1", role="entry", zone="z1"
)
HOST = "127.0.0.2"
LARGE = messages.TableReply(fetch_id="f", head=b"x" * 200_000)
MBIT_PER_S = 1.0
"""Carries the message in 1.6 s, five times the timeout."""


@pytest.fixture
def anyio_backend() -> str:
    """Instances run on asyncio."""
    return "asyncio"


async def test_link_in_the_middle_of_a_large_message_stays_open() -> None:
    """Guards against links closed while a message arrives (CONFIG)."""
    received: list[messages.Message] = []

    async def send_large(opened: connection.Connection) -> None:
        await opened.send(LARGE)
        await anyio.sleep_forever()

    async with narrow_links.run_network() as network:
        network.add(HOST, MBIT_PER_S)
        async with anyio.create_task_group() as tasks:
            address = f"{HOST}:{deployment.find_port()}"
            await tasks.start(
                server.serve, address, HELLO, send_large, SETTINGS
            )
            proxy = await network.connect("", address)
            opened = await client.open_connection(proxy, HELLO, SETTINGS)

            async def receive() -> None:
                received.append(await opened.receive())

            tasks.start_soon(receive)
            with pytest.raises(errors.ProtocolError):
                await heartbeats.keep_alive(opened, SETTINGS)
            tasks.cancel_scope.cancel()
    assert received == [LARGE]
