"""A small stand-in of the users' platform: its store, engines and services.

It speaks the wire's names, as only the adapter and its tests do.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
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


async def _read_body(receive: asgi.Receive) -> bytes:
    return await asgi.read_body(receive, 1 << 22)


async def reply(
    send: asgi.Send,
    status: int,
    body: bytes = b"",
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Sends a whole answer."""
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


async def _break_answer(
    headers: tuple[tuple[bytes, bytes], ...], send: asgi.Send
) -> None:
    """Closes the connection before the end of an answer."""
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
    raise ConnectionError("the answer is lost")


class Store:
    """Objects by kind and name, with revisions, conditions and watches.

    Attributes:
        objects: Objects by kind and name.
        calls: Calls as `METHOD path`.
        lose_answers: Whether writes take effect and are not answered.
        is_down: Whether every call is refused.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.calls: list[str] = []
        self.lose_answers = False
        self.is_down = False
        self._revision = 1
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Creates or replaces an object; returns its revision."""
        self._revision += 1
        found = {
            "Metadata": {"Name": name, "Revision": self._revision},
            "Spec": spec,
        }
        self.objects.setdefault(kind, {})[name] = found
        self._tell(kind, {"Object": found, "Deleted": False})
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self._revision += 1
        found = self.objects[kind].pop(name)
        found["Metadata"]["Revision"] = self._revision
        self._tell(kind, {"Object": found, "Deleted": True})

    def _tell(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = anyio.Event()

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers one call."""
        self.calls.append(f"{scope['method']} {scope['path']}")
        if self.is_down:
            await reply(send, 503)
            return
        parts = scope["path"].split("/")[2:]
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        if scope["method"] == "GET":
            await self._read(parts, query, send)
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
            one
            for name, one in sorted(self.objects.get(kind, {}).items())
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
        since = int(query["Watch"])
        with anyio.move_on_after(int(query["WaitMs"]) / 1000):
            while not self._list_events(kind, since):
                await self._changed.wait()
        body = {
            "events": self._list_events(kind, since),
            "CurrentRev": self._revision,
        }
        await reply(send, 200, json.dumps(body).encode())

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, of_kind, event in self._events
            if of_kind == kind and revision > since
        ]

    async def _write(
        self,
        method: str,
        parts: list[str],
        receive: asgi.Receive,
        send: asgi.Send,
    ) -> None:
        body = json.loads(await _read_body(receive) or b"{}")
        kind, name = parts[0], body["Metadata"]["Name"]
        known = self.objects.get(kind, {}).get(name)
        wanted = body["Metadata"].get("Revision")
        conflict = (
            known is not None
            if method == "POST"
            else (known is None or known["Metadata"]["Revision"] != wanted)
        )
        if conflict:
            await reply(send, 409, json.dumps(known).encode())
            return
        self.put(kind, name, body["Spec"])
        if self.lose_answers:
            raise ConnectionError("the answer is lost")
        found = self.objects[kind][name]
        await reply(send, 200, json.dumps(found).encode())


@dataclasses.dataclass(slots=True)
class Gate:
    """One instance's own way to the store.

    Attributes:
        store: The store behind it.
        is_down: Whether every call is refused.
        down_kind: Kind of objects whose calls are refused.
    """

    store: Store
    is_down: bool = False
    down_kind: str = ""

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Passes a call on."""
        kind = scope["path"].split("/")[2]
        if self.is_down or kind == self.down_kind:
            await reply(send, 503)
            return
        await self.store(scope, receive, send)


@dataclasses.dataclass(slots=True)
class Server:
    """A model engine, or a plain service's server.

    Attributes:
        name: Its id.
        slots: Adapters that it may hold; 0 for a plain server.
        port: Its port on loopback.
        adapters: Versions by adapter.
        runs: Ids of the requests that it ran, in order.
        heads: Headers of the requests that it ran, by id.
        orders: Orders that it accepted.
        break_after: Events after which streams break off; 0 for never.
        lose: Whether its answers break off before their end.
        pause_s: Time between events.
        events: Events of a whole stream.
    """

    name: str
    slots: int = 0
    port: int = 0
    adapters: dict[str, int] = dataclasses.field(default_factory=dict)
    runs: list[str] = dataclasses.field(default_factory=list)
    heads: dict[str, dict[str, str]] = dataclasses.field(default_factory=dict)
    orders: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    break_after: int = 0
    lose: bool = False
    pause_s: float = 0.002
    events: int = 10

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers one call."""
        body = await _read_body(receive)
        if scope["path"] == "/order":
            await self._order(json.loads(body), send)
        elif scope["path"] == "/report":
            await reply(send, 200, json.dumps(self._describe()).encode())
        else:
            await self._run(_make_headers(scope), send)

    def _describe(self) -> dict[str, Any]:
        return {
            "Sequence": len(self.orders),
            "Busy": False,
            "born": 1,
            "Models": self.list_models(),
            "Coming": [],
        }

    def list_models(self) -> list[dict[str, Any]]:
        """Returns what it holds, as it reports it."""
        if not self.slots:
            return []
        held = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"Name": MODEL, "Version": 1, "Adapters": held}]

    async def _order(self, order: dict[str, Any], send: asgi.Send) -> None:
        if order["Precondition"] != len(self.orders):
            await reply(send, 409)
            return
        self.orders.append(order)
        if order["Operation"] == "unload":
            self.adapters.pop(order["Adapter"], None)
            await reply(send, 200)
            return
        self.adapters[order["Adapter"]] = order.get("Version", 1)
        assert len(self.adapters) <= self.slots, "ordered beyond its slots"
        await reply(send, 202)

    async def _run(self, head: dict[str, str], send: asgi.Send) -> None:
        request_id = head["x-request-id"]
        answered = (b"x-request-id", request_id.encode())
        refusal = ((b"x-not-executed", b"1"), answered)
        if head.get("x-expect-instance") != self.name:
            await reply(send, 421, headers=refusal)
            return
        adapter = head.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            await reply(send, 421, headers=refusal)
            return
        self.runs.append(request_id)
        self.heads[request_id] = head
        signed = ((b"x-response-signature", b"1.2.3"), answered)
        if self.lose:
            await _break_answer(signed, send)
        if not self.slots:
            await reply(send, 200, b"done by " + self.name.encode(), signed)
            return
        await self._stream(int(head.get("last-event-id", "0")), signed, send)

    async def _stream(
        self,
        after: int,
        headers: tuple[tuple[bytes, bytes], ...],
        send: asgi.Send,
    ) -> None:
        kind = (b"content-type", b"text/event-stream")
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [*headers, kind],
            }
        )
        for number in range(after + 1, self.events + 1):
            if self.break_after and number > after + self.break_after:
                await send(
                    {
                        "type": "http.response.body",
                        "body": b"id: %d\nda" % number,
                        "more_body": True,
                    }
                )
                raise ConnectionError("the stream breaks")
            event = b"id: %d\ndata: t%d\n\n" % (number, number)
            await send(
                {
                    "type": "http.response.body",
                    "body": event,
                    "more_body": True,
                }
            )
            await anyio.sleep(self.pause_s)
        await send({"type": "http.response.body", "body": b""})


def make_document(version: int = 1, **changes: object) -> dict[str, Any]:
    """Returns a routing document with one route of each kind."""
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
class World:
    """The store and the servers, all on loopback.

    Attributes:
        store: The store.
        address: Its `IP:PORT`.
        servers: Servers by name.
        tasks: Runs them.
    """

    store: Store
    address: str
    servers: dict[str, Server]
    tasks: anyio.abc.TaskGroup

    async def add_gate(self) -> tuple[Gate, str]:
        """Returns a way to the store of its own, and its address."""
        gate = Gate(self.store)
        port = await _serve(gate, self.tasks)
        return gate, f"{HOST}:{port}"

    async def add(self, server: Server, zone: str = "z1") -> Server:
        """Starts a server and registers it."""
        server.port = await _serve(server, self.tasks)
        self.servers[server.name] = server
        self.register(server, zone)
        return server

    def register(
        self, server: Server, zone: str = "z1", state: str = "ready"
    ) -> None:
        """Writes a server's entry."""
        self.store.put(
            "servers",
            server.name,
            {
                "Service": "llm" if server.slots else "plain",
                "Address": f"{HOST}:{server.port}",
                "Zone": zone,
                "Slots": 8,
                "State": state,
                "Sequence": 1,
                "born": 1,
                "Models": server.list_models(),
                "AtHand": {"InMemory": [], "OnDisk": [MODEL]},
            },
        )


async def _serve(app: asgi.App, tasks: anyio.abc.TaskGroup) -> int:
    port = deployment.find_port()
    server = http_server.make_server(app, HOST, port, KEEP_ALIVE_S)
    tasks.start_soon(server.serve)
    while not server.started:
        await anyio.sleep(0.005)
    return port


@contextlib.asynccontextmanager
async def run_world() -> AsyncIterator[World]:
    """Runs a store with a routing document."""
    async with anyio.create_task_group() as tasks:
        store = Store()
        store.put("config", "main", make_document())
        port = await _serve(store, tasks)
        yield World(store, f"{HOST}:{port}", {}, tasks)
        tasks.cancel_scope.cancel()
