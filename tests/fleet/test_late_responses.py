"""Tests of responses to requests that arrive where one to an order is due.

Load pattern: requests and orders share the connections to an engine, which may
send a second copy of a response late.
"""

import asyncio
import dataclasses
from typing import Any

import entry_instances
import fleet_cluster
import pytest

from tamaracktide.gateway import asgi

pytestmark = pytest.mark.anyio

UNLOAD_S = 0.6
"""Time for which an unload waits for a running request."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@dataclasses.dataclass(slots=True)
class LateEngine(fleet_cluster.Server):
    """An engine whose unloads wait, and are answered by a late response.

    Attributes:
        max_held: Most adapters that it has held or was ordered to hold.
    """

    max_held: int = 0

    async def _handle_order(
        self, order: dict[str, Any], send: asgi.Send
    ) -> None:
        if order["Precondition"] != len(self.orders):
            await fleet_cluster.reply(send, 409)
            return
        self.orders.append(order)
        if order["Operation"] == "unload":
            asyncio.get_running_loop().call_later(
                UNLOAD_S, self.adapters.pop, order["Adapter"], None
            )
            await fleet_cluster.reply(
                send, 200, b"done", ((b"x-request-id", b"earlier"),)
            )
            return
        self.adapters[order["Adapter"]] = 1
        self.max_held = max(self.max_held, len(self.adapters))
        await fleet_cluster.reply(send, 202)


async def test_response_to_a_request_is_none_to_an_order() -> None:
    """Guards against a load for which no adapter slot is free yet (LIMIT).

    A success that names a request passed for the end of an unload.
    """
    adapters = {"a1": 1, "a2": 1, "a3": 1}
    engine = LateEngine("e1", slots=3, adapters=adapters)
    async with fleet_cluster.run_cluster() as cluster:
        await cluster.add_server(engine)
        async with entry_instances.run_instance(cluster) as instance:
            response = await instance.generate("r1", "a4")
    assert engine.max_held <= engine.slots
    assert response.status == 200
