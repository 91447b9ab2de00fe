"""Tests of the engine and service clients, over loopback TCP."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import anyio.abc
import pytest

from tamaracktide.core import rows
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import engine
from tamaracktide.upstreams import results
from tamaracktide.upstreams import service
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio

SETTINGS = upstream_settings.UpstreamSettings(
    token="secret",
    zone="z1",
    progress_timeout_s=0.1,
    order_timeout_s=0.1,
    read_timeout_s=0.1,
)
DEAD_ADDRESS = "127.0.0.1:1"
STREAM_HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio."""
    return "asyncio"


class Server:
    """A server that responds to each request with the next scripted bytes.

    Attributes:
        address: `host:port` of the server.
        script: Bytes for each request; None sends nothing, and after an
            incomplete response the connection is closed.
        requests: Requests received, with their headers.
        connections: Number of connections accepted.
    """

    def __init__(self) -> None:
        """Creates a server with an empty script."""
        self.address = ""
        self.script: list[bytes | None] = []
        self.requests: list[str] = []
        self.connections = 0

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        self.connections += 1
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while await self._respond(stream):
                    pass

    async def _respond(self, stream: anyio.abc.ByteStream) -> bool:
        data = await stream.receive()
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        self.requests.append(data.decode())
        response = self.script.pop(0)
        if response is None:
            await anyio.sleep(1.0)
            return False
        await stream.send(response)
        return response.endswith(b"0\r\n\r\n") or b"Content-Length" in response


