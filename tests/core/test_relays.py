"""Tests of the choice of relays."""

import collections

from hypothesis import given
from hypothesis import strategies
import pytest

from tamaracktide.core import relays


def make_zones(instances: int, zones: int) -> dict[str, str]:
    """Returns instances that are spread evenly over availability zones."""
    return {f"n{i:03d}": f"z{i % zones}" for i in range(instances)}


def make_plans(
    zones: dict[str, str], unreachable: frozenset[str] = frozenset()
) -> dict[str, relays.RelayPlan]:
    """Returns the plan of each reachable instance."""
    return {
        name: relays.make_plan(name, zone, zones, unreachable)
        for name, zone in zones.items()
        if name not in unreachable
    }


@pytest.mark.parametrize("instances", [1, 4, relays.MAX_FLAT_INSTANCES])
def test_every_instance_of_a_small_cluster_is_a_relay(instances: int) -> None:
    """A small cluster keeps a link between every two instances."""
    zones = make_zones(instances, 3)
    for name, plan in make_plans(zones).items():
        assert plan.is_flat
        assert plan.relay == name
        assert plan.relays == zones.keys()


@pytest.mark.parametrize(
    ("instances", "zones"), [(30, 3), (79, 5), (300, 5), (330, 6)]
)
def test_links_of_an_instance_do_not_grow_with_the_cluster(
    instances: int, zones: int
) -> None:
    """Load pattern: hundreds of instances, each serving a few requests.

    A member has one link. A relay has its group and the other relays, whose
    number is the only one that grows.
    """
    plans = make_plans(make_zones(instances, zones))
    groups = collections.Counter(plan.relay for plan in plans.values())
    chosen = next(iter(plans.values())).relays
    assert groups.keys() == chosen
    assert len(chosen) <= zones + instances // relays.GROUP_SIZE
    assert max(groups.values()) <= 2.5 * relays.GROUP_SIZE


def test_instances_with_the_same_view_choose_the_same_relays() -> None:
    """No agreement is needed beyond the list of instances."""
    zones = make_zones(79, 5)
    views = {plan.relays for plan in make_plans(zones).values()}
    assert len(views) == 1
    for name, plan in make_plans(zones).items():
        assert zones[plan.relay] == zones[name]


def test_unreachable_relay_is_replaced_in_its_zone_only() -> None:
    """The other zones keep their relays, so their members stay attached."""
    zones = make_zones(79, 5)
    before = make_plans(zones)
    lost = before["n000"].relay
    after = make_plans(zones, frozenset({lost}))
    for name, plan in after.items():
        assert plan.relay != lost
        if before[name].relay != lost and zones[name] != zones[lost]:
            assert plan.relay == before[name].relay


def test_instance_alone_in_its_zone_is_its_relay() -> None:
    """A zone whose other instances are unreachable goes on by itself."""
    zones = make_zones(30, 3)
    others = frozenset(
        name for name, zone in zones.items() if zone == "z0" and name != "n003"
    )
    assert make_plans(zones, others)["n003"].relay == "n003"


@given(
    zones=strategies.dictionaries(
        strategies.text("abcdef", min_size=1, max_size=4),
        strategies.sampled_from(("z1", "z2", "z3")),
        min_size=1,
        max_size=60,
    ),
    data=strategies.data(),
)
def test_relay_of_a_reachable_instance_is_reachable_and_in_its_zone(
    zones: dict[str, str], data: strategies.DataObject
) -> None:
    """Whatever is unreachable, and also for an unregistered instance."""
    unreachable = data.draw(
        strategies.sets(strategies.sampled_from(sorted(zones)))
    )
    name = data.draw(strategies.sampled_from(["new", *sorted(zones)]))
    zone = zones.get(name, "z1")
    plan = relays.make_plan(name, zone, zones, unreachable)
    assert plan.relay == name or plan.relay in zones
    if plan.is_flat:
        return
    assert plan.relay == name or plan.relay not in unreachable
    assert {**zones, name: zone}[plan.relay] == zone
