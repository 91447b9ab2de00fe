"""Tests of the clients of engines and services, over loopback TCP."""

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
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


class Server:
    """Answers each request with the next scripted bytes.

    Attributes:
        address: `host:port`.
        script: Bytes for each request; None is silence, and bytes that are
            not a whole answer are followed by the end of the connection.
        requests: Heads of the requests.
        connections: Count of connections.
    """

    def __init__(self) -> None:
        """Builds a server without script."""
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
                while await self._answer(stream):
                    pass

    async def _answer(self, stream: anyio.abc.ByteStream) -> bool:
        data = await stream.receive()
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        self.requests.append(data.decode())
        answer = self.script.pop(0)
        if answer is None:
            await anyio.sleep(1.0)
            return False
        await stream.send(answer)
        return answer.endswith(b"0\r\n\r\n") or b"Content-Length" in answer


def make_answer(status: int, body: bytes = b"") -> bytes:
    """Returns a whole answer."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    """A running scripted server."""
    scripted = Server()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    scripted.address = f"127.0.0.1:{port}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, scripted.handle)
        yield scripted
        tasks.cancel_scope.cancel()


@pytest.fixture
async def client() -> AsyncIterator[engine.EngineClient]:
    """A client of engines."""
    async with (
        calls.Caller(SETTINGS) as caller,
        streams.StreamCaller(SETTINGS) as stream_caller,
    ):
        yield engine.EngineClient(SETTINGS, caller, stream_caller)


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
    """Returns the whole body or how it broke, and closes the answer."""
    whole = await started.answer.read(1000)
    await started.answer.close()
    return whole.body if isinstance(whole, calls.Answer) else whole


@pytest.mark.parametrize(
    ("status", "reason"),
    [
        (404, results.NotRunReason.ADAPTER_MISSING),
        (409, results.NotRunReason.OTHER_INCARNATION),
        (503, results.NotRunReason.BUSY),
    ],
)
async def test_refusal_certainly_did_not_run(
    client: engine.EngineClient,
    server: Server,
    status: int,
    reason: results.NotRunReason,
) -> None:
    """The three statuses that engines refuse with are told apart."""
    server.script = [make_answer(status)]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.NotRun)
    assert result.reason is reason


async def test_unreachable_engine_did_not_run(
    client: engine.EngineClient,
) -> None:
    """Without a connection nothing can have run."""
    result = await client.stream(make_dispatch(DEAD_ADDRESS))
    assert isinstance(result, results.NotRun)
    assert result.reason is results.NotRunReason.UNREACHABLE


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 2", b"junk\r\n", None])
async def test_request_without_an_answer_may_have_run(
    client: engine.EngineClient, server: Server, answer: bytes | None
) -> None:
    """A closed or silent connection leaves the outcome open."""
    server.script = [answer]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.Lost)
    silent = result.failure.kind is calls.FailureKind.TIMEOUT
    assert silent == (answer is None)


async def test_unexpected_status_may_have_run(
    client: engine.EngineClient, server: Server
) -> None:
    """An internal error of an engine proves nothing."""
    server.script = [make_answer(500)]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.Lost)


async def test_fault_of_the_request_is_passed_on(
    client: engine.EngineClient, server: Server
) -> None:
    """An engine that rejects the body is not asked again."""
    server.script = [make_answer(400, b"why")]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.Rejected)
    assert result.answer.body == b"why"


async def test_stream_keeps_its_connection(
    client: engine.EngineClient, server: Server
) -> None:
    """A whole answer gives its connection back; credentials are sent."""
    body = STREAM_HEAD + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    server.script = [body, body]
    for _ in range(2):
        result = await client.stream(make_dispatch(server.address))
        assert isinstance(result, results.Started)
        assert await read_all(result) == b"abc"
    assert server.connections == 1
    assert "Authorization: Bearer secret\r\n" in server.requests[0]
    assert "X-Incarnation: i1\r\n" in server.requests[0]


async def test_broken_stream_is_not_whole(
    client: engine.EngineClient, server: Server
) -> None:
    """A connection that closes within the body is told."""
    server.script = [STREAM_HEAD + b"2\r\nab\r\n"]
    result = await client.stream(make_dispatch(server.address))
    assert isinstance(result, results.Started)
    failure = await read_all(result)
    assert isinstance(failure, calls.Failure)
    assert failure.kind is calls.FailureKind.BROKEN


async def test_resumption_uses_a_new_connection(
    client: engine.EngineClient, server: Server
) -> None:
    """A known connection may be the silent one."""
    body = STREAM_HEAD + b"0\r\n\r\n"
    server.script = [body, body, make_answer(404)]
    first = await client.stream(make_dispatch(server.address))
    assert isinstance(first, results.Started)
    await read_all(first)
    second = await client.resume(server.address, "r1", 7)
    assert isinstance(second, results.Started)
    await second.answer.close()
    assert server.connections == 2
    assert "GET /v1/streams/r1?offset=7 " in server.requests[1]
    third = await client.resume(server.address, "r1", 7)
    assert isinstance(third, results.StreamUnknown)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (make_answer(200), engine.OrderOutcome.DONE),
        (make_answer(404), engine.OrderOutcome.MISSING),
        (make_answer(409), engine.OrderOutcome.OTHER_INCARNATION),
        (make_answer(412, b'{"highest": 9}'), engine.OrderOutcome.STALE_EPOCH),
        (make_answer(502), engine.OrderOutcome.LOAD_FAILED),
        (make_answer(507), engine.OrderOutcome.NO_SLOT),
        (make_answer(500), engine.OrderOutcome.UNCERTAIN),
        (b"", engine.OrderOutcome.UNCERTAIN),
        (None, engine.OrderOutcome.UNCERTAIN),
    ],
)
async def test_outcome_of_a_load_order(
    client: engine.EngineClient,
    server: Server,
    answer: bytes | None,
    outcome: engine.OrderOutcome,
) -> None:
    """Each answer has its outcome; no answer leaves it unsure."""
    server.script = [answer]
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
    """`in use` is told apart from another incarnation."""
    server.script = [make_answer(409, b'{"error": "in use"}')]
    order = engine.Order(
        address=server.address, lora_name="l", epoch=3, incarnation="i1"
    )
    result = await client.unload_adapter(order)
    assert result.outcome is engine.OrderOutcome.IN_USE


async def test_state_is_decoded(
    client: engine.EngineClient, server: Server
) -> None:
    """Unknown fields are ignored; a malformed state is a failure."""
    server.script = [
        make_answer(
            200,
            b'{"instance": "e", "incarnation": "i", "slots": 4, "batch_limit":'
            b' 8, "loaded": [{"lora_name": "l", "adapter": "a", "version":'
            b' "1", "running": 2}], "later": 1}',
        ),
        make_answer(200, b"{}"),
    ]
    state = await client.read_state(server.address)
    assert isinstance(state, engine.EngineState)
    assert state.loaded[0].key == rows.AdapterKey("a", "1")
    failed = await client.read_state(server.address)
    assert isinstance(failed, calls.Failure)


async def test_service_does_not_learn_the_callers_key(server: Server) -> None:
    """Credentials of the caller stay at the gateway, other headers pass."""
    server.script = [make_answer(200, b"ok")]
    async with calls.Caller(SETTINGS) as caller:
        answer = await service.ServiceClient(SETTINGS, caller).send(
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
    assert isinstance(answer, calls.Answer)
    assert "c1.mac" not in server.requests[0]
    assert "idempotency-key: k" in server.requests[0]


async def test_cancel_uses_the_connections_of_streams(
    server: Server, client: engine.EngineClient
) -> None:
    """Many callers who leave at once cost one exchange each."""
    server.script = [make_answer(204), make_answer(404), make_answer(500)]
    told = [await client.cancel(server.address, "r1") for _ in range(3)]
    assert told == [True, True, False]
    assert server.connections == 1
    assert not await client.cancel(DEAD_ADDRESS, "r1")