def make_response(status: int, body: bytes = b"") -> bytes:
    """Returns a complete response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    """Yields a running scripted server."""
    scripted_server = Server()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    scripted_server.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, scripted_server.handle)
        yield scripted_server
        tasks.cancel_scope.cancel()


@pytest.fixture
async def client() -> AsyncIterator[engine.EngineClient]:
    """Yields an engine client."""
    async with (
        calls.UpstreamClient(SETTINGS) as upstream_client,
        streams.StreamClient(SETTINGS) as stream_client,
    ):
        yield engine.EngineClient(SETTINGS, upstream_client, stream_client)


def make_dispatch(address: str) -> results.Dispatch:
    """Returns a request to an engine."""
    return results.Dispatch(
        address=address,
        path="/v1/completions",
        request_id="r1",
        incarnation="i1",
        body=b"{}",
    )


async def read_all(started: results.Started) -> bytes | calls.Failure:
    """Returns the complete body or the failure and closes the response."""
    complete_response = await started.response.read(1000)
    await started.response.close()
    return (
        complete_response.body
        if isinstance(complete_response, calls.Response)
        else complete_response
    )


@pytest.mark.parametrize(
    ("status", "reason"),
    [
        (404, results.NotRunReason.ADAPTER_MISSING),
        (409, results.NotRunReason.OTHER_INCARNATION),
        (503, results.NotRunReason.BUSY),
    ],
)
async def test_refused_request_did_not_run(
    client: engine.EngineClient,
    server: Server,
    status: int,
    reason: results.NotRunReason,
) -> None:
    """Each of the three refusal statuses of engines has its own reason."""
    server.script = [make_response(status)]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.NotRun)
    assert result.reason is reason


async def test_unreachable_engine_did_not_run(
    client: engine.EngineClient,
) -> None:
    """Without a connection the request cannot have run."""
    result = await client.stream(make_dispatch(DEAD_ADDRESS))
    assert isinstance(result, results.NotRun)
    assert result.reason is results.NotRunReason.UNREACHABLE


@pytest.mark.parametrize("response", [b"", b"HTTP/1.1 2", b"junk\r\n", None])
async def test_request_without_a_response_may_have_run(
    client: engine.EngineClient, server: Server, response: bytes | None
) -> None:
    """A closed or unresponsive connection leaves the outcome unknown."""
    server.script = [response]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.LostResponse)
    timed_out = result.failure.kind is calls.FailureKind.TIMEOUT
    assert timed_out == (response is None)


async def test_request_with_an_unexpected_status_may_have_run(
    client: engine.EngineClient, server: Server
) -> None:
    """After an internal error of the engine the outcome is unknown."""
    server.script = [make_response(500)]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.LostResponse)


async def test_rejection_of_the_request_is_returned(
    client: engine.EngineClient, server: Server
) -> None:
    """A response that rejects the body is returned as it is."""
    server.script = [make_response(400, b"why")]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.Rejected)
    assert result.response.body == b"why"


async def test_connection_is_reused_after_a_stream(
    client: engine.EngineClient, server: Server
) -> None:
    """A connection is reused after a complete response, with credentials."""
    body = STREAM_HEADERS + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    server.script = [body, body]
    for _ in range(2):
        result = await client.stream(make_dispatch(server.address))
        assert isinstance(result, results.Started)
        assert await read_all(result) == b"abc"
    assert server.connections == 1
    assert "Authorization: Bearer secret\r\n" in server.requests[0]
    assert "X-Incarnation: i1\r\n" in server.requests[0]


async def test_broken_stream_is_incomplete(
    client: engine.EngineClient, server: Server
) -> None:
    """A connection that closes within the body is a failure."""
    server.script = [STREAM_HEADERS + b"2\r\nab\r\n"]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.Started)
    failure = await read_all(result)
    assert isinstance(failure, calls.Failure)
    assert failure.kind is calls.FailureKind.BROKEN


async def test_resumption_uses_a_new_connection(
    client: engine.EngineClient, server: Server
) -> None:
    """An idle connection may be the unresponsive one."""
    body = STREAM_HEADERS + b"0\r\n\r\n"
    server.script = [body, body, make_response(404)]
    first = await client.stream(make_dispatch(server.address))
    assert isinstance(first, results.Started)
    await read_all(first)
    second = await client.resume(server.address, "r1", 7)
    assert isinstance(second, results.Started)
    await second.response.close()
    assert server.connections == 2
    assert "GET /v1/streams/r1?offset=7 " in server.requests[1]
    third = await client.resume(server.address, "r1", 7)
    assert isinstance(third, results.StreamUnknown)


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (make_response(200), engine.OrderOutcome.DONE),
        (make_response(404), engine.OrderOutcome.MISSING),
        (make_response(409), engine.OrderOutcome.OTHER_INCARNATION),
        (
            make_response(412, b'{"highest": 9}'),
            engine.OrderOutcome.STALE_EPOCH,
        ),
        (make_response(502), engine.OrderOutcome.LOAD_FAILED),
        (make_response(507), engine.OrderOutcome.NO_SLOT),
        (make_response(500), engine.OrderOutcome.UNCERTAIN),
        (b"", engine.OrderOutcome.UNCERTAIN),
        (None, engine.OrderOutcome.UNCERTAIN),
    ],
)
async def test_outcome_of_a_load_order(
    client: engine.EngineClient,
    server: Server,
    response: bytes | None,
    outcome: engine.OrderOutcome,
) -> None:
    """Each status has its outcome; without a response it is uncertain."""
    server.script = [response]
    order = engine.Order(
        address=server.address, lora_name="l", epoch=3, incarnation="i1"
    )
    result = await client.load_adapter(order, rows.AdapterKey("a", "1"))
    assert result.outcome is outcome
    assert (result.highest_epoch == 9) == (
        outcome is engine.OrderOutcome.STALE_EPOCH
    )
    assert "X-Fencing-Token: 3\r\n" in server.requests[0]


async def test_unload_of_an_adapter_in_use_is_refused(
    client: engine.EngineClient, server: Server
) -> None:
    """Status 409 with `in use` differs from another incarnation."""
    server.script = [make_response(409, b'{"error": "in use"}')]
    order = engine.Order(
        address=server.address, lora_name="l", epoch=3, incarnation="i1"
    )
    result = await client.unload_adapter(order)
    assert result.outcome is engine.OrderOutcome.IN_USE


async def test_state_is_decoded(
    client: engine.EngineClient, server: Server
) -> None:
    """Unknown fields are ignored, and a malformed state is a failure."""
    server.script = [
        make_response(
            200,
            b'{"instance": "e", "incarnation": "i", "slots": 4, "batch_limit":'
            b' 8, "loaded": [{"lora_name": "l", "adapter": "a", "version":'
            b' "1", "running": 2}], "later": 1}',
        ),
        make_response(200, b"{}"),
    ]
    state = await client.read_state(server.address)
    assert isinstance(state, engine.EngineState)
    assert state.loaded[0].key == rows.AdapterKey("a", "1")
    failed = await client.read_state(server.address)
    assert isinstance(failed, calls.Failure)


async def test_service_does_not_receive_the_clients_key(server: Server) -> None:
    """The client's credentials are removed; other headers are forwarded."""
    server.script = [make_response(200, b"ok")]
    async with calls.UpstreamClient(SETTINGS) as upstream_client:
        response = await service.ServiceClient(SETTINGS, upstream_client).send(
            server.address,
            service.ServiceRequest(
                method="POST",
                target="/a?b=1",
                headers=(
                    (b"authorization", b"Bearer c1.mac"),
                    (b"idempotency-key", b"k"),
                ),
                body=b"x",
            ),
            1.0,
        )
    assert isinstance(response, calls.Response)
    assert "c1.mac" not in server.requests[0]
    assert "idempotency-key: k" in server.requests[0]


async def test_cancellation_reuses_stream_connections(
    server: Server, client: engine.EngineClient
) -> None:
    """Cancellations reuse the connections of the stream client.

    Hundreds of clients may disconnect at the same time, and each cancellation
    must cost one exchange only; httpcore scans all connections of a pool on
    each call.
    """
    server.script = [make_response(204), make_response(404), make_response(500)]
    confirmed = [await client.cancel(server.address, "r1") for _ in range(3)]
    assert confirmed == [True, True, False]
    assert server.connections == 1
    assert not await client.cancel(DEAD_ADDRESS, "r1")
