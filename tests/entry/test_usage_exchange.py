"""Tests of usage reports between instances, without a network.

Load pattern: a workspace whose requests reach any of many instances, which all
of them must count once.
"""

from collections.abc import AsyncIterator
import contextlib
import random

import anyio
import pytest

from tamaracktide.bench.slopes import memory_network
from tamaracktide.core import usage_caps
from tamaracktide.core import workspaces
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import requests
from tamaracktide.entry import usage
from tamaracktide.entry import usage_exchange
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import entry_messages

pytestmark = pytest.mark.anyio

RATE = 1_000_000.0
AMOUNT = 1_500
CONVERGE_S = 6.0


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


class _Meter(usage.UsageMeter):
    """A meter that sums what others report."""

    def __init__(self, exchange: usage_exchange.UsageExchange) -> None:
        super().__init__(
            usage_caps.Tolerance(),
            exchange.find_heard_fraction,
            metrics_module.Metrics(),
            random.Random(1),
        )
        self.remote = 0.0
        cap = workspaces.Cap(
            rate_per_s=RATE, burst=RATE, unit=workspaces.Unit.TOKENS
        )
        self.set_workspaces({"w": workspaces.Workspace(name="w", cap=cap)})

    def apply_report(
        self, source: str, reported: usage.UsageByWorkspace
    ) -> None:
        """Sums the usage that was admitted elsewhere."""
        super().apply_report(source, reported)
        if "w" in reported:
            self.remote += reported["w"].admitted


class _Usage:
    """The usage reports of one instance of a network."""

    def __init__(self, instance: memory_network.Instance, count: int) -> None:
        self.exchange = usage_exchange.UsageExchange(
            instance.name, lambda: count
        )
        self.meter = _Meter(self.exchange)
        self.exchange.meter = self.meter
        self.used = 0
        self._instance = instance
        instance.handle_other = self.handle

    def send_reports(self) -> None:
        """Sends the reports of one period."""
        self.exchange.peers = self._instance.peers
        self.exchange.send_reports()

    def handle(self, peer: entry_peers.Peer, message: object) -> None:
        """Handles a message about usage."""
        match message:
            case entry_messages.UsageReport():
                self.exchange.apply_report(peer, message)
            case entry_messages.UsageTotals():
                self.exchange.apply_totals(peer, message)

    def use(self) -> None:
        """Charges one request."""
        caller = requests.Caller(workspace="w")
        with contextlib.suppress(Exception):
            self.meter.charge(caller, AMOUNT, "r")
            self.used += AMOUNT


@contextlib.asynccontextmanager
async def run_usage(
    instances: int, zones: int
) -> AsyncIterator[tuple[memory_network.Network, dict[str, _Usage]]]:
    """Runs instances that report usage in every report period."""
    topology = memory_network.make_zones(instances, zones)
    async with memory_network.run_network(topology) as network:
        known = {
            name: _Usage(instance, instances)
            for name, instance in network.instances.items()
        }
        async with anyio.create_task_group() as tasks:

            async def report() -> None:
                while True:
                    await anyio.sleep(entry_peers.REPORT_PERIOD_S)
                    for name in list(network.instances):
                        known[name].send_reports()

            tasks.start_soon(report)
            yield network, known
            tasks.cancel_scope.cancel()


async def _wait_until_all_heard(known: dict[str, _Usage]) -> None:
    with anyio.fail_after(2 * CONVERGE_S):
        while any(
            state.exchange.find_heard_fraction() < 1.0
            for state in known.values()
        ):
            await anyio.sleep(0.1)


@pytest.mark.parametrize(("instances", "zones"), [(4, 3), (30, 3)])
async def test_each_use_is_counted_once_everywhere(
    instances: int, zones: int
) -> None:
    """Sums through relays contain the usage of the others only."""
    async with run_usage(instances, zones) as (_, known):
        await _wait_until_all_heard(known)
        for state in known.values():
            state.meter.remote = 0.0
        for state in known.values():
            state.use()
        total = sum(state.used for state in known.values())
        assert total > 0
        await anyio.sleep(2.5)
        for state in known.values():
            assert state.meter.remote == total - state.used


async def test_cut_off_zone_uses_its_share_only() -> None:
    """The shares of all parts add up to the cap."""
    async with run_usage(30, 3) as (network, known):
        await _wait_until_all_heard(known)
        zone = network.instances["n000"].zone
        cut = {name for name, of in network.zones.items() if of == zone}
        network.cut_off = {zone}
        await anyio.sleep(4.0)
        for name, state in known.items():
            part = len(cut) if name in cut else len(known) - len(cut)
            fraction = state.exchange.find_heard_fraction()
            assert fraction <= part / len(known) + 1e-9
