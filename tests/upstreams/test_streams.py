"""Tests of the client for streamed responses.

Load pattern: responses that end in every way HTTP allows, on connections that
are reused for the next request.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import socket

import anyio
import anyio.abc
import pytest

from tamaracktide.core import connected_processes
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio
SETTINGS = upstream_settings.UpstreamSettings()
LONG_BODY_BYTES = 32 << 20
"""Size of a body that no socket takes at once."""

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend() -> str:
    """The streams use asyncio."""
    return "asyncio"


class Upstream:
    """Answers each request with the next scripted bytes.

    Attributes:
        script: Bytes to send for each request; empty ones, and those that end
            in a line of `!`, close the connection.
        connections: Number of accepted connections.
        accepted: The accepted connections.
        resets: Number of those that were reset.
        address: Its address.
    """

    def __init__(self, *script: bytes) -> None:
        """Uses a script."""
        self.script = list(script)
        self.connections = 0
        self.accepted: list[anyio.abc.SocketStream] = []
        self.resets = 0
        self.address = ""

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves a connection."""
        self.connections += 1
        self.accepted.append(stream)
        async with stream:
            try:
                while await stream.receive():
                    response = self.script.pop(0)
                    if not response:
                        return
                    await stream.send(response)
                    if response.endswith(b"\n!"):
                        return
            except anyio.BrokenResourceError:
                self.resets += 1
            except (anyio.EndOfStream, anyio.ClosedResourceError):
                pass


@contextlib.asynccontextmanager
async def run_upstream(
    *script: bytes,
) -> AsyncIterator[tuple[Upstream, streams.StreamClient]]:
    """Runs a scripted upstream and a client."""
    upstream = Upstream(*script)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    upstream.address = f"127.0.0.1:{port}"
    async with (
        listener,
        streams.StreamClient(SETTINGS) as client,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, upstream.handle)
        yield upstream, client
        tasks.cancel_scope.cancel()


def make_call(upstream: Upstream, method: str = "GET") -> calls.Call:
    """Returns a call with a second for each read."""
    return calls.Call(
        method=method, address=upstream.address, target="/x", timeout_s=1.0
    )


async def send(
    upstream: Upstream, client: streams.StreamClient, method: str = "GET"
) -> tuple[int, bytes] | calls.FailureKind:
    """Returns the status and body of a response, or why there is none."""
    response = await client.send(make_call(upstream, method))
    if isinstance(response, calls.Failure):
        return response.kind
    return response.status, response.body


async def test_connection_is_reused_after_a_complete_response() -> None:
    """Also after responses that have no body."""
    no_content = b"HTTP/1.1 204 No Content\r\n\r\n"
    async with run_upstream(OK, no_content, OK) as (upstream, client):
        assert await send(upstream, client) == (200, b"ok")
        assert await send(upstream, client) == (204, b"")
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 1


async def test_end_of_the_connection_ends_an_unframed_body() -> None:
    """Without a length or chunks, the end is not a failure."""
    unframed = b"HTTP/1.1 200 OK\r\n\r\nall\n!"
    async with run_upstream(unframed, OK) as (upstream, client):
        assert await send(upstream, client) == (200, b"all\n!")
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 2


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le\n!",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc\n!",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n!",
        b"HTTP/1.1 99999 ?\r\n\r\n",
    ],
)
async def test_incomplete_response_is_a_failure(response: bytes) -> None:
    """It may have run and must not look complete."""
    async with run_upstream(response, OK) as (upstream, client):
        assert await send(upstream, client) is calls.FailureKind.BROKEN
        assert await send(upstream, client) == (200, b"ok")


async def test_response_to_head_has_no_body() -> None:
    """Its length is that of the body that GET would return."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"
    async with run_upstream(head, OK) as (upstream, client):
        assert await send(upstream, client, "HEAD") == (200, b"")
        assert await send(upstream, client) == (200, b"ok")


async def test_interim_responses_are_skipped() -> None:
    """Their headers do not belong to the final response."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    async with run_upstream(interim + OK, OK) as (upstream, client):
        response = await client.open(make_call(upstream))
        assert isinstance(response, streams.StreamedResponse)
        assert response.status == 200
        assert dict(response.headers) == {b"content-length": b"2"}
        assert await response.receive() == b"ok"
        await response.close()
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 1


