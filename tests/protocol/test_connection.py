"""Tests of connections: handshake, limits, `Goodbye` and heartbeats."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
import anyio.abc
import pytest
import websockets.asyncio.client

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import client
from tamaracktide.protocol import connection
from tamaracktide.protocol import heartbeats
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings

pytestmark = pytest.mark.anyio

SETTINGS = protocol_settings.InnerSettings(
    token="secret", max_message_bytes=4096, heartbeat_period_s=0.02
)
HELLO = messages.Hello(
    version=1, instance="s1", incarnation="i1", role="scheduler", zone="z1"
)


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_server(
    handler: server.Handler,
    hello: messages.Hello = HELLO,
    settings: protocol_settings.InnerSettings | None = None,
) -> AsyncIterator[str]:
    """Runs a server and yields its address."""
    async with anyio.create_task_group() as group:
        address = await group.start(
            server.serve, "127.0.0.1:0", hello, handler, settings or SETTINGS
        )
        yield address
        group.cancel_scope.cancel()


async def echo(opened: connection.Connection) -> None:
    """Sends every message back."""
    while True:
        await opened.send(await opened.receive())


async def test_hellos_are_exchanged_and_the_lower_version_is_used() -> None:
    """A newer client uses the version of the server."""
    newer_hello = dataclasses.replace(HELLO, version=7, instance="g1")
    async with run_server(echo) as address:
        opened = await client.open_connection(address, newer_hello, SETTINGS)
        assert (opened.peer, opened.version) == (HELLO, 1)
        heartbeat = messages.Heartbeat(sequence=3)
        await opened.send(heartbeat)
        assert await opened.receive() == heartbeat
        await opened.close()


async def expect_error(opening: object, code: result_codes.ResultCode) -> None:
    """Asserts that an awaitable fails with a coded protocol error."""
    with pytest.raises(errors.ProtocolError) as caught:
        await opening  # type: ignore[misc]
    assert caught.value.code == code


async def test_unsupported_version_is_rejected_with_its_code() -> None:
    """A peer below the minimum version receives a `Goodbye` with a code."""
    old_hello = dataclasses.replace(HELLO, version=0)
    async with run_server(echo) as address:
        await expect_error(
            client.open_connection(address, old_hello, SETTINGS),
            result_codes.ResultCode.VERSION_MISMATCH,
        )


async def test_connection_opens_with_an_empty_token() -> None:
    """Processes of a deployment without a token can connect.

    The trailing space of `Bearer ` is lost in transit if the token is empty, so
    entry instances rejected each other.
    """
    open_settings = dataclasses.replace(SETTINGS, token="")
    async with run_server(echo, settings=open_settings) as address:
        opened = await client.open_connection(address, HELLO, open_settings)
        await opened.close()


async def test_wrong_token_is_refused() -> None:
    """A process without the token of the deployment is rejected."""
    wrong_token_settings = dataclasses.replace(SETTINGS, token="other")
    async with run_server(echo) as address:
        await expect_error(
            client.open_connection(address, HELLO, wrong_token_settings),
            result_codes.ResultCode.UNAUTHENTICATED,
        )


async def test_closed_port_is_unreachable() -> None:
    """A refused connection gives `PEER_UNREACHABLE`."""
    await expect_error(
        client.open_connection("127.0.0.1:1", HELLO, SETTINGS),
        result_codes.ResultCode.PEER_UNREACHABLE,
    )


async def test_malformed_frame_is_closed_with_its_code() -> None:
    """The sender of malformed data receives `MALFORMED_MESSAGE`."""
    headers = {"Authorization": "Bearer secret"}
    async with run_server(echo) as address:
        socket = await websockets.asyncio.client.connect(
            f"ws://{address}/",
            additional_headers=headers,
            proxy=None,
            create_connection=client.ClientSocket,
        )
        assert isinstance(socket, client.ClientSocket)
        opened = connection.Connection(socket, SETTINGS)
        await socket.send(b"\xff")
        await expect_error(
            opened.receive(), result_codes.ResultCode.MALFORMED_MESSAGE
        )


async def test_oversized_message_is_refused_on_both_sides() -> None:
    """The limits of the sender and of the receiver are both enforced."""
    large_limit_settings = dataclasses.replace(
        SETTINGS, max_message_bytes=1 << 20
    )
    large = messages.Goodbye(code=1, detail="x" * 5000)
    code = result_codes.ResultCode.MESSAGE_TOO_LARGE
    async with run_server(echo) as address:
        opened = await client.open_connection(address, HELLO, SETTINGS)
        await expect_error(opened.send(large), code)
        await opened.close()
        opened = await client.open_connection(
            address, HELLO, large_limit_settings
        )
        await opened.send(messages.TableReply(fetch_id="f", head=b"x" * 5000))
        await expect_error(opened.receive(), code)


async def test_connection_to_an_unresponsive_peer_is_closed() -> None:
    """A connection whose peer sends nothing is closed after the timeout."""

    async def send_nothing(opened: connection.Connection) -> None:
        await anyio.sleep(5)

    short_timeout_settings = dataclasses.replace(
        SETTINGS, heartbeat_timeout_s=0.1
    )
    async with run_server(send_nothing) as address:
        opened = await client.open_connection(
            address, HELLO, short_timeout_settings
        )
        await expect_error(
            heartbeats.keep_alive(opened, short_timeout_settings),
            result_codes.ResultCode.PEER_UNREACHABLE,
        )


def test_own_pause_does_not_time_out_the_peer() -> None:
    """The time between two updates counts as two periods at most."""
    inactivity = heartbeats.InactivityTimer(SETTINGS, 0.0)
    assert not inactivity.update(1, 0.02)
    assert not inactivity.update(1, 500.0)
    assert inactivity.seconds == 2 * SETTINGS.heartbeat_period_s
    assert not inactivity.update(2, 500.1)
    assert inactivity.seconds == 0.0


class BusyConnection:
    """A connection whose message counts increase with each access.

    Attributes:
        heartbeats_sent: Number of heartbeats sent.
        peer: First message of the peer.
    """

    def __init__(self) -> None:
        """Creates a connection without messages."""
        self.heartbeats_sent = 0
        self.peer = HELLO
        self._count = 0

    @property
    def sent(self) -> int:
        """Number of messages sent."""
        self._count += 1
        return self._count

    received_bytes = sent

    async def send(self, message: messages.Message) -> None:
        """Counts a heartbeat as sent."""
        self.heartbeats_sent += 1

    async def close(
        self, code: result_codes.ResultCode, detail: str = ""
    ) -> None:
        """Fails the test, as a connection in use is never closed."""
        raise AssertionError(detail)


async def test_connection_in_use_sends_heartbeats_only_for_loads() -> None:
    """Other messages replace heartbeats, except for those with loads."""
    load = messages.CellLoad(
        pool="p", zone="z", running=0, capacity=1, waiting=0
    )
    load_reads = 0

    def read_loads() -> tuple[messages.CellLoad, ...]:
        nonlocal load_reads
        load_reads += 1
        return (load,) if load_reads == 3 else ()

    short_timeout_settings = dataclasses.replace(
        SETTINGS, heartbeat_period_s=0.001
    )
    opened = BusyConnection()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            heartbeats.keep_alive, opened, short_timeout_settings, read_loads
        )
        with anyio.fail_after(10.0):
            while load_reads < 6:
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()
    assert opened.heartbeats_sent == 1


async def test_cancelled_server_has_closed_its_connections() -> None:
    """Guards against connections that stay open after their server has ended.

    One peer has completed its handshake, one has not begun it.
    """
    before = asyncio.all_tasks()
    async with run_server(echo) as address:
        opened = await client.open_connection(address, HELLO, SETTINGS)
        host, _, port = address.rpartition(":")
        silent = await anyio.connect_tcp(host, int(port))
        await anyio.wait_all_tasks_blocked()
    left = asyncio.all_tasks() - before
    assert not left
    with pytest.raises(errors.ProtocolError):
        await opened.receive()
    await silent.aclose()
