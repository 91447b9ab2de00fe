"""Tests of responses of the platform that arrive slowly.

Load pattern: a listing of one megabyte over a link of a few megabits a second,
which takes longer than the timeout of a call.
"""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc
import pytest

import deployment
from tamaracktide import errors
from tamaracktide.object_api import calls
from tamaracktide.object_api import settings as object_settings

pytestmark = pytest.mark.anyio

TIMEOUT_S = 0.4
PART_PERIOD_S = 0.1
PARTS = 12
PART = b"x" * 25_000
"""Twice the minimum rate."""


@pytest.fixture
def anyio_backend() -> str:
    """The client runs on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_platform(
    parts: int, part: bytes
) -> AsyncIterator[calls.HttpClient]:
    """Runs a platform that sends some parts of a body, and yields a client."""
    size = len(part) * PARTS

    async def respond(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
            )
            with contextlib.suppress(anyio.BrokenResourceError):
                for _ in range(parts):
                    await stream.send(part)
                    await anyio.sleep(PART_PERIOD_S)
                await anyio.sleep_forever()

    port = deployment.find_port()
    listener = await anyio.create_tcp_listener(
        local_host=deployment.HOST, local_port=port
    )
    client = calls.HttpClient(
        object_settings.PlatformSettings(
            address=f"{deployment.HOST}:{port}", timeout_s=TIMEOUT_S
        )
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, respond)
        yield client
        await client.close()
        tasks.cancel_scope.cancel()


async def test_body_that_keeps_arriving_outlasts_the_timeout() -> None:
    """Guards against documents that narrow links never read (CONFIG)."""
    sizes: list[int] = []
    async with run_platform(PARTS, PART) as client:
        response = await client.call("GET", "/x", on_bytes=sizes.append)
    assert response.body == PART * PARTS
    assert sum(sizes) == len(response.body)


async def test_body_that_stops_ends_the_call() -> None:
    """The error says how much had arrived."""
    async with run_platform(PARTS // 2, PART) as client:
        with (
            anyio.fail_after(PARTS * PART_PERIOD_S + TIMEOUT_S),
            pytest.raises(errors.PlatformUnavailableError) as caught,
        ):
            await client.call("GET", "/x")
    assert f"after {len(PART) * PARTS // 2} bytes" in caught.value.detail


async def test_body_below_the_minimum_rate_ends_the_call() -> None:
    """Single bytes would keep a call open for ever."""
    async with run_platform(PARTS, b"x") as client:
        with (
            anyio.fail_after(PARTS * PART_PERIOD_S),
            pytest.raises(errors.PlatformUnavailableError),
        ):
            await client.call("GET", "/x")