async def test_bytes_after_a_response_end_its_connection() -> None:
    """They could be taken for the response to the next request."""
    async with run_upstream(OK + OK, OK) as (upstream, client):
        assert await send(upstream, client) == (200, b"ok")
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 2


async def test_connection_closed_while_idle_is_not_reused() -> None:
    """The next request must not fail for it, even right after the close."""
    closing = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok\n!"
    async with run_upstream(closing, OK) as (upstream, client):
        assert await send(upstream, client) == (200, b"ok\n!")
        assert client.count_idle(upstream.address) == 1
        await anyio.sleep(0.05)
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 2


@pytest.mark.parametrize(
    ("stated", "connections"),
    [(b"timeout=0", 2), (b"max=9, timeout=0", 2), (b"timeout=60", 1), (b"", 1)],
)
async def test_connection_is_not_reused_as_its_peer_closes_it(
    stated: bytes, connections: int
) -> None:
    """Guards against a request that crosses the close of its connection (LOST).

    It may have run then; the upstream states for how long it keeps one.
    """
    head, _, body = OK.partition(b"\r\n\r\n")
    stating = head + b"\r\nKeep-Alive: " + stated + b"\r\n\r\n" + body
    async with run_upstream(stating, OK) as (upstream, client):
        assert await send(upstream, client) == (200, b"ok")
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == connections


async def test_silent_upstream_is_a_timeout() -> None:
    """A request that is not taken times out as one that is not answered."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        async with streams.StreamClient(SETTINGS) as client:
            for size in (0, 32 << 20):
                failure = await client.send(
                    calls.Call(
                        method="POST",
                        address=address,
                        target="/x",
                        body=b"x" * size,
                        timeout_s=0.1,
                    )
                )
                assert isinstance(failure, calls.Failure)
                assert failure.kind is calls.FailureKind.TIMEOUT


class EarlyUpstream:
    """Answers each request before it has read its body.

    Attributes:
        answered: Set by the test once the response has arrived.
        body: What it reads of the first body after that.
        connections: Number of accepted connections.
        open: Number of those that it serves.
    """

    def __init__(self) -> None:
        """Starts without connections."""
        self.answered = anyio.Event()
        self.body = b""
        self.connections = self.open = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        self.connections += 1
        self.open += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)
            await self.answered.wait()
            self.body = await reader.readexactly(LONG_BODY_BYTES)
        writer.transport.abort()
        self.open -= 1


@contextlib.asynccontextmanager
async def run_early_upstream() -> AsyncIterator[
    tuple[EarlyUpstream, streams.StreamClient, calls.Call]
]:
    """Runs such an upstream, a client, and makes a call with a long body."""
    upstream = EarlyUpstream()
    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    opened.bind(("127.0.0.1", 0))
    call = calls.Call(
        method="POST",
        address=f"127.0.0.1:{opened.getsockname()[1]}",
        target="/x",
        body=b"x" * LONG_BODY_BYTES,
        timeout_s=1.0,
    )
    async with await asyncio.start_server(upstream.handle, sock=opened):
        try:
            async with streams.StreamClient(SETTINGS) as client:
                yield upstream, client, call
        finally:
            upstream.answered.set()
            while upstream.open:
                await anyio.sleep(0.01)


async def test_upstream_may_answer_before_it_has_read_a_request() -> None:
    """Guards against a ready response that is lost (LOST, MIXED).

    It reads on later, and then gets the rest of the body.
    """
    async with run_early_upstream() as (upstream, client, call):
        response = await client.send(call)
        assert isinstance(response, calls.Response)
        upstream.answered.set()
        with anyio.fail_after(5.0):
            while not upstream.body:
                await anyio.sleep(0.01)
        assert upstream.body == call.body


async def test_request_does_not_wait_for_the_rest_of_another_ones_body() -> (
    None
):
    """Guards against a request behind a body that nobody reads (LOST)."""
    async with run_early_upstream() as (upstream, client, call):
        for _ in range(2):
            response = await client.send(call)
            assert isinstance(response, calls.Response)
        assert upstream.connections == 2


async def test_expired_idle_connections_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connections of a past burst do not stay open beside those in use."""
    async with run_upstream(OK, OK, OK) as (upstream, client):
        burst = [await client.open(make_call(upstream)) for _ in range(2)]
        for response in burst:
            assert isinstance(response, streams.StreamedResponse)
            await response.read(100)
            await response.close()
        monkeypatch.setattr(streams, "KEEPALIVE_EXPIRY_S", 0.05)
        await anyio.sleep(0.1)
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 3
        assert client.count_idle(upstream.address) == 1


