"""In-process fake of the `fleet` platform: its store, engines and services.

It uses the platform's wire names, like the adapter and its tests only.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import MutableMapping
import contextlib
import copy
import dataclasses
import functools
import json
from typing import Any
import urllib.parse

import anyio
import anyio.abc

import deployment
from tamaracktide import http_server
from tamaracktide.gateway import asgi

HOST = "127.0.0.1"
MODEL = "base"
KEEP_ALIVE_S = 30.0
ACCEPT_S = 0.01
"""Time in which the loop ends to accept the connections that have come."""


async def _read_body(receive: asgi.Receive) -> bytes:
    return await asgi.read_body(receive, 1 << 22)


async def reply(
    send: asgi.Send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Sends a complete response."""
    length = (b"content-length", str(len(body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send({"type": "http.response.body", "body": body})


def _make_headers(scope: asgi.Scope) -> dict[str, str]:
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }


async def _abort_response(
    headers: tuple[tuple[bytes, bytes], ...], send: asgi.Send
) -> None:
    """Closes the connection before the end of a response."""
    length = (b"content-length", b"100")
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [*headers, length],
        }
    )
    await send(
        {"type": "http.response.body", "body": b"part", "more_body": True}
    )
    raise ConnectionError("response dropped")


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store, from which it can be restored."""

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]


class Store:
    """Fake store with revisions, conditional writes and watches.

    Attributes:
        objects: Objects by kind and name.
        calls: Received calls as `METHOD path`.
        drop_responses: Whether writes take effect without a response.
        is_unavailable: Whether every call fails with 503.
        era: Era that every response names; empty or 0 for none.
    """

    def __init__(self) -> None:
        """Starts without objects."""
        self.era: int | str = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.calls: list[str] = []
        self.drop_responses = False
        self.is_unavailable = False
        self._revision = 1
        self._oldest_revision = 0
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Creates or replaces an object; returns its revision."""
        self._revision += 1
        stored = {
            "Metadata": {"Name": name, "Revision": self._revision},
            "Spec": spec,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._publish(kind, {"Object": stored, "Deleted": False})
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self._revision += 1
        removed = self.objects[kind].pop(name)
        removed["Metadata"]["Revision"] = self._revision
        self._publish(kind, {"Object": removed, "Deleted": True})

    def discard_history(self) -> None:
        """Answers watches from before now with 410."""
        self._oldest_revision = self._revision

    def make_copy(self) -> StoreCopy:
        """Returns a copy of all objects."""
        return StoreCopy(self._revision, copy.deepcopy(self.objects))

    def restore(self, saved: StoreCopy) -> None:
        """Comes back from a copy, in the next era; waiting watches are cut."""
        self.objects = copy.deepcopy(saved.objects)
        self._revision = saved.revision
        self._events = [e for e in self._events if e[0] <= saved.revision]
        self.era = int(self.era) + 1
        self._changed.set()
        self._changed = anyio.Event()

    def _add_era(self, send: asgi.Send) -> asgi.Send:
        """Returns a function that names the era of the call in a response."""
        added = [(b"store-era", str(self.era).encode())] if self.era else []

        async def send_with_era(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start":
                message = {**message, "headers": [*message["headers"], *added]}
            await send(message)

        return send_with_era

    def _publish(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = anyio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handles one call."""
        self.calls.append(f"{scope['method']} {scope['path']}")
        send = self._add_era(send)
        if self.is_unavailable:
            await reply(send, 503)
            return
        parts = scope["path"].split("/")[2:]
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if scope["method"] == "GET":
            await self._read(parts, query, send)
        elif scope["method"] == "DELETE":
            await self._delete(parts, query, send)
        else:
            await self._write(scope["method"], parts, receive, send)

    async def _read(
        self, parts: list[str], query: dict[str, str], send: asgi.Send
    ) -> None:
        kind = parts[0]
        if len(parts) > 1:
            found = self.objects.get(kind, {}).get(parts[1])
            body = json.dumps(found).encode()
            await reply(send, 200 if found else 404, body)
            return
        if "Watch" in query:
            await self._watch(kind, query, send)
            return
        items = [
            item
            for name, item in sorted(self.objects.get(kind, {}).items())
            if name > query.get("after", "")
        ]
        page = {
            "items": items[:2],
            "Truncated": len(items) > 2,
            "CurrentRev": self._revision,
        }
        await reply(send, 200, json.dumps(page).encode())

    async def _watch(
        self, kind: str, query: dict[str, str], send: asgi.Send
    ) -> None:
        since, era = int(query["Watch"]), self.era
        if since > self._revision or since < self._oldest_revision:
            await reply(send, 410)
            return
        with anyio.move_on_after(int(query["WaitMs"]) / 1000):
            while not self._list_events(kind, since):
                await self._changed.wait()
                if self.era != era:
                    raise ConnectionError("watch cut")
        body = {
            "events": self._list_events(kind, since),
            "CurrentRev": self._revision,
        }
        await reply(send, 200, json.dumps(body).encode())

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event_kind, event in self._events
            if event_kind == kind and revision > since
        ]

    async def _delete(
        self, parts: list[str], query: dict[str, str], send: asgi.Send
    ) -> None:
        kind, name = parts
        stored = self.objects.get(kind, {}).get(name)
        if stored is None:
            await reply(send, 404)
            return
        expected = int(query.get("Revision", stored["Metadata"]["Revision"]))
        if stored["Metadata"]["Revision"] != expected:
            await reply(send, 409, json.dumps(stored).encode())
            return
        self.remove(kind, name)
        await reply(send, 200, json.dumps(stored).encode())

    async def _write(
        self,
        method: str,
        parts: list[str],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        body = json.loads(await _read_body(receive) or b"{}")
        kind, name = parts[0], body["Metadata"]["Name"]
        stored = self.objects.get(kind, {}).get(name)
        expected_revision = body["Metadata"].get("Revision")
        conflict = (
            stored is not None
            if method == "POST"
            else (
                stored is None
                or stored["Metadata"]["Revision"] != expected_revision
            )
        )
        if conflict:
            await reply(send, 409, json.dumps(stored).encode())
            return
        self.put(kind, name, body["Spec"])
        if self.drop_responses:
            raise ConnectionError("response dropped")
        found = self.objects[kind][name]
        await reply(send, 200, json.dumps(found).encode())


@dataclasses.dataclass(slots=True)
class StoreProxy:
    """Proxy through which one instance reaches the store.

    Attributes:
        store: The store that calls are forwarded to.
        is_unavailable: Whether every call fails with 503.
        unavailable_kind: Kind of objects whose calls fail with 503.
        is_silent: Whether calls get no response, those in progress included.
        silent_kind: Kind of objects; calls for it that are received meanwhile
            never get a response.
        calls: Received calls as `METHOD KIND`.
    """

    store: Store
    is_unavailable: bool = False
    unavailable_kind: str = ""
    is_silent: bool = False
    silent_kind: str = ""
    calls: list[str] = dataclasses.field(default_factory=list)

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Forwards a call, or fails it with 503."""
        kind = scope["path"].split("/")[2]
        self.calls.append(f"{scope['method']} {kind}")
        if self.is_unavailable or kind == self.unavailable_kind:
            await reply(send, 503)
            return
        if kind == self.silent_kind:
            await anyio.sleep_forever()
        await self.store(scope, receive, self._make_send(send))

    def _make_send(self, send: asgi.Send) -> asgi.Send:
        async def send_unless_silent(message: MutableMapping[str, Any]) -> None:
            if self.is_silent:
                await anyio.sleep_forever()
            await send(message)

        return send_unless_silent


@dataclasses.dataclass(slots=True)
class Server:
    """Fake of a model engine, or of a plain service's server.

    Attributes:
        name: Instance id.
        slots: Number of adapter slots; 0 for a plain server.
        software: Version of its software.
        port: Port on loopback.
        adapters: Versions of loaded adapters, by adapter name.
        runs: Ids of the executed requests, in order.
        headers_by_request: Headers of the executed requests, by request id.
        orders: Accepted orders.
        break_after: Events after which a stream is cut; 0 for never.
        drop_response: Whether responses are cut before their end.
        event_interval_s: Time between events.
        events: Number of events in a complete stream.
        silent_after: Events after which a stream pauses for `silence_s`; None
            pauses before the headers of every response.
        silence_s: Duration of that pause.
        body: Body of the responses of a plain server; its name if empty.
        status: Status of the responses of a plain server.
        refuses: Whether every request gets 421, as without its adapter.
        abandoned: Ids of the requests whose connection was closed during the
            pause, in order.
        crashes_on: Path or part of a prompt; a request with it ends the server,
            whose entry stays in the store. Empty for none.
        has_crashed: Whether the server has ended in this way.
        rate_limit: Requests per second that its responses name as its limit;
            None for no limit.
        arrivals: Times at which requests arrived, of the loop's clock.
        brittle: Rejections in a second that its responses name as those it
            survives; None if it names none.
        max_running: Requests of a plain server that run at a time; the others
            are rejected.
        service_s: Duration of a request of a plain server.
        rejections: Times at which requests were rejected.
        born: Start of its process, Unix milliseconds.
        close: Closes its listening socket and its connections; set by
            `Cluster.add_server`.
        disconnect: Closes its connections; set by `Cluster.add_server`.
    """

    name: str
    slots: int = 0
    software: str = "v1"
    port: int = 0
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    runs: list[str] = dataclasses.field(default_factory=list)
    headers_by_request: dict[str, dict[str, str]] = dataclasses.field(
        default_factory=dict
    )
    orders: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    break_after: int = 0
    drop_response: bool = False
    event_interval_s: float = 0.002
    events: int = 10
    silent_after: int | None = 0
    silence_s: float = 0.0
    body: bytes = b""
    status: int = 200
    refuses: bool = False
    abandoned: list[str] = dataclasses.field(default_factory=list)
    crashes_on: str = ""
    has_crashed: bool = False
    rate_limit: float | None = None
    arrivals: list[float] = dataclasses.field(default_factory=list)
    brittle: int | None = None
    max_running: int = 1000
    service_s: float = 0.0
    rejections: list[float] = dataclasses.field(default_factory=list)
    running: int = 0
    born: int = 1
    close: Callable[[], None] = lambda: None
    disconnect: Callable[[], None] = lambda: None

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handles one call."""
        body = await _read_body(receive)
        if scope["path"] == "/order":
            await self._handle_order(json.loads(body), send)
        elif scope["path"] == "/report":
            await reply(send, 200, json.dumps(self._make_report()).encode())
        else:
            head = _make_headers(scope)
            head[":path"] = scope["path"]
            await self._handle_request(head, receive, self._name_limit(send))

    def _name_limit(self, send: asgi.Send) -> asgi.Send:
        """Returns a function that adds the headers of a server in need."""
        named = [(b"server-limit", self.rate_limit)]
        named.append((b"server-brittle", self.brittle))
        added = [
            (name, str(value).encode())
            for name, value in named
            if value is not None
        ]

        async def send_with_limit(message: MutableMapping[str, Any]) -> None:
            if message["type"] == "http.response.start":
                message = {**message, "headers": [*message["headers"], *added]}
            await send(message)

        return send_with_limit

    def _make_report(self) -> dict[str, Any]:
        return {
            "Sequence": len(self.orders),
            "Busy": False,
            "born": self.born,
            "Models": self.list_models(),
            "Coming": [],
        }

    def list_models(self) -> list[dict[str, Any]]:
        """Returns the loaded models and adapters in the wire format."""
        if not self.slots:
            return []
        loaded = [
            f"{name}@{version}" for name, version in self.adapters.items()
        ]
        return [{"Name": MODEL, "Version": 1, "Adapters": loaded}]

    async def _handle_order(
        self, order: dict[str, Any], send: asgi.Send
    ) -> None:
        if order["Precondition"] != len(self.orders):
            await reply(send, 409)
            return
        self.orders.append(order)
        if order["Operation"] == "unload":
            self.adapters.pop(order["Adapter"], None)
            await reply(send, 200)
            return
        self.adapters[order["Adapter"]] = order.get("Version", 1)
        assert len(self.adapters) <= self.slots, (
            "load order exceeds the adapter slots"
        )
        await reply(send, 202)

    async def _handle_request(
        self, head: dict[str, str], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        self.arrivals.append(anyio.current_time())
        request_id = head["x-request-id"]
        request_id_header = (b"x-request-id", request_id.encode())
        refusal = ((b"x-not-executed", b"1"), request_id_header)
        if self.refuses or head.get("x-expect-instance") != self.name:
            await reply(send, 421, headers=refusal)
            return
        adapter = head.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            await reply(send, 421, headers=refusal)
            return
        if self.running >= self.max_running:
            self.rejections.append(anyio.current_time())
            await reply(send, 503, headers=refusal)
            return
        self.running += 1
        try:
            await anyio.sleep(self.service_s)
        finally:
            self.running -= 1
        self.runs.append(request_id)
        self.headers_by_request[request_id] = head
        if self._must_crash(head):
            # asyncio never closes what it accepts as its listener is closed.
            await anyio.sleep(ACCEPT_S)
            self.has_crashed = True
            self.close()
            raise ConnectionError("crashed")
        if self.silent_after is None:
            await self._pause(request_id, receive)
        signed = ((b"x-response-signature", b"1.2.3"), request_id_header)
        if self.drop_response:
            await _abort_response(signed, send)
        if not self.slots:
            body = self.body or b"done by " + self.name.encode()
            await reply(send, self.status, body, signed)
            return
        await self._send_stream(head, signed, receive, send)

    def _must_crash(self, head: dict[str, str]) -> bool:
        parts = head.get("x-prompt-prefix", "").split(",")
        names = [part.partition(":")[0] for part in parts]
        return bool(self.crashes_on) and (
            self.crashes_on in (head[":path"], *names)
        )

    async def _pause(self, request_id: str, receive: asgi.Receive) -> None:
        """Sends nothing for a while, until the connection is closed."""
        with anyio.move_on_after(self.silence_s):
            await receive()
            self.abandoned.append(request_id)
            raise ConnectionError("connection closed by the client")

    async def _send_stream(
        self,
        head: dict[str, str],
        headers: tuple[tuple[bytes, bytes], ...],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        after = int(head.get("last-event-id", "0"))
        kind = (b"content-type", b"text/event-stream")
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [*headers, kind],
            }
        )
        for number in range(after + 1, self.events + 1):
            if self.silence_s and number - after - 1 == self.silent_after:
                await self._pause(head["x-request-id"], receive)
            if self.break_after and number > after + self.break_after:
                await send(
                    {
                        "type": "http.response.body",
                        "body": b"id: %d\nda" % number,
                        "more_body": True,
                    }
                )
                raise ConnectionError("stream cut")
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            await send(
                {
                    "type": "http.response.body",
                    "body": event,
                    "more_body": True,
                }
            )
            await anyio.sleep(self.event_interval_s)
        await send({"type": "http.response.body", "body": b""})


def make_document(version: int = 1, **changes: object) -> dict[str, Any]:
    """Returns a routing document with a route for each kind of request."""
    kinds: dict[str, dict[str, object]] = {
        "stream": {"Kind": "streaming", "Resumable": True, "Service": "llm"},
        "once-stream": {
            "Kind": "streaming",
            "Service": "llm",
            "MaxAttempts": 1,
        },
        "safe": {"Kind": "idempotent", "Service": "plain"},
        "once": {
            "Kind": "non_idempotent",
            "Service": "plain",
            "MaxAttempts": 1,
        },
    }
    routes = [
        {
            "Name": name,
            "Host": "h.example",
            "PathPrefix": f"/{name}/",
            "TimeoutMs": 5000,
            "MaxAttempts": 2,
            **fields,
        }
        for name, fields in kinds.items()
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": "llm",
                "Engine": {
                    "Slots": 8,
                    "AdapterSlots": 3,
                    "Models": [{"Name": MODEL, "WeightsMb": 1.0}],
                },
            },
            {"Name": "plain"},
        ],
        **changes,
    }


@dataclasses.dataclass(slots=True)
class Cluster:
    """Fake store and servers, all on loopback.

    Attributes:
        store: The store.
        address: `IP:PORT` of the store.
        servers: Servers by name.
        tasks: Task group that runs the HTTP servers.
        forward_port: Port of all instances for requests sent on.
    """

    store: Store
    address: str
    servers: dict[str, Server]
    tasks: anyio.abc.TaskGroup
    forward_port: int = dataclasses.field(default_factory=deployment.find_port)

    async def add_store_proxy(self) -> tuple[StoreProxy, str]:
        """Starts a proxy to the store; returns it and its address."""
        store_proxy = StoreProxy(self.store)
        port, _ = await _serve(store_proxy, self.tasks)
        return store_proxy, f"{HOST}:{port}"

    async def add_server(self, server: Server, zone: str = "z1") -> Server:
        """Starts a server and registers it."""
        server.port, http = await _serve(server, self.tasks)
        server.close = functools.partial(_crash, http)
        server.disconnect = functools.partial(_disconnect, http)
        self.servers[server.name] = server
        self.register(server, zone)
        return server

    async def restart_server(
        self, server: Server, software: str, zone: str = "z1"
    ) -> None:
        """Starts a server again under its id and address, as a version."""
        server.close()
        server.software, server.born = software, server.born + 1
        _, http = await _serve(server, self.tasks, server.port)
        server.close = functools.partial(_crash, http)
        self.register(server, zone)

    def register(
        self, server: Server, zone: str = "z1", state: str = "ready"
    ) -> None:
        """Writes the entry of a server to the store."""
        self.store.put(
            "servers",
            server.name,
            {
                "Service": "llm" if server.slots else "plain",
                "Address": f"{HOST}:{server.port}",
                "Zone": zone,
                "Version": server.software,
                "Slots": 8,
                "State": state,
                "Sequence": 1,
                "born": server.born,
                "Models": server.list_models(),
                "AtHand": {"InMemory": [], "OnDisk": [MODEL]},
            },
        )


def _crash(server: http_server.Server) -> None:
    """Closes the sockets of a server as the end of its process does."""
    for listener in server.servers:
        listener.close()
    _disconnect(server)


def _disconnect(server: http_server.Server) -> None:
    """Closes the connections of a server."""
    for connection in list(server.server_state.connections):
        connection.transport.abort()


async def _serve(
    app: asgi.App, tasks: anyio.abc.TaskGroup, port: int = 0
) -> tuple[int, http_server.Server]:
    """Starts an HTTP server; returns its port and itself."""
    port = port or deployment.find_port()
    server = http_server.make_server(app, HOST, port, KEEP_ALIVE_S)
    tasks.start_soon(server.serve)
    while not server.started:
        await anyio.sleep(0.005)
    return port, server


@contextlib.asynccontextmanager
async def run_cluster() -> AsyncIterator[Cluster]:
    """Runs a store that contains a routing document."""
    async with anyio.create_task_group() as tasks:
        store = Store()
        store.put("config", "main", make_document())
        port, _ = await _serve(store, tasks)
        yield Cluster(store, f"{HOST}:{port}", {}, tasks)
        tasks.cancel_scope.cancel()
