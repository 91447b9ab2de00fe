"""Stand-in of a model server, which takes orders and streams events."""

import asyncio
import json

import standins

LOAD_S = 0.25
EVENT_PAUSE_S = 0.03


class Order:
    """An order that has arrived."""

    def __init__(self, at: float, fields: dict) -> None:
        self.at = at
        self.holder = fields["Holder"]
        self.number = fields["FencingToken"]
        self.operation = fields["Operation"]
        self.target = f"{fields['Model']}/{fields.get('Adapter', '')}"


class Engine(standins.Server):
    """A model server that holds one model and loads its adapters."""

    def __init__(
        self,
        store: standins.Store,
        record: standins.Record,
        name: str,
        service: str,
        model: str,
        adapter_slots: int = 20,
        events: int = 8,
        **options: object,
    ) -> None:
        super().__init__(store, record, name, service, slots=64, **options)
        self.model, self.adapter_slots, self.events = model, adapter_slots, events
        self.adapters: dict[str, int] = {}
        self.coming: dict[str, int] = {}
        self.order_count = 0
        self.first_event = 1
        self.orders: list[Order] = []

    def describe(self, request_id: str) -> dict[str, str]:
        return {**super().describe(request_id), "X-Weight-Versions": "1"}

    def make_entry(self) -> dict:
        adapters = [f"{name}@{at}" for name, at in self.adapters.items()]
        return {
            **super().make_entry(),
            "Stage": "both",
            "Models": [{"Name": self.model, "Version": 1, "Adapters": adapters}],
        }

    async def answer(
        self, head: standins.Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        method, path, _ = head.line.split(" ", 2)
        if path == "/report":
            writer.write(self._make_json(200, self._make_report()))
            return
        if path == "/order":
            expected = head.values.get("x-expect-instance", self.name)
            status = 421 if expected != self.name else self._take(json.loads(body))
            writer.write(self._make_json(status, {}))
            return
        adapter = head.values.get("x-model", "").partition("/")[2]
        if adapter and adapter not in self.adapters:
            headers = self.describe(head.values.get("x-request-id", ""))
            headers["X-Not-Executed"] = "1"
            writer.write(standins.make_answer(421, headers))
            return
        self.first_event = int(head.values.get("last-event-id", "0")) + 1
        await super().answer(head, body, writer)

    def _make_json(self, status: int, content: object) -> bytes:
        headers = {"Content-Type": "application/json", **self.extra_headers}
        return standins.make_answer(status, headers, json.dumps(content).encode())

    def _make_report(self) -> dict:
        entry = self.make_entry()
        return {
            "Stage": "both",
            "Models": entry["Models"],
            "Busy": False,
            "Sequence": self.order_count,
            "Waiting": 0,
            "Running": 0,
            "KvUsed": 0,
            "KvTotal": 90000,
            "Handles": 0,
            "Coming": [f"{self.model}/{n}@{v}" for n, v in self.coming.items()],
            "born": self.born,
        }

    def _take(self, fields: dict) -> int:
        """Takes an order; returns the status of its answer."""
        order = Order(standins.clock(), fields)
        self.orders.append(order)
        status = self._carry_out(fields)
        self.record.write(
            f"server {self.name}: order {order.operation} {order.target} of "
            f"{order.holder}, generation number {order.number}: {status}"
        )
        return status

    def _carry_out(self, fields: dict) -> int:
        adapter = fields.get("Adapter", "")
        if fields.get("Precondition", self.order_count) != self.order_count:
            return 409
        if not adapter:
            return 200
        version = fields.get("Version", 1)
        if fields["Operation"] == "unload":
            self.adapters.pop(adapter, None)
            self.order_count += 1
            return 200
        if self.adapters.get(adapter) == version:
            return 200
        self.order_count += 1
        self.coming[adapter] = version
        asyncio.get_running_loop().call_later(LOAD_S, self._arrive, adapter)
        return 202

    def _arrive(self, adapter: str) -> None:
        self.adapters[adapter] = self.coming.pop(adapter)

    async def run(
        self,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Streams events with increasing ids."""
        first = self.first_event
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {self.name} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def make_profile(model: str, adapter_slots: int = 20) -> dict:
    """Returns the `Engine` of a service in a manifest."""
    return {
        "Slots": 64,
        "KvCapacity": 142398,
        "Stride": 3,
        "Models": [
            {
                "Name": model,
                "WeightsMb": 65500.0,
                "LoadS": 2.9,
                "Adapters": 3000,
                "AdapterMb": 40.0,
                "WarmS": 0.57,
                "DiskS": 1.2,
            }
        ],
        "WeightsMb": 67600.0,
        "AdapterSlots": adapter_slots,
        "LoadsPerS": 4.5,
    }