async def open_response(
    upstream: Upstream,
    client: streams.StreamClient,
    admit: streams.Admit | None = None,
) -> streams.StreamedResponse:
    """Returns a response whose body is not read yet."""
    opened = await client.open(make_call(upstream), admit=admit)
    assert isinstance(opened, streams.StreamedResponse)
    return opened


async def test_connections_that_are_open_at_once_have_one_process() -> None:
    """Those that are opened after the last one has ended have another."""
    async with run_upstream(OK, OK, OK) as (upstream, client):
        first = await open_response(upstream, client)
        second = await open_response(upstream, client)
        assert second.process is first.process
        for opened in (first, second):
            await opened.read_and_close(100)
        await client.close_idle(upstream.address)
        third = await open_response(upstream, client)
        assert third.process is not first.process
        await third.read_and_close(100)


async def test_call_that_is_not_admitted_is_not_sent() -> None:
    """Its connection is kept, so that its process stays known."""

    async def admit(process: connected_processes.Process) -> bool:
        return process.started_ms is None

    async with run_upstream(OK, OK) as (upstream, client):
        opened = await open_response(upstream, client, admit)
        opened.process.record_report(1, 0.0)
        await opened.read_and_close(100)
        failure = await client.open(make_call(upstream), admit=admit)
        assert isinstance(failure, calls.Failure)
        assert failure.kind is calls.FailureKind.NOT_ADMITTED
        assert not failure.may_have_run
        assert client.count_idle(upstream.address) == 1
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 1


async def test_connection_that_ends_before_its_call_is_sent_is_closed() -> None:
    """Guards against dead connections to addresses that nobody uses again."""

    async def admit(process: connected_processes.Process) -> bool:
        await upstream.accepted[0].aclose()
        await anyio.sleep(0.05)
        return process.started_ms is None

    async with run_upstream(OK, OK) as (upstream, client):
        assert await send(upstream, client) == (200, b"ok")
        failure = await client.open(make_call(upstream), admit=admit)
        assert isinstance(failure, calls.Failure)
        assert not failure.may_have_run
        assert client.count_idle(upstream.address) == 0


async def test_ended_connections_of_an_upstream_that_is_gone_are_closed() -> (
    None
):
    """Guards against sockets that stay open for every address that was used."""
    async with (
        run_upstream(OK) as (gone, client),
        run_upstream(OK, OK) as (upstream, _),
    ):
        assert await send(gone, client) == (200, b"ok")
        assert await send(upstream, client) == (200, b"ok")
        await gone.accepted[0].aclose()
        await anyio.sleep(0.05)
        assert client.count_idle(gone.address) == 1
        opened = await client.open(make_call(upstream), fresh=True)
        assert isinstance(opened, streams.StreamedResponse)
        await opened.read_and_close(100)
        assert client.count_idle(gone.address) == 0
        assert client.count_idle(upstream.address) == 2


@pytest.mark.parametrize("request_id", ["", "r2"])
async def test_connection_with_a_foreign_response_is_reset(
    request_id: str,
) -> None:
    """Guards against an upstream that works on unnoticed (TWICE).

    The response to an earlier request is none to a request, nor to a call that
    names none, such as an order.
    """
    foreign = OK.replace(b"\r\n\r\n", b"\r\nX-Request-Id: r1\r\n\r\n")
    async with run_upstream(foreign, OK) as (upstream, client):
        call = make_call(upstream)
        failure = await client.send(
            dataclasses.replace(call, request_id=request_id)
        )
        assert isinstance(failure, calls.Failure)
        assert failure.kind is calls.FailureKind.FOREIGN
        assert failure.may_have_run
        assert await send(upstream, client) == (200, b"ok")
        assert upstream.connections == 2
        assert upstream.resets == 1
