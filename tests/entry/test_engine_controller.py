"""Tests of the tasks that send orders to engines."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import types
from typing import cast

import anyio
import pytest

from tamaracktide.core import engine_orders
from tamaracktide.core import popularity
from tamaracktide.core import routing_document
from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_controller
from tamaracktide.entry import lease_manager
from tamaracktide.entry import platform_adapter
from tamaracktide.entry import restarts
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

pytestmark = pytest.mark.anyio

SERVICE = routing_document.Service(
    name="llm",
    engine=routing_document.EngineProfile(
        batch_limit=2,
        kv_tokens=10_000,
        adapter_slots=4,
        weights_mb=100.0,
        loads_per_s=4.0,
        models={},
    ),
)
ENTRIES = {
    name: upstream_entries.UpstreamEntry(
        upstream=name,
        service="llm",
        address="127.0.0.1:1",
        zone="z1",
        batch_limit=2,
        started_ms=1,
        models={"m": {}},
    )
    for name in ("e1", "e2")
}
REPORT = upstream_entries.UpstreamReport(
    started_ms=1, orders=0, models={"m": {}}, coming={}
)
REQUEST = engine_orders.LoadRequest(
    load_request_id="l1", model="m", adapter="a", version=0
)
DECLINED = engine_orders.Rejected("l1", "engine removed", True)


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class _Harness:
    """An engine controller over engines that report no adapters.

    Attributes:
        controller: The controller.
        results: Delivered results.
        polled: Addresses of the engines whose report was requested.
    """

    controller: engine_controller.EngineController
    results: list[engine_orders.LoadResult]
    polled: list[str]


@contextlib.asynccontextmanager
async def _run_controller(
    error: Exception | None = None,
) -> AsyncIterator[_Harness]:
    """Runs a controller of two engines.

    Args:
        error: Raised when a report is requested; None for none.
    """
    results: list[engine_orders.LoadResult] = []
    polled: list[str] = []

    def make_report_call(address: str, timeout_s: float) -> str:
        polled.append(address)
        if error is not None:
            raise error
        return address

    async def send(call: str) -> calls.Response:
        return calls.Response(200, (), b"")

    leases = types.SimpleNamespace(is_held=lambda cell: True)
    adapter = types.SimpleNamespace(
        make_report_call=make_report_call, decode_report=lambda body: REPORT
    )
    client = types.SimpleNamespace(send=send)
    async with anyio.create_task_group() as tasks:
        controller = engine_controller.EngineController(
            engine_controller.Dependencies(
                holder="n1",
                adapter=cast(platform_adapter.PlatformAdapter, adapter),
                upstream_client=cast(streams.StreamClient, client),
                leases=cast(lease_manager.LeaseManager, leases),
                popularity=popularity.Popularity(),
                is_in_use=lambda upstream, name: False,
                keeps_adapters=lambda _: False,
                count_loads=lambda: 0,
                deliver=results.append,
                announce=lambda notice: None,
                tasks=tasks,
            )
        )
        controller.update(ENTRIES, {"llm": SERVICE})
        yield _Harness(controller, results, polled)
        tasks.cancel_scope.cancel()


async def test_engine_of_a_dropped_service_gets_no_orders() -> None:
    """Guards against a KeyError that ended the process.

    The routing document drops a service while a load of it is requested.
    """
    async with _run_controller() as harness:
        harness.controller.request_load("e1", REQUEST)
        harness.controller.update(ENTRIES, {})
        await anyio.sleep(0.3)
        assert harness.results == [DECLINED]
        assert not harness.polled


async def test_loads_of_a_removed_engine_are_declined() -> None:
    """Who requested them does not wait for the timeout."""
    async with _run_controller() as harness:
        harness.controller.request_load("e1", REQUEST)
        harness.controller.update({"e2": ENTRIES["e2"]}, {"llm": SERVICE})
        assert harness.results == [DECLINED]


async def test_error_in_the_task_of_an_engine_declines_its_loads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The task starts again without them, and the others go on."""
    monkeypatch.setattr(restarts, "TASK_RESTART_DELAY_S", 0.01)
    async with _run_controller(KeyError("m")) as harness:
        harness.controller.request_load("e1", REQUEST)
        await anyio.sleep(0.3)
        assert harness.results == [
            dataclasses.replace(DECLINED, reason="engine state reset")
        ]
        assert len(harness.polled) == 1
        harness.controller.request_load("e1", REQUEST)
        await anyio.sleep(0.3)
        assert len(harness.results) == 2
