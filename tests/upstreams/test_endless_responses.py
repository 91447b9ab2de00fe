"""Tests of responses whose boundary never arrives, over loopback TCP.

Load pattern: an upstream sends the same bytes again and again, until its caller
closes the connection.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import tracemalloc

import anyio
import anyio.abc
import pytest

from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio

MAX_PENDING_BYTES = 128 << 10
MAX_ANSWER_BYTES = 1 << 20
SETTINGS = upstream_settings.UpstreamSettings(
    max_pending_bytes=MAX_PENDING_BYTES, max_answer_bytes=MAX_ANSWER_BYTES
)
MAX_SENT_BYTES = 32 << 20
"""Bytes after which an upstream closes the connection itself: more than the
buffers of the sockets take."""

MAX_MEMORY_BYTES = 3 << 20
"""Memory of one response within the bounds, and of the buffers of both sides.
Without a bound, all that the upstream sends is held."""

RESPONSES = 12
MAX_TOGETHER_BYTES = 9 << 20
"""Memory of that many responses within the bound of all, and of the buffers of
their connections, 640 KiB each."""

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"

ENDLESS_HEADS = {
    "headers": (STATUS_LINE, b"X-Note: n\r\n" * 512),
    "short headers": (STATUS_LINE, b"a:\r\n" * 2048),
    "name of a header": (STATUS_LINE, b"n" * 8192),
    "value of a header": (STATUS_LINE + b"X-Note: ", b"n" * 8192),
    "reason of a status": (b"HTTP/1.1 200 ", b"n" * 8192),
    "blank lines": (b"", b"\r\n" * 4096),
    "interim responses": (b"", INTERIM * 256),
}
ENDLESS_BODIES = {
    "chunk extension": (CHUNKED + b"1;", b"n" * 8192),
    "chunk size": (CHUNKED, b"0" * 8192),
    "trailers": (CHUNKED + b"0\r\n", b"X-Note: n\r\n" * 512),
    "trailer": (CHUNKED + b"0\r\nX-Note: ", b"n" * 8192),
    "chunks": (CHUNKED, b"1000\r\n" + b"n" * 0x1000 + b"\r\n"),
    "body": (STATUS_LINE + b"\r\n", b"n" * 8192),
}


@pytest.fixture
def anyio_backend() -> str:
    """The streams use asyncio."""
    return "asyncio"


class EndlessUpstream:
    """Answers every request with a start and then one piece repeatedly.

    Without a piece, it waits for the next request.

    Attributes:
        address: Its address.
        connections: Number of accepted connections.
        closed: Set when a caller has closed its connection.
    """

    def __init__(self, start: bytes, piece: bytes) -> None:
        """Uses the bytes of a response."""
        self.address = ""
        self.connections = 0
        self.closed = anyio.Event()
        self._start = start
        self._piece = piece

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves a connection until its caller closes it."""
        self.connections += 1
        async with stream:
            try:
                await stream.receive()
                await stream.send(self._start or self._piece)
                while not self._piece:
                    await stream.receive()
                    await stream.send(self._start)
                for _ in range(MAX_SENT_BYTES // len(self._piece)):
                    await stream.send(self._piece)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                self.closed.set()


@contextlib.asynccontextmanager
async def run_upstream(
    start: bytes, piece: bytes
) -> AsyncIterator[EndlessUpstream]:
    """Runs an upstream on loopback."""
    upstream = EndlessUpstream(start, piece)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    upstream.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, upstream.handle)
        yield upstream
        tasks.cancel_scope.cancel()


def make_call(upstream: EndlessUpstream) -> calls.Call:
    """Returns a call to an upstream."""
    return calls.Call(
        method="GET", address=upstream.address, target="/x", timeout_s=5.0
    )


@contextlib.contextmanager
def check_memory(max_bytes: int = MAX_MEMORY_BYTES) -> Iterator[None]:
    """Checks the memory that is allocated at a time."""
    tracemalloc.start()
    try:
        yield
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < max_bytes


@pytest.mark.parametrize("name", [*ENDLESS_HEADS, *ENDLESS_BODIES])
async def test_endless_response_is_given_up(name: str) -> None:
    """Guards against a process that ends over its memory (review, case 5)."""
    start, piece = {**ENDLESS_HEADS, **ENDLESS_BODIES}[name]
    async with (
        run_upstream(start, piece) as upstream,
        streams.StreamClient(SETTINGS) as client,
    ):
        with check_memory():
            failure = await client.send(make_call(upstream))
        assert isinstance(failure, calls.Failure)
        assert failure.kind is calls.FailureKind.TOO_LARGE
        assert failure.may_have_run
        with anyio.fail_after(5.0):
            await upstream.closed.wait()
        assert client.count_idle(upstream.address) == 0


