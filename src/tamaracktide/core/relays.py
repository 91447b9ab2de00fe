"""Choice of the relays through which entry instances exchange their state.

In a small cluster every instance has a link to every other one. In a larger
cluster a few instances of each availability zone are relays: every other
instance has one link, to a relay of its zone, and the relays have links to each
other. Only the links between relays grow with the number of instances.

Relays need no agreement: each instance ranks the instances of a zone by
rendezvous hashing and skips those that it cannot reach. Instances with
different views attach to different relays for a while, and each instance that
another one attaches to acts as a relay.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import math

from tamaracktide.core import rendezvous

MAX_FLAT_INSTANCES = 12
"""Number of instances up to which each one has a link to every other one."""

GROUP_SIZE = 24
"""Number of instances of a zone for each of its relays."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayPlan:
    """The relays, as seen by one instance.

    Attributes:
        is_flat: Whether every instance is a relay.
        relays: Instance ids of the relays of all zones.
        relay: Relay of this instance; its own id if it is a relay itself.
        group: Instances whose relay is this instance.
    """

    is_flat: bool
    relays: frozenset[str]
    relay: str
    group: frozenset[str] = frozenset()


def make_plan(
    instance: str,
    zone: str,
    zones: Mapping[str, str],
    unreachable: Collection[str],
) -> RelayPlan:
    """Chooses the relays of all zones and that of one instance.

    Args:
        instance: Id of the instance that makes the plan.
        zone: Its availability zone.
        zones: Availability zones of all known instances, by instance id.
        unreachable: Instances to skip because they do not respond.
    """
    zones = {**zones, instance: zone}
    if len(zones) <= MAX_FLAT_INSTANCES:
        return RelayPlan(is_flat=True, relays=frozenset(zones), relay=instance)
    relays = {
        name: _choose_relays(name, zones, unreachable)
        for name in set(zones.values())
    }
    own = relays[zone]
    group = frozenset(
        name
        for name, member_zone in zones.items()
        if member_zone == zone
        and name != instance
        and instance in own
        and _choose_own(name, own) == instance
    )
    return RelayPlan(
        is_flat=False,
        relays=frozenset(name for chosen in relays.values() for name in chosen),
        relay=_choose_own(instance, own),
        group=group,
    )


def _choose_relays(
    zone: str, zones: Mapping[str, str], unreachable: Collection[str]
) -> list[str]:
    members = [
        name for name, member_zone in zones.items() if member_zone == zone
    ]
    ranked = rendezvous.sort_members(f"relays/{zone}", members)
    count = math.ceil(len(members) / GROUP_SIZE)
    return [name for name in ranked if name not in unreachable][:count]


def _choose_own(instance: str, relays: list[str]) -> str:
    if not relays or instance in relays:
        return instance
    return rendezvous.sort_members(instance, relays)[0]
