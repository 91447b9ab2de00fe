"""Stand-in of an upstream, as a process of its own.

Run with the path of its settings as JSON. It appends each event that it sees to
a file, one JSON object a line and unbuffered, so that nothing is lost when the
process is killed. `POST /soak` changes its behaviour.
"""

import dataclasses
import hashlib
import json
import os
import pathlib
import random
import sys
import time
from typing import Any

import anyio
import anyio.abc
import soak_http

MODEL = "m0"
HEARTBEAT_S = 1.2
LOAD_S = 0.25
EVENT_TOKENS = 3
BODY_BYTES = 800
NEVER = float("inf")


@dataclasses.dataclass(slots=True)
class Config:
    """Settings of a stand-in.

    Attributes:
        name: Instance id.
        service: Name of its service.
        zone: Availability zone.
        address: `IP:PORT` to listen on.
        store: Address of the store.
        software: Version of its software.
        record: Path of the file of events.
        adapter_slots: Adapter slots; 0 for a plain server.
        slots: Requests that run at a time.
        work_s: Time until a plain response, or the first event.
        event_s: Time between events.
        seed: Seed of its random choices.
        state: `ready` or `draining`.
        is_beating: Whether it writes its entry.
        names_leaving: Whether its responses say that it leaves.
        refuses_until: Time until which it turns requests away.
        names_retry: Whether those refusals say when to come back.
        refuse_fraction: Fraction of requests that it turns away meanwhile.
        late_copy_s: Time after which a refusal is sent again; 0 for never.
        cut_fraction: Fraction of responses that it cuts.
        cuts_inside: Whether streams are cut inside an event.
        resets: Whether cut connections are reset.
        ends_unframed: Whether streams end with their connection.
        idle_close_fraction: Fraction of requests on kept connections at whose
            arrival the connection is closed without reading on.
        pause_s: Silence in the middle of each stream.
    """

    name: str
    service: str
    zone: str
    address: str
    store: str
    software: str
    record: str
    adapter_slots: int = 0
    slots: int = 64
    work_s: float = 0.03
    event_s: float = 0.06
    seed: int = 0
    state: str = "ready"
    is_beating: bool = True
    names_leaving: bool = False
    refuses_until: float = 0.0
    names_retry: bool = False
    refuse_fraction: float = 1.0
    late_copy_s: float = 0.0
    cut_fraction: float = 0.0
    cuts_inside: bool = False
    resets: bool = False
    ends_unframed: bool = False
    idle_close_fraction: float = 0.0
    pause_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Request:
    """A request that was read whole."""

    method: str
    path: str
    headers: soak_http.Headers
    body: bytes
    connection: soak_http.Connection
    count: int

    @property
    def request_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-request-id", "")


def make_body(service: str, request_id: str, sent: bytes) -> bytes:
    """Returns the body of a plain response, which a client can check."""
    digest = hashlib.sha256(sent).hexdigest()
    return f"{service} {request_id} {digest} ".encode().ljust(BODY_BYTES, b".")


class CutError(Exception):
    """The stand-in ends the connection."""