@pytest.mark.parametrize("name", list(ENDLESS_HEADS))
async def test_endless_head_names_the_bound(name: str) -> None:
    """Operators see which setting was exceeded, and by what."""
    async with (
        run_upstream(*ENDLESS_HEADS[name]) as upstream,
        streams.StreamClient(SETTINGS) as client,
    ):
        failure = await client.open(make_call(upstream))
        assert isinstance(failure, calls.Failure)
        assert str(MAX_PENDING_BYTES) in failure.detail
        assert "headers" in failure.detail


@pytest.mark.parametrize("name", [*ENDLESS_HEADS, *ENDLESS_BODIES])
async def test_endless_response_to_a_pooled_call_is_given_up(name: str) -> None:
    """Guards against a call that never ends (issue 44).

    What h11 bounds or refuses itself is a broken response.
    """
    start, piece = {**ENDLESS_HEADS, **ENDLESS_BODIES}[name]
    async with (
        run_upstream(start, piece) as upstream,
        calls.UpstreamClient(SETTINGS) as client,
    ):
        with check_memory():
            failure = await client.send(make_call(upstream))
        assert isinstance(failure, calls.Failure)
        assert failure.may_have_run
        with anyio.fail_after(5.0):
            await upstream.closed.wait()


async def test_endless_interim_responses_to_a_pooled_call_name_the_bound() -> (
    None
):
    """Operators see which setting was exceeded, and by what."""
    async with (
        run_upstream(*ENDLESS_HEADS["interim responses"]) as upstream,
        calls.UpstreamClient(SETTINGS) as client,
    ):
        failure = await client.send(make_call(upstream))
        assert isinstance(failure, calls.Failure)
        assert failure.kind is calls.FailureKind.TOO_LARGE
        assert str(MAX_PENDING_BYTES) in failure.detail


async def test_pooled_connection_counts_each_head() -> None:
    """A connection is reused for responses beyond the bound together."""
    body = b"n" * (MAX_PENDING_BYTES // 2)
    response = STATUS_LINE + b"Content-Length: %d\r\n\r\n" % len(body) + body
    async with (
        run_upstream(response, b"") as upstream,
        calls.UpstreamClient(SETTINGS) as client,
    ):
        for _ in range(8):
            received = await client.send(make_call(upstream))
            assert isinstance(received, calls.Response)
            assert received.body == body
        assert upstream.connections == 1


async def test_head_and_body_within_the_bounds_are_received() -> None:
    """Bytes of the body do not count with those of the head."""
    note = b"X-Note: %s\r\n" % (b"n" * 60_000)
    length = b"Content-Length: %d\r\n\r\n" % (MAX_ANSWER_BYTES - 8192)
    start = STATUS_LINE + note + length
    async with (
        run_upstream(start, b"n" * 8192) as upstream,
        streams.StreamClient(SETTINGS) as client,
    ):
        response = await client.send(make_call(upstream))
        assert isinstance(response, calls.Response)
        assert len(response.body) == MAX_ANSWER_BYTES - 8192
        assert len(dict(response.headers)[b"x-note"]) == 60_000


async def test_long_response_of_short_chunks_is_received() -> None:
    """The framing of a response does not add up over its chunks."""
    chunks = 20_000
    body = CHUNKED + b"1;note=n\r\nn\r\n" * chunks + b"0\r\n\r\n"
    async with (
        run_upstream(body, b"") as upstream,
        streams.StreamClient(SETTINGS) as client,
    ):
        response = await client.send(make_call(upstream))
        assert isinstance(response, calls.Response)
        assert response.body == b"n" * chunks


async def test_endless_bodies_together_are_bounded() -> None:
    """Guards against a process that ends over its memory (review, case 5).

    Each of the bodies alone would be within its bound for longer.
    """
    settings = upstream_settings.UpstreamSettings(
        max_pending_bytes=MAX_PENDING_BYTES,
        max_answer_bytes=8 << 20,
        max_total_answer_bytes=1 << 20,
    )
    failures: list[calls.Response | calls.Failure] = []

    async def send(client: streams.StreamClient, call: calls.Call) -> None:
        failures.append(await client.send(call))

    async with (
        run_upstream(*ENDLESS_BODIES["body"]) as upstream,
        streams.StreamClient(settings) as client,
    ):
        with check_memory(MAX_TOGETHER_BYTES):
            async with anyio.create_task_group() as tasks:
                for _ in range(RESPONSES):
                    tasks.start_soon(send, client, make_call(upstream))
        assert client.total.size == 0
    details = {
        failure.detail
        for failure in failures
        if isinstance(failure, calls.Failure)
    }
    assert len(failures) == RESPONSES
    assert details == {f"more than {1 << 20} bytes in all responses together"}


async def test_small_response_is_received_beside_endless_ones() -> None:
    """A full count of all bodies costs only the larger ones."""
    small = STATUS_LINE + b"Content-Length: 2\r\n\r\nok"
    async with (
        run_upstream(small, b"") as upstream,
        streams.StreamClient(SETTINGS) as client,
    ):
        client.total.size = 1 << 40
        response = await client.send(make_call(upstream))
        assert isinstance(response, calls.Response)
        assert response.body == b"ok"
