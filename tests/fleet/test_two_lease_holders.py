"""Tests of non-idempotent requests while two instances order at one engine.

Load pattern: both hold the lease of a cell with one fencing token, as after a
restoration of the store before eras were known. They load and unload adapters
that the other's requests use.
"""

import collections
import contextlib
import dataclasses
from typing import Any

import anyio
import entry_instances
import fleet_cluster
import httpcore
import pytest

import deployment
from tamaracktide.core import rows
from tamaracktide.entry import lease_manager
from tamaracktide.gateway import asgi

pytestmark = pytest.mark.anyio

ORDER_S = 0.1
REQUESTS = 150
ADAPTERS = 9
REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class _Engine(fleet_cluster.Server):
    """An engine whose orders take time.

    Requests for an adapter get 503 while it is loaded, and while an unload
    waits for the runs that use it.

    Attributes:
        changing: Adapters with an order under way.
        in_use: Number of requests that run, by adapter.
        rejected: Requests that got 503 for an order under way.
        lost_orders: Orders that named an outdated number of orders.
    """

    changing: set[str] = dataclasses.field(default_factory=set)
    in_use: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    rejected: int = 0
    lost_orders: int = 0

    async def _handle_order(
        self, order: dict[str, Any], send: asgi.Send
    ) -> None:
        if order["Precondition"] != len(self.orders):
            self.lost_orders += 1
            await fleet_cluster.reply(send, 409)
            return
        self.orders.append(order)
        adapter = order["Adapter"]
        self.changing.add(adapter)
        if order["Operation"] == "unload":
            await fleet_cluster.reply(send, 202)
            while self.in_use[adapter]:
                await anyio.sleep(0.005)
            self.adapters.pop(adapter, None)
        else:
            self.adapters[adapter] = order.get("Version", 1)
            assert len(self.adapters) <= self.slots
            await fleet_cluster.reply(send, 202)
            await anyio.sleep(ORDER_S)
        self.changing.discard(adapter)

    async def _handle_request(
        self, head: dict[str, str], receive: asgi.Receive, send: asgi.Send
    ) -> None:
        adapter = head.get("x-model", "").partition("/")[2]
        if adapter in self.changing:
            self.rejected += 1
            request_id = head["x-request-id"].encode()
            await fleet_cluster.reply(
                send,
                503,
                headers=(
                    (b"x-not-executed", b"1"),
                    (b"x-request-id", request_id),
                ),
            )
            return
        self.in_use[adapter] += 1
        try:
            await fleet_cluster.Server._handle_request(
                self, head, receive, send
            )
        finally:
            self.in_use[adapter] -= 1


async def test_two_holders_break_no_promise_about_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No request runs twice, and none runs that was refused."""

    def hold(manager: lease_manager.LeaseManager, cell: rows.CellId) -> bool:
        del manager, cell
        return True

    def find_epoch(
        manager: lease_manager.LeaseManager, cell: rows.CellId
    ) -> int:
        del manager, cell
        return 1

    monkeypatch.setattr(lease_manager.LeaseManager, "is_held", hold)
    monkeypatch.setattr(lease_manager.LeaseManager, "find_epoch", find_epoch)
    statuses: dict[str, int] = {}
    async with fleet_cluster.run_cluster() as cluster:
        engines = [_Engine(name, slots=3) for name in ("e1", "e2")]
        for engine in engines:
            await cluster.add_server(engine)
        port = deployment.find_port()
        async with (
            entry_instances.run_instance(
                cluster, peer_port=port, waits_for_lease=False
            ) as first,
            entry_instances.run_instance(
                cluster, "n2", "127.0.0.2", port, waits_for_lease=False
            ) as second,
            anyio.create_task_group() as tasks,
        ):

            async def send(
                instance: entry_instances.Instance, request_id: str, name: str
            ) -> None:
                # A response that is cut promises nothing.
                with contextlib.suppress(httpcore.RemoteProtocolError):
                    response = await instance.generate(
                        request_id, name, "/once-stream/x"
                    )
                    statuses[request_id] = response.status

            for number in range(REQUESTS):
                for instance in (first, second):
                    name = f"a{(number * 7) % ADAPTERS}"
                    request_id = f"{instance.settings.instance}-{number}"
                    tasks.start_soon(send, instance, request_id, name)
                await anyio.sleep(0.02)
    runs = collections.Counter(run for e in engines for run in e.runs)
    holders = {
        (order["Holder"], order["FencingToken"])
        for engine in engines
        for order in engine.orders
    }
    assert len(holders) == 2
    assert sum(engine.rejected for engine in engines) > 0
    assert [run for run, count in runs.items() if count > 1] == []
    refused = {run for run, status in statuses.items() if status in REFUSALS}
    assert refused & set(runs) == set()