class StandIn:
    """A server of a service; a model engine if it has adapter slots."""

    def __init__(self, config: Config) -> None:
        """Opens the file of events."""
        self._config = config
        self._born_ms = int(time.time() * 1000)
        self._rng = random.Random(config.seed)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._record_fd = os.open(config.record, flags, 0o644)
        self._beats = 0
        self._sequence = 0
        self._running = 0
        self._ready_at: dict[str, float] = {}
        self._using: dict[str, int] = {}
        self._unloading: set[str] = set()
        self._connections: set[soak_http.Connection] = set()
        self._changed = anyio.Event()

    def _note(self, kind: str, **fields: object) -> None:
        line = {"t": time.monotonic(), "kind": kind, **fields}
        os.write(self._record_fd, json.dumps(line).encode() + b"\n")

    async def run(self) -> None:
        """Serves until the process ends."""
        host, _, port = self._config.address.rpartition(":")
        self._note("start", born=self._born_ms, software=self._config.software)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        async with anyio.create_task_group() as tasks, listener:
            tasks.start_soon(self._beat)
            await listener.serve(self._serve)

    # Registration.

    async def _beat(self) -> None:
        while True:
            if self._config.is_beating:
                body = json.dumps(self._make_entry()).encode()
                path = f"/beats/{self._config.name}"
                await soak_http.call(self._config.store, "PUT", path, body, 1.0)
            changed = self._changed
            with anyio.move_on_after(HEARTBEAT_S):
                await changed.wait()

    def _make_entry(self) -> dict[str, Any]:
        self._beats += 1
        entry: dict[str, Any] = {
            "Service": self._config.service,
            "Address": self._config.address,
            "Zone": self._config.zone,
            "Version": self._config.software,
            "Slots": self._config.slots,
            "State": self._config.state,
            "ColdRemainingMs": 0,
            "Sequence": self._beats,
            "born": self._born_ms,
        }
        if self._config.adapter_slots:
            entry["Models"] = self._list_models()
            entry["AtHand"] = {"InMemory": [MODEL], "OnDisk": [MODEL]}
        return entry

    def _list_models(self) -> list[dict[str, Any]]:
        now = time.monotonic()
        ready = [f"{n}@1" for n, at in self._ready_at.items() if at <= now]
        return [{"Name": MODEL, "Version": 1, "Adapters": ready}]

    def _make_report(self) -> dict[str, Any]:
        now = time.monotonic()
        coming = [n for n, at in self._ready_at.items() if at > now]
        return {
            "Stage": "both",
            "Models": self._list_models(),
            "Busy": False,
            "Sequence": self._sequence,
            "Waiting": 0,
            "Running": self._running,
            "KvUsed": 0,
            "KvTotal": 130000,
            "Handles": 0,
            "Coming": [f"{MODEL}/{name}@1" for name in coming],
            "born": self._born_ms,
        }

    # Connections.

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        connection = soak_http.Connection(stream)
        self._connections.add(connection)
        count = 0
        try:
            while True:
                head = await connection.read_head()
                count += 1
                if self._closes_unread(count):
                    return
                await self._handle(await self._read(connection, head, count))
        except (*soak_http.CLOSED, OSError):
            pass
        except CutError:
            await connection.close(reset=self._config.resets)
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await connection.close()

    def _closes_unread(self, count: int) -> bool:
        fraction = self._config.idle_close_fraction
        return count > 1 and self._rng.random() < fraction

    async def _read(
        self,
        connection: soak_http.Connection,
        head: soak_http.Head,
        count: int,
    ) -> Request:
        method, path, _ = head.line.split(" ", 2)
        parts = [part async for part in connection.read_body(head)]
        body = b"".join(parts)
        return Request(method, path, head.headers, body, connection, count)

    async def _handle(self, request: Request) -> None:
        match request.path.partition("?")[0]:
            case "/soak":
                await self._change(request)
            case "/order":
                await self._order(request)
            case "/report":
                body = json.dumps(self._make_report()).encode()
                await self._reply(request, 200, {}, body)
            case "/health":
                status = 200 if self._config.state == "ready" else 503
                headers = {"X-Instance-Id": self._config.name}
                await self._reply(request, status, headers)
            case _:
                await self._run(request)

    async def _reply(
        self,
        request: Request,
        status: int,
        headers: soak_http.Headers,
        body: bytes = b"",
    ) -> None:
        if self._config.names_leaving:
            headers = {**headers, "Server-Leaving": "1"}
        response = soak_http.make_response(status, headers, body)
        await request.connection.send(response)

    async def _change(self, request: Request) -> None:
        changes = json.loads(request.body)
        self._note("change", changes=changes)
        if changes.pop("reset_all", False):
            for connection in list(self._connections - {request.connection}):
                await connection.close(reset=True)
        for name, value in changes.items():
            setattr(self._config, name, value)
        self._changed.set()
        self._changed = anyio.Event()
        await self._reply(request, 200, {})

    # Orders.

    async def _order(self, request: Request) -> None:
        order = json.loads(request.body)
        status = self._apply(request, order)
        self._note(
            "order",
            status=status,
            holder=order.get("Holder"),
            token=order.get("FencingToken"),
            operation=order.get("Operation"),
            adapter=order.get("Adapter", ""),
        )
        await self._reply(request, status, {})

    def _is_expected(self, request: Request) -> bool:
        name = self._config.name
        return request.headers.get("x-expect-instance", name) == name

    def _apply(self, request: Request, order: dict[str, Any]) -> int:
        if not self._is_expected(request):
            return 421
        if not order.get("Holder") or not order.get("FencingToken"):
            return 400
        if order.get("Precondition", self._sequence) != self._sequence:
            return 409
        adapter = order.get("Adapter", "")
        if not adapter:
            return 200
        if adapter in self._unloading:
            return 409
        if order["Operation"] == "unload":
            return self._unload(adapter)
        if adapter in self._ready_at:
            return 200
        self._sequence += 1
        if len(self._ready_at) >= self._config.adapter_slots:
            self._note("overloaded", adapter=adapter)
        self._ready_at[adapter] = time.monotonic() + LOAD_S
        return 202

    def _unload(self, adapter: str) -> int:
        self._sequence += 1
        if self._using.get(adapter):
            self._unloading.add(adapter)
            return 202
        self._ready_at.pop(adapter, None)
        return 200

    # Requests.

    async def _run(self, request: Request) -> None:
        self._note(
            "arrive",
            id=request.request_id,
            path=request.path,
            after=request.headers.get("last-event-id", ""),
            expected=request.headers.get("x-expect-instance", ""),
            count=request.count,
        )
        adapter = request.headers.get("x-model", "").partition("/")[2]
        refusal = self._find_refusal(request, adapter)
        if refusal:
            await self._refuse(request, *refusal)
            return
        self._running += 1
        self._using[adapter] = self._using.get(adapter, 0) + 1
        ended = "closed"
        try:
            ended = await self._work(request)
        except CutError:
            ended = "cut"
            raise
        finally:
            self._note("end", id=request.request_id, how=ended)
            self._running -= 1
            self._release(adapter)

    def _release(self, adapter: str) -> None:
        self._using[adapter] -= 1
        if not self._using[adapter] and adapter in self._unloading:
            self._unloading.discard(adapter)
            self._ready_at.pop(adapter, None)

    def _find_refusal(
        self, request: Request, adapter: str
    ) -> tuple[int, str] | None:
        now = time.monotonic()
        if not self._is_expected(request):
            return 421, "instance"
        is_refusing = now < self._config.refuses_until
        if is_refusing and self._rng.random() < self._config.refuse_fraction:
            return 503, "wave"
        is_engine = self._config.adapter_slots > 0
        if is_engine and self._ready_at.get(adapter, NEVER) > now:
            return 421, "adapter"
        if self._running >= self._config.slots or adapter in self._unloading:
            return 503, "full"
        return None

    async def _refuse(self, request: Request, status: int, why: str) -> None:
        self._note("reject", id=request.request_id, status=status, why=why)
        headers = {"X-Request-Id": request.request_id, "X-Not-Executed": "1"}
        left_s = self._config.refuses_until - time.monotonic()
        if self._config.names_retry and why == "wave" and left_s > 0:
            headers["Retry-After"] = f"{left_s:.2f}"
        await self._reply(request, status, headers)
        if self._config.late_copy_s:
            await self._wait(request, self._config.late_copy_s)
            self._note("copy", id=request.request_id)
            await self._reply(request, status, headers)

    async def _wait(self, request: Request, time_s: float) -> None:
        """Waits; raises one of `CLOSED` once the caller has closed."""
        with anyio.move_on_after(time_s):
            while True:
                await request.connection.fill()

    async def _work(self, request: Request) -> str:
        await self._wait(request, self._config.work_s)
        self._note("begin", id=request.request_id, path=request.path)
        headers = {
            "X-Request-Id": request.request_id,
            "X-Response-Signature": f"{self._config.name}.{request.request_id}",
        }
        if self._config.names_leaving:
            headers["Server-Leaving"] = "1"
        is_cut = self._rng.random() < self._config.cut_fraction
        if self._config.adapter_slots:
            await self._stream(request, headers, is_cut)
            return "complete"
        body = make_body(self._config.service, request.request_id, request.body)
        response = soak_http.make_response(200, headers, body)
        if is_cut:
            size = self._rng.randrange(len(response))
            if size:
                await request.connection.send(response[:size])
            raise CutError
        await request.connection.send(response)
        return "complete"

    async def _stream(
        self, request: Request, headers: soak_http.Headers, is_cut: bool
    ) -> None:
        is_framed = not self._config.ends_unframed
        headers["Content-Type"] = "text/event-stream"
        headers |= {"Transfer-Encoding": "chunked"} if is_framed else {}
        headers |= {} if is_framed else {"Connection": "close"}
        head = soak_http.make_response_head(200, headers)
        await request.connection.send(head)
        first = int(request.headers.get("last-event-id") or 0) + 1
        last = int(request.headers["x-token-count"].split(",")[1])
        last = last // EVENT_TOKENS
        cut_at = self._rng.randint(first, last) if is_cut else 0
        for number in range(first, last + 1):
            event = self._make_event(request, number)
            if number == cut_at:
                half = event[: len(event) // 2]
                if self._config.cuts_inside:
                    await request.connection.send(_frame(half, is_framed))
                raise CutError
            await request.connection.send(_frame(event, is_framed))
            pauses = number == (first + last) // 2
            pause_s = self._config.pause_s if pauses else 0.0
            await self._wait(request, self._config.event_s + pause_s)
        if not is_framed:
            await request.connection.close()
            return
        await request.connection.send(b"0\r\n\r\n")

    def _make_event(self, request: Request, number: int) -> bytes:
        stream = request.body.decode("latin-1")
        text = f"{self._config.software} {self._config.name}-{self._born_ms}"
        return f"id: {number}\ndata: {text} {stream} {number}\n\n".encode()


def _frame(data: bytes, is_framed: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if is_framed else data


def main() -> None:
    """Runs a stand-in."""
    settings = json.loads(pathlib.Path(sys.argv[1]).read_text())
    anyio.run(StandIn(Config(**settings)).run)


if __name__ == "__main__":
    main()
