"""Tests of the clients against bytes whose status is none, over loopback TCP.

Load pattern: a peer, the store or an upstream in trouble.
"""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc
import pytest

from tamaracktide import errors
from tamaracktide.object_api import calls as object_calls
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio

STATUSES = [b"000", b"001", b"099", b"600", b"999"]
SETTINGS = upstream_settings.UpstreamSettings()
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend() -> str:
    """The clients run on asyncio."""
    return "asyncio"


@contextlib.asynccontextmanager
async def run_peer(*answers: bytes) -> AsyncIterator[str]:
    """Runs a peer that answers the requests of a connection in turn.

    Yields:
        Its address.
    """

    async def handle(stream: anyio.abc.SocketStream) -> None:
        ended = anyio.EndOfStream, anyio.BrokenResourceError
        async with stream:
            with contextlib.suppress(*ended):
                for answer in answers:
                    await stream.receive()
                    await stream.send(answer)
                await stream.receive()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()


def make_foreign(status: bytes) -> bytes:
    """Returns bytes that are no response."""
    return b"HTTP/1.1 " + status + b" X\r\nContent-Length: 3\r\n\r\nbad"


def make_call(address: str, method: str = "GET") -> calls.Call:
    """Returns a call."""
    return calls.Call(method=method, address=address, target="/", timeout_s=2.0)


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("status", STATUSES)
async def test_stream_client_takes_no_such_status(
    status: bytes, method: str
) -> None:
    """Guards against foreign bytes in a response (MIXED)."""
    async with (
        run_peer(make_foreign(status) + SOUND) as address,
        streams.StreamClient(SETTINGS) as client,
    ):
        opened = await client.open(make_call(address, method))
    assert isinstance(opened, calls.Failure)
    assert opened.kind is calls.FailureKind.BROKEN


@pytest.mark.parametrize("status", STATUSES)
async def test_such_bytes_behind_a_response_end_its_connection(
    status: bytes,
) -> None:
    """Guards against a kept connection with the bytes of no response."""
    async with (
        run_peer(SOUND + make_foreign(status), SOUND) as address,
        streams.StreamClient(SETTINGS) as client,
    ):
        for _ in range(2):
            opened = await client.open(make_call(address))
            assert not isinstance(opened, calls.Failure)
            response = await opened.read_and_close(opened.max_answer_bytes)
            assert not isinstance(response, calls.Failure)
            assert (response.status, response.body) == (200, b"ok")


@pytest.mark.parametrize("status", STATUSES)
async def test_upstream_client_takes_no_such_status(status: bytes) -> None:
    """Guards against orders that such bytes seem to answer."""
    async with (
        run_peer(make_foreign(status) + SOUND) as address,
        calls.UpstreamClient(SETTINGS) as client,
    ):
        response = await client.send(make_call(address))
    assert isinstance(response, calls.Failure)


@pytest.mark.parametrize("status", STATUSES)
async def test_client_of_the_store_takes_no_such_status(status: bytes) -> None:
    """Guards against an era, or objects, of bytes that are no response."""
    taken: list[object_calls.Response] = []
    async with run_peer(make_foreign(status) + SOUND) as address:
        client = object_calls.HttpClient(
            platform_settings.PlatformSettings(address=address, timeout_s=2.0),
            taken.append,
        )
        try:
            with pytest.raises(errors.PlatformUnavailableError):
                await client.call("GET", "/")
        finally:
            await client.close()
    assert taken == []


@pytest.mark.parametrize("status", [b"100", b"103", b"199"])
async def test_interim_response_precedes_the_final_one(status: bytes) -> None:
    """Guards against refusals of what announces a response."""
    interim = b"HTTP/1.1 " + status + b" X\r\n\r\n"
    async with (
        run_peer(interim + SOUND) as address,
        streams.StreamClient(SETTINGS) as client,
    ):
        opened = await client.open(make_call(address))
        assert not isinstance(opened, calls.Failure)
        response = await opened.read_and_close(opened.max_answer_bytes)
    assert isinstance(response, calls.Response)
    assert response.body == b"ok"
