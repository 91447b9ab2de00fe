"""Tests of platform responses without end, over loopback TCP."""

import anyio
import anyio.abc
import pytest

from tamaracktide import errors
from tamaracktide.object_api import objects
from tamaracktide.object_api import settings as platform_settings

pytestmark = pytest.mark.anyio

MAX_ANSWER_BYTES = 64 << 10
MAX_SENT_BYTES = 32 << 20
"""Bytes after which the platform closes: more than the sockets take."""

PIECE = b"x" * 8192
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
STARTS = {
    "body": STATUS_LINE + b"ETag: 1\r\n\r\n",
    "body of a failure": b"HTTP/1.1 500 No\r\n\r\n",
    "header": STATUS_LINE + b"X-Note: ",
}


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


@pytest.mark.parametrize("name", list(STARTS))
async def test_endless_answer_is_given_up(name: str) -> None:
    """Guards against a process that ends over its memory (issue 44)."""
    closed = anyio.Event()

    async def handle(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            try:
                await stream.send(STARTS[name])
                for _ in range(MAX_SENT_BYTES // len(PIECE)):
                    await stream.send(PIECE)
            except anyio.BrokenResourceError:
                closed.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client = objects.ObjectClient(
        platform_settings.PlatformSettings(
            address=f"127.0.0.1:{port}",
            timeout_s=20.0,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        with pytest.raises(errors.PlatformUnavailableError):
            await client.read("t/x")
        with anyio.fail_after(5.0):
            await closed.wait()
        tasks.cancel_scope.cancel()
    await client.close()
