"""Tests of links and reports between many instances, without a network.

Load pattern: tens to hundreds of instances, each of which serves a few
requests per second on engines that all of them share.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import contextlib

import anyio
import pytest

from tamaracktide.bench.slopes import memory_network
from tamaracktide.core import paces
from tamaracktide.core import relays
from tamaracktide.core import running_counts
from tamaracktide.core import upstream_health
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import report_exchange
from tamaracktide.protocol import entry_messages

pytestmark = pytest.mark.anyio

CONVERGE_S = 6.0
MAX_MESSAGES_PER_S = 40.0
"""Mean messages of an instance, both ways, that belong to no request."""

MAX_ZONE_BYTES_PER_S = 1024.0
"""Mean bytes of an instance to other zones that belong to no request."""


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def wait_until(
    check: Callable[[], bool], timeout_s: float = CONVERGE_S
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It does not hold in time.
    """
    with anyio.fail_after(timeout_s):
        while not check():
            await anyio.sleep(0.05)


def set_running(network: memory_network.Network) -> None:
    """Gives each instance one request of its own and one that all share."""
    for number, (name, instance) in enumerate(network.instances.items()):
        instance.running = {
            f"e{number % 7}": {f"m/{name}": 1, "m/shared": 1 + number % 2}
        }


def is_consistent(network: memory_network.Network) -> bool:
    """Whether each instance knows exactly the requests of all others."""
    instances = network.instances.values()
    for instance in instances:
        expected = running_counts.add_counts(
            *(other.running for other in instances if other is not instance)
        )
        if instance.remote != expected:
            return False
    return True


@contextlib.asynccontextmanager
async def run_busy_network(
    zones: Mapping[str, str],
) -> AsyncIterator[memory_network.Network]:
    """Runs instances with requests that all of them know."""
    async with memory_network.run_network(zones) as network:
        set_running(network)
        await wait_until(lambda: is_consistent(network))
        yield network


def count_relays(network: memory_network.Network) -> int:
    """Returns how many instances are relays."""
    return sum(
        instance.peers.is_relay for instance in network.instances.values()
    )


@pytest.mark.parametrize(("instances", "zones"), [(4, 3), (30, 3), (79, 5)])
async def test_every_instance_learns_the_requests_of_all_others(
    instances: int, zones: int
) -> None:
    """Sums over two steps leave out exactly the instance's own requests."""
    topology = memory_network.make_zones(instances, zones)
    async with run_busy_network(topology) as network:
        for instance in network.instances.values():
            instance.running = {}
        await wait_until(lambda: is_consistent(network))
        assert not network.instances["n000"].remote


async def test_small_cluster_has_a_link_between_every_two_instances() -> None:
    """Four instances exchange their reports directly."""
    topology = memory_network.make_zones(4, 3)
    async with memory_network.run_network(topology) as network:
        await wait_until(
            lambda: all(
                len(instance.peers.list_relays()) == 3
                for instance in network.instances.values()
            )
        )


async def test_killed_relay_is_replaced_and_counted_no_longer() -> None:
    """Its members attach to another relay and its own requests are dropped."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        lost = network.instances["n000"].peers.plan.relay
        network.stop(lost)
        await wait_until(lambda: is_consistent(network))
        member = next(
            name
            for name, instance in network.instances.items()
            if instance.zone == network.zones[lost]
            and not instance.peers.is_relay
        )
        assert network.instances[member].peers.relay not in ("", lost)
        network.start(lost).running = {"e1": {"m/back": 2}}
        await wait_until(lambda: is_consistent(network))


async def test_silent_relay_is_replaced_after_the_link_timeout() -> None:
    """A frozen relay or a silent connection costs a moment of older sums."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        lost = network.instances["n000"].peers.plan.relay
        network.cut_off.add(lost)
        others = [
            instance
            for name, instance in network.instances.items()
            if name != lost
        ]
        await wait_until(
            lambda: all(
                lost
                not in [peer.instance for peer in other.peers.list_linked()]
                for other in others
            ),
            entry_peers.LINK_TIMEOUT_S + 3 * entry_peers.REPORT_PERIOD_S,
        )
        await wait_until(
            lambda: all(
                other.peers.relay or other.peers.is_relay for other in others
            )
        )
        network.cut_off.clear()
        await wait_until(lambda: is_consistent(network), 2 * CONVERGE_S)


async def test_cut_off_zone_goes_on_by_itself_and_rejoins() -> None:
    """Both sides count their own requests only, and all of them afterwards."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        network.cut_off.add("z0")
        inside = [
            network.instances[name]
            for name, zone in topology.items()
            if zone == "z0"
        ]

        def is_split() -> bool:
            for instance in inside:
                expected = running_counts.add_counts(
                    *(o.running for o in inside if o is not instance)
                )
                if instance.remote != expected:
                    return False
            return True

        await wait_until(is_split)
        network.cut_off.clear()
        await wait_until(lambda: is_consistent(network), 2 * CONVERGE_S)


async def test_many_instances_killed_at_once_come_back() -> None:
    """Load pattern: half of all instances restart at the same moment."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        killed = [name for number, name in enumerate(topology) if number % 2]
        for name in killed:
            network.stop(name)
        await anyio.sleep(0.3)
        for name in killed:
            network.start(name)
        set_running(network)
        await wait_until(lambda: is_consistent(network), 2 * CONVERGE_S)
        assert count_relays(network) <= 2 * 3


