"""Tests of upstreams in trouble whose bytes have a status that is none.

Load pattern: bytes with a status like 000 arrive instead of a response, or in
front of one.
"""

import contextlib

import anyio
import anyio.abc
import entry_instances
import fleet_cluster
import httpcore
import pytest
import raw_upstreams

pytestmark = pytest.mark.anyio

STATUSES = ["000", "001", "099", "600", "999"]
FOREIGN = b"id: 1\ndata: foreign\n\n"
EVENTS = 4
REQUESTS = 12
"""Requests at once, which use both upstreams."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


def make_foreign(status: str) -> bytes:
    """Returns bytes that are no response, with a body and its length."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(FOREIGN)}\r\n\r\n"
    return head.encode() + FOREIGN


def make_stream(request_id: str) -> bytes:
    """Returns an engine's response with a complete stream."""
    events = b"".join(
        b"id: %d\ndata: t\n\n" % number for number in range(1, EVENTS + 1)
    )
    return raw_upstreams.make_response(
        200,
        f"X-Request-Id: {request_id}",
        "X-Response-Signature: 1.2.3",
        "Content-Type: text/event-stream",
        body=events,
    )


class RawEngine:
    """An engine that answers requests with scripted bytes, and no report."""

    def __init__(self, status: str) -> None:
        """Starts without requests."""
        self._foreign = make_foreign(status)
        self.runs: list[str] = []

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves the requests of one connection."""
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    headers = await raw_upstreams.receive_request(stream)
                    request_id = headers.get("x-request-id", "")
                    if "x-token-count" not in headers:
                        await stream.send(raw_upstreams.make_response(404))
                        continue
                    self.runs.append(request_id)
                    await stream.send(self._foreign + make_stream(request_id))


@pytest.mark.parametrize("status", STATUSES)
async def test_foreign_bytes_are_in_no_response(status: str) -> None:
    """Guards against bytes of no response in front of one (MIXED).

    Other upstreams answer what may run twice.
    """
    async with fleet_cluster.run_cluster() as cluster:
        bad = await raw_upstreams.add_raw_upstream(
            cluster,
            "p1",
            lambda request_id: (
                make_foreign(status) + raw_upstreams.make_success(request_id)
            ),
        )
        await raw_upstreams.add_raw_upstream(
            cluster, "p2", raw_upstreams.make_success
        )
        async with entry_instances.run_instance(cluster) as instance:
            received: list[tuple[int, bytes]] = []

            async def send(number: int) -> None:
                response = await instance.send("/safe/x", f"s{number}")
                received.append((response.status, response.content))

            async with anyio.create_task_group() as tasks:
                for number in range(REQUESTS):
                    tasks.start_soon(send, number)
    assert received == [(200, b"done")] * REQUESTS
    assert bad.runs
    assert len(bad.runs) == len(set(bad.runs))


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("is_followed", [False, True])
async def test_request_that_must_run_once_fails_at_once(
    status: str, is_followed: bool
) -> None:
    """Guards against foreign bytes, and against waiting for others (MIXED).

    The request may have run, which the response must not deny.
    """

    def respond(request_id: str) -> bytes:
        success = raw_upstreams.make_success(request_id)
        return make_foreign(status) + (success if is_followed else b"")

    async with fleet_cluster.run_cluster() as cluster:
        bad = await raw_upstreams.add_raw_upstream(cluster, "p1", respond)
        async with entry_instances.run_instance(cluster) as instance:
            with anyio.fail_after(1.0):
                response = await instance.send("/once/x", "r1")
    names = {name.lower() for name, _ in response.headers}
    assert response.status == 502
    assert FOREIGN not in response.content
    assert not names & {b"x-not-executed", b"x-response-signature"}
    assert bad.runs == ["r1"]


@pytest.mark.parametrize("status", STATUSES)
async def test_foreign_event_is_in_no_stream(status: str) -> None:
    """Guards against an event of no response at the start of a stream (MIXED).

    The stream is complete, from another engine.
    """
    async with fleet_cluster.run_cluster() as cluster:
        engine = RawEngine(status)
        port = await raw_upstreams.serve(cluster, engine)
        server = fleet_cluster.Server(
            "e1", slots=3, port=port, adapters={"a1": 1}
        )
        cluster.servers[server.name] = server
        cluster.register(server)
        await cluster.add_server(
            fleet_cluster.Server(
                "e2", slots=3, adapters={"a1": 1}, events=EVENTS
            ),
            "z2",
        )
        async with entry_instances.run_instance(cluster) as instance:
            content = b""
            with contextlib.suppress(httpcore.RemoteProtocolError):
                content = (await instance.generate("r1")).content
    assert engine.runs == ["r1"]
    assert b"foreign" not in content
    assert content.count(b"\n\n") == EVENTS
