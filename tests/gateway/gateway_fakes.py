"""Fakes of the gateway's scheduler and upstreams, over loopback TCP."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import MutableMapping
import contextlib
import dataclasses
import random
from typing import Any

import anyio
import anyio.abc
import msgspec

from tamaracktide import errors
from tamaracktide.core import rows
from tamaracktide.core import tables
from tamaracktide.gateway import app
from tamaracktide.gateway import membership
from tamaracktide.gateway import parts
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.object_api import instances
from tamaracktide.object_api import settings as platform_settings
from tamaracktide.protocol import connection
from tamaracktide.protocol import messages
from tamaracktide.protocol import server
from tamaracktide.protocol import settings as protocol_settings
from tamaracktide.settings import api_keys
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

SECRET = "test-secret"
INNER = protocol_settings.InnerSettings(
    token="inner", heartbeat_period_s=0.05, heartbeat_timeout_s=0.5
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The engine's behaviour for one dispatched request.

    Attributes:
        status: Status of the response.
        tokens: Number of tokens sent before the stream breaks; None sends
            all.
        stalled: Whether the broken stream stalls instead of being closed.
        model: Model name in the events; empty for the requested one.
        stream_lost: Whether resuming the stream fails with 404.
    """

    status: int = 200
    tokens: int | None = None
    stalled: bool = False
    model: str = ""
    stream_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that a fake received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(stream: anyio.abc.ByteStream) -> HttpRequest:
    """Reads one HTTP request with a Content-Length."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    request_line, *lines = head.decode().split("\r\n")
    method, target, _ = request_line.split(" ")
    pairs = (line.split(": ", 1) for line in lines)
    headers = {name.lower(): value for name, value in pairs}
    while len(body) < int(headers.get("content-length", "0")):
        body += await stream.receive()
    return HttpRequest(method, target, headers, body)


async def send_response(
    stream: anyio.abc.ByteStream, status: int, body: bytes
) -> None:
    """Sends a complete response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    await stream.send(head.encode() + body)


Handler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


class FakeEngine:
    """Streams tokens `T0 `, `T1 `..., following a script of steps."""

    def __init__(self) -> None:
        """Creates an engine that streams every response completely."""
        self.script: list[Step] = []
        self.dispatched: list[dict[str, Any]] = []
        self.resumed: list[str] = []
        self.cancelled: list[str] = []
        self._streams: dict[str, Step] = {}

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    request = await read_request(stream)
                    if not await self._respond(stream, request):
                        return

    async def _respond(
        self, stream: anyio.abc.ByteStream, request: HttpRequest
    ) -> bool:
        """Handles a request; returns whether the connection stays open."""
        if request.method == "DELETE":
            self.cancelled.append(request.target)
            await send_response(stream, 404, b"")
            return True
        if request.method == "GET":
            return await self._resume(stream, request)
        step = self.script.pop(0) if self.script else Step()
        fields = msgspec.json.decode(request.body, type=dict[str, Any])
        self.dispatched.append(fields)
        if step.status != 200:
            await send_response(stream, step.status, b"{}")
            return True
        self._streams[request.headers["x-request-id"]] = step
        name = step.model or fields["model"]
        count = fields.get("max_tokens", 4)
        return await _send_tokens(stream, name, range(count), step)

    async def _resume(
        self, stream: anyio.abc.ByteStream, request: HttpRequest
    ) -> bool:
        self.resumed.append(request.target)
        name, _, query = request.target.removeprefix("/v1/streams/").partition(
            "?"
        )
        if self._streams[name].stream_lost:
            await send_response(stream, 404, b"")
            return True
        offset = int(query.removeprefix("offset="))
        fields = self.dispatched[-1]
        indices = range(offset, fields.get("max_tokens", 4))
        return await _send_tokens(stream, fields["model"], indices, Step())


async def _send_tokens(
    stream: anyio.abc.ByteStream, name: str, indices: range, step: Step
) -> bool:
    await stream.send(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    for count, index in enumerate(indices):
        if count == step.tokens:
            if step.stalled:
                await anyio.sleep(5.0)
            return False
        await _send_chunk(stream, make_event(name, index))
    await _send_chunk(stream, b"data: [DONE]\n\n")
    await stream.send(b"0\r\n\r\n")
    return True


async def _send_chunk(stream: anyio.abc.ByteStream, data: bytes) -> None:
    await stream.send(b"%x\r\n%s\r\n" % (len(data), data))


def make_event(model: str, index: int) -> bytes:
    """Returns the event of one token."""
    chunk = {
        "model": model,
        "system_fingerprint": "e-inc",
        "choices": [{"index": 0, "text": f"T{index} "}],
    }
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(chunk))