async def test_joining_instance_takes_part_within_two_seconds() -> None:
    """It is not registered at the others yet; it finds its relay itself."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        network.zones["new"] = "z1"
        network.addresses["new"] = "10.9.9.9"
        network.start("new").running = {"e1": {"m/new": 1}}
        await wait_until(lambda: is_consistent(network), 2.0)


async def test_restarted_member_that_knows_nobody_is_found_by_its_relay() -> (
    None
):
    """Load pattern: a restart while the store turns this machine away.

    No seed responds either. It learns the other instances from its relay, as
    it would from the store.
    """
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        name = next(
            name
            for name, instance in network.instances.items()
            if not instance.peers.is_relay
        )
        network.stop(name)
        await wait_until(lambda: is_consistent(network))
        instance = network.start(name, is_registry_known=False)
        await anyio.sleep(0)
        await wait_until(
            lambda: bool(instance.peers.list_relays()), 2 * CONVERGE_S
        )
        instance.learn_registry()
        await wait_until(lambda: is_consistent(network), 2 * CONVERGE_S)
        assert not instance.peers.is_relay


async def test_results_reach_the_other_instances_of_the_zone_once() -> None:
    """Instances elsewhere use other network paths and judge for themselves."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        for instance in network.instances.values():
            instance.results = {"e1": upstream_health.Results(1, 2)}
        await anyio.sleep(1.5)
        for instance in network.instances.values():
            others = list(topology.values()).count(instance.zone) - 1
            assert instance.remote_results == {
                "e1": upstream_health.Results(others, 2 * others)
            }


async def test_samples_of_paces_reach_all_instances() -> None:
    """Each is a mean over all zones; an own sample may come back."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        for instance in network.instances.values():
            instance.paces = {"e1": paces.PaceSum(1, 40.0)}
        await anyio.sleep(2.0)
        for instance in network.instances.values():
            known = instance.remote_paces["e1"]
            assert len(topology) - 1 <= known.samples <= len(topology)
            assert known.event_ms == 40.0 * known.samples


async def test_demand_reaches_each_relay_once() -> None:
    """Relays count requests of all instances, for evictions and replicas."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        for instance in network.instances.values():
            instance.exchange.record_request("m/a")
        await anyio.sleep(2.0)
        for instance in network.instances.values():
            if instance.peers.is_relay:
                assert instance.demand["m/a"] == len(topology) - 1
            else:
                assert "m/a" not in instance.demand


async def test_members_learn_lease_holders_and_engines_from_their_relay() -> (
    None
):
    """A member asks the holder of a cell for a load through its relay."""
    topology = memory_network.make_zones(30, 3)
    async with run_busy_network(topology) as network:
        holder = next(
            instance
            for instance in network.instances.values()
            if instance.peers.is_relay
        )
        holder.rights = (
            entry_messages.LeaseNotice(
                cell="llm@z0", revision=1, epoch=1, right_left_s=9.0
            ),
        )
        notice = entry_messages.EngineNotice(
            upstream="e1",
            started_ms=5,
            orders=2,
            models={"m": {"a": entry_messages.AdapterState(3)}},
        )
        holder.views.apply_notice(notice, anyio.current_time())
        holder.exchange.record_engine(notice)
        members = [
            instance
            for instance in network.instances.values()
            if not instance.peers.is_relay
        ]
        assert members
        await wait_until(
            lambda: (
                all(
                    member.exchange.holders == {"llm@z0": holder.name}
                    and member.views.find("e1").models["m"]["a"].version == 3
                    for member in members
                    if member.views.find("e1").models
                )
                and all(member.views.find("e1").models for member in members)
            )
        )


@pytest.mark.parametrize(("instances", "zones"), [(30, 3), (79, 5), (300, 5)])
async def test_messages_of_an_instance_do_not_grow_with_the_cluster(
    instances: int, zones: int
) -> None:
    """Load pattern: hundreds of instances at rest and under steady traffic."""
    topology = memory_network.make_zones(instances, zones)
    async with memory_network.run_network(topology) as network:
        set_running(network)
        await wait_until(lambda: is_consistent(network), 4 * CONVERGE_S)
        network.traffic.clear()
        started_at = anyio.current_time()
        await anyio.sleep(2.0)
        elapsed_s = anyio.current_time() - started_at
        traffic = network.traffic.values()
        mean_messages = sum(t.messages for t in traffic) / instances / elapsed_s
        mean_bytes = sum(t.zone_bytes for t in traffic) / instances / elapsed_s
        assert mean_messages <= MAX_MESSAGES_PER_S
        assert mean_bytes <= MAX_ZONE_BYTES_PER_S
        assert count_relays(network) <= zones + instances / relays.GROUP_SIZE


def test_report_period_leaves_time_for_a_lost_packet() -> None:
    """A link survives one lost report between relays."""
    assert entry_peers.LINK_TIMEOUT_S > 2 * entry_peers.RELAY_REPORT_PERIOD_S


@pytest.mark.parametrize("instances", [4, 30])
async def test_instance_that_is_cut_off_counts_all_that_are_registered(
    instances: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an instance that takes the whole retry budget (BUDGET).

    The others go on with their shares while it reaches none of them.
    """
    monkeypatch.setattr(report_exchange, "INSTANCE_EXPIRY_S", 0.0)
    zones = memory_network.make_zones(instances, 3)
    async with memory_network.run_network(zones) as network:
        name, instance = next(iter(network.instances.items()))
        count = instance.exchange.count_instances
        await wait_until(lambda: count() == instances)
        network.cut_off.add(name)
        await wait_until(lambda: not instance.peers.list_linked())
        assert count() == instances
