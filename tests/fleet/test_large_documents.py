"""Tests of routing documents near the store's bound of 1 MiB.

Load pattern: a deployment with thousands of routes, whose machines have links
so narrow that such a document takes about a second on each of them. A change of
one route replaces the document.
"""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses

import anyio
import entry_instances
import fleet_cluster
from loguru import logger
import narrow_links
import pytest

import deployment
from tamaracktide.core import relays

pytestmark = pytest.mark.anyio

APPLY_S = 3.0
"""Time after the store's ack from which a document must be in force."""

ROUTES = 525
"""An eighth of what fits into the store, on links of an eighth of the rate: as
long on its way as there, and cheap enough for many instances in one process."""

CHANGE_PERIOD_S = 3.4
"""Time between two changes; the store takes so long for each."""

NAMES = [f"n{number}" for number in range(2, 10)]
"""The numbers end the addresses of their machines."""

RELAY = relays.make_plan(NAMES[0], "z1", dict.fromkeys(NAMES, "z1"), ()).relay

MAX_SKEW_S = 6.0
"""Further time for an instance that the store does not serve."""

PART_OF_TRANSFER_S = 0.3
"""Time after which a document is on its way."""

SETTLE_S = 4.0
"""Time after the start in which links of earlier plans are closed."""

LINK_MBIT_PER_S = 11.5 / 8
"""A narrow machine of the large deployments carries 11.5."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


@pytest.fixture(autouse=True)
def use_relays(monkeypatch: pytest.MonkeyPatch) -> None:
    """Has clusters of any size run in the way of large ones."""
    monkeypatch.setattr(relays, "MAX_FLAT_INSTANCES", 1)


@contextlib.contextmanager
def collect_logs(message: str) -> Iterator[list[str]]:
    """Collects the log lines of a message."""
    lines: list[str] = []
    sink = logger.add(
        lines.append, filter=lambda record: message in record["message"]
    )
    yield lines
    logger.remove(sink)


def put_document(cluster: fleet_cluster.Cluster, version: int) -> str:
    """Writes a large document with a route of its own; returns its path."""
    document = fleet_cluster.make_document(version)
    plain = document["Routes"][-1]
    document["Routes"] += [
        {
            **plain,
            "Name": f"route-{number:05}-of-a-customer-with-a-long-name",
            "Host": f"customer-{number:05}.example",
            "PathPrefix": f"/p{number:05}/",
            "TargetLatencyMs": 300,
            "Priority": 5,
        }
        for number in range(ROUTES)
    ]
    path = f"/added-{version}/"
    document["Routes"].append({**plain, "Name": path, "PathPrefix": path})
    cluster.store.put("config", "main", document)
    return path


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """A fake platform, and instances on machines with narrow links.

    Attributes:
        cluster: The platform and its servers.
        network: The links, by address of the machine.
        instances: All instances.
        store: The way of the last instance to the store, which is its own.
    """

    cluster: fleet_cluster.Cluster
    network: narrow_links.Network
    instances: list[entry_instances.Instance]
    store: fleet_cluster.StoreProxy

    def cut_off(self, name: str) -> list[entry_instances.Instance]:
        """Cuts a machine off in silence; returns the other instances."""
        (found,) = (i for i in self.instances if i.settings.instance == name)
        self.network.links[found.settings.ip].is_cut = True
        return [i for i in self.instances if i is not found]


@contextlib.asynccontextmanager
async def run_instances() -> AsyncIterator[Deployment]:
    """Runs instances of one zone on machines with narrow links."""
    port = deployment.find_port()
    async with (
        fleet_cluster.run_cluster() as cluster,
        narrow_links.run_network() as network,
        contextlib.AsyncExitStack() as stack,
    ):
        await cluster.add_server(fleet_cluster.Server("p1"))
        instances = []
        store, last_address = await cluster.add_store_proxy()
        for name in NAMES:
            host = f"127.0.0.{name[1:]}"
            network.add(host, LINK_MBIT_PER_S)
            address = last_address if name == NAMES[-1] else cluster.address
            instance = await stack.enter_async_context(
                entry_instances.run_instance(
                    cluster,
                    name,
                    host,
                    port,
                    store_address=await network.connect(host, address),
                    transport=network.make_transport(host),
                )
            )
            instances.append(instance)
        await anyio.sleep(SETTLE_S)
        yield Deployment(
            cluster=cluster, network=network, instances=instances, store=store
        )


async def wait_for_route(
    instance: entry_instances.Instance, path: str, delays_s: dict[str, float]
) -> None:
    """Sends requests until one is not refused as an older document says."""
    began_at = anyio.current_time()
    number = 0
    while True:
        number += 1
        name = f"{path[1:-1]}-{instance.settings.instance}-{number}"
        response = await instance.send(f"{path}x", name)
        if response.status != 404:
            break
        await anyio.sleep(0.1)
    delays_s[instance.settings.instance] = anyio.current_time() - began_at


async def measure_delays(
    instances: list[entry_instances.Instance], path: str, limit_s: float
) -> dict[str, float]:
    """Returns the time until a route is served, by instance that does."""
    delays_s: dict[str, float] = {}
    with anyio.move_on_after(limit_s):
        async with anyio.create_task_group() as tasks:
            for instance in instances:
                tasks.start_soon(wait_for_route, instance, path, delays_s)
    return delays_s


async def replace_document(running: Deployment) -> list[int]:
    """Writes three documents; returns where each was in force in time."""
    in_force = []
    for version in (2, 3, 4):
        path = put_document(running.cluster, version)
        delays_s = await measure_delays(running.instances, path, APPLY_S)
        in_force.append(len(delays_s))
        rest_s = CHANGE_PERIOD_S - max(delays_s.values(), default=0.0)
        await anyio.sleep(rest_s)
    return in_force


async def test_large_document_is_in_force_everywhere_in_time() -> None:
    """Guards against documents that narrow links never carry (CONFIG)."""
    async with run_instances() as running:
        with collect_logs("last link to peer closed") as closings:
            in_force = await replace_document(running)
    assert in_force == [len(NAMES)] * 3
    assert closings == []


async def test_document_is_in_force_though_the_relay_is_lost_on_the_way() -> (
    None
):
    """Load pattern: a relay is cut off in silence as a document arrives."""
    async with run_instances() as running:
        path = put_document(running.cluster, 2)
        await anyio.sleep(PART_OF_TRANSFER_S)
        others = running.cut_off(RELAY)
        limit_s = APPLY_S - PART_OF_TRANSFER_S
        delays_s = await measure_delays(others, path, limit_s)
    assert len(delays_s) == len(others)


async def test_instance_without_the_store_gets_the_document_from_peers() -> (
    None
):
    """Load pattern: the store falls silent for one; its relay is lost."""
    async with run_instances() as running:
        last = running.instances[-1]
        assert last.settings.instance != RELAY
        running.store.is_silent = True
        with collect_logs("requesting it from a peer") as requests:
            path = put_document(running.cluster, 2)
            with anyio.fail_after(APPLY_S):
                while not requests:
                    await anyio.sleep(0.01)
            await anyio.sleep(PART_OF_TRANSFER_S)
            running.cut_off(RELAY)
            delays_s = await measure_delays([last], path, APPLY_S + MAX_SKEW_S)
    assert len(delays_s) == 1


async def test_document_arrives_though_its_watch_was_lost() -> None:
    """Load pattern: the store received a watch and never responds to it."""
    async with run_instances() as running:
        running.store.silent_kind = "config"
        path = put_document(running.cluster, 2)
        delays_s = await measure_delays(running.instances, path, APPLY_S)
        assert len(delays_s) == len(NAMES)
        path = put_document(running.cluster, 3)
        delays_s = await measure_delays(running.instances, path, APPLY_S)
    assert len(delays_s) == len(NAMES)