class FakeService:
    """Records effects by key; `script` lists the next response statuses.

    With status 0 the request takes effect, but the connection is closed without
    a response.
    """

    def __init__(self) -> None:
        """Creates a service without effects."""
        self.script: list[int] = []
        self.effects: list[str] = []

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one connection."""
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    request = await read_request(stream)
                    key = request.headers.get("idempotency-key", "")
                    self.effects.append(key)
                    status = self.script.pop(0) if self.script else 200
                    if not status:
                        return
                    body = request.method.encode() + b" " + request.body
                    await send_response(stream, status, body)


class FakeScheduler:
    """Grants the first engine that is not avoided; keeps claims in memory."""

    def __init__(self) -> None:
        """Creates a scheduler without engines."""
        self.engines: dict[str, str] = {}
        self.refusals: list[messages.RefusalReply] = []
        self.stalled = False
        self.running = anyio.CancelScope()
        self.epoch = 1
        self.requests: list[messages.GrantRequest] = []
        self.releases: list[messages.GrantRelease] = []
        self.reports: list[messages.OutcomeReport] = []
        self.claims: dict[str, messages.ClaimReply] = {}
        self.connections: list[connection.Connection] = []
        self.replies: list[messages.OutstandingReply] = []

    async def serve(self, *, task_status: anyio.abc.TaskStatus[str]) -> None:
        """Listens until `running` is cancelled."""
        hello = messages.Hello(
            version=1,
            instance="d1",
            incarnation="i",
            role="scheduler",
            zone="z1",
        )
        with self.running:
            await server.serve(
                "127.0.0.1:0",
                hello,
                self.handle,
                INNER,
                task_status=task_status,
            )

    async def handle(self, gateway_connection: connection.Connection) -> None:
        """Serves one connection."""
        self.connections.append(gateway_connection)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_heartbeats, gateway_connection)
            with contextlib.suppress(errors.ProtocolError):
                while True:
                    reply = self._reply(await gateway_connection.receive())
                    if reply is not None:
                        await gateway_connection.send(reply)
            tasks.cancel_scope.cancel()

    async def wait_for_releases(
        self, count: int = 1
    ) -> list[messages.GrantRelease]:
        """Returns the releases once at least `count` have arrived."""
        with anyio.fail_after(5):
            while len(self.releases) < count:
                await anyio.sleep(0.005)
        return self.releases

    async def _send_heartbeats(
        self, gateway_connection: connection.Connection
    ) -> None:
        with contextlib.suppress(errors.ProtocolError):
            while not self.stalled:
                await gateway_connection.send(messages.Heartbeat(sequence=1))
                await anyio.sleep(INNER.heartbeat_period_s)

    def _reply(self, message: messages.Message) -> messages.Message | None:
        match message:
            case messages.GrantRequest():
                return self._grant(message)
            case messages.GrantRelease():
                self.releases.append(message)
            case messages.OutstandingReply():
                self.replies.append(message)
            case messages.TableFetch():
                return messages.TableReply(
                    fetch_id=message.fetch_id, head=b"head"
                )
            case messages.ClaimRequest():
                return self._claim(message)
            case messages.OutcomeReport():
                self.reports.append(message)
                return messages.OutcomeReply(
                    attempt_id=message.attempt_id, kept=True
                )
        return None

    def _grant(self, request: messages.GrantRequest) -> messages.Message:
        self.requests.append(request)
        if self.refusals:
            return dataclasses.replace(
                self.refusals.pop(0), request_id=request.request_id
            )
        candidates = [
            name for name in self.engines if name not in request.avoid
        ]
        if not candidates:
            return messages.RefusalReply(
                request_id=request.request_id, code=2103
            )
        return messages.GrantReply(
            request_id=request.request_id,
            grant_id="g" + request.request_id,
            upstream=candidates[0],
            address=self.engines[candidates[0]],
            incarnation="e-inc",
            lora_name="lora-1",
            epoch=self.epoch,
        )

    def _claim(self, request: messages.ClaimRequest) -> messages.ClaimReply:
        known = self.claims.get(request.key)
        if known is not None:
            return dataclasses.replace(known, attempt_id=request.attempt_id)
        self.claims[request.key] = messages.ClaimReply(
            attempt_id="", state="pending"
        )
        return messages.ClaimReply(
            attempt_id=request.attempt_id, state="claimed"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response that a client received."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal or of a stream's last event."""
        start = self.body.rfind(b'{"error"')
        decoded = msgspec.json.decode(self.body[start:].strip())
        return dict(decoded["error"])


@dataclasses.dataclass(slots=True)
class FakeTables:
    """Tables that never change; records the heads that are offered."""

    tables: tables.Tables
    heads: list[bytes] = dataclasses.field(default_factory=list)

    def offer_head(self, data: bytes) -> bool:
        """Records a head."""
        self.heads.append(data)
        return True

    def offer_shards(self, shards: Mapping[str, bytes]) -> None:
        """Ignores shards."""

    def list_missing_shards(self) -> list[str]:
        """Returns no hashes."""
        return []


