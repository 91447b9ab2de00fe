"""Stand-ins of servers: plain ones and model engines.

They behave like sound servers of PROTOCOL.md, unless a case sets a fault that
the pages name.
"""

import asyncio
import dataclasses
import json
import time

from standins import web

MODEL = "m0"
LOAD_S = 0.25
"""Time to load an adapter, as the sheets state."""

HELD_LOAD_S = 0.025
"""Time for one that the server held recently: "ten times as fast"."""


@dataclasses.dataclass
class Order:
    """An order as it arrived."""

    at: float
    holder: str
    token: int
    operation: str
    adapter: str
    status: int


class Server:
    """A server of a service; an engine if it has places for adapters."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        *,
        adapter_slots: int = 0,
        slots: int = 64,
        version: str = "v1",
        events: int = 40,
        event_s: float = 0.05,
        work_s: float = 0.02,
    ) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.version = version
        self.adapter_slots, self.slots = adapter_slots, slots
        self.events, self.event_s, self.work_s = events, event_s, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beats = 0
        self.state = "ready"
        self.adapters: dict[str, float] = {}
        self.held: set[str] = set()
        self.orders: list[Order] = []
        self.runs: list[tuple[float, str, str]] = []
        self.before_answer = None
        self.turns_away_until = 0.0
        self.turned_away = 0
        self.running = 0
        self.using: dict[str, int] = {}
        self.leaving_adapters: set[str] = set()
        self.server = web.Server(self._handle, host, port)

    def make_entry(self) -> dict:
        """What the server writes to the store with each heartbeat."""
        self.beats += 1
        entry = {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.beats,
            "born": self.born,
        }
        if self.adapter_slots:
            entry["Models"] = self._list_models()
            entry["AtHand"] = {"InMemory": [MODEL], "OnDisk": [MODEL]}
        return entry

    def _list_models(self) -> list[dict]:
        now = time.monotonic()
        ready = [f"{a}@1" for a, at in self.adapters.items() if at <= now]
        return [{"Name": MODEL, "Version": 1, "Adapters": ready}]

    def _make_report(self) -> dict:
        now = time.monotonic()
        coming = [f"{MODEL}/{a}@1" for a, at in self.adapters.items() if at > now]
        return {
            "Stage": "both",
            "Models": self._list_models(),
            "Busy": False,
            "Sequence": self.sequence,
            "Waiting": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 130000,
            "Handles": 0,
            "Coming": coming,
            "born": self.born,
        }

    async def _handle(self, request: web.Request, writer) -> None:
        path = request.target.partition("?")[0]
        if path == "/order":
            await self._take_order(request, writer)
        elif path == "/report":
            body = json.dumps(self._make_report()).encode()
            await web.reply(writer, 200, body)
        elif path == "/health":
            headers = {"X-Instance-Id": self.name}
            await web.reply(writer, 200, b"", headers)
        else:
            await self._run(request, writer)

    async def _take_order(self, request: web.Request, writer) -> None:
        order = json.loads(request.body)
        status = self._carry_out(request, order)
        await web.reply(writer, status)

    def _carry_out(self, request: web.Request, order: dict) -> int:
        status = self._apply(request, order)
        self.orders.append(
            Order(
                time.monotonic(),
                order.get("Holder", ""),
                order.get("FencingToken", 0),
                order["Operation"],
                order.get("Adapter", ""),
                status,
            )
        )
        return status

    def _apply(self, request: web.Request, order: dict) -> int:
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            return 421
        if not order.get("Holder") or not order.get("FencingToken"):
            return 400
        if order.get("Precondition", self.sequence) != self.sequence:
            return 409
        adapter = order.get("Adapter", "")
        if not adapter:
            return 200
        if adapter in self.leaving_adapters:
            return 409
        if order["Operation"] == "unload":
            self.sequence += 1
            if self.using.get(adapter):
                # It waits for its runs to finish.
                self.leaving_adapters.add(adapter)
                return 202
            self.adapters.pop(adapter, None)
            return 200
        if adapter in self.adapters:
            return 200
        self.sequence += 1
        load_s = HELD_LOAD_S if adapter in self.held else LOAD_S
        self.adapters[adapter] = time.monotonic() + load_s
        self.held.add(adapter)
        return 202

    async def _run(self, request: web.Request, writer) -> None:
        request_id = request.headers.get("x-request-id", "")
        refusal = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            await web.reply(writer, 421, b"", refusal)
            return
        adapter = request.headers.get("x-model", "").partition("/")[2]
        if adapter and self.adapters.get(adapter, 1e18) > time.monotonic():
            await web.reply(writer, 421, b"", refusal)
            return
        left_s = self.turns_away_until - time.monotonic()
        if left_s > 0:
            # It wants nothing for a while.
            self.turned_away += 1
            refusal["Retry-After"] = f"{left_s:.2f}"
            await web.reply(writer, 503, b"", refusal)
            return
        if self.running >= self.slots or adapter in self.leaving_adapters:
            await web.reply(writer, 503, b"", refusal)
            return
        self.running += 1
        self.using[adapter] = self.using.get(adapter, 0) + 1
        try:
            self.runs.append((time.monotonic(), request_id, request.target))
            if self.before_answer is not None:
                await self.before_answer(request, writer)
            await asyncio.sleep(self.work_s)
            await self._answer(request, request_id, writer)
        finally:
            self.running -= 1
            self.using[adapter] -= 1
            if not self.using[adapter] and adapter in self.leaving_adapters:
                self.leaving_adapters.discard(adapter)
                self.adapters.pop(adapter, None)

    async def _answer(self, request, request_id: str, writer) -> None:
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": f"{self.name}.{request_id}",
        }
        if not self.adapter_slots:
            body = f"done by {self.service} {self.name}".encode()
            await web.reply(writer, 200, body, headers)
            return
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Content-Type: text/event-stream")
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {self.name} {number}\n\n"
            data = event.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
