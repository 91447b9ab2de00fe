"""Stand-in of an upstream, as a process of its own.

Run with the path of its settings as JSON. It appends each event that it sees to
a file, one JSON object a line and unbuffered, so that nothing is lost when the
process is killed. `POST /soak` changes its behaviour.
"""

import collections
import dataclasses
import json
import os
import pathlib
import random
import sys
import time
from typing import Any
from typing import NoReturn

import anyio
import anyio.abc
import soak_adapters
import soak_http
import soak_peers
import soak_upstream

HEARTBEAT_S = 1.2
HANG_POLL_S = 0.1
ENDLESS_PIECE_BYTES = 1 << 18
ENDLESS_PERIOD_S = 0.02
"""Time between two pieces of a response without end."""


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


class CutError(Exception):
    """The stand-in ends the connection."""


class StandIn:
    """A server of a service; a model engine if it has adapter slots."""

    def __init__(self, config: soak_upstream.Config) -> None:
        """Opens the file of events."""
        self._config = config
        self._born_ms = int(time.time() * 1000)
        self._rng = random.Random(config.seed)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._record_fd = os.open(config.record, flags, 0o644)
        self._beats = 0
        self._running = 0
        self._arrived: collections.deque[float] = collections.deque()
        self._adapters = soak_adapters.Adapters(config.adapter_slots)
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
            entry["AtHand"] = {
                "InMemory": [soak_upstream.MODEL],
                "OnDisk": [soak_upstream.MODEL],
            }
        return entry

    def _list_models(self) -> list[dict[str, Any]]:
        ready = [f"{name}@1" for name in self._adapters.list_ready()]
        return [{"Name": soak_upstream.MODEL, "Version": 1, "Adapters": ready}]

    def _make_report(self) -> dict[str, Any]:
        coming = self._adapters.list_coming()
        return {
            "Stage": "both",
            "Models": self._list_models(),
            "Busy": False,
            "Sequence": self._adapters.sequence,
            "Waiting": 0,
            "Running": self._running,
            "KvUsed": 0,
            "KvTotal": 130000,
            "Handles": 0,
            "Coming": [f"{soak_upstream.MODEL}/{name}@1" for name in coming],
            "born": self._born_ms,
        }

    # Connections.

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        connection = soak_http.Connection(stream)
        self._connections.add(connection)
        count = 0
        try:
            while True:
                await self._check_cut(connection)
                head = await connection.read_head()
                await self._check_cut(connection)
                count += 1
                if self._closes_unread(count):
                    return
                await self._handle(await self._read(connection, head, count))
        except (*soak_http.CLOSED, OSError):
            pass
        except CutError:
            resets = self._config.resets or self._config.cut_resets
            await connection.close(reset=resets)
        finally:
            self._connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await connection.close()

    async def _check_cut(self, connection: soak_http.Connection) -> None:
        """Resets or leaves hanging a connection that must not be heard."""
        pids = self._config.cut_pids
        if not pids or not soak_peers.is_from(connection.raw_socket, pids):
            return
        if self._config.cut_resets:
            raise CutError
        while pids == self._config.cut_pids:
            await anyio.sleep(HANG_POLL_S)

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
        headers = headers | soak_upstream.make_state_headers(self._config)
        response = soak_http.make_response(status, headers, body)
        await request.connection.send(response)

    async def _write(self, request: Request, data: bytes) -> None:
        """Writes a part of a response to a request of a client."""
        await self._wait(request, self._config.delay_s)
        while self._config.holds_responses:
            await self._wait(request, HANG_POLL_S)
        await request.connection.send(data)

    async def _change(self, request: Request) -> None:
        changes = json.loads(request.body)
        self._note("change", changes=changes)
        if changes.pop("reset_all", False):
            await self._reset(self._connections - {request.connection})
        for name, value in changes.items():
            setattr(self._config, name, value)
        if changes.get("cut_resets"):
            cut = {
                connection
                for connection in self._connections
                if soak_peers.is_from(
                    connection.raw_socket, self._config.cut_pids
                )
            }
            await self._reset(cut)
        self._changed.set()
        self._changed = anyio.Event()
        await self._reply(request, 200, {})

    async def _reset(self, connections: set[soak_http.Connection]) -> None:
        for connection in list(connections):
            await connection.close(reset=True)

    # Orders.

    async def _order(self, request: Request) -> None:
        order = json.loads(request.body)
        status = 421
        if self._is_expected(request):
            status = self._adapters.apply(order)
        self._note(
            "order",
            status=status,
            holder=order.get("Holder"),
            token=order.get("FencingToken"),
            operation=order.get("Operation"),
            adapter=order.get("Adapter", ""),
            is_overloaded=self._adapters.is_overloaded,
        )
        await self._reply(request, status, {})

    def _is_expected(self, request: Request) -> bool:
        name = self._config.name
        return request.headers.get("x-expect-instance", name) == name

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
        self._adapters.acquire(adapter)
        ended = "closed"
        try:
            ended = await self._work(request)
        except CutError:
            ended = "cut"
            raise
        finally:
            self._note("end", id=request.request_id, how=ended)
            self._running -= 1
            self._adapters.release(adapter)

    def _find_refusal(
        self, request: Request, adapter: str
    ) -> tuple[int, str] | None:
        now = time.monotonic()
        if not self._is_expected(request):
            return 421, "instance"
        is_refusing = now < self._config.refuses_until
        if is_refusing and self._rng.random() < self._config.refuse_fraction:
            return 503, "wave"
        if self._is_over_limit(now):
            return 503, "limit"
        if self._config.adapter_slots and self._lacks(adapter):
            return 421, "adapter"
        if self._running >= self._config.slots or self._adapters.is_unloading(
            adapter
        ):
            return 503, "full"
        return None

    def _is_over_limit(self, now: float) -> bool:
        """Counts an arrival; returns whether a second had too many."""
        self._arrived.append(now)
        while self._arrived[0] < now - 1.0:
            self._arrived.popleft()
        limit = self._config.names_limit
        return limit > 0.0 and len(self._arrived) > limit

    def _lacks(self, adapter: str) -> bool:
        if self._rng.random() < self._config.missing_fraction:
            return True
        return not self._adapters.is_ready(adapter)

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
        if not time_s:
            return
        with anyio.move_on_after(time_s):
            while True:
                await request.connection.fill()

    async def _work(self, request: Request) -> str:
        if self._rng.random() < self._config.stray_fraction:
            self._note("stray", id=request.request_id)
            stray = soak_upstream.make_stray(self._config.stray)
            await request.connection.send(stray)
        await self._wait(request, self._config.work_s)
        self._note("begin", id=request.request_id, path=request.path)
        headers = {
            "X-Request-Id": request.request_id,
            "X-Response-Signature": f"{self._config.name}.{request.request_id}",
        }
        headers |= soak_upstream.make_state_headers(self._config)
        if self._rng.random() < self._config.endless_fraction:
            await self._send_endlessly(request, headers)
        is_cut = self._rng.random() < self._config.cut_fraction
        if self._config.adapter_slots:
            await self._stream(request, headers, is_cut)
            return "complete"
        body = soak_upstream.make_body(
            self._config.service, request.request_id, request.body
        )
        response = soak_http.make_response(200, headers, body)
        if is_cut:
            size = self._rng.randrange(len(response))
            if size:
                await self._write(request, response[:size])
            raise CutError
        await self._write(request, response)
        return "complete"

    async def _send_endlessly(
        self, request: Request, headers: soak_http.Headers
    ) -> NoReturn:
        """Sends bytes until the caller closes."""
        connection = request.connection
        match self._config.endless_part:
            case "head":
                piece = b"x-padding: " + b"x" * 1000 + b"\r\n"
                head = soak_http.make_response_head(200, headers)
                await connection.send(head.removesuffix(b"\r\n"))
            case "body":
                piece = b"."
                if self._config.adapter_slots:
                    piece = soak_upstream.COMMENT + b"\n\n"
                await self._begin_stream(request, headers, is_framed=False)
            case "event":
                piece = b"data: x\n"
                await self._begin_stream(request, headers, is_framed=False)
        pieces = piece * (ENDLESS_PIECE_BYTES // len(piece))
        while True:
            await connection.send(pieces)
            await self._wait(request, ENDLESS_PERIOD_S)

    async def _stream(
        self, request: Request, headers: soak_http.Headers, is_cut: bool
    ) -> None:
        is_framed = not self._config.ends_unframed
        await self._begin_stream(request, headers, is_framed)
        first = int(request.headers.get("last-event-id") or 0) + 1
        last = int(request.headers["x-token-count"].split(",")[1])
        last = last // soak_upstream.EVENT_TOKENS
        cut_at = self._rng.randint(first, last) if is_cut else 0
        for number in range(first, last + 1):
            event = self._make_event(request, number)
            if number == cut_at:
                half = event[: len(event) // 2]
                if self._config.cuts_inside:
                    await self._write(request, _frame(half, is_framed))
                raise CutError
            await self._write(request, _frame(event, is_framed))
            pauses = number == (first + last) // 2
            pause_s = self._config.pause_s if pauses else 0.0
            await self._wait(request, self._config.event_s + pause_s)
        if not is_framed:
            request.connection.set_reset(False)
            await request.connection.close()
            return
        await self._write(request, b"0\r\n\r\n")

    async def _begin_stream(
        self, request: Request, headers: soak_http.Headers, is_framed: bool
    ) -> None:
        headers["Content-Type"] = "text/event-stream"
        if is_framed:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Connection"] = "close"
        # Nothing but a reset tells the end of a broken stream without framing.
        request.connection.set_reset(not is_framed)
        head = soak_http.make_response_head(200, headers)
        await self._write(request, head)

    def _make_event(self, request: Request, number: int) -> bytes:
        stream = request.body.decode("latin-1")
        text = f"{self._config.software} {self._config.name}-{self._born_ms}"
        return f"id: {number}\ndata: {text} {stream} {number}\n\n".encode()


def _frame(data: bytes, is_framed: bool) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data) if is_framed else data


def main() -> None:
    """Runs a stand-in."""
    settings = json.loads(pathlib.Path(sys.argv[1]).read_text())
    anyio.run(StandIn(soak_upstream.Config(**settings)).run)


if __name__ == "__main__":
    main()