@dataclasses.dataclass(slots=True)
class GatewayCluster:
    """A gateway with one scheduler, two engines and two services."""

    app: app.App
    tables: FakeTables
    parts: parts.Parts
    scheduler: FakeScheduler
    engines: list[FakeEngine]
    services: list[FakeService]

    async def call(
        self,
        path: str,
        body: object = b"",
        method: str = "POST",
        customer: str = "c1",
        disconnected: anyio.Event | None = None,
        **headers: str,
    ) -> Response:
        """Sends one request to the application and returns the response.

        The client disconnects when `disconnected` is set. Status 0 means that
        no response was sent.
        """
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        key = api_keys.make_api_key(customer, SECRET)
        fields = {"authorization": f"Bearer {key}", **headers}
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [
                (name.replace("_", "-").encode(), value.encode())
                for name, value in fields.items()
            ],
        }
        sent: list[dict[str, Any]] = []
        request_sent = False

        async def receive() -> dict[str, Any]:
            nonlocal request_sent
            if request_sent:
                await (disconnected or anyio.Event()).wait()
                return {"type": "http.disconnect"}
            request_sent = True
            return {"type": "http.request", "body": data}

        async def send(message: MutableMapping[str, Any]) -> None:
            sent.append(dict(message))

        with anyio.fail_after(10):
            await self.app(scope, receive, send)
        if not sent:
            return Response(0, {}, b"")
        received = b"".join(message.get("body", b"") for message in sent[1:])
        return Response(sent[0]["status"], dict(sent[0]["headers"]), received)


class _EmptyInstanceSource:
    async def list(self) -> tuple[instances.Instance, ...]:
        return ()


def _make_settings() -> gateway_settings.GatewaySettings:
    return gateway_settings.GatewaySettings(
        instance="g1",
        zone="z1",
        key_secret=SECRET,
        platform=platform_settings.PlatformSettings(address="127.0.0.1:1"),
        inner=INNER,
        upstreams=upstream_settings.UpstreamSettings(progress_timeout_s=0.3),
    )


def _make_tables() -> tables.Tables:
    engine_pool = rows.Pool(
        name="p1", kind=rows.UpstreamKind.ENGINE, upstreams=("e0", "e1")
    )
    service_pool = rows.Pool(
        name="p2", kind=rows.UpstreamKind.SERVICE, upstreams=("s0", "s1")
    )
    return tables.make_tables(
        1,
        [
            rows.Route(
                name="r1", customer="c1", pool="p1", adapter="a", version="1"
            ),
            rows.Route(
                name="once",
                customer="c1",
                pool="p1",
                adapter="a",
                version="1",
                idempotent=False,
            ),
            rows.Route(name="sign", customer="c1", pool="p2"),
            rows.Route(name="other", customer="c2", pool="p2"),
        ],
        [engine_pool, service_pool],
    )


@contextlib.asynccontextmanager
async def open_cluster() -> AsyncIterator[GatewayCluster]:
    """Runs a gateway with its scheduler and upstreams for the block."""
    scheduler = FakeScheduler()
    engines = [FakeEngine(), FakeEngine()]
    services = [FakeService(), FakeService()]
    members = membership.Membership(_EmptyInstanceSource())
    async with (
        calls.UpstreamClient(_make_settings().upstreams) as upstream_client,
        streams.StreamClient(_make_settings().upstreams) as stream_client,
        anyio.create_task_group() as tasks,
    ):
        scheduler_address = await tasks.start(scheduler.serve)
        listed_instances = [
            instances.Instance(
                "d1", "scheduler", "z1", "127.0.0.1:1", scheduler_address
            )
        ]
        for index, engine in enumerate(engines):
            address = await _listen(tasks, engine.handle)
            scheduler.engines[f"e{index}"] = address
            listed_instances.append(
                instances.Instance(f"e{index}", "engine", "z1", address)
            )
        for index, service in enumerate(services):
            address = await _listen(tasks, service.handle)
            zone = f"z{index + 1}"
            listed_instances.append(
                instances.Instance(f"s{index}", "service", zone, address)
            )
        members.update(listed_instances)
        fake_tables = FakeTables(_make_tables())
        gateway_parts = parts.make_parts(
            _make_settings(),
            fake_tables,
            members,
            upstream_client,
            stream_client,
            "inc-1",
            random.Random(1),
            tasks,
        )
        tasks.start_soon(gateway_parts.schedulers.run)
        tasks.start_soon(gateway_parts.claims.run)
        with anyio.fail_after(5):
            while not gateway_parts.schedulers.connected:
                await anyio.sleep(0.005)
        yield GatewayCluster(
            app.App(gateway_parts),
            fake_tables,
            gateway_parts,
            scheduler,
            engines,
            services,
        )
        tasks.cancel_scope.cancel()


async def _listen(tasks: anyio.abc.TaskGroup, handler: Handler) -> str:
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    tasks.start_soon(_serve, listener, handler)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    return f"127.0.0.1:{port}"


async def _serve(
    listener: anyio.abc.Listener[anyio.abc.SocketStream], handler: Handler
) -> None:
    async with listener:
        await listener.serve(handler)
